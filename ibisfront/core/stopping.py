"""Graceful shutdown: finish requests, release resources, notify the peers."""

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
"""Releases resources or notifies peers after all requests have ended."""

IDLE_PERIOD_MS = 100.0
LEAVE_TIMEOUT_MS = 1_000.0

_LOG = part_logger(LogPart.STOP)


class Stopping:
    """Tracks the callers' requests in flight and whether the process is stopping.

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
        """Whether shutdown has begun: not ready, and connections should be closed."""

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
        """Begin the shutdown: the instance is no longer ready."""
        self.begun = True

    def on_leaving(self, hook: LeavingHook) -> None:
        """Register a hook to run after earlier hooks, once no request is in flight."""
        self._hooks.append(hook)

    async def wait_idle(self) -> None:
        """Wait until no request is in flight and none arrives for an idle period.

        A load balancer that is slower than its configured lag may send a few more
        requests; closing the listener between them would reset these.
        """
        while True:
            while self._requests:
                await self._idle.wait()
            started_before = self._started
            await self._clock.sleep_ms(IDLE_PERIOD_MS)
            if started_before == self._started:
                return

    async def leave(self) -> None:
        """Run the leaving hooks in order, each with a timeout."""
        for hook in self._hooks:
            with self._clock.timeout_ms(LEAVE_TIMEOUT_MS) as scope:
                await hook()
            if scope.cancelled_caught:
                _LOG.warning(
                    "A leave hook did not finish within %d ms.", LEAVE_TIMEOUT_MS
                )


async def stop_in_order(
    stopping: Stopping,
    *,
    clock: Clock,
    settings: StopSettings,
    second_signal: trio.Event,
) -> list[str]:
    """Shut down gracefully, up to the closing of the listeners.

    Parameters
    ----------
    stopping : Stopping
        The requests in flight.
    clock : Clock
        The tier's clock.
    settings : StopSettings
        The load balancer's lag and the time to finish requests.
    second_signal : trio.Event
        Set when a second signal arrives, which ends the wait.

    Returns
    -------
    list of str
        A line for each aborted request; empty if all finished in time.
    """
    stopping.begin()
    _LOG.info(
        "No longer ready; requests are accepted for another %d ms.",
        settings.balancer_lag_ms,
    )
    limit_ms = settings.balancer_lag_ms + settings.finish_ms
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_cancel_on, second_signal, nursery.cancel_scope)
        with clock.timeout_ms(limit_ms) as limit:
            await clock.sleep_ms(settings.balancer_lag_ms)
            await stopping.wait_idle()
        nursery.cancel_scope.cancel()
    aborted = stopping.requests
    if second_signal.is_set():
        _LOG.warning("A second signal ends the graceful shutdown immediately.")
    elif limit.cancelled_caught:
        _LOG.warning("The time limit of %d ms has expired.", limit_ms)
    for line in aborted:
        _LOG.warning("Aborted: %s.", line)
    _LOG.info("Requests aborted: %d.", len(aborted))
    await stopping.leave()
    return aborted


async def _cancel_on(event: trio.Event, scope: trio.CancelScope) -> None:
    await event.wait()
    scope.cancel()
