"""Clock of the tier, in milliseconds."""

from __future__ import annotations

import time
from collections.abc import Callable

import trio

__all__ = ["LATE_WAKE_UP_MS", "MILLISECONDS_PER_SECOND", "Clock"]

MILLISECONDS_PER_SECOND = 1000.0

LATE_WAKE_UP_MS = 8.0
"""Lateness of a wake-up above which the process is assumed to have been suspended.
A small instance may not be scheduled for 50 ms at a time."""


def _system_wall_ms() -> float:
    return time.time() * MILLISECONDS_PER_SECOND


class Clock:
    """Time and timers in milliseconds.

    Monotonic time comes from trio, so tests control it with trio's mock clock.
    It advances while the process is suspended, so that a resumed process can
    determine for how long.

    Parameters
    ----------
    wall : callable, optional
        Returns the wall-clock time in milliseconds since the Unix epoch. Only
        for values that leave the process (key times, edit times), never for
        waiting.
    """

    __slots__ = ("_wall",)

    def __init__(self, *, wall: Callable[[], float] = _system_wall_ms) -> None:
        self._wall = wall

    def now_ms(self) -> float:
        """Return the monotonic time in milliseconds."""
        return trio.current_time() * MILLISECONDS_PER_SECOND

    def wall_ms(self) -> float:
        """Return the wall-clock time in milliseconds since the Unix epoch."""
        return self._wall()

    async def sleep_ms(self, duration_ms: float) -> None:
        """Sleep for a duration; negative values count as zero."""
        await trio.sleep(max(duration_ms, 0.0) / MILLISECONDS_PER_SECOND)

    def timeout_ms(self, duration_ms: float) -> trio.CancelScope:
        """Return a cancel scope that expires after a duration."""
        return trio.move_on_after(max(duration_ms, 0.0) / MILLISECONDS_PER_SECOND)

    def extend_ms(self, scope: trio.CancelScope, duration_ms: float) -> None:
        """Make a scope of :meth:`timeout_ms` expire a duration from now instead."""
        scope.deadline = trio.current_time() + duration_ms / MILLISECONDS_PER_SECOND
