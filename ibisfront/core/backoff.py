"""Exponential backoff with a maximum and full jitter."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

__all__ = ["Backoff"]


class Backoff:
    """The delays of one series of attempts.

    Each delay is drawn uniformly between zero and a bound that doubles, so that
    instances that failed at the same time do not retry in lockstep.

    Parameters
    ----------
    first_ms, maximum_ms : float
        The initial and the maximum bound.
    random : random.Random
        Source of randomness.
    """

    __slots__ = ("_bound_ms", "_first_ms", "_maximum_ms", "_random")

    def __init__(self, *, first_ms: float, maximum_ms: float, random: Random) -> None:
        self._first_ms = first_ms
        self._maximum_ms = maximum_ms
        self._random = random
        self._bound_ms = first_ms

    def next_ms(self) -> float:
        """Return the delay before the next attempt, in milliseconds."""
        delay_ms = self._random.uniform(0.0, self._bound_ms)
        self._bound_ms = min(self._bound_ms * 2, self._maximum_ms)
        return delay_ms

    def reset(self) -> None:
        """Reset the bound after a success."""
        self._bound_ms = self._first_ms
