"""Tests of a group queue under a flood and under overload, on a simulated backend."""

from __future__ import annotations

import random
import unittest

import msgspec
import trio

from ibisfront.core.clock import Clock
from ibisfront.core.counters import Counters
from ibisfront.core.errors import IbisfrontError
from ibisfront.core.group_queue import GroupQueue
from ibisfront.core.table import Purpose, Row
from ibisfront.testing.modelled_backend import ModelledBackend
from ibisfront.tests import trio_test

BULK = Purpose("bulk", "search", index="register")
DESK = Purpose("desk", "search", index="register", urgent=True)
SLOTS = 20
MEDIAN_MS = 20.0
CAPACITY_PER_S = SLOTS / (MEDIAN_MS * 1.046) * 1_000.0
BRANCHES = ("vestry", "harbour", "hallgrim", "flood")
SHARE_PER_S = CAPACITY_PER_S / len(BRANCHES)
SETTLE_MS = 2_000.0


class Done(msgspec.Struct):
    """One request that was answered."""

    at_ms: float
    branch: str
    purpose: str
    took_ms: float


class SimulatedTier:
    """One group of services under load from several branches."""

    def __init__(self, nursery, *, seed=1):
        self.clock = Clock()
        self.nursery = nursery
        self.random = random.Random(seed)
        self.backend = ModelledBackend(
            clock=self.clock, slots=SLOTS, queue_limit=64, median_ms=MEDIAN_MS
        )
        self.group = GroupQueue(clock=self.clock, counters=Counters())
        self.done = []
        self.refused = 0

    def load(self, branch, purpose, rate_per_s, *, budget_ms=1_000.0):
        """Send requests of a row as a Poisson process; return its cancel scope."""
        scope = trio.CancelScope()
        self.nursery.start_soon(
            self._load, scope, branch, purpose, rate_per_s, budget_ms
        )
        return scope

    def rate(self, branch, from_ms):
        """Return the rate of answered requests of a branch per second."""
        count = sum(
            item.branch == branch for item in self.done if item.at_ms >= from_ms
        )
        return count / (self.clock.now_ms() - from_ms) * 1_000.0

    def p99_ms(self, branches, purpose, from_ms):
        """Return the 99th percentile latency of some rows in milliseconds."""
        took_ms = sorted(
            item.took_ms
            for item in self.done
            if item.branch in branches
            and item.purpose == purpose.name
            and item.at_ms >= from_ms
        )
        return took_ms[int(len(took_ms) * 0.99)]

    async def _load(self, scope, branch, purpose, rate_per_s, budget_ms):
        with scope:
            while True:
                gap_ms = self.random.expovariate(rate_per_s / 1_000.0)
                await self.clock.sleep_ms(gap_ms)
                self.nursery.start_soon(self._request, branch, purpose, budget_ms)

    async def _request(self, branch, purpose, budget_ms):
        sent_ms = self.clock.now_ms()
        row = Row(branch, purpose.name)
        try:
            async with self.group.acquire(
                row, purpose, deadline_at_ms=sent_ms + budget_ms
            ) as slot:
                slot.shed = not await self.backend.run()
        except IbisfrontError:
            self.refused += 1
            return
        if not slot.shed:
            now_ms = self.clock.now_ms()
            self.done.append(Done(now_ms, branch, purpose.name, now_ms - sent_ms))


async def measure(*, flood):
    """Run the branches, or one alone; return the rates by branch and urgent p99."""
    async with trio.open_nursery() as nursery:
        tier = SimulatedTier(nursery)
        for branch in BRANCHES[:3] if flood else BRANCHES[:1]:
            tier.load(branch, BULK, 0.9 * SHARE_PER_S)
            tier.load(branch, DESK, 0.3 * SHARE_PER_S)
        if flood:
            tier.load("flood", BULK, 9.0 * SHARE_PER_S)
            tier.load("flood", DESK, 1.0 * SHARE_PER_S)
        await tier.clock.sleep_ms(SETTLE_MS)
        from_ms = tier.clock.now_ms()
        # One branch alone runs three times as long, to send as many urgent requests
        # as the three branches send during the flood.
        await tier.clock.sleep_ms(8_000.0 if flood else 24_000.0)
        rates = {branch: tier.rate(branch, from_ms) for branch in BRANCHES}
        p99_ms = tier.p99_ms(BRANCHES[:3], DESK, from_ms)
        nursery.cancel_scope.cancel()
    return rates, p99_ms


class FloodTest(unittest.TestCase):
    """One branch sends ten times its share."""

    @trio_test
    async def test_flood_does_not_slow_the_other_branches(self):
        """A flooding branch must not slow down the other branches.

        If requests are sent to the backend servers in order of arrival, a branch
        at ten times its share, a tenth of it urgent, leaves the others less than
        their share and makes their urgent requests several times slower.
        """
        _, alone_ms = await measure(flood=False)
        rates, under_flood_ms = await measure(flood=True)
        for branch in BRANCHES[:3]:
            self.assertGreaterEqual(rates[branch], 0.95 * SHARE_PER_S, branch)
        self.assertLessEqual(under_flood_ms, 1.2 * alone_ms)


class OverloadTest(unittest.TestCase):
    """Load beyond the capacity of the backend servers, and slower servers."""

    @trio_test
    async def test_overload_keeps_throughput_and_ends_at_once(self):
        """Overload must not reduce throughput or cause refusals after its end.

        The load rises to three times the capacity for four seconds, then falls to
        half of it. Queues at the backend servers, abandoned work, or a limit that
        recovers slowly or oscillates would lose throughput or prolong refusals.
        """
        async with trio.open_nursery() as nursery:
            tier = SimulatedTier(nursery)
            tier.load("vestry", BULK, 0.5 * CAPACITY_PER_S)
            await tier.clock.sleep_ms(SETTLE_MS)
            peak = tier.load("harbour", BULK, 2.5 * CAPACITY_PER_S)
            await tier.clock.sleep_ms(1_000)
            from_ms = tier.clock.now_ms()
            slots = []
            for _ in range(30):
                await tier.clock.sleep_ms(100)
                slots.append(tier.group.limit.slots)
            answered = sum(item.at_ms >= from_ms for item in tier.done) / 3.0
            peak.cancel()
            await tier.clock.sleep_ms(1_500)
            refused = tier.refused
            await tier.clock.sleep_ms(2_000)
            after_ms = tier.p99_ms(("vestry",), BULK, tier.clock.now_ms() - 2_000)
            nursery.cancel_scope.cancel()
        self.assertGreaterEqual(answered, 0.95 * CAPACITY_PER_S)
        self.assertLessEqual(max(slots), 2 * min(slots))
        self.assertLessEqual(tier.backend.shed_count, 0.02 * len(tier.done))
        self.assertEqual(tier.refused, refused)
        self.assertLessEqual(after_ms, 3.0 * MEDIAN_MS)

    @trio_test
    async def test_group_that_becomes_slower_is_not_throttled(self):
        """A permanently higher latency must not be mistaken for queueing.

        The service time doubles at two fifths of the capacity, as with a new index
        version. If the limit shrinks although that does not lower the latency, most
        requests are refused while the servers have free capacity.
        """
        async with trio.open_nursery() as nursery:
            tier = SimulatedTier(nursery)
            tier.load("vestry", BULK, 0.35 * CAPACITY_PER_S)
            await tier.clock.sleep_ms(SETTLE_MS)
            tier.backend.median_ms = 2 * MEDIAN_MS
            await tier.clock.sleep_ms(4_000)
            refused, from_ms = tier.refused, tier.clock.now_ms()
            await tier.clock.sleep_ms(2_000)
            rate = tier.rate("vestry", from_ms)
            nursery.cancel_scope.cancel()
        self.assertEqual(tier.refused, refused)
        self.assertGreaterEqual(rate, 0.3 * CAPACITY_PER_S)
