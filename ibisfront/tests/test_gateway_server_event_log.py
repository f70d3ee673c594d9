"""Tests of the log lines about many servers."""

from __future__ import annotations

import unittest

from ibisfront.core.clock import Clock
from ibisfront.gateway.servers.server_event_log import ServerEventLog
from ibisfront.tests import trio_test


class ServerEventLogTest(unittest.TestCase):
    """What an operator reads when hundreds of servers come and go."""

    @trio_test
    async def test_many_servers_have_one_line_a_kind(self):
        """The line of a failed request is missing from the log.

        A repartition brought hundreds of servers, each with a line of its own at
        every instance, which used up the lines that may be written.
        """
        event_log = ServerEventLog(Clock())
        for number in range(300):
            event_log.record("Listed", f"i-{number}", "s")
        event_log.record("Cannot be reached, timed out", "i-7", "s", is_fault=True)
        with self.assertLogs("ibisfront", "INFO") as logs:
            event_log.tell()
        listed, failed = logs.records
        self.assertIn("i-0 of s", listed.getMessage())
        self.assertIn("and 288 more", listed.getMessage())
        self.assertEqual((listed.servers, listed.levelname), (300, "INFO"))
        self.assertEqual((failed.servers, failed.levelname), (1, "WARNING"))
        self.assertIn("i-7 of s", failed.getMessage())

    @trio_test
    async def test_nothing_new_has_no_line(self):
        event_log = ServerEventLog(Clock())
        event_log.record("Listed", "i-1", "s")
        with self.assertLogs("ibisfront", "INFO"):
            event_log.tell()
        with self.assertNoLogs("ibisfront", "INFO"):
            event_log.tell()
