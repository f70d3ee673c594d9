"""Passive health checking of one backend server (outlier detection).

Only this instance's own observations count, because health and load endpoints
may be stale or misleading.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ibisfront.core.coverage import MissingReason

if TYPE_CHECKING:
    from ibisfront.core.query import SubReply, SubRequestError
    from ibisfront.core.settings import QuerySettings

__all__ = ["ServerHealth"]

_EWMA_WEIGHT = 0.2
_CONSECUTIVE_FAILURES_TO_EJECT = 3
_CONSECUTIVE_UNANSWERED_TO_EJECT = 5
_UNANSWERED_LATENCY_FACTOR = 2.0
_DRAINING_TTL_MS = 3_000.0
_SNAPSHOTS_TTL_MS = 10_000.0
_MAX_BACKOFF_MS = 1_000.0
_DEFAULT_BACKOFF_MS = 10.0
_INITIAL_WINDOW_FACTOR = 2.0
_WINDOW_DECREASE_FACTOR = 0.7
_WINDOW_DECREASE_INTERVAL_MS = 50.0
_MAX_EJECTION_DOUBLINGS = 6
_SLOW_START_PENALTY = 4.0

_FAILURE_REASONS = frozenset(
    (
        MissingReason.CONNECTION_LOST,
        MissingReason.SERVER_ERROR,
        MissingReason.WRONG_REPLY,
    )
)


class ServerHealth:
    """Latency, failures and load shedding of one backend server.

    Parameters
    ----------
    settings : QuerySettings
        Durations of ejection and slow start.

    Attributes
    ----------
    latency_ms : float
        Smoothed latency of its answers; 0 before the first answer.
    window : float
        Concurrency window: maximum number of sub-requests in flight to the
        server. Decreased when it sheds load, increased by each answer while
        the window is the limiting factor.
    not_before_ms : float
        End of the backoff that the server requested.
    ejected : bool
        Whether it is excluded from load balancing until a probe succeeds.
    probe_at_ms : float
        When an ejected server is probed next.
    draining_until_ms : float
        Until when it is considered to be draining.
    last_answer_at_ms : float
        When it last sent a reply of any kind.
    """

    __slots__ = (
        "_ejections",
        "_failures",
        "_last_fingerprint",
        "_settings",
        "_slow_start_until_ms",
        "_snapshots",
        "_snapshots_at_ms",
        "_unanswered",
        "_window_decreased_at_ms",
        "draining_until_ms",
        "ejected",
        "last_answer_at_ms",
        "latency_ms",
        "not_before_ms",
        "probe_at_ms",
        "window",
    )

    def __init__(self, settings: QuerySettings) -> None:
        self._settings = settings
        self._ejections = 0
        self._failures = 0
        self._unanswered = 0
        self._window_decreased_at_ms = -math.inf
        self._last_fingerprint = ""
        self._slow_start_until_ms = -math.inf
        self._snapshots: tuple[str, ...] | None = None
        self._snapshots_at_ms = -math.inf
        self.draining_until_ms = -math.inf
        self.ejected = False
        self.probe_at_ms = -math.inf
        self.last_answer_at_ms = -math.inf
        self.latency_ms = 0.0
        self.not_before_ms = -math.inf
        self.window = _INITIAL_WINDOW_FACTOR * settings.slots_per_server

    def record_answer(
        self, reply: SubReply, *, duration_ms: float, in_flight: int, now_ms: float
    ) -> None:
        """Record an answered sub-request.

        Parameters
        ----------
        reply : SubReply
            The answer.
        duration_ms : float
            Its latency.
        in_flight : int
            Number of sub-requests in flight to the server or queued for it.
        now_ms : float
            The current time.
        """
        self._record_reply(now_ms)
        self._ejections = 0
        if self.latency_ms == 0.0:
            self.latency_ms = duration_ms
        else:
            self.latency_ms += _EWMA_WEIGHT * (duration_ms - self.latency_ms)
        if in_flight >= self.window:
            self.window += 1.0 / self.window
        self._record_snapshots(reply.snapshots, now_ms)
        if reply.draining:
            self.record_draining(now_ms)

    def record_error(
        self, error: SubRequestError, *, fingerprint: str, in_flight: int, now_ms: float
    ) -> None:
        """Record a failed sub-request.

        Parameters
        ----------
        error : SubRequestError
            How it failed.
        fingerprint : str
            Identifies the request. Consecutive failures with the same
            fingerprint count once, so that a request that always makes the
            server fail does not eject a server that is healthy for all others.
        in_flight : int
            Number of sub-requests in flight to the server.
        now_ms : float
            The current time.
        """
        if error.not_run and error.complete_reply:
            self._record_reply(now_ms)
        self._record_snapshots(error.snapshots, now_ms)
        if error.draining or error.reason is MissingReason.DRAINING:
            self.record_draining(now_ms)
        if error.reason in (MissingReason.SHED, MissingReason.COLD):
            self._apply_backoff(error, in_flight, now_ms)
        elif error.reason is MissingReason.CONNECT_FAILED:
            self.eject(now_ms)
        elif error.reason in _FAILURE_REASONS and fingerprint != self._last_fingerprint:
            self._last_fingerprint = fingerprint
            self._failures += 1
            if self._failures >= _CONSECUTIVE_FAILURES_TO_EJECT:
                self.eject(now_ms)

    def record_unanswered(self, waited_ms: float, now_ms: float) -> None:
        """Record a sub-request that was cancelled before its answer.

        A frozen server, or one whose connections went silent, shows only as
        lost hedged requests and expired deadlines. A single one is a straggler;
        several without an answer in between mean an unresponsive server.
        """
        baseline_ms = max(self.latency_ms, 1.0)
        if waited_ms < _UNANSWERED_LATENCY_FACTOR * baseline_ms:
            return
        self._unanswered += 1
        if self._unanswered >= _CONSECUTIVE_UNANSWERED_TO_EJECT:
            self.eject(now_ms)

    def record_draining(self, now_ms: float) -> None:
        """Send the server no new work for a while, because it is draining.

        Each reply that reports draining extends the period. Reports received
        by other instances are kept in ``ServerStatuses``.
        """
        self.draining_until_ms = now_ms + _DRAINING_TTL_MS

    def eject(self, now_ms: float) -> None:
        """Exclude the server from load balancing, with exponential backoff."""
        if self.ejected:
            return
        self.ejected = True
        self._failures = 0
        self._unanswered = 0
        self._last_fingerprint = ""
        self.schedule_probe(now_ms)

    def schedule_probe(self, now_ms: float) -> None:
        """Schedule the next probe of an ejected server, with exponential backoff."""
        doublings = min(self._ejections, _MAX_EJECTION_DOUBLINGS)
        self._ejections += 1
        duration_ms = self._settings.ejection_base_ms * 2.0**doublings
        self.probe_at_ms = now_ms + min(duration_ms, self._settings.ejection_longest_ms)

    def readmit(self, now_ms: float) -> None:
        """Return the server to load balancing, with a slow start."""
        self.ejected = False
        self._unanswered = 0
        self._slow_start_until_ms = now_ms + self._settings.slow_start_ms

    def is_draining(self, now_ms: float) -> bool:
        """Return whether the server is considered to be draining."""
        return now_ms < self.draining_until_ms

    def may_hold_snapshot(self, snapshot: str | None, now_ms: float) -> bool:
        """Return False only if the server recently reported not to have a snapshot."""
        if snapshot is None or self._snapshots is None:
            return True
        if now_ms - self._snapshots_at_ms > _SNAPSHOTS_TTL_MS:
            return True
        return snapshot in self._snapshots

    def expected_latency_ms(self, in_flight: int, now_ms: float) -> float:
        """Return the expected latency of one more sub-request."""
        queue_factor = 1.0 + in_flight / self._settings.slots_per_server
        return self.unloaded_latency_ms(now_ms) * queue_factor

    def unloaded_latency_ms(self, now_ms: float) -> float:
        """Return the smoothed latency, increased during a slow start."""
        latency_ms = max(self.latency_ms, 1.0)
        remaining_ms = self._slow_start_until_ms - now_ms
        if remaining_ms <= 0.0:
            return latency_ms
        slow_start_ms = max(self._settings.slow_start_ms, 1.0)
        return latency_ms * (1.0 + _SLOW_START_PENALTY * remaining_ms / slow_start_ms)

    def record_probe_success(self, now_ms: float) -> None:
        """Record that a probe on a new connection was answered."""
        self._record_reply(now_ms)

    def _record_reply(self, now_ms: float) -> None:
        self._failures = 0
        self._unanswered = 0
        self._last_fingerprint = ""
        self.last_answer_at_ms = now_ms

    def _record_snapshots(self, snapshots: tuple[str, ...], now_ms: float) -> None:
        if snapshots:
            self._snapshots = snapshots
            self._snapshots_at_ms = now_ms

    def _apply_backoff(
        self, error: SubRequestError, in_flight: int, now_ms: float
    ) -> None:
        backoff_ms = error.retry_after_ms or _DEFAULT_BACKOFF_MS
        self.not_before_ms = now_ms + min(backoff_ms, _MAX_BACKOFF_MS)
        if error.reason is MissingReason.COLD:
            self._slow_start_until_ms = self.not_before_ms + (
                self._settings.slow_start_ms
            )
        # A burst of shed requests is one overload event. Decreasing the window
        # for each of them would reduce it to 1 each time and make it oscillate.
        if now_ms - self._window_decreased_at_ms >= _WINDOW_DECREASE_INTERVAL_MS:
            self._window_decreased_at_ms = now_ms
            self.window = max(
                1.0, _WINDOW_DECREASE_FACTOR * min(self.window, float(in_flight))
            )
