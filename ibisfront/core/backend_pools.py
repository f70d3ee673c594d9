"""The connection pools of all backend servers, and their maintenance."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from ibisfront.core.backend_pool import BackendPool
from ibisfront.core.counters import CounterKind
from ibisfront.core.logs import LogPart, part_logger

if TYPE_CHECKING:
    from ibisfront.core.backend_connection import OpenConnection
    from ibisfront.core.catalogue import Catalogue
    from ibisfront.core.clock import Clock
    from ibisfront.core.counters import Counters
    from ibisfront.core.members import Members
    from ibisfront.core.server_status import ServerStatuses
    from ibisfront.core.service import BackendServer, Service
    from ibisfront.core.settings import BackendSettings, QuerySettings
    from ibisfront.core.types import Address

__all__ = ["BackendPools", "connection_share"]

_LOG = part_logger(LogPart.BACKEND)
_MAINTENANCE_INTERVAL_MS = 100.0
_IDLE_CHECK_INTERVAL_MS = 1_000.0
_SHARE_INCREASE_DELAY_MS = 5_000.0


def connection_share(accepted: int, live_instances: int) -> int:
    """Return the maximum number of connections of one instance to a server.

    Parameters
    ----------
    accepted : int
        Number of connections that the server accepts in total.
    live_instances : int
        Number of instances that share them.

    Examples
    --------
    >>> connection_share(25, 9)
    2
    """
    return max(1, accepted // max(1, live_instances))


class _ServicePools:
    """The pools of one version of a service."""

    __slots__ = ("pools", "service")

    def __init__(self, service: Service, pools: tuple[BackendPool, ...]) -> None:
        self.service = service
        self.pools = pools


class BackendPools:
    """The connection pools of this instance, one for each backend server.

    A pool survives changes of its server's registration, so that the observed
    health and the open connections are kept when its state changes.

    Parameters
    ----------
    catalogue : Catalogue
        The services in force.
    members : Members
        The instances that share each server's connections.
    open_connection : callable
        Opens a connection to an address.
    clock : Clock
        The tier's clock.
    counters : Counters
        Counts connections and ejections.
    backend, query : BackendSettings, QuerySettings
        The settings.
    server_statuses : ServerStatuses, optional
        The draining servers, as reported to any instance.
    """

    __slots__ = (
        "_by_server",
        "_by_service",
        "_catalogue",
        "_clock",
        "_connection_share",
        "_counters",
        "_make_pool",
        "_members",
        "_next_idle_check_ms",
        "_probing",
        "_query",
        "_server_connections",
        "_share_increase_at_ms",
    )

    def __init__(
        self,
        *,
        catalogue: Catalogue,
        members: Members,
        open_connection: OpenConnection,
        clock: Clock,
        counters: Counters,
        backend: BackendSettings,
        query: QuerySettings,
        server_statuses: ServerStatuses | None = None,
    ) -> None:
        self._catalogue = catalogue
        self._members = members
        self._clock = clock
        self._counters = counters
        self._query = query
        self._server_connections = backend.connections_per_server
        self._connection_share = connection_share(
            self._server_connections, len(self._members.live())
        )
        self._share_increase_at_ms = 0.0
        self._next_idle_check_ms = 0.0
        self._by_server: dict[tuple[str, Address], BackendPool] = {}
        self._by_service: dict[str, _ServicePools] = {}
        self._probing: set[BackendPool] = set()

        def make_pool(server: BackendServer) -> BackendPool:
            return BackendPool(
                server,
                open_connection=open_connection,
                clock=clock,
                counters=counters,
                settings=query,
                maximum_connections=self._connection_share,
                server_statuses=server_statuses,
            )

        self._make_pool = make_pool

    def of_server(self, server: BackendServer) -> BackendPool:
        """Return the pool of a backend server, creating it if necessary."""
        key = server.name, server.address
        pool = self._by_server.get(key)
        if pool is None:
            pool = self._by_server[key] = self._make_pool(server)
        pool.server = server
        return pool

    def of_service(self, name: str) -> tuple[BackendPool, ...]:
        """Return the pools of the live servers of a service."""
        service = self._catalogue.service(name)
        if service is None:
            return ()
        cached = self._by_service.get(name)
        if cached is None or cached.service is not service:
            live = (item for item in service.backend_servers if item.state == "live")
            pools = tuple(self.of_server(server) for server in live)
            cached = self._by_service[name] = _ServicePools(service, pools)
        return cached.pools

    def by_server_name(self, server_name: str) -> BackendPool | None:
        """Return the pool of a server by the server's name, or None."""
        for (name, _), pool in self._by_server.items():
            if name == server_name:
                return pool
        return None

    def record_draining(self, server_name: str) -> None:
        """Mark a server as draining, on the report of another component."""
        pool = self.by_server_name(server_name)
        if pool is not None:
            pool.health.record_draining(self._clock.now_ms())

    async def maintain(self) -> None:
        """Maintain the connections and probe servers until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._clock.sleep_ms(_MAINTENANCE_INTERVAL_MS)
                await self._run_maintenance(nursery)

    async def aclose(self) -> None:
        """Close every idle connection."""
        for pool in self._by_server.values():
            await pool.aclose()

    async def _run_maintenance(self, nursery: trio.Nursery) -> None:
        now_ms = self._clock.now_ms()
        for pool in self._by_server.values():
            if pool not in self._probing and self._is_probe_due(pool, now_ms):
                self._probing.add(pool)
                nursery.start_soon(self._probe, pool)
        if now_ms >= self._next_idle_check_ms:
            self._next_idle_check_ms = now_ms + _IDLE_CHECK_INTERVAL_MS
            self._update_share()
            await self._close_surplus()
        self._warm(nursery)

    async def _close_surplus(self) -> None:
        registered = {
            (server.name, server.address)
            for name in self._catalogue.service_names()
            for server in self._servers_of(name)
        }
        for key, pool in list(self._by_server.items()):
            if key in registered:
                await pool.close_idle(keep=self._query.warm_connections_per_server)
                continue
            await pool.aclose()
            if pool.is_unused:
                del self._by_server[key]

    def _warm(self, nursery: trio.Nursery) -> None:
        for pool in self._by_server.values():
            if pool.health.ejected or pool.is_draining:
                continue
            if pool.open_connections < self._query.warm_connections_per_server:
                nursery.start_soon(pool.warm, self._query.warm_connections_per_server)

    def _servers_of(self, name: str) -> tuple[BackendServer, ...]:
        service = self._catalogue.service(name)
        return () if service is None else service.backend_servers

    def _update_share(self) -> None:
        """Adjust the connection share to the number of live instances.

        The share decreases immediately and increases after a delay, because the
        list of instances lags. If a partition or a restart makes several
        instances consider others gone at once, immediate increases would exceed
        the servers' connection limits.
        """
        new_share = connection_share(
            self._server_connections, len(self._members.live())
        )
        now_ms = self._clock.now_ms()
        if new_share <= self._connection_share:
            self._share_increase_at_ms = now_ms + _SHARE_INCREASE_DELAY_MS
        elif now_ms < self._share_increase_at_ms:
            return
        if new_share != self._connection_share:
            self._connection_share = new_share
            for pool in self._by_server.values():
                pool.set_maximum_connections(new_share)

    def _is_probe_due(self, pool: BackendPool, now_ms: float) -> bool:
        if pool.health.ejected:
            return now_ms >= pool.health.probe_at_ms
        return pool.is_suspect(pool.silence_bound_ms)

    async def _probe(self, pool: BackendPool) -> None:
        """Probe a server to distinguish its failure from silent connections.

        Open connections can go silent permanently while new ones work: searches
        on them receive no byte, yet a new connection is answered. The old ones
        are then retired and the server stays in use. If the new one is not
        answered either, the server is ejected.
        """
        try:
            health = pool.health
            was_ejected = health.ejected
            pool.suspected = not was_ejected
            suspected_at_ms = self._clock.now_ms()
            answered = await pool.probe()
            answered = answered or health.last_answer_at_ms > suspected_at_ms
            await pool.retire_connections()
            now_ms = self._clock.now_ms()
            if not answered and was_ejected:
                health.schedule_probe(now_ms)
            elif not answered:
                health.eject(now_ms)
                self._counters.add(CounterKind.EJECTIONS, "no_answer")
                _LOG.warning("%s did not answer a probe; ejected.", pool.server.name)
            else:
                health.record_probe_success(now_ms)
                self._counters.add(
                    CounterKind.EJECTIONS if was_ejected else CounterKind.CONNECTIONS,
                    "readmitted" if was_ejected else "silent",
                )
                if was_ejected:
                    health.readmit(now_ms)
        finally:
            pool.suspected = False
            self._probing.discard(pool)
