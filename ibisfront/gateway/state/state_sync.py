"""Where an instance gets the store's state from: the store or another one."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence
from contextlib import ExitStack, closing
from enum import Enum
from typing import TYPE_CHECKING

import msgspec
import trio

from ibisfront.core.logs import LogPart, part_logger
from ibisfront.gateway.state.kind_watch import WatchOptions
from ibisfront.gateway.state.state_relay import (
    FRESH_WAIT_MS,
    RelayedState,
    StateClient,
    StateRequest,
    request_state,
)

if TYPE_CHECKING:
    from ibisfront.core.clock import Clock
    from ibisfront.core.types import Address
    from ibisfront.gateway.instances.directory import InstanceEntry
    from ibisfront.gateway.state.relay_topology import RelayTopology

__all__ = ["StateSync"]

_LOG = part_logger(LogPart.PEERS)

_CHECK_MS = 250.0
"""How often an instance that watches the store looks whether others follow it
now, or no more; a watch of a source waits for less."""

_LOOK_MS = 5_000.0
"""How often an instance that hears the store looks for one to follow. One that
stands in for a lost one does so for as long as that one is listed."""

_LOOK_IN_OUTAGE_MS = 700.0
"""The same while the store is away: it may serve another one already."""

_FOLLOWER_BACK_OFF_MS = 3_000.0
"""Longest wait between tries of the store for an instance that others do not
follow. It finds out by those that are tried more often; each refused call has a
price, and nearly all instances are such. It stays below the contact bound, in case
all of those are lost."""

_START_PATIENCE_MS = 1_000.0
"""How long a starting instance looks for one to follow: after a loss of power
they all start within about this time of each other."""

_START_PAUSE_MS = 100.0
"""Pause between two such looks."""

_STAND_IN_PATIENCE_MS = 150.0
"""How long one that others may follow looks for each of those before it: all the
others wait for it meanwhile."""

_NEXT_SOURCE_MS = 60.0
"""After how long without an answer the next source is asked too: several ways within
a zone, and the time in which a busy process answers."""

_ASKED_NEIGHBOURS = 4
"""Neighbours that are asked at once whether they hear the store: with a third of
the instances turned away, one in eighty such looks finds none."""

_DEAF_INSTANCES = 4
"""So many instances that answer and do not hear the store, and none that does, mean
that the store serves nobody: three of the own zone may be turned away together."""

_OUTLAST_MS = 6_000.0
"""How long an instance that others do not follow leaves such a store alone."""

_FOLLOW_NEIGHBOUR_MS = 5_000.0
"""How long a neighbour is followed before the store is tried again. Outages of
single instances last seconds, and each refused call has a price."""


class _Source(msgspec.Struct):
    """An instance that was found to hear the store.

    Attributes
    ----------
    name : str
        Its name.
    client : StateClient
        Asks it; to be closed by who takes it.
    state : RelayedState
        What it said.
    is_near : bool
        Whether it is in the zone of this one.
    """

    name: str
    client: StateClient
    state: RelayedState
    is_near: bool


def _close_all(sources: list[_Source]) -> None:
    for source in sources:
        source.client.close()


class _Mode(Enum):
    """What the instance does now."""

    SEEKING = "seeking"
    FOLLOWING = "following"
    WATCHING = "watching"


class StateSync:
    """Keeps the configuration, the servers and the instances up to date.

    It follows one of the instances that watch the store. While none can be
    followed, because they are lost, silent or turned away by the store, it
    watches the store itself.

    Parameters
    ----------
    topology : RelayTopology
        Whom to follow.
    connect : callable
        Returns a client that asks the instance at an address.
    watch : callable
        Watches the store for as long as the nursery runs, with these options.
    take : callable
        Takes in a state that another instance passed on.
    on_cut_off : callable
        Told with each answer of an instance of the zone its name, and whether it is
        cut off from the servers.
    on_lost : callable
        Told the name of an instance that does not answer any more.
    known_version : callable
        Returns the version of the configuration in force; 0 for none.
    seeds : sequence of str
        Addresses of some other instances, for a start without the store.
    clock : Clock
        The tier's clock.
    is_first_start : bool, optional
        Whether all instances start for the first time, and nobody calls yet.

    Attributes
    ----------
    away : set of str
        The kinds for which the store does not answer, and those not read yet.
    """

    __slots__ = (
        "_clock",
        "_connect",
        "_deaf",
        "_is_first_start",
        "_is_reported_cut_off",
        "_kinds",
        "_known_version",
        "_listed",
        "_mode",
        "_next_look_ms",
        "_on_cut_off",
        "_on_lost",
        "_seeds",
        "_store_was_away",
        "_take",
        "_topology",
        "_watch",
        "_watch_started_ms",
        "away",
    )

    def __init__(
        self,
        *,
        topology: RelayTopology,
        connect: Callable[[Address], StateClient],
        watch: Callable[[trio.Nursery, WatchOptions], None],
        take: Callable[[RelayedState], None],
        on_cut_off: Callable[[str, bool], None],
        on_lost: Callable[[str], None],
        known_version: Callable[[], int],
        seeds: Sequence[Address],
        clock: Clock,
        is_first_start: bool = False,
    ) -> None:
        self._is_first_start = is_first_start
        self._next_look_ms = math.inf
        self._topology = topology
        self._connect = connect
        self._watch = watch
        self._take = take
        self._on_cut_off = on_cut_off
        self._on_lost = on_lost
        self._known_version = known_version
        self._seeds = seeds
        self._clock = clock
        self._mode = _Mode.SEEKING
        self._listed = trio.Event()
        self._watch_started_ms = -math.inf
        self._kinds = 0
        self._is_reported_cut_off = False
        # Who answered the last look without hearing the store.
        self._deaf: set[str] = set()
        self.away: set[str] = set()
        # Entries lapse while the store is away: servers that are missing from
        # the next list may live.
        self._store_was_away = False

    @property
    def is_fresh(self) -> bool:
        """Whether others may follow: only one that hears the store itself.

        Two instances that followed each other would both seem up to date for
        ever.
        """
        return self._mode is _Mode.WATCHING and not self.away

    @property
    def may_become_fresh(self) -> bool:
        """Whether it is worth to wait for this one.

        One that was turned away by the store, or has waited for its first
        answer for a while, must not hold up those that ask it: a change is
        due at them although it is not here.
        """
        if self._mode is _Mode.WATCHING:
            age_ms = self._clock.now_ms() - self._watch_started_ms
            return bool(self.away) and age_ms < FRESH_WAIT_MS
        return self._mode is _Mode.SEEKING

    @property
    def watches_store(self) -> bool:
        """Whether the list of instances must be read here too."""
        return self._mode is not _Mode.FOLLOWING

    @property
    def _knows_nothing(self) -> bool:
        """Whether what another instance knew earlier is better than nothing.

        Once the store has listed one kind, the older list of another instance
        would take the place of the newer one, and no change would follow.
        """
        has_listed = self._mode is _Mode.WATCHING and len(self.away) < self._kinds
        return not has_listed and not self._known_version()

    def record_listed(self) -> None:
        """Note that the list of instances was read, or could not be."""
        self._listed.set()

    async def run(self) -> None:
        """Keep up to date until cancelled."""
        await self._listed.wait()
        async with trio.open_nursery() as nursery:
            if not self._topology.is_known:
                nursery.start_soon(self._ask_seeds)
            await self._keep_up()

    async def _keep_up(self) -> None:
        source = await self._look_at_start()
        while True:
            if source is None:
                source = await self._outlast_outage()
            if source is None:
                source = await self._watch_until_found()
            elif self._topology.sources and source.is_near:
                await self._follow(source)
                source = await self._look()
            else:
                with self._clock.timeout_ms(_FOLLOW_NEIGHBOUR_MS):
                    await self._follow(source)
                self._mode = _Mode.SEEKING
                source = await self._look() if self._topology.sources else None

    async def _ask_seeds(self) -> None:
        """Take what other instances know while the store is away at the start.

        Without a configuration every caller would be refused until the store
        is back. The store is looked for meanwhile: seeds that are lost or cut
        off answer nothing for a second each.
        """
        async with trio.open_nursery() as nursery:
            for address in self._seeds:
                nursery.start_soon(self._ask_seed, address)

    async def _ask_seed(self, address: Address) -> None:
        # Perhaps of another zone: not to be followed.
        source = await self._ask(address, address, is_near=False)
        if source is None:
            return
        with closing(source.client):
            if self._knows_nothing:
                self._take(source.state)

    async def _look_at_start(self) -> _Source | None:
        """Look for an instance to follow while all may be starting."""
        if self._topology.is_source and not self._is_first_start:
            return await self._look_as_stand_in()
        until_ms = self._clock.now_ms() + _START_PATIENCE_MS
        while self._topology.sources:
            source = await self._look()
            if source is not None or self._clock.now_ms() >= until_ms:
                return source
            await self._clock.sleep_ms(_START_PAUSE_MS)
        return None

    async def _look_as_stand_in(self) -> _Source | None:
        """Look for one to follow, and give up soon: others wait for this one."""
        source = None
        with self._clock.timeout_ms(
            _STAND_IN_PATIENCE_MS * len(self._topology.sources)
        ):
            while source is None and self._topology.sources:
                source = await self._look()
                if source is None:
                    await self._clock.sleep_ms(_START_PAUSE_MS)
        if source is None:
            # Those before it may have been slower to start.
            self._next_look_ms = self._clock.now_ms() + _START_PATIENCE_MS
        return source

    async def _look(self) -> _Source | None:
        """Return a source that hears the store; None if none does."""
        self._deaf.clear()
        self._is_reported_cut_off = False
        source = await self._ask_in_turn(self._topology.sources)
        if source is not None:
            return source
        if self._is_reported_cut_off:
            # Nobody elsewhere can be reached; asking them would put off the next
            # look, and with it what keeps this instance out of rotation.
            return None
        if self.away or self._mode is not _Mode.WATCHING:
            return await self._look_around()
        return None

    async def _ask_in_turn(self, entries: Sequence[InstanceEntry]) -> _Source | None:
        """Return the first to answer that hears the store; None if none does.

        Load pattern: a zone has lost power. Its first source is back last, or not at
        all, and does not even refuse; all others would wait for it in a row.
        """
        found: list[_Source] = []
        with ExitStack() as stack:
            stack.callback(_close_all, found)
            async with trio.open_nursery() as nursery:

                async def ask(entry: InstanceEntry, ended: trio.Event) -> None:
                    source = await self._ask(entry.name, entry.address, is_near=True)
                    if source is not None:
                        found.append(source)
                        nursery.cancel_scope.cancel()
                    ended.set()

                for entry in entries:
                    ended = trio.Event()
                    nursery.start_soon(ask, entry, ended)
                    with self._clock.timeout_ms(_NEXT_SOURCE_MS):
                        await ended.wait()
            if found:
                return found.pop(0)
        return None

    async def _outlast_outage(self) -> _Source | None:
        """Look for a source without the store, while it seems to serve nobody.

        Nearly all instances are followers. Each would try the store again and again,
        and list all servers as soon as it is back, although those that watch it for
        the others know them a moment later.
        """
        until_ms = self._clock.now_ms() + _OUTLAST_MS
        while len(self._deaf) >= _DEAF_INSTANCES and not self._topology.is_source:
            if self._clock.now_ms() >= until_ms:
                return None
            await self._clock.sleep_ms(_LOOK_IN_OUTAGE_MS)
            source = await self._look()
            if source is not None:
                return source
        return None

    async def _look_around(self) -> _Source | None:
        """Return a neighbour that hears the store; None if none that is asked does.

        The store may turn away some instances and serve the others. Those
        turned away would go by the servers and the version that they had.
        """
        found: list[_Source] = []

        async def ask(entry: InstanceEntry) -> None:
            is_near = self._topology.is_near(entry)
            source = await self._ask(entry.name, entry.address, is_near=is_near)
            if source is None:
                return
            if found:
                source.client.close()
                return
            found.append(source)
            nursery.cancel_scope.cancel()

        neighbours = self._topology.neighbours
        count = min(len(neighbours), _ASKED_NEIGHBOURS)
        async with trio.open_nursery() as nursery:
            for entry in random.sample(neighbours, count):
                nursery.start_soon(ask, entry)
        return found[0] if found else None

    async def _ask(
        self, name: str, address: Address, *, is_near: bool
    ) -> _Source | None:
        """Ask an instance; return it if it hears the store."""
        client = self._connect(address)
        with ExitStack() as stack:
            stack.callback(client.close)
            asked = StateRequest(0, self._known_version())
            state = await request_state(client, asked, name=name)
            self._heed(name, state, is_near=is_near)
            if state is None or not state.is_fresh:
                return None
            stack.pop_all()
            return _Source(name, client, state, is_near)

    def _heed(self, name: str, state: RelayedState | None, *, is_near: bool) -> None:
        """Take in what an answer, or none, says besides what the store holds."""
        if state is None:
            self._on_lost(name)
            return
        if is_near:
            self._on_cut_off(name, state.is_cut_off)
            self._is_reported_cut_off = state.is_cut_off or self._is_reported_cut_off
        if not state.is_fresh:
            _LOG.info("%s does not hear the store.", name)
            self._deaf.add(name)
            self._store_was_away = True
            if self._knows_nothing:
                self._take(state)

    async def _follow(self, source: _Source) -> None:
        """Take in an instance's state until it fails or hears no store."""
        with closing(source.client):
            _LOG.info("The state comes from %s from now on.", source.name)
            self._mode = _Mode.FOLLOWING
            self._store_was_away = False
            state: RelayedState | None = source.state
            revision = 0
            while state is not None and state.is_fresh:
                if state.revision != revision or state.brings_configuration:
                    self._take(state)
                revision = state.revision
                asked = StateRequest(revision, self._known_version())
                state = await request_state(source.client, asked, name=source.name)
                self._heed(source.name, state, is_near=source.is_near)
        self._mode = _Mode.SEEKING

    def _options(self) -> WatchOptions:
        if self._topology.is_source or not self._topology.sources:
            return WatchOptions(self._store_was_away)
        return WatchOptions(
            self._store_was_away,
            _FOLLOWER_BACK_OFF_MS,
            after_outage_ms=_LOOK_IN_OUTAGE_MS,
        )

    async def _watch_until_found(self) -> _Source | None:
        """Watch the store until there is an instance to follow.

        The watch goes on during a look: others may follow this instance, and
        would all turn away from it, and fetch the whole state elsewhere.
        """
        source = None
        async with trio.open_nursery() as nursery:
            self._mode = _Mode.WATCHING
            is_source = self._topology.is_source
            self._watch_started_ms = self._clock.now_ms()
            _LOG.info("The store is watched from here from now on.")
            self._watch(nursery, self._options())
            self._kinds = len(self.away)
            looked_ms = self._watch_started_ms
            # Others follow this instance now, or no more: it watches anew.
            while source is None and self._topology.is_source is is_source:
                await self._clock.sleep_ms(_CHECK_MS)
                pause_ms = _LOOK_IN_OUTAGE_MS if self.away else _LOOK_MS
                now_ms = self._clock.now_ms()
                if now_ms >= min(looked_ms + pause_ms, self._next_look_ms):
                    self._next_look_ms = math.inf
                    source = await self._look()
                    looked_ms = self._clock.now_ms()
            nursery.cancel_scope.cancel()
        self._store_was_away = bool(self.away)
        self._mode = _Mode.SEEKING
        return source
