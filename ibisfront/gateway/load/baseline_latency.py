"""The baseline latency of a route's sub-requests, and when one is late."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ibisfront.gateway.load.server_load import ServerLoad

__all__ = ["BaselineLatency"]

_KEPT = 256
"""Latencies that are looked at: a dozen queries over twenty services."""

_REFRESH_EVERY = 32
"""Latencies between two looks: sorting them costs less than a sub-request."""

_LATE_QUANTILE = 0.92
"""Share of latencies that are in time; the rest is worth a hedged request."""

_LEAST_LATE_FACTOR = 1.4
"""A reply is not late before this many medians: work varies by a third."""

_MOST_LATE_FACTOR = 2.5
"""A reply is late after this many medians at the most."""


_CALM_RISE = 1.002
"""How much the calm latency rises with each look at the samples. There are
about ten looks a second, so that it takes some ten seconds of a new, slower
work for it to count as calm."""

_LOADED_FACTOR = 1.25
"""The servers are loaded if the baseline latency is this many calm ones. It holds where
they do not say themselves whether requests wait."""

_LOADED_SHARE = 0.1
"""The servers are loaded if this share of their replies says that requests wait."""

_REPORTED_WEIGHT = 0.02
"""Weight of one reply in that share: some fifty replies, half a query."""


_SIZE_WEIGHT = 0.02
"""Weight of one reply in the usual size."""


class BaselineLatency:
    """Recent latencies of one route's sub-requests, all servers together.

    The servers of a route do the same work, so that twenty replies of one
    query say at once what is usual; a server is then judged by its ratio to
    it.

    Parameters
    ----------
    first_ms : float
        The guess that holds until enough replies were seen.

    Attributes
    ----------
    median_ms : float
        The baseline latency.
    late_ms : float
        After how long a hedged request pays.
    calm_ms : float
        The baseline latency without queues: the least of late, rising slowly.
    reply_bytes : float
        The usual size of a reply's body.
    """

    __slots__ = (
        "_count",
        "_queued_share",
        "_samples_ms",
        "calm_ms",
        "late_ms",
        "median_ms",
        "reply_bytes",
    )

    def __init__(self, first_ms: float) -> None:
        self._samples_ms: list[float] = []
        self._count = 0
        # The smoothed share of replies that say that requests wait.
        self._queued_share: float | None = None
        self.reply_bytes = 0.0
        self.median_ms = first_ms
        self.late_ms = first_ms * _MOST_LATE_FACTOR
        self.calm_ms = math.inf

    @property
    def is_loaded(self) -> bool:
        """Whether requests seem to wait in queues at the servers."""
        if self._queued_share is not None:
            return self._queued_share > _LOADED_SHARE
        return self.median_ms > _LOADED_FACTOR * self.calm_ms

    def record_load(self, load: ServerLoad) -> None:
        """Take in what a server says of its load."""
        is_queued = float(load.waiting > 0)
        if self._queued_share is None:
            self._queued_share = 0.0
        self._queued_share += _REPORTED_WEIGHT * (is_queued - self._queued_share)

    def record_size(self, size_bytes: int) -> None:
        """Take in the size of one reply's body."""
        self.reply_bytes += _SIZE_WEIGHT * (size_bytes - self.reply_bytes)

    def record_ms(self, latency_ms: float) -> None:
        """Take in one latency."""
        if len(self._samples_ms) < _KEPT:
            self._samples_ms.append(latency_ms)
        else:
            self._samples_ms[self._count % _KEPT] = latency_ms
        self._count += 1
        if self._count % _REFRESH_EVERY == 0:
            self._refresh()

    def _refresh(self) -> None:
        ordered = sorted(self._samples_ms)
        median_ms = ordered[len(ordered) // 2]
        late_ms = ordered[int(len(ordered) * _LATE_QUANTILE)]
        self.median_ms = max(median_ms, 0.1)
        self.calm_ms = min(self.calm_ms * _CALM_RISE, self.median_ms)
        # When many servers are slow, the quantile is theirs; a hedged request
        # would then never come in time. The median still is that of the
        # healthy half.
        self.late_ms = min(
            max(late_ms, _LEAST_LATE_FACTOR * median_ms), _MOST_LATE_FACTOR * median_ms
        )
