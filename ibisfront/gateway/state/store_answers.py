"""Decoding of the store's answers."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from ibisfront.core.decoding import decode_json
from ibisfront.gateway.state.store import StoreError, StoreErrorKind

__all__ = ["decode"]

_T = TypeVar("_T")


def decode(raw: bytes, body_type: type[_T]) -> _T:
    """Decode an answer; raises ``StoreError`` if it is not valid."""
    try:
        return decode_json(raw, body_type)
    except msgspec.DecodeError as error:
        raise StoreError(StoreErrorKind.BAD_ANSWER, str(error)) from error
