"""Watching the platform's store for one front process."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from contextlib import closing
from functools import partial
from typing import TYPE_CHECKING

from ibisfront.front.targets import (
    configuration_target,
    evacuations_target,
    servers_target,
)
from ibisfront.gateway.state.feed import StoreOutage, follow
from ibisfront.platform.store import (
    CONFIGURATION_KIND,
    EVACUATIONS_KIND,
    SERVERS_KIND,
    PlatformKindFeed,
)

if TYPE_CHECKING:
    import trio

    from ibisfront.core.clock import Clock
    from ibisfront.front.process import FrontProcess
    from ibisfront.gateway.state.feed import FeedTarget, FollowOptions
    from ibisfront.gateway.state.store import KindFeed

__all__ = ["watch_store"]


def watch_store(
    process: FrontProcess,
    nursery: trio.Nursery,
    options: FollowOptions,
    *,
    clock: Clock,
) -> None:
    """Keep up with what the store holds while the nursery runs."""
    bounds = process.settings.bounds
    wait_ms = bounds.watch_wait_ms
    if process.relays.is_source:
        wait_ms = bounds.source_watch_wait_ms
    watched = [
        (CONFIGURATION_KIND, configuration_target(process), wait_ms),
        (SERVERS_KIND, servers_target(process), wait_ms),
    ]
    if bounds.evacuation_ms is not None:
        # That the store serves an instance no more shows by the other watches.
        target = evacuations_target(process)
        watched.append((EVACUATIONS_KIND, target, bounds.watch_wait_ms))
    outage = StoreOutage(options.after_outage_ms)
    for kind, target, wait_ms in watched:
        feed = PlatformKindFeed(
            process.settings.store_address, kind, watch_wait_ms=wait_ms
        )
        run = partial(follow, clock=clock, options=options, outage=outage)
        nursery.start_soon(_follow, feed, target, run)


async def _follow(
    feed: PlatformKindFeed,
    target: FeedTarget,
    run: Callable[[KindFeed, FeedTarget], Awaitable[None]],
) -> None:
    """Follow a feed until cancelled, and close its connection then."""
    with closing(feed):
        await run(feed, target)
