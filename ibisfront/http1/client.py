"""A client of one HTTP/1.1 server: one call at a time, on a persistent connection."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import trio

from ibisfront.http1.backend_connection import open_socket
from ibisfront.http1.parser import MalformedMessageError, ReplyReader

if TYPE_CHECKING:
    from ibisfront.core.types import Address
    from ibisfront.http1.parser import RawMessage

__all__ = ["HttpClient"]

_READ_BYTES = 65_536
"""Bytes per read."""

_CONNECT_TIMEOUT_MS = 700.0
"""Connect timeout; a healthy server takes a few milliseconds."""


_REPLY_PAUSE_TIMEOUT_MS = 1_000.0
"""How long a reply that has begun may pause. A lost packet costs 0.2 to 0.4 s; an
unpowered or partitioned machine sends nothing for longer."""

_MAX_REPLY_MS = 8_000.0
"""How long a complete reply may take. A megabyte, the maximum size of a value in
the platform's store, takes 1.2 s on a link of 7 Mbit/s, and several times that on
a link shared with queries."""


class HttpClient:
    """Calls one server; not for concurrent use by several tasks.

    Parameters
    ----------
    address : Address
        The server.
    maximum_body_bytes : int
        A larger reply is an error.
    """

    __slots__ = ("_address", "_maximum_body_bytes", "_reader", "_sock")

    def __init__(self, address: Address, *, maximum_body_bytes: int) -> None:
        self._address = address
        self._maximum_body_bytes = maximum_body_bytes
        self._sock: socket.socket | None = None
        self._reader = ReplyReader(maximum_body_bytes)

    async def call(
        self, method: str, target: str, body: bytes = b"", *, timeout_ms: float
    ) -> RawMessage:
        """Make one call and return the reply.

        Parameters
        ----------
        method, target : str
            Method and target of the request.
        body : bytes
            Body of the request.
        timeout_ms : float
            How long the reply may take to begin. The deadline is extended while
            bytes arrive: with a fixed timeout for the whole reply, a large one
            on a slow link would be abandoned each time and requested again from
            its beginning.

        Raises
        ------
        OSError
            If the connection fails, or the reply does not begin in time, stalls
            or is malformed. The connection is then closed, since a late reply
            would be mistaken for the reply to the next call.
        """
        head = (
            f"{method} {target} HTTP/1.1\r\nHost: {self._address}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        try:
            with trio.move_on_after(timeout_ms / 1000.0) as scope:
                return await self._exchange(head.encode() + body, scope)
            raise self._timeout_error(timeout_ms)
        except BaseException:
            self.close()
            raise

    def _timeout_error(self, timeout_ms: float) -> TimeoutError:
        """Return the error for a reply that is not complete in time.

        An unresponsive server and a link too slow for a large reply need
        different remedies; the number of bytes received distinguishes them.
        """
        received = self._reader.body_bytes
        return TimeoutError(
            f"no reply in {timeout_ms:.0f} ms, or stalled: {received} bytes received"
        )

    def close(self) -> None:
        """Close the connection; the next call opens another."""
        if self._sock is not None:
            trio.lowlevel.notify_closing(self._sock)
            self._sock.close()
            self._sock = None
            self._reader = ReplyReader(self._maximum_body_bytes)

    async def _exchange(self, data: bytes, scope: trio.CancelScope) -> RawMessage:
        reply_deadline_s = trio.current_time() + _MAX_REPLY_MS / 1000.0
        if self._sock is None:
            self._sock = await open_socket(
                self._address, timeout_ms=_CONNECT_TIMEOUT_MS
            )
        reader = self._reader
        reader.expect_reply()
        await _send_all(self._sock, data)
        while not reader.messages:
            if await self._read_some(self._sock, reader):
                next_read_deadline_s = (
                    trio.current_time() + _REPLY_PAUSE_TIMEOUT_MS / 1000.0
                )
                scope.deadline = max(
                    scope.deadline, min(next_read_deadline_s, reply_deadline_s)
                )
        message = reader.messages.pop()
        if not message.keeps_open or reader.messages or reader.is_mid_message:
            self.close()
        return message

    async def _read_some(self, sock: socket.socket, reader: ReplyReader) -> bool:
        """Read once; return whether bytes of a reply were received."""
        await trio.lowlevel.wait_readable(sock)
        try:
            data = sock.recv(_READ_BYTES)
        except BlockingIOError:
            return False
        if not data:
            reader.end()
            if not reader.messages:
                raise ConnectionResetError(
                    "connection closed before the reply was complete"
                )
            return True
        try:
            reader.feed(data)
        except MalformedMessageError as error:
            raise ConnectionResetError(f"malformed reply: {error}") from error
        return True


async def _send_all(sock: socket.socket, data: bytes) -> None:
    view = memoryview(data)
    while view:
        try:
            view = view[sock.send(view) :]
        except BlockingIOError:
            await trio.lowlevel.wait_writable(sock)
