"""Tests of the non-blocking log handler."""

from __future__ import annotations

import json
import logging
import os
import unittest
from contextlib import suppress

import trio

from ibisfront.cli.explain import find_request_lines
from ibisfront.core.bounded_log import LINES_PER_S, BoundedLogHandler
from ibisfront.core.clock import Clock
from ibisfront.core.logs import LogPart, PartLogger
from ibisfront.tests import trio_test


class PipedHandler:
    """A log handler that writes to a pipe."""

    def __init__(self):
        self.read_end, self.write_end = os.pipe()
        self.partial = b""
        self.handler = BoundedLogHandler(self.write_end, instance="i1", clock=Clock())
        logger = logging.Logger("test")
        logger.addHandler(self.handler)
        self.log = PartLogger(logger, {"part": LogPart.QUERY.value})

    def lines(self):
        """Return the complete lines written since the last call."""
        os.set_blocking(self.read_end, False)
        # A non-blocking read of an empty pipe raises: everything has been read.
        with suppress(BlockingIOError):
            while chunk := os.read(self.read_end, 65536):
                self.partial += chunk
        *complete, self.partial = self.partial.split(b"\n")
        return [json.loads(line) for line in complete]

    def close(self):
        os.close(self.read_end)
        os.close(self.write_end)


class BoundedLogTest(unittest.TestCase):
    """Volume is bounded, warnings are kept, and nothing blocks."""

    def setUp(self):
        self.pipe = PipedHandler()
        self.addCleanup(self.pipe.close)

    @trio_test
    async def test_line_is_json_with_its_fields(self):
        self.pipe.log.warning("Answered %d.", 502, extra={"request_id": "r1"})
        self.pipe.handler.flush()
        (line,) = self.pipe.lines()
        self.assertEqual(line["message"], "query: Answered 502.")
        self.assertEqual((line["instance"], line["request_id"]), ("i1", "r1"))

    @trio_test
    async def test_flood_is_limited_and_counted(self):
        """A flood of ordinary lines must not displace failures from the log.

        Ten thousand requests succeed in ten seconds, and a few fail. Ordinary
        lines are reduced to their limit, every failure is logged, and the log
        reports the number of dropped lines.
        """
        for second in range(10):
            for _ in range(1000):
                self.pipe.log.info("Answered.")
            self.pipe.log.warning("Failed %d.", second)
            self.pipe.handler.flush()
            await trio.sleep(1.0)
        lines = self.pipe.lines()
        info_lines = [line for line in lines if line["level"] == "INFO"]
        warnings = [line for line in lines if line["level"] == "WARNING"]
        self.assertEqual(len(warnings), 10)
        self.assertLessEqual(len(info_lines), LINES_PER_S[logging.INFO] * (10 + 4))
        dropped = sum(line.get("dropped", {}).get("info", 0) for line in lines)
        self.assertEqual(dropped + len(info_lines), 10_000)

    @trio_test
    async def test_unread_output_does_not_block(self):
        """Requests would hang if the log's reader stopped and the pipe were full.

        Logging and flushing return immediately, the queue is bounded, and the
        number of dropped lines is reported once the reader resumes.
        """
        with trio.fail_after(1000.0):
            for _ in range(200):
                for _ in range(40):
                    self.pipe.log.warning("Failed: %s.", "x" * 200)
                self.pipe.handler.flush()
                await trio.sleep(1.0)
        self.assertLessEqual(len(self.pipe.handler._lines), 2_000)
        lines = self.pipe.lines()
        while self.pipe.handler._lines or self.pipe.handler._unwritten:
            self.pipe.handler.flush()
            lines += self.pipe.lines()
        self.pipe.log.warning("Back.")
        self.pipe.handler.flush()
        self.assertGreater(self.pipe.lines()[-1]["dropped"]["warning"], 0)

    @trio_test
    async def test_long_values_of_callers_do_not_fill_the_memory(self):
        """Guards against an unread output whose queue is bounded in lines only."""
        for _ in range(100):
            for _ in range(40):
                self.pipe.log.warning("Refused.", extra={"path": "x" * 16_000})
            self.pipe.handler.flush()
            await trio.sleep(1.0)
        queued_bytes = sum(len(line) for line in self.pipe.handler._lines)
        self.assertLess(queued_bytes, 1_100_000)
        self.assertGreater(queued_bytes, 900_000)


class ExplainTest(unittest.TestCase):
    """The lines of a request are found in the logs of several instances."""

    def test_lines_are_found_in_time_order(self):
        texts = [
            'x {"timestamp": "2", "instance": "b", "message": "m", "request_id": "r"}',
            "no json r",
            '{"timestamp": "1", "instance": "a", "message": "m", "request_id": "r"}',
            '{"timestamp": "0", "instance": "a", "message": "m", "request_id": "r2"}',
        ]
        found = find_request_lines("r", texts)
        self.assertEqual([line.instance for line in found], ["a", "b"])
