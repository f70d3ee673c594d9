"""Splitting of JSON containers into their parts, without decoding these.

One part that no decoder accepts does not affect the others.
"""

from __future__ import annotations

import re

import msgspec

__all__ = ["Container", "scan_container", "scan_object"]

_TOKEN = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"|["\[\]{},]', re.DOTALL)
"""A string, or a character that delimits parts. A quote on its own begins a string
that does not end."""

_KEY = re.compile(rb'\s*"(\w+)"\s*:\s*')
_OPENING = b"[{"
_CLOSING = {b"]": b"["[0], b"}": b"{"[0]}


class Container(msgspec.Struct, frozen=True):
    """An array or object.

    Attributes
    ----------
    parts : list of bytes
        The elements of an array, or the members of an object with their keys.
    end : int or None
        Where it ends; None if its brackets or quotes are not balanced, and its last
        part is therefore unknown.
    """

    parts: list[bytes]
    end: int | None


def scan_container(data: bytes, start: int = 0) -> Container:
    """Split the array or object that begins at an offset.

    Iterative, so that the depth of nesting is not limited.
    """
    parts: list[bytes] = []
    opened = bytearray()
    part_start = start
    for match in _TOKEN.finditer(data, start):
        token = match.group()
        if token in _OPENING:
            opened += token
            if len(opened) == 1:
                part_start = match.end()
        elif token in _CLOSING:
            if not opened or opened.pop() != _CLOSING[token]:
                break
            if not opened:
                last = data[part_start : match.start()].strip()
                return Container([*parts, last] if last else parts, match.end())
        elif token == b",":
            if len(opened) == 1:
                parts.append(data[part_start : match.start()].strip())
                part_start = match.end()
        elif token == b'"':
            break
    return Container(parts, None)


def scan_object(container: Container) -> dict[str, bytes]:
    """Return the values of an object's members by key, undecoded.

    Of duplicate keys the last one counts, as for a decoder.
    """
    members = {}
    for part in container.parts:
        match = _KEY.match(part)
        if match is not None:
            members[match[1].decode()] = part[match.end() :]
    return members
