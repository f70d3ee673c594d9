"""A gateway with fake backend servers, without sockets, on any clock."""

from __future__ import annotations

import itertools
import math
from collections.abc import Callable
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import trio

from ibisfront.core.clock import Clock
from ibisfront.gateway.gateway import Gateway
from ibisfront.gateway.gateway_context import GatewayContext
from ibisfront.gateway.instances.zone_path_monitor import ZonePathMonitor
from ibisfront.gateway.instances.zone_paths import ZonePaths
from ibisfront.gateway.load.retry_budget import RetryBudgets
from ibisfront.gateway.messages import (
    BackendReply,
    CallerReply,
    ExchangeErrorKind,
    InboundRequest,
)
from ibisfront.gateway.observability import Observer
from ibisfront.gateway.servers.pool import ServerPool
from ibisfront.gateway.servers.server import Server
from ibisfront.gateway.servers.server_entry import ServerEntry
from ibisfront.gateway.servers.server_registry import ServerRegistry
from ibisfront.gateway.settings import Bounds
from ibisfront.gateway.state.configuration import (
    CallerLimits,
    Configuration,
    Gathering,
    RequestKind,
    Route,
    RoutedService,
    RouteTable,
    WeightedService,
    Workspace,
)
from ibisfront.platform.headers import WIRE

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence

    from ibisfront.core.types import Address
    from ibisfront.gateway.messages import Header
    from ibisfront.gateway.quotas.quota import TakeQuota
    from ibisfront.gateway.servers.exchange import Exchange
    from ibisfront.gateway.servers.pool import ServerConnection

__all__ = [
    "CONNECT_MS",
    "HOST",
    "FakeServer",
    "GatewayFixture",
    "InMemoryConnection",
    "connect_to",
    "forward_route",
    "gather_route",
]

HOST = "search.example"
"""Host of the routes."""

CONNECT_MS = 1.0
"""Time that connecting to a fake server takes."""


class FakeServer:
    """A fake backend server whose behaviour is set by a test.

    Attributes
    ----------
    latency_ms : float
        Time until it replies; infinite for no reply.
    status : int
        Status of its replies.
    not_run : bool
        Whether it reports that it did not execute the request.
    drops_connections : bool
        Whether it closes the connection instead of replying.
    accepts_connections : bool
        Whether it accepts connections.
    maximum_connections : float
        Connections that it accepts; it resets others as soon as they are open.
    crash_path : bytes or None
        Path of the requests that crash it: it closes their connections.
    crash_ms : float or None
        Time until it crashes; its latency if None.
    body : bytes
        Body of its replies.
    received : list of Exchange
        Received exchanges, in order.
    payloads : list of bytes
        Requests as received, in order.
    remaining_ms : list of float
        Remaining time stated by each request.
    running, connections, opened : int
        Requests in progress, open connections, and connections ever opened.
    cancelled : int
        Requests cancelled by closing their connection.
    """

    __slots__ = (
        "accepts_connections",
        "body",
        "cancelled",
        "connections",
        "crash_ms",
        "crash_path",
        "drops_connections",
        "entry",
        "latency_ms",
        "maximum_connections",
        "not_run",
        "opened",
        "payloads",
        "received",
        "remaining_ms",
        "running",
        "status",
    )

    def __init__(self, entry: ServerEntry, *, latency_ms: float) -> None:
        self.entry = entry
        self.latency_ms = latency_ms
        self.status = 200
        self.not_run = False
        self.drops_connections = False
        self.crash_path: bytes | None = None
        self.crash_ms: float | None = None
        self.accepts_connections = True
        self.maximum_connections = math.inf
        self.body = b""
        self.received: list[Exchange] = []
        self.payloads: list[bytes] = []
        self.remaining_ms: list[float] = []
        self.running = 0
        self.connections = 0
        self.opened = 0
        self.cancelled = 0


class InMemoryConnection:
    """Base class of connections without sockets; see ``ServerConnection``."""

    __slots__ = ("_exchange", "_scope", "_sent", "expires_at_ms")

    def __init__(self) -> None:
        self._exchange: Exchange | None = None
        self._scope = trio.CancelScope()
        self._sent = trio.Event()
        self.expires_at_ms = math.inf

    @property
    def is_idle(self) -> bool:
        """Whether an exchange can be sent on it."""
        return self._exchange is None and not self._scope.cancel_called

    def close(self) -> None:
        """Close it at once."""
        self._scope.cancel()


class _FakeServerConnection(InMemoryConnection):
    """A connection to a fake server."""

    __slots__ = ("_crashes", "_is_reset", "_server")

    def __init__(self, server: FakeServer) -> None:
        super().__init__()
        self._crashes = False
        self._is_reset = server.connections >= server.maximum_connections
        self._server = server

    def send(self, exchange: Exchange, now_ms: float) -> bool:
        """Send an exchange to the server."""
        payload = exchange.payload(now_ms)
        exchange.sent_at_ms = now_ms
        self._exchange = exchange
        if self._is_reset:
            return True
        remaining = payload.split(b"X-Deadline-Ms: ")[1].split(b"\r\n")[0]
        self._server.remaining_ms.append(float(remaining))
        self._server.received.append(exchange)
        self._server.payloads.append(payload)
        path = self._server.crash_path
        self._crashes = path is not None and b" " + path + b" " in payload
        self._sent.set()
        return True

    async def run(self, on_idle: Callable[[ServerConnection], None]) -> None:
        """Serve exchanges until closed."""
        server = self._server
        server.connections += 1
        try:
            with self._scope:
                if self._is_reset:
                    await trio.sleep(CONNECT_MS / 1000.0)
                    return
                while True:
                    await self._serve_one()
                    if server.drops_connections or self._crashes:
                        return
                    on_idle(self)
        finally:
            server.connections -= 1
            is_closed_here = self._scope.cancel_called
            self._scope.cancel()
            exchange, self._exchange = self._exchange, None
            if exchange is not None:
                server.cancelled += 1
                is_lost = self._crashes or self._is_reset
                exchange.fail(
                    ExchangeErrorKind.CONNECTION_LOST,
                    is_server_lost=is_lost and not is_closed_here,
                )

    async def _serve_one(self) -> None:
        server = self._server
        await self._sent.wait()
        self._sent = trio.Event()
        server.running += 1
        latency_ms = server.latency_ms
        if self._crashes and server.crash_ms is not None:
            latency_ms = server.crash_ms
        try:
            await trio.sleep(latency_ms / 1000.0)
        finally:
            server.running -= 1
        if server.drops_connections or self._crashes:
            return
        exchange, self._exchange = self._exchange, None
        assert exchange is not None
        name = server.entry.server_id.encode()
        exchange.finish(
            BackendReply(
                server.status,
                [(b"X-Backend-Stamp", name)],
                server.body,
                signature=name,
                request_id=exchange.request_id,
                not_run=server.not_run,
            )
        )


def connect_to(server: FakeServer) -> ServerConnection:
    """Return an open connection to a fake server."""
    server.opened += 1
    return _FakeServerConnection(server)


def gather_route(
    services: int, *, minimum: float = 0.75, prefix: str = "part", **changes: object
) -> Route:
    """Return a scatter-gather route to services ``part-0`` and so on."""
    names = tuple(f"{prefix}-{number}" for number in range(services))
    fields: dict[str, object] = {
        "name": "search",
        "host": HOST,
        "path_prefix": "/search/",
        "kind": RequestKind.IDEMPOTENT,
        "timeout_ms": 1000.0,
        "objective_ms": 100.0,
        "attempts": 2,
        "rank": 1,
        "gathering": Gathering(names, 5, minimum),
    }
    return Route(**{**fields, **changes})  # type: ignore[arg-type]


def forward_route(**changes: object) -> Route:
    """Return a route to the service ``archive``."""
    fields: dict[str, object] = {
        "name": "fetch",
        "host": HOST,
        "path_prefix": "/fetch/",
        "kind": RequestKind.IDEMPOTENT,
        "timeout_ms": 2000.0,
        "objective_ms": 200.0,
        "attempts": 2,
        "rank": 1,
        "services": (WeightedService("archive", 1.0),),
    }
    return Route(**{**fields, **changes})  # type: ignore[arg-type]


class GatewayFixture:
    """A gateway with fake servers for each service of its routes.

    Parameters
    ----------
    routes : Route
        The routes.
    latency_ms : float
        Initial latency of the servers.
    servers : int
        Number of servers of each service.
    allowance : float
        Extra attempts that a service may get in addition to its ratio.
    zone : str
        Availability zone of the servers; the gateway is in ``z0``.

    Attributes
    ----------
    monitors_zone_paths : bool
        Whether partitions of other zones are detected; set before it runs.
    zone_changes : int
        Number of times that a partition was detected or found to have ended.
    workspaces : tuple of Workspace
        Workspaces of the configuration; set before it runs.
    is_fresh : bool
        Whether the gateway knows the newest configuration.
    take_quota : TakeQuota or None
        Counts requests against limits; set before it runs.
    """

    def __init__(
        self,
        *routes: Route,
        latency_ms: float = 10.0,
        servers: int = 2,
        allowance: float = 1000.0,
        zone: str = "z0",
    ) -> None:
        self._zone = zone
        self.monitors_zone_paths = True
        self.workspaces: tuple[Workspace, ...] = ()
        self.is_fresh = True
        self.take_quota: TakeQuota | None = None
        self.zone_changes = 0
        self.clock = Clock()
        self.routes = routes
        self.servers: dict[str, list[FakeServer]] = {}
        names = {name for route in routes for name in route.service_names}
        for service in sorted(names):
            for number in range(servers):
                self._add(service, number, latency_ms)
        self.budgets = RetryBudgets(Bounds(extra_allowance=allowance), instances=1)
        self.observer = Observer()
        self._ids = itertools.count(1)
        self._services = {name: RoutedService(name, 25) for name in names}

    @asynccontextmanager
    async def running(self) -> AsyncIterator[Gateway]:
        """Run the gateway for the duration of the block."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            paths = ZonePaths("z0")
            self.registry = ServerRegistry(
                clock=self.clock, make_pool=self._make_pool, zone="z0", paths=paths
            )
            if self.monitors_zone_paths:
                nursery.start_soon(self._zone_path_monitor(paths).run)
            for servers in self.servers.values():
                for server in servers:
                    self.registry.put(server.entry)
            self.gateway_context = GatewayContext(
                registry=self.registry,
                budgets=self.budgets,
                wire=WIRE,
                clock=self.clock,
                observer=self.observer,
                is_fresh=lambda: self.is_fresh,
            )
            self.gateway = Gateway(self.gateway_context, take_quota=self.take_quota)
            self.apply_configuration(1)
            yield self.gateway
            nursery.cancel_scope.cancel()

    def apply_configuration(self, version: int) -> None:
        """Apply a version with the current routes and workspaces."""
        configuration = Configuration(
            version, self.routes, self._services, CallerLimits(), self.workspaces
        )
        self.gateway.table = RouteTable(configuration, previous=self.gateway.table)

    def _zone_path_monitor(self, paths: ZonePaths) -> ZonePathMonitor:
        return ZonePathMonitor(
            paths=paths,
            servers=self.registry,
            peers=ServerRegistry(
                clock=self.clock, make_pool=self._make_pool, zone="z0"
            ),
            counters=self.observer.counters,
            on_change=self._record_zone_change,
            clock=self.clock,
        )

    def _record_zone_change(self) -> None:
        self.zone_changes += 1

    async def send_request(
        self,
        path: str = "/search/a",
        *,
        deadline_ms: float = 1000.0,
        headers: Sequence[Header] = (),
    ) -> CallerReply:
        """Send a request to the gateway as a caller, with some more headers."""
        request = InboundRequest(
            method=b"GET",
            target=path.encode(),
            host=HOST,
            request_id=f"request-{next(self._ids)}",
            deadline_ms=deadline_ms,
            headers=[(b"Host", HOST.encode()), *headers],
            body=b"",
            arrived_at_ms=self.clock.now_ms(),
        )
        return await self.gateway.answer(request)

    def accept_requests_after(self, service: str, delay_s: float) -> None:
        """Let the servers of a service execute requests again after a delay."""
        self._nursery.start_soon(self._accept_requests, service, delay_s)

    async def _accept_requests(self, service: str, delay_s: float) -> None:
        await trio.sleep(delay_s)
        for server in self.servers[service]:
            server.not_run = False

    def all_servers(self) -> list[FakeServer]:
        """Return all fake servers."""
        return [server for servers in self.servers.values() for server in servers]

    def _add(self, service: str, number: int, latency_ms: float) -> None:
        name = f"{service}-{number}"
        entry = ServerEntry(name, service, name, self._zone, 2)
        server = FakeServer(entry, latency_ms=latency_ms)
        self.servers.setdefault(service, []).append(server)

    def _make_pool(self, server: Server) -> ServerPool:
        return ServerPool(
            server,
            open_connection=self._open,
            nursery=self._nursery,
            clock=self.clock,
            maximum=4,
        )

    async def _open(self, address: Address) -> ServerConnection:
        server = next(
            item for item in self.all_servers() if item.entry.address == address
        )
        await trio.sleep(CONNECT_MS / 1000.0)
        if not server.accepts_connections:
            raise ConnectionRefusedError(address)
        return connect_to(server)
