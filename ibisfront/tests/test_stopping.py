"""Tests of the order of a graceful shutdown, in mock time."""

from __future__ import annotations

import unittest

import trio

from ibisfront.core.clock import Clock
from ibisfront.core.settings import StopSettings
from ibisfront.core.stopping import IDLE_PERIOD_MS, Stopping, stop_in_order
from ibisfront.tests import trio_test

SETTINGS = StopSettings(balancer_lag_ms=3_000, finish_ms=10_000)
LOGGER = "ibisfront"


async def run_request(stopping, clock, *, start_ms, run_ms):
    """Run one request that starts at a given time."""
    await clock.sleep_ms(start_ms)
    with stopping.request(f"request of {start_ms}"):
        await clock.sleep_ms(run_ms)


async def stop_with(requests, *, second_signal_ms=None, hooks=()):
    """Stop during some requests; return those cut off, and the end time."""
    clock = Clock()
    stopping = Stopping(clock=clock)
    for hook in hooks:
        stopping.on_leaving(hook)
    second_signal = trio.Event()
    started_ms = clock.now_ms()

    async def send_second_signal():
        await clock.sleep_ms(second_signal_ms)
        second_signal.set()

    async with trio.open_nursery() as nursery:
        for start_ms, run_ms in requests:
            nursery.start_soon(
                lambda start_ms=start_ms, run_ms=run_ms: run_request(
                    stopping, clock, start_ms=start_ms, run_ms=run_ms
                )
            )
        if second_signal_ms is not None:
            nursery.start_soon(send_second_signal)
        cut_off = await stop_in_order(
            stopping, clock=clock, settings=SETTINGS, second_signal=second_signal
        )
        ended_ms = clock.now_ms() - started_ms
        nursery.cancel_scope.cancel()
    return cut_off, ended_ms


class StopInOrderTest(unittest.TestCase):
    """A graceful shutdown finishes requests within a time limit."""

    @trio_test
    async def test_an_idle_instance_waits_for_the_balancer_only(self):
        cut_off, ended_ms = await stop_with([])
        self.assertEqual(cut_off, [])
        self.assertAlmostEqual(ended_ms, 3_000 + IDLE_PERIOD_MS, places=3)

    @trio_test
    async def test_requests_after_the_signal_and_after_the_lag_are_finished(self):
        """A load balancer sends requests until, and shortly after, its lag ends.

        Closing the listener at SIGTERM would reset these requests during a
        rolling restart.
        """
        cut_off, ended_ms = await stop_with([(2_900, 500), (3_450, 200)])
        self.assertEqual(cut_off, [])
        self.assertAlmostEqual(ended_ms, 3_650 + IDLE_PERIOD_MS, places=3)

    @trio_test
    async def test_a_request_beyond_the_limit_is_cut_off_and_logged(self):
        with self.assertLogs(LOGGER) as logs:
            cut_off, ended_ms = await stop_with([(0, 60_000)])
        self.assertEqual(cut_off, ["request of 0"])
        self.assertEqual(ended_ms, 13_000)
        text = "\n".join(logs.output)
        self.assertIn("The time limit of 13000 ms has expired.", text)
        self.assertIn("Aborted: request of 0.", text)

    @trio_test
    async def test_a_second_signal_ends_the_stop_and_is_logged(self):
        with self.assertLogs(LOGGER) as logs:
            cut_off, ended_ms = await stop_with([(0, 60_000)], second_signal_ms=500)
        self.assertEqual((len(cut_off), ended_ms), (1, 500))
        self.assertIn(
            "A second signal ends the graceful shutdown immediately.",
            "\n".join(logs.output),
        )

    @trio_test
    async def test_hooks_run_last_and_have_a_timeout(self):
        called_ms = []

        async def record_time():
            called_ms.append(trio.current_time() * 1000)

        cut_off, ended_ms = await stop_with(
            [(0, 5_000)], hooks=(record_time, trio.sleep_forever)
        )
        self.assertEqual(cut_off, [])
        self.assertEqual(len(called_ms), 1)
        self.assertAlmostEqual(ended_ms, 5_000 + IDLE_PERIOD_MS + 1_000, places=3)
