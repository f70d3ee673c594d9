"""One row's limits at this instance: what runs, and what is wanted."""

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

_HEADROOM = 1.05
_CHANGE_PER_MS = 1.0 / 1_000.0
_WANTED_FOR_MS = 5_000.0
_LEAST_WINDOW_MS = 250.0
_LEAST_RATE_PER_S = 0.25


class RowLimit:
    """Starts requests within a share, and measures the demand for it.

    Attributes
    ----------
    running : int
        Requests that run.
    turn : trio.Lock
        Held by the first of those that wait; the others wait for it in order.
    changed : trio.Event
        Set, and replaced, when a request may have become able to start.
    """

    __slots__ = (
        "_arrivals",
        "_bucket",
        "_measured_at_ms",
        "_most_wanted",
        "_places_wanted",
        "_rate_per_s",
        "changed",
        "running",
        "turn",
        "waiting",
        "wanted_at_ms",
        "wanted_since_ms",
    )

    def __init__(self, *, now_ms: float) -> None:
        self.running = 0
        self.waiting = 0
        self.turn = trio.Lock()
        self.changed = trio.Event()
        self.wanted_since_ms = now_ms
        self.wanted_at_ms = now_ms
        self._bucket = TokenBucket()
        self._arrivals = 0
        self._rate_per_s = 0.0
        self._most_wanted = 0
        self._places_wanted = 0.0
        self._measured_at_ms = now_ms

    def note_arrival(self, *, now_ms: float) -> None:
        """Count a request, whether or not it will start."""
        if not self.is_wanted(now_ms=now_ms):
            self.wanted_since_ms = now_ms
        self.wanted_at_ms = now_ms
        self._arrivals += 1
        self._most_wanted = max(self._most_wanted, self.running + self.waiting + 1)

    def is_wanted(self, *, now_ms: float) -> bool:
        """Return whether the row was in use lately."""
        return self.running > 0 or now_ms < self.wanted_at_ms + _WANTED_FOR_MS

    def try_start(self, share: Share, *, now_ms: float) -> bool:
        """Start a request if the share allows; return whether it did."""
        self._bucket.set_rate(share.rate_per_s, now_ms=now_ms)
        if self.running >= share.in_flight or not self._bucket.take(now_ms=now_ms):
            return False
        self.running += 1
        return True

    def wait_ms(self, share: Share, *, ahead: int = 0) -> float:
        """Return how long until a request may start, after some others."""
        if self.running >= share.in_flight:
            return math.inf
        return self._bucket.wait_ms(ahead + 1)

    def finish(self) -> None:
        """Note that a request has ended."""
        self.running -= 1
        self.note_change()

    def note_change(self) -> None:
        """Wake what waits for a turn."""
        self.changed.set()
        self.changed = trio.Event()

    def demand(self, key: RowKey, *, now_ms: float) -> RowDemand:
        """Return what this instance wants of the row.

        It follows at once a change that chance does not explain, and any other
        one slowly, so that a share is not handed back between two requests.
        """
        elapsed_ms = now_ms - self._measured_at_ms
        if elapsed_ms > 0.0:
            self._measure(elapsed_ms)
            self._measured_at_ms = now_ms
        wanted = Share(
            self._rate_per_s * _HEADROOM + _LEAST_RATE_PER_S,
            math.ceil(self._places_wanted * _HEADROOM) + 1,
        )
        return RowDemand(key, wanted, self.running)

    def _measure(self, elapsed_ms: float) -> None:
        kept = math.exp(-elapsed_ms * _CHANGE_PER_MS)
        window_s = max(elapsed_ms, _LEAST_WINDOW_MS) / MILLISECONDS_PER_SECOND
        rate_per_s = self._arrivals / window_s
        usual = self._rate_per_s * window_s
        by_chance = 2.0 * math.sqrt(usual) + 1.0
        if abs(self._arrivals - usual) > by_chance:
            self._rate_per_s = rate_per_s
        else:
            self._rate_per_s = self._mixed(self._rate_per_s, rate_per_s, kept)
        wanted = max(self._most_wanted, self.running)
        self._places_wanted = max(
            wanted, self._mixed(self._places_wanted, wanted, kept)
        )
        self._arrivals = 0
        self._most_wanted = self.running

    @staticmethod
    def _mixed(old: float, new: float, kept: float) -> float:
        return old * kept + new * (1.0 - kept)
