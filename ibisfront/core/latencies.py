"""Latencies of callers' requests, by branch and purpose or by route."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ibisfront.core.latency import LatencyHistogram
from ibisfront.core.metrics_text import LatencySample, MetricLabel

if TYPE_CHECKING:
    from collections.abc import Container

__all__ = ["Latencies", "LatencyValue", "RouteLatencies"]


_MAX_HISTOGRAMS = 64
"""The number of histograms beyond which routes share one per reason. Each takes
21.7 KB: for 4,200 routes that is 91 MB, all of it evaluated when metrics are read."""

_OTHER_ROUTES = "(other)"
"""The label of the routes that share histograms; no route has this name."""


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


class _DurationRecorder:
    """The histogram and the sum of the durations of one kind of request."""

    __slots__ = ("histogram", "sum_ms")

    def __init__(self) -> None:
        self.histogram = LatencyHistogram()
        self.sum_ms = 0.0

    def record_ms(self, duration_ms: float) -> None:
        """Record one duration."""
        self.histogram.record_ms(duration_ms)
        self.sum_ms += duration_ms

    def sample(self, *labels: MetricLabel) -> LatencySample:
        """Return the recorded durations as a metric sample."""
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

    Only answered requests are recorded, because their branch and purpose are in
    the table. Arbitrary names sent by callers would use unbounded memory.
    """

    __slots__ = ("_recorders",)

    def __init__(self) -> None:
        self._recorders: dict[tuple[str, str], _DurationRecorder] = {}

    def record_ms(self, branch: str, purpose: str, duration_ms: float) -> None:
        """Record the duration of one answered request."""
        self._recorders.setdefault((branch, purpose), _DurationRecorder()).record_ms(
            duration_ms
        )

    def samples(self) -> list[LatencySample]:
        """Return the latencies as metrics, in order."""
        return [
            recorder.sample(
                MetricLabel("branch", branch), MetricLabel("purpose", purpose)
            )
            for (branch, purpose), recorder in sorted(self._recorders.items())
        ]

    def values(self) -> list[LatencyValue]:
        """Return the latencies of each branch and purpose, in order."""
        return [
            _value(branch, purpose, recorder.sample())
            for (branch, purpose), recorder in sorted(self._recorders.items())
        ]


class RouteLatencies:
    """Records durations by route and by the reason reported to the caller.

    Reasons are a closed set, but there may be thousands of routes: the first
    ones in use have their own histograms while they exist; the others share.
    """

    __slots__ = ("_recorders",)

    def __init__(self) -> None:
        self._recorders: dict[tuple[str, str], _DurationRecorder] = {}

    def record_ms(self, route: str, reason: str, duration_ms: float) -> None:
        """Record the duration of one request."""
        key = (route, reason)
        if key not in self._recorders and len(self._recorders) >= _MAX_HISTOGRAMS:
            key = (_OTHER_ROUTES, reason)
        recorder = self._recorders.get(key)
        if recorder is None:
            recorder = self._recorders[key] = _DurationRecorder()
        recorder.record_ms(duration_ms)

    def retain(self, routes: Container[str]) -> None:
        """Remove all routes except the given ones."""
        for route, reason in list(self._recorders):
            if route not in routes and route != _OTHER_ROUTES:
                del self._recorders[route, reason]

    def samples(self) -> list[LatencySample]:
        """Return the latencies as metrics, in order."""
        return [
            recorder.sample(MetricLabel("route", route), MetricLabel("reason", reason))
            for (route, reason), recorder in sorted(self._recorders.items())
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
