"""Regression bounds on ratios within one run and on counts, never on times."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Sequence

    from benchmarks.figures import Figures
    from benchmarks.runner import Run

__all__ = ["BOUNDS_PATH", "Bound", "read_bounds", "violated_bounds"]

BOUNDS_PATH = Path(__file__).with_name("bounds.toml")
_OURS = "ours"
_HEALTHY = "healthy"
_ANY_SCENARIO = "*"


class Bound(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One bound on our policy.

    Attributes
    ----------
    scenario : str
        Scenario it applies to; ``*`` for every scenario.
    figure : str
        A field of ``Figures``.
    minimum, maximum : float, optional
        Inclusive range of the figure.
    relative_to_healthy : bool
        Whether the figure is divided by that of the healthy run of the same user
        and policy.
    """

    scenario: str
    figure: str
    minimum: float | None = None
    maximum: float | None = None
    relative_to_healthy: bool = False


class _BoundsFile(msgspec.Struct, forbid_unknown_fields=True):
    bounds: list[Bound]


def read_bounds(path: Path = BOUNDS_PATH) -> list[Bound]:
    """Return the bounds in a file."""
    return msgspec.convert(tomllib.loads(path.read_text()), _BoundsFile).bounds


def violated_bounds(runs: Sequence[Run], bounds: Sequence[Bound]) -> list[str]:
    """Return a line for each bound that a run of our policy violates."""
    ours = [run for run in runs if run.policy == _OURS]
    return [
        line
        for run in ours
        for bound in bounds
        if bound.scenario in (_ANY_SCENARIO, run.scenario)
        for line in _violations(run, bound, ours)
    ]


def _violations(run: Run, bound: Bound, runs: Sequence[Run]) -> list[str]:
    value = _figure(run.figures, bound.figure)
    if bound.relative_to_healthy:
        healthy = _healthy_of(run, runs)
        if healthy is None:
            return []
        value /= max(_figure(healthy.figures, bound.figure), 1e-9)
    label = f"{run.user}, {run.scenario}: {bound.figure} = {value:.4g}"
    lines = []
    if bound.minimum is not None and value < bound.minimum:
        lines.append(f"{label} is below {bound.minimum}")
    if bound.maximum is not None and value > bound.maximum:
        lines.append(f"{label} is above {bound.maximum}")
    return lines


def _figure(figures: Figures, name: str) -> float:
    return float(getattr(figures, name))


def _healthy_of(run: Run, runs: Sequence[Run]) -> Run | None:
    matching = (
        other for other in runs if other.user == run.user and other.scenario == _HEALTHY
    )
    return next(matching, None)
