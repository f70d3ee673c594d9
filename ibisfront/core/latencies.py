"""Latencies of callers' requests, by branch and purpose."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ibisfront.core.latency import LatencyHistogram
from ibisfront.core.metrics_text import LatencySample, MetricLabel

if TYPE_CHECKING:
    from collections.abc import Container

__all__ = ["Latencies", "LatencyValue", "RouteLatencies"]


_MOST_RECORDED = 64
"""Histograms beyond which routes share them. One takes 21.7 KB: 4,200 routes with
one each, 91 MB, and as many to be summed up each time that metrics are read."""

_OTHER_ROUTES = "(other)"
"""The label of the routes that share histograms; no route is named so."""


class LatencyValue(msgspec.Struct, frozen=True):
    """The latencies of one branch and purpose since the process started."""

    branch: str
    purpose: str
    count: int
    sum_ms: float
    p50_ms: float
    p90_ms: float
    p99_ms: float
    p999_ms: float


class _Recorded:
    """The durations of one kind of request."""

    __slots__ = ("histogram", "sum_ms")

    def __init__(self) -> None:
        self.histogram = LatencyHistogram()
        self.sum_ms = 0.0

    def record_ms(self, duration_ms: float) -> None:
        """Record one duration."""
        self.histogram.record_ms(duration_ms)
        self.sum_ms += duration_ms

    def sample(self, *labels: MetricLabel) -> LatencySample:
        """Return what was recorded, as a metric."""
        percentile_ms = self.histogram.percentile_ms
        return LatencySample(
            labels=labels,
            count=self.histogram.count,
            sum_ms=self.sum_ms,
            p50_ms=percentile_ms(50.0),
            p90_ms=percentile_ms(90.0),
            p99_ms=percentile_ms(99.0),
            p999_ms=percentile_ms(99.9),
        )


class Latencies:
    """Records durations by branch and purpose.

    Only answered requests are recorded: their branch and purpose stand in the
    table. Names that callers make up would grow the memory without bound.
    """

    __slots__ = ("_recorded",)

    def __init__(self) -> None:
        self._recorded: dict[tuple[str, str], _Recorded] = {}

    def record_ms(self, branch: str, purpose: str, duration_ms: float) -> None:
        """Record the duration of one answered request."""
        self._recorded.setdefault((branch, purpose), _Recorded()).record_ms(duration_ms)

    def samples(self) -> list[LatencySample]:
        """Return the latencies as metrics, in order."""
        return [
            recorded.sample(
                MetricLabel("branch", branch), MetricLabel("purpose", purpose)
            )
            for (branch, purpose), recorded in sorted(self._recorded.items())
        ]

    def values(self) -> list[LatencyValue]:
        """Return the latencies of each branch and purpose, in order."""
        return [
            _value(branch, purpose, recorded.sample())
            for (branch, purpose), recorded in sorted(self._recorded.items())
        ]


class RouteLatencies:
    """Records durations by route and by what the caller was told.

    Reasons are a closed list, and routes may be thousands: those that are asked
    first stand by themselves, as long as they are there, and the others together.
    """

    __slots__ = ("_recorded",)

    def __init__(self) -> None:
        self._recorded: dict[tuple[str, str], _Recorded] = {}

    def record_ms(self, route: str, reason: str, duration_ms: float) -> None:
        """Record the duration of one request."""
        key = (route, reason)
        if key not in self._recorded and len(self._recorded) >= _MOST_RECORDED:
            key = (_OTHER_ROUTES, reason)
        recorded = self._recorded.get(key)
        if recorded is None:
            recorded = self._recorded[key] = _Recorded()
        recorded.record_ms(duration_ms)

    def keep(self, routes: Container[str]) -> None:
        """Forget all routes but these."""
        for route, reason in list(self._recorded):
            if route not in routes and route != _OTHER_ROUTES:
                del self._recorded[route, reason]

    def samples(self) -> list[LatencySample]:
        """Return the latencies as metrics, in order."""
        return [
            recorded.sample(MetricLabel("route", route), MetricLabel("reason", reason))
            for (route, reason), recorded in sorted(self._recorded.items())
        ]


def _value(branch: str, purpose: str, sample: LatencySample) -> LatencyValue:
    return LatencyValue(
        branch=branch,
        purpose=purpose,
        count=sample.count,
        sum_ms=sample.sum_ms,
        p50_ms=sample.p50_ms,
        p90_ms=sample.p90_ms,
        p99_ms=sample.p99_ms,
        p999_ms=sample.p999_ms,
    )
