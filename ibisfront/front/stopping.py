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
"""How long before the end of the grace period the process exits by itself."""

_POLL_MS = 50.0
"""Interval at which a stop checks whether the last connection has ended."""


async def stop_gracefully(
    process: FrontProcess, callers: CallerListener, *, clock: Clock
) -> None:
    """Stop serving without interrupting a request.

    The process reports not ready at once, and each reply requests its caller to
    close the connection. Once the balancer must have detected it, idle connections
    are closed. The process exits with the last connection, or shortly before
    the platform kills it.
    """
    process.is_stopping = True
    callers.is_stopping = True
    started_ms = clock.now_ms()
    deadline_ms = started_ms + process.settings.bounds.stop_grace_ms - _GRACE_MARGIN_MS
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
    _LOG.info(
        "Graceful shutdown ended after %.0f ms with %d requests in flight.",
        clock.now_ms() - started_ms,
        callers.busy,
    )
