"""Idempotency keys: UUIDs of version 7, which start with a timestamp."""

from __future__ import annotations

import re
import uuid

import msgspec

from ibisfront.core.errors import ErrorKind, IbisfrontError, Ran

__all__ = [
    "KEY_LIFETIME_MS",
    "MAXIMUM_KEY_SKEW_MS",
    "IdempotencyKey",
    "check_key_time",
    "key_expired_error",
    "make_key",
    "parse_key",
]

KEY_LIFETIME_MS = 3_600_000
"""How long after its timestamp a key is accepted and its outcome stored."""

MAXIMUM_KEY_SKEW_MS = 60_000
"""How far a key's timestamp may be ahead of this instance's clock."""

_PATTERN = re.compile(r"[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}")
_VERSION = 7
_TIME_SHIFT = 80
_RANDOM_BITS = 74
_LOW_BITS = 62


class IdempotencyKey(msgspec.Struct, frozen=True):
    """A validated key.

    Attributes
    ----------
    text : str
        Its canonical form, in lower case.
    time_ms : int
        Its timestamp, in milliseconds since 1970.
    """

    text: str
    time_ms: int


def parse_key(text: str) -> IdempotencyKey:
    """Return the key that a caller sent.

    Raises
    ------
    IbisfrontError
        ``key_invalid``.
    """
    canonical = text.strip().lower()
    if _PATTERN.fullmatch(canonical):
        parsed = uuid.UUID(canonical)
        if parsed.version == _VERSION:
            return IdempotencyKey(canonical, parsed.int >> _TIME_SHIFT)
    raise IbisfrontError(
        ErrorKind.KEY_INVALID,
        f"{text!r} is not a UUID of version 7: generate a new one",
    )


def check_key_time(key: IdempotencyKey, *, wall_ms: float) -> None:
    """Reject a key that is too old, or ahead of this instance's clock.

    The at-most-once guarantee does not rest on this check, since clocks differ:
    the ledger itself rejects a key that is older than its records.

    Raises
    ------
    IbisfrontError
        ``key_expired`` or ``key_invalid``.
    """
    if key.time_ms > wall_ms + MAXIMUM_KEY_SKEW_MS:
        raise IbisfrontError(
            ErrorKind.KEY_INVALID,
            f"the timestamp in {key.text} is {key.time_ms - wall_ms:.0f} ms ahead:"
            " correct the caller's clock",
        )
    if key.time_ms < wall_ms - KEY_LIFETIME_MS:
        raise key_expired_error(key)


def key_expired_error(key: IdempotencyKey) -> IbisfrontError:
    """Return the error for a key older than the ledger's records.

    This copy does not run. Whether an earlier one did is no longer known, and
    a caller that read "no" as valid for the whole key would send the work again
    under a new one; so the answer is "maybe".
    """
    return IbisfrontError(
        ErrorKind.KEY_EXPIRED,
        f"{key.text} is older than {KEY_LIFETIME_MS} ms; this copy does not run, and"
        " the outcome of an earlier one is no longer stored",
        ran=Ran.MAYBE,
    )


def make_key(*, wall_ms: float, random_bits: int) -> str:
    """Return a new key.

    Parameters
    ----------
    wall_ms : float
        Its timestamp, in milliseconds since 1970.
    random_bits : int
        74 random bits, such as ``secrets.randbits(74)``.
    """
    bits = random_bits & ((1 << _RANDOM_BITS) - 1)
    high, low = bits >> _LOW_BITS, bits & ((1 << _LOW_BITS) - 1)
    number = (int(wall_ms) << _TIME_SHIFT) | (_VERSION << 76) | (high << 64)
    return str(uuid.UUID(int=number | (0b10 << 62) | low))
