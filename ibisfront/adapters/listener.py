"""Serves an application over HTTP with ``hypercorn``."""

from __future__ import annotations

import logging
import socket
from functools import partial
from typing import TYPE_CHECKING, cast

import hypercorn.config
import trio
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import ConnectionState, LifespanState
from hypercorn.utils import wrap_app

from ibisfront.adapters.metered_connection import METER_KEY, MeteredHttpConnection
from ibisfront.core.errors import ErrorKind, IbisfrontError
from ibisfront.core.logs import LOGGER_NAME, LogPart, part_logger
from ibisfront.http1.listening import limit_buffers

if TYPE_CHECKING:
    from hypercorn.typing import ASGIFramework

    from ibisfront.adapters.asgi import AsgiApplication
    from ibisfront.core.clock import Clock
    from ibisfront.core.types import Address
    from ibisfront.gateway.state.configuration import CallerLimits
    from ibisfront.http1.caller_memory import CallerMemory

__all__ = ["listen_error", "open_listening_socket", "serve_until"]

_CLOSE_TIMEOUT_S = 1.0
_BACKLOG = 1024
_NO_WSGI_BODY_BYTES = 0

_LOG = part_logger(LogPart.INSTANCE)


def listen_error(address: Address, error: OSError) -> IbisfrontError:
    """Return the error for an address that cannot be listened on."""
    return IbisfrontError(
        ErrorKind.BAD_SETTINGS,
        f"cannot listen on {address} ({error.strerror}):"
        " stop the process that uses it or change the address",
    )


def open_listening_socket(address: Address) -> socket.socket:
    """Return a socket that is bound to an address but does not listen yet.

    A caller that connects before the instance runs is refused at once and can
    try another instance; if the socket listened already, it would wait.

    Raises
    ------
    IbisfrontError
        ``bad_settings`` if the address cannot be listened on.
    """
    host, _, port = address.rpartition(":")
    bound_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    bound_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    limit_buffers(bound_socket)
    try:
        bound_socket.bind((host, int(port)))
    except OSError as error:
        bound_socket.close()
        raise listen_error(address, error) from error
    return bound_socket


async def serve_until(
    closing: trio.Event,
    application: AsgiApplication,
    bound_socket: socket.socket,
    *,
    memory: CallerMemory,
    limits: CallerLimits,
    clock: Clock,
) -> None:
    """Serve requests on a socket until an event is set.

    Parameters
    ----------
    closing : trio.Event
        Closes the listener and its connections.
    application : callable
        The ASGI application.
    bound_socket : socket
        The socket to listen on; ownership is transferred.
    memory : CallerMemory
        Limits what callers use, over all listeners that share it.
    limits : CallerLimits
        Limits of a single request.
    clock : Clock
        The clock.
    """
    bound_socket.listen(_BACKLOG)
    connections = _Connections(application, memory, limits, clock)
    memory.add_listener(connections)
    async with trio.open_nursery() as connection_nursery:
        async with trio.open_nursery() as accepting:
            accepting.start_soon(
                partial(
                    trio.serve_listeners,
                    connections.serve,
                    [trio.SocketListener(trio.socket.from_stdlib_socket(bound_socket))],
                    handler_nursery=connection_nursery,
                )
            )
            await closing.wait()
            accepting.cancel_scope.cancel()
        await connections.close_idle()
        # The stop waits for all requests before it sets the event, so any that
        # still run have exceeded their time.
        connection_nursery.cancel_scope.deadline = (
            trio.current_time() + _CLOSE_TIMEOUT_S
        )


class _Connections:
    """The connections of one listener, each served by ``hypercorn``.

    ``hypercorn.trio.serve`` runs all connections in one nursery, where an
    exception in one of them stops the listener and the process; a single
    HTTP/2 request with a non-ASCII path causes one. Here an exception closes
    only its own connection.

    Parameters
    ----------
    application : callable
        The ASGI application.
    memory : CallerMemory
        Limits what callers use.
    limits : CallerLimits
        Limits of a single request.
    clock : Clock
        The clock.

    Attributes
    ----------
    metered : set of MeteredHttpConnection
        The open connections.
    """

    __slots__ = (
        "_application",
        "_clock",
        "_config",
        "_context",
        "_limits",
        "_memory",
        "metered",
    )

    def __init__(
        self,
        application: AsgiApplication,
        memory: CallerMemory,
        limits: CallerLimits,
        clock: Clock,
    ) -> None:
        self._memory = memory
        self._limits = limits
        self._clock = clock
        self.metered: set[MeteredHttpConnection] = set()
        self._application = wrap_app(
            cast("ASGIFramework", application), _NO_WSGI_BODY_BYTES, "asgi"
        )
        self._config = hypercorn.config.Config()
        self._config.errorlog = logging.getLogger(f"{LOGGER_NAME}.http")
        self._config.include_server_header = False
        self._context = WorkerContext(None)

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection until it ends or is closed for want of room."""
        connection = MeteredHttpConnection(self._memory, self._limits, self._clock)
        self.metered.add(connection)
        try:
            if self._memory.admit(connection):
                with connection.scope:
                    await self._serve(stream, connection)
        finally:
            self.metered.discard(connection)
            await trio.aclose_forcefully(stream)

    async def _serve(
        self, stream: trio.SocketStream, connection: MeteredHttpConnection
    ) -> None:
        state = LifespanState({METER_KEY: connection})
        try:
            await TCPServer(
                self._application,
                self._config,
                self._context,
                ConnectionState(state),
                cast("trio.SSLStream[trio.SocketStream]", stream),
            )
        except Exception as error:
            _LOG.warning("Closed a connection after an unexpected error: %r.", error)

    async def close_idle(self) -> None:
        """Close idle connections now, and the others when their request ends."""
        await self._context.terminated.set()
