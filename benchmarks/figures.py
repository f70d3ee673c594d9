"""Figures of one run, computed from the records of callers and servers."""

from __future__ import annotations

from collections import Counter

import msgspec
from hdrh.histogram import HdrHistogram

from benchmarks.plan import LoadResult, Observation

__all__ = ["BackendTotals", "Bucket", "Figures", "figures_of"]

_HIGHEST_US = 120_000_000
_BUCKET_MS = 250.0


class BackendTotals(msgspec.Struct, frozen=True):
    """Totals over all backend servers of a run.

    Attributes
    ----------
    searches : int
        Sub-requests of searches, including rejected ones.
    performed : tuple of str
        Marker of each execution of a non-idempotent request.
    """

    searches: int
    performed: tuple[str, ...]


class Bucket(msgspec.Struct, frozen=True):
    """Figures of one time bucket of a run, for the charts."""

    at_ms: float
    requests: int
    coverage: float
    p99_ms: float


class Figures(msgspec.Struct, frozen=True):
    """Figures of one run.

    Attributes
    ----------
    p50_ms, p99_ms, p999_ms : float
        Latency of answered urgent searches, from when each was due.
    bulk_p99_ms : float
        The same for the other searches.
    coverage : float
        Fraction of the requested services that responded, over all answers.
    answered : float
        Fraction of the searches that were answered.
    extra_load : float
        Sub-requests received beyond one per service of each answered search, as a
        fraction of the latter.
    refusals : dict of str to int
        Requests without an answer, by error code.
    wrong : int
        Answers with a wrong row, snapshot or coverage.
    doubles : int
        Non-idempotent requests that ran more than once.
    false_not_run : int
        Non-idempotent requests reported as not run for every copy, yet executed.
    requests, late_starts : int
        Requests sent, and those that the load process itself sent late.
    buckets : tuple of Bucket
        Figures over time.
    """

    p50_ms: float
    p99_ms: float
    p999_ms: float
    bulk_p99_ms: float
    coverage: float
    answered: float
    extra_load: float
    refusals: dict[str, int]
    wrong: int
    doubles: int
    false_not_run: int
    requests: int
    late_starts: int
    buckets: tuple[Bucket, ...]


def figures_of(result: LoadResult, totals: BackendTotals) -> Figures:
    """Compute the figures of one run."""
    searches = [item for item in result.observations if not item.key]
    answers = [item for item in searches if item.status == 200]
    urgent = [item for item in answers if "urgent" in item.load_class]
    bulk = [item for item in answers if "urgent" not in item.load_class]
    requested = sum(item.total for item in answers)
    covered = sum(item.answered for item in answers)
    urgent_histogram = _histogram(urgent)
    return Figures(
        p50_ms=_percentile_ms(urgent_histogram, 50.0),
        p99_ms=_percentile_ms(urgent_histogram, 99.0),
        p999_ms=_percentile_ms(urgent_histogram, 99.9),
        bulk_p99_ms=_percentile_ms(_histogram(bulk), 99.0),
        coverage=covered / requested if requested else 0.0,
        answered=len(answers) / len(searches) if searches else 0.0,
        extra_load=totals.searches / requested - 1.0 if requested else 0.0,
        refusals=dict(Counter(item.code for item in result.observations if item.code)),
        wrong=sum(1 for item in answers if item.wrong),
        doubles=sum(1 for count in Counter(totals.performed).values() if count > 1),
        false_not_run=_false_not_run(result, totals),
        requests=len(result.observations),
        late_starts=result.late_starts,
        buckets=_buckets(searches),
    )


def _false_not_run(result: LoadResult, totals: BackendTotals) -> int:
    reported: dict[str, list[str]] = {}
    for item in result.observations:
        if item.key:
            reported.setdefault(item.name, []).append(item.ran or "yes")
    ran = set(totals.performed)
    reported_not_run = {
        name for name, values in reported.items() if set(values) == {"no"}
    }
    return len(reported_not_run & ran)


def _buckets(searches: list[Observation]) -> tuple[Bucket, ...]:
    grouped: dict[int, list[Observation]] = {}
    for item in searches:
        grouped.setdefault(int(item.at_ms // _BUCKET_MS), []).append(item)
    return tuple(_bucket(number, items) for number, items in sorted(grouped.items()))


def _bucket(number: int, items: list[Observation]) -> Bucket:
    coverages = [item.answered / item.total if item.total else 0.0 for item in items]
    return Bucket(
        at_ms=number * _BUCKET_MS,
        requests=len(items),
        coverage=sum(coverages) / len(coverages),
        p99_ms=_percentile_ms(_histogram(items), 99.0),
    )


def _histogram(items: list[Observation]) -> HdrHistogram:
    histogram = HdrHistogram(1, _HIGHEST_US, 3)
    for item in items:
        histogram.record_value(max(1, int(item.latency_ms * 1000)))
    return histogram


def _percentile_ms(histogram: HdrHistogram, percentile: float) -> float:
    return float(histogram.get_value_at_percentile(percentile)) / 1000
