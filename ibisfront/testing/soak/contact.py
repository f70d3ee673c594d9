"""Which front processes were in touch at a time."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ibisfront.core.clock import Clock

__all__ = ["Troubles"]


class _Trouble(msgspec.Struct, frozen=True):
    """A time span in which a fault affected one front, or all if it names none."""

    front: str
    from_ms: float
    until_ms: float


class Troubles:
    """Faults of front processes, of their paths and of the store.

    A front is in touch when the whole contact bound before was free of them.

    Parameters
    ----------
    contact_ms : float
        The contact bound.
    """

    def __init__(self, *, contact_ms: float) -> None:
        self._contact_ms = contact_ms
        self._all: list[_Trouble] = []

    def add(self, from_ms: float, until_ms: float, *, front: str = "") -> None:
        """Record a fault of one front, by its name, or of the store."""
        self._all.append(_Trouble(front, from_ms, until_ms))

    @contextmanager
    def recording(self, clock: Clock, *, front: str = "") -> Iterator[None]:
        """Record a fault that lasts while the context is open."""
        from_ms = clock.now_ms()
        try:
            yield
        finally:
            self.add(from_ms, clock.now_ms(), front=front)

    def in_touch(self, front: str, at_ms: float) -> bool:
        """Return whether a front was in touch."""
        return self.in_touch_from(front, at_ms) == at_ms

    def in_touch_from(self, front: str, from_ms: float) -> float:
        """Return the first time, not before another, at which a front was in touch."""
        at_ms = from_ms
        for trouble in sorted(self._all, key=lambda item: item.from_ms):
            if trouble.front not in ("", front) or trouble.from_ms > at_ms:
                continue
            at_ms = max(at_ms, trouble.until_ms + self._contact_ms)
        return at_ms
