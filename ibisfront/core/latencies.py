"""Latencies of callers' requests, by branch and purpose."""

from __future__ import annotations

import msgspec

from ibisfront.core.latency import LatencyHistogram

__all__ = ["Latencies", "LatencyValue"]


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
    """The durations of one branch and purpose."""

    __slots__ = ("histogram", "sum_ms")

    def __init__(self) -> None:
        self.histogram = LatencyHistogram()
        self.sum_ms = 0.0


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
        recorded = self._recorded.get((branch, purpose))
        if recorded is None:
            recorded = self._recorded[branch, purpose] = _Recorded()
        recorded.histogram.record_ms(duration_ms)
        recorded.sum_ms += duration_ms

    def values(self) -> list[LatencyValue]:
        """Return the latencies of each branch and purpose, in order."""
        return [
            _value(branch, purpose, recorded)
            for (branch, purpose), recorded in sorted(self._recorded.items())
        ]


def _value(branch: str, purpose: str, recorded: _Recorded) -> LatencyValue:
    percentile_ms = recorded.histogram.percentile_ms
    return LatencyValue(
        branch=branch,
        purpose=purpose,
        count=recorded.histogram.count,
        sum_ms=recorded.sum_ms,
        p50_ms=percentile_ms(50.0),
        p90_ms=percentile_ms(90.0),
        p99_ms=percentile_ms(99.0),
        p999_ms=percentile_ms(99.9),
    )
