"""Processor time of a request between two peers and its response, over TCP.

Run ``python -m benchmarks.peer_message_cost``. Both ends are in this process,
so that a figure is the sum over the requesting and the responding instance.
Requests are sent one at a time, or concurrently as under load.
"""

from __future__ import annotations

import sys
import time
from functools import partial
from random import Random
from typing import TYPE_CHECKING

import msgspec
import trio

from ibisfront.adapters.peer_codec import encode
from ibisfront.adapters.peer_transport import TcpTransport
from ibisfront.adapters.peers import PeerStreams
from ibisfront.core.clock import Clock
from ibisfront.core.counters import Counters
from ibisfront.core.members import Member, Members
from ibisfront.core.membership import Membership
from ibisfront.core.share_messages import (
    BucketReport,
    RowDemand,
    RowGrant,
    RowKey,
    Share,
    ShareGrants,
    ShareReport,
)
from ibisfront.testing.processes import free_address

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["RequestCost", "main", "measure"]

CONCURRENCIES = (1, 8, 64)
ITEMS = (1, 24)
REQUESTS = 1_024
ROUNDS = 3
TIMEOUT_MS = 10_000.0
CONNECT_TIMEOUT_S = 10.0
MICROSECONDS_PER_SECOND = 1e6


class RequestCost(msgspec.Struct, frozen=True):
    """Cost of one request and its response to both ends together.

    Attributes
    ----------
    concurrency : int
        Requests in flight at a time.
    items : int
        Rows in a request and in its response.
    request_bytes : int
        Frame size of a request.
    both_us : float
        Processor time of both ends per request, in the best round.
    """

    concurrency: int
    items: int
    request_bytes: int
    both_us: float


class _Node:
    """One end, with streams to the other members."""

    def __init__(self, own: Member, others: Sequence[Member], clock: Clock) -> None:
        counters = Counters()
        members = Members(own)
        for other in others:
            members.merge(other)
        random = Random(own.name)
        self.peers = PeerStreams(
            members,
            transport=TcpTransport(own.peer_address),
            clock=clock,
            counters=counters,
            random=random,
        )
        self.membership = Membership(
            members, peers=self.peers, clock=clock, counters=counters, random=random
        )
        self.peers.respond(ShareReport, _respond)


def _respond(name: str, report: ShareReport) -> ShareGrants:
    del name
    rows = tuple(RowGrant(item.row, item.demand) for item in report.buckets[0].rows)
    return ShareGrants(1, 1, rows)


def _make_request(items: int) -> ShareReport:
    rows = tuple(
        RowDemand(RowKey(f"branch-{number:04d}", "purpose-01"), Share(10.5, 3), 2)
        for number in range(items)
    )
    return ShareReport(2, 0, (BucketReport(3, 1, True, rows),))


async def measure() -> list[RequestCost]:
    """Measure every combination of concurrency and size."""
    members = [
        Member(f"i{number}", "z1", free_address(), "127.0.0.1:1", incarnation=1)
        for number in range(2)
    ]
    clock = Clock()
    first, second = (
        _Node(own, [other for other in members if other is not own], clock)
        for own in members
    )
    connected = trio.Event()
    async with trio.open_nursery() as nursery:
        for node in (first, second):
            run = partial(
                node.peers.run,
                node.membership,
                on_handshake=lambda member: connected.set(),
            )
            await nursery.start(run)
        with trio.fail_after(CONNECT_TIMEOUT_S):
            await connected.wait()
        costs = [
            await _cost(first.peers, members[1].name, concurrency, items)
            for items in ITEMS
            for concurrency in CONCURRENCIES
        ]
        nursery.cancel_scope.cancel()
    return costs


async def _cost(
    peers: PeerStreams, name: str, concurrency: int, items: int
) -> RequestCost:
    request = _make_request(items)

    async def send_request() -> None:
        if await peers.request(name, request, timeout_ms=TIMEOUT_MS) is None:
            raise RuntimeError("no response")

    spent_s = []
    for _ in range(ROUNDS):
        started_s = time.process_time()
        for _ in range(REQUESTS // concurrency):
            async with trio.open_nursery() as nursery:
                for _ in range(concurrency):
                    nursery.start_soon(send_request)
        spent_s.append(time.process_time() - started_s)
    return RequestCost(
        concurrency=concurrency,
        items=items,
        request_bytes=len(encode(request)),
        both_us=min(spent_s) / REQUESTS * MICROSECONDS_PER_SECOND,
    )


def main() -> None:
    """Print the costs."""
    sys.stdout.write("items  at once   request bytes  us of both ends\n")
    for cost in trio.run(measure):
        sys.stdout.write(
            f"{cost.items:5}  {cost.concurrency:7}  {cost.request_bytes:14}  "
            f"{cost.both_us:15.1f}\n"
        )


if __name__ == "__main__":
    main()
