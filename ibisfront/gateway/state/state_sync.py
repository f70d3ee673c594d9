"""Selection of the state source of an instance: the store or another instance."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from contextlib import ExitStack, closing
from enum import Enum
from random import Random
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
"""How often an instance that watches the store checks whether it has become a state
source or has ceased to be one: the watches of sources use a shorter wait."""

_DISCOVERY_INTERVAL_MS = 5_000.0
"""Interval between searches for a source while the store answers. A standby of a lost
source searches for as long as the lost one is listed."""

_OUTAGE_DISCOVERY_INTERVAL_MS = 700.0
"""The same while the store is unavailable: it may serve other instances already."""

_SUBSCRIBER_MAXIMUM_BACKOFF_MS = 3_000.0
"""Maximum backoff at the store for instances that are not sources. They are nearly all
instances, each rejected call has a cost, and the recovery is relayed by the sources,
which retry more often. It is below the bound ``contact_ms`` in case all sources are
lost."""

_STARTUP_DISCOVERY_MS = 1_000.0
"""How long a starting instance searches for a source: after a power failure all
instances start within about this time of each other."""

_STARTUP_RETRY_MS = 100.0
"""Pause between two such searches."""

_STANDBY_DISCOVERY_MS = 150.0
"""How long a starting standby searches, per source preferred to it: all other
instances wait for it during this time."""

_NEXT_SOURCE_DELAY_MS = 60.0
"""Time without a response after which the next source is requested too: several
network round trips within a zone, plus the response time of a busy process."""

_NEIGHBOUR_SAMPLE_SIZE = 4
"""Neighbours that are requested at once; as many again are requested if none of them
responds with fresh state soon. Of six, with the store serving two, one in fifteen
instances would otherwise miss both in each search, and some several times in a row."""

_UNSERVED_THRESHOLD = 4
"""Number of responding instances, none of which the store answers, that indicates a
complete outage: three instances of one zone may be rejected together."""

_OUTAGE_WAIT_MS = 6_000.0
"""How long an instance that is not a source avoids the store in a complete outage."""

_OWN_RETRY_MS = 1_000.0
"""How long a state source retries the store after a neighbour has got an answer from
it: longer than the maximum backoff. If all sources of a zone subscribed to a neighbour
at the end of an outage, their zone would have no source for seconds."""

_NEIGHBOUR_SUBSCRIPTION_MS = 5_000.0
"""How long an instance subscribes to a neighbour before it retries the store. Outages
that affect single instances last seconds, and each rejected call has a cost."""


class _Source(msgspec.Struct):
    """An instance that responded with fresh state.

    Attributes
    ----------
    name : str
        Name of the instance.
    client : StateClient
        Client of the instance; closed by the subscriber.
    state : RelayedState
        Its response.
    is_same_zone : bool
        Whether it is in the same zone as this instance.
    """

    name: str
    client: StateClient
    state: RelayedState
    is_same_zone: bool


def _close_all(sources: list[_Source]) -> None:
    for source in sources:
        source.client.close()


class _Mode(Enum):
    """Current mode of the instance."""

    SEEKING = "seeking"
    SUBSCRIBED = "following"
    WATCHING = "watching"


class StateSync:
    """Keeps the configuration, the servers and the instances up to date.

    It subscribes to one of the instances that watch the store. While no source is
    available, because all are lost, unresponsive or rejected by the store, it watches
    the store itself.

    Parameters
    ----------
    topology : RelayTopology
        Sources of this instance.
    connect : callable
        Returns a client for the instance at an address.
    watch : callable
        Watches the store for as long as the nursery runs, with these options.
    apply : callable
        Applies a state relayed by another instance.
    on_partition_report : callable
        Called with each response of an instance of the zone: its name, and whether
        it is partitioned from the servers.
    on_unreachable : callable
        Called with the name of an instance that has stopped responding.
    known_version : callable
        Returns the active configuration version; 0 for none.
    seeds : sequence of str
        Addresses of some other instances, for a start without the store.
    clock : Clock
        Clock of the instance.
    is_first_start : bool, optional
        Whether all instances start for the first time, before any caller traffic.
    random : random.Random, optional
        Source of randomness.

    Attributes
    ----------
    unavailable : set of str
        Kinds for which the store does not answer, and those not listed yet.
    """

    __slots__ = (
        "_apply",
        "_clock",
        "_connect",
        "_first_poll_done",
        "_is_first_start",
        "_is_reported_partitioned",
        "_kind_count",
        "_known_version",
        "_mode",
        "_next_discovery_ms",
        "_on_partition_report",
        "_on_unreachable",
        "_random",
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
        on_partition_report: Callable[[str, bool], None],
        on_unreachable: Callable[[str], None],
        known_version: Callable[[], int],
        seeds: Sequence[Address],
        clock: Clock,
        is_first_start: bool = False,
        random: Random | None = None,
    ) -> None:
        self._is_first_start = is_first_start
        self._random = random or Random()
        self._next_discovery_ms = math.inf
        self._topology = topology
        self._connect = connect
        self._watch = watch
        self._apply = apply
        self._on_partition_report = on_partition_report
        self._on_unreachable = on_unreachable
        self._known_version = known_version
        self._seeds = seeds
        self._clock = clock
        self._mode = _Mode.SEEKING
        self._first_poll_done = trio.Event()
        self._watch_started_ms = -math.inf
        self._kind_count = 0
        self._is_reported_partitioned = False
        # Instances that responded to the last search but get no answer from the store.
        self._unserved: set[str] = set()
        self.unavailable: set[str] = set()
        # Entries expire while the store is unavailable: servers missing from the
        # next listing may be live.
        self._store_was_unavailable = False

    @property
    def is_fresh(self) -> bool:
        """Whether others may subscribe: only while the store answers this instance.

        Two instances subscribed to each other would both appear up to date
        indefinitely.
        """
        return self._mode is _Mode.WATCHING and not self.unavailable

    @property
    def has_fresh_state(self) -> bool:
        """Whether the configuration here is the newest, but for a short delay.

        It is if the store answers this instance, or the source to which it subscribes.
        """
        return self._mode is _Mode.SUBSCRIBED or self.is_fresh

    @property
    def may_become_fresh(self) -> bool:
        """Whether requests should wait for this instance to become fresh.

        An instance that the store rejects, or that has waited too long for the first
        answer, must not delay its subscribers: they need changes that it does not
        receive.
        """
        if self._mode is _Mode.WATCHING:
            age_ms = self._clock.now_ms() - self._watch_started_ms
            return bool(self.unavailable) and age_ms < FRESH_WAIT_MS
        return self._mode is _Mode.SEEKING

    @property
    def watches_store(self) -> bool:
        """Whether this instance must also read the list of instances."""
        return self._mode is not _Mode.SUBSCRIBED

    @property
    def _accepts_stale_state(self) -> bool:
        """Whether outdated state of another instance is better than none.

        Once the store has listed one kind, an older list from another instance would
        replace the newer one, and no change would correct it.
        """
        has_listed = (
            self._mode is _Mode.WATCHING and len(self.unavailable) < self._kind_count
        )
        return not has_listed and not self._known_version()

    def record_first_poll(self) -> None:
        """Record the first poll of the list of instances, even if it failed."""
        self._first_poll_done.set()

    async def run(self) -> None:
        """Keep the state up to date until cancelled."""
        await self._first_poll_done.wait()
        async with trio.open_nursery() as nursery:
            if not self._topology.is_loaded:
                nursery.start_soon(self._request_seeds)
            await self._maintain()

    async def _maintain(self) -> None:
        self._mode = _Mode.SEEKING
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
        """Apply the state of other instances if the store is unavailable at start.

        Without a configuration all callers would be rejected until the store
        recovers. The store is tried concurrently, since each lost or partitioned
        seed takes a second to time out.
        """
        async with trio.open_nursery() as nursery:
            for address in self._seeds:
                nursery.start_soon(self._request_seed, address)

    async def _request_seed(self, address: Address) -> None:
        # Possibly in another zone: no subscription.
        source = await self._request(address, address, is_same_zone=False)
        if source is None:
            return
        with closing(source.client):
            if self._accepts_stale_state:
                self._apply(source.state)

    async def _find_source_at_start(self) -> _Source | None:
        """Search for a source while all instances may be starting."""
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
        """Search for a source only briefly, since other instances wait for this one."""
        source = None
        with self._clock.timeout_ms(
            _STANDBY_DISCOVERY_MS * len(self._topology.sources)
        ):
            while source is None and self._topology.sources:
                source = await self._find_source()
                if source is None:
                    await self._clock.sleep_ms(_STARTUP_RETRY_MS)
        if source is None:
            # The preferred sources may have been slower to start.
            self._next_discovery_ms = self._clock.now_ms() + _STARTUP_DISCOVERY_MS
        return source

    async def _find_source(self) -> _Source | None:
        """Return an instance with fresh state; None if there is none."""
        self._unserved.clear()
        self._is_reported_partitioned = False
        source = await self._request_in_order(self._topology.sources)
        if source is not None:
            return source
        if self._is_reported_partitioned:
            # Other zones are unreachable; requests to them would delay the next search,
            # whose reports keep this instance out of rotation.
            return None
        if self.unavailable or self._mode is not _Mode.WATCHING:
            return await self._find_neighbour()
        return None

    async def _request_in_order(
        self, entries: Sequence[InstanceEntry]
    ) -> _Source | None:
        """Return the first instance to respond with fresh state; None if none does.

        After a power failure in a zone, its first source may recover last or never,
        and does not even refuse connections; all others would wait for its timeout.
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
        """Search for a source without calling the store, during a complete outage.

        Nearly all instances are subscribers. Each would retry the store repeatedly
        and list all servers on its recovery, although the sources relay them a moment
        later.
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
        """Return a sampled neighbour with fresh state; None if there is none.

        The store may reject some instances and serve others. The rejected ones would
        continue with outdated servers and configuration.
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
        count = min(len(neighbours), 2 * _NEIGHBOUR_SAMPLE_SIZE)
        drawn = self._random.sample(neighbours, count)
        async with trio.open_nursery() as nursery:
            for entry in drawn[:_NEIGHBOUR_SAMPLE_SIZE]:
                nursery.start_soon(request, entry)
            await self._clock.sleep_ms(_NEXT_SOURCE_DELAY_MS)
            # Some of the first may wait for the store for as long as a search pauses.
            for entry in drawn[_NEIGHBOUR_SAMPLE_SIZE:]:
                nursery.start_soon(request, entry)
        return found[0] if found else None

    async def _request(
        self, name: str, address: Address, *, is_same_zone: bool
    ) -> _Source | None:
        """Request the state of an instance; return it as a source if fresh."""
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
        """Record what a response, or its absence, shows about the instance."""
        if state is None:
            self._on_unreachable(name)
            return
        if is_same_zone:
            self._on_partition_report(name, state.is_cut_off)
            self._is_reported_partitioned = (
                state.is_cut_off or self._is_reported_partitioned
            )
        if not state.is_fresh:
            _LOG.info("%s has no fresh state of the store.", name)
            self._unserved.add(name)
            self._store_was_unavailable = True
            if self._accepts_stale_state:
                self._apply(state)

    async def _subscribe(self, source: _Source) -> None:
        """Apply an instance's state until it fails or is no longer fresh."""
        with closing(source.client):
            _LOG.info("Subscribed to the state of %s.", source.name)
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

    def _prefers_store(self, source: _Source, served_elsewhere_ms: float) -> bool:
        """Return whether to retry the store rather than subscribe to a neighbour."""
        if not self._topology.is_source or source.is_same_zone:
            return False
        return self._clock.now_ms() < served_elsewhere_ms + _OWN_RETRY_MS

    def _use_once(self, source: _Source) -> None:
        """Apply a neighbour's state unless the store has answered, and close it."""
        with closing(source.client):
            if len(self.unavailable) == self._kind_count:
                self._apply(source.state)

    def _options(self) -> WatchOptions:
        if self._topology.is_source or not self._topology.sources:
            return WatchOptions(self._store_was_unavailable)
        return WatchOptions(
            self._store_was_unavailable,
            _SUBSCRIBER_MAXIMUM_BACKOFF_MS,
            resume_delay_ms=_OUTAGE_DISCOVERY_INTERVAL_MS,
        )

    async def _watch_until_source_found(self) -> _Source | None:
        """Watch the store until a source is found.

        The watch continues during a search: otherwise the subscribers of this
        instance would all switch sources and fetch the complete state there.
        """
        source = None
        async with trio.open_nursery() as nursery:
            self._mode = _Mode.WATCHING
            is_source = self._topology.is_source
            self._watch_started_ms = self._clock.now_ms()
            _LOG.info("Watching the store directly.")
            self._watch(nursery, self._options())
            self._kind_count = len(self.unavailable)
            last_discovery_ms = self._watch_started_ms
            served_elsewhere_ms = math.inf
            # Restart the watch when this instance becomes or ceases to be a source.
            while source is None and self._topology.is_source is is_source:
                await self._clock.sleep_ms(_TOPOLOGY_CHECK_INTERVAL_MS)
                pause_ms = (
                    _OUTAGE_DISCOVERY_INTERVAL_MS
                    if self.unavailable
                    else _DISCOVERY_INTERVAL_MS
                )
                now_ms = self._clock.now_ms()
                if now_ms >= min(last_discovery_ms + pause_ms, self._next_discovery_ms):
                    self._next_discovery_ms = math.inf
                    source = await self._find_source()
                    last_discovery_ms = self._clock.now_ms()
                    if source is None:
                        continue
                    served_elsewhere_ms = min(served_elsewhere_ms, last_discovery_ms)
                    if self._prefers_store(source, served_elsewhere_ms):
                        self._use_once(source)
                        source = None
            nursery.cancel_scope.cancel()
        self._store_was_unavailable = bool(self.unavailable)
        self._mode = _Mode.SEEKING
        return source
