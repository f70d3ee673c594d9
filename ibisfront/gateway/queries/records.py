"""Merging of the records in the parts of a query."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["RECORD_BYTES", "top_records"]

RECORD_BYTES = 16
"""Size of a record in a part, in bytes; a shorter remainder is ignored."""


def top_records(bodies: Sequence[bytes], count: int) -> bytes:
    """Return the greatest records of all parts, in descending order.

    Parameters
    ----------
    bodies : sequence of bytes
        Records of :data:`RECORD_BYTES` in any order; a shorter remainder is ignored.
    count : int
        Maximum number of records.
    """
    records: list[bytes] = []
    for body in bodies:
        end = len(body) - RECORD_BYTES + 1
        records += [
            body[start : start + RECORD_BYTES] for start in range(0, end, RECORD_BYTES)
        ]
    records.sort(reverse=True)
    return b"".join(records[:count])
