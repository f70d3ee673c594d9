"""Paired comparison of two sets of runs, by seed."""

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
    """Difference between two sets of runs of one pattern.

    Attributes
    ----------
    title : str
        Title of the pattern.
    pairs : int
        Number of seeds that both sets contain.
    before, after : float
        Mean worth of each set.
    low, high : float
        Bounds of the 95% confidence interval of the mean difference, by a bootstrap
        over the pairs.
    """

    title: str
    pairs: int
    before: float
    after: float
    low: float
    high: float

    @property
    def verdict(self) -> str:
        """Whether the difference is significant, and its direction."""
        if self.low > 0.0:
            return "better"
        return "worse" if self.high < 0.0 else "no difference seen"


def compare(
    before: Sequence[RunResult], after: Sequence[RunResult]
) -> list[Comparison]:
    """Return a comparison for each pattern with seeds in both sets.

    Raises
    ------
    PatternError
        If no pattern has a seed in both sets.
    """
    before_by_run = {(item.title, item.seed): item.worth for item in before}
    after_by_run = {(item.title, item.seed): item.worth for item in after}
    pairs = sorted(before_by_run.keys() & after_by_run.keys())
    if not pairs:
        raise PatternError("no pattern has a seed in both sets: run the same seeds")
    comparisons = []
    for title in sorted({title for title, _ in pairs}):
        keys = [key for key in pairs if key[0] == title]
        before_worths = np.array([before_by_run[key] for key in keys])
        after_worths = np.array([after_by_run[key] for key in keys])
        low, high = _bootstrap_interval(after_worths - before_worths)
        comparisons.append(
            Comparison(
                title=title,
                pairs=len(keys),
                before=round(float(before_worths.mean()), 4),
                after=round(float(after_worths.mean()), 4),
                low=round(low, 4),
                high=round(high, 4),
            )
        )
    return comparisons


def _bootstrap_interval(differences: np.ndarray) -> tuple[float, float]:
    """Return the bootstrap interval of a mean; the fixed seed makes it reproducible."""
    random = np.random.default_rng(0)
    size = (_RESAMPLES, len(differences))
    means = random.choice(differences, size=size, replace=True).mean(axis=1)
    tail = (1.0 - _CONFIDENCE) / 2.0
    low, high = np.quantile(means, [tail, 1.0 - tail])
    return float(low), float(high)
