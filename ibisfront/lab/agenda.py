"""What is to happen, in virtual time."""

from __future__ import annotations

import math
from collections.abc import Callable

import trio

__all__ = ["Agenda"]

_STEP_MS = 0.5
"""How exactly things happen at their time: work of a server takes many times that, and
fewer steps leave the processor to the decisions."""


class Agenda:
    """Calls functions at their times, in order, from one task.

    A model of hundreds of servers with a task for each request would spend its time on
    switching between tasks.
    """

    __slots__ = ("_calls_by_step", "_step")

    def __init__(self) -> None:
        self._step = 0
        self._calls_by_step: dict[int, list[Callable[[], None]]] = {}

    def at(self, time_ms: float, call: Callable[[], None]) -> None:
        """Call a function at a time, or in the next step after it."""
        step = max(math.ceil(time_ms / _STEP_MS), self._step)
        self._calls_by_step.setdefault(step, []).append(call)

    async def run(self) -> None:
        """Call what is due until cancelled."""
        self._step = math.floor(trio.current_time() * 1000.0 / _STEP_MS)
        while True:
            self._step += 1
            await trio.sleep_until(self._step * _STEP_MS / 1000.0)
            # What is planned for this very step meanwhile is called in it too.
            while calls := self._calls_by_step.pop(self._step, None):
                for call in calls:
                    call()
