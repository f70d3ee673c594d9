"""The closed list of messages between instances, and their frames.

A frame is four bytes of length, then the message as msgpack.
"""

from __future__ import annotations

from typing import TypeAlias

import msgspec

from ibisfront.core.heartbeat import Heartbeat
from ibisfront.core.hello import Hello
from ibisfront.core.ledger_messages import AttemptStatusReply, AttemptStatusRequest
from ibisfront.core.membership import MemberNews, ViewsCompared
from ibisfront.core.peers import PeerMessage
from ibisfront.core.quarantine import CrashReport
from ibisfront.core.server_status import ServerStatusUpdate
from ibisfront.core.share_messages import ShareGrants, ShareReport
from ibisfront.core.spread import NewestKnown, ObjectsChanged, ObjectsWanted
from ibisfront.core.status import StatusReply, StatusRequest

__all__ = ["MAXIMUM_FRAME_BYTES", "Frame", "FrameBuffer", "MalformedFrame", "encode"]

MAXIMUM_FRAME_BYTES = 4_194_304
"""The largest frame; a peer that announces a larger one is cut off."""

_LENGTH_BYTES = 4

# Every message class between instances. A part adds its own here.
AnyMessage: TypeAlias = (
    Hello
    | Heartbeat
    | MemberNews
    | ViewsCompared
    | ObjectsChanged
    | ObjectsWanted
    | NewestKnown
    | ServerStatusUpdate
    | CrashReport
    | ShareReport
    | ShareGrants
    | StatusRequest
    | StatusReply
    | AttemptStatusRequest
    | AttemptStatusReply
)


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """One message and its place in a question and answer.

    Attributes
    ----------
    message : PeerMessage
        The message.
    ask_id : int
        Ties a reply to its question; 0 for a message that is neither.
    is_reply : bool
        Whether it is the reply.
    """

    message: AnyMessage
    ask_id: int = 0
    is_reply: bool = False


class MalformedFrame(Exception):
    """The bytes of a stream are no frames; nothing after them can be read."""


class FrameBuffer:
    """Cuts the bytes of one stream into frames."""

    __slots__ = ("_bytes", "not_understood")

    def __init__(self) -> None:
        self._bytes = bytearray()
        self.not_understood = 0

    def feed(self, received: bytes | bytearray) -> list[Frame]:
        """Take in bytes and return the frames that they complete.

        A frame that is msgpack but no message known here is left out and
        counted in ``not_understood``: an instance of a later release may send
        one during a rolling restart, and the stream is still in step.

        Raises
        ------
        MalformedFrame
            If a frame is too long or is not msgpack.
        """
        self._bytes += received
        frames = []
        while (payload := self._next_payload()) is not None:
            try:
                frames.append(_DECODER.decode(payload))
            except msgspec.ValidationError:
                self.not_understood += 1
            except msgspec.DecodeError as error:
                raise MalformedFrame(str(error)) from error
        return frames

    def _next_payload(self) -> bytes | None:
        if len(self._bytes) < _LENGTH_BYTES:
            return None
        length_bytes = int.from_bytes(self._bytes[:_LENGTH_BYTES])
        if length_bytes > MAXIMUM_FRAME_BYTES:
            raise MalformedFrame(f"a frame of {length_bytes} bytes")
        end = _LENGTH_BYTES + length_bytes
        if len(self._bytes) < end:
            return None
        payload = bytes(self._bytes[_LENGTH_BYTES:end])
        del self._bytes[:end]
        return payload


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Frame)


def encode(message: PeerMessage, *, ask_id: int = 0, is_reply: bool = False) -> bytes:
    """Return the frame of a message as bytes."""
    frame = Frame(message, ask_id, is_reply)  # type: ignore[arg-type]
    payload = _ENCODER.encode(frame)
    return len(payload).to_bytes(_LENGTH_BYTES) + payload
