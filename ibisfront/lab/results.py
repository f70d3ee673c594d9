"""What came of a run."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum

import msgspec
from hdrh.histogram import HdrHistogram

__all__ = ["Outcome", "QueryFigures", "Recorder", "RunResult", "SecondFigures"]

_HIGHEST_US = 60_000_000
_DIGITS = 3


class Outcome(StrEnum):
    """What came of a caller's query, its further tries included."""

    IN_TIME = "in_time"
    LATE = "late"
    REFUSED = "refused"
    UNSERVED = "unserved"
    LEFT = "left"


class QueryFigures(msgspec.Struct, frozen=True):
    """What came of one kind of query.

    Attributes
    ----------
    outcomes : dict
        How many callers had which outcome.
    worth : float
        What was earned, as a share of what was owed; parts count by their square.
    p50_ms, p99_ms : float
        Latencies of answers, from the caller's first try.
    """

    outcomes: dict[str, int]
    worth: float
    p50_ms: float
    p99_ms: float


class SecondFigures(msgspec.Struct, frozen=True):
    """How many callers that came in a second had which outcome."""

    second: int
    outcomes: dict[str, int]


class RunResult(msgspec.Struct, frozen=True):
    """One run.

    Attributes
    ----------
    title : str
        The pattern's.
    seed : int
        The run's.
    worth : float
        What was earned, as a share of what was owed.
    unserved : float
        The share of callers that were not served, refused ones included.
    extra : float
        Sub-requests beyond the first of each part, as a share of those.
    shed : int
        Sub-requests that servers turned away.
    queries : dict
        The figures of each kind.
    seconds : list of SecondFigures
        The same over time.
    """

    title: str
    seed: int
    worth: float
    unserved: float
    extra: float
    shed: int
    queries: dict[str, QueryFigures]
    seconds: list[SecondFigures]


class Recorder:
    """Counts what came of each caller."""

    __slots__ = ("_by_second", "_earned", "_latencies", "_outcomes", "_owed")

    def __init__(self) -> None:
        self._outcomes: dict[str, Counter[str]] = {}
        self._by_second: dict[int, Counter[str]] = {}
        self._latencies: dict[str, HdrHistogram] = {}
        self._earned: Counter[str] = Counter()
        self._owed: Counter[str] = Counter()

    def note(
        self,
        name: str,
        outcome: Outcome,
        *,
        came_s: float,
        took_ms: float,
        earned: float,
        owed: float,
    ) -> None:
        """Take in one caller."""
        self._outcomes.setdefault(name, Counter())[outcome.value] += 1
        self._by_second.setdefault(int(came_s), Counter())[outcome.value] += 1
        if outcome is Outcome.LEFT:
            return
        self._earned[name] += earned  # type: ignore[assignment]
        self._owed[name] += owed  # type: ignore[assignment]
        if outcome in (Outcome.IN_TIME, Outcome.LATE):
            histogram = self._latencies.get(name)
            if histogram is None:
                histogram = HdrHistogram(1, _HIGHEST_US, _DIGITS)
                self._latencies[name] = histogram
            histogram.record_value(int(took_ms * 1000.0))

    def result(
        self, title: str, seed: int, *, primaries: int, arrivals: int, shed: int
    ) -> RunResult:
        """Return the figures."""
        callers: Counter[str] = Counter()
        for outcomes in self._outcomes.values():
            callers.update(outcomes)
        lost = callers[Outcome.REFUSED.value] + callers[Outcome.UNSERVED.value]
        staying = callers.total() - callers[Outcome.LEFT.value]
        return RunResult(
            title=title,
            seed=seed,
            worth=round(self._earned.total() / max(self._owed.total(), 1e-9), 4),
            unserved=round(lost / max(staying, 1), 4),
            extra=round(max(arrivals - primaries, 0) / max(primaries, 1), 4),
            shed=shed,
            queries={name: self._figures(name) for name in sorted(self._outcomes)},
            seconds=[
                SecondFigures(second, dict(sorted(self._by_second[second].items())))
                for second in sorted(self._by_second)
            ],
        )

    def _figures(self, name: str) -> QueryFigures:
        histogram = self._latencies.get(name)
        percentiles = [0.0, 0.0]
        if histogram is not None:
            percentiles = [
                histogram.get_value_at_percentile(at) / 1000.0 for at in (50.0, 99.0)
            ]
        return QueryFigures(
            outcomes=dict(sorted(self._outcomes[name].items())),
            worth=round(self._earned[name] / max(self._owed[name], 1e-9), 4),
            p50_ms=round(percentiles[0], 1),
            p99_ms=round(percentiles[1], 1),
        )
