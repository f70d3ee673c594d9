"""A token bucket whose rate may change at any time."""

from __future__ import annotations

import math

from ibisfront.core.clock import MILLISECONDS_PER_SECOND

__all__ = ["TokenBucket"]

_BURST_MS = 50.0


class TokenBucket:
    """Lets requests start at a rate, with a small burst.

    It holds one token at first, so that the first request of an idle row goes
    at once. A rate of zero freezes what is left, so that shares which come and
    go earn no second burst: over any time, an instance starts no more than its
    rate gives, and one burst.
    """

    __slots__ = ("_filled_at_ms", "_rate_per_ms", "_tokens")

    def __init__(self) -> None:
        self._rate_per_ms = 0.0
        self._tokens = 1.0
        self._filled_at_ms = 0.0

    def set_rate(self, rate_per_s: float, *, now_ms: float) -> None:
        """Change the rate from now on."""
        self._fill(now_ms)
        self._rate_per_ms = rate_per_s / MILLISECONDS_PER_SECOND
        self._tokens = min(self._tokens, self._burst)

    def take(self, *, now_ms: float) -> bool:
        """Take one token; return whether there was one."""
        self._fill(now_ms)
        if self._tokens < 1.0 or self._rate_per_ms <= 0.0:
            return False
        self._tokens -= 1.0
        return True

    def wait_ms(self, tokens: int = 1) -> float:
        """Return how long until so many tokens are there at this rate."""
        if self._rate_per_ms <= 0.0:
            return math.inf
        return max(0.0, tokens - self._tokens) / self._rate_per_ms

    @property
    def _burst(self) -> float:
        return max(1.0, self._rate_per_ms * _BURST_MS)

    def _fill(self, now_ms: float) -> None:
        earned = (now_ms - self._filled_at_ms) * self._rate_per_ms
        self._tokens = min(self._tokens + earned, self._burst)
        self._filled_at_ms = now_ms
