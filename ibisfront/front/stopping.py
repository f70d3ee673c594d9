"""A planned stop: out of rotation, the last requests, the end."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisfront.core.logs import LogPart, part_logger
from ibisfront.gateway.instances.rotation import NOTICED_AFTER_MS

if TYPE_CHECKING:
    from ibisfront.core.clock import Clock
    from ibisfront.front.process import FrontProcess
    from ibisfront.http1.caller_listener import CallerListener

__all__ = ["stop_gracefully"]

_LOG = part_logger(LogPart.STOP)

_OUT_OF_ROTATION_MS = NOTICED_AFTER_MS + 600.0
"""How long the balancer may go on sending new callers; a connection may be on its
way when it notices."""

_GRACE_MARGIN_MS = 500.0
"""How long before the end of the grace the process ends by itself."""

_POLL_MS = 50.0
"""How often a stop looks whether the last connection has ended."""


async def stop_gracefully(
    process: FrontProcess, callers: CallerListener, *, clock: Clock
) -> None:
    """Stop serving without cutting off a request.

    At once the process is not ready, and each answer tells its caller to
    close the connection. Once the balancer must have noticed, connections
    without a request are closed; the process ends with the last connection,
    or shortly before the platform kills it.
    """
    process.is_stopping = True
    callers.is_stopping = True
    started_ms = clock.now_ms()
    deadline_ms = started_ms + process.settings.bounds.stop_grace_ms - _GRACE_MARGIN_MS
    _LOG.info("The stop begins with %d connections.", callers.connections)
    while clock.now_ms() < deadline_ms:
        await clock.sleep_ms(_POLL_MS)
        if clock.now_ms() - started_ms < _OUT_OF_ROTATION_MS:
            continue
        callers.close_idle()
        if not callers.connections:
            callers.stop_accepting()
            # Those that the kernel had accepted are served before the end.
            await clock.sleep_ms(_POLL_MS)
            if not callers.connections:
                break
    callers.stop_accepting()
    _LOG.info(
        "The stop ends after %.0f ms with %d requests under way.",
        clock.now_ms() - started_ms,
        callers.busy,
    )
