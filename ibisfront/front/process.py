"""The parts of one front process, put together."""

from __future__ import annotations

import math
import random
from functools import partial
from typing import TYPE_CHECKING

import msgspec

from ibisfront.core.counters import CounterKind
from ibisfront.core.logs import LogPart, part_logger
from ibisfront.core.metrics_text import CONTENT_TYPE, Gauge, metrics_text
from ibisfront.front.connections import Connections
from ibisfront.front.feeding import watch_store
from ibisfront.gateway.answering import Answering
from ibisfront.gateway.gateway import Gateway
from ibisfront.gateway.instances.directory import (
    ASSUMED_INSTANCES,
    InstanceEntry,
    peer_entry,
)
from ibisfront.gateway.instances.gatherers import Gatherers
from ibisfront.gateway.instances.zone_watch import ZoneWatch
from ibisfront.gateway.instances.zone_ways import ZoneWays
from ibisfront.gateway.load.budget import ExtraBudgets
from ibisfront.gateway.messages import CallerReply
from ibisfront.gateway.observing import Observer
from ibisfront.gateway.queries.delegation import Delegation
from ibisfront.gateway.servers.server_book import ServerBook
from ibisfront.gateway.servers.server_news import ServerNews
from ibisfront.gateway.state.configuration import CallerLimits, RouteTable
from ibisfront.gateway.state.configuration_change import changed_configuration
from ibisfront.gateway.state.relays import Relays
from ibisfront.gateway.state.state_feed import StateFeed
from ibisfront.gateway.state.state_relay import KnownState, RelayedState, StateSource
from ibisfront.http1.state_client import HttpStateClient, asked_state
from ibisfront.platform.headers import WIRE

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    import trio

    from ibisfront.core.clock import Clock
    from ibisfront.gateway.messages import InboundRequest
    from ibisfront.gateway.servers.server_entry import ServerEntry
    from ibisfront.gateway.settings import GatewaySettings
    from ibisfront.gateway.state.configuration import Configuration
    from ibisfront.gateway.state.configuration_change import ConfigurationChange

__all__ = ["FrontProcess"]

_TABLE_LOG = part_logger(LogPart.TABLE)
_BALANCER_LOG = part_logger(LogPart.INSTANCE)

_PEER_HEADER_BYTES = 1_024
"""What an instance adds to a caller's headers: four short ones, and a bit for
each service."""

_UPKEEP_MS = 100.0
"""How often lapsed entries and servers out of reach are looked at."""


class FrontProcess:
    """One front process: its parts, and what feeds them.

    Parameters
    ----------
    settings : GatewaySettings
        The settings at the start.
    clock : Clock
        The tier's clock.
    nursery : trio.Nursery
        Runs the connections.

    Attributes
    ----------
    gateway : Gateway
        Answers callers.
    book, peers : ServerBook
        The backend servers and the other instances.
    budgets : ExtraBudgets
        The budgets of extra sub-requests.
    connections : Connections
        How many connections there are to whom.
    observer : Observer
        Counters and latencies.
    own : InstanceEntry
        What this instance says of itself.
    gatherers : Gatherers
        Which instances gather for the others.
    source : StateSource
        Passes the store's state on to other instances.
    relays : Relays
        Which instances watch the store for the others.
    feed : StateFeed
        Keeps the store's state up to date.
    zone_watch : ZoneWatch
        Finds out which other zones are cut off.
    is_stopping : bool
        Whether a planned stop has begun.
    """

    __slots__ = (
        "_clock",
        "_news",
        "_was_ready",
        "book",
        "budgets",
        "connections",
        "feed",
        "gateway",
        "gatherers",
        "is_stopping",
        "observer",
        "own",
        "peers",
        "relays",
        "settings",
        "source",
        "zone_watch",
    )

    def __init__(
        self, settings: GatewaySettings, *, clock: Clock, nursery: trio.Nursery
    ) -> None:
        self.settings = settings
        self._clock = clock
        zone = settings.zone
        self.observer = Observer()
        self.budgets = ExtraBudgets(
            settings.bounds,
            instances=ASSUMED_INSTANCES,
            started_ms=-math.inf if settings.is_first_start else clock.now_ms(),
        )
        own = InstanceEntry(
            settings.instance,
            zone,
            settings.peers_address or "",
            settings.capacity,
        )
        self.own = own
        self._news = ServerNews(clock)
        self.gatherers = Gatherers(own)
        self.connections = Connections(
            gatherers=self.gatherers,
            budgets=self.budgets,
            find_table=lambda: self.gateway.table,
            find_bounds=lambda: self.settings.bounds,
            nursery=nursery,
            clock=clock,
            news=self._news,
        )
        ways = ZoneWays(zone)
        self.book = ServerBook(
            clock=clock,
            make_pool=self.connections.server_pool,
            zone=zone,
            ways=ways,
            news=self._news,
            evacuated=None if settings.bounds.evacuation_ms else frozenset(),
        )
        self.peers = ServerBook(
            clock=clock,
            make_pool=self.connections.peer_pool,
            zone=zone,
            ways=ways,
            news=self._news,
        )
        self.zone_watch = ZoneWatch(
            ways=ways,
            servers=self.book,
            peers=self.peers,
            counters=self.observer.counters,
            on_change=lambda: self.source.wake_askers(),
            clock=clock,
        )
        self.relays = Relays(own)
        self.feed = StateFeed(
            relays=self.relays,
            connect=HttpStateClient,
            watch=partial(watch_store, self, clock=clock),
            take=self.take_state,
            on_cut_off=self._note_cut_off,
            on_lost=self._note_peer_lost,
            known_version=lambda: self._version if self.gateway.is_informed else 0,
            seeds=settings.seeds,
            clock=clock,
            is_first_start=settings.is_first_start,
        )
        self.source = StateSource(
            state=self._state,
            is_fresh=lambda: self.feed.is_fresh,
            may_become_fresh=lambda: self.feed.may_become_fresh,
            is_cut_off=lambda: self.gateway.is_cut_off,
            clock=clock,
        )
        self.gateway = Gateway(
            Answering(
                book=self.book,
                budgets=self.budgets,
                wire=WIRE,
                clock=clock,
                observer=self.observer,
            ),
            delegation=Delegation(
                book=self.book,
                peers=self.peers,
                zone=zone,
                gatherers=self.gatherers,
                clock=clock,
            ),
        )
        self.is_stopping = False
        self._was_ready = False

    @property
    def is_ready(self) -> bool:
        """Whether the balancer should send callers here."""
        return self.gateway.is_ready and not self.is_stopping

    def tell_readiness(self) -> bool:
        """Return what the balancer is told, and note when that changes."""
        is_ready = self.gateway.tell_readiness() and not self.is_stopping
        if is_ready is not self._was_ready:
            self._was_ready = is_ready
            word = "ready" if is_ready else "not ready"
            fields = {
                "version": self._version,
                "stopping": self.is_stopping,
                "found_cut_off": self.gateway.is_cut_off,
                "told_cut_off": self.gateway.is_told_cut_off,
            }
            _BALANCER_LOG.info("The balancer is told %s.", word, extra=fields)
        return is_ready

    def limits(self) -> CallerLimits:
        """Return what callers may send."""
        table = self.gateway.table
        return CallerLimits() if table is None else table.configuration.limits

    def peer_limits(self) -> CallerLimits:
        """Return what other instances may send: callers' requests, and a little.

        A caller's request that is just within its limit would be refused by
        the other instance for the headers that go along with it.
        """
        limits = self.limits()
        return msgspec.structs.replace(
            limits,
            maximum_header_bytes=limits.maximum_header_bytes + _PEER_HEADER_BYTES,
        )

    async def answer_ready(self, request: InboundRequest) -> CallerReply:
        """Answer the balancer."""
        return CallerReply(200 if self.tell_readiness() else 503, [], b"", "ready")

    async def answer_peer(self, request: InboundRequest) -> CallerReply:
        """Answer another instance."""
        asked = asked_state(request)
        if asked is not None:
            state = await self.source.answer(asked)
            counters = self.observer.counters
            counters.add(CounterKind.PEER_BYTES, "state_sent", len(state))
            return CallerReply(200, [], state, "state")
        return await self.gateway.answer_instance(request)

    async def answer_metrics(self, request: InboundRequest) -> CallerReply:
        """Answer with the counters, latencies and gauges as text."""
        observer = self.observer
        text = metrics_text(
            observer.counters.values(), observer.latencies.samples(), self._gauges()
        )
        headers = [(b"Content-Type", CONTENT_TYPE)]
        return CallerReply(200, headers, text.encode(), "metrics")

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Put changed settings in force, as far as that needs no restart."""
        self.settings = settings
        self.budgets.use(settings.bounds, self._clock.now_ms())

    def take_instances(self, listed: Sequence[InstanceEntry]) -> None:
        """Take in the list of instances."""
        before = (self.budgets.instances, self.gatherers.is_gatherer)
        is_first = not self.relays.is_known
        self.budgets.instances = max(len(listed), 1)
        self.peers.replace(
            [peer_entry(item) for item in listed if item.name != self.own.name],
            after_outage=False,
        )
        self.relays.update(listed)
        self.gatherers.update(listed, self.gateway.table)
        self._share_allowances()
        after = (self.budgets.instances, self.gatherers.is_gatherer)
        if is_first or after != before:
            self.connections.share(self.book)
            self.connections.warm_up(self.book)
        self.source.note_change()

    def _note_cut_off(self, name: str, is_cut_off: bool) -> None:
        """Take in whether another instance of the zone is cut off.

        One that gathers nothing asks no servers, and does not know that the cut goes
        on. Taken at its word, an instance would be in rotation again, and with it the
        whole zone: the balancer uses all of a zone as long as any of it is ready.
        """
        if self.gatherers.is_gatherer:
            return
        if is_cut_off or name in self.gatherers.of_zone(self.own.zone):
            self.gateway.note_cut_off(is_cut_off)

    def _note_peer_lost(self, name: str) -> None:
        """Take in that another instance does not answer any more."""
        for peer in self.peers.servers():
            if peer.entry.server_id == name:
                peer.note_unreachable(self._clock.now_ms())

    def take_state(self, state: RelayedState) -> None:
        """Take in the store's state as another instance passed it on."""
        if state.instances:
            self.take_instances(state.instances)
        if state.configuration is not None:
            self.use_configuration(state.configuration)
        if state.configuration_change is not None:
            self._change_configuration(state.configuration_change)
        if state.evacuated is not None:
            self.use_evacuations(frozenset(state.evacuated))
        if state.is_whole:
            self.replace_servers(state.servers, after_outage=state.may_lack_servers)
        else:
            for entry in state.servers:
                self.book.put(entry)
            for server_id in state.removed:
                self.book.remove(server_id)
        self.connections.warm_up(self.book)
        self.source.note_change()

    def _change_configuration(self, change: ConfigurationChange) -> None:
        """Put what a change leads to in force, if it applies here.

        The store may have brought another version since the change was asked
        for; the next question says which.
        """
        table = self.gateway.table
        if table is None or table.configuration.version != change.before:
            self.observer.counters.add(CounterKind.TABLE_CHANGES, "not_applicable")
            return
        self.use_configuration(changed_configuration(table.configuration, change))

    @property
    def _version(self) -> int:
        """The version in force; 0 for none."""
        table = self.gateway.table
        return 0 if table is None else table.configuration.version

    def _state(self) -> KnownState:
        """Return what may be passed on.

        A server that is kept although its entry is missing is this instance's
        guess. Passed on as listed, it would be used again by those that know that
        it has gone, for as long as it is kept here.
        """
        table = self.gateway.table
        lapsed = self.book.lapsed()
        return KnownState(
            configuration=None if table is None else table.configuration,
            servers=[
                server.entry for server in self.book.servers() if not server.is_lapsed
            ],
            instances=list(self.gatherers.instances) if self.relays.is_known else [],
            lapsed=lapsed,
            may_lack_servers=self.book.may_lack_servers,
            evacuated=self.book.evacuated,
        )

    async def keep_up(self) -> None:
        """Look after what is known of servers, until cancelled."""
        while True:
            await self._clock.sleep_ms(_UPKEEP_MS)
            if self.book.remove_lapsed():
                self.source.note_change()
            self._news.tell()
            self.book.probe_unreachable()
            self.peers.probe_unreachable()

    def replace_servers(
        self,
        entries: Sequence[ServerEntry],
        *,
        after_outage: bool,
        unreadable: Collection[str] = (),
    ) -> None:
        """Take in a full list of servers; see ``ServerBook.replace``."""
        self.book.replace(entries, after_outage=after_outage, unreadable=unreadable)
        self.connections.warm_up(self.book)
        self.gateway.note_learnt()

    def use_evacuations(self, zones: frozenset[str]) -> None:
        """Send nothing more to the servers of these zones."""
        if zones == self.book.evacuated:
            return
        counters = self.observer.counters
        released = self.book.evacuate(zones)
        counters.add(CounterKind.MEMBER_CHANGES, "evacuations")
        now_ms = self._clock.now_ms()
        for server in released:
            server.return_cold(now_ms, warm_up_share=random.random())
        self.connections.warm_up(self.book)
        self.gateway.note_learnt()

    def use_configuration(self, configuration: Configuration) -> None:
        """Put a configuration in force if it is newer than the one that is."""
        counters = self.observer.counters
        known = self.gateway.table
        version = configuration.version
        if known is not None and known.configuration.version >= version:
            # A read after a reconnection may be older than what a watch
            # brought; versions never fall within a process.
            counters.add(CounterKind.TABLE_CHANGES, "not_newer")
            return
        before = None if known is None else known.configuration.version
        self.gateway.table = RouteTable(configuration)
        counters.add(CounterKind.TABLE_CHANGES, "in_force")
        fields = {"version": version, "before": before}
        _TABLE_LOG.info("Configuration %d is in force.", version, extra=fields)
        self.gatherers.update(self.gatherers.instances, self.gateway.table)
        self._share_allowances()
        self.connections.share(self.book)
        self.connections.warm_up(self.book)

    def _share_allowances(self) -> None:
        """Have those that gather share the allowances of gathered services."""
        table = self.gateway.table
        services: frozenset[str] = frozenset()
        if table is not None and self.gatherers.is_concentrated:
            services = table.gathered_services
        count = self.gatherers.count if self.gatherers.is_gatherer else math.inf
        self.budgets.use_gatherers(count, services)

    def _gauges(self) -> list[Gauge]:
        servers = list(self.book.servers())
        now_ms = self._clock.now_ms()
        lost = sum(not server.is_reachable(now_ms) for server in servers)
        return [
            Gauge(
                "ready", "Whether the balancer may send callers here.", self.is_ready
            ),
            Gauge("configuration_version", "The version in force.", self._version),
            Gauge("servers", "Backend servers listed.", len(servers)),
            Gauge(
                "evacuated_zones",
                "Zones whose servers get nothing.",
                len(self.book.evacuated or ()),
            ),
            Gauge("servers_out_of_reach", "Of these, silent or refusing.", lost),
            Gauge("instances", "Instances listed.", self.budgets.instances),
        ]
