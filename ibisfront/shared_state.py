"""The state that the instances share, and the tasks that keep it up to date."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Protocol

import trio

from ibisfront.core.discovery import Discovery, InstanceLister
from ibisfront.core.dissemination import ObjectDissemination
from ibisfront.core.heartbeat import Heartbeats
from ibisfront.core.membership import Membership
from ibisfront.core.pause import watch_for_pause
from ibisfront.core.server_status import ServerStatuses
from ibisfront.core.watch import PlatformWatch, WatchedPlatform

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from ibisfront.adapters.peers import PeerStreams
    from ibisfront.core.clock import Clock
    from ibisfront.core.counters import Counters
    from ibisfront.core.members import Members
    from ibisfront.core.objects import ObjectStore
    from ibisfront.core.types import Address

__all__ = ["SharedPlatform", "SharedState"]


class SharedPlatform(WatchedPlatform, InstanceLister, Protocol):
    """The platform calls that the shared state depends on."""


class SharedState:
    """The members, the objects and the server statuses, kept up to date.

    Parameters
    ----------
    members : Members
        The view of the members.
    store : ObjectStore
        The platform's objects.
    peers : PeerStreams
        The other instances.
    clock : Clock
        The tier's clock.
    counters : Counters
        Counts changes, messages and calls.
    random : random.Random
        Source of jitter for calls and streams.
    """

    def __init__(
        self,
        *,
        members: Members,
        store: ObjectStore,
        peers: PeerStreams,
        clock: Clock,
        counters: Counters,
        random: Random,
    ) -> None:
        self.members = members
        self.peers = peers
        self.membership = Membership(
            members, peers=peers, clock=clock, counters=counters, random=random
        )
        self.dissemination = ObjectDissemination(
            store, peers=peers, clock=clock, counters=counters
        )
        self.server_statuses = ServerStatuses(store, peers=peers, clock=clock)
        self.heartbeats = Heartbeats(
            members=members,
            membership=self.membership,
            dissemination=self.dissemination,
            peers=peers,
            clock=clock,
            random=random,
        )
        self._clock = clock
        self._counters = counters
        self._random = random

    async def leave(self) -> None:
        """Notify the peers that this instance is leaving; wait until it is sent."""
        self.membership.leave()
        await self.peers.flush()

    async def run(
        self,
        platform: SharedPlatform,
        *,
        seeds: Sequence[Address],
        wait_ms: float,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Keep everything up to date until cancelled.

        Parameters
        ----------
        platform : SharedPlatform
            The platform.
        seeds : sequence of str
            Addresses of other instances to contact at startup.
        wait_ms : float
            How long one watch call may wait for a change.
        """
        watch = PlatformWatch(
            platform=platform,
            dissemination=self.dissemination,
            members=self.members,
            connected=lambda: self.peers.connected,
            clock=self._clock,
            counters=self._counters,
            random=self._random,
            wait_ms=wait_ms,
        )
        discovery = Discovery(
            platform=platform,
            introducer=self.peers,
            members=self.members,
            membership=self.membership,
            is_watcher=lambda: watch.is_watcher,
            seeds=seeds,
            clock=self._clock,
            random=self._random,
        )

        def on_pause(late_ms: float) -> None:
            # State read or agreed before the pause may be stale.
            self.membership.raise_incarnation()
            self.peers.reset()
            watch.restart()

        async with trio.open_nursery() as nursery:
            keep_streams = partial(
                self.peers.run,
                self.membership,
                on_handshake=self.heartbeats.handshake_completed,
            )
            await nursery.start(keep_streams)
            task_status.started()
            nursery.start_soon(self.membership.run)
            nursery.start_soon(self.heartbeats.run)
            nursery.start_soon(discovery.run)
            nursery.start_soon(watch.run)
            nursery.start_soon(watch_for_pause, self._clock, on_pause)
