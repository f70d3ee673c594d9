"""Encoding of the state that instances relay to each other."""

from __future__ import annotations

import zlib
from typing import TypeVar

import msgspec

from ibisfront.core.decoding import decode_msgpack

__all__ = ["MAXIMUM_STATE_BYTES", "decode_state", "encode_state"]

MAXIMUM_STATE_BYTES = 8 * 1024 * 1024
"""Maximum decompressed size; 35,000 servers take 4.6 MB."""

_COMPRESS_FROM_BYTES = 1_024
"""Smaller messages fit in about one packet without compression."""

_COMPRESSION_LEVEL = 1
"""Fastest level: both bandwidth and processor time are scarce."""

_ZLIB_FIRST_BYTE = b"\x78"
"""First byte of zlib data (RFC 1950). An uncompressed message is a MessagePack map,
which never begins with it."""

_T = TypeVar("_T")


def encode_state(state: msgspec.Struct) -> bytes:
    """Return the encoded message, compressed if large.

    Service and host names repeat hundreds of times in it, and the links also carry
    replies to queries.
    """
    data = msgspec.msgpack.encode(state)
    if len(data) < _COMPRESS_FROM_BYTES:
        return data
    return zlib.compress(data, _COMPRESSION_LEVEL)


def decode_state(data: bytes, kind: type[_T]) -> _T:
    """Return the decoded message.

    Raises
    ------
    msgspec.DecodeError
        If the data is invalid, truncated or too large.
    """
    if data[:1] == _ZLIB_FIRST_BYTE:
        data = _decompress(data)
    return decode_msgpack(data, kind)


def _decompress(data: bytes) -> bytes:
    reader = zlib.decompressobj()
    try:
        decompressed = reader.decompress(data, MAXIMUM_STATE_BYTES)
    except zlib.error as error:
        raise msgspec.DecodeError(f"decompression failed: {error}") from error
    if not reader.eof:
        raise msgspec.DecodeError(
            f"truncated, or over {MAXIMUM_STATE_BYTES} bytes decompressed"
        )
    return decompressed
