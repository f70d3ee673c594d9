"""Noticing that this process was frozen."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisfront.core.logs import LogPart, part_logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from ibisfront.core.clock import Clock

__all__ = ["PAUSE_MS", "watch_for_pause"]

PAUSE_MS = 1500.0
"""From which length on a standstill of this process counts as a pause."""

_TICK_MS = 250.0
_LOG = part_logger(LogPart.INSTANCE)


async def watch_for_pause(clock: Clock, woke: Callable[[float], None]) -> None:
    """Call a function with the length of each pause, until cancelled.

    A frozen process does not notice that it was: its streams look open, its
    watch looks fresh, and its peers may have counted it dead meanwhile. The
    monotonic clock goes on while it stands still, so that a tick that comes
    far too late shows it.
    """
    while True:
        due_ms = clock.now_ms() + _TICK_MS
        await clock.sleep_ms(_TICK_MS)
        late_ms = clock.now_ms() - due_ms
        if late_ms >= PAUSE_MS:
            _LOG.warning("This process stood still for %.0f ms.", late_ms)
            woke(late_ms)
