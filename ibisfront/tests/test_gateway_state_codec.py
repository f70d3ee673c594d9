"""Tests of the encoding of relayed state."""

from __future__ import annotations

import unittest
import zlib

import msgspec

from ibisfront.gateway.servers.server_entry import ServerEntry
from ibisfront.gateway.state.state_codec import (
    MAXIMUM_STATE_BYTES,
    decode_state,
    encode_state,
)
from ibisfront.gateway.state.state_relay import RelayedState


def state(servers):
    """Return a state with this many servers."""
    entries = [
        ServerEntry(f"i{number}", "s", "10.0.0.1:80", "z1") for number in range(servers)
    ]
    return RelayedState(3, True, is_whole=True, servers=entries)


class StateCodecTest(unittest.TestCase):
    """Small and large states, and invalid bytes."""

    def test_small_and_large_states_round_trip(self):
        for servers in (0, 1, 2000):
            with self.subTest(servers):
                data = encode_state(state(servers))
                self.assertEqual(decode_state(data, RelayedState), state(servers))

    def test_large_state_is_compressed(self):
        uncompressed_bytes = len(msgspec.msgpack.encode(state(2000)))
        self.assertLess(len(encode_state(state(2000))), uncompressed_bytes / 4)

    def test_invalid_bytes_are_rejected(self):
        encoded = encode_state(state(2000))
        bomb = zlib.compress(bytes(MAXIMUM_STATE_BYTES + 1))
        truncated = (encoded[:-2], encoded[:-20])
        for data in (b"", b"\x78", *truncated, b"\x78\x01zzzz", bomb, b"\xc1"):
            with self.subTest(data[:8]), self.assertRaises(msgspec.DecodeError):
                decode_state(data, RelayedState)
