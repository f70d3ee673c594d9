"""The query path of one instance over backend stand-ins in one process."""

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
from ibisfront.testing.backend_types import BackendSettings as StandInSettings
from ibisfront.testing.connections import BackendNetwork

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from ibisfront.core.backend_connection import OpenConnection
    from ibisfront.core.backend_pool import BackendPool
    from ibisfront.core.counters import CounterKind
    from ibisfront.core.peers import Peers
    from ibisfront.core.query import Answer
    from ibisfront.core.server_status import ServerStatuses

__all__ = ["INDEX", "SearchFixture", "address_of"]

INDEX = "register"
"""The one index of the fixture."""

_ZONES = ("z1", "z2", "z3")


class SearchFixture:
    """One instance's query path, with the servers that it asks.

    Parameters
    ----------
    services : int
        How many services hold the index.
    servers : int
        How many backend servers run each service, spread over three zones.
    query : QuerySettings, optional
        The policy.
    backend : BackendSettings, optional
        How servers are reached.
    stand_in : BackendSettings, optional
        Size and speed of the stand-ins.
    peers : Peers, optional
        The other instances.
    """

    def __init__(
        self,
        *,
        services: int = 2,
        servers: int = 2,
        query: QuerySettings | None = None,
        backend: BackendSettings | None = None,
        stand_in: StandInSettings | None = None,
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
        self._stand_in = stand_in or StandInSettings(service_sigma=0.0)
        for service in self.services:
            self._add_service(service, servers)
        self.publish((FIRST_SNAPSHOT, self.services))
        self._backend = backend or BackendSettings()
        self._seed = seed
        self._peers = peers
        self._open_connection: OpenConnection = self.network.open_connection
        self.use_server_statuses(None)

    def connect_by(self, open_connection: OpenConnection) -> None:
        """Start the query path anew, over other connections."""
        self._open_connection = open_connection
        self.use_server_statuses(None)

    def use_server_statuses(self, server_statuses: ServerStatuses | None) -> None:
        """Start the query path anew, with these statuses of backend servers."""
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
    async def upkeep(self) -> AsyncIterator[None]:
        """Run the maintenance of the pools while the context is open."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.pools.maintain)
            yield
            nursery.cancel_scope.cancel()

    def publish(self, *snapshots: tuple[str, tuple[str, ...]]) -> None:
        """Publish the index with these snapshots, oldest first."""
        index = Index(tuple(Snapshot(name, services) for name, services in snapshots))
        self._put(ObjectKind.INDEX, INDEX, index)

    def publish_service(self, name: str, servers: tuple[BackendServer, ...]) -> None:
        """Register a service with these backend servers."""
        self._put(ObjectKind.SERVICE, name, Service(servers))

    def server(self, service: str, number: int) -> FakeBackend:
        """Return the stand-in of one server."""
        return self.network.backends[address_of(service, number)]

    def pool(self, service: str, number: int) -> BackendPool:
        """Return the pool of one server."""
        return self.pools.of_service(service)[number]

    def set_faults(self, service: str, number: int, **faults: Any) -> None:
        """Set the faults of one server; those left out are off."""
        self.server(service, number).set_faults(BackendFaults(**faults))

    def count(self, kind: CounterKind, reason: str) -> int:
        """Return one counter."""
        return self.counters.value(kind, reason)

    def extra_sent(self, searches: int) -> int:
        """Return how many sub-requests were sent beyond the first ones."""
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

    def _add_service(self, service: str, servers: int) -> None:
        registered = []
        for number in range(servers):
            name, address = f"{service}-{number}", address_of(service, number)
            zone = _ZONES[number % len(_ZONES)]
            registered.append(BackendServer(name, address, zone))
            backend = FakeBackend(
                service, name, settings=self._stand_in, clock=self.clock
            )
            self.network.add(address, backend)
        self.publish_service(service, tuple(registered))

    def _put(self, kind: ObjectKind, name: str, value: object) -> None:
        self._version += 1
        encoded = msgspec.json.encode(value)
        self.store.merge([VersionedObject(kind, name, self._version, encoded)])


def address_of(service: str, number: int) -> str:
    """Return the made-up address of a server."""
    return f"{service}-{number}:1"
