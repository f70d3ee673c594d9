"""Baseline latency of a route's sub-requests and the threshold for late ones."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ibisfront.gateway.load.server_load import ServerLoad

__all__ = ["BaselineLatency"]

_WINDOW_SIZE = 256
"""Size of the sample window: a dozen queries over twenty services."""

_REFRESH_INTERVAL = 32
"""Samples between two refreshes; sorting them costs less than a sub-request."""

_LATE_QUANTILE = 0.92
"""Quantile of the latencies above which a hedged request pays off."""

_MIN_LATE_FACTOR = 1.4
"""Lower bound of the late threshold, in medians: work varies by a third."""

_MAX_LATE_FACTOR = 2.5
"""Upper bound of the late threshold, in medians."""

_UNLOADED_GROWTH = 1.002
"""Growth of the unloaded latency at each refresh. With about ten refreshes a second,
a lasting rise in the cost of work is adopted after about ten seconds."""

_LOADED_FACTOR = 1.25
"""Ratio of baseline to unloaded latency above which the servers count as loaded. Used
only where they do not report whether requests wait."""

_LOADED_SHARE = 0.1
"""Share of replies reporting queued requests above which the servers are loaded."""

_QUEUED_WEIGHT = 0.02
"""Smoothing weight of one reply in that share: about fifty replies, half a query."""

_SIZE_WEIGHT = 0.02
"""Smoothing weight of one reply in the mean body size."""


class BaselineLatency:
    """Recent latencies of one route's sub-requests over all servers.

    The servers of a route do the same work, so the twenty replies of one query
    are enough for an estimate; each server is rated relative to it.

    Parameters
    ----------
    initial_ms : float
        Initial estimate, used until there are enough samples.

    Attributes
    ----------
    median_ms : float
        Median of the recent latencies.
    late_ms : float
        Time after which a hedged request pays off.
    unloaded_ms : float
        Baseline latency without queueing: a slowly rising minimum of the median.
    reply_bytes : float
        Smoothed size of a reply's body, in bytes.
    """

    __slots__ = (
        "_count",
        "_queued_share",
        "_samples_ms",
        "late_ms",
        "median_ms",
        "reply_bytes",
        "unloaded_ms",
    )

    def __init__(self, initial_ms: float) -> None:
        self._samples_ms: list[float] = []
        self._count = 0
        # Smoothed share of replies that report queued requests.
        self._queued_share: float | None = None
        self.reply_bytes = 0.0
        self.median_ms = initial_ms
        self.late_ms = initial_ms * _MAX_LATE_FACTOR
        self.unloaded_ms = math.inf

    @property
    def is_loaded(self) -> bool:
        """Whether requests appear to queue at the servers."""
        if self._queued_share is not None:
            return self._queued_share > _LOADED_SHARE
        return self.median_ms > _LOADED_FACTOR * self.unloaded_ms

    def record_load(self, load: ServerLoad) -> None:
        """Record the load that a server reports."""
        is_queued = float(load.waiting > 0)
        if self._queued_share is None:
            self._queued_share = 0.0
        self._queued_share += _QUEUED_WEIGHT * (is_queued - self._queued_share)

    def record_size(self, size_bytes: int) -> None:
        """Record the size of one reply's body."""
        self.reply_bytes += _SIZE_WEIGHT * (size_bytes - self.reply_bytes)

    def record_ms(self, latency_ms: float) -> None:
        """Record one latency."""
        if len(self._samples_ms) < _WINDOW_SIZE:
            self._samples_ms.append(latency_ms)
        else:
            self._samples_ms[self._count % _WINDOW_SIZE] = latency_ms
        self._count += 1
        if self._count % _REFRESH_INTERVAL == 0:
            self._refresh()

    def _refresh(self) -> None:
        ordered = sorted(self._samples_ms)
        median_ms = ordered[len(ordered) // 2]
        late_ms = ordered[int(len(ordered) * _LATE_QUANTILE)]
        self.median_ms = max(median_ms, 0.1)
        self.unloaded_ms = min(self.unloaded_ms * _UNLOADED_GROWTH, self.median_ms)
        # With many slow servers the quantile reflects only these, and hedged
        # requests would come too late. The median still reflects the healthy half.
        self.late_ms = min(
            max(late_ms, _MIN_LATE_FACTOR * median_ms), _MAX_LATE_FACTOR * median_ms
        )
