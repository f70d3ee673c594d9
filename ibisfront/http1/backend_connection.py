"""A connection to a backend server that carries one exchange at a time."""

from __future__ import annotations

import errno
import math
import os
import socket
import struct
from collections.abc import Callable
from typing import TYPE_CHECKING, TypeAlias

import trio

from ibisfront.core.logs import LogPart, part_logger
from ibisfront.gateway.messages import ExchangeErrorKind
from ibisfront.http1.caller_memory import DEFAULT_MEMORY_BYTES
from ibisfront.http1.parser import MalformedMessageError, ReplyMemory, ReplyReader

if TYPE_CHECKING:
    from ibisfront.core.clock import Clock
    from ibisfront.core.task_guard import TaskNursery
    from ibisfront.core.types import Address
    from ibisfront.gateway.messages import BackendReply
    from ibisfront.gateway.servers.exchange import Exchange
    from ibisfront.gateway.servers.pool import OpenServerConnection, ServerConnection
    from ibisfront.http1.parser import RawMessage

__all__ = ["DecodeReply", "backend_connection_opener", "open_socket"]

_LOG = part_logger(LogPart.BACKEND)

_READ_BYTES = 65_536
"""Bytes per read; a typical reply fits in one."""

_MAXIMUM_REPLY_BYTES = 8 * 1024 * 1024
"""A larger reply is rejected: several at once would not fit in memory."""

_INCOMPLETE_SHARE = 0.16
"""Share of the memory of the process for the incomplete replies of all servers. Faulty
servers may send bodies without end on many connections."""

_CONNECT_TIMEOUT_MS = 700.0
"""Connect timeout. A healthy server takes a few milliseconds; one without power
never answers. It must be below the one second that callers allow."""

_USER_TIMEOUT_MS = 3_000
"""How long bytes may stay unacknowledged before the kernel ends a connection."""

_KEEP_ALIVE_IDLE_S = 3
"""Idle time before the first TCP keep-alive probe; with the interval and the number
of probes below, a dead connection is closed after five seconds."""

_KEEP_ALIVE_INTERVAL_S = 1
_KEEP_ALIVE_PROBES = 2
_IDLE_TIMEOUT_FRACTION = 0.8
"""Fraction of the server's idle timeout for which a connection is reused; later,
a request could cross the server's close."""

_LINGER_RESET = struct.pack("ii", 1, 0)
"""Value of ``SO_LINGER`` that makes a close a reset."""

DecodeReply: TypeAlias = "Callable[[RawMessage], BackendReply]"
"""Decodes a message into a typed reply."""


class BackendConnection:
    """An open connection to one backend server; see ``ServerConnection``.

    Parameters
    ----------
    sock : trio.socket.SocketType
        The connected socket; this object takes ownership.
    decode_reply : callable
        Decodes a message into a typed reply.
    clock : Clock
        The tier's clock.
    nursery : TaskNursery
        Runs the remainder of a partial send.
    memory : ReplyMemory, optional
        Memory of incomplete replies that it shares with other connections.
    """

    __slots__ = (
        "_clock",
        "_decode_reply",
        "_exchange",
        "_is_closed",
        "_is_dirty",
        "_is_sending",
        "_is_server_lost",
        "_nursery",
        "_reader",
        "_scope",
        "_sock",
        "expires_at_ms",
    )

    def __init__(
        self,
        sock: socket.socket,
        *,
        decode_reply: DecodeReply,
        clock: Clock,
        nursery: TaskNursery,
        memory: ReplyMemory | None = None,
    ) -> None:
        self._sock = sock
        self._decode_reply = decode_reply
        self._clock = clock
        self._nursery = nursery
        self._reader = ReplyReader(_MAXIMUM_REPLY_BYTES, memory)
        self._exchange: Exchange | None = None
        self._is_closed = False
        self._is_dirty = False
        self._is_sending = False
        self._is_server_lost = False
        self._scope = trio.CancelScope()
        self.expires_at_ms = math.inf

    @property
    def is_idle(self) -> bool:
        """Whether the connection can carry another exchange."""
        return self._exchange is None and not self._is_closed and not self._is_dirty

    def send(self, exchange: Exchange, now_ms: float) -> bool:
        """Send an exchange; return False if nothing was sent on a lost connection."""
        data = exchange.payload(now_ms)
        try:
            sent = self._sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:
            # The server closed the idle connection: nothing was sent, and the
            # exchange moves to another connection.
            self.close()
            return False
        exchange.sent_at_ms = now_ms
        self._exchange = exchange
        self._reader.expect_reply(expects_body=exchange.has_reply_body)
        if sent < len(data):
            self._is_sending = True
            self._nursery.start_soon(self._send_rest, data[sent:])
        return True

    def close(self) -> None:
        """Close the connection at once."""
        self._is_closed = True
        self._scope.cancel()

    async def run(self, on_idle: Callable[[ServerConnection], None]) -> None:
        """Read replies until the connection ends, then close it."""
        try:
            with self._scope:
                await self._read_all(on_idle)
        finally:
            self._is_closed = True
            trio.lowlevel.notify_closing(self._sock)
            if self._exchange is not None:
                # After a plain close the kernel still delivers unsent bytes when
                # a partitioned link recovers: the server would run a request that
                # was abandoned seconds before. A reset drops them.
                self._sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET
                )
            self._sock.close()
            self._reader.close()
            if self._exchange is not None:
                exchange, self._exchange = self._exchange, None
                exchange.fail(
                    ExchangeErrorKind.CONNECTION_LOST,
                    is_server_lost=self._is_server_lost,
                )

    async def _read_all(self, on_idle: Callable[[ServerConnection], None]) -> None:
        sock = self._sock
        # After a late reply to an earlier request the connection is not reused,
        # but the outstanding reply may still arrive on it.
        while not self._is_dirty or self._exchange is not None:
            await trio.lowlevel.wait_readable(sock)
            try:
                data = sock.recv(_READ_BYTES)
            except BlockingIOError:
                continue
            except OSError as error:
                self._is_server_lost = error.errno == errno.ECONNRESET
                return
            if data:
                self._feed(data)
            elif not self._end_of_stream():
                return
            if self._exchange is None and not self._is_dirty:
                on_idle(self)

    def _feed(self, data: bytes) -> None:
        try:
            self._reader.feed(data)
        except MalformedMessageError as error:
            # A complete reply may precede the malformed bytes.
            self._deliver()
            self._is_dirty = True
            self._fail(ExchangeErrorKind.BAD_REPLY, str(error))
            return
        self._deliver()
        if self._reader.is_mid_message and self._exchange is None:
            self._is_dirty = True

    def _end_of_stream(self) -> bool:
        """Handle the orderly end of the stream; return False to stop reading."""
        self._reader.end()
        self._deliver()
        self._is_dirty = True
        self._is_server_lost = True
        return False

    def _deliver(self) -> None:
        messages = self._reader.messages
        while messages:
            reply = self._decode_reply(messages.pop(0))
            exchange = self._exchange
            if exchange is None or not _matches(reply, exchange):
                # A duplicate or late reply to a request that has ended, as its id
                # shows. It must not be taken for the reply to another request,
                # and the connection is not reused.
                self._is_dirty = True
                continue
            self._record_keep_alive(reply)
            if self._is_sending:
                # The server replied before it had read the whole body; the bytes
                # it reads next must not be another request's.
                self._is_dirty = True
            self._exchange = None
            exchange.finish(reply)

    def _record_keep_alive(self, reply: BackendReply) -> None:
        if reply.closes:
            self._is_dirty = True
        if reply.idle_timeout_ms is not None:
            usable_ms = reply.idle_timeout_ms * _IDLE_TIMEOUT_FRACTION
            self.expires_at_ms = self._clock.now_ms() + usable_ms

    def _fail(self, kind: ExchangeErrorKind, detail: str) -> None:
        exchange, self._exchange = self._exchange, None
        if exchange is None:
            return
        entry = exchange.server.entry
        _LOG.warning("%s of %s: %s.", entry.server_id, entry.service, detail)
        exchange.fail(kind)

    async def _send_rest(self, data: bytes) -> None:
        view = memoryview(data)
        while view and not self._is_closed:
            try:
                await trio.lowlevel.wait_writable(self._sock)
                view = view[self._sock.send(view) :]
            except BlockingIOError:
                continue
            except (OSError, trio.ClosedResourceError):
                self.close()
                return
        self._is_sending = False


def _matches(reply: BackendReply, exchange: Exchange) -> bool:
    return reply.request_id is None or reply.request_id == exchange.request_id


async def open_socket(address: Address, *, timeout_ms: float) -> socket.socket:
    """Connect to an address, with socket options that end dead connections.

    Raises
    ------
    OSError
        If the connection is refused or not accepted in time, or if the text is no
        address: the socket module raises other errors for that.
    """
    host, _, port = address.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        _set_options(sock)
        with trio.move_on_after(timeout_ms / 1000.0):
            try:
                sock.connect((host, int(port)))
            except BlockingIOError:
                await trio.lowlevel.wait_writable(sock)
            except (OverflowError, TypeError, ValueError) as error:
                detail = f"{address!r} is not an address"
                raise OSError(errno.EINVAL, detail) from error
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                raise OSError(code, os.strerror(code))
            return sock
        raise TimeoutError(f"{address} did not accept the connection in time")
    except BaseException:
        sock.close()
        raise


def _set_options(sock: socket.socket) -> None:
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, _KEEP_ALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, _KEEP_ALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, _KEEP_ALIVE_PROBES)


def backend_connection_opener(
    *,
    decode_reply: DecodeReply,
    clock: Clock,
    nursery: TaskNursery,
    memory_bytes: int = DEFAULT_MEMORY_BYTES,
) -> OpenServerConnection:
    """Return a function that opens connections to backend servers.

    Parameters
    ----------
    decode_reply : callable
        Decodes a message into a typed reply.
    clock : Clock
        The tier's clock.
    nursery : TaskNursery
        Runs the remainders of partial sends.
    memory_bytes : int
        Memory of the process.
    """
    memory = ReplyMemory(int(memory_bytes * _INCOMPLETE_SHARE))

    async def open_connection(address: Address) -> BackendConnection:
        sock = await open_socket(address, timeout_ms=_CONNECT_TIMEOUT_MS)
        return BackendConnection(
            sock,
            decode_reply=decode_reply,
            clock=clock,
            nursery=nursery,
            memory=memory,
        )

    return open_connection
