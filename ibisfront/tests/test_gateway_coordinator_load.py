"""Tests of the choice between the coordinators of a zone, in mock time."""

from __future__ import annotations

import unittest
from types import SimpleNamespace

from ibisfront.core.counters import Counters
from ibisfront.gateway.load.baseline_latency import BaselineLatency
from ibisfront.gateway.load.coordinator_load import (
    CoordinatorChoice,
    LoadReport,
    QueryLoad,
)
from ibisfront.gateway.messages import BackendReply, InboundRequest
from ibisfront.gateway.queries.delegated_query import load_header, parse_load
from ibisfront.gateway.queries.remote_call import RemoteCall, RemotePlan
from ibisfront.gateway.servers.server import Server
from ibisfront.gateway.servers.server_entry import ServerEntry
from ibisfront.platform.headers import WIRE
from ibisfront.tests.coordinators_of_a_zone import ROUTE, Zone


class ZoneTest(unittest.TestCase):
    """Two coordinators of twenty entry instances."""

    def test_slowed_coordinator_does_not_keep_half_of_the_queries(self):
        """Guards against queries that wait for a coordinator six times slower."""
        zone = Zone()
        zone.run_ms(4000)
        zone.factor["big-0"] = 6.0
        zone.run_ms(500)
        self.assertLess(zone.share(5000), 0.15)

    def test_recovered_coordinator_gets_its_share_again(self):
        zone = Zone()
        zone.run_ms(4000)
        zone.factor["big-0"] = 6.0
        zone.run_ms(6000)
        zone.factor["big-0"] = 1.0
        zone.run_ms(6000)
        self.assertGreater(zone.share(2000), 0.4)

    def test_coordinator_with_a_stuck_report_does_not_starve(self):
        """Guards against trust in a counter that has stuck at a high load."""
        zone = Zone()
        zone.run_ms(4000)
        zone.stuck["big-0"] = LoadReport(1000, 5.0)
        zone.run_ms(4000)
        self.assertGreater(zone.share(4000), 0.35)

    def test_coordinator_that_reports_no_load_does_not_get_all_queries(self):
        """Guards against trust in a counter that has stuck at zero."""
        zone = Zone(shared=0.12)
        zone.run_ms(4000)
        zone.stuck["big-0"] = LoadReport(0, 0.0)
        self.assertLess(zone.share(4000), 0.65)

    def test_restarted_coordinator_does_not_get_all_queries_at_once(self):
        """Guards against a rush to a coordinator that reports no load."""
        zone = Zone()
        zone.run_ms(4000)
        zone.down.add("big-0")
        zone.run_ms(1000)
        zone.down.clear()
        zone.loads["big-0"] = QueryLoad()
        shares = [zone.share(250) for _ in range(8)]
        self.assertLess(max(shares[:4]), 0.4)
        self.assertGreater(zone.share(4000), 0.3)

    def test_queries_do_not_move_to_and_fro_between_equal_coordinators(self):
        """Guards against instances that all move to the one that reports less."""
        zone = Zone(shared=0.12)
        zone.run_ms(4000)
        shares = [zone.share(500) for _ in range(16)]
        self.assertLess(max(shares) - min(shares), 0.3)

    def test_larger_coordinator_gets_more_queries_under_load(self):
        zone = Zone(shared=0.2, cores=(2.0, 0.5))
        zone.run_ms(3000)
        self.assertGreater(zone.share(5000), 0.7)


class CoordinatorChoiceTest(unittest.TestCase):
    """What a report changes."""

    def setUp(self):
        self.choice = CoordinatorChoice(lambda: {"a": 2.0, "b": 2.0})
        self.servers = [
            Server(ServerEntry(name, "z0", name, "z0"), now_ms=0.0, is_near=True)
            for name in ("a", "b")
        ]
        self.left = set()

    def chosen(self, now_ms, times=400):
        """Return how often the first is chosen."""
        return sum(
            self.choice.choose(
                self.servers,
                is_available=lambda server: server not in self.left,
                now_ms=now_ms,
                baseline=BaselineLatency(40.0),
            )
            is self.servers[0]
            for _ in range(times)
        )

    def test_coordinator_that_reports_slowness_is_left_until_the_report_is_old(self):
        self.choice.record_report("a", LoadReport(4, 5.0), 1000.0)
        self.assertEqual(self.chosen(1000.0), 0)
        self.assertAlmostEqual(self.chosen(1400.0), 200, delta=60)

    def test_coordinator_that_was_left_is_taken_back_in_steps(self):
        """Guards against all queries at once to a coordinator that came back."""
        self.left.add(self.servers[0])
        self.assertEqual(self.chosen(1000.0), 0)
        self.left.clear()
        shares = [self.chosen(1000.0 + 250.0 * step) / 400 for step in range(4)]
        for step, share in enumerate(shares):
            self.assertAlmostEqual(share, (step + 1) / 8, delta=0.12)

    def test_contradicted_report_loses_its_credibility(self):
        self.choice.record_report("a", LoadReport(4, 5.0), 1000.0)
        for _ in range(20):
            self.choice.record_reply("a", 1.0)
        self.assertLess(self.choice.reported_factor("a", 1000.0), 1.01)
        for _ in range(5):
            self.choice.record_reply("a", 5.0)
        self.assertGreater(self.choice.reported_factor("a", 1000.0), 4.9)


class ReportTest(unittest.TestCase):
    """Reports on the wire."""

    def test_report_survives_the_wire(self):
        report = LoadReport(12, 1.25)
        reply = BackendReply(200, [load_header(report)], b"")
        self.assertEqual(parse_load(reply), report)

    def test_malformed_reports_are_ignored(self):
        for value in (b"", b"x 1", b"1", b"-1 1.0", b"1 nan", b"1 inf", b"1 2 3"):
            reply = BackendReply(200, [(b"X-Ibisfront-Load", value)], b"")
            self.assertIsNone(parse_load(reply), value)

    def test_load_is_what_runs_and_how_slow_it_is(self):
        load = QueryLoad()
        load.begin()
        for number in range(100):
            now_ms = number * 50.0
            took_ms = 40.0 if number < 80 else 120.0
            load.record_answer(
                now_ms, route="r", is_whole=True, began_at_ms=now_ms - took_ms
            )
        report = load.report(now_ms)
        self.assertEqual(report.running, 1)
        self.assertAlmostEqual(report.slowness, 2.7, delta=0.3)
        self.assertLess(load.report(now_ms + 5000.0).slowness, 1.1)
        load.end()
        self.assertEqual(load.report(now_ms).running, 0)


class RemoteCallTest(unittest.TestCase):
    """What the reply of a coordinator teaches."""

    def test_coordinator_that_refuses_at_once_does_not_seem_fast(self):
        """Guards against a coordinator that attracts queries by refusing them.

        A refusal arrives within a millisecond. Taken as the latency of a query it
        makes its sender the cheapest of the zone.
        """
        server = Server(ServerEntry("a", "z0", "a", "z0"), now_ms=0.0, is_near=True)
        submitted = []
        server.pool = SimpleNamespace(
            submit=submitted.append, record_ended=lambda exchange: None
        )
        clock = SimpleNamespace(now_ms=lambda: 1.0)
        baseline = BaselineLatency(40.0)
        plan = RemotePlan(server, ROUTE.gathering.services, baseline, is_whole=True)
        remote = RemoteCall(
            plan, clock=clock, on_change=lambda: None, counters=Counters()
        )
        for _ in range(40):
            remote.start(
                InboundRequest(b"GET", b"/", "h", "r", 900.0, [], b"", 0.0),
                wire=WIRE,
                gathering=ROUTE.gathering,
                rank=0,
                end_at_ms=100.0,
                give_up_at_ms=900.0,
                objective_ms=100.0,
            )
            submitted.pop().finish(BackendReply(503, [], b""))
        self.assertTrue(remote.is_refused)
        self.assertEqual(server.slowness(1.0), 1.0)
        self.assertEqual(baseline.median_ms, 40.0)
