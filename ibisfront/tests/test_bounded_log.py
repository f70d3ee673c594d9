"""Tests of the log handler that never blocks."""

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


class Pipe:
    """A handler that writes to a pipe."""

    def __init__(self):
        self.read_end, self.write_end = os.pipe()
        self.rest = b""
        self.handler = BoundedLogHandler(self.write_end, instance="i1", clock=Clock())
        logger = logging.Logger("test")
        logger.addHandler(self.handler)
        self.log = PartLogger(logger, {"part": LogPart.QUERY.value})

    def lines(self):
        """Return the whole lines that were written since the last call."""
        os.set_blocking(self.read_end, False)
        # An empty pipe shows as a refusal to block: all was read.
        with suppress(BlockingIOError):
            while piece := os.read(self.read_end, 65536):
                self.rest += piece
        *whole, self.rest = self.rest.split(b"\n")
        return [json.loads(line) for line in whole]

    def close(self):
        os.close(self.read_end)
        os.close(self.write_end)


class BoundedLogTest(unittest.TestCase):
    """Volume is bounded, failures go first, nothing blocks."""

    def setUp(self):
        self.pipe = Pipe()
        self.addCleanup(self.pipe.close)

    @trio_test
    async def test_line_is_json_with_its_fields(self):
        self.pipe.log.warning("Answered %d.", 502, extra={"request_id": "r1"})
        self.pipe.handler.flush()
        (line,) = self.pipe.lines()
        self.assertEqual(line["message"], "query: Answered 502.")
        self.assertEqual((line["instance"], line["request_id"]), ("i1", "r1"))

    @trio_test
    async def test_flood_stays_within_the_budget_and_is_counted(self):
        """A flood of ordinary lines fills the log and hides the failures.

        Ten thousand answered requests come in ten seconds, and a few fail.
        The ordinary lines are cut to their budget, every failure has its
        line, and the lines say how many are missing.
        """
        for second in range(10):
            for _ in range(1000):
                self.pipe.log.info("Answered.")
            self.pipe.log.warning("Failed %d.", second)
            self.pipe.handler.flush()
            await trio.sleep(1.0)
        lines = self.pipe.lines()
        ordinary = [line for line in lines if line["level"] == "INFO"]
        failed = [line for line in lines if line["level"] == "WARNING"]
        self.assertEqual(len(failed), 10)
        self.assertLessEqual(len(ordinary), LINES_PER_S[logging.INFO] * (10 + 4))
        dropped = sum(line.get("dropped", {}).get("info", 0) for line in lines)
        self.assertEqual(dropped + len(ordinary), 10_000)

    @trio_test
    async def test_output_that_nobody_reads_delays_nothing(self):
        """Every request hangs since the log's reader has stopped.

        The pipe is full. Logging and flushing return at once, the queue is
        bounded, and what was dropped is counted once the reader is back.
        """
        with trio.fail_after(1000.0):
            for _ in range(200):
                for _ in range(40):
                    self.pipe.log.warning("Failed: %s.", "x" * 200)
                self.pipe.handler.flush()
                await trio.sleep(1.0)
        self.assertLessEqual(len(self.pipe.handler._lines), 2_000)
        lines = self.pipe.lines()
        while self.pipe.handler._lines or self.pipe.handler._rest:
            self.pipe.handler.flush()
            lines += self.pipe.lines()
        self.pipe.log.warning("Back.")
        self.pipe.handler.flush()
        self.assertGreater(self.pipe.lines()[-1]["dropped"]["warning"], 0)


class ExplainTest(unittest.TestCase):
    """A request's lines are found among those of several instances."""

    def test_lines_are_found_in_time_order(self):
        texts = [
            'x {"timestamp": "2", "instance": "b", "message": "m", "request_id": "r"}',
            "no json r",
            '{"timestamp": "1", "instance": "a", "message": "m", "request_id": "r"}',
            '{"timestamp": "0", "instance": "a", "message": "m", "request_id": "r2"}',
        ]
        found = find_request_lines("r", texts)
        self.assertEqual([line.instance for line in found], ["a", "b"])
