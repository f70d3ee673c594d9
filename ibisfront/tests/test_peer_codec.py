"""Tests of the frames between instances."""

from __future__ import annotations

import random
import unittest

import msgspec

from ibisfront.adapters.peer_codec import (
    MAXIMUM_FRAME_BYTES,
    FrameBuffer,
    MalformedFrame,
    encode,
)
from ibisfront.core.dissemination import ObjectsChanged, ObjectsWanted
from ibisfront.core.members import Member
from ibisfront.core.membership import MemberUpdate
from ibisfront.core.objects import ObjectKind, ObjectName, VersionedObject


def _framed(payload: bytes) -> bytes:
    return len(payload).to_bytes(4) + payload


class FrameBufferTest(unittest.TestCase):
    """Bytes are decoded into messages, or rejected safely."""

    def test_messages_are_decoded_from_arbitrary_chunks(self) -> None:
        messages = [
            ObjectsChanged(
                after=1,
                revision=9,
                newest=9,
                objects=(VersionedObject(ObjectKind.TABLE, "main", 9, b"{}"),),
                present=(ObjectName(ObjectKind.TABLE, "main"),),
                present_at=9,
            ),
            MemberUpdate((Member("i1", "z1", "127.0.0.1:1", "127.0.0.1:2", 7),)),
            ObjectsWanted(3),
        ]
        data = b"".join(encode(message, ask_id=4) for message in messages)
        random_sizes = random.Random(1)
        buffer = FrameBuffer()
        frames = []
        while data:
            size_bytes = random_sizes.randint(1, 9)
            frames += buffer.feed(data[:size_bytes])
            data = data[size_bytes:]
        self.assertEqual([frame.message for frame in frames], messages)
        self.assertEqual({frame.ask_id for frame in frames}, {4})

    def test_oversized_frame_is_rejected_before_it_is_read(self) -> None:
        """Guards against exhausting memory on a faulty peer's frame.

        The length can announce four gigabytes; waiting for such a frame would
        exhaust a small instance.
        """
        with self.assertRaises(MalformedFrame):
            FrameBuffer().feed((MAXIMUM_FRAME_BYTES + 1).to_bytes(4))

    def test_bytes_that_are_not_msgpack_are_rejected(self) -> None:
        with self.assertRaises(MalformedFrame):
            FrameBuffer().feed(_framed(b"\xc1\xc1\xc1"))

    def test_unknown_message_is_skipped(self) -> None:
        """Guards against closing the stream on an unknown message type.

        Old and new instances would lose contact during every rolling restart
        to a release that adds a message.
        """
        buffer = FrameBuffer()
        unknown = msgspec.msgpack.encode([["of_a_later_release", 1], 0, False])
        frames = buffer.feed(_framed(unknown) + encode(ObjectsWanted(3)))
        self.assertEqual([frame.message for frame in frames], [ObjectsWanted(3)])
        self.assertEqual(buffer.unknown_messages, 1)

    def test_unknown_trailing_field_is_ignored(self) -> None:
        later = msgspec.msgpack.encode([["objects_wanted", 3, "later"], 0, False])
        (frame,) = FrameBuffer().feed(_framed(later))
        self.assertEqual(frame.message, ObjectsWanted(3))
