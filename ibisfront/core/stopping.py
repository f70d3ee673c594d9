"""A planned stop: finish what runs, hand back what is held, say goodbye."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from contextlib import contextmanager
from typing import TYPE_CHECKING, TypeAlias

import trio

from ibisfront.core.logs import LogPart, part_logger

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ibisfront.core.clock import Clock
    from ibisfront.core.settings import StopSettings

__all__ = ["LeavingHook", "Stopping", "stop_in_order"]

LeavingHook: TypeAlias = Callable[[], Awaitable[None]]
"""Hands back or says something when every request has ended."""

QUIET_MS = 100.0
LEAVE_TIMEOUT_MS = 1_000.0

_LOG = part_logger(LogPart.STOP)


class Stopping:
    """The callers' requests in this process, and whether it is stopping.

    Parameters
    ----------
    clock : Clock
        The tier's clock.
    """

    __slots__ = ("_clock", "_hooks", "_idle", "_requests", "_started", "begun")

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._hooks: list[LeavingHook] = []
        self._requests: dict[int, str] = {}
        self._started = 0
        self._idle = trio.Event()
        self.begun = False
        """Whether the stop has begun: not ready, and callers are to close."""

    @property
    def requests(self) -> list[str]:
        """A line for each request in flight, oldest first."""
        return list(self._requests.values())

    @contextmanager
    def request(self, line: str) -> Iterator[None]:
        """Count a request as in flight while the context is open."""
        self._started += 1
        number = self._started
        self._requests[number] = line
        try:
            yield
        finally:
            del self._requests[number]
            if not self._requests:
                self._idle.set()
                self._idle = trio.Event()

    def begin(self) -> None:
        """Stop being ready."""
        self.begun = True

    def on_leaving(self, hook: LeavingHook) -> None:
        """Call a function, after those before it, once no request is left."""
        self._hooks.append(hook)

    async def wait_quiet(self) -> None:
        """Wait until no request runs and none has come for a moment.

        A balancer that is slower than its lag still sends a few; closing the
        listener between two of them would cut the second off.
        """
        while True:
            while self._requests:
                await self._idle.wait()
            seen = self._started
            await self._clock.sleep_ms(QUIET_MS)
            if seen == self._started:
                return

    async def leave(self) -> None:
        """Call every leaving hook in order, each for a bounded time."""
        for hook in self._hooks:
            with self._clock.timeout_ms(LEAVE_TIMEOUT_MS) as scope:
                await hook()
            if scope.cancelled_caught:
                _LOG.warning("Peers were not all told within %d ms.", LEAVE_TIMEOUT_MS)


async def stop_in_order(
    stopping: Stopping, *, clock: Clock, settings: StopSettings, again: trio.Event
) -> list[str]:
    """Carry out a planned stop up to the closing of the listeners.

    Parameters
    ----------
    stopping : Stopping
        The requests in flight.
    clock : Clock
        The tier's clock.
    settings : StopSettings
        The balancer's lag, and the bound.
    again : trio.Event
        Set by a second signal, which ends the wait.

    Returns
    -------
    list of str
        A line for each request that is cut off; empty in a planned stop.
    """
    stopping.begin()
    _LOG.info(
        "Not ready from now on; requests are accepted for %d ms more.",
        settings.balancer_lag_ms,
    )
    bound_ms = settings.balancer_lag_ms + settings.finish_ms
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_cancel_when, again, nursery.cancel_scope)
        with clock.timeout_ms(bound_ms) as bound:
            await clock.sleep_ms(settings.balancer_lag_ms)
            await stopping.wait_quiet()
        nursery.cancel_scope.cancel()
    cut_off = stopping.requests
    if again.is_set():
        _LOG.warning("A second signal ends the stop at once.")
    elif bound.cancelled_caught:
        _LOG.warning("The bound of %d ms has lapsed.", bound_ms)
    for line in cut_off:
        _LOG.warning("Cut off: %s.", line)
    _LOG.info("Requests cut off: %d.", len(cut_off))
    await stopping.leave()
    return cut_off


async def _cancel_when(event: trio.Event, scope: trio.CancelScope) -> None:
    await event.wait()
    scope.cancel()
