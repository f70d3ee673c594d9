"""A planned stop: leave the rotation, finish open requests, exit."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisfront.core.logs import LogPart, part_logger
from ibisfront.gateway.instances.rotation import BALANCER_DETECTION_MS

if TYPE_CHECKING:
    from ibisfront.core.clock import Clock
    from ibisfront.front.process import FrontProcess
    from ibisfront.http1.caller_listener import CallerListener

__all__ = ["stop_gracefully"]

_LOG = part_logger(LogPart.STOP)

_OUT_OF_ROTATION_MS = BALANCER_DETECTION_MS + 600.0
"""How long the balancer may still send new callers; a connection may be in flight
when it detects the stop."""

_GRACE_MARGIN_MS = 500.0
"""How long before the end of the grace period all requests must be answered."""

_FLUSH_MS = 250.0
"""How long the last answers may take to reach their callers; the rest of the margin is
for the exit of the process."""

_POLL_MS = 50.0
"""Interval at which a stop checks whether the last connection has ended."""


async def stop_gracefully(
    process: FrontProcess, callers: CallerListener, *, clock: Clock
) -> None:
    """Stop serving without interrupting a request.

    The process reports not ready at once, and each reply requests its caller to
    close the connection. Once the balancer must have detected it, idle connections
    are closed. The process exits with the last connection, or shortly before
    the platform kills it. Until then it serves what it can answer in time; other
    requests are refused as not run, and what is in flight at the end is answered as
    unfinished. Other instances replace a query whose connection ends.
    """
    process.is_stopping = True
    callers.is_stopping = True
    started_ms = clock.now_ms()
    deadline_ms = started_ms + process.settings.bounds.stop_grace_ms - _GRACE_MARGIN_MS
    process.gateway.end_at(deadline_ms)
    _LOG.info("Graceful shutdown started with %d connections.", callers.connections)
    while clock.now_ms() < deadline_ms:
        await clock.sleep_ms(_POLL_MS)
        if clock.now_ms() - started_ms < _OUT_OF_ROTATION_MS:
            continue
        callers.close_idle()
        if not callers.connections:
            callers.stop_accepting()
            # Connections that the kernel had accepted are served first.
            await clock.sleep_ms(_POLL_MS)
            if not callers.connections:
                break
    callers.stop_accepting()
    unfinished = callers.busy
    if unfinished:
        callers.end_work()
        await _wait_for_last_answers(callers, clock)
    _LOG.info(
        "Graceful shutdown ended after %.0f ms with %d requests unfinished.",
        clock.now_ms() - started_ms,
        unfinished,
    )


async def _wait_for_last_answers(callers: CallerListener, clock: Clock) -> None:
    """Wait until the callers have closed their connections, but not for long."""
    with clock.timeout_ms(_FLUSH_MS):
        while callers.connections:
            await clock.sleep_ms(_POLL_MS)
