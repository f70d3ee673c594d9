"""Budgets that keep extra sub-requests to a share of the first ones."""

from __future__ import annotations

__all__ = ["RetryBudget"]


class RetryBudget:
    """A token bucket filled by first attempts and emptied by extra ones.

    Over any stretch of work the extra attempts number at most ``share`` of
    the first attempts plus ``burst``, so that a service that fails altogether
    is not asked twice as often just when it can do least.

    Parameters
    ----------
    share : float
        How many extra attempts one first attempt allows; 0.1 is one in ten.
    burst : float
        How many may come at once after a quiet time.
    """

    __slots__ = ("_burst", "_share", "_tokens")

    def __init__(self, *, share: float, burst: float) -> None:
        self._share = share
        self._burst = burst
        self._tokens = burst

    @property
    def tokens(self) -> float:
        """How many extra attempts are allowed now."""
        return self._tokens

    def earn(self) -> None:
        """Note one first attempt."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def try_spend(self) -> bool:
        """Take one extra attempt; return False if none is left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
