"""How many requests may run at once, learned from latency and sheds.

The limit of places before one group of services. It grows while requests are
as quick as when the group is not busy, and shrinks when they queue at the
backend servers (their latency rises) or are shed. One decision is taken for
each window, on the requests that started after the last decision took effect,
so that the answer to one decision is not taken for the cause of the next; that
is what keeps it from oscillating.
"""

from __future__ import annotations

import math

__all__ = ["ConcurrencyLimit"]

LEAST_PLACES = 2
MOST_PLACES = 1_024
_FIRST_PLACES = 16
_WINDOW_MS = 100.0
_LEAST_SAMPLES = 8
_SMOOTHING = 0.1
_GROWTH = 1.1
_SHRINK_ON_SHED = 0.8
_LEAST_SHRINK = 0.7
_SHED_PART = 0.02
_QUEUED_LATENCY = 1.15
_FALLING_BASE = 0.5
_RISING_BASE = 0.002
_RISING_BASE_IN_VAIN = 0.3
_SHRUNK_PART = 0.7
_HELPED = 0.85


class ConcurrencyLimit:
    """The number of requests of one group that may run here at once.

    Parameters
    ----------
    places : int, optional
        The first limit.
    """

    __slots__ = (
        "_base_ms",
        "_busy",
        "_changed_at_ms",
        "_mean_before_ms",
        "_places",
        "_places_before",
        "_samples",
        "_sheds",
        "_total_ms",
        "_window_from_ms",
        "duration_ms",
    )

    def __init__(self, *, places: int = _FIRST_PLACES) -> None:
        self._places = float(places)
        self._base_ms = math.inf
        self._changed_at_ms = -math.inf
        self._window_from_ms = -math.inf
        self._mean_before_ms = math.inf
        self._places_before = 0.0
        self._samples = 0
        self._sheds = 0
        self._total_ms = 0.0
        self._busy = False
        self.duration_ms = 0.0
        """How long a request runs, smoothed; 0 while nothing is known."""

    @property
    def places(self) -> int:
        """How many requests may run now."""
        return int(self._places)

    @property
    def interval_ms(self) -> float:
        """The time from one end of a request to the next while all run."""
        return self.duration_ms / self.places

    def record(
        self, *, now_ms: float, duration_ms: float, running: int, shed: bool
    ) -> None:
        """Take in one request that has ended.

        Parameters
        ----------
        now_ms : float
            When it ended.
        duration_ms : float
            How long it ran.
        running : int
            How many ran beside it, itself included, when it started.
        shed : bool
            Whether a backend server refused part of its work.
        """
        if not shed:
            if self.duration_ms == 0.0:
                self.duration_ms = duration_ms
            self.duration_ms += _SMOOTHING * (duration_ms - self.duration_ms)
        if now_ms - duration_ms < self._changed_at_ms:
            return  # it started under another limit and says nothing of this one
        if not self._samples:
            self._window_from_ms = now_ms
        self._samples += 1
        self._sheds += shed
        self._total_ms += duration_ms
        self._busy = self._busy or running >= self.places
        # A shed request gives its place back at once to the next one, which is
        # shed too; waiting for the window's end would shed hundreds.
        window_over = now_ms >= self._window_from_ms + _WINDOW_MS
        overrun = self._sheds >= _LEAST_SAMPLES
        if self._samples >= _LEAST_SAMPLES and (window_over or overrun):
            self._decide(now_ms)

    def _decide(self, now_ms: float) -> None:
        mean_ms = self._total_ms / self._samples
        self._follow_base(mean_ms)
        before = self.places
        if self._sheds > _SHED_PART * self._samples:
            self._set(self._places * _SHRINK_ON_SHED)
        elif mean_ms > _QUEUED_LATENCY * self._base_ms:
            if math.isinf(self._mean_before_ms):
                self._mean_before_ms = mean_ms
                self._places_before = self._places
            wanted = _QUEUED_LATENCY * self._base_ms / mean_ms
            self._set(self._places * max(_LEAST_SHRINK, wanted))
        else:
            self._mean_before_ms = math.inf
            if self._busy:
                self._set(max(self._places * _GROWTH, self._places + 1.0))
        if self.places != before:
            self._changed_at_ms = now_ms
        self._samples = 0
        self._sheds = 0
        self._total_ms = 0.0
        self._busy = False

    def _follow_base(self, mean_ms: float) -> None:
        # The latency without queueing. It falls at once to what is seen, and
        # rises slowly, so that an overload is not taken for it. A group that
        # has really become slower shows in that shrinking does not help; then
        # it rises fast, or the limit would fall to its least and stay there.
        if mean_ms < self._base_ms:
            low_ms = mean_ms if math.isinf(self._base_ms) else self._base_ms
            self._base_ms = low_ms + _FALLING_BASE * (mean_ms - low_ms)
            return
        shrunk = self._places <= _SHRUNK_PART * self._places_before
        in_vain = shrunk and mean_ms > _HELPED * self._mean_before_ms
        rising = _RISING_BASE_IN_VAIN if in_vain else _RISING_BASE
        self._base_ms += rising * (mean_ms - self._base_ms)

    def _set(self, places: float) -> None:
        self._places = min(max(places, LEAST_PLACES), MOST_PLACES)
