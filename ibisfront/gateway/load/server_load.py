"""Load that a backend server reports."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["ServerLoad", "parse_reported_load"]

_MAX_DIGITS = 6
"""Longer numbers are rejected as malformed."""

_PERCENT = 100.0


class ServerLoad(msgspec.Struct, frozen=True):
    """A server's load when it sent a reply.

    Attributes
    ----------
    running, waiting : int
        Requests being processed, and requests waiting for a slot.
    slots : int
        Number of requests that it processes concurrently.
    work_factor : float or None
        Duration of work as a multiple of the normal one; None if not reported.
    """

    running: int
    waiting: int
    slots: int
    work_factor: float | None = None


def parse_reported_load(texts: Sequence[bytes]) -> ServerLoad | None:
    """Parse a reported load; return None if it is malformed.

    Parameters
    ----------
    texts : sequence of bytes
        Running, waiting, slots, and optionally the duration of work in percent.
    """
    if not 3 <= len(texts) <= 4:
        return None
    numbers: list[int] = []
    for text in texts:
        digits = text.strip()
        if not digits.isdigit() or len(digits) > _MAX_DIGITS:
            return None
        numbers.append(int(digits))
    running, waiting, slots, *percent = numbers
    if not slots:
        return None
    factor = percent[0] / _PERCENT if percent and percent[0] else None
    return ServerLoad(running, waiting, slots, factor)
