"""Tests of counting from the logs why requests failed or came late."""

from __future__ import annotations

import unittest

from ibisfront.cli.causes import CauseCount, cause_of, count_causes
from ibisfront.cli.log_lines import decoded_line, log_lines
from ibisfront.testing.gateway_fixture import GatewayFixture, gather_route
from ibisfront.tests import trio_test


def line(second, **fields):
    """Return a log line of a second of one minute."""
    text = {
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
    return decoded_line("12.5 i1 " + str(text).replace("'", '"'))


class CausesTest(unittest.TestCase):
    """What counts as a cause, and how it is summed."""

    def test_failures_and_late_answers_have_a_cause(self):
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

    def test_causes_are_counted_by_time_and_route(self):
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

    def test_other_output_between_the_lines_is_passed_over(self):
        self.assertIsNone(decoded_line("Traceback (most recent call last):"))
        self.assertEqual(list(log_lines([])), [])


class LateAnswerTest(unittest.TestCase):
    """What the log says of an answer that was late."""

    @trio_test
    async def test_late_answer_is_logged_with_its_decisions(self):
        """An operator asks why searches were late, and the log does not say.

        Lines of served requests give way to those of failures when there are
        many, and hold no decisions; late answers come when there are many.
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
