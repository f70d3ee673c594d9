"""The streams to the other instances: connecting, sending and dispatch."""

from __future__ import annotations

import itertools
from functools import partial
from typing import TYPE_CHECKING

import msgspec
import trio

from ibisfront.adapters.peer_codec import MalformedFrame, encode
from ibisfront.adapters.peer_stream import PeerStream
from ibisfront.core.backoff import Backoff
from ibisfront.core.counters import CounterKind
from ibisfront.core.hello import Hello
from ibisfront.core.logs import LogPart, part_logger

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from ibisfront.adapters.peer_codec import Frame
    from ibisfront.adapters.peer_transport import PeerTransport
    from ibisfront.core.clock import Clock
    from ibisfront.core.counters import Counters
    from ibisfront.core.members import Member, Members
    from ibisfront.core.membership import Membership
    from ibisfront.core.peers import (
        MessageType,
        PeerHandler,
        PeerMessage,
        PeerReplyHandler,
    )
    from ibisfront.core.types import Address

__all__ = ["PeerStreams"]

_DIAL_TIMEOUT_MS = 1000.0
_INITIAL_BACKOFF_MS = 50.0
_MAXIMUM_BACKOFF_MS = 2000.0
_DIAL_YIELD_MS = 100.0
_FRESHNESS_MS = 1000.0
_REDIAL_DELAY_MS = 500.0
_ON_DEMAND_STREAMS = 64
_LOG = part_logger(LogPart.PEERS)


class _PendingRequest(msgspec.Struct):
    done: trio.Event
    reply: PeerMessage | None = None


class PeerStreams:
    """The streams of one instance; implements ``ibisfront.core.peers.Peers``.

    Parameters
    ----------
    members : Members
        The membership view, for names and addresses.
    transport : PeerTransport
        Opens and accepts streams.
    clock : Clock
        The tier's clock.
    counters : Counters
        Counts messages by outcome.
    random : random.Random
        Adds jitter to reconnections.
    """

    __slots__ = (
        "_ask_ids",
        "_clock",
        "_counters",
        "_dial_after_ms",
        "_handlers",
        "_members",
        "_nursery",
        "_on_demand",
        "_on_handshake",
        "_pending_requests",
        "_random",
        "_request_handlers",
        "_streams",
        "_transport",
    )

    def __init__(
        self,
        members: Members,
        *,
        transport: PeerTransport,
        clock: Clock,
        counters: Counters,
        random: Random,
    ) -> None:
        self._members = members
        self._transport = transport
        self._clock = clock
        self._counters = counters
        self._random = random
        self._streams: dict[str, PeerStream] = {}
        self._on_demand: dict[str, PeerStream] = {}
        self._dial_after_ms: dict[str, float] = {}
        self._pending_requests: dict[int, _PendingRequest] = {}
        self._ask_ids = itertools.count(1)
        self._handlers: dict[type[PeerMessage], PeerHandler[PeerMessage]] = {}
        self._request_handlers: dict[
            type[PeerMessage], PeerReplyHandler[PeerMessage]
        ] = {}
        self._on_handshake: Callable[[Member], None] = _ignore
        self._nursery: trio.Nursery | None = None

    @property
    def connected(self) -> frozenset[str]:
        """The names of the neighbours with an open stream."""
        return frozenset(self._streams)

    def handle(
        self, message_type: type[MessageType], handler: PeerHandler[MessageType]
    ) -> None:
        """Call a function for each message of a type."""
        self._handlers[message_type] = handler  # type: ignore[assignment]

    def respond(
        self, message_type: type[MessageType], handler: PeerReplyHandler[MessageType]
    ) -> None:
        """Call a function to reply to each request of a type."""
        self._request_handlers[message_type] = handler  # type: ignore[assignment]

    def send(self, name: str, message: PeerMessage) -> bool:
        """Queue a message for one instance; opens a stream if there is none."""
        stream = self._stream_to(name)
        return stream is not None and stream.queue(encode(message))

    def send_neighbours(self, message: PeerMessage) -> None:
        """Queue a message for every neighbour with an open stream."""
        frame = encode(message)
        for stream in self._streams.values():
            stream.queue(frame)

    async def request(
        self, name: str, message: PeerMessage, *, timeout_ms: float
    ) -> PeerMessage | None:
        """Send a request and return its reply, or None after the timeout."""
        stream = self._stream_to(name)
        if stream is None:
            return None
        ask_id = next(self._ask_ids)
        pending = _PendingRequest(trio.Event())
        self._pending_requests[ask_id] = pending
        sent_at_ms = self._clock.now_ms()
        try:
            if stream.queue(encode(message, ask_id=ask_id)):
                with self._clock.timeout_ms(timeout_ms):
                    await pending.done.wait()
        finally:
            del self._pending_requests[ask_id]
        if pending.reply is None and stream.last_received_at_ms < sent_at_ms:
            # An on-demand stream carries no heartbeats, so a request without
            # reply is the only sign of a dead one. Once it is closed, the next
            # request opens another.
            self._close_on_demand(name)
        return pending.reply

    def introduce(self, address: Address) -> None:
        """Open a stream to an address, so that both ends learn of each other."""
        if self._nursery is not None:
            self._nursery.start_soon(self._dial, address, self._new_stream())

    async def flush(self) -> None:
        """Wait until all queued messages have been written to their sockets."""
        for stream in (*self._streams.values(), *self._on_demand.values()):
            await stream.flush()

    def reset(self) -> None:
        """Close every stream; neighbours are dialled again."""
        for stream in (*self._streams.values(), *self._on_demand.values()):
            stream.close()

    async def run(
        self,
        membership: Membership,
        *,
        on_handshake: Callable[[Member], None],
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept and maintain streams until cancelled.

        Parameters
        ----------
        membership : Membership
            Determines the neighbours.
        on_handshake : callable
            Called with the peer of each new stream after the handshake.
        """
        self._on_handshake = on_handshake
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await nursery.start(self._transport.listen, self._accept)
            task_status.started()
            await self._maintain_neighbours(membership, nursery)

    async def _maintain_neighbours(
        self, membership: Membership, nursery: trio.Nursery
    ) -> None:
        maintainers: dict[str, trio.CancelScope] = {}
        while True:
            changed = membership.neighbours_changed
            wanted = membership.neighbours
            for name in wanted - maintainers.keys():
                maintainers[name] = trio.CancelScope()
                nursery.start_soon(self._maintain_stream, name, maintainers[name])
            for name in maintainers.keys() - wanted:
                maintainers.pop(name).cancel()
            await changed.wait()

    async def _maintain_stream(self, name: str, scope: trio.CancelScope) -> None:
        # After a partition heals every instance would redial at once, so the
        # backoff grows and is randomized.
        backoff = Backoff(
            first_ms=_INITIAL_BACKOFF_MS,
            maximum_ms=_MAXIMUM_BACKOFF_MS,
            random=self._random,
        )
        with scope:
            if name < self._members.own_name:
                # Both ends may open this stream: the smaller name dials first.
                await self._clock.sleep_ms(_DIAL_YIELD_MS)
            while True:
                open_stream = self._streams.get(name)
                if open_stream is not None:
                    await open_stream.closed.wait()
                    backoff.reset()
                    continue
                member = self._members.get(name)
                if member is None:
                    return
                stream = self._new_stream(neighbour=True)
                await self._dial(member.peer_address, stream)
                if stream.peer is not None:
                    backoff.reset()
                await self._clock.sleep_ms(backoff.next_ms())

    async def _accept(self, transport_stream: trio.abc.Stream) -> None:
        stream = self._new_stream(dialled=False)
        await self._run_stream(stream, transport_stream)

    async def _dial(self, address: Address, stream: PeerStream) -> None:
        try:
            with self._clock.timeout_ms(_DIAL_TIMEOUT_MS) as scope:
                transport_stream = await self._transport.dial(address)
            if scope.cancelled_caught:
                self._count("dial_timed_out")
                return
        except OSError:
            self._count("dial_failed")
            return
        await self._run_stream(stream, transport_stream)

    async def _run_stream(
        self, stream: PeerStream, transport_stream: trio.abc.Stream
    ) -> None:
        try:
            frames = await stream.handshake(transport_stream, self._members.own)
            if frames is not None and self._register(stream):
                self._on_handshake(_peer(stream))
                for frame in frames:
                    self._receive(stream, frame)
                await stream.run(transport_stream, partial(self._receive, stream))
        except (trio.BrokenResourceError, trio.ClosedResourceError, MalformedFrame):
            self._count("broken_greeting")
        finally:
            self._unregister(stream)
            stream.closed.set()
            await trio.aclose_forcefully(transport_stream)

    def _register(self, stream: PeerStream) -> bool:
        name = _peer(stream).name
        if name == self._members.own_name:
            self._count("own_address")
            return False
        if not stream.neighbour:
            self._on_demand.setdefault(name, stream)
            return True
        existing = self._streams.get(name)
        if existing is not None and self._prefers_existing(existing, stream):
            self._count("second_stream")
            return False
        self._streams[name] = stream
        if existing is not None:
            existing.close()
        return True

    def _prefers_existing(self, existing: PeerStream, candidate: PeerStream) -> bool:
        # Two instances that dial each other at once have two streams, and must
        # both close the same one: that which the larger name dialled. A stream
        # that only one end still holds open receives nothing, so one without
        # recent bytes is replaced whichever end dialled it.
        name = _peer(existing).name
        if _peer(existing).incarnation != _peer(candidate).incarnation:
            return False
        if existing.dialled == candidate.dialled:
            return False
        fresh = self._clock.now_ms() - existing.last_received_at_ms < _FRESHNESS_MS
        return fresh and existing.dialled == (self._members.own_name < name)

    def _unregister(self, stream: PeerStream) -> None:
        for registry in (self._streams, self._on_demand):
            for name, known in list(registry.items()):
                if known is stream:
                    del registry[name]

    def _stream_to(self, name: str) -> PeerStream | None:
        found = self._streams.get(name) or self._on_demand.get(name)
        if found is not None:
            return found
        member = self._members.get(name)
        now_ms = self._clock.now_ms()
        if (
            member is None
            or self._nursery is None
            or name == self._members.own_name
            or len(self._on_demand) >= _ON_DEMAND_STREAMS
            or now_ms < self._dial_after_ms.get(name, 0.0)
        ):
            self._count("dropped_no_stream")
            return None
        stream = self._new_stream()
        self._on_demand[name] = stream
        self._nursery.start_soon(self._run_on_demand, member, stream)
        return stream

    async def _run_on_demand(self, member: Member, stream: PeerStream) -> None:
        try:
            await self._dial(member.peer_address, stream)
        finally:
            self._unregister(stream)
            stream.closed.set()
        if stream.peer is None:
            # Without this delay every message to an unreachable instance would
            # dial it.
            self._dial_after_ms[member.name] = self._clock.now_ms() + _REDIAL_DELAY_MS
        else:
            self._dial_after_ms.pop(member.name, None)

    def _close_on_demand(self, name: str) -> None:
        stream = self._on_demand.get(name)
        if stream is not None:
            stream.close()

    def _receive(self, stream: PeerStream, frame: Frame) -> None:
        message = frame.message
        try:
            if frame.is_reply:
                self._complete_request(frame)
            elif frame.ask_id:
                reply = self._request_handlers[type(message)](
                    _peer(stream).name, message
                )
                stream.queue(encode(reply, ask_id=frame.ask_id, is_reply=True))
            elif type(message) in self._handlers:
                self._handlers[type(message)](_peer(stream).name, message)
            elif not isinstance(message, Hello):
                self._count("not_handled")
        except Exception:
            # A message that its handler fails on is dropped; it must not end
            # the stream, the other streams or the process.
            self._count("handler_failed")
            _LOG.exception(
                "Handling a message of type %s failed.", type(message).__name__
            )

    def _complete_request(self, frame: Frame) -> None:
        pending = self._pending_requests.get(frame.ask_id)
        if pending is None:
            self._count("late_reply")
            return
        pending.reply = frame.message
        pending.done.set()

    def _new_stream(
        self, *, neighbour: bool = False, dialled: bool = True
    ) -> PeerStream:
        return PeerStream(
            clock=self._clock,
            counters=self._counters,
            neighbour=neighbour,
            dialled=dialled,
        )

    def _count(self, reason: str) -> None:
        self._counters.add(CounterKind.PEER_MESSAGES, reason)


def _peer(stream: PeerStream) -> Member:
    assert stream.peer is not None, "the handshake is complete"
    return stream.peer


def _ignore(member: Member) -> None:
    pass
