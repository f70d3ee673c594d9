"""Which invalid objects of the store were reported."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ibisfront.gateway.state.store import StoredObject

__all__ = ["InvalidObjects"]

_MAX_REPORTED = 1_000
"""Objects whose last report is kept; a thousand names take 0.1 MB."""


class InvalidObjects:
    """Lets each invalid object be reported once per change, as each list repeats it."""

    __slots__ = ("_reported",)

    def __init__(self) -> None:
        self._reported: dict[str, int] = {}

    def add(self, item: StoredObject) -> bool:
        """Add an invalid object; return whether it was not reported yet."""
        if self._reported.get(item.name) == item.revision:
            return False
        self._reported.pop(item.name, None)
        self._reported[item.name] = item.revision
        if len(self._reported) > _MAX_REPORTED:
            del self._reported[next(iter(self._reported))]
        return True
