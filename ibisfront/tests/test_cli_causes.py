"""Tests of counting the causes of failed and late requests in logs."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path

from cleo.testers.command_tester import CommandTester

from ibisfront.cli.causes import CauseCount, Causes, cause_of, count_causes
from ibisfront.cli.explain import Explain
from ibisfront.cli.log_lines import parse_log_line, read_log_lines
from ibisfront.cli.refusals import describe_refusal
from ibisfront.testing.gateway_fixture import GatewayFixture, gather_route
from ibisfront.tests import trio_test


def line(second, **fields):
    """Return a log line with a timestamp in the given second."""
    values = {
        "timestamp": f"2030-01-01T00:00:{second:02}.5+00:00",
        "instance": "i1",
        "message": "query: Answered.",
        "route": "search",
        "status": 200,
        "reason": "whole",
        "took_ms": 50.0,
        "objective_ms": 100.0,
        **fields,
    }
    return parse_log_line("12.5 i1 " + str(values).replace("'", '"'))


class CausesTest(unittest.TestCase):
    """Causes of log lines, and their counts."""

    def test_failed_and_late_requests_have_a_cause(self):
        decisions = [
            {"what": "failed", "detail": "connection_lost"},
            {"what": "failed", "detail": "connection_lost"},
            {"what": "budget_spent", "detail": "late"},
        ]
        self.assertIsNone(cause_of(line(1)))
        self.assertIsNone(cause_of(line(1, status=404, reason="no_route")))
        self.assertIsNone(cause_of(line(1, reason="delegated_parts", took_ms=900.0)))
        self.assertEqual(
            cause_of(line(1, status=503, reason="out_of_reach")), "503 out_of_reach"
        )
        self.assertEqual(
            cause_of(line(1, took_ms=120.0, decisions=decisions)),
            "late, whole (failed connection_lost)",
        )

    def test_causes_are_counted_by_interval_and_route(self):
        late = {"took_ms": 300.0}
        lines = [line(9, **late), line(0), line(4, **late), line(5, **late)]
        self.assertEqual(
            count_causes(lines, step_s=4),
            [
                CauseCount(4, "search", "late, whole", 2),
                CauseCount(8, "search", "late, whole", 1),
            ],
        )
        self.assertEqual(count_causes([]), [])

    def test_refusal_for_lack_of_room_is_told_in_one_sentence(self):
        """Guards against a 503 whose cause stands in no line."""
        details = {
            "expected_wait_ms": 700.5,
            "ahead": 12,
            "rank": 2,
            "workspace": "w1",
            "waited_ms": 1.2,
            "left_ms": 480.0,
            "retry_after_ms": 150.0,
        }
        refused = line(1, status=503, reason="no_room", **details)
        self.assertEqual(
            describe_refusal(refused),
            "refused after 1.2 ms: room in 700.5 ms, 12 ahead of rank 2 of workspace"
            " w1, 480.0 ms left; told to come back in 150.0 ms",
        )
        self.assertEqual(
            cause_of(refused), "503 no_room (rank 2, expected wait too long)"
        )
        self.assertIsNone(describe_refusal(line(1)))

    def test_output_between_log_lines_is_ignored(self):
        self.assertIsNone(parse_log_line("Traceback (most recent call last):"))
        self.assertEqual(list(read_log_lines([])), [])


class RefusalForKeyTest(unittest.TestCase):
    """Refusals for a key, as the commands tell them."""

    def test_refusal_for_a_key_is_told_in_one_sentence(self):
        """Guards against operators who cannot tell a revoked key from a late one."""
        refused = {"status": 401, "reason": "unknown_key", "request_id": "r1"}
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder, "i1.log")
            file.write_text(json.dumps(line(1, **refused).fields))
            for command, arguments in (
                (Explain(), f"r1 {file}"),
                (Causes(), str(file)),
            ):
                tester = CommandTester(command)
                tester.execute(arguments)
                with self.subTest(command.name):
                    output = tester.io.fetch_output()
                    self.assertEqual(output.count("No workspace of the"), 1, output)


class LateReplyTest(unittest.TestCase):
    """Log lines of late replies."""

    @trio_test
    async def test_late_reply_is_logged_with_its_decisions(self):
        """The log did not show why searches were late.

        When there are many lines, those of served requests are dropped in favour
        of failures and carry no decisions; late replies occur under such load.
        """
        fixture = GatewayFixture(gather_route(20, minimum=1.0))
        async with fixture.running():
            await fixture.send_request()
            for server in fixture.servers["part-3"]:
                server.latency_ms = 300.0
            with self.assertLogs("ibisfront", "WARNING") as caught:
                reply = await fixture.send_request()
        self.assertEqual((reply.status, reply.reason), (200, "whole"))
        record = caught.records[-1]
        self.assertIn("late", record.getMessage())
        self.assertEqual(record.decisions[0]["service"], "part-3")
