"""Repair of a JSON list whose elements come from several writers.

An element that no decoder accepts does not affect the others.
"""

from __future__ import annotations

import re

import msgspec

from ibisfront.core.decoding import decode_json
from ibisfront.core.lenient_json import repair_json

__all__ = ["repair_elements"]

_TOKEN = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"|["\[\]{}]', re.DOTALL)
"""A string, or a character that begins or ends a container. A quote on its own begins
a string that does not end."""

_CLOSING = {b"[": b"]", b"{": b"}"}
_END = re.compile(rb'\]\s*(?:,\s*"\w+"\s*:\s*\w+\s*)*\}\s*\Z')
"""The end of a list in an object, with members behind it that are no containers."""


def repair_elements(raw: bytes, element: re.Pattern[bytes]) -> bytes:
    """Return an object with a list in which each element is valid JSON.

    Elements are found by their beginnings, since the brackets and quotes of an invalid
    one may not balance. Of an element that cannot be repaired, the part that states
    which one it is remains.

    Parameters
    ----------
    raw : bytes
        The object. If it has no such list, it is returned unchanged.
    element : re.Pattern
        Matches the beginning of an element, up to the container that states which
        one it is.
    """
    matches = list(element.finditer(raw))
    end = _END.search(raw)
    if not matches or end is None:
        return raw
    elements: list[bytes] = []
    read_until = 0
    for match in matches:
        if match.start() < read_until:
            # A part of the element before.
            continue
        element_end = _container_end(raw, match.start())
        item = None if element_end is None else _valid(raw[match.start() : element_end])
        if item is None:
            item = _identity(raw, match)
        elif element_end is not None:
            read_until = element_end
        if item is not None:
            elements.append(item)
    return raw[: matches[0].start()] + b",".join(elements) + raw[end.start() :]


def _container_end(data: bytes, start: int) -> int | None:
    """Return where the container at an offset ends; None if it does not.

    Iterative, since nesting may be deeper than a decoder accepts.
    """
    expected = bytearray()
    for match in _TOKEN.finditer(data, start):
        token = match.group()
        if token in _CLOSING:
            expected += _CLOSING[token]
        elif token in b"]}":
            if not expected or expected.pop() != token[0]:
                return None
            if not expected:
                return match.end()
        elif token == b'"':
            return None
    return None


def _identity(raw: bytes, match: re.Match[bytes]) -> bytes | None:
    """Return an element with only the container that states which one it is."""
    end = _container_end(raw, match.end())
    container = None if end is None else _valid(raw[match.end() : end])
    if container is None:
        return None
    return match.group() + container + b"}" * match.group().count(b"{")


def _valid(raw: bytes) -> bytes | None:
    """Return JSON, repaired if necessary; None if it cannot be."""
    for text in (raw, repair_json(raw)):
        try:
            decode_json(text, msgspec.Raw)
        except msgspec.DecodeError:
            continue
        return text
    return None
