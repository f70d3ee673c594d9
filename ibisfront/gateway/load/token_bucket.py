"""Token bucket with a burst of one second."""

from __future__ import annotations

from ibisfront.core.clock import MILLISECONDS_PER_SECOND

__all__ = ["TokenBucket"]


class TokenBucket:
    """Grants a number of events a second.

    Parameters
    ----------
    rate_per_s : float
        Events a second, and the most that are granted at once.
    now_ms : float
        The time; the bucket is full.
    """

    __slots__ = ("_at_ms", "_rate_per_s", "_tokens")

    def __init__(self, rate_per_s: float, now_ms: float) -> None:
        self._rate_per_s = rate_per_s
        self._tokens = rate_per_s
        self._at_ms = now_ms

    def try_spend(self, now_ms: float) -> bool:
        """Return whether an event is granted."""
        refill = (now_ms - self._at_ms) / MILLISECONDS_PER_SECOND * self._rate_per_s
        self._tokens = min(self._tokens + refill, self._rate_per_s)
        self._at_ms = now_ms
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
