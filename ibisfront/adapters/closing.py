"""Telling callers to close their connections while the instance stops."""

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

__all__ = ["closing_application"]

_COUNTED_PREFIX = "/v1/"
_CONNECTION_CLOSE = (b"connection", b"close")


def closing_application(
    application: AsgiApplication, stopping: Stopping
) -> AsgiApplication:
    """Return an application that counts requests and closes when stopping.

    The server closes an idle connection at the end of a stop without a word.
    A request that its caller sends in that moment is lost; it shows as a reset
    with no answer. So each response given after the stop began asks for the
    close itself, and the caller opens its next connection elsewhere.

    Parameters
    ----------
    application : callable
        What answers the requests.
    stopping : Stopping
        Where callers' requests are counted; health checks are not, since
        they go on until the listener closes.
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
