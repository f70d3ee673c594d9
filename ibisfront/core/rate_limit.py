"""Token bucket whose rate may change at any time."""

from __future__ import annotations

import math

from ibisfront.core.clock import MILLISECONDS_PER_SECOND

__all__ = ["TokenBucket"]

_BURST_MS = 50.0


class TokenBucket:
    """Token bucket with a small burst.

    It starts with one token, so that the first request of an idle row starts
    immediately. A rate of zero keeps the remaining tokens without adding any, so a
    share that is repeatedly granted and withdrawn yields no second burst: over any
    period, an instance starts at most what its rate allows plus one burst.
    """

    __slots__ = ("_rate_per_ms", "_refilled_at_ms", "_tokens")

    def __init__(self) -> None:
        self._rate_per_ms = 0.0
        self._tokens = 1.0
        self._refilled_at_ms = 0.0

    def set_rate(self, rate_per_s: float, *, now_ms: float) -> None:
        """Change the rate from now on."""
        self._refill(now_ms)
        self._rate_per_ms = rate_per_s / MILLISECONDS_PER_SECOND
        self._tokens = min(self._tokens, self._burst)

    def take(self, *, now_ms: float) -> bool:
        """Take one token if available; return whether one was taken."""
        self._refill(now_ms)
        if self._tokens < 1.0 or self._rate_per_ms <= 0.0:
            return False
        self._tokens -= 1.0
        return True

    def wait_ms(self, tokens: int = 1) -> float:
        """Return the time until `tokens` are available; infinite at a rate of zero."""
        if self._rate_per_ms <= 0.0:
            return math.inf
        return max(0.0, tokens - self._tokens) / self._rate_per_ms

    @property
    def _burst(self) -> float:
        return max(1.0, self._rate_per_ms * _BURST_MS)

    def _refill(self, now_ms: float) -> None:
        added = (now_ms - self._refilled_at_ms) * self._rate_per_ms
        self._tokens = min(self._tokens + added, self._burst)
        self._refilled_at_ms = now_ms
