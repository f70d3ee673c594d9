"""What a backend server says of its load."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["ServerLoad", "parse_reported_load"]

_MOST_DIGITS = 6
"""Longer figures are not believed."""

_PERCENT = 100.0


class ServerLoad(msgspec.Struct, frozen=True):
    """A server's load when it wrote a reply.

    Attributes
    ----------
    running, waiting : int
        Requests that it works on, and that wait for a slot.
    slots : int
        How many it runs at once.
    work_factor : float or None
        How long work takes there, as a multiple of what is usual; None if not said.
    """

    running: int
    waiting: int
    slots: int
    work_factor: float | None = None


def parse_reported_load(texts: Sequence[bytes]) -> ServerLoad | None:
    """Return a load from its figures; None if they cannot be.

    Parameters
    ----------
    texts : sequence of bytes
        Running, waiting, slots, and perhaps the time that work takes in percent.
    """
    if not 3 <= len(texts) <= 4:
        return None
    figures: list[int] = []
    for text in texts:
        digits = text.strip()
        if not digits.isdigit() or len(digits) > _MOST_DIGITS:
            return None
        figures.append(int(digits))
    running, waiting, slots, *percent = figures
    if not slots:
        return None
    factor = percent[0] / _PERCENT if percent and percent[0] else None
    return ServerLoad(running, waiting, slots, factor)
