"""What this instance has measured of one service, over all its servers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ibisfront.core.latency import LatencyHistogram
from ibisfront.core.retry_budget import RetryBudget

if TYPE_CHECKING:
    from ibisfront.core.settings import QuerySettings

__all__ = ["RETRY_BURST", "RecentLatency", "ServiceState"]

RETRY_BURST = 10.0
"""Extra sub-requests to a service at once, after a quiet time."""

_REFRESH_MS = 2_000.0
_ROTATE_MS = 20_000.0
_FEWEST_SAMPLES = 50
_PERCENT = 100.0
_LOW_PERCENTILE = 5.0


class RecentLatency:
    """The percentiles that the policy needs of recent latencies.

    Percentiles are read from the histogram only now and then, as reading one
    costs as much as tens of recordings.

    Parameters
    ----------
    settings : QuerySettings
        The percentile of hedging.

    Attributes
    ----------
    hedge_delay_ms : float
        After how long a sub-request is hedged; infinite until known.
    quick_ms : float
        What hardly any sub-request is quicker than; 0 until known.
    """

    __slots__ = (
        "_current",
        "_next_refresh_ms",
        "_next_rotation_ms",
        "_percentile",
        "_previous",
        "hedge_delay_ms",
        "quick_ms",
    )

    def __init__(self, settings: QuerySettings) -> None:
        self._current = LatencyHistogram()
        self._previous = LatencyHistogram()
        self._percentile = _PERCENT * settings.hedge_after_fraction
        self._next_refresh_ms = 0.0
        self._next_rotation_ms = 0.0
        self.hedge_delay_ms = math.inf
        self.quick_ms = 0.0

    def record_ms(self, duration_ms: float, now_ms: float) -> None:
        """Record one latency."""
        self._current.record_ms(duration_ms)
        if now_ms >= self._next_refresh_ms and self._current.count >= _FEWEST_SAMPLES:
            self._refresh(now_ms)

    def _refresh(self, now_ms: float) -> None:
        self._next_refresh_ms = now_ms + _REFRESH_MS
        self.hedge_delay_ms = self._current.percentile_ms(self._percentile)
        self.quick_ms = self._current.percentile_ms(_LOW_PERCENTILE)
        if now_ms >= self._next_rotation_ms:
            self._next_rotation_ms = now_ms + _ROTATE_MS
            self._current, self._previous = self._previous, self._current
            self._current.reset()


class ServiceState:
    """Latencies and budgets of one service.

    Parameters
    ----------
    settings : QuerySettings
        The shares of the budgets and the percentile of hedging.
    index_latency : RecentLatency
        The latency of all services of the index, for as long as this one's
        own is not known. A new instance among several sees each service a
        few times a second only; it would hedge nothing for seconds.

    Attributes
    ----------
    retry_budget : RetryBudget
        Extra sub-requests of every cause, hedges included.
    """

    __slots__ = ("_index_latency", "_latency", "retry_budget")

    def __init__(
        self, settings: QuerySettings, *, index_latency: RecentLatency
    ) -> None:
        self._latency = RecentLatency(settings)
        self._index_latency = index_latency
        self.retry_budget = RetryBudget(
            ratio=settings.retry_fraction, burst=RETRY_BURST
        )

    @property
    def hedge_delay_ms(self) -> float:
        """After how long a sub-request is hedged; infinite until known."""
        return self._best_known.hedge_delay_ms

    @property
    def quick_ms(self) -> float:
        """What hardly any sub-request is quicker than; 0 until known."""
        return self._best_known.quick_ms

    def record_ms(self, duration_ms: float, now_ms: float) -> None:
        """Record the latency of one answered sub-request."""
        self._latency.record_ms(duration_ms, now_ms)
        if math.isinf(self._latency.hedge_delay_ms):
            self._index_latency.record_ms(duration_ms, now_ms)

    @property
    def _best_known(self) -> RecentLatency:
        if math.isinf(self._latency.hedge_delay_ms):
            return self._index_latency
        return self._latency
