"""Shared helpers of the tests."""

from __future__ import annotations

import functools
import inspect
import logging
import os
from contextlib import contextmanager

import trio
import trio.testing

from ibisfront.core.logs import LOGGER_NAME
from ibisfront.core.task_guard import UNEXPECTED_ERROR

__all__ = [
    "TEST_SEED",
    "fix_task_order",
    "task_failures",
    "trio_test",
    "trio_test_real_clock",
]

TEST_SEED = int(os.environ.get("IBISFRONT_TEST_SEED", "0"))


def fix_task_order():
    """Make the order in which trio runs ready tasks deterministic.

    By default trio shuffles them, so a test that measures in mock time could
    pass in one run and fail in the next. ``IBISFRONT_TEST_SEED`` selects
    another order, to check that a test does not depend on one. trio provides
    this switch for hypothesis, without a public name.
    """
    scheduler = trio._core._run
    scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True
    scheduler._r.seed(TEST_SEED)


class _TaskFailures(logging.Handler):
    """Collects the log lines of failed tasks."""

    def __init__(self):
        super().__init__()
        self.lines = []

    def emit(self, record):
        if UNEXPECTED_ERROR in record.getMessage():
            self.lines.append(record.getMessage())


@contextmanager
def task_failures():
    """Collect the log lines of tasks that fail and do not end the process."""
    handler = _TaskFailures()
    log = logging.getLogger(LOGGER_NAME)
    log.addHandler(handler)
    try:
        yield handler.lines
    finally:
        log.removeHandler(handler)


def trio_test(test):
    """Run an async test under trio's mock clock with autojump.

    The clock jumps only when every task sleeps, so a test does not depend on
    the machine's load. A test of real sockets must use
    :func:`trio_test_real_clock` instead: the clock would jump past timeouts
    while the kernel still transfers data.
    """

    @functools.wraps(test)
    def run(self):
        clock = trio.testing.MockClock(autojump_threshold=0.0)
        fix_task_order()
        with task_failures() as failures:
            trio.run(test, self, clock=clock)
        self.assertEqual(failures, [])

    assert inspect.iscoroutinefunction(test), "trio_test wraps async functions only"
    return run


def trio_test_real_clock(test):
    """Run an async test under the real clock, for tests of real sockets."""

    @functools.wraps(test)
    def run(self):
        with task_failures() as failures:
            trio.run(test, self)
        self.assertEqual(failures, [])

    return run
