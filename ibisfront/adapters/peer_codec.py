"""The message types between instances, and their frame encoding.

A frame is four bytes of length, followed by the message as msgpack.
"""

from __future__ import annotations

from typing import TypeAlias

import msgspec

from ibisfront.core.dissemination import NewestKnown, ObjectsChanged, ObjectsWanted
from ibisfront.core.heartbeat import Heartbeat
from ibisfront.core.hello import Hello
from ibisfront.core.ledger_messages import AttemptStatusReply, AttemptStatusRequest
from ibisfront.core.membership import MemberUpdate, ViewsCompared
from ibisfront.core.peers import PeerMessage
from ibisfront.core.quarantine import CrashReport
from ibisfront.core.server_status import ServerStatusUpdate
from ibisfront.core.share_messages import ShareGrants, ShareReport
from ibisfront.core.status import StatusReply, StatusRequest

__all__ = ["MAXIMUM_FRAME_BYTES", "Frame", "FrameBuffer", "MalformedFrame", "encode"]

MAXIMUM_FRAME_BYTES = 4_194_304
"""The largest frame; a stream that announces a larger one is closed."""

_LENGTH_BYTES = 4

# Every message class between instances; new ones are added here.
AnyMessage: TypeAlias = (
    Hello
    | Heartbeat
    | MemberUpdate
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
    """One message, with its id if it is a request or a reply.

    Attributes
    ----------
    message : PeerMessage
        The message.
    ask_id : int
        Matches a reply to its request; 0 for a message that is neither.
    is_reply : bool
        Whether the message is a reply.
    """

    message: AnyMessage
    ask_id: int = 0
    is_reply: bool = False


class MalformedFrame(Exception):
    """The bytes of a stream are not valid frames; the rest cannot be parsed."""


class FrameBuffer:
    """Splits the bytes of one stream into frames."""

    __slots__ = ("_bytes", "unknown_messages")

    def __init__(self) -> None:
        self._bytes = bytearray()
        self.unknown_messages = 0

    def feed(self, received: bytes | bytearray) -> list[Frame]:
        """Add received bytes and return the frames that they complete.

        A valid msgpack frame of an unknown message type is skipped and counted
        in ``unknown_messages``: an instance of a later release may send one
        during a rolling restart, and the frames after it can still be parsed.

        Raises
        ------
        MalformedFrame
            If a frame is too long or is not valid msgpack.
        """
        self._bytes += received
        frames = []
        while (payload := self._next_payload()) is not None:
            try:
                frames.append(_DECODER.decode(payload))
            except msgspec.ValidationError:
                self.unknown_messages += 1
            except msgspec.DecodeError as error:
                raise MalformedFrame(str(error)) from error
        return frames

    def _next_payload(self) -> bytes | None:
        if len(self._bytes) < _LENGTH_BYTES:
            return None
        length_bytes = int.from_bytes(self._bytes[:_LENGTH_BYTES])
        if length_bytes > MAXIMUM_FRAME_BYTES:
            raise MalformedFrame(f"frame of {length_bytes} bytes is too long")
        end = _LENGTH_BYTES + length_bytes
        if len(self._bytes) < end:
            return None
        payload = bytes(self._bytes[_LENGTH_BYTES:end])
        del self._bytes[:end]
        return payload


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Frame)


def encode(message: PeerMessage, *, ask_id: int = 0, is_reply: bool = False) -> bytes:
    """Return a message encoded as a frame."""
    frame = Frame(message, ask_id, is_reply)  # type: ignore[arg-type]
    payload = _ENCODER.encode(frame)
    return len(payload).to_bytes(_LENGTH_BYTES) + payload
