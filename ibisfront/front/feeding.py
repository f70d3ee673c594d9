"""Watching the platform's store for one front process."""

from __future__ import annotations

from contextlib import closing
from typing import TYPE_CHECKING

from ibisfront.front.targets import configuration_target, servers_target
from ibisfront.gateway.feed import follow
from ibisfront.platform.store import (
    CONFIGURATION_KIND,
    SERVERS_KIND,
    PlatformKindFeed,
)

if TYPE_CHECKING:
    import trio

    from ibisfront.core.clock import Clock
    from ibisfront.front.process import FrontProcess
    from ibisfront.gateway.feed import FeedTarget, FollowOptions

__all__ = ["watch_store"]


def watch_store(
    process: FrontProcess,
    nursery: trio.Nursery,
    options: FollowOptions,
    *,
    clock: Clock,
) -> None:
    """Keep up with the configuration and the servers while the nursery runs."""
    bounds = process.settings.bounds
    wait_ms = bounds.watch_wait_ms
    if process.relays.is_source:
        wait_ms = bounds.source_watch_wait_ms
    for kind, target in (
        (CONFIGURATION_KIND, configuration_target(process)),
        (SERVERS_KIND, servers_target(process)),
    ):
        feed = PlatformKindFeed(
            process.settings.store_address, kind, watch_wait_ms=wait_ms
        )
        nursery.start_soon(_follow, feed, target, options, clock)


async def _follow(
    feed: PlatformKindFeed, target: FeedTarget, options: FollowOptions, clock: Clock
) -> None:
    """Follow a feed until cancelled, and close its connection then."""
    with closing(feed):
        await follow(feed, target, clock=clock, options=options)
