"""A small HTTP/1.1 server with control over each connection, for fakes.

Production servers hide the connection from the application, whereas a fake
has to refuse, reset or silence connections and to detect that a client has
closed one. This server uses trio and h11 directly.
"""

from __future__ import annotations

import socket
import struct
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from typing import Any

import h11
import msgspec
import trio

from ibisfront.testing.http_messages import (
    Action,
    Address,
    Request,
    Response,
    build_request,
    json_response,
)

__all__ = [
    "Action",
    "Address",
    "ConnectionCounts",
    "HttpServer",
    "Request",
    "Response",
    "json_response",
]

BODY_LIMIT_BYTES = 4 * 1024 * 1024
READ_SIZE_BYTES = 64 * 1024
REBIND_PAUSE_SECONDS = 0.01
BACKLOG_CONNECTIONS = 512
CONTENT_TOO_LARGE = 413
LINGER_NONE = struct.pack("ii", 1, 0)


class ConnectionCounts(msgspec.Struct):
    """Connection counts of a server.

    Attributes
    ----------
    open, peak : int
        Open connections except silent ones: current and peak.
    silent : int
        Permanently silenced connections.
    accepted, refused : int
        Connections accepted and refused since the start.
    """

    open: int = 0
    peak: int = 0
    silent: int = 0
    accepted: int = 0
    refused: int = 0


async def _admit_all(_counts: ConnectionCounts) -> bool:
    return True


async def _never_pause() -> None:
    return None


class _BodyTooLarge(Exception):
    pass


class _Connection:
    """One accepted connection: its stream, its parser and its state."""

    __slots__ = ("protocol", "resetting", "scope", "silent", "stream")

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self.protocol = h11.Connection(h11.SERVER)
        self.scope = trio.CancelScope()
        self.silent = False
        self.resetting = False

    def reset(self) -> None:
        """End the connection with a TCP reset and cancel its running request."""
        self.resetting = True
        self.scope.cancel()

    async def aclose(self) -> None:
        """Close the socket, with a reset if requested."""
        if self.resetting:
            option = (socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
            self.stream.socket.setsockopt(*option)
            self.stream.socket.close()
        await trio.aclose_forcefully(self.stream)

    async def receive(self, pause: Callable[[], Awaitable[None]]) -> bool:
        """Feed the parser; return False when the client has closed."""
        try:
            data = bytes(await self.stream.receive_some(READ_SIZE_BYTES))
        except trio.BrokenResourceError:
            data = b""
        self.protocol.receive_data(data)
        await pause()
        await self.stop_if_silent()
        return bool(data)

    async def stop_if_silent(self) -> None:
        """Wait forever if the connection was silenced."""
        if self.silent:
            await trio.sleep_forever()

    async def send(self, data: bytes) -> bool:
        """Send bytes; return False when the client has closed."""
        try:
            await self.stream.send_all(data)
        except trio.BrokenResourceError:
            return False
        return True


class HttpServer:
    """One listening port and its connections, with one task per connection.

    Parameters
    ----------
    handler : callable
        Handles one request. It is cancelled if the client closes the connection
        (or its sending half) before it returns.
    admit : callable, optional
        Awaited for each new connection, one at a time, so that its duration is
        the cost of an accept; returns False to refuse with a reset.
    pause : callable, optional
        Awaited after each accept and read and before each response; it blocks
        while the server is to appear frozen.
    """

    __slots__ = (
        "_admit",
        "_connections",
        "_handler",
        "_listener_scope",
        "_listening",
        "_pause",
        "address",
        "counts",
    )

    def __init__(
        self,
        handler: Callable[[Request], Awaitable[Response]],
        *,
        admit: Callable[[ConnectionCounts], Awaitable[bool]] = _admit_all,
        pause: Callable[[], Awaitable[None]] = _never_pause,
    ) -> None:
        self._handler = handler
        self._admit = admit
        self._pause = pause
        self._connections: set[_Connection] = set()
        self._listener_scope = trio.CancelScope()
        self._listening = trio.Event()
        self._listening.set()
        self.address = Address("", 0)
        self.counts = ConnectionCounts()

    async def run(
        self,
        host: str,
        port: int,
        *,
        task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled; report the address once listening.

        Parameters
        ----------
        host : str
            The IP address to listen on.
        port : int
            The port; 0 for one picked by the system.

        Raises
        ------
        OSError
            If the initial bind fails.
        """
        listener = await _listen(host, port)
        bound_port = listener.socket.getsockname()[1]
        self.address = Address(host, bound_port)
        task_status.started(self.address)
        async with trio.open_nursery() as nursery:
            while True:
                await self._accept_until_closed(listener, nursery)
                await self._listening.wait()
                listener = await _reopen_listener(self.address)

    def close_listener(self) -> None:
        """Stop listening, so that new connections are refused."""
        if self._listening.is_set():
            self._listening = trio.Event()
            self._listener_scope.cancel()

    def open_listener(self) -> None:
        """Listen again on the same port."""
        self._listening.set()

    def reset_connections(self) -> None:
        """Reset all open connections and cancel their running requests."""
        for connection in self._connections:
            connection.reset()

    def silence_connections(self) -> None:
        """Silence all open connections permanently; new ones work.

        Running requests continue, but their responses are not sent. Silent
        connections no longer count as open, because a real server's idle
        timeout would close them.
        """
        for connection in self._connections:
            if not connection.silent:
                connection.silent = True
                self.counts.open -= 1
                self.counts.silent += 1

    async def _accept_until_closed(
        self, listener: trio.SocketListener, nursery: trio.Nursery
    ) -> None:
        async with listener:
            with trio.CancelScope() as self._listener_scope:
                if not self._listening.is_set():
                    return
                while True:
                    await self._accept(listener, nursery)

    async def _accept(
        self, listener: trio.SocketListener, nursery: trio.Nursery
    ) -> None:
        stream = await listener.accept()
        async with AsyncExitStack() as stack:
            connection = _Connection(stream)
            stack.push_async_callback(connection.aclose)
            await self._pause()
            if not await self._admit(self.counts):
                self.counts.refused += 1
                connection.resetting = True
                return
            self._add(connection)
            nursery.start_soon(self._serve, connection)
            stack.pop_all()

    def _add(self, connection: _Connection) -> None:
        self._connections.add(connection)
        self.counts.accepted += 1
        self.counts.open += 1
        self.counts.peak = max(self.counts.peak, self.counts.open)

    async def _remove(self, connection: _Connection) -> None:
        self._connections.discard(connection)
        if connection.silent:
            self.counts.silent -= 1
        else:
            self.counts.open -= 1
        await connection.aclose()

    async def _serve(self, connection: _Connection) -> None:
        async with AsyncExitStack() as stack:
            stack.push_async_callback(self._remove, connection)
            with connection.scope:
                while await self._serve_one(connection):
                    connection.protocol.start_next_cycle()

    async def _serve_one(self, connection: _Connection) -> bool:
        """Serve one request; return whether the connection can be reused."""
        try:
            request = await self._read_request(connection)
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint
            await self._send(connection, Response(status))
            return False
        except _BodyTooLarge:
            await self._send(connection, Response(CONTENT_TOO_LARGE))
            return False
        if request is None:
            return False
        response = await self._run_handler(connection, request)
        if response is None:
            return False
        return await self._respond(connection, response)

    async def _read_request(self, connection: _Connection) -> Request | None:
        head: h11.Request | None = None
        body = bytearray()
        while True:
            event = await self._next_event(connection)
            if isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > BODY_LIMIT_BYTES:
                    raise _BodyTooLarge
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return build_request(head, bytes(body))
            else:
                return None

    async def _next_event(self, connection: _Connection) -> Any:
        protocol = connection.protocol
        while True:
            event = protocol.next_event()
            if event is not h11.NEED_DATA:
                return event
            if protocol.they_are_waiting_for_100_continue:
                continue_response = h11.InformationalResponse(
                    status_code=100, headers=[]
                )
                await connection.send(protocol.send(continue_response) or b"")
            await connection.receive(self._pause)

    async def _run_handler(
        self, connection: _Connection, request: Request
    ) -> Response | None:
        response: Response | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_for_close, connection, nursery.cancel_scope)
            response = await self._handler(request)
            nursery.cancel_scope.cancel()
        return response

    async def _watch_for_close(
        self, connection: _Connection, scope: trio.CancelScope
    ) -> None:
        while await connection.receive(self._pause):
            pass
        scope.cancel()

    async def _respond(self, connection: _Connection, response: Response) -> bool:
        await self._pause()
        await connection.stop_if_silent()
        match response.action:
            case Action.SEND:
                return await self._send(connection, response)
            case Action.RESET:
                connection.resetting = True
            case Action.SILENCE:
                await trio.sleep_forever()
        return False

    async def _send(self, connection: _Connection, response: Response) -> bool:
        protocol = connection.protocol
        headers = [*response.headers.items(), ("content-length", len(response.body))]
        head = h11.Response(
            status_code=response.status,
            headers=[(name, str(value)) for name, value in headers],
        )
        events = (head, h11.Data(data=response.body), h11.EndOfMessage())
        data = b"".join(protocol.send(event) or b"" for event in events)
        sent = await connection.send(data * response.copies)
        return sent and protocol.our_state is h11.DONE


async def _listen(host: str, port: int) -> trio.SocketListener:
    listeners = await trio.open_tcp_listeners(
        port, host=host, backlog=BACKLOG_CONNECTIONS
    )
    return listeners[0]


async def _reopen_listener(address: Address) -> trio.SocketListener:
    while True:
        try:
            return await _listen(address.host, address.port)
        except OSError:  # another process holds the port temporarily
            await trio.sleep(REBIND_PAUSE_SECONDS)
