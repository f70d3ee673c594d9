"""Tests of the counters, latencies and log lines of an exchange."""

from __future__ import annotations

import io
import logging
import sys
import unittest
from unittest import mock

import msgspec

from ibisfront.adapters.http import Exchange
from ibisfront.adapters.log_output import configure_logging
from ibisfront.adapters.observation import observe_exchanges
from ibisfront.core.counters import COUNTER_HELP, CounterKind, Counters
from ibisfront.core.errors import ErrorKind, IbisfrontError
from ibisfront.core.latencies import Latencies
from ibisfront.core.logs import LOGGER_NAME, LogPart, part_logger
from ibisfront.core.metrics_text import Gauge, metrics_text
from ibisfront.core.settings import check_settings
from ibisfront.tests.test_settings import settings_with


def exchange(error=None, **fields):
    """Return an exchange that ended with an error, or a successful one."""
    is_ibisfront_error = isinstance(error, IbisfrontError)
    outcome = (
        error.kind.value if is_ibisfront_error else "internal" if error else "whole"
    )
    values = {
        "request_id": "r-1",
        "method": "POST",
        "path": "/v1/x",
        "path_params": ("vestry", "name-check"),
        "status": 200 if error is None else 503,
        "duration_ms": 12.5,
        "outcome": outcome,
        "error": error,
    }
    return Exchange(**{**values, **fields})


class ObserveTest(unittest.TestCase):
    """Each exchange is counted once, and timed if it was successful."""

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

    def test_unknown_branch_names_take_no_memory(self):
        """Guards against memory growth from unknown branch names.

        A faulty client sends a new branch name in each request. A histogram
        for each rejected name would fill the instance's memory within hours.
        """
        error = IbisfrontError(ErrorKind.UNKNOWN_BRANCH, "x")
        for number in range(100):
            self.observe(
                exchange(error, path_params=(f"made-up-{number}", "name-check"))
            )
        self.assertEqual(self.latencies.values(), [])

    def test_an_overload_logs_no_line_for_each_rejection(self):
        """Guards against log lines adding to an overload.

        One branch's excess requests are rejected thousands of times a second;
        a line for each would slow the overloaded instance further.
        """
        with self.assertNoLogs(LOGGER_NAME, logging.INFO):
            self.observe(exchange(IbisfrontError(ErrorKind.OVERLOADED, "x")))
        with self.assertLogs(LOGGER_NAME, logging.WARNING) as logs:
            self.observe(exchange(IbisfrontError(ErrorKind.OUTCOME_UNKNOWN, "x")))
        self.assertEqual(logs.records[0].request_id, "r-1")

    def test_an_internal_error_is_logged_with_its_traceback(self):
        with self.assertLogs(LOGGER_NAME, logging.ERROR) as logs:
            self.observe(exchange(KeyError("x")))
        self.assertIsNotNone(logs.records[0].exc_info)


class LogOutputTest(unittest.TestCase):
    """Each log line is a JSON object, with the prefix of its log part."""

    def test_a_line_has_level_prefix_instance_and_request_id(self):
        written = io.StringIO()
        log = logging.getLogger(LOGGER_NAME)
        saved_state = (log.handlers[:], log.level, log.propagate)
        try:
            with mock.patch.object(sys, "stderr", written):
                configure_logging(check_settings(settings_with("logs", level="debug")))
            part_logger(LogPart.CALLERS).info(
                "Settings loaded.", extra={"request_id": "r-1"}
            )
        finally:
            log.handlers[:], log.level, log.propagate = saved_state
        line = msgspec.json.decode(written.getvalue())
        self.assertEqual(line.pop("message"), "callers: Settings loaded.")
        self.assertIn("+00:00", line.pop("timestamp"))
        self.assertEqual(line, {"level": "INFO", "instance": "i1", "request_id": "r-1"})


class MetricsTextTest(unittest.TestCase):
    """The text is in the Prometheus exposition format."""

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
