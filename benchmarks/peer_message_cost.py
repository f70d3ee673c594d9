"""Processor time of a question between two peers and its reply, over TCP.

Run ``python -m benchmarks.peer_message_cost``. Both ends are in this process,
so that a figure is the sum of what the asking and the answering instance
spend. Questions go one by one, or many at a time as under load.
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

__all__ = ["QuestionCost", "main", "measure"]

AT_ONCE = (1, 8, 64)
ITEMS = (1, 24)
QUESTIONS = 1_024
ROUNDS = 3
TIMEOUT_MS = 10_000.0
CONNECT_S = 10.0
MICROSECONDS_PER_SECOND = 1e6


class QuestionCost(msgspec.Struct, frozen=True):
    """What one question and its reply cost both ends together.

    Attributes
    ----------
    at_once : int
        How many questions are under way at once.
    items : int
        How many parts a question and its reply have.
    question_bytes : int
        The frame of a question.
    both_us : float
        Processor time of both ends, the best round.
    """

    at_once: int
    items: int
    question_bytes: int
    both_us: float


class _Node:
    """One end: streams to the members that it knows."""

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
        self.peers.respond(ShareReport, _answer)


def _answer(name: str, report: ShareReport) -> ShareGrants:
    del name
    rows = tuple(RowGrant(item.row, item.demand) for item in report.buckets[0].rows)
    return ShareGrants(1, 1, rows)


def _question(items: int) -> ShareReport:
    rows = tuple(
        RowDemand(RowKey(f"branch-{number:04d}", "purpose-01"), Share(10.5, 3), 2)
        for number in range(items)
    )
    return ShareReport(2, 0, (BucketReport(3, 1, True, rows),))


async def measure() -> list[QuestionCost]:
    """Measure every number of questions at once and every size."""
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
        with trio.fail_after(CONNECT_S):
            await connected.wait()
        costs = [
            await _cost(first.peers, members[1].name, at_once, items)
            for items in ITEMS
            for at_once in AT_ONCE
        ]
        nursery.cancel_scope.cancel()
    return costs


async def _cost(
    peers: PeerStreams, name: str, at_once: int, items: int
) -> QuestionCost:
    question = _question(items)

    async def ask() -> None:
        if await peers.request(name, question, timeout_ms=TIMEOUT_MS) is None:
            raise RuntimeError("no reply")

    spent_s = []
    for _ in range(ROUNDS):
        started_s = time.process_time()
        for _ in range(QUESTIONS // at_once):
            async with trio.open_nursery() as nursery:
                for _ in range(at_once):
                    nursery.start_soon(ask)
        spent_s.append(time.process_time() - started_s)
    return QuestionCost(
        at_once=at_once,
        items=items,
        question_bytes=len(encode(question)),
        both_us=min(spent_s) / QUESTIONS * MICROSECONDS_PER_SECOND,
    )


def main() -> None:
    """Print the costs."""
    sys.stdout.write("parts  at once  question bytes  us of both ends\n")
    for cost in trio.run(measure):
        sys.stdout.write(
            f"{cost.items:5}  {cost.at_once:7}  {cost.question_bytes:14}  "
            f"{cost.both_us:15.1f}\n"
        )


if __name__ == "__main__":
    main()
