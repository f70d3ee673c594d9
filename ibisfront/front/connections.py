"""An instance's share of each server: connections, and requests while cold."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from ibisfront.gateway.instances.coordinators import CONNECTIONS_SHARE
from ibisfront.gateway.load.cold_start_limit import cold_share
from ibisfront.gateway.servers.pool import ServerPool
from ibisfront.http1.backend_connection import backend_connection_opener
from ibisfront.http1.caller_memory import DEFAULT_MEMORY_BYTES
from ibisfront.platform.headers import WIRE

if TYPE_CHECKING:
    from ibisfront.core.clock import Clock
    from ibisfront.core.task_guard import TaskNursery
    from ibisfront.gateway.instances.coordinators import Coordinators
    from ibisfront.gateway.servers.server import Server
    from ibisfront.gateway.servers.server_event_log import ServerEventLog
    from ibisfront.gateway.servers.server_registry import ServerRegistry
    from ibisfront.gateway.settings import Bounds
    from ibisfront.gateway.state.configuration import RouteTable

__all__ = ["Connections"]

_MAX_PEER_CONNECTIONS = 16
"""Connections to another instance, each with one delegated query at a time: at
100 queries/s of 0.1 s each, ten are in flight."""

_INSTANCE_LIST_TIMEOUT_MS = 3_000.0
"""Time without a list of instances after which this instance assumes that it is the
only one; the list is read within 0.1 s if the store answers."""


class Connections:
    """Divides the connections that servers accept among instances.

    Parameters
    ----------
    coordinators : Coordinators
        Which instances coordinate queries for the others.
    count_instances : callable
        Returns the number of instances that share the connections.
    find_table : callable
        Returns the active configuration; None if none is loaded.
    find_bounds : callable
        Returns the bounds of the deployment.
    nursery : TaskNursery
        Runs the connections.
    clock : Clock
        The clock.
    event_log : ServerEventLog
        Logs servers that cannot be reached.
    memory_bytes : int
        Memory of the process.
    """

    __slots__ = (
        "_clock",
        "_coordinators",
        "_count_instances",
        "_event_log",
        "_find_bounds",
        "_find_table",
        "_nursery",
        "_open_connection",
        "_started_ms",
    )

    def __init__(
        self,
        *,
        coordinators: Coordinators,
        count_instances: Callable[[], int],
        find_table: Callable[[], RouteTable | None],
        find_bounds: Callable[[], Bounds],
        nursery: TaskNursery,
        clock: Clock,
        event_log: ServerEventLog,
        memory_bytes: int = DEFAULT_MEMORY_BYTES,
    ) -> None:
        self._event_log = event_log
        self._coordinators = coordinators
        self._count_instances = count_instances
        self._find_table = find_table
        self._find_bounds = find_bounds
        self._nursery = nursery
        self._clock = clock
        self._started_ms = clock.now_ms()
        self._open_connection = backend_connection_opener(
            decode_reply=WIRE.decode_reply,
            clock=clock,
            nursery=nursery,
            memory_bytes=memory_bytes,
        )

    def create_server_pool(self, server: Server) -> ServerPool:
        """Return the connection pool of a new backend server."""
        service = server.entry.service
        pool = self._pool(server, self._connection_limit(service))
        server.window.senders = self._senders(service)
        pool.keeps_idle = self._keeps_idle(service)
        self._limit_cold_requests(server)
        return pool

    def create_peer_pool(self, peer: Server) -> ServerPool:
        """Return the connection pool of another instance."""
        return self._pool(peer, _MAX_PEER_CONNECTIONS)

    def update_limits(self, registry: ServerRegistry) -> None:
        """Update all pools to this instance's share; close excess idle connections."""
        for server in registry.servers():
            pool = server.pool
            if pool is None:
                continue
            service = server.entry.service
            pool.maximum = self._connection_limit(service)
            server.window.senders = self._senders(service)
            pool.keeps_idle = self._keeps_idle(service)
            self._limit_cold_requests(server)
            if not pool.keeps_idle:
                pool.close_idle()

    def warm_up(self, registry: ServerRegistry) -> None:
        """Open a first connection to each server that requests may use.

        The first query of an instance, and the first after a repartition,
        would otherwise wait for a connection to each of its servers.
        """
        table = self._find_table()
        if table is None or not self._has_instance_list:
            return
        names = table.service_names
        if not self._coordinators.is_coordinator:
            names -= table.gathered_services
        for name in names:
            for server in registry.of_service(name):
                if server.pool is not None and server.is_usable:
                    server.pool.warm_up()

    @property
    def _has_instance_list(self) -> bool:
        """Whether the list of instances was read, or its timeout has passed.

        Without the list, many instances starting together would open more
        connections to each server than it accepts.
        """
        if len(self._coordinators.instances) > 1:
            return True
        return self._clock.now_ms() - self._started_ms > _INSTANCE_LIST_TIMEOUT_MS

    def _keeps_idle(self, service: str) -> bool:
        """Return whether connections to a service are kept open while idle.

        A server may accept fewer connections than there are instances. If each
        instance that forwards an occasional request kept one, the limit would be
        used up: coordinators' connections are reset, and their parts are missing.
        """
        table = self._find_table()
        if table is None or self._coordinators.is_coordinator:
            return True
        return service not in table.gathered_services

    def _connection_limit(self, service: str) -> int:
        """Return this instance's share of the connections a server accepts."""
        table = self._find_table()
        routed = None if table is None else table.configuration.services.get(service)
        if table is None or routed is None:
            return 1
        shared = routed.maximum_connections * CONNECTIONS_SHARE
        return max(int(shared / self._senders(service)), 1)

    def _senders(self, service: str) -> int:
        """Return how many instances send to the servers of a service."""
        table = self._find_table()
        if (
            self._coordinators.receives_delegated_queries
            and table is not None
            and service in table.gathered_services
        ):
            return self._coordinators.count
        return self._count_instances()

    def _limit_cold_requests(self, server: Server) -> None:
        """Set this instance's share of the requests a cold server accepts."""
        table = self._find_table()
        service = server.entry.service
        routed = None if table is None else table.configuration.services.get(service)
        limit = server.cold_start_limit
        limit.share_per_s = None
        if table is None or routed is None:
            return
        limit.warm_up_ms = routed.warm_up_ms
        if not routed.cold_per_s:
            return
        senders = [item.name for item in self._coordinators.instances]
        if self._coordinators.uses_coordinators and service in table.gathered_services:
            senders = self._coordinators.names
        limit.share_per_s = cold_share(
            server.entry.server_id,
            own_name=self._coordinators.own_name,
            senders=senders,
            bound_per_s=self._find_bounds().cold_bound_per_s(routed.cold_per_s),
        )

    def _pool(self, server: Server, maximum: int) -> ServerPool:
        return ServerPool(
            server,
            open_connection=self._open_connection,
            nursery=self._nursery,
            clock=self._clock,
            maximum=maximum,
            event_log=self._event_log,
        )
