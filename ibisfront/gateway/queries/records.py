"""Records of a gathered query: putting the parts together."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["RECORD_BYTES", "top_records"]

RECORD_BYTES = 16
"""Size of a record in bytes, by the format of a part; a shorter rest of
a part is none."""


def top_records(bodies: Sequence[bytes], count: int) -> bytes:
    """Return the greatest records of some parts, greatest first.

    Parameters
    ----------
    bodies : sequence of bytes
        Records of :data:`RECORD_BYTES` in no order; a shorter rest is none.
    count : int
        How many records to return at most.
    """
    records: list[bytes] = []
    for body in bodies:
        end = len(body) - RECORD_BYTES + 1
        records += [
            body[start : start + RECORD_BYTES] for start in range(0, end, RECORD_BYTES)
        ]
    records.sort(reverse=True)
    return b"".join(records[:count])
