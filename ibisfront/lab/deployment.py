"""Simulated deployment: servers, and instances that run the production gateway."""

from __future__ import annotations

import logging
from functools import partial
from typing import TYPE_CHECKING

import numpy as np

from ibisfront.core.logs import LOGGER_NAME
from ibisfront.gateway.gateway import Gateway
from ibisfront.gateway.gateway_context import GatewayContext
from ibisfront.gateway.load.retry_budget import RetryBudgets
from ibisfront.gateway.observability import Observer
from ibisfront.gateway.servers.pool import ServerPool
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
)
from ibisfront.lab.connections import LAB_WIRE_CODEC, connect
from ibisfront.lab.pattern import FaultKind
from ibisfront.lab.servers import SimulatedServer

if TYPE_CHECKING:
    import trio

    from ibisfront.core.clock import Clock
    from ibisfront.core.types import Address
    from ibisfront.gateway.servers.pool import ServerConnection
    from ibisfront.gateway.servers.server import Server
    from ibisfront.lab.pattern import Fault, Pattern
    from ibisfront.lab.scheduler import EventScheduler

__all__ = ["HOST", "Deployment"]

HOST = "lab.example"
_USABLE_CONNECTION_FRACTION = 0.9
_PROBE_INTERVAL_MS = 100.0


class Deployment:
    """Servers and instances of a load pattern.

    Parameters
    ----------
    pattern : Pattern
        Defines the deployment.
    random : numpy.random.Generator
        Draws service times and the servers that each fault affects.
    scheduler : EventScheduler
        Schedules the simulated events.
    clock : Clock
        The virtual clock.
    nursery : trio.Nursery
        Runs the connections.

    Attributes
    ----------
    gateways : list of Gateway
        The instances.
    servers : list of SimulatedServer
        The servers, grouped by shard.
    """

    __slots__ = (
        "_by_address",
        "_clock",
        "_nursery",
        "_pattern",
        "_random",
        "_registries",
        "_scheduler",
        "gateways",
        "servers",
    )

    def __init__(
        self,
        pattern: Pattern,
        *,
        random: np.random.Generator,
        scheduler: EventScheduler,
        clock: Clock,
        nursery: trio.Nursery,
    ) -> None:
        # Log lines of simulated instances are of no use to operators.
        logging.getLogger(LOGGER_NAME).setLevel(logging.CRITICAL)
        self._pattern = pattern
        self._random = random
        self._scheduler = scheduler
        self._clock = clock
        self._nursery = nursery
        self.servers = [
            self._make_server(shard, replica)
            for shard in range(pattern.shards)
            for replica in range(pattern.servers_per_shard)
        ]
        self._registries: list[ServerRegistry] = []
        self._by_address = {item.entry.address: item for item in self.servers}
        self.gateways = [self._make_gateway(n) for n in range(pattern.gatherers)]
        for fault in pattern.faults:
            self._schedule_fault(fault)

    async def probe_servers(self) -> None:
        """Probe unreachable servers periodically until cancelled."""
        while True:
            await self._clock.sleep_ms(_PROBE_INTERVAL_MS)
            for registry in self._registries:
                registry.probe_unreachable()

    def _make_server(self, shard: int, replica: int) -> SimulatedServer:
        zone = f"z{(shard + replica) % self._pattern.zones}"
        name = f"{shard}.{replica}"
        entry = ServerEntry(name, f"shard-{shard}", name, zone, self._pattern.slots)
        speeds = self._pattern.speeds or [1.0]
        return SimulatedServer(
            entry,
            self._pattern,
            random=np.random.default_rng(self._random.integers(2**63)),
            scheduler=self._scheduler,
            speed=speeds[(shard + replica) % len(speeds)],
        )

    def _make_gateway(self, number: int) -> Gateway:
        pattern = self._pattern
        zone = f"z{number % pattern.zones}"
        registry = ServerRegistry(
            clock=self._clock, make_pool=self._make_pool, zone=zone
        )
        self._registries.append(registry)
        for server in self.servers:
            registry.put(server.entry)
        bounds = Bounds(
            extra_ratio=pattern.extra_ratio, extra_allowance=pattern.extra_allowance
        )
        gateway = Gateway(
            GatewayContext(
                registry=registry,
                budgets=RetryBudgets(bounds, instances=pattern.gatherers),
                wire=LAB_WIRE_CODEC,
                clock=self._clock,
                observer=Observer(),
            )
        )
        gateway.table = RouteTable(self._configuration())
        return gateway

    def _configuration(self) -> Configuration:
        service_names = tuple(f"shard-{shard}" for shard in range(self._pattern.shards))
        routes = tuple(
            Route(
                name=query_kind.name,
                host=HOST,
                path_prefix=f"/{query_kind.name}/",
                kind=RequestKind.IDEMPOTENT,
                timeout_ms=query_kind.deadline_ms,
                objective_ms=query_kind.objective_ms,
                attempts=2,
                rank=query_kind.rank,
                gathering=Gathering(service_names, 1, query_kind.minimum_coverage),
            )
            for query_kind in self._pattern.queries
        )
        max_connections = self._pattern.connections
        services = {
            name: RoutedService(name, max_connections) for name in service_names
        }
        return Configuration(1, routes, services, CallerLimits())

    def _make_pool(self, server: Server) -> ServerPool:
        pattern = self._pattern
        server.window.senders = pattern.gatherers
        usable_connections = pattern.connections * _USABLE_CONNECTION_FRACTION
        path_delay_ms = pattern.way_near_ms if server.is_near else pattern.way_far_ms
        return ServerPool(
            server,
            open_connection=partial(self._connect, path_delay_ms),
            nursery=self._nursery,
            clock=self._clock,
            maximum=max(int(usable_connections / pattern.gatherers), 1),
        )

    async def _connect(
        self, path_delay_ms: float, address: Address
    ) -> ServerConnection:
        return await connect(
            self._by_address[address],
            path_delay_ms=path_delay_ms,
            connect_ms=self._pattern.connect_ms,
            max_connections=self._pattern.connections,
            scheduler=self._scheduler,
            clock=self._clock,
        )

    def _schedule_fault(self, fault: Fault) -> None:
        """Schedule the start and end of a fault."""
        affected = self._draw_affected_servers(fault)
        start_ms = self._clock.now_ms() + fault.from_s * 1000.0
        self._scheduler.call_at(start_ms, partial(_apply_fault, fault, affected))
        self._scheduler.call_at(
            start_ms + fault.for_s * 1000.0, partial(_clear_fault, fault, affected)
        )

    def _draw_affected_servers(self, fault: Fault) -> list[SimulatedServer]:
        """Draw the servers that a fault affects."""
        if fault.servers:
            count = round(fault.servers * len(self.servers))
            chosen = self._random.choice(len(self.servers), count, replace=False)
            return [self.servers[int(number)] for number in chosen]
        replicas = self._pattern.servers_per_shard
        count = round(fault.shards * self._pattern.shards)
        shards = self._random.choice(self._pattern.shards, count, replace=False)
        return [
            self.servers[int(shard) * replicas + replica]
            for shard in shards
            for replica in range(fault.copies)
        ]


def _apply_fault(fault: Fault, servers: list[SimulatedServer]) -> None:
    for server in servers:
        match fault.kind:
            case FaultKind.SLOW:
                server.slowdown *= fault.factor
            case FaultKind.SILENT:
                server.is_silent = True
            case FaultKind.DOWN:
                server.crash()


def _clear_fault(fault: Fault, servers: list[SimulatedServer]) -> None:
    for server in servers:
        match fault.kind:
            case FaultKind.SLOW:
                server.slowdown /= fault.factor
            case FaultKind.SILENT:
                server.is_silent = False
            case FaultKind.DOWN:
                server.is_down = False
