"""Gateways in two zones that delegate queries to each other, on any clock."""

from __future__ import annotations

import itertools
import math
from collections.abc import Callable
from contextlib import asynccontextmanager
from functools import partial
from typing import TYPE_CHECKING

import trio

from ibisfront.core.clock import Clock
from ibisfront.gateway.gateway import Gateway
from ibisfront.gateway.gateway_context import GatewayContext
from ibisfront.gateway.instances.coordinators import Coordinators
from ibisfront.gateway.instances.crash_reports import CrashReports
from ibisfront.gateway.instances.directory import InstanceEntry
from ibisfront.gateway.instances.suspect_records import SuspectRecords
from ibisfront.gateway.load.retry_budget import RetryBudgets
from ibisfront.gateway.messages import ExchangeErrorKind, InboundRequest
from ibisfront.gateway.observability import Observer
from ibisfront.gateway.queries.delegated_query import parse_delegated_query
from ibisfront.gateway.queries.delegation import Delegation
from ibisfront.gateway.servers.pool import ServerPool
from ibisfront.gateway.servers.server import Server
from ibisfront.gateway.servers.server_entry import ServerEntry
from ibisfront.gateway.servers.server_registry import ServerRegistry
from ibisfront.gateway.settings import Bounds
from ibisfront.gateway.state.configuration import (
    CallerLimits,
    Configuration,
    RoutedService,
    RouteTable,
)
from ibisfront.http1.parser import ReplyReader, RequestReader
from ibisfront.platform.headers import WIRE
from ibisfront.testing.gateway_fixture import (
    CONNECT_MS,
    HOST,
    FakeServer,
    InMemoryConnection,
    connect_to,
)
from ibisfront.testing.memory_objects import MemoryObjects

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from ibisfront.core.types import Address
    from ibisfront.gateway.messages import CallerReply, Header
    from ibisfront.gateway.servers.exchange import Exchange
    from ibisfront.gateway.servers.pool import OpenServerConnection, ServerConnection
    from ibisfront.gateway.state.configuration import Route, Workspace

__all__ = ["TwoZones"]

_FEW_CONNECTIONS = 4
"""Connection limit of a server that makes the instances use coordinators."""

_OK = 200
_INTERNAL_ERROR = 500
_UNAVAILABLE = 503
_MAINTENANCE_INTERVAL_S = 0.1

_MAX_CLOCK_READS = 1_000_000
"""Far above the reads of any test: forty queries take about ten thousand."""


_AMPLE_BUDGET = Bounds(extra_allowance=1000.0)


class _CountingClock(Clock):
    """A clock that counts its reads.

    It limits their number, so that a busy loop fails its test instead of hanging.
    """

    __slots__ = ("reads",)

    def __init__(self) -> None:
        super().__init__()
        self.reads = 0

    def now_ms(self) -> float:
        """Return the monotonic time in milliseconds."""
        self.reads += 1
        if self.reads > _MAX_CLOCK_READS:
            raise AssertionError("busy loop: the clock was read too often")
        return super().now_ms()


class TwoZones:
    """Two instances in two zones, with every other service in each.

    With delegation, a third instance is a coordinator in a zone without servers.

    Parameters
    ----------
    route : Route
        The initial scatter-gather route.
    extra_route : Route, optional
        Another route whose services exist.
    latency_ms : float
        Latency of a server's reply.
    delegates : bool
        Whether the instance in ``z0`` delegates its queries to a coordinator.
    bounds : Bounds
        The bounds of the deployment.

    Attributes
    ----------
    delegated : int
        Number of delegated queries.
    frozen : bool
        Whether the instance in ``z1`` accepts queries and never replies.
    workspaces : tuple of Workspace
        Workspaces of the next configuration version.
    headers : list of Header
        Headers that callers add to their requests.
    peer_connect_ms : float
        Time to open a connection between the instances.
    records : MemoryObjects
        What the store keeps of requests that seem to crash servers.
    """

    def __init__(
        self,
        route: Route,
        *,
        extra_route: Route | None = None,
        latency_ms: float = 10.0,
        delegates: bool = False,
        bounds: Bounds = _AMPLE_BUDGET,
    ) -> None:
        self._bounds = bounds
        self._delegates = delegates
        self._zones = ("z0", "z1", "z2") if delegates else ("z0", "z1")
        self.clock = _CountingClock()
        self.delegated = 0
        self.frozen = False
        self.workspaces: tuple[Workspace, ...] = ()
        self.headers: list[Header] = []
        self.peer_connect_ms = CONNECT_MS
        self.records = MemoryObjects()
        self._route = route
        routes = [route] if extra_route is None else [route, extra_route]
        self._service_names = [name for item in routes for name in item.service_names]
        self._servers: dict[str, FakeServer] = {}
        for index, service in enumerate(self._service_names):
            for copy in range(2):
                zone = f"z{index % 2}"
                name = f"{service}.{copy}"
                entry = ServerEntry(name, service, name, zone, 2)
                self._servers[name] = FakeServer(entry, latency_ms=latency_ms)
        self._ids = itertools.count(1)

    @asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Run the instances for the duration of the block."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self.gateways = {zone: self._gateway(zone) for zone in self._zones}
            self.apply_configuration(1, self._route)
            nursery.start_soon(self._run_maintenance)
            yield
            nursery.cancel_scope.cancel()

    async def _run_maintenance(self) -> None:
        """Run what the maintenance of an instance does for crash reports."""
        while True:
            await trio.sleep(_MAINTENANCE_INTERVAL_S)
            for zone in self.gateways:
                self.crash_reports(zone).run_due()

    def apply_configuration(
        self, version: int, route: Route, *, only: str | None = None
    ) -> None:
        """Apply a configuration version at all instances, or at one of them."""
        services = {name: RoutedService(name, 25) for name in self._service_names}
        configuration = Configuration(
            version, (route,), services, CallerLimits(), self.workspaces
        )
        for zone, gateway in self.gateways.items():
            if only in (None, zone):
                gateway.table = RouteTable(configuration)

    def restart(self, zone: str) -> CrashReports:
        """Replace the instance of a zone; return its crash reports."""
        self.gateways[zone] = self._gateway(zone)
        self.apply_configuration(1, self._route, only=zone)
        crash_reports = self.crash_reports(zone)
        self._nursery.start_soon(crash_reports.load_records)
        return crash_reports

    def crash_reports(self, zone: str) -> CrashReports:
        """Return what the instance of a zone knows about crashing requests."""
        crash_reports = self.gateways[zone]._gateway_context._crash_reports
        assert crash_reports is not None
        return crash_reports

    def request(self, path: str) -> InboundRequest:
        """Return a caller's request."""
        request_id = f"request-{next(self._ids)}"
        return InboundRequest(
            method=b"GET",
            target=path.encode(),
            host=HOST,
            request_id=request_id,
            deadline_ms=1000.0,
            headers=[
                (b"Host", HOST.encode()),
                WIRE.request_id(request_id),
                *self.headers,
            ],
            body=b"",
            arrived_at_ms=self.clock.now_ms(),
        )

    def _coordinators(self, zone: str) -> Coordinators:
        """Return the coordinators as computed by the instance of a zone."""
        own = InstanceEntry(f"instance-{zone}", zone, zone)
        coordinators = Coordinators(own)
        if self._delegates:
            # The largest of each zone coordinate; that of z0 is unreachable.
            listed = [
                InstanceEntry("instance-z0", "z0", "z0"),
                InstanceEntry("instance-z1", "z1", "z1"),
                InstanceEntry("instance-z2", "z2", "z2"),
                InstanceEntry("away", "z0", "away", 2.0),
            ]
            names = self._route.service_names
            services = {name: RoutedService(name, _FEW_CONNECTIONS) for name in names}
            table = RouteTable(
                Configuration(0, (self._route,), services, CallerLimits())
            )
            coordinators.update(listed, table)
        return coordinators

    async def send_request(self, zone: str) -> CallerReply:
        """Send a caller's query to the instance of a zone."""
        return await self.gateways[zone].answer(self.request("/search/a"))

    def sub_requests_from(self, sender: str, *, zone: str) -> int:
        """Return how many sub-requests an instance sent to another zone."""
        return sum(
            exchange.server.is_near is (sender == zone)
            and not exchange.server.is_near
            and server.entry.zone == zone
            for server in self._servers.values()
            for exchange in server.received
        )

    @property
    def clock_reads(self) -> int:
        """The number of clock reads, a measure of wake-ups."""
        return self.clock.reads

    def slow_down(self, service: str, latency_ms: float) -> None:
        """Set the latency of a service's servers; infinity means no reply."""
        for server in self._servers.values():
            if server.entry.service == service:
                server.latency_ms = latency_ms

    def set_latency(
        self, zone: str, latency_ms: float, *, copy: int | None = None
    ) -> None:
        """Set the latency of a zone's servers, or of one copy of each service."""
        for name, server in self._servers.items():
            is_selected = copy is None or name.endswith(f".{copy}")
            if server.entry.zone == zone and is_selected:
                server.latency_ms = latency_ms

    def partition(self, zone: str) -> None:
        """Make the servers of a zone unreachable from all instances."""
        for server in self._servers.values():
            if server.entry.zone == zone:
                server.latency_ms = math.inf
                server.accepts_connections = False

    def reject_everywhere(self) -> None:
        """Make all servers reject requests without running them."""
        for server in self._servers.values():
            server.status = _UNAVAILABLE
            server.not_run = True

    def accept_everywhere(self) -> None:
        """Make all servers run requests again."""
        for server in self._servers.values():
            server.status = _OK
            server.not_run = False

    def crash_on(self, path: str, *, after_ms: float | None = None) -> None:
        """Make all servers crash when they run a request for a path."""
        for server in self._servers.values():
            server.crash_path = path.encode()
            server.crash_ms = after_ms

    def fail(self, service: str) -> None:
        """Make the servers of a service answer 500 to all requests, and not crash."""
        for server in self._servers.values():
            if server.entry.service == service:
                server.status = _INTERNAL_ERROR
                server.crash_path = None

    @property
    def received(self) -> list[Exchange]:
        """The sub-requests that servers have received."""
        return [item for server in self._servers.values() for item in server.received]

    @property
    def payloads(self) -> list[bytes]:
        """The sub-requests that servers have received, as bytes."""
        return [item for server in self._servers.values() for item in server.payloads]

    def running_requests(self) -> int:
        """Return how many requests the servers are running."""
        return sum(server.running for server in self._servers.values())

    def _gateway(self, zone: str) -> Gateway:
        registry = ServerRegistry(
            clock=self.clock, make_pool=partial(self._pool, self._open), zone=zone
        )
        for server in self._servers.values():
            registry.put(server.entry)
        peers = ServerRegistry(
            clock=self.clock, make_pool=partial(self._pool, self._open_peer), zone=zone
        )
        for other in self._zones:
            if other != zone:
                peers.put(ServerEntry(f"instance-{other}", other, other, other))
        observer = Observer()
        records = SuspectRecords(
            self.records, clock=self.clock, counters=observer.counters
        )
        self._nursery.start_soon(records.run)
        return Gateway(
            GatewayContext(
                registry=registry,
                budgets=RetryBudgets(self._bounds, instances=1),
                wire=WIRE,
                clock=self.clock,
                observer=observer,
                crash_reports=CrashReports(
                    peers=peers,
                    wire=WIRE,
                    clock=self.clock,
                    counters=observer.counters,
                    records=records,
                ),
            ),
            delegation=Delegation(
                registry=registry,
                peers=peers,
                zone=zone,
                coordinators=self._coordinators(zone),
                clock=self.clock,
            ),
        )

    def _pool(
        self, open_connection: OpenServerConnection, server: Server
    ) -> ServerPool:
        return ServerPool(
            server,
            open_connection=open_connection,
            nursery=self._nursery,
            clock=self.clock,
            maximum=4,
        )

    async def _open(self, address: Address) -> ServerConnection:
        await trio.sleep(CONNECT_MS / 1000.0)
        if not self._servers[address].accepts_connections:
            raise TimeoutError("no connection")
        return connect_to(self._servers[address])

    async def _open_peer(self, address: Address) -> ServerConnection:
        await trio.sleep(self.peer_connect_ms / 1000.0)
        return _PeerConnection(self, self.gateways[address])


class _PeerConnection(InMemoryConnection):
    """A connection between two instances that uses the real codecs."""

    __slots__ = ("_gateway", "_zones")

    def __init__(self, zones: TwoZones, gateway: Gateway) -> None:
        super().__init__()
        self._zones = zones
        self._gateway = gateway

    def send(self, exchange: Exchange, now_ms: float) -> bool:
        """Start sending a query to the other instance."""
        exchange.sent_at_ms = now_ms
        self._exchange = exchange
        self._sent.set()
        return True

    async def run(self, on_idle: Callable[[ServerConnection], None]) -> None:
        """Deliver queries until closed."""
        try:
            with self._scope:
                while True:
                    await self._sent.wait()
                    self._sent = trio.Event()
                    await self._deliver()
                    on_idle(self)
        finally:
            exchange, self._exchange = self._exchange, None
            if exchange is not None:
                exchange.fail(ExchangeErrorKind.CONNECTION_LOST)

    async def _deliver(self) -> None:
        exchange = self._exchange
        assert exchange is not None
        reader = RequestReader(16_384, 65_536)
        reader.feed(exchange.payload(self._zones.clock.now_ms()))
        request = WIRE.decode_request(
            reader.messages.pop(), self._zones.clock.now_ms(), 0.0
        )
        self._zones.delegated += parse_delegated_query(request) is not None
        if self._zones.frozen and self._gateway is self._zones.gateways["z1"]:
            await trio.sleep_forever()
        reply = await self._gateway.answer_instance(request)
        replies = ReplyReader(65_536)
        replies.feed(b"".join(WIRE.encode_reply(reply, True)))
        decoded = WIRE.decode_reply(replies.messages.pop())
        if decoded.request_id not in (None, exchange.request_id):
            # The reply belongs to another request and is ignored.
            await trio.sleep_forever()
        self._exchange = None
        exchange.finish(decoded)
