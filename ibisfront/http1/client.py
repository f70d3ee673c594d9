"""A client of one HTTP/1.1 server, one call at a time on a kept connection."""

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
"""Bytes read at once."""

_CONNECT_TIMEOUT_MS = 700.0
"""How long connecting may take; a healthy server takes a few milliseconds."""


_REPLY_PAUSE_TIMEOUT_MS = 1_000.0
"""How long a reply that has begun may pause. A packet that is lost costs 0.2 to
0.4 s; a machine without power or behind a cut sends nothing for longer."""

_MAX_REPLY_MS = 8_000.0
"""How long a whole reply may take. A megabyte, the most that the platform's store
holds as one value, takes 1.2 s on a link of 7 Mbit/s, and several times that on
one that is shared with queries."""


class HttpClient:
    """Calls one server; not for several tasks at once.

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
        """Make one call.

        Parameters
        ----------
        method, target : str
            What to call.
        body : bytes
            What to send.
        timeout_ms : float
            How long the reply may take to begin. The time for all of it grows
            while it goes on coming: with one time for the whole reply, a large
            one on a slow link would be given up each time, and asked for from
            its beginning.

        Raises
        ------
        OSError
            If the reply does not begin in time, or does not go on. The
            connection is closed then, since a late reply would pass for the
            reply to the next call.
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
        """Return the error of a reply that is not whole in time.

        A server that is silent or gone and a link that is too slow for a large
        reply need different cures; what has come tells them apart.
        """
        received = self._reader.body_bytes
        return TimeoutError(
            f"no reply within {timeout_ms:.0f} ms, or not whole: {received} bytes came"
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
        await _send_all(self._sock, data)
        reader = self._reader
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
        """Read once; return whether bytes of a reply came."""
        await trio.lowlevel.wait_readable(sock)
        try:
            data = sock.recv(_READ_BYTES)
        except BlockingIOError:
            return False
        if not data:
            reader.end()
            if not reader.messages:
                raise ConnectionResetError("closed without a whole reply")
            return True
        try:
            reader.feed(data)
        except MalformedMessageError as error:
            raise ConnectionResetError(f"no reply: {error}") from error
        return True


async def _send_all(sock: socket.socket, data: bytes) -> None:
    view = memoryview(data)
    while view:
        try:
            view = view[sock.send(view) :]
        except BlockingIOError:
            await trio.lowlevel.wait_writable(sock)
