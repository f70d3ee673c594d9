"""Tests of the requests suspected of crashing servers."""

from __future__ import annotations

import unittest

import msgspec

from ibisfront.core.decoding import decode_json
from ibisfront.gateway.load.crash_suspects import (
    CrashSuspects,
    FailedRuns,
    fingerprint_of,
)
from ibisfront.gateway.messages import InboundRequest

QUARANTINE_MS = 2_000.0
"""The longest first quarantine."""

CONTACT_MS = 4_000.0


def request(path="/search/a", body=b"", workspace=""):
    """Return a caller's request."""
    return InboundRequest(
        b"GET", path.encode(), "h", "r", 900.0, [], body, 0.0, workspace=workspace
    )


SUSPECT = fingerprint_of(request())


class FingerprintTest(unittest.TestCase):
    """Copies of a request have one fingerprint, others do not."""

    def test_path_and_body_distinguish_requests(self):
        requests = [request(), request("/search/b"), request(body=b"b")]
        self.assertEqual(len({fingerprint_of(item) for item in requests}), 3)
        self.assertEqual(fingerprint_of(request()), SUSPECT)

    def test_sound_request_of_another_workspace_clears_no_suspicion(self):
        """Guards against a crashing request that another caller's answer clears."""
        crashing, sound = request(workspace="a"), request(workspace="b")
        suspects = CrashSuspects()
        for run in ("r1", "r2"):
            suspects.record_failed_run(fingerprint_of(crashing), run, 2, 0.0)
        suspects.record_answer(fingerprint_of(sound), 0.0)
        self.assertTrue(suspects.is_suspected(crashing))
        self.assertFalse(suspects.is_suspected(sound))
        self.assertEqual(suspects.quarantine_left_ms(sound, 0.0), 0.0)


class CrashSuspectsTest(unittest.TestCase):
    """Quarantine and its end."""

    def setUp(self):
        self.suspects = CrashSuspects()

    def fail(self, run, *, servers=2, now_ms=0.0, fingerprint=SUSPECT):
        return self.suspects.record_failed_run(fingerprint, run, servers, now_ms)

    def left_ms(self, now_ms=0.0):
        return self.suspects.quarantine_left_ms(request(), now_ms)

    def test_one_run_that_lost_many_servers_is_not_quarantined(self):
        """Guards against refusals after servers crashed for another reason."""
        self.fail("r1", servers=40)
        self.assertEqual(self.left_ms(), 0.0)

    def test_second_run_that_loses_servers_is_quarantined(self):
        self.fail("r1")
        self.fail("r2")
        self.assertGreater(self.left_ms(), 0.0)
        self.assertLessEqual(self.left_ms(), QUARANTINE_MS)

    def test_requests_that_ran_together_are_not_tried_together(self):
        """Guards against a sound request refused each time that another crashes."""
        others = [request(f"/search/{number}") for number in range(5)]
        for other in others:
            for run in ("r1", "r2"):
                self.fail(run, fingerprint=fingerprint_of(other))
        left_ms = {self.suspects.quarantine_left_ms(other, 0.0) for other in others}
        self.assertEqual(len(left_ms), len(others))

    def test_record_of_another_writer_is_merged_or_rejected(self):
        """Guards against an object of another writer that ends the load of records."""
        for content in (
            b'{"fingerprint": "no digits", "servers_lost": {"a": 3, "b": 3}}',
            b'{"fingerprint": "", "servers_lost": {"a": 3, "b": 3}, "trials": 9}',
        ):
            self.suspects.merge(decode_json(content, FailedRuns), 0.0)
        for known in self.suspects.all_known():
            msgspec.msgpack.encode(known)
        for content in (
            b'{"fingerprint": "f", "servers_lost": {"a": -1}}',
            b'{"fingerprint": "f", "servers_lost": {"a": 99999999999999999999}}',
            b'{"fingerprint": "f", "servers_lost": {}, "trials": 99999999999999999999}',
        ):
            with self.subTest(content), self.assertRaises(msgspec.DecodeError):
                decode_json(content, FailedRuns)

    def test_runs_at_other_instances_count(self):
        """Guards against one crashed server for each instance."""
        self.fail("r1")
        self.suspects.merge(FailedRuns(SUSPECT, {"r2": 2}), 0.0)
        self.assertGreater(self.left_ms(), 0.0)

    def test_report_received_twice_counts_once(self):
        """Guards against a quarantine for one run that is reported again."""
        self.fail("r1")
        for _ in range(3):
            self.suspects.merge(FailedRuns(SUSPECT, {"r1": 2}), 0.0)
        self.assertEqual(self.left_ms(), 0.0)

    def test_answer_clears_a_suspicion(self):
        self.fail("r1")
        self.fail("r2")
        self.assertTrue(self.suspects.record_answer(SUSPECT, 1.0))
        self.assertEqual(self.left_ms(1.0), 0.0)
        self.assertFalse(self.suspects.record_answer(SUSPECT, 2.0))

    def test_recently_answered_request_is_not_suspected(self):
        """Guards against refusing a popular request while its servers crash."""
        self.suspects.record_answer(SUSPECT, 0.0)
        for number in range(5):
            self.fail(f"r{number}", now_ms=1_000.0)
        self.assertEqual(self.left_ms(1_000.0), 0.0)

    def test_each_quarantine_lasts_longer_and_three_copies_run_at_most(self):
        """Guards against a copy at servers at the end of each quarantine."""
        self.fail("r1")
        self.fail("r2")
        now_ms = 0.0
        ran = 0
        while now_ms < 3_000_000.0:
            left_ms = self.left_ms(now_ms)
            if not left_ms:
                ran += now_ms > CONTACT_MS
                self.fail(f"copy at {now_ms}", now_ms=now_ms)
            now_ms += max(left_ms, 1.0)
        self.assertLessEqual(ran, 3)

    def test_many_runs_before_the_quarantine_do_not_prevent_the_next(self):
        """Guards against a limit on remembered runs that hides new ones."""
        for number in range(30):
            self.fail(f"r{number}")
        ended_ms = self.left_ms()
        self.assertEqual(self.left_ms(ended_ms), 0.0)
        self.fail("copy", now_ms=ended_ms)
        self.assertGreater(self.left_ms(ended_ms), QUARANTINE_MS)

    def test_instance_that_missed_reports_learns_the_number_of_quarantines(self):
        self.suspects.merge(FailedRuns(SUSPECT, {"r1": 2, "r2": 2}, 3), 0.0)
        self.assertGreater(self.left_ms(), QUARANTINE_MS)

    def test_failing_servers_do_not_quarantine_all_requests(self):
        """Guards against an outage prolonged by refusals of what was sent in it."""
        for number in range(50):
            fingerprint = fingerprint_of(request(f"/search/{number}"))
            for run in ("r1", "r2"):
                self.fail(run, fingerprint=fingerprint)
        refused = sum(
            self.suspects.quarantine_left_ms(request(f"/search/{number}"), 0.0) > 0.0
            for number in range(50)
        )
        self.assertLessEqual(refused, 8)

    def test_requests_that_lost_a_server_do_not_displace_one_that_crashes_them(self):
        """Guards against a crashing request that is forgotten in an outage."""
        self.fail("r1", servers=3)
        for number in range(1_000):
            self.fail("r", servers=1, fingerprint=f"other-{number}")
        self.assertTrue(self.suspects.is_suspected(request()))

    def test_memory_stays_bounded(self):
        for number in range(10_000):
            fingerprint = fingerprint_of(request(f"/search/{number}"))
            self.suspects.record_answer(fingerprint, 0.0)
            self.fail("r", fingerprint=f"other-{number}")
        self.assertLessEqual(len(list(self.suspects.all_known())), 100)
        self.assertLessEqual(len(self.suspects._answered_at_ms), 4_096)
