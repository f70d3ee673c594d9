"""Quarantine of requests that crash the backend servers that run them."""

from __future__ import annotations

import hashlib
import math
from collections import OrderedDict
from typing import TYPE_CHECKING

from ibisfront.core.counters import CounterKind
from ibisfront.core.errors import ErrorKind, IbisfrontError
from ibisfront.core.logs import LogPart, part_logger
from ibisfront.core.peers import PeerMessage

if TYPE_CHECKING:
    from ibisfront.core.clock import Clock
    from ibisfront.core.counters import Counters
    from ibisfront.core.peers import Peers
    from ibisfront.core.settings import QuerySettings
    from ibisfront.core.types import JsonBytes

__all__ = ["CrashReport", "Quarantine", "fingerprint_of"]

_LOG = part_logger(LogPart.QUERY)
_DIGEST_BYTES = 12
_MAX_SUSPECTS = 1_000
_LOSSES_TO_QUARANTINE = 2
_CRASH_DEDUPLICATION_MS = 1_000.0
_SUSPICION_TTL_MS = 60_000.0
_BACKOFF_FACTOR = 4.0
_MAX_REPORTS_PER_S = 20.0
_MILLISECONDS_PER_SECOND = 1_000.0


class CrashReport(PeerMessage, tag="crash_seen", frozen=True):
    """Reports that a server was lost while it ran a request.

    Attributes
    ----------
    fingerprint : str
        The fingerprint of the request.
    service, server : str
        The service and the server that ran it.
    """

    fingerprint: str
    service: str
    server: str


def fingerprint_of(purpose: str, body_json: JsonBytes) -> str:
    """Return a digest that is identical for every copy of a request.

    Examples
    --------
    >>> fingerprint_of("desk", b"{}") == fingerprint_of("desk", b"{}")
    True
    """
    digest = hashlib.blake2b(purpose.encode(), digest_size=_DIGEST_BYTES)
    digest.update(b"\0")
    digest.update(body_json)
    return digest.hexdigest()


class _ServerLoss:
    """One server that was lost while it ran a request."""

    __slots__ = ("at_ms", "server")

    def __init__(self, server: str, at_ms: float) -> None:
        self.server = server
        self.at_ms = at_ms


class _SuspectRequest:
    """The losses and quarantine state of one suspected request."""

    __slots__ = (
        "last_loss_at_ms",
        "losses",
        "quarantine_count",
        "quarantined_until_ms",
        "trial_running",
    )

    def __init__(self) -> None:
        self.losses: dict[str, list[_ServerLoss]] = {}
        self.last_loss_at_ms = 0.0
        self.quarantined_until_ms = -math.inf
        self.quarantine_count = 0
        self.trial_running = False


class Quarantine:
    """Tracks servers lost while running a request, for a bounded number of requests.

    A request that crashes servers loses its connection after it was sent, on
    several servers of the same service in sequence, with no answer in between.
    After the second loss it is quarantined for a time; then one copy may run
    as a trial, on one service first. An answer clears the suspicion, so that
    a popular search that ran twice on servers crashed by another request is
    answered at its next attempt.

    Parameters
    ----------
    clock : Clock
        The tier's clock.
    counters : Counters
        Counts quarantines started and cleared, and requests rejected.
    settings : QuerySettings
        The durations of quarantines.
    peers : Peers, optional
        The instances that each loss is reported to, since the caller may send
        its next copy to any of them.
    """

    __slots__ = (
        "_clock",
        "_counters",
        "_peers",
        "_report_tokens",
        "_report_tokens_at_ms",
        "_settings",
        "_suspects",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        counters: Counters,
        settings: QuerySettings,
        peers: Peers | None = None,
    ) -> None:
        self._clock = clock
        self._counters = counters
        self._settings = settings
        self._peers = peers
        self._suspects: OrderedDict[str, _SuspectRequest] = OrderedDict()
        self._report_tokens = _MAX_REPORTS_PER_S
        self._report_tokens_at_ms = -math.inf
        if peers is not None:
            peers.handle(CrashReport, self._on_crash_report)

    def begin_trial(self, fingerprint: str) -> str | None:
        """Begin the trial of a suspected request; return the service for it.

        Returns None if the request was never quarantined. Otherwise the trial
        ends with :meth:`record_answer`, :meth:`record_loss` or
        :meth:`end_trial`.

        Raises
        ------
        IbisfrontError
            ``quarantined`` while the request is quarantined or on trial.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.quarantine_count:
            return None
        now_ms = self._clock.now_ms()
        if now_ms < suspect.quarantined_until_ms or suspect.trial_running:
            self._raise_quarantined(suspect, now_ms)
        suspect.trial_running = True
        return max(suspect.losses, key=lambda name: len(suspect.losses[name]))

    def end_trial(self, fingerprint: str) -> None:
        """End a trial without an answer or a loss; another copy may run as a trial."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            suspect.trial_running = False

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether the request is currently quarantined."""
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and (
            self._clock.now_ms() < suspect.quarantined_until_ms
        )

    def record_answer(self, fingerprint: str, service: str) -> None:
        """Record that a service answered a request and did not crash."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or service not in suspect.losses:
            return
        del suspect.losses[service]
        if not suspect.losses or suspect.trial_running:
            del self._suspects[fingerprint]
            self._counters.add(CounterKind.QUARANTINES, "cleared")

    def record_loss(self, fingerprint: str, service: str, server: str) -> None:
        """Record that a server was lost while it ran a request."""
        self._add_loss(fingerprint, service, server)
        self._send_report(CrashReport(fingerprint, service, server))

    def _on_crash_report(self, _sender: str, report: CrashReport) -> None:
        if self._add_loss(report.fingerprint, report.service, report.server):
            self._send_report(report)

    def _add_loss(self, fingerprint: str, service: str, server: str) -> bool:
        """Record a loss; return False if it is a duplicate."""
        now_ms = self._clock.now_ms()
        suspect = self._get_or_add_suspect(fingerprint, now_ms)
        losses = suspect.losses.setdefault(service, [])
        # One crash loses all copies on the server and is reported by several
        # instances; it counts as one loss.
        if any(
            loss.server == server and now_ms - loss.at_ms < _CRASH_DEDUPLICATION_MS
            for loss in losses
        ):
            return False
        losses.append(_ServerLoss(server, now_ms))
        suspect.last_loss_at_ms = now_ms
        if len(losses) >= _LOSSES_TO_QUARANTINE or suspect.trial_running:
            self._start_quarantine(fingerprint, suspect, now_ms)
        return True

    def _get_or_add_suspect(self, fingerprint: str, now_ms: float) -> _SuspectRequest:
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and self._is_expired(suspect, now_ms):
            suspect = None
        if suspect is None:
            suspect = self._suspects[fingerprint] = _SuspectRequest()
        self._suspects.move_to_end(fingerprint)
        if len(self._suspects) > _MAX_SUSPECTS:
            self._suspects.popitem(last=False)
        return suspect

    def _is_expired(self, suspect: _SuspectRequest, now_ms: float) -> bool:
        newest_ms = max(suspect.last_loss_at_ms, suspect.quarantined_until_ms)
        return now_ms - newest_ms > _SUSPICION_TTL_MS * (1 + suspect.quarantine_count)

    def _start_quarantine(
        self, fingerprint: str, suspect: _SuspectRequest, now_ms: float
    ) -> None:
        if now_ms < suspect.quarantined_until_ms:
            return
        duration_ms = min(
            self._settings.quarantine_base_ms
            * _BACKOFF_FACTOR**suspect.quarantine_count,
            self._settings.quarantine_longest_ms,
        )
        suspect.quarantined_until_ms = now_ms + duration_ms
        suspect.quarantine_count += 1
        suspect.trial_running = False
        self._counters.add(CounterKind.QUARANTINES, "started")
        _LOG.warning(
            "Request %s crashes servers; quarantined for %d ms.",
            fingerprint,
            duration_ms,
        )

    def _raise_quarantined(self, suspect: _SuspectRequest, now_ms: float) -> None:
        self._counters.add(CounterKind.QUARANTINES, "refused")
        remaining_ms = max(0.0, suspect.quarantined_until_ms - now_ms)
        servers = {loss.server for losses in suspect.losses.values() for loss in losses}
        raise IbisfrontError(
            ErrorKind.QUARANTINED,
            f"{len(servers)} backend servers were lost while running the request",
            retry_after_ms=math.ceil(remaining_ms) or 1_000,
        )

    def _send_report(self, report: CrashReport) -> None:
        """Send a crash report to the neighbours, rate-limited.

        When a zone is lost, every request in flight loses servers at once;
        reports for all of them would flood the connections between instances.
        """
        now_ms = self._clock.now_ms()
        refill = _MAX_REPORTS_PER_S * (now_ms - self._report_tokens_at_ms)
        self._report_tokens = min(
            _MAX_REPORTS_PER_S, self._report_tokens + refill / _MILLISECONDS_PER_SECOND
        )
        self._report_tokens_at_ms = now_ms
        if self._peers is None or self._report_tokens < 1.0:
            return
        self._report_tokens -= 1.0
        self._peers.send_neighbours(report)
