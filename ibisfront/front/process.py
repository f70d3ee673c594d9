"""Assembles the components of one front process."""

from __future__ import annotations

import math
import random
from functools import partial
from typing import TYPE_CHECKING

import msgspec

from ibisfront.core.counters import CounterKind
from ibisfront.core.logs import LogPart, part_logger
from ibisfront.core.metrics_text import CONTENT_TYPE, Gauge, metrics_text
from ibisfront.core.pause import PauseLog
from ibisfront.core.task_guard import TaskGuard
from ibisfront.front.connections import Connections
from ibisfront.front.store_watches import watch_store
from ibisfront.gateway.gateway import Gateway
from ibisfront.gateway.gateway_context import GatewayContext
from ibisfront.gateway.instances.coordinators import Coordinators
from ibisfront.gateway.instances.crash_reports import CrashReports
from ibisfront.gateway.instances.directory import (
    ASSUMED_INSTANCES,
    InstanceEntry,
    peer_entry,
)
from ibisfront.gateway.instances.recent_instances import RecentInstances
from ibisfront.gateway.instances.suspect_records import SUSPECTS_KIND, SuspectRecords
from ibisfront.gateway.instances.zone_path_monitor import ZonePathMonitor
from ibisfront.gateway.instances.zone_paths import ZonePaths
from ibisfront.gateway.load.retry_budget import RetryBudgets
from ibisfront.gateway.messages import CallerReply
from ibisfront.gateway.observability import Observer
from ibisfront.gateway.queries.delegation import Delegation
from ibisfront.gateway.quotas.quota_messages import PeerQuotaMessages
from ibisfront.gateway.quotas.quotas import Quotas
from ibisfront.gateway.servers.server_event_log import ServerEventLog
from ibisfront.gateway.servers.server_registry import ServerRegistry
from ibisfront.gateway.state.configuration import CallerLimits, RouteTable
from ibisfront.gateway.state.configuration_change import apply_change
from ibisfront.gateway.state.relay_topology import RelayTopology
from ibisfront.gateway.state.state_relay import LocalState, RelayedState, StateSource
from ibisfront.gateway.state.state_sync import StateSync
from ibisfront.http1.caller_memory import CallerMemory
from ibisfront.http1.state_client import HttpStateClient, parse_state_request
from ibisfront.platform.headers import WIRE
from ibisfront.platform.store import PlatformObjects

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
"""Maximum size of the headers that an instance adds to those of a caller: four short
ones, and one bit per service."""

_JOIN_MS = 10_000.0
"""Time until the others count a new instance: they read the list every 6 s at most, and
it may be some seconds old."""

_MAINTENANCE_INTERVAL_MS = 100.0
"""Interval at which stale entries are removed and unreachable servers probed."""


class FrontProcess:
    """One front process: its components, and the updates that they receive.

    Parameters
    ----------
    settings : GatewaySettings
        The settings at startup.
    clock : Clock
        The clock.
    nursery : trio.Nursery
        Runs the connections.

    Attributes
    ----------
    gateway : Gateway
        Answers callers.
    registry, peers : ServerRegistry
        The backend servers and the other instances.
    budgets : RetryBudgets
        The budgets of extra attempts.
    connections : Connections
        Creates connection pools and limits their sizes.
    observer : Observer
        Counters and latencies.
    own : InstanceEntry
        The entry under which this instance registers.
    coordinators : Coordinators
        Which instances coordinate queries for the others.
    crash_reports : CrashReports
        Shares with other instances which requests crash servers.
    suspect_records : SuspectRecords
        Keeps these requests in the store.
    quotas : Quotas
        Counts requests against the limits of workspaces.
    source : StateSource
        Relays the store's state to other instances.
    topology : RelayTopology
        Which instances watch the store for the others.
    state_sync : StateSync
        Keeps the store's state up to date.
    caller_memory : CallerMemory
        Limits what callers use, over all listeners.
    zone_path_monitor : ZonePathMonitor
        Detects which other zones are partitioned.
    tasks : TaskGuard
        Runs the tasks of the process.
    is_stopping : bool
        Whether a planned stop has begun.
    """

    __slots__ = (
        "_clock",
        "_event_log",
        "_listed",
        "_recent_instances",
        "_reported_ready",
        "budgets",
        "caller_memory",
        "connections",
        "coordinators",
        "crash_reports",
        "gateway",
        "is_stopping",
        "observer",
        "own",
        "peers",
        "quotas",
        "registry",
        "settings",
        "source",
        "state_sync",
        "suspect_records",
        "tasks",
        "topology",
        "zone_path_monitor",
    )

    def __init__(
        self, settings: GatewaySettings, *, clock: Clock, nursery: trio.Nursery
    ) -> None:
        self.settings = settings
        self._clock = clock
        zone = settings.zone
        self.observer = Observer()
        self.tasks = TaskGuard(nursery, clock=clock, counters=self.observer.counters)
        self.caller_memory = CallerMemory(
            memory_bytes=settings.memory_bytes,
            maximum_descriptors=settings.maximum_descriptors,
            clock=clock,
            counters=self.observer.counters,
        )
        self.budgets = RetryBudgets(
            settings.bounds,
            started_ms=clock.now_ms(),
        )
        own = InstanceEntry(
            settings.instance,
            zone,
            settings.peers_address or "",
            settings.capacity,
        )
        self.own = own
        self._listed: Sequence[InstanceEntry] = ()
        self._recent_instances = RecentInstances(
            own.name, is_first_start=settings.is_first_start
        )
        self._event_log = ServerEventLog(clock)
        self.coordinators = Coordinators(own)
        self.connections = Connections(
            coordinators=self.coordinators,
            count_instances=lambda: self.instance_count,
            find_table=lambda: self.gateway.table,
            find_bounds=lambda: self.settings.bounds,
            nursery=self.tasks,
            clock=clock,
            event_log=self._event_log,
            memory_bytes=settings.memory_bytes,
        )
        paths = ZonePaths(zone)
        self.registry = ServerRegistry(
            clock=clock,
            make_pool=self.connections.create_server_pool,
            zone=zone,
            paths=paths,
            event_log=self._event_log,
            evacuated=None if settings.bounds.evacuation_ms else frozenset(),
        )
        self.peers = ServerRegistry(
            clock=clock,
            make_pool=self.connections.create_peer_pool,
            zone=zone,
            paths=paths,
            event_log=self._event_log,
        )
        self.zone_path_monitor = ZonePathMonitor(
            paths=paths,
            servers=self.registry,
            peers=self.peers,
            counters=self.observer.counters,
            on_change=lambda: self.source.notify_subscribers(),
            clock=clock,
        )
        self.topology = RelayTopology(own)
        self.state_sync = StateSync(
            topology=self.topology,
            connect=HttpStateClient,
            watch=partial(watch_store, self, clock=clock),
            apply=self.apply_state,
            on_partition_report=self._record_partition_report,
            on_unreachable=self._record_peer_unreachable,
            known_version=lambda: (
                self._version if self.gateway.has_initial_state else 0
            ),
            seeds=settings.seeds,
            clock=clock,
            is_first_start=settings.is_first_start,
        )
        self.source = StateSource(
            state=self._state,
            is_fresh=lambda: self.state_sync.is_fresh,
            may_become_fresh=lambda: self.state_sync.may_become_fresh,
            is_cut_off=lambda: self.gateway.is_partitioned,
            clock=clock,
        )
        self.suspect_records = SuspectRecords(
            PlatformObjects(settings.store_address, SUSPECTS_KIND),
            clock=clock,
            counters=self.observer.counters,
        )
        self.crash_reports = CrashReports(
            peers=self.peers,
            wire=WIRE,
            clock=clock,
            counters=self.observer.counters,
            records=self.suspect_records,
        )
        self.quotas = Quotas(
            own=own,
            bounds=settings.bounds,
            messages=PeerQuotaMessages(peers=self.peers, wire=WIRE, clock=clock),
            request_id_header=WIRE.request_id,
            clock=clock,
            counters=self.observer.counters,
            is_first_start=settings.is_first_start,
            zones=len(settings.zones),
        )
        self.gateway = Gateway(
            GatewayContext(
                registry=self.registry,
                budgets=self.budgets,
                wire=WIRE,
                clock=clock,
                observer=self.observer,
                crash_reports=self.crash_reports,
                is_fresh=lambda: self.state_sync.has_fresh_state,
            ),
            delegation=Delegation(
                registry=self.registry,
                peers=self.peers,
                zone=zone,
                coordinators=self.coordinators,
                clock=clock,
            ),
            take_quota=self.quotas.take,
            answer_quota=self.quotas.answer,
        )
        self.is_stopping = False
        self._reported_ready = False

    @property
    def is_ready(self) -> bool:
        """Whether the balancer should send callers here."""
        return self.gateway.is_ready and not self.is_stopping

    def report_readiness(self) -> bool:
        """Return the readiness reported to the balancer; log its changes."""
        is_ready = self.gateway.report_readiness() and not self.is_stopping
        if is_ready is not self._reported_ready:
            self._reported_ready = is_ready
            readiness = "ready" if is_ready else "not ready"
            fields = {
                "version": self._version,
                "stopping": self.is_stopping,
                "found_cut_off": self.gateway.is_partitioned,
                "told_cut_off": self.gateway.is_reported_partitioned,
            }
            _BALANCER_LOG.info(
                "Reporting %s to the load balancer.", readiness, extra=fields
            )
        return is_ready

    def limits(self) -> CallerLimits:
        """Return the limits of callers' requests."""
        table = self.gateway.table
        return CallerLimits() if table is None else table.configuration.limits

    def peer_limits(self) -> CallerLimits:
        """Return the limits of other instances' requests, with room for extra headers.

        Otherwise a caller's request just within its limit would be rejected by
        the other instance because of the headers added to it.
        """
        limits = self.limits()
        return msgspec.structs.replace(
            limits,
            maximum_header_bytes=limits.maximum_header_bytes + _PEER_HEADER_BYTES,
        )

    async def answer_ready(self, request: InboundRequest) -> CallerReply:
        """Answer the balancer."""
        return CallerReply(200 if self.report_readiness() else 503, [], b"", "ready")

    async def answer_peer(self, request: InboundRequest) -> CallerReply:
        """Answer another instance."""
        state_request = parse_state_request(request)
        if state_request is not None:
            state = await self.source.answer(state_request)
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
        """Apply changed settings, except for those that need a restart."""
        self.settings = settings
        self.budgets.set_bounds(settings.bounds, self._clock.now_ms())
        self.quotas.set_bounds(settings.bounds)
        self.caller_memory.set_limits(
            memory_bytes=settings.memory_bytes,
            maximum_descriptors=settings.maximum_descriptors,
        )

    def apply_instances(self, listed: Sequence[InstanceEntry]) -> None:
        """Apply a new list of instances."""
        before = (self.instance_count, self.coordinators.is_coordinator)
        is_first = not self.topology.is_loaded
        now_ms = self._clock.now_ms()
        self._listed = listed
        instances = self._recent_instances.update(listed, now_ms)
        self.peers.replace(
            [peer_entry(item) for item in instances if item.name != self.own.name],
            after_outage=False,
        )
        self.topology.update(instances)
        self.coordinators.update(instances, self.gateway.table)
        self._update_budgets(now_ms)
        self.quotas.set_instances(instances)
        after = (self.instance_count, self.coordinators.is_coordinator)
        if is_first and not self.settings.is_first_start:
            self.crash_reports.request_known()
        if is_first or after != before:
            self.connections.update_limits(self.registry)
            self.connections.warm_up(self.registry)
        self.source.record_change()

    @property
    def is_listed(self) -> bool:
        """Whether the last list received has this instance."""
        return any(entry.name == self.own.name for entry in self._listed)

    @property
    def instance_count(self) -> int:
        """Number of instances that share the connections that servers accept."""
        if not self.topology.is_loaded:
            return ASSUMED_INSTANCES
        return max(len(self.coordinators.instances), 1)

    def _update_budgets(self, now_ms: float) -> None:
        """Divide the retry budgets among the instances that count."""
        recent = self._recent_instances
        count = self.instance_count if recent.is_member else math.inf
        self.budgets.set_instance_count(count, now_ms)
        self._update_coordinator_count(now_ms)
        if recent.joined_at_ms == now_ms:
            self.budgets.hold_until(now_ms + _JOIN_MS)
            if not self.settings.is_first_start:
                self.quotas.hold_until(now_ms + _JOIN_MS)

    def _record_partition_report(self, name: str, is_partitioned: bool) -> None:
        """Record whether another instance of the zone reports a partition.

        An instance that coordinates nothing sends no requests to servers and cannot
        detect that a partition lasts. If its report counted, this instance would
        become ready, and the balancer uses a whole zone while any instance is ready.
        """
        if self.coordinators.is_coordinator:
            return
        if is_partitioned or name in self.coordinators.of_zone(self.own.zone):
            self.gateway.record_reported_partition(is_partitioned)

    def _record_peer_unreachable(self, name: str) -> None:
        """Record that another instance no longer answers."""
        for peer in self.peers.servers():
            if peer.entry.server_id == name:
                peer.record_unreachable(self._clock.now_ms())

    def apply_state(self, state: RelayedState) -> None:
        """Apply the store's state as relayed by another instance."""
        if state.instances:
            self.apply_instances(state.instances)
        if state.configuration is not None:
            self.apply_configuration(state.configuration)
        if state.configuration_change is not None:
            self._apply_configuration_change(state.configuration_change)
        if state.evacuated is not None:
            self.apply_evacuations(frozenset(state.evacuated))
        if state.is_whole:
            self.replace_servers(state.servers, after_outage=state.may_lack_servers)
        else:
            for entry in state.servers:
                self.registry.put(entry)
            for server_id in state.removed:
                self.registry.remove(server_id)
        self.connections.warm_up(self.registry)
        self.source.record_change()

    def _apply_configuration_change(self, change: ConfigurationChange) -> None:
        """Apply a configuration change if it applies to the active version.

        The store may have delivered another version since the change was
        requested; the next request states the active one.
        """
        table = self.gateway.table
        if table is None or table.configuration.version != change.before:
            self.observer.counters.add(CounterKind.TABLE_CHANGES, "not_applicable")
            return
        self.apply_configuration(apply_change(table.configuration, change))

    @property
    def _version(self) -> int:
        """The active configuration version; 0 for none."""
        table = self.gateway.table
        return 0 if table is None else table.configuration.version

    def _state(self) -> LocalState:
        """Return the state that may be relayed to other instances.

        A server with a stale entry is only assumed to exist. If it were relayed as
        listed, instances that have applied its removal would use it again, for as
        long as it is kept here.
        """
        table = self.gateway.table
        stale = self.registry.stale()
        return LocalState(
            configuration=None if table is None else table.configuration,
            servers=[
                server.entry
                for server in self.registry.servers()
                if not server.is_stale
            ],
            # As listed: instances that only count here are not passed on.
            instances=list(self._listed),
            stale=stale,
            may_lack_servers=self.registry.may_lack_servers,
            evacuated=self.registry.evacuated,
        )

    async def run_maintenance(self) -> None:
        """Remove stale servers and probe unreachable ones, until cancelled."""
        pauses = PauseLog(self._clock)
        while True:
            await self._clock.sleep_ms(_MAINTENANCE_INTERVAL_MS)
            pauses.record_tick(_MAINTENANCE_INTERVAL_MS)
            if self.registry.remove_stale():
                self.source.record_change()
            self._event_log.flush()
            self.registry.probe_unreachable()
            self.peers.probe_unreachable()
            self.crash_reports.run_due()

    def replace_servers(
        self,
        entries: Sequence[ServerEntry],
        *,
        after_outage: bool,
        unreadable: Collection[str] = (),
    ) -> None:
        """Apply a full list of servers; see ``ServerRegistry.replace``."""
        self.registry.replace(entries, after_outage=after_outage, unreadable=unreadable)
        self.connections.warm_up(self.registry)
        self.gateway.resume_waiting_requests()

    def apply_evacuations(self, zones: frozenset[str]) -> None:
        """Stop sending requests to the servers of exactly these zones."""
        if zones == self.registry.evacuated:
            return
        counters = self.observer.counters
        released = self.registry.evacuate(zones)
        counters.add(CounterKind.MEMBER_CHANGES, "evacuations")
        now_ms = self._clock.now_ms()
        for server in released:
            server.resume_after_evacuation(now_ms, warm_up_share=random.random())
        self.connections.warm_up(self.registry)
        self.gateway.resume_waiting_requests()

    def apply_configuration(self, configuration: Configuration) -> None:
        """Apply a configuration if it is newer than the active one."""
        counters = self.observer.counters
        known = self.gateway.table
        version = configuration.version
        if known is not None and known.configuration.version >= version:
            # A read after a reconnection may be older than what a watch
            # delivered; versions never decrease within a process.
            counters.add(CounterKind.TABLE_CHANGES, "not_newer")
            return
        before = None if known is None else known.configuration.version
        self.gateway.table = RouteTable(configuration, previous=known)
        self.quotas.retain(configuration.workspaces, version)
        counters.add(CounterKind.TABLE_CHANGES, "in_force")
        fields = {"version": version, "before": before}
        _TABLE_LOG.info("Configuration %d is in force.", version, extra=fields)
        self.coordinators.update(self.coordinators.instances, self.gateway.table)
        self._update_coordinator_count(self._clock.now_ms())
        self.connections.update_limits(self.registry)
        self.connections.warm_up(self.registry)

    def _update_coordinator_count(self, now_ms: float) -> None:
        """Divide the retry budgets of gathered services among coordinators only."""
        table = self.gateway.table
        services: frozenset[str] = frozenset()
        if table is not None and self.coordinators.uses_coordinators:
            services = table.gathered_services
        count = (
            self.coordinators.count if self.coordinators.is_coordinator else math.inf
        )
        self.budgets.set_coordinator_count(count, services, now_ms)

    def _gauges(self) -> list[Gauge]:
        servers = list(self.registry.servers())
        now_ms = self._clock.now_ms()
        unreachable = sum(not server.is_reachable(now_ms) for server in servers)
        return [
            Gauge(
                "ready", "Whether the balancer may send callers here.", self.is_ready
            ),
            Gauge("configuration_version", "The version in force.", self._version),
            Gauge("servers", "Backend servers listed.", len(servers)),
            Gauge(
                "evacuated_zones",
                "Zones whose servers get nothing.",
                len(self.registry.evacuated or ()),
            ),
            Gauge("servers_out_of_reach", "Of these, silent or refusing.", unreachable),
            Gauge("instances", "Instances listed.", self.instance_count),
            *self._waiting_gauges(),
            *self.quotas.gauges(),
        ]

    def _waiting_gauges(self) -> list[Gauge]:
        waiting = self.gateway.waiting_by_rank()
        return [
            Gauge(
                f"waiting_requests_rank_{rank}",
                "Requests of this rank that wait for room.",
                count,
            )
            for rank, count in sorted(waiting.items())
        ]
