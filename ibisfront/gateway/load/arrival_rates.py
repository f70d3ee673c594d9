"""Rates at which requests of each rank arrive where room is scarce."""

from __future__ import annotations

import math

__all__ = ["ArrivalRates"]

_RATE_WINDOW_MS = 500.0
"""Time constant of the rate of arrivals: some waits long, short against a burst."""

_MAX_PREEMPTED_SHARE = 0.9
"""Largest share of the room that later, more urgent requests are expected to take."""


class _ArrivalRate:
    """Smoothed rate of arrivals."""

    __slots__ = ("_at_ms", "_value")

    def __init__(self) -> None:
        self._value = 0.0
        self._at_ms = -math.inf

    def record(self, now_ms: float) -> None:
        self._value = self.per_ms(now_ms) * _RATE_WINDOW_MS + 1.0
        self._at_ms = now_ms

    def per_ms(self, now_ms: float) -> float:
        decay = math.exp(-(now_ms - self._at_ms) / _RATE_WINDOW_MS)
        return self._value * decay / _RATE_WINDOW_MS


class ArrivalRates:
    """Rates of arrival by rank."""

    __slots__ = ("_by_rank",)

    def __init__(self) -> None:
        self._by_rank: dict[int, _ArrivalRate] = {}

    def record(self, rank: int, now_ms: float) -> None:
        """Record an arrival."""
        self._by_rank.setdefault(rank, _ArrivalRate()).record(now_ms)

    def share_taken(
        self, rank: int, *, interval_ms: float, is_on_time: bool, now_ms: float
    ) -> float:
        """Return the share of the room that later arrivals take before a request.

        Parameters
        ----------
        rank : int
            Its rank.
        interval_ms : float
            Time between two starts.
        is_on_time : bool
            Whether it can meet its objective; otherwise those of its own rank that
            can go first too.
        now_ms : float
            The time.
        """
        rate_per_ms = sum(
            rate.per_ms(now_ms)
            for other, rate in self._by_rank.items()
            if other < rank or (other == rank and not is_on_time)
        )
        return min(rate_per_ms * interval_ms, _MAX_PREEMPTED_SHARE)
