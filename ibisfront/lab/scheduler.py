"""Discrete-event scheduler in virtual time."""

from __future__ import annotations

import math
from collections.abc import Callable

import trio

__all__ = ["EventScheduler"]

_STEP_MS = 0.5
"""Time resolution. Server work takes many times longer, and coarse steps leave more
processor time to the code under test."""


class EventScheduler:
    """Runs scheduled callbacks in time order from a single task.

    With hundreds of servers, one task per request would spend most of the time on
    task switches.
    """

    __slots__ = ("_callbacks_by_step", "_step")

    def __init__(self) -> None:
        self._step = 0
        self._callbacks_by_step: dict[int, list[Callable[[], None]]] = {}

    def call_at(self, time_ms: float, callback: Callable[[], None]) -> None:
        """Schedule a callback for the first step at or after ``time_ms``."""
        step = max(math.ceil(time_ms / _STEP_MS), self._step)
        self._callbacks_by_step.setdefault(step, []).append(callback)

    async def run(self) -> None:
        """Run due callbacks until cancelled."""
        self._step = math.floor(trio.current_time() * 1000.0 / _STEP_MS)
        while True:
            self._step += 1
            await trio.sleep_until(self._step * _STEP_MS / 1000.0)
            # Callbacks may schedule further callbacks for the current step.
            while callbacks := self._callbacks_by_step.pop(self._step, None):
                for callback in callbacks:
                    callback()
