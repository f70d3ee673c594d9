"""The streams to the other instances: who is dialled, sent to and heard."""

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
_FIRST_WAIT_MS = 50.0
_LONGEST_WAIT_MS = 2000.0
_LET_OTHER_DIAL_MS = 100.0
_FRESH_MS = 1000.0
_DIAL_AGAIN_MS = 500.0
_ON_DEMAND_STREAMS = 64
_LOG = part_logger(LogPart.PEERS)


class _Question(msgspec.Struct):
    done: trio.Event
    reply: PeerMessage | None = None


class PeerStreams:
    """The peers of one instance; see ``ibisfront.core.peers.Peers``.

    Parameters
    ----------
    members : Members
        The view, for names and addresses.
    transport : PeerTransport
        Opens and accepts streams.
    clock : Clock
        The tier's clock.
    counters : Counters
        Where messages are counted by what became of them.
    random : random.Random
        Spreads reconnections over time.
    """

    __slots__ = (
        "_ask_ids",
        "_asked",
        "_clock",
        "_counters",
        "_dial_after_ms",
        "_greeted",
        "_handlers",
        "_members",
        "_nursery",
        "_on_demand",
        "_random",
        "_repliers",
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
        self._asked: dict[int, _Question] = {}
        self._ask_ids = itertools.count(1)
        self._handlers: dict[type[PeerMessage], PeerHandler[PeerMessage]] = {}
        self._repliers: dict[type[PeerMessage], PeerReplyHandler[PeerMessage]] = {}
        self._greeted: Callable[[Member], None] = _ignore
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
        """Let a function reply to each question of a type."""
        self._repliers[message_type] = handler  # type: ignore[assignment]

    def send(self, name: str, message: PeerMessage) -> bool:
        """Queue a message for one instance; a stream is opened if there is none."""
        stream = self._stream_to(name)
        return stream is not None and stream.queue(encode(message))

    def send_neighbours(self, message: PeerMessage) -> None:
        """Queue a message for every neighbour that a stream is open to."""
        frame = encode(message)
        for stream in self._streams.values():
            stream.queue(frame)

    async def request(
        self, name: str, message: PeerMessage, *, timeout_ms: float
    ) -> PeerMessage | None:
        """Send a question and return its reply, or None if none came in time."""
        stream = self._stream_to(name)
        if stream is None:
            return None
        ask_id = next(self._ask_ids)
        question = _Question(trio.Event())
        self._asked[ask_id] = question
        asked_at_ms = self._clock.now_ms()
        try:
            if stream.queue(encode(message, ask_id=ask_id)):
                with self._clock.timeout_ms(timeout_ms):
                    await question.done.wait()
        finally:
            del self._asked[ask_id]
        if question.reply is None and stream.heard_at_ms < asked_at_ms:
            # A stream on demand carries no heartbeats. One that has gone
            # silent shows as a question without reply; the next one opens
            # another stream.
            self._close_on_demand(name)
        return question.reply

    def introduce(self, address: Address) -> None:
        """Greet whoever is at an address, to learn of each other."""
        if self._nursery is not None:
            self._nursery.start_soon(self._dial, address, self._new_stream())

    async def flush(self) -> None:
        """Wait until all that is queued has been handed to the system."""
        for stream in (*self._streams.values(), *self._on_demand.values()):
            await stream.flush()

    def reset(self) -> None:
        """Close every stream; neighbours are dialled anew."""
        for stream in (*self._streams.values(), *self._on_demand.values()):
            stream.close()

    async def run(
        self,
        membership: Membership,
        *,
        greeted: Callable[[Member], None],
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept and keep streams until cancelled.

        Parameters
        ----------
        membership : Membership
            Says who the neighbours are.
        greeted : callable
            Called with the member at the other end of each new stream.
        """
        self._greeted = greeted
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await nursery.start(self._transport.listen, self._accept)
            task_status.started()
            await self._keep_neighbours(membership, nursery)

    async def _keep_neighbours(
        self, membership: Membership, nursery: trio.Nursery
    ) -> None:
        keepers: dict[str, trio.CancelScope] = {}
        while True:
            changed = membership.neighbours_changed
            wanted = membership.neighbours
            for name in wanted - keepers.keys():
                keepers[name] = trio.CancelScope()
                nursery.start_soon(self._keep, name, keepers[name])
            for name in keepers.keys() - wanted:
                keepers.pop(name).cancel()
            await changed.wait()

    async def _keep(self, name: str, scope: trio.CancelScope) -> None:
        # After a cut every instance would redial at the same moment: the
        # waits grow and are drawn at random.
        backoff = Backoff(
            first_ms=_FIRST_WAIT_MS, maximum_ms=_LONGEST_WAIT_MS, random=self._random
        )
        with scope:
            if name < self._members.own_name:
                # Both ends may want this stream: the smaller name dials first.
                await self._clock.sleep_ms(_LET_OTHER_DIAL_MS)
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
            frames = await stream.greet(transport_stream, self._members.own)
            if frames is not None and self._register(stream):
                self._greeted(_peer(stream))
                for frame in frames:
                    self._receive(stream, frame)
                await stream.converse(transport_stream, partial(self._receive, stream))
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
        old = self._streams.get(name)
        if old is not None and self._keeps(old, stream):
            self._count("second_stream")
            return False
        self._streams[name] = stream
        if old is not None:
            old.close()
        return True

    def _keeps(self, old: PeerStream, new: PeerStream) -> bool:
        # Two instances that dial each other at once have two streams, and must
        # both close the same one: that which the larger name dialled. A stream
        # that only one end still holds open shows as one not heard from of
        # late, and must give way whoever dialled it.
        name = _peer(old).name
        if _peer(old).incarnation != _peer(new).incarnation:
            return False
        if old.dialled == new.dialled:
            return False
        fresh = self._clock.now_ms() - old.heard_at_ms < _FRESH_MS
        return fresh and old.dialled == (self._members.own_name < name)

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
            # Whoever sends to an instance that is gone would dial it for
            # every message.
            self._dial_after_ms[member.name] = self._clock.now_ms() + _DIAL_AGAIN_MS
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
                self._take_reply(frame)
            elif frame.ask_id:
                reply = self._repliers[type(message)](_peer(stream).name, message)
                stream.queue(encode(reply, ask_id=frame.ask_id, is_reply=True))
            elif type(message) in self._handlers:
                self._handlers[type(message)](_peer(stream).name, message)
            elif not isinstance(message, Hello):
                self._count("not_handled")
        except Exception:
            # A message that no handler foresaw must cost only itself: the
            # stream, the other streams and the process go on.
            self._count("handler_failed")
            _LOG.exception("A message of type %s failed.", type(message).__name__)

    def _take_reply(self, frame: Frame) -> None:
        question = self._asked.get(frame.ask_id)
        if question is None:
            self._count("late_reply")
            return
        question.reply = frame.message
        question.done.set()

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
    assert stream.peer is not None, "the stream was greeted"
    return stream.peer


def _ignore(member: Member) -> None:
    pass
