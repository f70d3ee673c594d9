"""The tier's one clock, in milliseconds."""

from __future__ import annotations

import time
from collections.abc import Callable

import trio

__all__ = ["MILLISECONDS_PER_SECOND", "OVERSLEPT_MS", "Clock"]

MILLISECONDS_PER_SECOND = 1000.0

OVERSLEPT_MS = 8.0
"""Lateness of a wake-up that shows that the process did not run: a small instance
may be kept from running for half of a tenth of a second."""


def _system_wall_ms() -> float:
    return time.time() * MILLISECONDS_PER_SECOND


class Clock:
    """Tells and waits for time in milliseconds.

    The monotonic time is trio's, so that a test under trio's mock clock
    drives it; it goes on while the process is stopped, so that a process
    that wakes sees how long it was away.

    Parameters
    ----------
    wall : callable, optional
        Returns the time of day in milliseconds since 1970. Only for values
        that leave the process (key times, edit times); never for waiting.
    """

    __slots__ = ("_wall",)

    def __init__(self, *, wall: Callable[[], float] = _system_wall_ms) -> None:
        self._wall = wall

    def now_ms(self) -> float:
        """Return the monotonic time in milliseconds."""
        return trio.current_time() * MILLISECONDS_PER_SECOND

    def wall_ms(self) -> float:
        """Return the time of day in milliseconds since 1970."""
        return self._wall()

    async def sleep_ms(self, duration_ms: float) -> None:
        """Wait for a duration; a negative one counts as none."""
        await trio.sleep(max(duration_ms, 0.0) / MILLISECONDS_PER_SECOND)

    def timeout_ms(self, duration_ms: float) -> trio.CancelScope:
        """Return a cancel scope that ends after a duration."""
        return trio.move_on_after(max(duration_ms, 0.0) / MILLISECONDS_PER_SECOND)

    def extend_ms(self, scope: trio.CancelScope, duration_ms: float) -> None:
        """Let a scope of :meth:`timeout_ms` end a duration after now instead."""
        scope.deadline = trio.current_time() + duration_ms / MILLISECONDS_PER_SECOND
