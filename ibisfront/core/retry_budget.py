"""Budgets that limit extra attempts to a fraction of the primary ones."""

from __future__ import annotations

__all__ = ["RetryBudget"]


class RetryBudget:
    """A token bucket filled by primary attempts and drained by extra ones.

    Over any period the number of extra attempts is at most ``ratio`` times
    the number of primary attempts plus ``burst``, so that retries do not
    double the load of a service that fails completely.

    Parameters
    ----------
    ratio : float
        Extra attempts allowed per primary attempt.
    burst : float
        Maximum balance: extra attempts allowed at once after an idle period.
    """

    __slots__ = ("_balance", "_burst", "_ratio")

    def __init__(self, *, ratio: float, burst: float) -> None:
        self._ratio = ratio
        self._burst = burst
        self._balance = burst

    @property
    def balance(self) -> float:
        """The number of extra attempts currently allowed."""
        return self._balance

    def deposit(self) -> None:
        """Record one primary attempt."""
        self._balance = min(self._burst, self._balance + self._ratio)

    def try_withdraw(self) -> bool:
        """Withdraw one extra attempt; return False if the balance is too low."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
