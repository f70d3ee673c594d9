"""Latency histograms, in milliseconds."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram

__all__ = ["LatencyHistogram"]

_LOWEST_US = 1
_HIGHEST_US = 60_000_000
_SIGNIFICANT_DIGITS = 2
_MICROSECONDS_PER_MILLISECOND = 1000.0


class LatencyHistogram:
    """Durations of up to one minute, to two significant digits."""

    __slots__ = ("_histogram",)

    def __init__(self) -> None:
        self._histogram = HdrHistogram(_LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS)

    @property
    def count(self) -> int:
        """Number of recorded durations."""
        return int(self._histogram.get_total_count())

    def record_ms(self, duration_ms: float) -> None:
        """Record one duration; durations over one minute count as one minute."""
        duration_us = int(duration_ms * _MICROSECONDS_PER_MILLISECOND)
        self._histogram.record_value(min(max(duration_us, _LOWEST_US), _HIGHEST_US))

    def percentile_ms(self, percentile: float) -> float:
        """Return a percentile, from 0 to 100, of the recorded durations."""
        value_us = self._histogram.get_value_at_percentile(percentile)
        return float(value_us) / _MICROSECONDS_PER_MILLISECOND

    def reset(self) -> None:
        """Discard all recorded durations."""
        self._histogram.reset()
