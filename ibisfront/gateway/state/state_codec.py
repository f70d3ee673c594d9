"""The encoded form of the state that instances pass on."""

from __future__ import annotations

import zlib
from typing import TypeVar

import msgspec

__all__ = ["MAXIMUM_STATE_BYTES", "decode_state", "encode_state"]

MAXIMUM_STATE_BYTES = 8 * 1024 * 1024
"""A larger state is an error: 35,000 servers take 4.6 MB."""

_COMPRESS_FROM_BYTES = 1_024
"""Below this a message fits in a packet or so as it is."""

_COMPRESSION_LEVEL = 1
"""The quickest: links are short, and so is the processor time."""

_ZLIB_FIRST_BYTE = b"\x78"
"""First byte of a compressed message (RFC 1950); an encoded one, which is a map,
never begins with it."""

_T = TypeVar("_T")


def encode_state(state: msgspec.Struct) -> bytes:
    """Return a message, compressed if it is large.

    Names of services and hosts stand in it hundreds of times, and the links
    that it takes are those on which answers travel.
    """
    data = msgspec.msgpack.encode(state)
    if len(data) < _COMPRESS_FROM_BYTES:
        return data
    return zlib.compress(data, _COMPRESSION_LEVEL)


def decode_state(data: bytes, kind: type[_T]) -> _T:
    """Return the message.

    Raises
    ------
    msgspec.DecodeError
        If it is none, or too large.
    """
    if data[:1] == _ZLIB_FIRST_BYTE:
        data = _decompress(data)
    return msgspec.msgpack.decode(data, type=kind)


def _decompress(data: bytes) -> bytes:
    reader = zlib.decompressobj()
    try:
        decompressed = reader.decompress(data, MAXIMUM_STATE_BYTES)
    except zlib.error as error:
        raise msgspec.DecodeError(f"not decompressed: {error}") from error
    if not reader.eof:
        raise msgspec.DecodeError(
            f"cut short, or over {MAXIMUM_STATE_BYTES} bytes decompressed"
        )
    return decompressed
