"""Results of a run."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum

import msgspec
from hdrh.histogram import HdrHistogram

__all__ = ["Outcome", "QuerySummary", "Recorder", "RunResult", "SecondSummary"]

_MAX_LATENCY_US = 60_000_000
_SIGNIFICANT_DIGITS = 3


class Outcome(StrEnum):
    """Outcome of a caller's query after all its retries.

    ``REJECTED`` stands for a reply with status 503, ``UNSERVED`` for no reply or any
    other failure, and ``ABANDONED`` for a query that an impatient caller cancelled.
    """

    IN_TIME = "in_time"
    LATE = "late"
    REJECTED = "refused"
    UNSERVED = "unserved"
    ABANDONED = "left"


class QuerySummary(msgspec.Struct, frozen=True):
    """Results of one kind of query.

    Attributes
    ----------
    outcomes : dict
        Number of callers by outcome.
    worth : float
        Achieved worth as a fraction of the full worth; a partial reply counts by the
        square of its coverage.
    p50_ms, p99_ms : float
        Reply latency, from the caller's first attempt.
    """

    outcomes: dict[str, int]
    worth: float
    p50_ms: float
    p99_ms: float


class SecondSummary(msgspec.Struct, frozen=True):
    """Number of callers that arrived in one second, by outcome."""

    second: int
    outcomes: dict[str, int]


class RunResult(msgspec.Struct, frozen=True):
    """Results of one run.

    Attributes
    ----------
    title : str
        Title of the pattern.
    seed : int
        Seed of the run.
    worth : float
        Achieved worth as a fraction of the full worth.
    unserved : float
        Rejected and unserved callers as a fraction of those that did not abandon
        their query.
    extra : float
        Extra sub-requests as a fraction of the primary ones.
    shed : int
        Number of sub-requests that servers rejected.
    queries : dict
        Summary of each kind of query.
    seconds : list of SecondSummary
        Outcomes by second of arrival.
    """

    title: str
    seed: int
    worth: float
    unserved: float
    extra: float
    shed: int
    queries: dict[str, QuerySummary]
    seconds: list[SecondSummary]


class Recorder:
    """Collects the outcome of each caller."""

    __slots__ = (
        "_achieved_worth",
        "_by_second",
        "_full_worth",
        "_latencies",
        "_outcomes",
    )

    def __init__(self) -> None:
        self._outcomes: dict[str, Counter[str]] = {}
        self._by_second: dict[int, Counter[str]] = {}
        self._latencies: dict[str, HdrHistogram] = {}
        self._achieved_worth: Counter[str] = Counter()
        self._full_worth: Counter[str] = Counter()

    def record(
        self,
        name: str,
        outcome: Outcome,
        *,
        arrived_s: float,
        latency_ms: float,
        achieved_worth: float,
        full_worth: float,
    ) -> None:
        """Record the outcome of one caller's query of the kind ``name``."""
        self._outcomes.setdefault(name, Counter())[outcome.value] += 1
        self._by_second.setdefault(int(arrived_s), Counter())[outcome.value] += 1
        if outcome is Outcome.ABANDONED:
            return
        self._achieved_worth[name] += achieved_worth  # type: ignore[assignment]
        self._full_worth[name] += full_worth  # type: ignore[assignment]
        if outcome in (Outcome.IN_TIME, Outcome.LATE):
            histogram = self._latencies.get(name)
            if histogram is None:
                histogram = HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)
                self._latencies[name] = histogram
            histogram.record_value(int(latency_ms * 1000.0))

    def result(
        self,
        title: str,
        seed: int,
        *,
        primaries: int,
        received_requests: int,
        shed: int,
    ) -> RunResult:
        """Return the results of the run."""
        callers: Counter[str] = Counter()
        for outcomes in self._outcomes.values():
            callers.update(outcomes)
        failed = callers[Outcome.REJECTED.value] + callers[Outcome.UNSERVED.value]
        not_abandoned = callers.total() - callers[Outcome.ABANDONED.value]
        return RunResult(
            title=title,
            seed=seed,
            worth=round(
                self._achieved_worth.total() / max(self._full_worth.total(), 1e-9), 4
            ),
            unserved=round(failed / max(not_abandoned, 1), 4),
            extra=round(max(received_requests - primaries, 0) / max(primaries, 1), 4),
            shed=shed,
            queries={name: self._summarize(name) for name in sorted(self._outcomes)},
            seconds=[
                SecondSummary(second, dict(sorted(self._by_second[second].items())))
                for second in sorted(self._by_second)
            ],
        )

    def _summarize(self, name: str) -> QuerySummary:
        histogram = self._latencies.get(name)
        percentiles = [0.0, 0.0]
        if histogram is not None:
            percentiles = [
                histogram.get_value_at_percentile(percentile) / 1000.0
                for percentile in (50.0, 99.0)
            ]
        return QuerySummary(
            outcomes=dict(sorted(self._outcomes[name].items())),
            worth=round(
                self._achieved_worth[name] / max(self._full_worth[name], 1e-9), 4
            ),
            p50_ms=round(percentiles[0], 1),
            p99_ms=round(percentiles[1], 1),
        )
