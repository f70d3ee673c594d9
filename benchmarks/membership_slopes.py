"""``python -m benchmarks.membership_slopes``: what sharing costs each instance.

Runs the shared state of many instances in one process, over streams in memory
and on the platform's stand-in, with mock time, and prints for each number of
members what one instance holds, sends and spends: at rest, for one change of
the table, and for one member that is replaced. The processor time includes
that of the streams in memory, which stand in for the system's.
"""

from __future__ import annotations

import argparse
import gc
import time
import tracemalloc
from functools import partial
from typing import TYPE_CHECKING

import msgspec
import trio
import trio.testing

from ibisfront.adapters.peer_codec import FrameBuffer, encode
from ibisfront.core.clock import MILLISECONDS_PER_SECOND, Clock
from ibisfront.core.counters import CounterKind
from ibisfront.core.members import Member, Members
from ibisfront.core.membership import MemberUpdate
from ibisfront.core.objects import ObjectKind
from ibisfront.core.overlay import neighbour_names
from ibisfront.core.table import TABLE_NAME, Purpose, Row, Table
from ibisfront.testing.platform_state import FakePlatform
from ibisfront.testing.shared_state_cluster import SharedStateCluster, SharedStateNode

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

__all__ = ["Slope", "View", "main", "measure", "measure_view"]

COUNTS = (3, 9, 30, 100)
VIEW_SIZE = (5800, 19)
"""The members and zones of the size in two years."""

REST_MS = 20_000.0
_SETTLE_MS = 5_000.0
_GIVE_UP_MS = 300_000.0


class Slope(msgspec.Struct, frozen=True):
    """What one instance costs in a tier of some members.

    Attributes
    ----------
    members : int
        How many members there are.
    streams : float
        The streams that an instance holds open, on average.
    state_bytes : float
        What Python allocated for each instance, streams included.
    messages_per_s, bytes_per_s : float
        What an instance sends at rest.
    cpu_percent : float
        The processor time of an instance at rest, of one core.
    edit_ms : float
        Until an edit of the table is in force at all, in mock time.
    edit_bytes : float
        What an instance sends because of that edit.
    join_bytes : float
        What an instance sends because one member is killed and replaced.
    platform_calls_per_s : float
        The calls on the platform by all instances together, at rest.
    """

    members: int
    streams: float
    state_bytes: float
    messages_per_s: float
    bytes_per_s: float
    cpu_percent: float
    edit_ms: float
    edit_bytes: float
    join_bytes: float
    platform_calls_per_s: float


class View(msgspec.Struct, frozen=True):
    """What the view of a large tier costs one instance, without streams.

    Attributes
    ----------
    members : int
        How many members there are.
    state_bytes : int
        What the view holds.
    news_bytes : float
        The frame of one member's news.
    merge_ms : float
        The processor time to decode and take in one member's news, while
        allocations are traced.
    choose_ms : float
        The processor time to choose the neighbours anew.
    dialled : int
        How many neighbours it dials; about as many dial it.
    """

    members: int
    state_bytes: int
    news_bytes: float
    merge_ms: float
    choose_ms: float
    dialled: int


class _Spent(msgspec.Struct, frozen=True):
    """What all instances together sent and spent during something."""

    took_ms: float
    messages: int
    size_bytes: int
    cpu_s: float
    calls: int


def measure(count: int) -> Slope:
    """Return the figures of a tier of some members."""
    clock = trio.testing.MockClock(autojump_threshold=0.0)
    return trio.run(_measure, count, clock=clock)


async def _measure(count: int) -> Slope:
    clock = Clock()
    async with trio.open_nursery() as nursery:
        platform = FakePlatform(clock=clock)
        cluster = SharedStateCluster(platform=platform, clock=clock, nursery=nursery)
        await cluster.put(ObjectKind.TABLE, TABLE_NAME, _table(1.0))
        gc.collect()
        tracemalloc.start()
        nodes = cluster.start(*range(count))
        await cluster.wait_until(partial(_whole, cluster), within_ms=_GIVE_UP_MS)
        await clock.sleep_ms(_SETTLE_MS)
        gc.collect()
        state_bytes = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        streams = 2 * len(cluster.network.open_streams)
        rest = await _spent_during(cluster, partial(clock.sleep_ms, REST_MS))
        quiet_bytes_per_ms = rest.size_bytes / REST_MS
        edit = await _spent_during(cluster, partial(_edit, cluster))
        join = await _spent_during(cluster, partial(_replace, cluster, nodes[-1]))
        nursery.cancel_scope.cancel()
    rest_s = REST_MS / MILLISECONDS_PER_SECOND
    return Slope(
        members=count,
        streams=streams / count,
        state_bytes=state_bytes / count,
        messages_per_s=rest.messages / count / rest_s,
        bytes_per_s=rest.size_bytes / count / rest_s,
        cpu_percent=100 * rest.cpu_s / count / rest_s,
        edit_ms=edit.took_ms,
        edit_bytes=(edit.size_bytes - quiet_bytes_per_ms * edit.took_ms) / count,
        join_bytes=(join.size_bytes - quiet_bytes_per_ms * join.took_ms) / count,
        platform_calls_per_s=rest.calls / rest_s,
    )


async def _spent_during(
    cluster: SharedStateCluster, run: Callable[[], Awaitable[None]]
) -> _Spent:
    nodes = list(cluster.nodes.values())
    started_ms = cluster.clock.now_ms()
    started_cpu_s = time.process_time()
    messages = _counted(nodes, CounterKind.PEER_MESSAGES)
    size_bytes = _counted(nodes, CounterKind.PEER_BYTES)
    calls = cluster.platform.state().reads.total
    await run()
    return _Spent(
        took_ms=cluster.clock.now_ms() - started_ms,
        messages=_counted(nodes, CounterKind.PEER_MESSAGES) - messages,
        size_bytes=_counted(nodes, CounterKind.PEER_BYTES) - size_bytes,
        cpu_s=time.process_time() - started_cpu_s,
        calls=cluster.platform.state().reads.total - calls,
    )


def _counted(nodes: list[SharedStateNode], kind: CounterKind) -> int:
    return sum(node.counters.value(kind, "sent") for node in nodes)


async def _edit(cluster: SharedStateCluster) -> None:
    version = await cluster.put(ObjectKind.TABLE, TABLE_NAME, _table(2.0))
    nodes = cluster.nodes.values()
    await cluster.wait_until(
        lambda: all(node.catalogue.table_version == version for node in nodes),
        within_ms=_GIVE_UP_MS,
    )


async def _replace(cluster: SharedStateCluster, node: SharedStateNode) -> None:
    name = node.members.own_name
    await cluster.kill(name)
    await cluster.clock.sleep_ms(_SETTLE_MS)
    cluster.start(int(name.removeprefix("i")))
    await cluster.wait_until(partial(_whole, cluster), within_ms=_GIVE_UP_MS)
    await cluster.clock.sleep_ms(_SETTLE_MS)


def _whole(cluster: SharedStateCluster) -> bool:
    nodes = list(cluster.nodes.values())
    digest = nodes[0].members.digest
    return all(
        len(node.members.live()) == len(nodes)
        and node.members.digest == digest
        and node.catalogue.table is not None
        for node in nodes
    )


def _table(weight: float) -> Table:
    """Return a table of nine rows, as our users have."""
    purposes = tuple(
        Purpose(name, "search", index="register")
        for name in ("name-check", "bulk-lookup", "archive")
    )
    rows = tuple(
        Row(branch, purpose.name, weight=weight)
        for branch in ("hallgrim", "vestry", "harbour")
        for purpose in purposes
    )
    return Table(purposes=purposes, rows=rows)


def measure_view(count: int, zones: int) -> View:
    """Return what the view of a large tier costs one instance."""
    members = [
        Member(
            name=f"instance-{number:05d}",
            zone=f"zone-{number % zones:02d}",
            peer_address=f"10.{number % 250}.{number // 250}.7:7001",
            admin_address=f"10.{number % 250}.{number // 250}.7:7002",
            incarnation=1_700_000_000_000 + number,
        )
        for number in range(count)
    ]
    wire = [encode(MemberUpdate((member,))) for member in members]
    gc.collect()
    tracemalloc.start()
    view = Members(members[0])
    started_s = time.process_time()
    for data in wire:
        for frame in FrameBuffer().feed(data):
            if isinstance(frame.message, MemberUpdate):
                view.merge(frame.message.members[0])
    merged_s = time.process_time() - started_s
    state_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    started_s = time.process_time()
    neighbours = neighbour_names(view.own, view.live())
    chosen_s = time.process_time() - started_s
    return View(
        members=count,
        state_bytes=state_bytes,
        news_bytes=sum(map(len, wire)) / count,
        merge_ms=merged_s / count * MILLISECONDS_PER_SECOND,
        choose_ms=chosen_s * MILLISECONDS_PER_SECOND,
        dialled=len(neighbours),
    )


def _line(slope: Slope) -> str:
    return (
        f"{slope.members:7d} {slope.streams:8.1f} {slope.state_bytes / 1024:9.0f} "
        f"{slope.messages_per_s:8.1f} {slope.bytes_per_s:8.0f} "
        f"{slope.cpu_percent:8.2f} {slope.edit_ms:8.0f} {slope.edit_bytes:10.0f} "
        f"{slope.join_bytes:10.0f} {slope.platform_calls_per_s:9.2f}"
    )


def main() -> None:
    """Measure and print the slopes."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.membership_slopes")
    parser.add_argument("--members", type=int, action="append")
    options = parser.parse_args()
    print(
        "members  streams state KiB    msg/s  bytes/s   cpu %  edit ms edit bytes "
        "join bytes   calls/s"
    )
    for count in options.members or COUNTS:
        print(_line(measure(count)), flush=True)
    view = measure_view(*VIEW_SIZE)
    print(
        f"view of {view.members} members: {view.state_bytes / 1024:.0f} KiB, "
        f"{view.news_bytes:.0f} bytes of news each, {view.merge_ms:.3f} ms to take "
        f"one in, {view.choose_ms:.1f} ms to choose neighbours, {view.dialled} dialled"
    )


if __name__ == "__main__":
    main()
