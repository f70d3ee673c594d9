"""Repair of malformed JSON from other writers."""

from __future__ import annotations

import json

__all__ = ["REPLACEMENT_CHARACTER", "repair_json"]

REPLACEMENT_CHARACTER = "\ufffd"
"""Unicode replacement character, which marks undecodable text."""


def repair_json(raw: bytes) -> bytes:
    """Return JSON with only its invalid parts replaced.

    Numbers that JSON does not allow become ``null``; undecodable bytes and lone
    surrogates become :data:`REPLACEMENT_CHARACTER`. Input that cannot be parsed
    is returned unchanged.
    """
    text = raw.decode("utf-8", "replace")
    try:
        value = json.loads(text, strict=False, parse_constant=lambda name: None)
    except ValueError:
        # The strict decoder that runs next reports the error.
        return raw
    fixed = json.dumps(value, ensure_ascii=False)
    return fixed.encode("utf-16", "surrogatepass").decode("utf-16", "replace").encode()
