"""Serving an application over HTTP by ``hypercorn``."""

from __future__ import annotations

import logging
import socket
from typing import TYPE_CHECKING, cast

import hypercorn.config
import hypercorn.trio

from ibisfront.core.errors import ErrorKind, IbisfrontError
from ibisfront.core.logs import LOGGER_NAME

if TYPE_CHECKING:
    import trio
    from hypercorn.typing import ASGIFramework

    from ibisfront.adapters.asgi import AsgiApplication
    from ibisfront.core.types import Address

__all__ = ["cannot_listen", "open_listening_socket", "serve_until"]

_CLOSE_TIMEOUT_S = 1.0
_BACKLOG = 1024


def cannot_listen(address: Address, error: OSError) -> IbisfrontError:
    """Return the error of an address that cannot be listened on."""
    return IbisfrontError(
        ErrorKind.BAD_SETTINGS,
        f"cannot listen on {address} ({error.strerror}):"
        " end what listens there or change the address",
    )


def open_listening_socket(address: Address) -> socket.socket:
    """Return a socket that is bound to an address, and does not listen yet.

    A caller that connects before the instance runs is refused at once, and
    goes elsewhere; it would wait if the socket listened already.

    Raises
    ------
    IbisfrontError
        ``bad_settings`` if the address cannot be listened on.
    """
    host, _, port = address.rpartition(":")
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        bound.bind((host, int(port)))
    except OSError as error:
        bound.close()
        raise cannot_listen(address, error) from error
    return bound


async def serve_until(
    closing: trio.Event, application: AsgiApplication, bound: socket.socket
) -> None:
    """Answer what comes to a socket until an event is set.

    Parameters
    ----------
    closing : trio.Event
        Closes the listener and its connections.
    application : callable
        What answers the requests.
    bound : socket
        Where to listen; the server owns it from now on.
    """
    config = hypercorn.config.Config()
    config.bind = [f"fd://{bound.detach()}"]
    config.backlog = _BACKLOG
    # The stop waits for every request before it sets the event; what the
    # server itself still finds running then has had its time.
    config.graceful_timeout = _CLOSE_TIMEOUT_S
    config.errorlog = logging.getLogger(f"{LOGGER_NAME}.http")
    config.include_server_header = False
    await hypercorn.trio.serve(
        cast("ASGIFramework", application), config, shutdown_trigger=closing.wait
    )
