"""Following the platform's objects, by a few instances of each zone."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import trio

from ibisfront.core.backoff import Backoff
from ibisfront.core.counters import CounterKind
from ibisfront.core.errors import IbisfrontError
from ibisfront.core.logs import LogPart, part_logger
from ibisfront.core.objects import SPREAD_KINDS
from ibisfront.core.rendezvous import rendezvous_order

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Sequence
    from random import Random

    from ibisfront.core.clock import Clock
    from ibisfront.core.counters import Counters
    from ibisfront.core.members import Member, Members
    from ibisfront.core.objects import ObjectKind, VersionedObject
    from ibisfront.core.spread import ObjectSpread
    from ibisfront.core.types import Version

__all__ = [
    "WATCHERS_PER_ZONE",
    "ObjectsReadLike",
    "PlatformWatch",
    "WatchedPlatform",
    "watcher_names",
]

WATCHERS_PER_ZONE = 2
"""How many instances of each zone watch the platform."""

FIRST_LIST_AFTER_MS = 500.0
"""How long a starting instance waits for its peers before it lists itself."""

_ANSWER_BOUND_MS = 3000.0
_RETRY_FIRST_MS = 200.0
_RETRY_LONGEST_MS = 10_000.0
_SHORTEST_ROUND_MS = 50.0
_ROLE_CHECK_MS = 500.0
_LOG = part_logger(LogPart.PLATFORM)


class ObjectsReadLike(Protocol):
    """Objects as read at one revision."""

    @property
    def revision(self) -> Version:
        """The revision read at."""
        ...

    @property
    def objects(self) -> Sequence[VersionedObject]:
        """The objects."""
        ...


class WatchedPlatform(Protocol):
    """The calls of the platform that a watch needs."""

    async def list_objects(self, kinds: Sequence[ObjectKind]) -> ObjectsReadLike:
        """Return every object of some kinds."""
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
    """Follows the platform while this instance is a watcher of its zone.

    Parameters
    ----------
    platform : WatchedPlatform
        What is followed.
    spread : ObjectSpread
        Takes what was read.
    members : Members
        Decides who watches.
    connected : callable
        Returns the names of the neighbours with an open stream.
    clock : Clock
        The tier's clock.
    counters : Counters
        Where calls are counted by outcome.
    random : random.Random
        Spreads retries over time.
    wait_ms : float
        How long one call may wait for a change.
    """

    __slots__ = (
        "_changed",
        "_clock",
        "_connected",
        "_counters",
        "_failing",
        "_listed",
        "_members",
        "_platform",
        "_random",
        "_scope",
        "_spread",
        "_wait_ms",
        "_watcher",
    )

    def __init__(
        self,
        *,
        platform: WatchedPlatform,
        spread: ObjectSpread,
        members: Members,
        connected: Callable[[], Collection[str]],
        clock: Clock,
        counters: Counters,
        random: Random,
        wait_ms: float,
    ) -> None:
        self._platform = platform
        self._spread = spread
        self._members = members
        self._connected = connected
        self._clock = clock
        self._counters = counters
        self._random = random
        self._wait_ms = wait_ms
        self._listed = False
        self._failing = False
        self._watcher: bool | None = None
        self._changed = trio.Event()
        self._scope = trio.CancelScope()
        members.subscribe(self._member_changed)

    @property
    def is_watcher(self) -> bool:
        """Whether this instance watches the platform for its zone.

        An instance that knows no other one is the only one of its zone, and
        so watches for itself.
        """
        if self._watcher is None:
            own = self._members.own
            self._watcher = own.name in watcher_names(self._members, own.zone)
        return self._watcher

    def restart(self) -> None:
        """Give up the call under way and read anew."""
        self._scope.cancel()

    async def run(self) -> None:
        """Follow the platform until cancelled."""
        backoff = Backoff(
            first_ms=_RETRY_FIRST_MS, maximum_ms=_RETRY_LONGEST_MS, random=self._random
        )
        await self._wait_for_peers()
        while True:
            await self._wait_to_be_watcher()
            started_ms = self._clock.now_ms()
            before = self._spread.store.revision
            with trio.CancelScope() as self._scope:
                try:
                    await self._read()
                except IbisfrontError as error:
                    self._failed(error)
                    await self._clock.sleep_ms(backoff.next_ms())
                    continue
            spent_ms = self._clock.now_ms() - started_ms
            if self._spread.store.revision > before or spent_ms >= self._wait_ms / 2:
                backoff.reset()
            else:
                # A platform that answers a waiting call at once and brings
                # nothing, by fault, by an old replica or by a proxy between,
                # must not be called in a tight loop.
                self._count("watch_empty")
                await self._clock.sleep_ms(_SHORTEST_ROUND_MS + backoff.next_ms())

    async def _read(self) -> None:
        # A call can go silent without closing. It shows as no answer long
        # after the wait that it was given; the next call is a new one.
        with self._clock.timeout_ms(self._wait_ms + _ANSWER_BOUND_MS) as bound:
            after = self._spread.store.revision
            if not (self._listed or after > 0) or not await self._read_changes(after):
                await self._read_list()
        if bound.cancelled_caught:
            self._count("watch_silent")

    async def _read_changes(self, after: Version) -> bool:
        changes = await self._platform.changes(
            SPREAD_KINDS, after=after, wait_ms=self._wait_ms
        )
        if changes is None:
            self._count("watch_too_old")
            return False
        self._count("watched")
        self._answered()
        self._spread.take_changes(
            changes.objects, after=after, revision=changes.revision
        )
        return True

    async def _read_list(self) -> None:
        listed = await self._platform.list_objects(SPREAD_KINDS)
        self._count("listed")
        self._answered()
        self._listed = True
        self._spread.take_list(listed.objects, revision=listed.revision)

    async def _wait_for_peers(self) -> None:
        # Instances that start together, say after a zone came back, would all
        # list the platform. Whoever has peers takes the objects from them.
        end_ms = self._clock.now_ms() + FIRST_LIST_AFTER_MS
        while self._clock.now_ms() < end_ms and self._spread.store.revision == 0:
            if self._connected() and not self.is_watcher:
                return
            await self._clock.sleep_ms(_SHORTEST_ROUND_MS)

    async def _wait_to_be_watcher(self) -> None:
        # Members that are listed or not yet believed dead may all be out of
        # reach; an instance without any stream reads for itself.
        while not self.is_watcher and self._connected():
            with self._clock.timeout_ms(_ROLE_CHECK_MS):
                await self._changed.wait()

    def _member_changed(self, member: Member) -> None:
        self._watcher = None
        self._changed.set()
        self._changed = trio.Event()

    def _failed(self, error: IbisfrontError) -> None:
        self._count("watch_failed")
        if not self._failing:
            _LOG.warning("The watch fails: %s.", error.detail)
        self._failing = True

    def _answered(self) -> None:
        if self._failing:
            _LOG.info("The watch works again.")
        self._failing = False

    def _count(self, reason: str) -> None:
        self._counters.add(CounterKind.PLATFORM_CALLS, reason)
