"""An adaptive concurrency limit, derived from latency and shed requests.

The limit applies to the concurrent requests of one group of services. It increases
while latency stays near its baseline, and decreases when requests queue at the
backend servers (their latency rises) or are shed. It is evaluated once per
window, only on requests that started after the last change took effect, so that
the effect of one change does not trigger the next; this prevents oscillation.
"""

from __future__ import annotations

import math

__all__ = ["ConcurrencyLimit"]

MIN_SLOTS = 2
MAX_SLOTS = 1_024
_INITIAL_SLOTS = 16
_WINDOW_MS = 100.0
_MIN_SAMPLES = 8
_EWMA_WEIGHT = 0.1
_GROWTH_FACTOR = 1.1
_SHED_DECREASE_FACTOR = 0.8
_MIN_DECREASE_FACTOR = 0.7
_SHED_FRACTION = 0.02
_QUEUEING_LATENCY_FACTOR = 1.15
_BASELINE_FALL_WEIGHT = 0.5
_BASELINE_RISE_WEIGHT = 0.002
_BASELINE_FAST_RISE_WEIGHT = 0.3
_DECREASED_FRACTION = 0.7
_IMPROVEMENT_FACTOR = 0.85


class ConcurrencyLimit:
    """The limit on the concurrent requests of one group, in slots.

    A slot is a permit to run one request.

    Parameters
    ----------
    slots : int, optional
        The initial limit.
    """

    __slots__ = (
        "_baseline_ms",
        "_changed_at_ms",
        "_mean_before_decrease_ms",
        "_samples",
        "_saturated",
        "_sheds",
        "_slots",
        "_slots_before_decrease",
        "_total_ms",
        "_window_start_ms",
        "duration_ms",
    )

    def __init__(self, *, slots: int = _INITIAL_SLOTS) -> None:
        self._slots = float(slots)
        self._baseline_ms = math.inf
        self._changed_at_ms = -math.inf
        self._window_start_ms = -math.inf
        self._mean_before_decrease_ms = math.inf
        self._slots_before_decrease = 0.0
        self._samples = 0
        self._sheds = 0
        self._total_ms = 0.0
        self._saturated = False
        self.duration_ms = 0.0
        """Smoothed duration of a request; 0 until the first one has ended."""

    @property
    def slots(self) -> int:
        """Maximum number of concurrent requests."""
        return int(self._slots)

    @property
    def interval_ms(self) -> float:
        """The mean time between completions while all slots are in use."""
        return self.duration_ms / self.slots

    def record(
        self, *, now_ms: float, duration_ms: float, running: int, shed: bool
    ) -> None:
        """Record a completed request.

        Parameters
        ----------
        now_ms : float
            When it ended.
        duration_ms : float
            How long it ran.
        running : int
            Number of requests, including this one, that ran when it started.
        shed : bool
            Whether a backend server shed part of its work.
        """
        if not shed:
            if self.duration_ms == 0.0:
                self.duration_ms = duration_ms
            self.duration_ms += _EWMA_WEIGHT * (duration_ms - self.duration_ms)
        if now_ms - duration_ms < self._changed_at_ms:
            return  # it started under another limit
        if not self._samples:
            self._window_start_ms = now_ms
        self._samples += 1
        self._sheds += shed
        self._total_ms += duration_ms
        self._saturated = self._saturated or running >= self.slots
        # A shed request immediately releases its slot to the next one, which
        # is shed too; waiting for the end of the window would shed hundreds.
        window_over = now_ms >= self._window_start_ms + _WINDOW_MS
        many_shed = self._sheds >= _MIN_SAMPLES
        if self._samples >= _MIN_SAMPLES and (window_over or many_shed):
            self._evaluate(now_ms)

    def _evaluate(self, now_ms: float) -> None:
        mean_ms = self._total_ms / self._samples
        self._update_baseline(mean_ms)
        slots_before = self.slots
        if self._sheds > _SHED_FRACTION * self._samples:
            self._set_slots(self._slots * _SHED_DECREASE_FACTOR)
        elif mean_ms > _QUEUEING_LATENCY_FACTOR * self._baseline_ms:
            if math.isinf(self._mean_before_decrease_ms):
                self._mean_before_decrease_ms = mean_ms
                self._slots_before_decrease = self._slots
            factor = _QUEUEING_LATENCY_FACTOR * self._baseline_ms / mean_ms
            self._set_slots(self._slots * max(_MIN_DECREASE_FACTOR, factor))
        else:
            self._mean_before_decrease_ms = math.inf
            if self._saturated:
                self._set_slots(max(self._slots * _GROWTH_FACTOR, self._slots + 1.0))
        if self.slots != slots_before:
            self._changed_at_ms = now_ms
        self._samples = 0
        self._sheds = 0
        self._total_ms = 0.0
        self._saturated = False

    def _update_baseline(self, mean_ms: float) -> None:
        # The baseline is the latency without queueing. It falls quickly and
        # rises slowly, so that an overload does not raise it. If decreasing
        # the limit does not reduce latency, the group has become slower; the
        # baseline then rises fast, or the limit would stay at its minimum.
        if mean_ms < self._baseline_ms:
            previous_ms = (
                mean_ms if math.isinf(self._baseline_ms) else self._baseline_ms
            )
            self._baseline_ms = previous_ms + _BASELINE_FALL_WEIGHT * (
                mean_ms - previous_ms
            )
            return
        was_decreased = self._slots <= _DECREASED_FRACTION * self._slots_before_decrease
        is_ineffective = (
            was_decreased
            and mean_ms > _IMPROVEMENT_FACTOR * self._mean_before_decrease_ms
        )
        weight = _BASELINE_FAST_RISE_WEIGHT if is_ineffective else _BASELINE_RISE_WEIGHT
        self._baseline_ms += weight * (mean_ms - self._baseline_ms)

    def _set_slots(self, slots: float) -> None:
        self._slots = min(max(slots, MIN_SLOTS), MAX_SLOTS)
