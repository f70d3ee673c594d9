"""``python -m benchmarks.membership_slopes``: cost of shared state per instance.

Runs the shared state of many instances in one process, over in-memory streams
and a fake platform, with mock time. For each number of members it prints the
memory, traffic and processor time of one instance: idle, for one edit of the
table, and for the replacement of one member. The processor time includes that of
the in-memory streams, which replace those of the system.
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

__all__ = ["InstanceCost", "ViewCost", "main", "measure", "measure_view"]

COUNTS = (3, 9, 30, 100)
VIEW_SIZE = (5800, 19)
"""Members and zones expected in two years."""

IDLE_MS = 20_000.0
_SETTLE_MS = 5_000.0
_CONVERGENCE_TIMEOUT_MS = 300_000.0


class InstanceCost(msgspec.Struct, frozen=True):
    """Cost of one instance in a tier of a given size.

    Attributes
    ----------
    members : int
        Number of members.
    streams : float
        Mean number of open streams per instance.
    state_bytes : float
        Memory that Python allocated per instance, including streams.
    messages_per_s, bytes_per_s : float
        Traffic sent by an idle instance.
    cpu_percent : float
        Processor time of an idle instance, of one core.
    edit_ms : float
        Mock time until an edit of the table is in force on all instances.
    edit_bytes : float
        Bytes sent per instance because of that edit.
    join_bytes : float
        Bytes sent per instance because one member is killed and replaced.
    platform_calls_per_s : float
        Calls to the platform by all idle instances together.
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


class ViewCost(msgspec.Struct, frozen=True):
    """Cost of the membership view of a large tier, without streams.

    Attributes
    ----------
    members : int
        Number of members.
    state_bytes : int
        Memory of the view.
    update_bytes : float
        Frame of the update of one member.
    merge_ms : float
        Processor time to decode and merge the update of one member, while
        allocations are traced.
    neighbours_ms : float
        Processor time to select the neighbours.
    dialled : int
        Number of neighbours it connects to; about as many connect to it.
    """

    members: int
    state_bytes: int
    update_bytes: float
    merge_ms: float
    neighbours_ms: float
    dialled: int


class _Usage(msgspec.Struct, frozen=True):
    """Traffic and processor time of all instances during an operation."""

    duration_ms: float
    messages: int
    size_bytes: int
    cpu_s: float
    calls: int


def measure(count: int) -> InstanceCost:
    """Return the cost per instance in a tier of ``count`` members."""
    clock = trio.testing.MockClock(autojump_threshold=0.0)
    return trio.run(_measure, count, clock=clock)


async def _measure(count: int) -> InstanceCost:
    clock = Clock()
    async with trio.open_nursery() as nursery:
        platform = FakePlatform(clock=clock)
        cluster = SharedStateCluster(platform=platform, clock=clock, nursery=nursery)
        await cluster.put(ObjectKind.TABLE, TABLE_NAME, _table(1.0))
        gc.collect()
        tracemalloc.start()
        nodes = cluster.start(*range(count))
        await cluster.wait_until(
            partial(_has_converged, cluster), within_ms=_CONVERGENCE_TIMEOUT_MS
        )
        await clock.sleep_ms(_SETTLE_MS)
        gc.collect()
        state_bytes = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        streams = 2 * len(cluster.network.open_streams)
        idle = await _measure_usage(cluster, partial(clock.sleep_ms, IDLE_MS))
        idle_bytes_per_ms = idle.size_bytes / IDLE_MS
        edit = await _measure_usage(cluster, partial(_edit, cluster))
        join = await _measure_usage(cluster, partial(_replace, cluster, nodes[-1]))
        nursery.cancel_scope.cancel()
    idle_s = IDLE_MS / MILLISECONDS_PER_SECOND
    return InstanceCost(
        members=count,
        streams=streams / count,
        state_bytes=state_bytes / count,
        messages_per_s=idle.messages / count / idle_s,
        bytes_per_s=idle.size_bytes / count / idle_s,
        cpu_percent=100 * idle.cpu_s / count / idle_s,
        edit_ms=edit.duration_ms,
        edit_bytes=(edit.size_bytes - idle_bytes_per_ms * edit.duration_ms) / count,
        join_bytes=(join.size_bytes - idle_bytes_per_ms * join.duration_ms) / count,
        platform_calls_per_s=idle.calls / idle_s,
    )


async def _measure_usage(
    cluster: SharedStateCluster, run: Callable[[], Awaitable[None]]
) -> _Usage:
    nodes = list(cluster.nodes.values())
    started_ms = cluster.clock.now_ms()
    started_cpu_s = time.process_time()
    messages = _total_sent(nodes, CounterKind.PEER_MESSAGES)
    size_bytes = _total_sent(nodes, CounterKind.PEER_BYTES)
    calls = cluster.platform.state().reads.total
    await run()
    return _Usage(
        duration_ms=cluster.clock.now_ms() - started_ms,
        messages=_total_sent(nodes, CounterKind.PEER_MESSAGES) - messages,
        size_bytes=_total_sent(nodes, CounterKind.PEER_BYTES) - size_bytes,
        cpu_s=time.process_time() - started_cpu_s,
        calls=cluster.platform.state().reads.total - calls,
    )


def _total_sent(nodes: list[SharedStateNode], kind: CounterKind) -> int:
    return sum(node.counters.value(kind, "sent") for node in nodes)


async def _edit(cluster: SharedStateCluster) -> None:
    version = await cluster.put(ObjectKind.TABLE, TABLE_NAME, _table(2.0))
    nodes = cluster.nodes.values()
    await cluster.wait_until(
        lambda: all(node.catalogue.table_version == version for node in nodes),
        within_ms=_CONVERGENCE_TIMEOUT_MS,
    )


async def _replace(cluster: SharedStateCluster, node: SharedStateNode) -> None:
    name = node.members.own_name
    await cluster.kill(name)
    await cluster.clock.sleep_ms(_SETTLE_MS)
    cluster.start(int(name.removeprefix("i")))
    await cluster.wait_until(
        partial(_has_converged, cluster), within_ms=_CONVERGENCE_TIMEOUT_MS
    )
    await cluster.clock.sleep_ms(_SETTLE_MS)


def _has_converged(cluster: SharedStateCluster) -> bool:
    nodes = list(cluster.nodes.values())
    digest = nodes[0].members.digest
    return all(
        len(node.members.live()) == len(nodes)
        and node.members.digest == digest
        and node.catalogue.table is not None
        for node in nodes
    )


def _table(weight: float) -> Table:
    """Return a table of nine rows, a typical size."""
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


def measure_view(count: int, zones: int) -> ViewCost:
    """Return the cost of the membership view of a tier."""
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
    merge_s = time.process_time() - started_s
    state_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    started_s = time.process_time()
    neighbours = neighbour_names(view.own, view.live())
    neighbours_s = time.process_time() - started_s
    return ViewCost(
        members=count,
        state_bytes=state_bytes,
        update_bytes=sum(map(len, wire)) / count,
        merge_ms=merge_s / count * MILLISECONDS_PER_SECOND,
        neighbours_ms=neighbours_s * MILLISECONDS_PER_SECOND,
        dialled=len(neighbours),
    )


def _table_line(cost: InstanceCost) -> str:
    return (
        f"{cost.members:7d} {cost.streams:8.1f} {cost.state_bytes / 1024:9.0f} "
        f"{cost.messages_per_s:8.1f} {cost.bytes_per_s:8.0f} "
        f"{cost.cpu_percent:8.2f} {cost.edit_ms:8.0f} {cost.edit_bytes:10.0f} "
        f"{cost.join_bytes:10.0f} {cost.platform_calls_per_s:9.2f}"
    )


def main() -> None:
    """Measure and print the costs."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.membership_slopes")
    parser.add_argument("--members", type=int, action="append")
    options = parser.parse_args()
    print(
        "members  streams state KiB    msg/s  bytes/s   cpu %  edit ms edit bytes "
        "join bytes   calls/s"
    )
    for count in options.members or COUNTS:
        print(_table_line(measure(count)), flush=True)
    view = measure_view(*VIEW_SIZE)
    print(
        f"view of {view.members} members: {view.state_bytes / 1024:.0f} KiB, "
        f"{view.update_bytes:.0f} bytes per update, {view.merge_ms:.3f} ms to merge "
        f"one, {view.neighbours_ms:.1f} ms to select neighbours, {view.dialled} dialled"
    )


if __name__ == "__main__":
    main()
