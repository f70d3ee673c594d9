"""The modelled deployment: servers, and instances with the product's decisions."""

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
from ibisfront.lab.connections import LAB_WIRE, connect
from ibisfront.lab.pattern import FaultKind
from ibisfront.lab.servers import ModelServer

if TYPE_CHECKING:
    import trio

    from ibisfront.core.clock import Clock
    from ibisfront.core.types import Address
    from ibisfront.gateway.servers.pool import ServerConnection
    from ibisfront.gateway.servers.server import Server
    from ibisfront.lab.agenda import Agenda
    from ibisfront.lab.pattern import Fault, Pattern

__all__ = ["HOST", "Deployment"]

HOST = "lab.example"
_SHARE_OF_CONNECTIONS = 0.9
_UPKEEP_MS = 100.0


class Deployment:
    """Servers and instances of a pattern.

    Parameters
    ----------
    pattern : Pattern
        What there is.
    random : numpy.random.Generator
        Draws the servers' work, and which of them a fault hits.
    agenda : Agenda
        Plans what the model does.
    clock : Clock
        The virtual clock.
    nursery : trio.Nursery
        Runs the connections.

    Attributes
    ----------
    gateways : list of Gateway
        The instances.
    servers : list of ModelServer
        The servers, those of a shard one after the other.
    """

    __slots__ = (
        "_agenda",
        "_by_address",
        "_clock",
        "_nursery",
        "_pattern",
        "_random",
        "_registries",
        "gateways",
        "servers",
    )

    def __init__(
        self,
        pattern: Pattern,
        *,
        random: np.random.Generator,
        agenda: Agenda,
        clock: Clock,
        nursery: trio.Nursery,
    ) -> None:
        # Lines of modelled instances say nothing to an operator.
        logging.getLogger(LOGGER_NAME).setLevel(logging.CRITICAL)
        self._pattern = pattern
        self._random = random
        self._agenda = agenda
        self._clock = clock
        self._nursery = nursery
        self.servers = [
            self._server(shard, copy)
            for shard in range(pattern.shards)
            for copy in range(pattern.servers_per_shard)
        ]
        self._registries: list[ServerRegistry] = []
        self._by_address = {item.entry.address: item for item in self.servers}
        self.gateways = [self._gateway(n) for n in range(pattern.gatherers)]
        for fault in pattern.faults:
            self._plan(fault)

    async def keep_up(self) -> None:
        """Look after what the instances know of servers, until cancelled."""
        while True:
            await self._clock.sleep_ms(_UPKEEP_MS)
            for registry in self._registries:
                registry.probe_unreachable()

    def _server(self, shard: int, copy: int) -> ModelServer:
        zone = f"z{(shard + copy) % self._pattern.zones}"
        name = f"{shard}.{copy}"
        entry = ServerEntry(name, f"shard-{shard}", name, zone, self._pattern.slots)
        return ModelServer(
            entry,
            self._pattern,
            random=np.random.default_rng(self._random.integers(2**63)),
            agenda=self._agenda,
        )

    def _gateway(self, number: int) -> Gateway:
        pattern = self._pattern
        zone = f"z{number % pattern.zones}"
        registry = ServerRegistry(clock=self._clock, make_pool=self._pool, zone=zone)
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
                wire=LAB_WIRE,
                clock=self._clock,
                observer=Observer(),
            )
        )
        gateway.table = RouteTable(self._configuration())
        return gateway

    def _configuration(self) -> Configuration:
        names = tuple(f"shard-{shard}" for shard in range(self._pattern.shards))
        routes = tuple(
            Route(
                name=item.name,
                host=HOST,
                path_prefix=f"/{item.name}/",
                kind=RequestKind.IDEMPOTENT,
                timeout_ms=item.deadline_ms,
                objective_ms=item.objective_ms,
                attempts=2,
                rank=item.rank,
                gathering=Gathering(names, 1, item.minimum_coverage),
            )
            for item in self._pattern.queries
        )
        accepted = self._pattern.connections
        services = {name: RoutedService(name, accepted) for name in names}
        return Configuration(1, routes, services, CallerLimits())

    def _pool(self, server: Server) -> ServerPool:
        pattern = self._pattern
        shared = pattern.connections * _SHARE_OF_CONNECTIONS
        way_ms = pattern.way_near_ms if server.is_near else pattern.way_far_ms
        return ServerPool(
            server,
            open_connection=partial(self._connect, way_ms),
            nursery=self._nursery,
            clock=self._clock,
            maximum=max(int(shared / pattern.gatherers), 1),
        )

    async def _connect(self, way_ms: float, address: Address) -> ServerConnection:
        return await connect(
            self._by_address[address],
            way_ms=way_ms,
            connect_ms=self._pattern.connect_ms,
            most=self._pattern.connections,
            agenda=self._agenda,
            clock=self._clock,
        )

    def _plan(self, fault: Fault) -> None:
        """Plan a fault's beginning and its end."""
        hit = self._hit(fault)
        start_ms = self._clock.now_ms() + fault.from_s * 1000.0
        self._agenda.at(start_ms, partial(_begin, fault, hit))
        self._agenda.at(start_ms + fault.for_s * 1000.0, partial(_finish, fault, hit))

    def _hit(self, fault: Fault) -> list[ModelServer]:
        """Draw the servers that a fault hits."""
        if fault.servers:
            count = round(fault.servers * len(self.servers))
            chosen = self._random.choice(len(self.servers), count, replace=False)
            return [self.servers[int(number)] for number in chosen]
        copies = self._pattern.servers_per_shard
        count = round(fault.shards * self._pattern.shards)
        shards = self._random.choice(self._pattern.shards, count, replace=False)
        return [
            self.servers[int(shard) * copies + copy]
            for shard in shards
            for copy in range(fault.copies)
        ]


def _begin(fault: Fault, servers: list[ModelServer]) -> None:
    for server in servers:
        match fault.kind:
            case FaultKind.SLOW:
                server.factor *= fault.factor
            case FaultKind.SILENT:
                server.is_silent = True
            case FaultKind.DOWN:
                server.go_down()


def _finish(fault: Fault, servers: list[ModelServer]) -> None:
    for server in servers:
        match fault.kind:
            case FaultKind.SLOW:
                server.factor /= fault.factor
            case FaultKind.SILENT:
                server.is_silent = False
            case FaultKind.DOWN:
                server.is_down = False
