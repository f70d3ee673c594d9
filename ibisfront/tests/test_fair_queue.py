"""Tests of the weighted fair queue."""

from __future__ import annotations

import unittest
from collections import Counter

from ibisfront.core.fair_queue import FairQueue, Waiter
from ibisfront.tests import trio_test


def waiter(branch, purpose="bulk", *, weight=1.0, urgent=False):
    """Return a waiter of the given row."""
    return Waiter(branch, purpose, weight=weight, urgent=urgent)


class FairQueueTest(unittest.TestCase):
    """The order in which requests start."""

    @trio_test
    async def test_service_order_follows_the_weights(self):
        queue = FairQueue()
        for _ in range(60):
            queue.push(waiter("vestry", weight=3.0))
            queue.push(waiter("harbour", weight=1.0))
        first = Counter(queue.pop().branch for _ in range(40))
        self.assertEqual(first, {"vestry": 30, "harbour": 10})

    @trio_test
    async def test_branches_of_a_fixed_weight_are_served_alike(self):
        """Guards against a branch that gains turns by using more rows."""
        queue = FairQueue(branch_weight=1.0)
        for _ in range(20):
            for purpose in ("new", "returned"):
                queue.push(waiter("vestry", purpose))
            queue.push(waiter("harbour", "new"))
        started = []
        for _ in range(20):
            first = queue.peek()
            self.assertIs(queue.pop(), first)
            started.append(first.branch)
        self.assertEqual(Counter(started), {"vestry": 10, "harbour": 10})

    @trio_test
    async def test_an_idle_branch_waits_for_one_request_of_a_flood_only(self):
        queue = FairQueue()
        for _ in range(500):
            queue.push(waiter("flood"))
        for _ in range(200):
            queue.pop()
        newcomer = waiter("vestry")
        queue.push(newcomer)
        self.assertIn(newcomer, [queue.pop() for _ in range(2)])

    @trio_test
    async def test_an_idle_branch_earns_no_credit(self):
        queue = FairQueue()
        queue.push(waiter("vestry"))
        queue.pop()
        for _ in range(100):
            queue.push(waiter("flood"))
        for _ in range(50):
            queue.pop()
        for _ in range(50):
            queue.push(waiter("vestry"))
        following = Counter(queue.pop().branch for _ in range(40))
        self.assertLessEqual(abs(following["vestry"] - following["flood"]), 1)

    @trio_test
    async def test_urgent_goes_before_bulk_of_the_same_branch(self):
        queue = FairQueue()
        for _ in range(5):
            queue.push(waiter("vestry"))
        urgent = waiter("vestry", "desk", urgent=True)
        queue.push(urgent)
        self.assertIs(queue.pop(), urgent)

    @trio_test
    async def test_a_removed_waiter_never_starts(self):
        queue = FairQueue()
        removed, kept = waiter("vestry"), waiter("vestry")
        queue.push(removed)
        queue.push(kept)
        queue.remove(removed)
        self.assertIs(queue.pop(), kept)
        self.assertIsNone(queue.pop())
        self.assertEqual((queue.waiting, queue.running), (0, 1))

    @trio_test
    async def test_a_full_queue_evicts_bulk_of_the_flood_first(self):
        queue = FairQueue()
        queue.push(waiter("flood", "desk", urgent=True))
        newest = waiter("flood")
        for _ in range(8):
            queue.push(waiter("flood"))
        queue.push(newest)
        queue.push(waiter("vestry"))
        self.assertIs(queue.eviction_candidate(8), newest)
