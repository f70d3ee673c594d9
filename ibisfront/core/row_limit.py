"""Enforcement of one row's limits at this instance, and its measured demand."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from ibisfront.core.clock import MILLISECONDS_PER_SECOND
from ibisfront.core.rate_limit import TokenBucket
from ibisfront.core.share_messages import RowDemand, Share

if TYPE_CHECKING:
    from ibisfront.core.share_messages import RowKey

__all__ = ["RowLimit"]

_DEMAND_HEADROOM = 1.05
_DECAY_PER_MS = 1.0 / 1_000.0
_ACTIVE_FOR_MS = 5_000.0
_MIN_WINDOW_MS = 250.0
_MIN_RATE_PER_S = 0.25


class RowLimit:
    """Starts requests within a share and measures the demand of the row.

    Attributes
    ----------
    running : int
        Number of requests that run.
    waiting : int
        Number of requests that wait to start.
    head_lock : trio.Lock
        Held by the first waiting request; the others queue for it in FIFO order.
    changed : trio.Event
        Set and replaced when a waiting request may have become able to start.
    active_since_ms, last_arrival_at_ms : float
        When the row last became active or lost its lease, and when its last request
        arrived.
    """

    __slots__ = (
        "_arrivals",
        "_bucket",
        "_had_lease",
        "_in_flight_demand",
        "_measured_at_ms",
        "_peak_in_flight",
        "_rate_per_s",
        "active_since_ms",
        "changed",
        "head_lock",
        "last_arrival_at_ms",
        "running",
        "waiting",
    )

    def __init__(self, *, now_ms: float) -> None:
        self.running = 0
        self.waiting = 0
        self.head_lock = trio.Lock()
        self.changed = trio.Event()
        self.active_since_ms = now_ms
        self.last_arrival_at_ms = now_ms
        self._bucket = TokenBucket()
        self._had_lease = False
        self._arrivals = 0
        self._rate_per_s = 0.0
        self._peak_in_flight = 0
        self._in_flight_demand = 0.0
        self._measured_at_ms = now_ms

    def record_arrival(self, *, now_ms: float, has_lease: bool = False) -> None:
        """Record an arriving request, whether or not it will start.

        Parameters
        ----------
        now_ms : float
            The current time.
        has_lease : bool, optional
            Whether a valid lease includes the row.
        """
        has_lost_lease = self._had_lease and not has_lease
        if has_lost_lease or not self.is_active(now_ms=now_ms):
            self.active_since_ms = now_ms
        self._had_lease = has_lease
        self.last_arrival_at_ms = now_ms
        self._arrivals += 1
        self._peak_in_flight = max(
            self._peak_in_flight, self.running + self.waiting + 1
        )

    def is_active(self, *, now_ms: float) -> bool:
        """Return whether the row runs requests or received one recently."""
        return self.running > 0 or now_ms < self.last_arrival_at_ms + _ACTIVE_FOR_MS

    def try_start(self, share: Share, *, now_ms: float) -> bool:
        """Start a request if the share allows; return whether it started."""
        self._bucket.set_rate(share.rate_per_s, now_ms=now_ms)
        if self.running >= share.in_flight or not self._bucket.take(now_ms=now_ms):
            return False
        self.running += 1
        return True

    def wait_ms(self, share: Share, *, ahead: int = 0) -> float:
        """Return the time until a request may start, with `ahead` others before it.

        Infinite while all slots of the share are in use.
        """
        if self.running >= share.in_flight:
            return math.inf
        return self._bucket.wait_ms(ahead + 1)

    def finish(self) -> None:
        """Record that a request has ended."""
        self.running -= 1
        self.notify_waiters()

    def notify_waiters(self) -> None:
        """Wake the first waiting request."""
        self.changed.set()
        self.changed = trio.Event()

    def demand(self, key: RowKey, *, now_ms: float) -> RowDemand:
        """Return this instance's demand for the row.

        The estimate follows a statistically significant change immediately and
        smooths any other, so that a share is not returned between two requests.
        """
        elapsed_ms = now_ms - self._measured_at_ms
        if elapsed_ms > 0.0:
            self._measure(elapsed_ms)
            self._measured_at_ms = now_ms
        demand = Share(
            self._rate_per_s * _DEMAND_HEADROOM + _MIN_RATE_PER_S,
            math.ceil(self._in_flight_demand * _DEMAND_HEADROOM) + 1,
        )
        return RowDemand(key, demand, self.running)

    def _measure(self, elapsed_ms: float) -> None:
        decay = math.exp(-elapsed_ms * _DECAY_PER_MS)
        window_s = max(elapsed_ms, _MIN_WINDOW_MS) / MILLISECONDS_PER_SECOND
        rate_per_s = self._arrivals / window_s
        expected_arrivals = self._rate_per_s * window_s
        max_deviation = 2.0 * math.sqrt(expected_arrivals) + 1.0
        if abs(self._arrivals - expected_arrivals) > max_deviation:
            self._rate_per_s = rate_per_s
        else:
            self._rate_per_s = self._weighted_mean(self._rate_per_s, rate_per_s, decay)
        peak = max(self._peak_in_flight, self.running)
        self._in_flight_demand = max(
            peak, self._weighted_mean(self._in_flight_demand, peak, decay)
        )
        self._arrivals = 0
        self._peak_in_flight = self.running

    @staticmethod
    def _weighted_mean(old: float, new: float, decay: float) -> float:
        return old * decay + new * (1.0 - decay)
