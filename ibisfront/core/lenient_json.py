"""Reading JSON that others have written badly."""

from __future__ import annotations

import json

__all__ = ["UNREADABLE", "made_proper"]

UNREADABLE = "\ufffd"
"""The character that stands where a text could not be read."""


def made_proper(raw: bytes) -> bytes:
    """Return JSON in which only what cannot be read has changed.

    Numbers that JSON does not have become ``null``; bytes in no encoding and
    lone surrogates become :data:`UNREADABLE`. What is no JSON at all is
    returned as it is.
    """
    text = raw.decode("utf-8", "replace")
    try:
        found = json.loads(text, strict=False, parse_constant=lambda name: None)
    except ValueError:
        # The strict decoder, which has the next turn, says what is wrong.
        return raw
    proper = json.dumps(found, ensure_ascii=False)
    return proper.encode("utf-16", "surrogatepass").decode("utf-16", "replace").encode()
