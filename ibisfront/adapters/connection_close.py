"""Middleware that has callers close their connections during a stop."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from ibisfront.adapters.asgi import (
        AsgiApplication,
        AsgiMessage,
        AsgiReceive,
        AsgiSend,
    )
    from ibisfront.core.stopping import Stopping

__all__ = ["connection_close_middleware"]

_COUNTED_PREFIX = "/v1/"
_CONNECTION_CLOSE = (b"connection", b"close")


def connection_close_middleware(
    application: AsgiApplication, stopping: Stopping
) -> AsgiApplication:
    """Return an application that counts requests and closes connections.

    At the end of a stop the server closes idle connections without notice. A
    request sent at that moment is lost and the caller sees a reset. So each
    response after the stop has begun carries ``Connection: close``, and the
    caller opens its next connection to another instance.

    Parameters
    ----------
    application : callable
        The wrapped application.
    stopping : Stopping
        Counts callers' requests; health checks are not counted, since they
        continue until the listener closes.
    """

    async def closing(
        scope: dict[str, Any], receive: AsgiReceive, send: AsgiSend
    ) -> None:
        async def send_closing(message: AsgiMessage) -> None:
            if stopping.begun and message["type"] == "http.response.start":
                headers = [*message["headers"], _CONNECTION_CLOSE]
                message = {**message, "headers": headers}
            await send(message)

        if scope["type"] != "http" or not scope["path"].startswith(_COUNTED_PREFIX):
            await application(scope, receive, send_closing)
            return
        with stopping.request(f"{scope['method']} {scope['path']}"):
            await application(scope, receive, send_closing)

    return closing
