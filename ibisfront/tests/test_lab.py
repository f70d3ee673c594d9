"""Tests of the load simulation: patterns, simulated servers, runs and comparison."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path
from unittest import mock

import msgspec
import numpy as np

from ibisfront.cli.exits import CommandError
from ibisfront.cli.lab import parse_seeds
from ibisfront.gateway.queries.gather_run import GatherRun
from ibisfront.gateway.servers.server_entry import ServerEntry
from ibisfront.lab import PatternError, RunResult, compare, read_pattern, run_pattern
from ibisfront.lab.callers import draw_arrivals
from ibisfront.lab.pattern import Fault, FaultKind, Pattern, QueryKind
from ibisfront.lab.scheduler import EventScheduler
from ibisfront.lab.servers import Job, SimulatedServer

_PATTERNS = Path(__file__).parent.parent / "lab" / "patterns"


def pattern(**changes):
    """Return a small pattern."""
    query_kind = QueryKind(
        "search", per_s=20.0, work_ms=10.0, objective_ms=100.0, deadline_ms=1000.0
    )
    fields = {"duration_s": 3.0, "shards": 12, "gatherers": 2, "zones": 2}
    return Pattern(**{"title": "small", "queries": [query_kind], **fields, **changes})


class PatternTest(unittest.TestCase):
    """Validation of pattern files."""

    def read(self, text):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "pattern.toml"
            path.write_text(text)
            return read_pattern(path)

    def test_bundled_patterns_are_valid(self):
        titles = {read_pattern(path).title for path in _PATTERNS.glob("*.toml")}
        self.assertEqual(len(titles), len(list(_PATTERNS.glob("*.toml"))))

    def test_all_errors_are_reported_at_once(self):
        text = (
            'title = "x"\n[[queries]]\nname = "a"\nper_s = 1\nwork_ms = 1\n'
            "objective_ms = 20\ndeadline_ms = 10\n"
            '[[faults]]\nkind = "down"\nfrom_s = 1\nfor_s = 1\nshards = 0.1\n'
            "copies = 3\n"
        )
        with self.assertRaises(PatternError) as caught:
            self.read(text)
        self.assertIn("lower it", str(caught.exception))
        self.assertIn("lower copies", str(caught.exception))

    def test_unknown_fields_and_invalid_values_are_rejected(self):
        for text in ("title = 1", 'title = "x"\nqueries = []', "slot = 2", "= 1"):
            with self.subTest(text), self.assertRaises(PatternError):
                self.read(text)
        with self.assertRaises(PatternError):
            read_pattern("no such file")


class SimulatedServerTest(unittest.TestCase):
    """Simulated servers."""

    def server(self, **changes):
        entry = ServerEntry("a", "s", "a", "z0", 2)
        self.replies = []
        return SimulatedServer(
            entry,
            pattern(**changes),
            random=np.random.default_rng(1),
            scheduler=EventScheduler(),
        )

    def job(self):
        return Job(0, 1000.0, self.replies.append)

    def test_full_server_rejects_requests(self):
        server = self.server(slots=2, queue=1)
        for _ in range(5):
            server.receive(self.job(), 0.0)
        self.assertEqual((server.received_requests, server.shed), (5, 2))
        self.assertTrue(all(reply.not_run for reply in self.replies))

    def test_cancelled_request_frees_its_slot(self):
        server = self.server(slots=1, queue=0)
        first = self.job()
        server.receive(first, 0.0)
        server.cancel(first, 1.0)
        server.receive(self.job(), 1.0)
        self.assertEqual(server.shed, 0)

    def test_work_is_suspended_during_a_pause(self):
        server = self.server(pause_ms=250.0, pause_every_s=1.0)
        ends = [server._end_ms(start, 10.0) - start for start in range(1000)]
        self.assertEqual(min(ends), 10.0)
        self.assertAlmostEqual(max(ends), 260.0, delta=1.0)

    def test_noise_has_its_share_of_the_time_and_is_reported(self):
        """Guards against simulated servers that report a load other than their own."""
        server = self.server(noise_share=0.2, noise_factor=4.0, tells_load=True)
        factors = [
            server._load(interval * server._pattern.noise_every_ms).work_factor
            for interval in range(2_000)
        ]
        self.assertEqual(set(factors), {1.0, 4.0})
        self.assertAlmostEqual(factors.count(4.0) / len(factors), 0.2, delta=0.04)

    def test_speed_divides_the_work(self):
        kind = pattern().queries[0]
        fast, slow = self.server(), self.server()
        fast._speed = 2.0
        self.assertAlmostEqual(2.0 * fast._work_ms(kind), slow._work_ms(kind))


class ArrivalTest(unittest.TestCase):
    """Arrivals of callers."""

    def test_zones_peak_in_turn(self):
        uneven = pattern(
            duration_s=100.0, swing=0.9, period_s=10.0, swings_by_zone=True, gatherers=5
        )
        halves = [[0, 0], [0, 0]]
        for arrival in draw_arrivals(uneven, np.random.default_rng(1)):
            (zone,) = {number % 2 for number in arrival.instances}
            self.assertLess(max(arrival.instances), 4)
            halves[zone][int(arrival.at_ms / 5000.0) % 2] += 1
        self.assertGreater(halves[0][0], 2 * halves[0][1])
        self.assertGreater(halves[1][1], 2 * halves[1][0])


class RunTest(unittest.TestCase):
    """Complete runs."""

    def test_same_seed_gives_the_same_run(self):
        faulty = pattern(faults=[Fault(FaultKind.SLOW, 1.0, 1.0, 0.3, factor=6.0)])
        first, second, other = (run_pattern(faulty, seed=seed) for seed in (1, 1, 2))
        self.assertEqual(msgspec.json.encode(first), msgspec.json.encode(second))
        self.assertNotEqual(first.queries, other.queries)

    def test_calm_load_is_served_in_time(self):
        result = run_pattern(pattern(), seed=3)
        self.assertGreater(result.worth, 0.98)
        self.assertEqual((result.unserved, result.shed), (0.0, 0))

    def test_silent_servers_are_avoided(self):
        silent = Fault(FaultKind.SILENT, 1.0, 1.0, 0.5)
        result = run_pattern(pattern(faults=[silent]), seed=4)
        self.assertEqual(result.unserved, 0.0)

    def test_rejected_sub_requests_are_retried(self):
        """Searches failed with most of their time left while servers were full.

        In a third of the shards one server is down, and the other, with one slot and
        one queue place, rejects requests in waves. Every shard is required, and the
        deadline is ten times the latency objective.
        """
        query_kind = QueryKind(
            "search",
            per_s=40.0,
            work_ms=10.0,
            objective_ms=100.0,
            deadline_ms=1000.0,
            minimum_coverage=1.0,
            retries=0,
        )
        down = Fault(FaultKind.DOWN, 1.0, 1.5, 0.3)
        full = pattern(queries=[query_kind], faults=[down], slots=1, queue=1)
        seeds = range(4)
        unserved = sum(run_pattern(full, seed=seed).unserved for seed in seeds)
        with mock.patch.object(
            GatherRun, "_next_retry_at_ms", lambda self, now_ms: float("inf")
        ):
            without_retries = sum(
                run_pattern(full, seed=seed).unserved for seed in seeds
            )
        self.assertLess(unserved, 0.5 * without_retries)


class CompareTest(unittest.TestCase):
    """Comparison of two sets of runs."""

    def runs(self, worths):
        return [
            RunResult("p", seed, worth, 0.0, 0.0, 0, {}, [])
            for seed, worth in enumerate(worths)
        ]

    def verdict(self, before, after):
        (comparison,) = compare(self.runs(before), self.runs(after))
        return comparison.verdict

    def test_difference_is_reported_only_if_significant(self):
        before = [0.50, 0.60, 0.70, 0.80, 0.90]
        better = [0.53, 0.62, 0.73, 0.82, 0.93]
        mixed = [0.53, 0.57, 0.73, 0.77, 0.90]
        self.assertEqual(self.verdict(before, better), "better")
        self.assertEqual(self.verdict(better, before), "worse")
        self.assertEqual(self.verdict(before, mixed), "no difference seen")

    def test_runs_without_a_common_seed_are_rejected(self):
        with self.assertRaises(PatternError):
            compare(self.runs([0.5]), [])

    def test_seeds_are_a_number_or_a_range(self):
        self.assertEqual(list(parse_seeds("3-5")), [3, 4, 5])
        self.assertEqual(list(parse_seeds("7")), [7])
        for text in ("", "a", "5-1", "1-x"):
            with self.subTest(text), self.assertRaises(CommandError):
                parse_seeds(text)
