"""Repair of malformed JSON from other writers."""

from __future__ import annotations

import json
import math

__all__ = ["REPLACEMENT_CHARACTER", "repair_json"]

REPLACEMENT_CHARACTER = "\ufffd"
"""Unicode replacement character, which marks undecodable text."""

_MAX_DIGITS = 300
"""A longer integer is beyond the range of a double, as decoders of JSON use it."""


def repair_json(raw: bytes) -> bytes:
    """Return JSON with only its invalid parts replaced.

    Numbers that JSON does not allow, or beyond the range of a double, become
    ``null``; undecodable bytes and lone surrogates become
    :data:`REPLACEMENT_CHARACTER`. Input that cannot be parsed is returned unchanged.
    """
    text = raw.decode("utf-8", "replace")
    try:
        value = json.loads(
            text,
            strict=False,
            parse_constant=lambda name: None,
            parse_float=_finite_or_none,
            parse_int=_integer_or_none,
        )
        fixed = json.dumps(value, ensure_ascii=False)
    except (ValueError, RecursionError):
        # The strict decoder that runs next reports the error.
        return raw
    return fixed.encode("utf-16", "surrogatepass").decode("utf-16", "replace").encode()


def _finite_or_none(text: str) -> float | None:
    value = float(text)
    return value if math.isfinite(value) else None


def _integer_or_none(text: str) -> int | None:
    return int(text) if len(text) <= _MAX_DIGITS else None
