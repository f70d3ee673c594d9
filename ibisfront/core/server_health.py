"""What this instance has seen of one backend server's health.

Only own observations count: health and load endpoints lag or mislead.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ibisfront.core.coverage import MissingReason

if TYPE_CHECKING:
    from ibisfront.core.query import SubReply, SubRequestError
    from ibisfront.core.settings import QuerySettings

__all__ = ["ServerHealth"]

_LATENCY_WEIGHT = 0.2
_FAILURES_TO_EJECT = 3
_UNANSWERED_TO_EJECT = 5
_UNANSWERED_FACTOR = 2.0
_DRAINING_MS = 3_000.0
_SNAPSHOTS_KEPT_MS = 10_000.0
_LONGEST_BACK_OFF_MS = 1_000.0
_SHORTEST_BACK_OFF_MS = 10.0
_FIRST_WINDOW_FACTOR = 2.0
_WINDOW_CUT = 0.7
_WINDOW_CUT_GAP_MS = 50.0
_LARGEST_DOUBLING = 6
_SLOW_START_FACTOR = 4.0

_FAILURES = frozenset(
    (
        MissingReason.CONNECTION_LOST,
        MissingReason.SERVER_ERROR,
        MissingReason.WRONG_REPLY,
    )
)


class ServerHealth:
    """Latency, failures and refusals of one backend server.

    Parameters
    ----------
    settings : QuerySettings
        How long ejections and slow starts last.

    Attributes
    ----------
    latency_ms : float
        The smoothed latency of its answers; 0 until the first.
    window : float
        How many sub-requests may be at the server at once: cut when it
        sheds, raised by each answer while it is the bound.
    not_before_ms : float
        Until when it asked to be left alone.
    ejected : bool
        Whether it is left out of the choice until a probe succeeds.
    probe_at_ms : float
        When an ejected server is to be probed next.
    draining_until_ms : float
        Until when it counts as leaving.
    last_answer_at_ms : float
        When it last answered anything.
    """

    __slots__ = (
        "_ejections",
        "_failures",
        "_last_cut_ms",
        "_last_fingerprint",
        "_settings",
        "_slow_start_until_ms",
        "_snapshots",
        "_snapshots_at_ms",
        "_unanswered",
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
        self._last_cut_ms = -math.inf
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
        self.window = _FIRST_WINDOW_FACTOR * settings.slots_per_server

    def note_answer(
        self, reply: SubReply, *, duration_ms: float, in_flight: int, now_ms: float
    ) -> None:
        """Take in an answered sub-request.

        Parameters
        ----------
        reply : SubReply
            The answer.
        duration_ms : float
            How long it took.
        in_flight : int
            How many sub-requests were at the server, or waited to be.
        now_ms : float
            The time.
        """
        self._note_any_reply(now_ms)
        self._ejections = 0
        if self.latency_ms == 0.0:
            self.latency_ms = duration_ms
        else:
            self.latency_ms += _LATENCY_WEIGHT * (duration_ms - self.latency_ms)
        if in_flight >= self.window:
            self.window += 1.0 / self.window
        self._note_snapshots(reply.snapshots, now_ms)
        if reply.draining:
            self.note_draining(now_ms)

    def note_error(
        self, error: SubRequestError, *, fingerprint: str, in_flight: int, now_ms: float
    ) -> None:
        """Take in a sub-request that failed.

        Parameters
        ----------
        error : SubRequestError
            How it failed.
        fingerprint : str
            What request it was. One request that makes the server fail each
            time shows as failures of one fingerprint; they count once, so
            that a poisonous request does not eject a server that is healthy
            for all others.
        in_flight : int
            How many sub-requests were at the server.
        now_ms : float
            The time.
        """
        if error.not_run and error.complete_reply:
            self._note_any_reply(now_ms)
        self._note_snapshots(error.snapshots, now_ms)
        if error.draining or error.reason is MissingReason.DRAINING:
            self.note_draining(now_ms)
        if error.reason in (MissingReason.SHED, MissingReason.COLD):
            self._back_off(error, in_flight, now_ms)
        elif error.reason is MissingReason.CONNECT_FAILED:
            self.eject(now_ms)
        elif error.reason in _FAILURES and fingerprint != self._last_fingerprint:
            self._last_fingerprint = fingerprint
            self._failures += 1
            if self._failures >= _FAILURES_TO_EJECT:
                self.eject(now_ms)

    def note_unanswered(self, waited_ms: float, now_ms: float) -> None:
        """Take in a sub-request given up before its answer.

        A frozen server, or one whose connections went silent, shows only as
        hedged requests that lose and deadlines that pass. One of them is an
        unlucky straggler; a row of them with no answer between is a server
        that does not answer.
        """
        usual_ms = max(self.latency_ms, 1.0)
        if waited_ms < _UNANSWERED_FACTOR * usual_ms:
            return
        self._unanswered += 1
        if self._unanswered >= _UNANSWERED_TO_EJECT:
            self.eject(now_ms)

    def note_draining(self, now_ms: float) -> None:
        """Give the server no new work for a while: it leaves.

        The word is renewed by each reply that says so; what other instances
        heard is kept by ``ServerSigns``.
        """
        self.draining_until_ms = now_ms + _DRAINING_MS

    def eject(self, now_ms: float) -> None:
        """Leave the server out of the choice, longer each time in a row."""
        if self.ejected:
            return
        self.ejected = True
        self._failures = 0
        self._unanswered = 0
        self._last_fingerprint = ""
        self.postpone_probe(now_ms)

    def postpone_probe(self, now_ms: float) -> None:
        """Set when an ejected server is probed, later each time in a row."""
        doubling = min(self._ejections, _LARGEST_DOUBLING)
        self._ejections += 1
        duration_ms = self._settings.ejection_base_ms * 2.0**doubling
        self.probe_at_ms = now_ms + min(duration_ms, self._settings.ejection_longest_ms)

    def readmit(self, now_ms: float) -> None:
        """Let the server be chosen again, slowly at first."""
        self.ejected = False
        self._unanswered = 0
        self._slow_start_until_ms = now_ms + self._settings.slow_start_ms

    def is_draining(self, now_ms: float) -> bool:
        """Return whether the server counts as leaving."""
        return now_ms < self.draining_until_ms

    def may_hold(self, snapshot: str | None, now_ms: float) -> bool:
        """Return whether the server is not known to lack a snapshot."""
        if snapshot is None or self._snapshots is None:
            return True
        if now_ms - self._snapshots_at_ms > _SNAPSHOTS_KEPT_MS:
            return True
        return snapshot in self._snapshots

    def load_ms(self, in_flight: int, now_ms: float) -> float:
        """Return the wait that one more sub-request may expect, for comparing."""
        queue_factor = 1.0 + in_flight / self._settings.slots_per_server
        return self.unloaded_ms(now_ms) * queue_factor

    def unloaded_ms(self, now_ms: float) -> float:
        """Return the smoothed latency, raised while the server starts slowly."""
        latency_ms = max(self.latency_ms, 1.0)
        remaining_ms = self._slow_start_until_ms - now_ms
        if remaining_ms <= 0.0:
            return latency_ms
        longest_ms = max(self._settings.slow_start_ms, 1.0)
        return latency_ms * (1.0 + _SLOW_START_FACTOR * remaining_ms / longest_ms)

    def note_fresh_answer(self, now_ms: float) -> None:
        """Take in that a fresh connection was answered."""
        self._note_any_reply(now_ms)

    def _note_any_reply(self, now_ms: float) -> None:
        self._failures = 0
        self._unanswered = 0
        self._last_fingerprint = ""
        self.last_answer_at_ms = now_ms

    def _note_snapshots(self, snapshots: tuple[str, ...], now_ms: float) -> None:
        if snapshots:
            self._snapshots = snapshots
            self._snapshots_at_ms = now_ms

    def _back_off(self, error: SubRequestError, in_flight: int, now_ms: float) -> None:
        asked_ms = error.retry_after_ms or _SHORTEST_BACK_OFF_MS
        self.not_before_ms = now_ms + min(asked_ms, _LONGEST_BACK_OFF_MS)
        if error.reason is MissingReason.COLD:
            self._slow_start_until_ms = self.not_before_ms + (
                self._settings.slow_start_ms
            )
        # One burst of sheds is one sign of overload: cutting the window for
        # each of them would leave one sub-request at a time and then climb
        # back, again and again.
        if now_ms - self._last_cut_ms >= _WINDOW_CUT_GAP_MS:
            self._last_cut_ms = now_ms
            self.window = max(1.0, _WINDOW_CUT * min(self.window, float(in_flight)))
