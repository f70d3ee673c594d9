"""What links to backend servers cost an instance, and what a server sees.

Run ``python -m benchmarks.link_costs``. Sizes are what Python allocated; the
buffers of the system are not in them. The connections that a server sees are
counted, with the sharing of today and with servers that are each asked by a
few instances only, chosen by rendezvous hashing.
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

__all__ = ["LinkCost", "SubsetLoad", "main", "measure_links", "measure_subsets"]

SERVERS_PER_SERVICE = 2
SERVICES = 17_500
SIZES = ((38, 19), (150, 75), (1_500, 750), (15_000, 7_500), (150, SERVICES))
"""Links, and services that the instance knows of."""

UPKEEP_ROUNDS = 20
UPKEEP_MS = 100.0
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


class LinkCost(msgspec.Struct, frozen=True):
    """What a number of links costs one instance without any request.

    Attributes
    ----------
    links, services : int
        How many, and how many services the instance knows of.
    bytes_each : float
        What one allocated, without connections.
    upkeep_us_each : float
        The processor time of one link in one round of upkeep.
    cpu_percent : float
        All links' upkeep, of one core.
    """

    links: int
    services: int
    bytes_each: float
    upkeep_us_each: float
    cpu_percent: float


class SubsetLoad(msgspec.Struct, frozen=True):
    """How servers spread over the instances of a zone.

    Attributes
    ----------
    holders : int
        The instances that ask each server.
    mean, most : float
        The servers that one instance asks.
    """

    holders: int
    mean: float
    most: int


async def measure_links(count: int, services: int) -> LinkCost:
    """Measure links to servers that exist in the catalogue only."""
    links, names = _make_links(services)
    gc.collect()
    tracemalloc.start()
    for name in names[: count // SERVERS_PER_SERVICE]:
        links.of_service(name)
    gc.collect()
    allocated_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    clock_ms = UPKEEP_ROUNDS * UPKEEP_MS
    async with trio.open_nursery() as nursery:
        nursery.start_soon(links.maintain)
        await trio.sleep(UPKEEP_MS / MILLISECONDS_PER_SECOND / 2)
        started_s = time.process_time()
        await trio.sleep(clock_ms / MILLISECONDS_PER_SECOND)
        spent_s = time.process_time() - started_s
        nursery.cancel_scope.cancel()
    return LinkCost(
        links=count,
        services=services,
        bytes_each=allocated_bytes / count,
        upkeep_us_each=spent_s / UPKEEP_ROUNDS / count * MICROSECONDS_PER_SECOND,
        cpu_percent=PERCENT * spent_s / (clock_ms / MILLISECONDS_PER_SECOND),
    )


def _make_links(services: int) -> tuple[BackendPools, list[str]]:
    store = ObjectStore()
    counters = Counters()
    catalogue = Catalogue(store, counters)
    names = [f"service-{number:05d}" for number in range(services)]
    store.merge(_service(name) for name in names)
    clock = Clock()
    backend = BackendSettings()
    links = BackendPools(
        catalogue=catalogue,
        members=Members(Member("i1", "z1", "127.0.0.1:1", "127.0.0.1:2")),
        open_connection=connection_opener(clock, backend),
        clock=clock,
        counters=counters,
        backend=backend,
        query=QuerySettings(warm_connections_per_server=0),
    )
    return links, names


def _service(name: str) -> VersionedObject:
    servers = tuple(
        BackendServer(f"{name}-{replica}", f"{LOOPBACK}:1", "z1")
        for replica in range(SERVERS_PER_SERVICE)
    )
    value_json = msgspec.json.encode(Service(servers))
    return VersionedObject(ObjectKind.SERVICE, name, 1, value_json)


async def measure_connection() -> float:
    """Return what one open connection allocated, after one exchange.

    The far end is a bare socket of this process, which wrote its reply before
    it was asked; its object and the stack's entries are counted along, some
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
    far_end = stack.enter_context(listener.accept()[0])
    far_end.sendall(REPLY)
    deadline_at_ms = clock.now_ms() + DEADLINE_MS
    await connection.exchange(
        "search", SubRequest("r", "service-00000", b"{}", deadline_at_ms)
    )


def connections_at_server(instances: int) -> int:
    """Return the connections that a server sees if every instance asks it."""
    return instances * connection_share(LIMIT, instances)


def measure_subsets(holders: int) -> SubsetLoad:
    """Spread a zone's servers over its instances by rendezvous hashing."""
    names = [f"instance-{number:05d}" for number in range(ZONE_INSTANCES)]
    asked: Counter[str] = Counter()
    for server in _server_names():
        asked.update(rendezvous_order(server, names)[:holders])
    return SubsetLoad(
        holders=holders,
        mean=sum(asked.values()) / ZONE_INSTANCES,
        most=max(asked.values()),
    )


def _server_names() -> Iterator[str]:
    return (f"server-{number:05d}" for number in range(ZONE_SERVERS))


async def _measure_all() -> None:
    write = sys.stdout.write
    write("links  services  bytes each  upkeep us each  cpu % of a core\n")
    for count, services in SIZES:
        cost = await measure_links(count, services)
        write(
            f"{cost.links:5}  {cost.services:8}  {cost.bytes_each:10.0f}  "
            f"{cost.upkeep_us_each:14.2f}  {cost.cpu_percent:15.2f}\n"
        )
    write(f"\nan open connection: {await measure_connection():.0f} bytes\n")


def main() -> None:
    """Print the costs."""
    trio.run(_measure_all)
    write = sys.stdout.write
    write(f"\ninstances  connections at a server that accepts {LIMIT}\n")
    for instances in INSTANCES:
        write(f"{instances:9}  {connections_at_server(instances)}\n")
    write(f"\nin a zone of {ZONE_INSTANCES} instances and {ZONE_SERVERS} servers\n")
    write("asked by  servers an instance asks: mean  most\n")
    for holders in SUBSETS:
        load = measure_subsets(holders)
        write(f"{load.holders:8}  {load.mean:30.1f}  {load.most:4}\n")


if __name__ == "__main__":
    main()
