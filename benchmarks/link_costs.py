"""Cost of backend pools to an instance, and connections per backend server.

Run ``python -m benchmarks.link_costs``. Sizes are Python allocations without
the socket buffers of the system. The connections per server are counted for the
current sharing, and for subsets of instances per server, which are chosen by
rendezvous hashing.
"""

from __future__ import annotations

import gc
import socket
import sys
import time
import tracemalloc
from collections import Counter
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

import msgspec
import trio

from ibisfront.adapters.backend import connection_opener
from ibisfront.core.backend_pools import BackendPools, connection_share
from ibisfront.core.catalogue import Catalogue
from ibisfront.core.clock import MILLISECONDS_PER_SECOND, Clock
from ibisfront.core.counters import Counters
from ibisfront.core.members import Member, Members
from ibisfront.core.objects import ObjectKind, ObjectStore, VersionedObject
from ibisfront.core.query import SubRequest
from ibisfront.core.rendezvous import rendezvous_order
from ibisfront.core.service import BackendServer, Service
from ibisfront.core.settings import BackendSettings, QuerySettings

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["PoolCost", "SubsetLoad", "main", "measure_pools", "measure_subsets"]

SERVERS_PER_SERVICE = 2
SERVICES = 17_500
SIZES = ((38, 19), (150, 75), (1_500, 750), (15_000, 7_500), (150, SERVICES))
"""Pools, and services in the catalogue of the instance."""

MAINTENANCE_ROUNDS = 20
MAINTENANCE_MS = 100.0
CONNECTIONS = 200
DEADLINE_MS = 10_000.0
LIMIT = 25
INSTANCES = (9, 25, 26, 305, 5_800)
ZONE_INSTANCES = 305
ZONE_SERVERS = 1_842
SUBSETS = (4, 8, 25)
LOOPBACK = "127.0.0.1"
PERCENT = 100.0
MICROSECONDS_PER_SECOND = 1e6
REPLY = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    b"Content-Length: 11\r\nX-Request-Id: r\r\n\r\n"
    b'{"rows":[]}'
)


class PoolCost(msgspec.Struct, frozen=True):
    """Cost of a number of pools to one instance without requests.

    Attributes
    ----------
    pools, services : int
        Number of pools, and of services in the catalogue of the instance.
    bytes_per_pool : float
        Memory of one pool, without connections.
    maintenance_us_per_pool : float
        Processor time of one pool in one maintenance round.
    cpu_percent : float
        Maintenance of all pools, of one core.
    """

    pools: int
    services: int
    bytes_per_pool: float
    maintenance_us_per_pool: float
    cpu_percent: float


class SubsetLoad(msgspec.Struct, frozen=True):
    """Distribution of servers over the instances of a zone.

    Attributes
    ----------
    subset_size : int
        Instances that connect to each server.
    mean, maximum : float
        Servers per instance.
    """

    subset_size: int
    mean: float
    maximum: int


async def measure_pools(count: int, services: int) -> PoolCost:
    """Measure pools of servers that exist in the catalogue only."""
    pools, names = _make_pools(services)
    gc.collect()
    tracemalloc.start()
    for name in names[: count // SERVERS_PER_SERVICE]:
        pools.of_service(name)
    gc.collect()
    allocated_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    clock_ms = MAINTENANCE_ROUNDS * MAINTENANCE_MS
    async with trio.open_nursery() as nursery:
        nursery.start_soon(pools.maintain)
        await trio.sleep(MAINTENANCE_MS / MILLISECONDS_PER_SECOND / 2)
        started_s = time.process_time()
        await trio.sleep(clock_ms / MILLISECONDS_PER_SECOND)
        spent_s = time.process_time() - started_s
        nursery.cancel_scope.cancel()
    return PoolCost(
        pools=count,
        services=services,
        bytes_per_pool=allocated_bytes / count,
        maintenance_us_per_pool=spent_s
        / MAINTENANCE_ROUNDS
        / count
        * MICROSECONDS_PER_SECOND,
        cpu_percent=PERCENT * spent_s / (clock_ms / MILLISECONDS_PER_SECOND),
    )


def _make_pools(services: int) -> tuple[BackendPools, list[str]]:
    store = ObjectStore()
    counters = Counters()
    catalogue = Catalogue(store, counters)
    names = [f"service-{number:05d}" for number in range(services)]
    store.merge(_service(name) for name in names)
    clock = Clock()
    backend = BackendSettings()
    pools = BackendPools(
        catalogue=catalogue,
        members=Members(Member("i1", "z1", "127.0.0.1:1", "127.0.0.1:2")),
        open_connection=connection_opener(clock, backend),
        clock=clock,
        counters=counters,
        backend=backend,
        query=QuerySettings(warm_connections_per_server=0),
    )
    return pools, names


def _service(name: str) -> VersionedObject:
    servers = tuple(
        BackendServer(f"{name}-{replica}", f"{LOOPBACK}:1", "z1")
        for replica in range(SERVERS_PER_SERVICE)
    )
    value_json = msgspec.json.encode(Service(servers))
    return VersionedObject(ObjectKind.SERVICE, name, 1, value_json)


async def measure_connection() -> float:
    """Return the bytes allocated by one open connection after one exchange.

    The server is a plain socket of this process, which writes its reply in
    advance. Its object and the entries of the exit stack are included, a few
    hundred bytes.
    """
    async with AsyncExitStack() as stack:
        listener = socket.create_server((LOOPBACK, 0), backlog=CONNECTIONS)
        stack.enter_context(listener)
        await _exchange_once(listener, stack)
        gc.collect()
        tracemalloc.start()
        for _ in range(CONNECTIONS):
            await _exchange_once(listener, stack)
        gc.collect()
        allocated_bytes = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
    return allocated_bytes / CONNECTIONS


async def _exchange_once(listener: socket.socket, stack: AsyncExitStack) -> None:
    """Open a connection, use it once and leave it open until the stack closes."""
    clock = Clock()
    opener = connection_opener(clock, BackendSettings())
    connection = await opener(f"{LOOPBACK}:{listener.getsockname()[1]}")
    stack.push_async_callback(connection.aclose)
    server_socket = stack.enter_context(listener.accept()[0])
    server_socket.sendall(REPLY)
    deadline_at_ms = clock.now_ms() + DEADLINE_MS
    await connection.exchange(
        "search", SubRequest("r", "service-00000", b"{}", deadline_at_ms)
    )


def connections_at_server(instances: int) -> int:
    """Return the connections to a server if every instance uses it."""
    return instances * connection_share(LIMIT, instances)


def measure_subsets(subset_size: int) -> SubsetLoad:
    """Assign a zone's servers to its instances by rendezvous hashing."""
    names = [f"instance-{number:05d}" for number in range(ZONE_INSTANCES)]
    counts: Counter[str] = Counter()
    for server in _server_names():
        counts.update(rendezvous_order(server, names)[:subset_size])
    return SubsetLoad(
        subset_size=subset_size,
        mean=sum(counts.values()) / ZONE_INSTANCES,
        maximum=max(counts.values()),
    )


def _server_names() -> Iterator[str]:
    return (f"server-{number:05d}" for number in range(ZONE_SERVERS))


async def _measure_all() -> None:
    write = sys.stdout.write
    write("pools  services  bytes each  maintenance us  cpu % of a core\n")
    for count, services in SIZES:
        cost = await measure_pools(count, services)
        write(
            f"{cost.pools:5}  {cost.services:8}  {cost.bytes_per_pool:10.0f}  "
            f"{cost.maintenance_us_per_pool:14.2f}  {cost.cpu_percent:15.2f}\n"
        )
    write(f"\nan open connection: {await measure_connection():.0f} bytes\n")


def main() -> None:
    """Print the costs."""
    trio.run(_measure_all)
    write = sys.stdout.write
    write(f"\ninstances  connections to a server with a limit of {LIMIT}\n")
    for instances in INSTANCES:
        write(f"{instances:9}  {connections_at_server(instances)}\n")
    write(f"\nin a zone of {ZONE_INSTANCES} instances and {ZONE_SERVERS} servers\n")
    write("subset    servers per instance:     mean   max\n")
    for subset_size in SUBSETS:
        load = measure_subsets(subset_size)
        write(f"{load.subset_size:8}  {load.mean:30.1f}  {load.maximum:4}\n")


if __name__ == "__main__":
    main()
