"""Shared helpers of the tests."""

from __future__ import annotations

import functools
import inspect

import trio
import trio.testing

__all__ = ["trio_test"]


def trio_test(test):
    """Run an async test under trio's mock clock, which jumps when all wait.

    The clock jumps only when every task sleeps, so that a test never depends
    on how busy the machine is. A test of real sockets must use
    :func:`trio_test_real_clock` instead: a jump would outrun the kernel.
    """

    @functools.wraps(test)
    def run(self):
        clock = trio.testing.MockClock(autojump_threshold=0.0)
        trio.run(test, self, clock=clock)

    assert inspect.iscoroutinefunction(test), "trio_test wraps async functions only"
    return run


def trio_test_real_clock(test):
    """Run an async test under the real clock, for tests of real sockets."""

    @functools.wraps(test)
    def run(self):
        trio.run(test, self)

    return run
