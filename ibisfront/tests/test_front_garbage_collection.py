"""Tests of garbage collection at intervals, in mock time."""

from __future__ import annotations

import gc
import unittest
import weakref

import trio

from ibisfront.core.clock import Clock
from ibisfront.front.garbage_collection import collect_garbage
from ibisfront.tests import trio_test


class Cycle:
    """An object that refers to itself."""

    def __init__(self):
        self.reference = self


class CollectTest(unittest.TestCase):
    """Collection of cycles that requests leave."""

    @trio_test
    async def test_cycles_are_collected_at_intervals(self):
        """Guards against memory that grows with each request."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(collect_garbage, Clock())
            await trio.sleep(0.1)
            self.assertFalse(gc.isenabled())
            first_cycle = weakref.ref(Cycle())
            await trio.sleep(1.0)
            self.assertIsNotNone(
                first_cycle(), "collected although few objects are live"
            )
            live_objects = [Cycle() for _ in range(5_000)]
            await trio.sleep(1.0)
            self.assertIsNone(first_cycle())
            live_objects.clear()
            nursery.cancel_scope.cancel()
        self.assertTrue(gc.isenabled())
