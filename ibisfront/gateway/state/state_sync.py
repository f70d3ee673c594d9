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

_TOPOLOGY_CHECK_INTERVAL_MS = 250.0
"""How often an instance that watches the store looks whether others follow it
now, or no more; a watch of a source waits for less."""

_DISCOVERY_INTERVAL_MS = 5_000.0
"""How often an instance that hears the store looks for one to follow. One that
stands in for a lost one does so for as long as that one is listed."""

_OUTAGE_DISCOVERY_INTERVAL_MS = 700.0
"""The same while the store is away: it may serve another one already."""

_SUBSCRIBER_MAXIMUM_BACKOFF_MS = 3_000.0
"""Longest wait between tries of the store for an instance that others do not
follow. It finds out by those that are tried more often; each refused call has a
price, and nearly all instances are such. It stays below the contact bound, in case
all of those are lost."""

_STARTUP_DISCOVERY_MS = 1_000.0
"""How long a starting instance looks for one to follow: after a loss of power
they all start within about this time of each other."""

_STARTUP_RETRY_MS = 100.0
"""Pause between two such looks."""

_STANDBY_DISCOVERY_MS = 150.0
"""How long one that others may follow looks for each of those before it: all the
others wait for it meanwhile."""

_NEXT_SOURCE_DELAY_MS = 60.0
"""After how long without an answer the next source is asked too: several ways within
a zone, and the time in which a busy process answers."""

_NEIGHBOUR_SAMPLE_SIZE = 4
"""Neighbours that are asked at once whether they hear the store: with a third of
the instances turned away, one in eighty such looks finds none."""

_UNSERVED_THRESHOLD = 4
"""So many instances that answer and do not hear the store, and none that does, mean
that the store serves nobody: three of the own zone may be turned away together."""

_OUTAGE_WAIT_MS = 6_000.0
"""How long an instance that others do not follow leaves such a store alone."""

_NEIGHBOUR_SUBSCRIPTION_MS = 5_000.0
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
    is_same_zone : bool
        Whether it is in the zone of this one.
    """

    name: str
    client: StateClient
    state: RelayedState
    is_same_zone: bool


def _close_all(sources: list[_Source]) -> None:
    for source in sources:
        source.client.close()


class _Mode(Enum):
    """What the instance does now."""

    SEEKING = "seeking"
    SUBSCRIBED = "following"
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
    apply : callable
        Takes in a state that another instance passed on.
    on_partitioned : callable
        Told with each answer of an instance of the zone its name, and whether it is
        cut off from the servers.
    on_unreachable : callable
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
    unavailable : set of str
        The kinds for which the store does not answer, and those not read yet.
    """

    __slots__ = (
        "_apply",
        "_clock",
        "_connect",
        "_instances_listed",
        "_is_first_start",
        "_is_reported_partitioned",
        "_kind_count",
        "_known_version",
        "_mode",
        "_next_discovery_ms",
        "_on_partitioned",
        "_on_unreachable",
        "_seeds",
        "_store_was_unavailable",
        "_topology",
        "_unserved",
        "_watch",
        "_watch_started_ms",
        "unavailable",
    )

    def __init__(
        self,
        *,
        topology: RelayTopology,
        connect: Callable[[Address], StateClient],
        watch: Callable[[trio.Nursery, WatchOptions], None],
        apply: Callable[[RelayedState], None],
        on_partitioned: Callable[[str, bool], None],
        on_unreachable: Callable[[str], None],
        known_version: Callable[[], int],
        seeds: Sequence[Address],
        clock: Clock,
        is_first_start: bool = False,
    ) -> None:
        self._is_first_start = is_first_start
        self._next_discovery_ms = math.inf
        self._topology = topology
        self._connect = connect
        self._watch = watch
        self._apply = apply
        self._on_partitioned = on_partitioned
        self._on_unreachable = on_unreachable
        self._known_version = known_version
        self._seeds = seeds
        self._clock = clock
        self._mode = _Mode.SEEKING
        self._instances_listed = trio.Event()
        self._watch_started_ms = -math.inf
        self._kind_count = 0
        self._is_reported_partitioned = False
        # Who answered the last look without hearing the store.
        self._unserved: set[str] = set()
        self.unavailable: set[str] = set()
        # Entries lapse while the store is away: servers that are missing from
        # the next list may live.
        self._store_was_unavailable = False

    @property
    def is_fresh(self) -> bool:
        """Whether others may follow: only one that hears the store itself.

        Two instances that followed each other would both seem up to date for
        ever.
        """
        return self._mode is _Mode.WATCHING and not self.unavailable

    @property
    def may_become_fresh(self) -> bool:
        """Whether it is worth to wait for this one.

        One that was turned away by the store, or has waited for its first
        answer for a while, must not hold up those that ask it: a change is
        due at them although it is not here.
        """
        if self._mode is _Mode.WATCHING:
            age_ms = self._clock.now_ms() - self._watch_started_ms
            return bool(self.unavailable) and age_ms < FRESH_WAIT_MS
        return self._mode is _Mode.SEEKING

    @property
    def watches_store(self) -> bool:
        """Whether the list of instances must be read here too."""
        return self._mode is not _Mode.SUBSCRIBED

    @property
    def _accepts_stale_state(self) -> bool:
        """Whether what another instance knew earlier is better than nothing.

        Once the store has listed one kind, the older list of another instance
        would take the place of the newer one, and no change would follow.
        """
        has_listed = (
            self._mode is _Mode.WATCHING and len(self.unavailable) < self._kind_count
        )
        return not has_listed and not self._known_version()

    def record_listed(self) -> None:
        """Note that the list of instances was read, or could not be."""
        self._instances_listed.set()

    async def run(self) -> None:
        """Keep up to date until cancelled."""
        await self._instances_listed.wait()
        async with trio.open_nursery() as nursery:
            if not self._topology.is_loaded:
                nursery.start_soon(self._request_seeds)
            await self._maintain()

    async def _maintain(self) -> None:
        source = await self._find_source_at_start()
        while True:
            if source is None:
                source = await self._find_source_in_outage()
            if source is None:
                source = await self._watch_until_source_found()
            elif self._topology.sources and source.is_same_zone:
                await self._subscribe(source)
                source = await self._find_source()
            else:
                with self._clock.timeout_ms(_NEIGHBOUR_SUBSCRIPTION_MS):
                    await self._subscribe(source)
                self._mode = _Mode.SEEKING
                source = await self._find_source() if self._topology.sources else None

    async def _request_seeds(self) -> None:
        """Take what other instances know while the store is away at the start.

        Without a configuration every caller would be refused until the store
        is back. The store is looked for meanwhile: seeds that are lost or cut
        off answer nothing for a second each.
        """
        async with trio.open_nursery() as nursery:
            for address in self._seeds:
                nursery.start_soon(self._request_seed, address)

    async def _request_seed(self, address: Address) -> None:
        # Perhaps of another zone: not to be followed.
        source = await self._request(address, address, is_same_zone=False)
        if source is None:
            return
        with closing(source.client):
            if self._accepts_stale_state:
                self._apply(source.state)

    async def _find_source_at_start(self) -> _Source | None:
        """Look for an instance to follow while all may be starting."""
        if self._topology.is_source and not self._is_first_start:
            return await self._find_source_as_standby()
        until_ms = self._clock.now_ms() + _STARTUP_DISCOVERY_MS
        while self._topology.sources:
            source = await self._find_source()
            if source is not None or self._clock.now_ms() >= until_ms:
                return source
            await self._clock.sleep_ms(_STARTUP_RETRY_MS)
        return None

    async def _find_source_as_standby(self) -> _Source | None:
        """Look for one to follow, and give up soon: others wait for this one."""
        source = None
        with self._clock.timeout_ms(
            _STANDBY_DISCOVERY_MS * len(self._topology.sources)
        ):
            while source is None and self._topology.sources:
                source = await self._find_source()
                if source is None:
                    await self._clock.sleep_ms(_STARTUP_RETRY_MS)
        if source is None:
            # Those before it may have been slower to start.
            self._next_discovery_ms = self._clock.now_ms() + _STARTUP_DISCOVERY_MS
        return source

    async def _find_source(self) -> _Source | None:
        """Return a source that hears the store; None if none does."""
        self._unserved.clear()
        self._is_reported_partitioned = False
        source = await self._request_in_order(self._topology.sources)
        if source is not None:
            return source
        if self._is_reported_partitioned:
            # Nobody elsewhere can be reached; asking them would put off the next
            # look, and with it what keeps this instance out of rotation.
            return None
        if self.unavailable or self._mode is not _Mode.WATCHING:
            return await self._find_neighbour()
        return None

    async def _request_in_order(
        self, entries: Sequence[InstanceEntry]
    ) -> _Source | None:
        """Return the first to answer that hears the store; None if none does.

        Load pattern: a zone has lost power. Its first source is back last, or not at
        all, and does not even refuse; all others would wait for it in a row.
        """
        found: list[_Source] = []
        with ExitStack() as stack:
            stack.callback(_close_all, found)
            async with trio.open_nursery() as nursery:

                async def request(entry: InstanceEntry, ended: trio.Event) -> None:
                    source = await self._request(
                        entry.name, entry.address, is_same_zone=True
                    )
                    if source is not None:
                        found.append(source)
                        nursery.cancel_scope.cancel()
                    ended.set()

                for entry in entries:
                    ended = trio.Event()
                    nursery.start_soon(request, entry, ended)
                    with self._clock.timeout_ms(_NEXT_SOURCE_DELAY_MS):
                        await ended.wait()
            if found:
                return found.pop(0)
        return None

    async def _find_source_in_outage(self) -> _Source | None:
        """Look for a source without the store, while it seems to serve nobody.

        Nearly all instances are followers. Each would try the store again and again,
        and list all servers as soon as it is back, although those that watch it for
        the others know them a moment later.
        """
        until_ms = self._clock.now_ms() + _OUTAGE_WAIT_MS
        while (
            len(self._unserved) >= _UNSERVED_THRESHOLD and not self._topology.is_source
        ):
            if self._clock.now_ms() >= until_ms:
                return None
            await self._clock.sleep_ms(_OUTAGE_DISCOVERY_INTERVAL_MS)
            source = await self._find_source()
            if source is not None:
                return source
        return None

    async def _find_neighbour(self) -> _Source | None:
        """Return a neighbour that hears the store; None if none that is asked does.

        The store may turn away some instances and serve the others. Those
        turned away would go by the servers and the version that they had.
        """
        found: list[_Source] = []

        async def request(entry: InstanceEntry) -> None:
            is_same_zone = self._topology.is_same_zone(entry)
            source = await self._request(
                entry.name, entry.address, is_same_zone=is_same_zone
            )
            if source is None:
                return
            if found:
                source.client.close()
                return
            found.append(source)
            nursery.cancel_scope.cancel()

        neighbours = self._topology.neighbours
        count = min(len(neighbours), _NEIGHBOUR_SAMPLE_SIZE)
        async with trio.open_nursery() as nursery:
            for entry in random.sample(neighbours, count):
                nursery.start_soon(request, entry)
        return found[0] if found else None

    async def _request(
        self, name: str, address: Address, *, is_same_zone: bool
    ) -> _Source | None:
        """Ask an instance; return it if it hears the store."""
        client = self._connect(address)
        with ExitStack() as stack:
            stack.callback(client.close)
            request = StateRequest(0, self._known_version())
            state = await request_state(client, request, name=name)
            self._record_response(name, state, is_same_zone=is_same_zone)
            if state is None or not state.is_fresh:
                return None
            stack.pop_all()
            return _Source(name, client, state, is_same_zone)

    def _record_response(
        self, name: str, state: RelayedState | None, *, is_same_zone: bool
    ) -> None:
        """Take in what an answer, or none, says besides what the store holds."""
        if state is None:
            self._on_unreachable(name)
            return
        if is_same_zone:
            self._on_partitioned(name, state.is_cut_off)
            self._is_reported_partitioned = (
                state.is_cut_off or self._is_reported_partitioned
            )
        if not state.is_fresh:
            _LOG.info("%s does not hear the store.", name)
            self._unserved.add(name)
            self._store_was_unavailable = True
            if self._accepts_stale_state:
                self._apply(state)

    async def _subscribe(self, source: _Source) -> None:
        """Take in an instance's state until it fails or hears no store."""
        with closing(source.client):
            _LOG.info("The state comes from %s from now on.", source.name)
            self._mode = _Mode.SUBSCRIBED
            self._store_was_unavailable = False
            state: RelayedState | None = source.state
            revision = 0
            while state is not None and state.is_fresh:
                if state.revision != revision or state.has_configuration:
                    self._apply(state)
                revision = state.revision
                request = StateRequest(revision, self._known_version())
                state = await request_state(source.client, request, name=source.name)
                self._record_response(
                    source.name, state, is_same_zone=source.is_same_zone
                )
        self._mode = _Mode.SEEKING

    def _options(self) -> WatchOptions:
        if self._topology.is_source or not self._topology.sources:
            return WatchOptions(self._store_was_unavailable)
        return WatchOptions(
            self._store_was_unavailable,
            _SUBSCRIBER_MAXIMUM_BACKOFF_MS,
            resume_delay_ms=_OUTAGE_DISCOVERY_INTERVAL_MS,
        )

    async def _watch_until_source_found(self) -> _Source | None:
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
            self._kind_count = len(self.unavailable)
            discovered_ms = self._watch_started_ms
            # Others follow this instance now, or no more: it watches anew.
            while source is None and self._topology.is_source is is_source:
                await self._clock.sleep_ms(_TOPOLOGY_CHECK_INTERVAL_MS)
                pause_ms = (
                    _OUTAGE_DISCOVERY_INTERVAL_MS
                    if self.unavailable
                    else _DISCOVERY_INTERVAL_MS
                )
                now_ms = self._clock.now_ms()
                if now_ms >= min(discovered_ms + pause_ms, self._next_discovery_ms):
                    self._next_discovery_ms = math.inf
                    source = await self._find_source()
                    discovered_ms = self._clock.now_ms()
            nursery.cancel_scope.cancel()
        self._store_was_unavailable = bool(self.unavailable)
        self._mode = _Mode.SEEKING
        return source
