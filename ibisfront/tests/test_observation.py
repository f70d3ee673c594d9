"""Tests of what an exchange leaves behind: counters, latencies, log lines."""

from __future__ import annotations

import io
import logging
import sys
import unittest
from unittest import mock

import msgspec

from ibisfront.adapters.http import Exchange
from ibisfront.adapters.log_output import start_logs
from ibisfront.adapters.observation import observe_exchanges
from ibisfront.core.counters import COUNTER_HELP, CounterKind, Counters
from ibisfront.core.errors import ErrorKind, IbisfrontError
from ibisfront.core.latencies import Latencies
from ibisfront.core.logs import LOGGER_NAME, LogPart, part_logger
from ibisfront.core.metrics_text import Gauge, metrics_text
from ibisfront.core.settings import check_settings
from ibisfront.tests.test_settings import settings_with


def exchange(error=None, **fields):
    """Return an exchange that an error ended, or an answered one."""
    known = isinstance(error, IbisfrontError)
    outcome = error.kind.value if known else "internal" if error else "whole"
    values = {
        "request_id": "r-1",
        "method": "POST",
        "path": "/v1/x",
        "parts": ("vestry", "name-check"),
        "status": 200 if error is None else 503,
        "duration_ms": 12.5,
        "outcome": outcome,
        "error": error,
    }
    return Exchange(**{**values, **fields})


class ObserveTest(unittest.TestCase):
    """Each exchange is counted once and timed if it was answered."""

    def setUp(self):
        self.counters = Counters()
        self.latencies = Latencies()
        self.observe = observe_exchanges(
            LogPart.CALLERS, counters=self.counters, latencies=self.latencies
        )

    def test_each_kind_of_error_is_counted_by_its_code(self):
        with self.assertLogs(LOGGER_NAME, logging.DEBUG):
            for kind in ErrorKind:
                self.observe(exchange(IbisfrontError(kind, "x")))
        for kind in ErrorKind:
            self.assertEqual(self.counters.value(CounterKind.ANSWERS, kind.value), 1)

    def test_names_that_callers_make_up_take_no_memory(self):
        """A broken client asks for a new branch in each request.

        Each was refused, yet a histogram for each of the names would fill the
        instance's memory within hours.
        """
        error = IbisfrontError(ErrorKind.UNKNOWN_BRANCH, "x")
        for number in range(100):
            self.observe(exchange(error, parts=(f"made-up-{number}", "name-check")))
        self.assertEqual(self.latencies.values(), [])

    def test_an_overload_writes_no_line_for_each_refusal(self):
        """A flood of one branch is refused, thousands of times a second.

        A line for each would cost the instance its time when it has none.
        """
        with self.assertNoLogs(LOGGER_NAME, logging.INFO):
            self.observe(exchange(IbisfrontError(ErrorKind.OVERLOADED, "x")))
        with self.assertLogs(LOGGER_NAME, logging.WARNING) as logs:
            self.observe(exchange(IbisfrontError(ErrorKind.OUTCOME_UNKNOWN, "x")))
        self.assertEqual(logs.records[0].request_id, "r-1")

    def test_a_fault_of_ours_is_logged_with_its_traceback(self):
        with self.assertLogs(LOGGER_NAME, logging.ERROR) as logs:
            self.observe(exchange(KeyError("x")))
        self.assertIsNotNone(logs.records[0].exc_info)


class LogOutputTest(unittest.TestCase):
    """The log is one JSON object a line, with the prefix of its part."""

    def test_a_line_has_level_prefix_instance_and_request_id(self):
        written = io.StringIO()
        log = logging.getLogger(LOGGER_NAME)
        before = (log.handlers[:], log.level, log.propagate)
        try:
            with mock.patch.object(sys, "stderr", written):
                start_logs(check_settings(settings_with("logs", level="debug")))
            part_logger(LogPart.CALLERS).info("It is so.", extra={"request_id": "r-1"})
        finally:
            log.handlers[:], log.level, log.propagate = before
        line = msgspec.json.decode(written.getvalue())
        self.assertEqual(line.pop("message"), "callers: It is so.")
        self.assertIn("+00:00", line.pop("timestamp"))
        self.assertEqual(line, {"level": "INFO", "instance": "i1", "request_id": "r-1"})


class MetricsTextTest(unittest.TestCase):
    """The text is what Prometheus reads."""

    def test_counters_latencies_and_gauges(self):
        counters, latencies = Counters(), Latencies()
        counters.add(CounterKind.RETRIES, 'odd"\\\n', 3)
        latencies.record_ms("vestry", "name-check", 10.0)
        text = metrics_text(
            counters.values(), latencies.samples(), [Gauge("ready", "Ready.", 1)]
        )
        self.assertIn('ibisfront_retries_total{reason="odd\\"\\\\\\n"} 3\n', text)
        row = 'branch="vestry",purpose="name-check"'
        self.assertIn(f"ibisfront_request_latency_ms_count{{{row}}} 1\n", text)
        self.assertIn(f'ibisfront_request_latency_ms{{{row},quantile="0.99"}} ', text)
        self.assertTrue(text.endswith("ibisfront_ready 1\n"))

    def test_each_kind_is_explained(self):
        self.assertEqual(set(COUNTER_HELP), set(CounterKind))
