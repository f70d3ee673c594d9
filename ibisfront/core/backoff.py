"""Waits between attempts: exponential, bounded and with full jitter."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

__all__ = ["Backoff"]


class Backoff:
    """The waits of one series of attempts.

    Each wait is drawn evenly from zero up to a bound that doubles, so that
    instances that failed at the same moment do not come back together.

    Parameters
    ----------
    first_ms, maximum_ms : float
        The first bound and the largest.
    random : random.Random
        Where the waits are drawn from.
    """

    __slots__ = ("_bound_ms", "_first_ms", "_maximum_ms", "_random")

    def __init__(self, *, first_ms: float, maximum_ms: float, random: Random) -> None:
        self._first_ms = first_ms
        self._maximum_ms = maximum_ms
        self._random = random
        self._bound_ms = first_ms

    def next_ms(self) -> float:
        """Return the wait before the next attempt, in milliseconds."""
        wait_ms = self._random.uniform(0.0, self._bound_ms)
        self._bound_ms = min(self._bound_ms * 2, self._maximum_ms)
        return wait_ms

    def reset(self) -> None:
        """Start over after a success."""
        self._bound_ms = self._first_ms
