"""A caller's connection, with one task that reads and one that answers."""

from __future__ import annotations

import math
import socket
import struct
from collections import deque
from typing import TYPE_CHECKING, Protocol

import trio

from ibisfront.core.logs import LogPart, part_logger
from ibisfront.gateway.messages import CallerReply
from ibisfront.http1.listening import RECEIVE_BUFFER_BYTES
from ibisfront.http1.parser import MalformedMessageError, RequestReader

if TYPE_CHECKING:
    from ibisfront.core.clock import Clock
    from ibisfront.core.task_guard import TaskNursery
    from ibisfront.gateway.messages import InboundRequest
    from ibisfront.gateway.state.configuration import CallerLimits
    from ibisfront.gateway.wire import WireCodec
    from ibisfront.http1.caller_memory import CallerMemory

__all__ = ["CallerConnection", "ConnectionHost"]

_LOG = part_logger(LogPart.CALLERS)

_READ_BYTES = 65_536
"""Bytes per read; a large body takes a few reads."""

_MAX_QUEUED_REQUESTS = 8
"""Pipelined requests of one connection that are read ahead."""

_UNAVAILABLE = 503
_RETRY_AFTER_MS = 250.0
"""Pause requested of a caller that was refused; its next connection may reach another
instance."""

_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

_LINGER_MS = 500.0
"""How long a connection closed from this end is still read, so that the kernel
does not reset it and drop the answer in flight."""

_TCP_INFO_BYTES = 104
"""Size of the kernel's ``struct tcp_info``, and below, the offset of its smoothed
round-trip time in microseconds."""

_RTT_OFFSET = 68
_MICROSECONDS_PER_MILLISECOND = 1_000.0
_DEFAULT_RTT_MS = 5.0
"""Assumed where the kernel reports no round-trip time."""


class ConnectionHost(Protocol):
    """Interface of the listener that a connection uses."""

    is_stopping: bool
    memory: CallerMemory

    @property
    def wire(self) -> WireCodec:
        """The codec."""

    @property
    def clock(self) -> Clock:
        """The tier's clock."""

    def limits(self) -> CallerLimits:
        """Return the limits of callers' requests."""

    async def answer(self, request: InboundRequest) -> CallerReply:
        """Answer a request."""

    def unfinished_reply(self, request: InboundRequest) -> CallerReply:
        """Return the answer to a request whose work was cancelled."""

    def remove_connection(self, connection: CallerConnection) -> None:
        """Remove a connection that has ended."""


class CallerConnection:
    """One caller's connection.

    Reading continues while a request is answered, so that a caller's disconnect
    is detected at once and cancels the work for it.

    Parameters
    ----------
    sock : socket.socket
        The accepted socket; this object takes ownership.
    host : ConnectionHost
        The listener that answers its requests.
    nursery : TaskNursery
        Runs the task that answers.

    Attributes
    ----------
    drawn_bytes : int
        See ``MeteredConnection``.
    """

    __slots__ = (
        "_answer_scope",
        "_answered",
        "_closes_when_idle",
        "_has_given_up",
        "_host",
        "_in_work",
        "_in_work_bytes",
        "_is_closing",
        "_is_first",
        "_is_unfinished",
        "_nursery",
        "_queue",
        "_queue_changed",
        "_queued_bytes",
        "_reader",
        "_rtt_ms",
        "_scope",
        "_sock",
        "_taken_bytes",
        "_unsent_bytes",
        "_wait_scope",
        "_waiting_since_ms",
        "drawn_bytes",
    )

    def __init__(
        self, sock: socket.socket, host: ConnectionHost, nursery: TaskNursery
    ) -> None:
        limits = host.limits()
        self._sock = sock
        self._host = host
        self._nursery = nursery
        self._reader = RequestReader(
            limits.maximum_header_bytes, limits.maximum_body_bytes
        )
        # Each with the memory that it uses.
        self._queue: deque[tuple[InboundRequest, int]] = deque()
        self._queued_bytes = 0
        self._queue_changed = trio.Event()
        self._answer_scope: trio.CancelScope | None = None
        self._answered = trio.Event()
        self._scope = trio.CancelScope()
        self._wait_scope: trio.CancelScope | None = None
        self._closes_when_idle = False
        self._in_work: InboundRequest | None = None
        self._in_work_bytes = 0
        # Of the answer that is sent, all of which is held until its end.
        self._unsent_bytes = 0
        self._taken_bytes = 0
        self._has_given_up = False
        self._is_closing = False
        self._is_first = True
        self._is_unfinished = False
        self._rtt_ms = _round_trip_ms(sock)
        self._waiting_since_ms = host.clock.now_ms()
        self.drawn_bytes = 0

    @property
    def releasable_bytes(self) -> int:
        """Memory that :meth:`give_up` frees, less what the caller has taken of it."""
        unread_bytes = 2 * RECEIVE_BUFFER_BYTES if self._is_queue_full else 0
        return (
            self._reader.held_bytes
            + self._queued_bytes
            + self._unsent_bytes
            + unread_bytes
        )

    @property
    def is_in_work(self) -> bool:
        """Whether a request is answered, or its answer sent."""
        return self._answer_scope is not None

    @property
    def stalled_since_ms(self) -> float:
        """When it began to wait for its caller."""
        return self._waiting_since_ms

    @property
    def _is_queue_full(self) -> bool:
        """Whether no more is read, so that bytes wait in the kernel."""
        return len(self._queue) > _MAX_QUEUED_REQUESTS

    @property
    def is_busy(self) -> bool:
        """Whether a request is being read or answered."""
        return (
            self._answer_scope is not None
            or bool(self._queue)
            or self._reader.is_mid_message
        )

    def close(self) -> None:
        """Close the connection at once; a request in flight is dropped."""
        self._scope.cancel()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is in flight or has arrived.

        Only the wait for bytes is cancelled. A request that arrives at the same
        moment is still read; cancelling the connection would drop it after it
        was forwarded.
        """
        if not self.is_busy:
            self._closes_when_idle = True
            if self._wait_scope is not None:
                self._wait_scope.cancel()

    def give_up(self) -> None:
        """Drop the requests that were not forwarded, and refuse the next of them.

        An answer that is awaited is still sent first. No further request is read. An
        answer that its caller does not take is given up with the connection.
        """
        self._has_given_up = True
        if self._unsent_bytes:
            self._unsent_bytes = self._taken_bytes = 0
            self.close()
        self._queue.clear()
        self._queue_changed.set()
        self._queued_bytes = 0
        self._reader.close()
        self._record_memory()
        self._start_answering()

    def end_work(self) -> None:
        """Cancel the work for a request, and answer that it is unfinished."""
        if self._in_work is not None and self._answer_scope is not None:
            self._is_unfinished = True
            self._answer_scope.cancel()

    async def run(self) -> None:
        """Serve the connection until it ends."""
        try:
            with self._scope:
                await self._read_all()
        finally:
            self._queue.clear()
            self._queued_bytes = self._in_work_bytes = 0
            self._unsent_bytes = self._taken_bytes = 0
            self._reader.close()
            self._record_memory()
            self._host.remove_connection(self)
            if self._answer_scope is not None:
                self._answer_scope.cancel()
            trio.lowlevel.notify_closing(self._sock)
            self._sock.close()

    async def _read_all(self) -> None:
        clock = self._host.clock
        while not self._is_closing:
            wait_ms = self._deadline_ms() - clock.now_ms()
            with clock.timeout_ms(wait_ms) as self._wait_scope:
                await trio.lowlevel.wait_readable(self._sock)
            timed_out = self._wait_scope.cancelled_caught
            self._wait_scope = None
            if timed_out and not self._closes_when_idle:
                if await self._handle_timeout():
                    return
                continue
            if not await self._read_some():
                return
            if self._closes_when_idle and not self.is_busy:
                self._is_closing = True
                self._shut_down()
        await self._linger()

    def _shut_down(self) -> None:
        """Shut down sending, so that the caller sees the end of the stream."""
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError as error:
            _LOG.debug("A caller's connection is already closed: %s.", error)

    async def _read_some(self) -> bool:
        """Read once; return False at the end of the connection."""
        try:
            data = self._sock.recv(_READ_BYTES)
        except BlockingIOError:
            return True
        except OSError:
            return False
        if not data:
            return False
        if self._has_given_up:
            return True
        was_mid_message = self._reader.is_mid_message
        try:
            self._reader.feed(data)
        except MalformedMessageError as error:
            # Complete requests may precede the malformed bytes.
            self._queue_requests()
            await self._reject(error.status, str(error))
            return False
        if self._reader.is_mid_message and not was_mid_message:
            self._waiting_since_ms = self._host.clock.now_ms()
        self._queue_requests()
        self._record_memory()
        if self._reader.wants_continue and self._reader.is_mid_message:
            self._reader.wants_continue = False
            if not await self._send_continue():
                return False
        # Further requests are read only once queued ones are answered.
        while self._is_queue_full:
            self._queue_changed = trio.Event()
            await self._queue_changed.wait()
        return True

    async def _send_continue(self) -> bool:
        """Tell the caller to send the body; return False if it has gone."""
        try:
            await self._send_bytes(_CONTINUE)
        except OSError as error:
            _LOG.debug("A caller left before its body was read: %s.", error)
            return False
        return True

    def _queue_requests(self) -> None:
        host = self._host
        messages = self._reader.messages
        while messages:
            raw = messages.pop(0)
            held_bytes = raw.held_bytes
            network_ms = self._rtt_ms * (2.0 if self._is_first else 1.0)
            self._is_first = False
            request = host.wire.decode_request(raw, host.clock.now_ms(), network_ms)
            request.closes = not raw.keeps_open
            self._queue.append((request, held_bytes))
            self._queued_bytes += held_bytes
        if self._queue:
            self._start_answering()

    def _start_answering(self) -> None:
        if self._answer_scope is None:
            self._answer_scope = trio.CancelScope()
            self._answered = trio.Event()
            self._nursery.start_soon(self._answer_all, self._answer_scope)

    def _record_memory(self) -> None:
        """Record what this connection uses; it may have to give up."""
        held_bytes = self.releasable_bytes + self._in_work_bytes + self._taken_bytes
        self._host.memory.record(self, held_bytes, self._host.limits())

    async def _answer_all(self, scope: trio.CancelScope) -> None:
        try:
            with scope:
                while self._queue and not self._is_closing:
                    request, self._in_work_bytes = self._queue.popleft()
                    self._queue_changed.set()
                    self._queued_bytes -= self._in_work_bytes
                    self._in_work = request
                    closes = request.closes
                    del request
                    pieces, closes = self._encode(
                        await self._host.answer(self._in_work), closes=closes
                    )
                    self._in_work = None
                    self._in_work_bytes = 0
                    self._record_memory()
                    await self._send(pieces, closes=closes)
                    del pieces
                if self._has_given_up and not self._is_closing:
                    await self._send_last(self._refusal())
            if self._is_unfinished and self._in_work is not None:
                await self._send_last(self._host.unfinished_reply(self._in_work))
        except Exception:
            # The caller must not wait on this connection for an answer.
            self.close()
            raise
        finally:
            self._in_work = None
            self._in_work_bytes = 0
            self._answer_scope = None
            self._answered.set()
            self._waiting_since_ms = self._host.clock.now_ms()

    def _refusal(self) -> CallerReply:
        """Return the answer to a request that was dropped before it was forwarded."""
        retry_after = self._host.wire.retry_after(_RETRY_AFTER_MS)
        return CallerReply(_UNAVAILABLE, [retry_after], b"", "callers_memory")

    def _encode(
        self, reply: CallerReply, *, closes: bool
    ) -> tuple[tuple[bytes, ...], bool]:
        """Return an encoded answer, and whether the connection closes after it."""
        closes = closes or reply.closes or self._host.is_stopping
        return self._host.wire.encode_reply(reply, not closes), closes

    async def _send_last(self, reply: CallerReply) -> None:
        """Send an answer after which the connection closes."""
        pieces, closes = self._encode(reply, closes=True)
        await self._send(pieces, closes=closes)

    async def _send(self, pieces: tuple[bytes, ...], *, closes: bool) -> None:
        try:
            for piece in pieces:
                await self._send_bytes(piece)
            if closes:
                self._is_closing = True
                self._sock.shutdown(socket.SHUT_WR)
                self._nursery.start_soon(self._close_after_linger)
        except (OSError, trio.ClosedResourceError) as error:
            _LOG.debug("An answer was not delivered: %s.", error)
            self.close()

    async def _send_bytes(self, data: bytes) -> None:
        """Send bytes; a caller that takes none for too long loses its connection."""
        view = memoryview(data)
        try:
            while view:
                try:
                    view = view[self._sock.send(view) :]
                except BlockingIOError:
                    await self._wait_writable(len(data), unsent_bytes=len(view))
        finally:
            if self._unsent_bytes:
                self._unsent_bytes = self._taken_bytes = 0
                self._record_memory()

    async def _wait_writable(self, size: int, *, unsent_bytes: int) -> None:
        clock = self._host.clock
        self._unsent_bytes = unsent_bytes
        self._taken_bytes = size - unsent_bytes
        self._waiting_since_ms = clock.now_ms()
        self._record_memory()
        with clock.timeout_ms(self._host.limits().idle_timeout_ms):
            await trio.lowlevel.wait_writable(self._sock)
            return
        raise TimeoutError("the caller does not read its answer")

    async def _close_after_linger(self) -> None:
        await self._host.clock.sleep_ms(_LINGER_MS)
        self.close()

    async def _linger(self) -> None:
        """Read and discard bytes until the caller closes too."""
        with self._host.clock.timeout_ms(_LINGER_MS):
            while True:
                await trio.lowlevel.wait_readable(self._sock)
                try:
                    if not self._sock.recv(_READ_BYTES):
                        return
                except BlockingIOError:
                    continue
                except OSError:
                    return

    def _deadline_ms(self) -> float:
        if self._answer_scope is not None:
            return math.inf
        limits = self._host.limits()
        if self._reader.is_mid_message and not self._reader.head_complete:
            return self._waiting_since_ms + limits.header_timeout_ms
        return self._waiting_since_ms + limits.idle_timeout_ms

    async def _handle_timeout(self) -> bool:
        """Handle a slow or idle caller; return whether to close."""
        if self._answer_scope is not None:
            return False
        if self._host.clock.now_ms() < self._deadline_ms():
            return False
        if self._reader.is_mid_message:
            await self._reject(408, "the request was not complete in time")
        return True

    async def _reject(self, status: int, detail: str) -> None:
        """Answer an invalid request after those before it, then close."""
        _LOG.warning("Cannot read a request: %s; answered %d.", detail, status)
        self._reader.close()
        self._record_memory()
        while self._answer_scope is not None:
            await self._answered.wait()
        if not self._is_closing:
            await self._send_last(CallerReply(status, [], b"", detail))
        await self._linger()


def _round_trip_ms(sock: socket.socket) -> float:
    """Return the kernel's estimate of the round-trip time to the caller."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
        round_trip_us = struct.unpack_from("I", info, _RTT_OFFSET)[0]
    except (OSError, struct.error):
        return _DEFAULT_RTT_MS
    if not round_trip_us:
        return _DEFAULT_RTT_MS
    return float(round_trip_us) / _MICROSECONDS_PER_MILLISECOND
