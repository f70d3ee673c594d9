"""Repair of JSON that contains parts of other writers, part by part.

A part that no decoder accepts does not affect the others.
"""

from __future__ import annotations

import re

import msgspec

from ibisfront.core.decoding import decode_json
from ibisfront.core.lenient_json import repair_json

__all__ = ["repair_parts"]

_TOKEN = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"|["\[\]{},]', re.DOTALL)
"""A string, or a character that delimits parts. A quote on its own begins a string
that does not end."""

_OPENING = {b"[": b"]", b"{": b"}"}
_END = re.compile(rb'\]\s*(?:,\s*"\w+"\s*:\s*\w+\s*)*\}\s*\Z')
"""The end of a list in an object, with members behind it that are no containers."""

_LEVELS = 5
"""Levels of containers that are repaired part by part: an answer, its list, a change,
an object, and the object's metadata or content."""


class _Container(msgspec.Struct, frozen=True):
    """An array or object, split into its parts.

    Attributes
    ----------
    parts : list of bytes
        The elements of an array, or the members of an object with their keys.
    end : int or None
        Where it ends; None if its brackets or quotes are not balanced.
    """

    parts: list[bytes]
    end: int | None


def repair_parts(raw: bytes, element: re.Pattern[bytes]) -> bytes:
    """Return JSON in which the smallest parts that are not valid became ``null``.

    Parameters
    ----------
    raw : bytes
        An object with a list of elements from several writers.
    element : re.Pattern
        Matches the beginning of an element, up to its first member that is a
        container. Used if brackets or quotes are not balanced, so that it is unknown
        where elements end; of those that do not end, only that member is kept.
    """
    if _scan(raw).end is None:
        raw = _balance(raw, element)
    return _repair(raw, _LEVELS)


def _scan(data: bytes, start: int = 0) -> _Container:
    """Split the container at an offset; iterative, since nesting may be deep."""
    parts: list[bytes] = []
    expected = bytearray()
    part_start = start
    for match in _TOKEN.finditer(data, start):
        token = match.group()
        if token in _OPENING:
            expected += _OPENING[token]
            if len(expected) == 1:
                part_start = match.end()
        elif token in b"]}":
            if not expected or expected.pop() != token[0]:
                break
            if not expected:
                last = data[part_start : match.start()].strip()
                return _Container([*parts, last] if last else parts, match.end())
        elif token == b"," and len(expected) == 1:
            parts.append(data[part_start : match.start()].strip())
            part_start = match.end()
        elif token == b'"':
            break
    return _Container(parts, None)


def _balance(raw: bytes, element: re.Pattern[bytes]) -> bytes:
    """Return an object whose list has only elements that end."""
    matches = list(element.finditer(raw))
    end = _END.search(raw)
    if not matches or end is None:
        return raw
    elements = []
    for match in matches:
        whole = _scan(raw, match.start())
        first = _scan(raw, match.end())
        if whole.end is not None:
            elements.append(raw[match.start() : whole.end])
        elif first.end is not None:
            closing = b"}" * match.group().count(b"{")
            elements.append(raw[match.start() : first.end] + closing)
    return raw[: matches[0].start()] + b",".join(elements) + raw[end.start() :]


def _repair(raw: bytes, levels: int) -> bytes:
    for text in (raw, repair_json(raw)):
        if _is_valid(text):
            return text
    container = _scan(raw)
    if not levels or container.end is None or raw[container.end :].strip():
        return b"null"
    if raw.startswith(b"["):
        parts = [_repair(part, levels - 1) for part in container.parts]
        return b"[" + b",".join(parts) + b"]"
    members = [_repair_member(part, levels - 1) for part in container.parts]
    return b"{" + b",".join(member for member in members if member) + b"}"


def _repair_member(raw: bytes, levels: int) -> bytes:
    """Return a member of an object; nothing if its key cannot be read."""
    key = _TOKEN.match(raw)
    if key is None or len(key.group()) < len('""'):
        return b""
    _, _, value = raw[key.end() :].partition(b":")
    return repair_json(key.group()) + b":" + _repair(value.strip(), levels)


def _is_valid(raw: bytes) -> bool:
    try:
        decode_json(raw, msgspec.Raw)
    except msgspec.DecodeError:
        return False
    return True
