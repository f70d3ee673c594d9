"""Tests of the detection of process pauses."""

from __future__ import annotations

import unittest

import trio

from ibisfront.core.clock import Clock
from ibisfront.core.pause import PauseLog, watch_for_pause
from ibisfront.tests import trio_test


class _JumpingClock(Clock):
    def __init__(self) -> None:
        super().__init__()
        self.frozen_ms = 0.0

    def now_ms(self) -> float:
        return super().now_ms() + self.frozen_ms


class PauseTest(unittest.TestCase):
    """A paused process detects the pause by its clock."""

    @trio_test
    async def test_long_delay_is_logged_with_the_processor_time_used(self) -> None:
        """Guards against a stall of which no log tells who used the processor."""
        clock = _JumpingClock()
        pauses = PauseLog(clock)
        with self.assertNoLogs("ibisfront"):
            await clock.sleep_ms(300.0)
            pauses.record_tick(100.0)
        clock.frozen_ms += 900.0
        with self.assertLogs("ibisfront", "WARNING") as logged:
            pauses.record_tick(100.0)
        self.assertRegex(
            logged.output[0], r"Nothing ran for 800 ms; processor time used: \d+ ms"
        )

    @trio_test
    async def test_pause_is_reported_once_and_short_delay_is_not(self) -> None:
        clock = _JumpingClock()
        pauses: list[float] = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch_for_pause, clock, pauses.append)
            await clock.sleep_ms(1000.0)
            clock.frozen_ms += 700.0
            await clock.sleep_ms(1000.0)
            self.assertEqual(pauses, [])
            clock.frozen_ms += 60_000.0
            await clock.sleep_ms(5000.0)
            nursery.cancel_scope.cancel()
        self.assertEqual(len(pauses), 1)
        self.assertGreaterEqual(pauses[0], 60_000.0 - 250.0)
