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
from ibisfront.core.members import Member
from ibisfront.core.membership import MemberNews
from ibisfront.core.objects import ObjectKind, ObjectName, VersionedObject
from ibisfront.core.spread import ObjectsChanged, ObjectsWanted


def _framed(payload: bytes) -> bytes:
    return len(payload).to_bytes(4) + payload


class FrameBufferTest(unittest.TestCase):
    """Bytes become messages, or are refused without harm."""

    def test_messages_survive_any_cutting_of_the_bytes(self) -> None:
        messages = [
            ObjectsChanged(
                after=1,
                revision=9,
                newest=9,
                objects=(VersionedObject(ObjectKind.TABLE, "main", 9, b"{}"),),
                present=(ObjectName(ObjectKind.TABLE, "main"),),
                present_at=9,
            ),
            MemberNews((Member("i1", "z1", "127.0.0.1:1", "127.0.0.1:2", 7),)),
            ObjectsWanted(3),
        ]
        data = b"".join(encode(message, ask_id=4) for message in messages)
        pieces = random.Random(1)
        buffer = FrameBuffer()
        found = []
        while data:
            size_bytes = pieces.randint(1, 9)
            found += buffer.feed(data[:size_bytes])
            data = data[size_bytes:]
        self.assertEqual([frame.message for frame in found], messages)
        self.assertEqual({frame.ask_id for frame in found}, {4})

    def test_frame_over_the_bound_is_refused_before_it_is_read(self) -> None:
        """A peer at fault announces a frame of four gigabytes.

        Waiting for it would fill the memory of a small instance.
        """
        with self.assertRaises(MalformedFrame):
            FrameBuffer().feed((MAXIMUM_FRAME_BYTES + 1).to_bytes(4))

    def test_bytes_that_are_no_msgpack_are_refused(self) -> None:
        with self.assertRaises(MalformedFrame):
            FrameBuffer().feed(_framed(b"\xc1\xc1\xc1"))

    def test_unknown_message_is_left_out(self) -> None:
        """An instance of a later release sends a message not known here.

        Cutting it off would part old and new instances during every rolling
        restart that brings a new message.
        """
        buffer = FrameBuffer()
        unknown = msgspec.msgpack.encode([["of_a_later_release", 1], 0, False])
        frames = buffer.feed(_framed(unknown) + encode(ObjectsWanted(3)))
        self.assertEqual([frame.message for frame in frames], [ObjectsWanted(3)])
        self.assertEqual(buffer.unknown_messages, 1)

    def test_later_field_is_passed_over(self) -> None:
        later = msgspec.msgpack.encode([["objects_wanted", 3, "later"], 0, False])
        (frame,) = FrameBuffer().feed(_framed(later))
        self.assertEqual(frame.message, ObjectsWanted(3))
