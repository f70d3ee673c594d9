"""Per-service latency statistics and retry budgets, over all its servers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ibisfront.core.latency import LatencyHistogram
from ibisfront.core.retry_budget import RetryBudget

if TYPE_CHECKING:
    from ibisfront.core.settings import QuerySettings

__all__ = ["RETRY_BURST", "RecentLatency", "ServiceState"]

RETRY_BURST = 10.0
"""Maximum burst of extra sub-requests to one service, after an idle period."""

_REFRESH_INTERVAL_MS = 2_000.0
_ROTATION_INTERVAL_MS = 20_000.0
_MIN_SAMPLES = 50
_PERCENT = 100.0
_LOW_PERCENTILE = 5.0


class RecentLatency:
    """The percentiles of recent latencies that the query policy uses.

    Percentiles are read from the histogram periodically, because reading one
    costs as much as tens of recordings.

    Parameters
    ----------
    settings : QuerySettings
        Defines the hedging percentile.

    Attributes
    ----------
    hedge_delay_ms : float
        The delay before a sub-request is hedged; infinite until known.
    low_percentile_ms : float
        The 5th percentile of latency; 0 until known.
    """

    __slots__ = (
        "_current",
        "_next_refresh_ms",
        "_next_rotation_ms",
        "_percentile",
        "_previous",
        "hedge_delay_ms",
        "low_percentile_ms",
    )

    def __init__(self, settings: QuerySettings) -> None:
        self._current = LatencyHistogram()
        self._previous = LatencyHistogram()
        self._percentile = _PERCENT * settings.hedge_after_fraction
        self._next_refresh_ms = 0.0
        self._next_rotation_ms = 0.0
        self.hedge_delay_ms = math.inf
        self.low_percentile_ms = 0.0

    def record_ms(self, duration_ms: float, now_ms: float) -> None:
        """Record one latency."""
        self._current.record_ms(duration_ms)
        if now_ms >= self._next_refresh_ms and self._current.count >= _MIN_SAMPLES:
            self._refresh(now_ms)

    def _refresh(self, now_ms: float) -> None:
        self._next_refresh_ms = now_ms + _REFRESH_INTERVAL_MS
        self.hedge_delay_ms = self._current.percentile_ms(self._percentile)
        self.low_percentile_ms = self._current.percentile_ms(_LOW_PERCENTILE)
        if now_ms >= self._next_rotation_ms:
            self._next_rotation_ms = now_ms + _ROTATION_INTERVAL_MS
            self._current, self._previous = self._previous, self._current
            self._current.reset()


class ServiceState:
    """Latencies and retry budget of one service.

    Parameters
    ----------
    settings : QuerySettings
        Defines the retry fraction and the hedging percentile.
    index_latency : RecentLatency
        The latency over all services of the index, used until this service has
        enough samples. A new instance among several sends each service only a
        few sub-requests a second and would not hedge for several seconds.

    Attributes
    ----------
    retry_budget : RetryBudget
        Budget for extra sub-requests: retries and hedged requests.
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
        """The delay before a sub-request is hedged; infinite until known."""
        return self._effective_latency.hedge_delay_ms

    @property
    def low_percentile_ms(self) -> float:
        """The 5th percentile of latency; 0 until known."""
        return self._effective_latency.low_percentile_ms

    def record_ms(self, duration_ms: float, now_ms: float) -> None:
        """Record the latency of one answered sub-request."""
        self._latency.record_ms(duration_ms, now_ms)
        if math.isinf(self._latency.hedge_delay_ms):
            self._index_latency.record_ms(duration_ms, now_ms)

    @property
    def _effective_latency(self) -> RecentLatency:
        if math.isinf(self._latency.hedge_delay_ms):
            return self._index_latency
        return self._latency
