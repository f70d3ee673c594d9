"""Watching the platform's objects, by a few instances of each zone."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import trio

from ibisfront.core.backoff import Backoff
from ibisfront.core.counters import CounterKind
from ibisfront.core.errors import IbisfrontError
from ibisfront.core.logs import LogPart, part_logger
from ibisfront.core.objects import REPLICATED_KINDS
from ibisfront.core.rendezvous import rendezvous_order

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Sequence
    from random import Random

    from ibisfront.core.clock import Clock
    from ibisfront.core.counters import Counters
    from ibisfront.core.dissemination import ObjectDissemination
    from ibisfront.core.members import Member, Members
    from ibisfront.core.objects import ObjectKind, VersionedObject
    from ibisfront.core.types import Version

__all__ = [
    "WATCHERS_PER_ZONE",
    "ObjectsReadLike",
    "PlatformWatch",
    "WatchedPlatform",
    "watcher_names",
]

WATCHERS_PER_ZONE = 2
"""Number of instances per zone that watch the platform."""

FIRST_LIST_DELAY_MS = 500.0
"""How long a starting instance waits for peers before it reads the list itself."""

_RESPONSE_MARGIN_MS = 3000.0
_FIRST_RETRY_MS = 200.0
_MAXIMUM_RETRY_MS = 10_000.0
_MINIMUM_INTERVAL_MS = 50.0
_ROLE_CHECK_INTERVAL_MS = 500.0
_LOG = part_logger(LogPart.PLATFORM)


class ObjectsReadLike(Protocol):
    """Objects read at one revision."""

    @property
    def revision(self) -> Version:
        """The revision of the read."""
        ...

    @property
    def objects(self) -> Sequence[VersionedObject]:
        """The objects."""
        ...


class WatchedPlatform(Protocol):
    """The calls of the platform that a watch needs."""

    async def list_objects(self, kinds: Sequence[ObjectKind]) -> ObjectsReadLike:
        """Return all objects of some kinds."""
        ...

    async def changes(
        self, kinds: Sequence[ObjectKind], *, after: Version, wait_ms: float
    ) -> ObjectsReadLike | None:
        """Wait for changes after a revision; None if it is too old."""
        ...


def watcher_names(members: Members, zone: str) -> list[str]:
    """Return the names of the members that watch the platform for a zone."""
    names = [member.name for member in members.live() if member.zone == zone]
    return rendezvous_order(f"watch {zone}", names)[:WATCHERS_PER_ZONE]


class PlatformWatch:
    """Watches the platform while this instance is a watcher of its zone.

    Parameters
    ----------
    platform : WatchedPlatform
        The platform to watch.
    dissemination : ObjectDissemination
        Ingests the objects read.
    members : Members
        Determines the watchers.
    connected : callable
        Returns the names of the neighbours with an open stream.
    clock : Clock
        The tier's clock.
    counters : Counters
        Counts calls by outcome.
    random : random.Random
        Jitters the retry delays.
    wait_ms : float
        How long one call may wait for a change.
    """

    __slots__ = (
        "_cached_is_watcher",
        "_changed",
        "_clock",
        "_connected",
        "_counters",
        "_dissemination",
        "_failing",
        "_has_read_list",
        "_members",
        "_platform",
        "_random",
        "_scope",
        "_wait_ms",
    )

    def __init__(
        self,
        *,
        platform: WatchedPlatform,
        dissemination: ObjectDissemination,
        members: Members,
        connected: Callable[[], Collection[str]],
        clock: Clock,
        counters: Counters,
        random: Random,
        wait_ms: float,
    ) -> None:
        self._platform = platform
        self._dissemination = dissemination
        self._members = members
        self._connected = connected
        self._clock = clock
        self._counters = counters
        self._random = random
        self._wait_ms = wait_ms
        self._has_read_list = False
        self._failing = False
        self._cached_is_watcher: bool | None = None
        self._changed = trio.Event()
        self._scope = trio.CancelScope()
        members.subscribe(self._member_changed)

    @property
    def is_watcher(self) -> bool:
        """Whether this instance watches the platform for its zone.

        An instance without other members in its zone is always a watcher.
        """
        if self._cached_is_watcher is None:
            own = self._members.own
            self._cached_is_watcher = own.name in watcher_names(self._members, own.zone)
        return self._cached_is_watcher

    def restart(self) -> None:
        """Cancel the current call and read again."""
        self._scope.cancel()

    async def run(self) -> None:
        """Watch the platform until cancelled."""
        backoff = Backoff(
            first_ms=_FIRST_RETRY_MS, maximum_ms=_MAXIMUM_RETRY_MS, random=self._random
        )
        await self._wait_for_peers()
        while True:
            await self._wait_for_role()
            started_ms = self._clock.now_ms()
            before = self._dissemination.store.revision
            with trio.CancelScope() as self._scope:
                try:
                    await self._read()
                except IbisfrontError as error:
                    self._failed(error)
                    await self._clock.sleep_ms(backoff.next_ms())
                    continue
            elapsed_ms = self._clock.now_ms() - started_ms
            if (
                self._dissemination.store.revision > before
                or elapsed_ms >= self._wait_ms / 2
            ):
                backoff.reset()
            else:
                # A faulty platform, an old replica or a proxy can return an
                # empty response at once; it must not be called in a tight loop.
                self._count("watch_empty")
                await self._clock.sleep_ms(_MINIMUM_INTERVAL_MS + backoff.next_ms())

    async def _read(self) -> None:
        # A call can hang on a connection that stays open, so it is cancelled if
        # there is no response well after its wait time.
        with self._clock.timeout_ms(self._wait_ms + _RESPONSE_MARGIN_MS) as timeout:
            after = self._dissemination.store.revision
            if not (self._has_read_list or after > 0) or not await self._read_changes(
                after
            ):
                await self._read_list()
        if timeout.cancelled_caught:
            self._count("watch_silent")

    async def _read_changes(self, after: Version) -> bool:
        changes = await self._platform.changes(
            REPLICATED_KINDS, after=after, wait_ms=self._wait_ms
        )
        if changes is None:
            self._count("watch_too_old")
            return False
        self._count("watched")
        self._succeeded()
        self._dissemination.ingest_changes(
            changes.objects, after=after, revision=changes.revision
        )
        return True

    async def _read_list(self) -> None:
        listed = await self._platform.list_objects(REPLICATED_KINDS)
        self._count("listed")
        self._succeeded()
        self._has_read_list = True
        self._dissemination.ingest_list(listed.objects, revision=listed.revision)

    async def _wait_for_peers(self) -> None:
        # Instances that start together, such as after a zone outage, would all
        # list the platform's objects. Connected peers send them instead.
        end_ms = self._clock.now_ms() + FIRST_LIST_DELAY_MS
        while self._clock.now_ms() < end_ms and self._dissemination.store.revision == 0:
            if self._connected() and not self.is_watcher:
                return
            await self._clock.sleep_ms(_MINIMUM_INTERVAL_MS)

    async def _wait_for_role(self) -> None:
        # All other members may be unreachable although they are not yet declared
        # dead, so an instance without any stream reads from the platform itself.
        while not self.is_watcher and self._connected():
            with self._clock.timeout_ms(_ROLE_CHECK_INTERVAL_MS):
                await self._changed.wait()

    def _member_changed(self, member: Member) -> None:
        self._cached_is_watcher = None
        self._changed.set()
        self._changed = trio.Event()

    def _failed(self, error: IbisfrontError) -> None:
        self._count("watch_failed")
        if not self._failing:
            _LOG.warning("The platform watch failed: %s.", error.detail)
        self._failing = True

    def _succeeded(self) -> None:
        if self._failing:
            _LOG.info("The platform watch has recovered.")
        self._failing = False

    def _count(self, reason: str) -> None:
        self._counters.add(CounterKind.PLATFORM_CALLS, reason)
