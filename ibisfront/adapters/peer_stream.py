"""One stream to a peer, with a task that reads and a task that writes."""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING

import trio

from ibisfront.adapters.peer_codec import FrameBuffer, MalformedFrame, encode
from ibisfront.core.counters import CounterKind
from ibisfront.core.hello import PROTOCOL_VERSION, Hello
from ibisfront.core.logs import LogPart, part_logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from ibisfront.adapters.peer_codec import Frame
    from ibisfront.core.clock import Clock
    from ibisfront.core.counters import Counters
    from ibisfront.core.members import Member

__all__ = ["HANDSHAKE_TIMEOUT_MS", "SILENCE_TIMEOUT_MS", "PeerStream"]

SILENCE_TIMEOUT_MS = 2000.0
"""Time without received bytes after which a neighbour's stream is closed."""

IDLE_TIMEOUT_MS = 10_000.0
"""Time without received bytes after which an on-demand stream is closed."""

HANDSHAKE_TIMEOUT_MS = 1000.0
"""Time limit for both ends to exchange their ``Hello``."""

_WRITE_TIMEOUT_MS = 2000.0
_FLUSH_CHECK_MS = 5.0
_QUEUE_FRAMES = 1024
_QUEUE_BYTES = 8_388_608
_RECEIVE_BYTES = 65_536
_SEND_BYTES = 262_144
_LOG = part_logger(LogPart.PEERS)


class PeerStream:
    """A stream to one peer, with a bounded send queue.

    Parameters
    ----------
    clock : Clock
        The tier's clock.
    counters : Counters
        Counts messages by outcome.
    neighbour : bool
        Whether the stream stays open and carries heartbeats.
    dialled : bool
        Whether this end opened the stream.

    Attributes
    ----------
    peer : Member or None
        The member at the other end; None before the handshake.
    last_received_at_ms : float
        When bytes were last received.
    closed : trio.Event
        Set once the stream is closed.
    """

    __slots__ = (
        "_buffer",
        "_clock",
        "_counters",
        "_queue",
        "_queued",
        "_queued_bytes",
        "_scope",
        "_writing_since_ms",
        "closed",
        "dialled",
        "last_received_at_ms",
        "neighbour",
        "peer",
    )

    def __init__(
        self, *, clock: Clock, counters: Counters, neighbour: bool, dialled: bool
    ) -> None:
        self._clock = clock
        self._counters = counters
        self._buffer = FrameBuffer()
        self._queue: deque[bytes] = deque()
        self._queued = trio.Event()
        self._queued_bytes = 0
        self._scope = trio.CancelScope()
        self._writing_since_ms = math.inf
        self.peer: Member | None = None
        self.neighbour = neighbour
        self.dialled = dialled
        self.last_received_at_ms = -math.inf
        self.closed = trio.Event()

    def queue(self, frame: bytes) -> bool:
        """Queue a frame; return False if it was dropped."""
        full = (
            len(self._queue) >= _QUEUE_FRAMES
            or self._queued_bytes + len(frame) > _QUEUE_BYTES
        )
        if self.closed.is_set() or full:
            self._count("dropped_full" if full else "dropped_closed")
            return False
        self._queue.append(frame)
        self._queued_bytes += len(frame)
        self._queued.set()
        return True

    async def flush(self) -> None:
        """Wait until the queue has been written to the socket or the stream closes."""
        while self._queued_bytes and not self.closed.is_set():
            await self._clock.sleep_ms(_FLUSH_CHECK_MS)

    def close(self) -> None:
        """Cancel the stream's tasks, which closes it."""
        self._scope.cancel()

    async def handshake(
        self, stream: trio.abc.Stream, own: Member
    ) -> list[Frame] | None:
        """Exchange ``Hello`` messages with the other end.

        Returns
        -------
        list of Frame or None
            The frames received along with the peer's ``Hello``; None if the
            other end is not a peer with this protocol version.
        """
        with self._clock.timeout_ms(HANDSHAKE_TIMEOUT_MS):
            own_hello = Hello(PROTOCOL_VERSION, own, self.neighbour)
            await stream.send_all(encode(own_hello))
            frames: list[Frame] = []
            while not frames:
                received = await stream.receive_some(_RECEIVE_BYTES)
                if not received:
                    return None
                frames = self._buffer.feed(received)
            peer_hello = frames[0].message
            if not isinstance(peer_hello, Hello):
                self._count("not_greeted")
                return None
            if peer_hello.protocol_version != PROTOCOL_VERSION:
                self._count("other_version")
                return None
            self.peer = peer_hello.member
            self.last_received_at_ms = self._clock.now_ms()
            if not self.dialled:
                self.neighbour = peer_hello.neighbour
            return frames[1:]
        self._count("greeting_timed_out")
        return None

    async def run(
        self, stream: trio.abc.Stream, receive: Callable[[Frame], None]
    ) -> None:
        """Read and write until the stream ends or times out."""
        with self._scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._write, stream)
                await self._read(stream, receive)
                nursery.cancel_scope.cancel()

    async def _read(
        self, stream: trio.abc.Stream, receive: Callable[[Frame], None]
    ) -> None:
        # A network device can lose the state of a connection, which then stays
        # open but delivers nothing. A neighbour's stream without heartbeats
        # reveals this; a new stream works.
        idle_timeout_ms = SILENCE_TIMEOUT_MS if self.neighbour else IDLE_TIMEOUT_MS
        with self._clock.timeout_ms(idle_timeout_ms) as timeout_scope:
            try:
                while received := await stream.receive_some(_RECEIVE_BYTES):
                    self._clock.extend_ms(timeout_scope, idle_timeout_ms)
                    if not self._process(received, receive) or self._write_is_stalled():
                        return
            except trio.BrokenResourceError:
                self._count("reset")
        if timeout_scope.cancelled_caught:
            self._count("silent" if self.neighbour else "idle")

    def _process(
        self, received: bytes | bytearray, receive: Callable[[Frame], None]
    ) -> bool:
        self.last_received_at_ms = self._clock.now_ms()
        try:
            frames = self._buffer.feed(received)
        except MalformedFrame as error:
            # A faulty peer, or a sender that is no peer, affects only its own
            # stream: the bytes after a malformed frame cannot be parsed.
            self._count("malformed")
            _LOG.warning("Closing a stream after a malformed frame: %s.", error)
            return False
        self._count("received", len(frames))
        for frame in frames:
            receive(frame)
        if self._buffer.unknown_messages:
            self._count("not_understood", self._buffer.unknown_messages)
            self._buffer.unknown_messages = 0
        return True

    def _write_is_stalled(self) -> bool:
        # If a peer stops reading, the stream's buffers fill and a write blocks
        # forever. Its heartbeats still arrive, so the check is made on receipt.
        waited_ms = self._clock.now_ms() - self._writing_since_ms
        if waited_ms < _WRITE_TIMEOUT_MS:
            return False
        self._count("write_timed_out")
        return True

    async def _write(self, stream: trio.abc.Stream) -> None:
        while True:
            await self._queued.wait()
            self._queued = trio.Event()
            while self._queue:
                data = self._next_bytes()
                sent = await self._send(stream, data)
                self._queued_bytes -= len(data)
                if not sent:
                    self._scope.cancel()
                    return

    def _next_bytes(self) -> bytes:
        frames = []
        size_bytes = 0
        while self._queue and size_bytes < _SEND_BYTES:
            frame = self._queue.popleft()
            size_bytes += len(frame)
            frames.append(frame)
        self._count("sent", len(frames))
        self._counters.add(CounterKind.PEER_BYTES, "sent", size_bytes)
        return b"".join(frames)

    async def _send(self, stream: trio.abc.Stream, data: bytes) -> bool:
        self._writing_since_ms = self._clock.now_ms()
        try:
            await stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return False
        finally:
            self._writing_since_ms = math.inf
        return True

    def _count(self, reason: str, amount: int = 1) -> None:
        self._counters.add(CounterKind.PEER_MESSAGES, reason, amount)
