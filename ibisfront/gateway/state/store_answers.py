"""Decoding of the store's answers."""

from __future__ import annotations

import re
from typing import TypeVar

import msgspec

from ibisfront.core.decoding import decode_json
from ibisfront.core.json_parts import repair_elements
from ibisfront.core.lenient_json import repair_json
from ibisfront.core.logs import LogPart, part_logger
from ibisfront.gateway.state.store import StoreError, StoreErrorKind

__all__ = ["decode", "decode_leniently"]

_LOG = part_logger(LogPart.PLATFORM)

_T = TypeVar("_T")


def decode(raw: bytes, body_type: type[_T]) -> _T:
    """Decode an answer; raises ``StoreError`` if it is not valid."""
    try:
        return decode_json(raw, body_type)
    except msgspec.DecodeError as error:
        raise StoreError(StoreErrorKind.BAD_ANSWER, str(error)) from error


def decode_leniently(raw: bytes, body_type: type[_T], element: re.Pattern[bytes]) -> _T:
    """Decode an answer with objects from other writers; raises ``StoreError``.

    One object that is not valid JSON invalidates the whole answer, and with it
    the list of all servers. Lenient decoding limits the damage to that object.

    Parameters
    ----------
    raw : bytes
        The answer.
    body_type : type
        What it is decoded into.
    element : re.Pattern
        The beginning of an object in it; see ``repair_elements``.
    """
    try:
        return decode_json(raw, body_type)
    except msgspec.DecodeError as error:
        _LOG.warning("A reply from the store is not valid JSON: %s.", error)
    try:
        return decode_json(repair_json(raw), body_type)
    except msgspec.DecodeError:
        # Not all of it can be repaired.
        return decode(repair_elements(raw, element), body_type)
