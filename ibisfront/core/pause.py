"""Detection of pauses of this process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisfront.core.logs import LogPart, part_logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from ibisfront.core.clock import Clock

__all__ = ["PAUSE_MS", "watch_for_pause"]

PAUSE_MS = 1500.0
"""Minimum delay of a tick that counts as a pause of this process."""

_TICK_MS = 250.0
_LOG = part_logger(LogPart.INSTANCE)


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
