"""Tests of when a gathered query acts."""

from __future__ import annotations

import unittest

from ibisfront.gateway.load.baseline_latency import BaselineLatency
from ibisfront.gateway.load.gather_plan import gather_plan


def baseline(median_ms, late_ms):
    """Return latencies that were measured."""
    found = BaselineLatency(median_ms)
    found.median_ms, found.late_ms = median_ms, late_ms
    return found


def hedge_at_ms(left_ms, latencies):
    """Return when a query of so much time hedges."""
    plan = gather_plan(
        0.0,
        end_at_ms=left_ms,
        give_up_at_ms=4 * left_ms,
        baseline=latencies,
        objective_ms=left_ms,
    )
    return plan.hedge_at_ms


class HedgeMomentTest(unittest.TestCase):
    """When late parts are asked of a second server."""

    def test_healthy_stragglers_are_waited_for_while_there_is_time(self):
        """Servers of a loaded zone get a tenth more requests, for nothing.

        A query has four times as long as its parts usually take. Hedged as
        soon as parts are late, each query asks for a tenth of them twice,
        although nearly all of these come a moment later.
        """
        loaded = baseline(20.0, 30.0)
        loaded.calm_ms = 10.0
        self.assertEqual(hedge_at_ms(100.0, loaded), 40.0)

    def test_idle_servers_are_asked_sooner(self):
        """Guards against queries that wait for a paused server beside idle ones."""
        self.assertEqual(hedge_at_ms(100.0, baseline(20.0, 28.0)), 30.0)

    def test_short_query_hedges_as_soon_as_parts_are_late(self):
        self.assertEqual(hedge_at_ms(70.0, baseline(20.0, 28.0)), 28.0)

    def test_second_server_is_left_half_of_the_time(self):
        self.assertAlmostEqual(hedge_at_ms(60.0, baseline(20.0, 45.0)), 27.0)

    def test_no_part_is_hedged_before_it_is_usual_to_have_come(self):
        self.assertAlmostEqual(hedge_at_ms(40.0, baseline(20.0, 45.0)), 24.0)
