"""Detection of pauses of this process."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from ibisfront.core.clock import MILLISECONDS_PER_SECOND
from ibisfront.core.logs import LogPart, part_logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from ibisfront.core.clock import Clock

__all__ = ["PAUSE_MS", "PauseLog", "watch_for_pause"]

PAUSE_MS = 1500.0
"""Minimum delay of a tick that counts as a pause of this process."""

_TICK_MS = 250.0
_LOGGED_PAUSE_MS = 400.0
"""Minimum delay that is logged: a request may have waited for as long."""

_LOG = part_logger(LogPart.INSTANCE)


class PauseLog:
    """Logs long delays of a task that sleeps at short intervals.

    The processor time that was used meanwhile distinguishes a process that was not
    scheduled from one whose event loop was blocked by its own work.

    Parameters
    ----------
    clock : Clock
        The clock.
    """

    __slots__ = ("_clock", "_cpu_ms", "_now_ms")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._now_ms = clock.now_ms()
        self._cpu_ms = _cpu_ms()

    def record_tick(self, interval_ms: float) -> None:
        """Record that the task runs, which was due an interval after the last time."""
        now_ms, cpu_ms = self._clock.now_ms(), _cpu_ms()
        late_ms = now_ms - self._now_ms - interval_ms
        if late_ms >= _LOGGED_PAUSE_MS:
            used_ms = cpu_ms - self._cpu_ms
            _LOG.warning(
                "Nothing ran for %.0f ms; processor time used: %.0f ms.",
                late_ms,
                used_ms,
            )
        self._now_ms, self._cpu_ms = now_ms, cpu_ms


def _cpu_ms() -> float:
    return time.process_time() * MILLISECONDS_PER_SECOND


async def watch_for_pause(clock: Clock, on_pause: Callable[[float], None]) -> None:
    """Call a function with the length of each pause, until cancelled.

    After a pause the streams of the process still appear open and its watch
    current, although its peers may have declared it dead. The monotonic clock
    advances during a pause, so a tick that is far too late reveals it.
    """
    while True:
        due_ms = clock.now_ms() + _TICK_MS
        await clock.sleep_ms(_TICK_MS)
        late_ms = clock.now_ms() - due_ms
        if late_ms >= PAUSE_MS:
            _LOG.warning("This process was paused for %.0f ms.", late_ms)
            on_pause(late_ms)
