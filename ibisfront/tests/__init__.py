"""Shared helpers of the tests."""

from __future__ import annotations

import functools
import inspect
import os

import trio
import trio.testing

__all__ = ["fix_task_order", "trio_test", "trio_test_real_clock"]

_SEED = int(os.environ.get("IBISFRONT_TEST_SEED", "0"))


def fix_task_order():
    """Let trio run tasks that are ready together in a repeatable order.

    trio shuffles them otherwise, so that a test of figures in mock time could
    pass in one run and fail in the next. ``IBISFRONT_TEST_SEED`` chooses
    another order, to see that a test does not hang on one. trio has this
    switch for hypothesis, and no public name for it.
    """
    scheduler = trio._core._run
    scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True
    scheduler._r.seed(_SEED)


def trio_test(test):
    """Run an async test under trio's mock clock, which jumps when all wait.

    The clock jumps only when every task sleeps, so that a test never depends
    on how busy the machine is. A test of real sockets must use
    :func:`trio_test_real_clock` instead: a jump would outrun the kernel.
    """

    @functools.wraps(test)
    def run(self):
        clock = trio.testing.MockClock(autojump_threshold=0.0)
        fix_task_order()
        trio.run(test, self, clock=clock)

    assert inspect.iscoroutinefunction(test), "trio_test wraps async functions only"
    return run


def trio_test_real_clock(test):
    """Run an async test under the real clock, for tests of real sockets."""

    @functools.wraps(test)
    def run(self):
        trio.run(test, self)

    return run
