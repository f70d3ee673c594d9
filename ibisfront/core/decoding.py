"""Decoding of messages whose writer is not trusted."""

from __future__ import annotations

from typing import TypeVar

import msgspec

__all__ = ["decode_json", "decode_msgpack"]

_T = TypeVar("_T")


def decode_json(data: bytes, body_type: type[_T]) -> _T:
    """Decode JSON.

    Raises
    ------
    msgspec.DecodeError
        For any data that is not a valid value of the type. The library raises
        ``RecursionError`` for deeply nested data, which is not a ``DecodeError``.
    """
    try:
        return msgspec.json.decode(data, type=body_type)
    except (RecursionError, OverflowError, UnicodeError) as error:
        raise msgspec.DecodeError(f"JSON cannot be decoded: {error}") from error


def decode_msgpack(data: bytes, body_type: type[_T]) -> _T:
    """Decode MessagePack; raises only ``msgspec.DecodeError``, like `decode_json`."""
    try:
        return msgspec.msgpack.decode(data, type=body_type)
    except (RecursionError, OverflowError, UnicodeError) as error:
        raise msgspec.DecodeError(f"MessagePack cannot be decoded: {error}") from error
