"""Comparing two sets of runs, seed by seed."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import numpy as np

from ibisfront.lab.pattern import PatternError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ibisfront.lab.results import RunResult

__all__ = ["Comparison", "compare"]

_RESAMPLES = 4_000
_CONFIDENCE = 0.95


class Comparison(msgspec.Struct, frozen=True):
    """How far two sets of runs of one pattern differ.

    Attributes
    ----------
    title : str
        The pattern's.
    pairs : int
        How many seeds both have.
    before, after : float
        Mean worth of each.
    low, high : float
        Between which the mean difference lies with 95% confidence, by a bootstrap over
        the pairs.
    """

    title: str
    pairs: int
    before: float
    after: float
    low: float
    high: float

    @property
    def verdict(self) -> str:
        """What may be said of the difference."""
        if self.low > 0.0:
            return "better"
        return "worse" if self.high < 0.0 else "no difference seen"


def compare(
    before: Sequence[RunResult], after: Sequence[RunResult]
) -> list[Comparison]:
    """Return a comparison for each pattern that both have runs of.

    Raises
    ------
    PatternError
        If no seed of any pattern stands in both.
    """
    old = {(item.title, item.seed): item.worth for item in before}
    new = {(item.title, item.seed): item.worth for item in after}
    pairs = sorted(old.keys() & new.keys())
    if not pairs:
        raise PatternError("no pattern has a seed in both: run the same seeds")
    found = []
    for title in sorted({title for title, _ in pairs}):
        keys = [key for key in pairs if key[0] == title]
        first = np.array([old[key] for key in keys])
        second = np.array([new[key] for key in keys])
        low, high = _interval(second - first)
        found.append(
            Comparison(
                title=title,
                pairs=len(keys),
                before=round(float(first.mean()), 4),
                after=round(float(second.mean()), 4),
                low=round(low, 4),
                high=round(high, 4),
            )
        )
    return found


def _interval(differences: np.ndarray) -> tuple[float, float]:
    """Return the bootstrap interval of a mean; a fixed seed makes it repeat."""
    random = np.random.default_rng(0)
    size = (_RESAMPLES, len(differences))
    drawn = random.choice(differences, size=size, replace=True).mean(axis=1)
    rest = (1.0 - _CONFIDENCE) / 2.0
    low, high = np.quantile(drawn, [rest, 1.0 - rest])
    return float(low), float(high)
