"""Counts calls against a rate, for the platform's stand-in."""

from __future__ import annotations

from collections import deque

import msgspec

from ibisfront.core.clock import MILLISECONDS_PER_SECOND, Clock

__all__ = ["CallRate", "RateCount"]


class RateCount(msgspec.Struct):
    """The calls of one sort.

    Attributes
    ----------
    total : int
        The calls carried out or tried, without the refused ones.
    refused : int
        The calls refused for being over the rate.
    per_second, peak_per_second : int
        The calls of the last second, now and at most.
    """

    total: int = 0
    refused: int = 0
    per_second: int = 0
    peak_per_second: int = 0


class CallRate:
    """Counts the calls of the last second and since the start.

    Parameters
    ----------
    clock : Clock
        Tells the time.

    Attributes
    ----------
    count : RateCount
        The calls, as of the last look.
    """

    __slots__ = ("_clock", "_times_ms", "count")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._times_ms: deque[float] = deque()
        self.count = RateCount()

    def refresh(self) -> RateCount:
        """Return the count as of now."""
        oldest_ms = self._clock.now_ms() - MILLISECONDS_PER_SECOND
        while self._times_ms and self._times_ms[0] <= oldest_ms:
            self._times_ms.popleft()
        self.count.per_second = len(self._times_ms)
        return self.count

    def take(self, limit: int | None) -> bool:
        """Count one call; return False if it is over the limit."""
        count = self.refresh()
        if limit is not None and count.per_second >= limit:
            count.refused += 1
            return False
        self._times_ms.append(self._clock.now_ms())
        count.total += 1
        count.per_second += 1
        count.peak_per_second = max(count.peak_per_second, count.per_second)
        return True
