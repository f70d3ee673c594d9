"""Watches the platform's store for one front process."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from contextlib import closing
from functools import partial
from typing import TYPE_CHECKING

from ibisfront.core.task_guard import TaskGuard
from ibisfront.front.targets import (
    configuration_target,
    evacuations_target,
    servers_target,
)
from ibisfront.gateway.state.kind_watch import StoreOutage, watch_kind
from ibisfront.platform.store import (
    CONFIGURATION_KIND,
    EVACUATIONS_KIND,
    SERVERS_KIND,
    PlatformKindClient,
)

if TYPE_CHECKING:
    import trio

    from ibisfront.core.clock import Clock
    from ibisfront.front.process import FrontProcess
    from ibisfront.gateway.state.kind_watch import WatchOptions, WatchTarget
    from ibisfront.gateway.state.store import KindClient

__all__ = ["watch_store"]


def watch_store(
    process: FrontProcess,
    nursery: trio.Nursery,
    options: WatchOptions,
    *,
    clock: Clock,
) -> None:
    """Apply the store's content and its changes while the nursery runs."""
    bounds = process.settings.bounds
    wait_ms = bounds.watch_wait_ms
    if process.topology.is_source:
        wait_ms = bounds.source_watch_wait_ms
    watched = [
        (CONFIGURATION_KIND, configuration_target(process), wait_ms),
        (SERVERS_KIND, servers_target(process), wait_ms),
    ]
    if bounds.evacuation_ms is not None:
        # The other watches suffice to detect that the store stops serving.
        target = evacuations_target(process)
        watched.append((EVACUATIONS_KIND, target, bounds.watch_wait_ms))
    outage = StoreOutage(options.resume_delay_ms)
    tasks = TaskGuard(nursery, clock=clock, counters=process.observer.counters)
    for kind, target, wait_ms in watched:
        client = PlatformKindClient(
            process.settings.store_address, kind, watch_wait_ms=wait_ms
        )
        run = partial(watch_kind, clock=clock, options=options, outage=outage)
        tasks.keep_running(_watch_kind, client, target, run)


async def _watch_kind(
    client: PlatformKindClient,
    target: WatchTarget,
    run: Callable[[KindClient, WatchTarget], Awaitable[None]],
) -> None:
    """Watch a kind until cancelled, then close the connection.

    After an error other instances must not rely on what this one has of the kind.
    """
    with closing(client):
        try:
            await run(client, target)
        except Exception:
            target.on_unavailable()
            raise
