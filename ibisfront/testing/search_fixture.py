"""The query path of one instance over fake backend servers in one process."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import msgspec
import trio

from ibisfront.core.backend_pools import BackendPools
from ibisfront.core.catalogue import Catalogue
from ibisfront.core.clock import Clock
from ibisfront.core.counters import Counters
from ibisfront.core.fanout import Fanout
from ibisfront.core.members import Member, Members
from ibisfront.core.objects import ObjectKind, ObjectStore, VersionedObject
from ibisfront.core.quarantine import Quarantine
from ibisfront.core.query import CallerRequest
from ibisfront.core.service import BackendServer, Service
from ibisfront.core.settings import BackendSettings, QuerySettings
from ibisfront.core.snapshot import Index, Snapshot
from ibisfront.core.table import Purpose
from ibisfront.testing.backend_state import FIRST_SNAPSHOT, FakeBackend
from ibisfront.testing.backend_types import BackendFaults
from ibisfront.testing.backend_types import BackendSettings as FakeBackendSettings
from ibisfront.testing.connections import BackendNetwork

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from ibisfront.core.backend_connection import OpenConnection
    from ibisfront.core.backend_pool import BackendPool
    from ibisfront.core.counters import CounterKind
    from ibisfront.core.peers import Peers
    from ibisfront.core.query import Answer
    from ibisfront.core.server_status import ServerStatuses

__all__ = ["INDEX", "SearchFixture", "server_address"]

INDEX = "register"
"""The only index of the fixture."""

_ZONES = ("z1", "z2", "z3")


class SearchFixture:
    """The query path of one instance and its fake backend servers.

    Parameters
    ----------
    services : int
        Number of services that hold the index.
    servers : int
        Number of backend servers of each service, spread over three zones.
    query : QuerySettings, optional
        The search policy.
    backend : BackendSettings, optional
        The settings of connections to servers.
    fake_settings : BackendSettings, optional
        Capacity and speed of the fake servers.
    peers : Peers, optional
        The other instances.
    seed : int, optional
        Seed of the policy's random choices.
    """

    def __init__(
        self,
        *,
        services: int = 2,
        servers: int = 2,
        query: QuerySettings | None = None,
        backend: BackendSettings | None = None,
        fake_settings: FakeBackendSettings | None = None,
        peers: Peers | None = None,
        seed: int = 1,
    ) -> None:
        self.clock = Clock()
        self.counters = Counters()
        self.store = ObjectStore()
        self.catalogue = Catalogue(self.store)
        self.network = BackendNetwork(self.clock)
        self.query = query or QuerySettings()
        self.services = tuple(f"s{number}" for number in range(services))
        self.members = Members(Member("i1", "z1", "127.0.0.1:1", "127.0.0.1:2"))
        self._version = 0
        self._fake_settings = fake_settings or FakeBackendSettings(service_sigma=0.0)
        for service in self.services:
            self._register_service(service, servers)
        self.publish((FIRST_SNAPSHOT, self.services))
        self._backend = backend or BackendSettings()
        self._seed = seed
        self._peers = peers
        self._open_connection: OpenConnection = self.network.open_connection
        self.use_server_statuses(None)

    def reconnect_with(self, open_connection: OpenConnection) -> None:
        """Restart the query path with another connection factory."""
        self._open_connection = open_connection
        self.use_server_statuses(None)

    def use_server_statuses(self, server_statuses: ServerStatuses | None) -> None:
        """Restart the query path with these statuses of draining servers."""
        self.pools = BackendPools(
            catalogue=self.catalogue,
            members=self.members,
            open_connection=self._open_connection,
            clock=self.clock,
            counters=self.counters,
            backend=self._backend,
            query=self.query,
            server_statuses=server_statuses,
        )
        self.quarantine = Quarantine(
            clock=self.clock,
            counters=self.counters,
            settings=self.query,
            peers=self._peers,
        )
        self.fanout = Fanout(
            catalogue=self.catalogue,
            pools=self.pools,
            quarantine=self.quarantine,
            clock=self.clock,
            counters=self.counters,
            zone=_ZONES[0],
            settings=self.query,
            seed=self._seed,
        )

    @asynccontextmanager
    async def maintenance(self) -> AsyncIterator[None]:
        """Run the maintenance of the connection pools inside the context."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.pools.maintain)
            yield
            nursery.cancel_scope.cancel()

    def publish(self, *snapshots: tuple[str, tuple[str, ...]]) -> None:
        """Publish the index with the given snapshots, oldest first."""
        index = Index(tuple(Snapshot(name, services) for name, services in snapshots))
        self._put(ObjectKind.INDEX, INDEX, index)

    def publish_service(self, name: str, servers: tuple[BackendServer, ...]) -> None:
        """Register a service with the given backend servers."""
        self._put(ObjectKind.SERVICE, name, Service(servers))

    def server(self, service: str, number: int) -> FakeBackend:
        """Return the fake of one server."""
        return self.network.backends[server_address(service, number)]

    def pool(self, service: str, number: int) -> BackendPool:
        """Return the connection pool of one server."""
        return self.pools.of_service(service)[number]

    def set_faults(self, service: str, number: int, **faults: Any) -> None:
        """Set the faults of one server; omitted faults are disabled."""
        self.server(service, number).set_faults(BackendFaults(**faults))

    def count(self, kind: CounterKind, reason: str) -> int:
        """Return the value of one counter."""
        return self.counters.value(kind, reason)

    def extra_sub_requests(self, searches: int) -> int:
        """Return the number of sub-requests beyond the primary ones."""
        return self.network.sent.total() - searches * len(self.services)

    async def search(
        self,
        marker: object = "m",
        *,
        deadline_ms: float = 1_000.0,
        prefers: str = "coverage",
        urgent: bool = False,
        branch: str = "vestry",
    ) -> Answer:
        """Run one search of the index."""
        purpose = Purpose(
            "lookup",
            "search",
            index=INDEX,
            urgent=urgent,
            prefers=prefers,  # type: ignore[arg-type]
        )
        request = CallerRequest(
            request_id="same-id-each-time",
            branch=branch,
            purpose=purpose.name,
            body_json=msgspec.json.encode({"marker": marker}),
            deadline_at_ms=self.clock.now_ms() + deadline_ms,
        )
        return await self.fanout.search(request, purpose)

    def _register_service(self, service: str, servers: int) -> None:
        registered = []
        for number in range(servers):
            name, address = f"{service}-{number}", server_address(service, number)
            zone = _ZONES[number % len(_ZONES)]
            registered.append(BackendServer(name, address, zone))
            backend = FakeBackend(
                service, name, settings=self._fake_settings, clock=self.clock
            )
            self.network.add(address, backend)
        self.publish_service(service, tuple(registered))

    def _put(self, kind: ObjectKind, name: str, value: object) -> None:
        self._version += 1
        encoded = msgspec.json.encode(value)
        self.store.merge([VersionedObject(kind, name, self._version, encoded)])


def server_address(service: str, number: int) -> str:
    """Return the fictitious address of a server."""
    return f"{service}-{number}:1"
