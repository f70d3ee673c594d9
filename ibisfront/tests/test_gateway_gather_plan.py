"""Tests of the times at which a scatter-gather query acts."""

from __future__ import annotations

import unittest

from ibisfront.gateway.load.baseline_latency import BaselineLatency
from ibisfront.gateway.load.gather_plan import gather_plan


def baseline(median_ms, late_ms):
    """Return a baseline with the given latencies."""
    result = BaselineLatency(median_ms)
    result.median_ms, result.late_ms = median_ms, late_ms
    return result


def hedge_at_ms(left_ms, latencies):
    """Return when a query with the given time left hedges."""
    plan = gather_plan(
        0.0,
        end_at_ms=left_ms,
        give_up_at_ms=4 * left_ms,
        baseline=latencies,
        objective_ms=left_ms,
    )
    return plan.hedge_at_ms


class HedgeTimeTest(unittest.TestCase):
    """When late parts are requested from a second server."""

    def test_healthy_stragglers_are_waited_for_while_there_is_time(self):
        """Guards against a tenth more load on a loaded zone without benefit.

        A query has four baseline latencies left. If it hedged as soon as parts are
        late, it would request a tenth of them twice, although nearly all of these
        arrive shortly afterwards.
        """
        loaded = baseline(20.0, 30.0)
        loaded.unloaded_ms = 10.0
        self.assertEqual(hedge_at_ms(100.0, loaded), 40.0)

    def test_idle_servers_get_hedged_requests_sooner(self):
        """Guards against waiting for a paused server while others are idle."""
        self.assertEqual(hedge_at_ms(100.0, baseline(20.0, 28.0)), 30.0)

    def test_short_query_hedges_as_soon_as_parts_are_late(self):
        self.assertEqual(hedge_at_ms(70.0, baseline(20.0, 28.0)), 28.0)

    def test_second_server_has_half_of_the_time(self):
        self.assertAlmostEqual(hedge_at_ms(60.0, baseline(20.0, 45.0)), 27.0)

    def test_no_part_is_hedged_before_the_baseline_latency(self):
        self.assertAlmostEqual(hedge_at_ms(40.0, baseline(20.0, 45.0)), 24.0)
