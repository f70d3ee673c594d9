"""Supervision of tasks: an unexpected error ends one task, not the process."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from random import Random
from typing import TYPE_CHECKING, Protocol, TypeVarTuple

from ibisfront.core.backoff import Backoff
from ibisfront.core.counters import CounterKind
from ibisfront.core.logs import LogPart, part_logger

if TYPE_CHECKING:
    import trio

    from ibisfront.core.clock import Clock
    from ibisfront.core.counters import Counters

__all__ = ["UNEXPECTED_ERROR", "TaskGuard", "TaskNursery"]

_LOG = part_logger(LogPart.INSTANCE)

UNEXPECTED_ERROR = "ended by an unexpected error"
"""Part of the log line of each failed task."""

_FIRST_BACKOFF_MS = 100.0
_MAXIMUM_BACKOFF_MS = 5_000.0
"""Bounds of the pause before a failed task is started again. One that runs for the
maximum starts again with the first pause."""

_Args = TypeVarTuple("_Args")


class TaskNursery(Protocol):
    """Starts tasks; a trio nursery, or a guard of one."""

    def start_soon(
        self, async_fn: Callable[[*_Args], Awaitable[object]], /, *args: *_Args
    ) -> None:
        """Start a task."""


class TaskGuard:
    """Starts tasks whose unexpected errors are logged and counted.

    A nursery cancels all tasks, and with them every request of the process, if one of
    them raises an error.

    Parameters
    ----------
    nursery : trio.Nursery
        Runs the tasks.
    clock : Clock
        The clock.
    counters : Counters, optional
        Counts the failed tasks.
    """

    __slots__ = ("_clock", "_counters", "_nursery", "_random")

    def __init__(
        self, nursery: trio.Nursery, *, clock: Clock, counters: Counters | None = None
    ) -> None:
        self._nursery = nursery
        self._clock = clock
        self._counters = counters
        self._random = Random()

    def start_soon(
        self, async_fn: Callable[[*_Args], Awaitable[object]], /, *args: *_Args
    ) -> None:
        """Start a task that is not started again if it fails."""
        self._nursery.start_soon(self._run, async_fn, args)

    def keep_running(
        self, async_fn: Callable[[*_Args], Awaitable[object]], /, *args: *_Args
    ) -> None:
        """Start a task that is started again, after a pause, whenever it fails."""
        self._nursery.start_soon(self._keep_running, async_fn, args)

    async def _keep_running(
        self, async_fn: Callable[[*_Args], Awaitable[object]], args: tuple[*_Args]
    ) -> None:
        backoff = Backoff(
            first_ms=_FIRST_BACKOFF_MS,
            maximum_ms=_MAXIMUM_BACKOFF_MS,
            random=self._random,
        )
        started_ms = self._clock.now_ms()
        while not await self._run(async_fn, args):
            if self._clock.now_ms() - started_ms >= _MAXIMUM_BACKOFF_MS:
                backoff.reset()
            await self._clock.sleep_ms(backoff.next_ms())
            started_ms = self._clock.now_ms()

    async def _run(
        self, async_fn: Callable[[*_Args], Awaitable[object]], args: tuple[*_Args]
    ) -> bool:
        """Run a task; return whether it ended without an unexpected error."""
        is_failed = False
        try:
            await async_fn(*args)
        except* Exception as errors:
            is_failed = True
            self._record(_name_of(async_fn), errors)
        return not is_failed

    def _record(self, name: str, error: BaseException) -> None:
        _LOG.error("Task %s %s.", name, UNEXPECTED_ERROR, exc_info=error)
        if self._counters is not None:
            self._counters.add(CounterKind.TASK_FAILURES, name)


def _name_of(function: Callable[..., object]) -> str:
    """Return the name of a function, or of the one that a partial calls."""
    function = getattr(function, "func", function)
    return str(getattr(function, "__qualname__", type(function).__name__))
