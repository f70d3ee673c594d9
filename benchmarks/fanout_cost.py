"""Processor time of one sub-request, compared with bare connections.

Both sides send the same sub-requests, alternating within one run, to fake
servers in other processes, over open connections. Only the time of this process
is counted. Run ``python -m benchmarks.fanout_cost``.
"""

from __future__ import annotations

import argparse
import sys
import time
from contextlib import AsyncExitStack, asynccontextmanager
from typing import TYPE_CHECKING

import httpcore
import msgspec
import trio

from ibisfront.adapters.backend import connection_opener
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
from ibisfront.testing.processes import LISTENING, RunningProcess

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable, Sequence

__all__ = ["FanoutCost", "measure_cost"]

SNAPSHOT = "snapshot-1"
INDEX = "register"
FAN_OUTS = (20, 50, 180)
SERVICES_PER_PROCESS = 60
SUB_REQUESTS_PER_ROUND = 1_800
ROUNDS = 5
DEADLINE_MS = 60_000.0
MICROSECONDS_PER_SECOND = 1e6
BODY_JSON = b'{"marker":"m"}'


class FanoutCost(msgspec.Struct, frozen=True):
    """Cost of one sub-request at one fan-out.

    Attributes
    ----------
    fan_out : int
        Sub-requests per search.
    ours_us, bare_us : float
        Processor time per sub-request in this process, in the best round of each.
    """

    fan_out: int
    ours_us: float
    bare_us: float

    @property
    def ratio(self) -> float:
        """Ratio of our cost to that of a bare connection."""
        return self.ours_us / self.bare_us


async def measure_cost(fan_out: int, *, rounds: int = ROUNDS) -> FanoutCost:
    """Measure both sides at one fan-out."""
    async with _fake_servers(fan_out) as addresses:
        clock = Clock()
        fanout, pools = _make_fanout(addresses, clock)
        searches = max(1, SUB_REQUESTS_PER_ROUND // fan_out)
        async with _bare_connections(addresses) as connections:

            async def search_ours() -> None:
                await _search(fanout, clock)

            async def search_bare() -> None:
                await _send_to_all(connections)

            try:
                await _cpu_seconds(search_ours, 10)
                await _cpu_seconds(search_bare, 10)
                ours, bare = [], []
                for _ in range(rounds):
                    ours.append(await _cpu_seconds(search_ours, searches))
                    bare.append(await _cpu_seconds(search_bare, searches))
            finally:
                await pools.aclose()
    scale = MICROSECONDS_PER_SECOND / (searches * fan_out)
    return FanoutCost(fan_out, min(ours) * scale, min(bare) * scale)


async def _cpu_seconds(search: Callable[[], Awaitable[None]], times: int) -> float:
    started = time.process_time()
    for _ in range(times):
        await search()
    return time.process_time() - started


async def _search(fanout: Fanout, clock: Clock) -> None:
    request = CallerRequest(
        request_id="r",
        branch="vestry",
        purpose="lookup",
        body_json=BODY_JSON,
        deadline_at_ms=clock.now_ms() + DEADLINE_MS,
    )
    purpose = Purpose("lookup", "search", index=INDEX, prefers="coverage")
    answer = await fanout.search(request, purpose)
    if answer.coverage.missing:
        raise RuntimeError(f"missing: {answer.coverage.missing}")


async def _send_to_all(connections: Sequence[_BareConnection]) -> None:
    async with trio.open_nursery() as nursery:
        for connection in connections:
            nursery.start_soon(connection.send)


class _BareConnection:
    """One persistent httpcore connection, used for one service."""

    def __init__(self, service: str, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._origin = httpcore.Origin(b"http", host.encode(), int(port))
        self._url = f"http://{address}/search"
        self._body = b'{"service":"%s","request":%s}' % (service.encode(), BODY_JSON)
        self._connection = httpcore.AsyncHTTPConnection(self._origin)

    async def send(self) -> None:
        """Send one sub-request and read its reply."""
        request = httpcore.Request(
            b"POST",
            self._url,
            headers=[
                (b"Host", self._origin.host),
                (b"Content-Type", b"application/json"),
                (b"Content-Length", str(len(self._body)).encode()),
                (b"X-Request-Id", b"r"),
                (b"X-Deadline-Ms", b"60000"),
                (b"X-Snapshot", SNAPSHOT.encode()),
            ],
            content=self._body,
        )
        response = await self._connection.handle_async_request(request)
        await response.aread()
        await response.aclose()
        if response.status != 200:
            raise RuntimeError(f"status {response.status}")

    async def aclose(self) -> None:
        """Close the connection."""
        await self._connection.aclose()


@asynccontextmanager
async def _bare_connections(
    addresses: dict[str, str],
) -> AsyncIterator[list[_BareConnection]]:
    async with AsyncExitStack() as stack:
        connections = []
        for service, address in addresses.items():
            connection = _BareConnection(service, address)
            stack.push_async_callback(connection.aclose)
            connections.append(connection)
        yield connections


@asynccontextmanager
async def _fake_servers(fan_out: int) -> AsyncIterator[dict[str, str]]:
    """Run one fast fake server per service; yield their addresses."""
    names = [f"s{number}" for number in range(fan_out)]
    addresses = {}
    async with AsyncExitStack() as stack:
        for start in range(0, fan_out, SERVICES_PER_PROCESS):
            part = names[start : start + SERVICES_PER_PROCESS]
            options = [word for name in part for word in ("--service", name)]
            arguments = ["-m", "ibisfront.testing.backend", *options, "--port", "0"]
            arguments += ["--accept-ms", "0", "--service-median-ms", "0.5"]
            process = await stack.enter_async_context(RunningProcess(arguments))
            for name in part:
                line = await process.read_prefixed(LISTENING)
                addresses[name] = line.split()[0]
        yield addresses


def _make_fanout(
    addresses: dict[str, str], clock: Clock
) -> tuple[Fanout, BackendPools]:
    counters = Counters()
    store = ObjectStore()
    catalogue = Catalogue(store, counters)
    objects = [
        _object(
            ObjectKind.SERVICE, name, Service((BackendServer(name, address, "z1"),))
        )
        for name, address in addresses.items()
    ]
    index = Index((Snapshot(SNAPSHOT, tuple(addresses)),))
    store.merge([*objects, _object(ObjectKind.INDEX, INDEX, index)])
    query = QuerySettings()
    pools = BackendPools(
        catalogue=catalogue,
        members=Members(Member("i1", "z1", "127.0.0.1:1", "127.0.0.1:2")),
        open_connection=connection_opener(clock, BackendSettings()),
        clock=clock,
        counters=counters,
        backend=BackendSettings(),
        query=query,
    )
    fanout = Fanout(
        catalogue=catalogue,
        pools=pools,
        quarantine=Quarantine(clock=clock, counters=counters, settings=query),
        clock=clock,
        counters=counters,
        zone="z1",
        settings=query,
    )
    return fanout, pools


def _object(kind: ObjectKind, name: str, value: object) -> VersionedObject:
    return VersionedObject(kind, name, 1, msgspec.json.encode(value))


async def _measure_all(rounds: int) -> list[FanoutCost]:
    return [await measure_cost(fan_out, rounds=rounds) for fan_out in FAN_OUTS]


def main() -> None:
    """Print the cost at each fan-out."""
    parser = argparse.ArgumentParser(description="Processor time per sub-request")
    parser.add_argument("--rounds", type=int, default=ROUNDS)
    costs = trio.run(_measure_all, parser.parse_args().rounds)
    sys.stdout.write("fan-out  ours us  bare us  ratio\n")
    for cost in costs:
        line = f"{cost.fan_out:7}  {cost.ours_us:7.1f}  {cost.bare_us:7.1f}"
        sys.stdout.write(f"{line}  {cost.ratio:5.2f}\n")


if __name__ == "__main__":
    main()
