"""One stream to a peer: a task that reads it, and a task that writes it."""

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

__all__ = ["GREETING_TIMEOUT_MS", "SILENCE_MS", "PeerStream"]

SILENCE_MS = 2000.0
"""After how long without a byte a neighbour's stream is closed."""

IDLE_MS = 10_000.0
"""After how long without a byte a stream opened on demand is closed."""

GREETING_TIMEOUT_MS = 1000.0
"""How long the other end may take to say who it is."""

_WRITE_TIMEOUT_MS = 2000.0
_FLUSH_CHECK_MS = 5.0
_QUEUE_FRAMES = 1024
_QUEUE_BYTES = 8_388_608
_RECEIVE_BYTES = 65_536
_SEND_BYTES = 262_144
_LOG = part_logger(LogPart.PEERS)


class PeerStream:
    """A stream to one peer, with a bounded queue of frames to send.

    Parameters
    ----------
    clock : Clock
        The tier's clock.
    counters : Counters
        Where messages are counted by what became of them.
    neighbour : bool
        Whether it stays open and carries heartbeats.
    dialled : bool
        Whether this end opened it.

    Attributes
    ----------
    peer : Member or None
        Who is at the other end, once it said so.
    heard_at_ms : float
        When the last bytes came.
    closed : trio.Event
        Set once it is over.
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
        "heard_at_ms",
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
        self.heard_at_ms = -math.inf
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
        """Wait until the queue has been handed to the system, or all is over."""
        while self._queued_bytes and not self.closed.is_set():
            await self._clock.sleep_ms(_FLUSH_CHECK_MS)

    def close(self) -> None:
        """End the stream soon."""
        self._scope.cancel()

    async def greet(self, stream: trio.abc.Stream, own: Member) -> list[Frame] | None:
        """Say who is here and wait for who is there.

        Returns
        -------
        list of Frame or None
            The frames that came along with the greeting; None if the other
            end is no peer of this release.
        """
        with self._clock.timeout_ms(GREETING_TIMEOUT_MS):
            hello = Hello(PROTOCOL_VERSION, own, self.neighbour)
            await stream.send_all(encode(hello))
            frames: list[Frame] = []
            while not frames:
                received = await stream.receive_some(_RECEIVE_BYTES)
                if not received:
                    return None
                frames = self._buffer.feed(received)
            greeting = frames[0].message
            if not isinstance(greeting, Hello):
                self._count("not_greeted")
                return None
            if greeting.protocol_version != PROTOCOL_VERSION:
                self._count("other_version")
                return None
            self.peer = greeting.member
            self.heard_at_ms = self._clock.now_ms()
            if not self.dialled:
                self.neighbour = greeting.neighbour
            return frames[1:]
        self._count("greeting_timed_out")
        return None

    async def converse(
        self, stream: trio.abc.Stream, receive: Callable[[Frame], None]
    ) -> None:
        """Read and write until the stream ends or goes silent."""
        with self._scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._write, stream)
                await self._read(stream, receive)
                nursery.cancel_scope.cancel()

    async def _read(
        self, stream: trio.abc.Stream, receive: Callable[[Frame], None]
    ) -> None:
        # Something between the two ends can lose track of an open connection,
        # which then stays open and carries nothing. It shows as a neighbour's
        # stream without the heartbeats that it owes; a new stream works.
        bound_ms = SILENCE_MS if self.neighbour else IDLE_MS
        with self._clock.timeout_ms(bound_ms) as bound:
            try:
                while received := await stream.receive_some(_RECEIVE_BYTES):
                    self._clock.extend_ms(bound, bound_ms)
                    if not self._take(received, receive) or self._write_hangs():
                        return
            except trio.BrokenResourceError:
                self._count("reset")
        if bound.cancelled_caught:
            self._count("silent" if self.neighbour else "idle")

    def _take(
        self, received: bytes | bytearray, receive: Callable[[Frame], None]
    ) -> bool:
        self.heard_at_ms = self._clock.now_ms()
        try:
            frames = self._buffer.feed(received)
        except MalformedFrame as error:
            # A peer that is broken, or no peer at all, must cost no more than
            # its stream: past a bad frame nothing can be read.
            self._count("malformed")
            _LOG.warning("A stream sent a malformed frame: %s.", error)
            return False
        self._count("received", len(frames))
        for frame in frames:
            receive(frame)
        if self._buffer.not_understood:
            self._count("not_understood", self._buffer.not_understood)
            self._buffer.not_understood = 0
        return True

    def _write_hangs(self) -> bool:
        # A peer that sends but no longer reads fills the stream, and a write
        # then waits for good. It is seen here, as its heartbeats go on.
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
