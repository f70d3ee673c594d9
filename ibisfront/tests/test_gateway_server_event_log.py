"""Tests of log lines that cover many servers."""

from __future__ import annotations

import unittest

from ibisfront.core.clock import Clock
from ibisfront.gateway.servers.server_event_log import ServerEventLog
from ibisfront.tests import trio_test


class ServerEventLogTest(unittest.TestCase):
    """Log lines when hundreds of servers start and leave."""

    @trio_test
    async def test_many_servers_share_one_line_per_event(self):
        """Guards against missing log lines of failed requests.

        A repartition adds hundreds of servers; a line for each at every instance would
        use up the log budget.
        """
        event_log = ServerEventLog(Clock())
        for number in range(300):
            event_log.record("Listed", f"i-{number}", "s")
        event_log.record("Unreachable, timed out", "i-7", "s", is_fault=True)
        with self.assertLogs("ibisfront", "INFO") as logs:
            event_log.flush()
        listed, failed = logs.records
        self.assertIn("i-0 of s", listed.getMessage())
        self.assertIn("and 288 more", listed.getMessage())
        self.assertEqual((listed.servers, listed.levelname), (300, "INFO"))
        self.assertEqual((failed.servers, failed.levelname), (1, "WARNING"))
        self.assertIn("i-7 of s", failed.getMessage())

    @trio_test
    async def test_flush_without_events_logs_nothing(self):
        event_log = ServerEventLog(Clock())
        event_log.record("Listed", "i-1", "s")
        with self.assertLogs("ibisfront", "INFO"):
            event_log.flush()
        with self.assertNoLogs("ibisfront", "INFO"):
            event_log.flush()
