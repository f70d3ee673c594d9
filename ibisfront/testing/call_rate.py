"""Rate-limited call counters of the fake platform."""

from __future__ import annotations

from collections import deque

import msgspec

from ibisfront.core.clock import MILLISECONDS_PER_SECOND, Clock

__all__ = ["CallRate", "RateCount"]


class RateCount(msgspec.Struct):
    """Counts of one kind of call.

    Attributes
    ----------
    total : int
        Calls made, without those rejected by the rate limit.
    refused : int
        Calls rejected by the rate limit.
    per_second, peak_per_second : int
        Calls in the last second: current and peak.
    """

    total: int = 0
    refused: int = 0
    per_second: int = 0
    peak_per_second: int = 0


class CallRate:
    """Counts calls in the last second and since the start.

    Parameters
    ----------
    clock : Clock
        Time source.

    Attributes
    ----------
    count : RateCount
        The counts as of the last refresh.
    """

    __slots__ = ("_clock", "_times_ms", "count")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._times_ms: deque[float] = deque()
        self.count = RateCount()

    def refresh(self) -> RateCount:
        """Return the current counts."""
        oldest_ms = self._clock.now_ms() - MILLISECONDS_PER_SECOND
        while self._times_ms and self._times_ms[0] <= oldest_ms:
            self._times_ms.popleft()
        self.count.per_second = len(self._times_ms)
        return self.count

    def try_acquire(self, limit_per_s: int | None) -> bool:
        """Count one call; return False if it exceeds the limit."""
        count = self.refresh()
        if limit_per_s is not None and count.per_second >= limit_per_s:
            count.refused += 1
            return False
        self._times_ms.append(self._clock.now_ms())
        count.total += 1
        count.per_second += 1
        count.peak_per_second = max(count.peak_per_second, count.per_second)
        return True
