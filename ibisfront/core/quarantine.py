"""Refusing requests that crash the backend servers that run them."""

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

__all__ = ["CrashSeen", "Quarantine", "fingerprint_of"]

_LOG = part_logger(LogPart.QUERY)
_DIGEST_BYTES = 12
_MOST_SUSPECTS = 1_000
_LOSSES_TO_QUARANTINE = 2
_SAME_CRASH_MS = 1_000.0
_SUSPICION_MS = 60_000.0
_LONGER_FACTOR = 4.0
_NOTICES_PER_S = 20.0
_MILLISECONDS_PER_SECOND = 1_000.0


class CrashSeen(PeerMessage, tag="crash_seen", frozen=True):
    """A server was lost while it ran a request.

    Attributes
    ----------
    fingerprint : str
        The request.
    service, server : str
        Where it ran.
    """

    fingerprint: str
    service: str
    server: str


def fingerprint_of(purpose: str, body_json: JsonBytes) -> str:
    """Return the same short text for every copy of a request.

    Examples
    --------
    >>> fingerprint_of("desk", b"{}") == fingerprint_of("desk", b"{}")
    True
    """
    digest = hashlib.blake2b(purpose.encode(), digest_size=_DIGEST_BYTES)
    digest.update(b"\0")
    digest.update(body_json)
    return digest.hexdigest()


class _Loss:
    """One server that was lost while it ran a request."""

    __slots__ = ("at_ms", "server")

    def __init__(self, server: str, at_ms: float) -> None:
        self.server = server
        self.at_ms = at_ms


class _Suspect:
    """What is known of one request that lost a server."""

    __slots__ = ("last_at_ms", "losses", "refused_until_ms", "times_refused", "trial")

    def __init__(self) -> None:
        self.losses: dict[str, list[_Loss]] = {}
        self.last_at_ms = 0.0
        self.refused_until_ms = -math.inf
        self.times_refused = 0
        self.trial = False


class Quarantine:
    """Remembers, for a bounded number of requests, which servers they lost.

    A request that crashes servers shows as connections lost after it was
    sent, on one server after the other of the same service, with no answer
    between. After the second it is refused for a time; then one copy may try
    again, on one service first. An answer clears it: a popular search that
    ran twice beside somebody else's crashing one is answered at its next try.

    Parameters
    ----------
    clock : Clock
        The tier's clock.
    counters : Counters
        Where refusals and clearings are counted.
    settings : QuerySettings
        How long a request is refused.
    peers : Peers, optional
        The instances to tell of each loss: the caller may send its next copy
        to any of them.
    """

    __slots__ = (
        "_clock",
        "_counters",
        "_notices",
        "_notices_at_ms",
        "_peers",
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
        self._suspects: OrderedDict[str, _Suspect] = OrderedDict()
        self._notices = _NOTICES_PER_S
        self._notices_at_ms = -math.inf
        if peers is not None:
            peers.handle(CrashSeen, self._take_notice)

    def trial_service(self, fingerprint: str) -> str | None:
        """Return the service that a suspected request must pass first.

        None if the request is not suspected. The caller must end the trial
        with :meth:`note_answered`, :meth:`note_lost` or :meth:`end_trial`.

        Raises
        ------
        IbisfrontError
            ``quarantined`` while the request is refused.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.times_refused:
            return None
        now_ms = self._clock.now_ms()
        if now_ms < suspect.refused_until_ms or suspect.trial:
            self._refuse(suspect, now_ms)
        suspect.trial = True
        return max(suspect.losses, key=lambda name: len(suspect.losses[name]))

    def end_trial(self, fingerprint: str) -> None:
        """Let another copy try: this one ended with neither answer nor loss."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            suspect.trial = False

    def is_refused(self, fingerprint: str) -> bool:
        """Return whether the request may not be sent now."""
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and (self._clock.now_ms() < suspect.refused_until_ms)

    def note_answered(self, fingerprint: str, service: str) -> None:
        """Take in that a service answered a request: it did not crash there."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or service not in suspect.losses:
            return
        del suspect.losses[service]
        if not suspect.losses or suspect.trial:
            del self._suspects[fingerprint]
            self._counters.add(CounterKind.QUARANTINES, "cleared")

    def note_lost(self, fingerprint: str, service: str, server: str) -> None:
        """Take in that a server was lost while it ran a request."""
        self._add_loss(fingerprint, service, server)
        self._tell(CrashSeen(fingerprint, service, server))

    def _take_notice(self, _sender: str, notice: CrashSeen) -> None:
        if self._add_loss(notice.fingerprint, notice.service, notice.server):
            self._tell(notice)

    def _add_loss(self, fingerprint: str, service: str, server: str) -> bool:
        """Note a loss and return whether it was news."""
        now_ms = self._clock.now_ms()
        suspect = self._suspect(fingerprint, now_ms)
        losses = suspect.losses.setdefault(service, [])
        # All copies that ran on one server are lost with it, and the news of
        # it comes from several instances: that is one crash, not many.
        if any(
            loss.server == server and now_ms - loss.at_ms < _SAME_CRASH_MS
            for loss in losses
        ):
            return False
        losses.append(_Loss(server, now_ms))
        suspect.last_at_ms = now_ms
        if len(losses) >= _LOSSES_TO_QUARANTINE or suspect.trial:
            self._quarantine(fingerprint, suspect, now_ms)
        return True

    def _suspect(self, fingerprint: str, now_ms: float) -> _Suspect:
        known = self._suspects.get(fingerprint)
        if known is not None and self._is_forgotten(known, now_ms):
            known = None
        if known is None:
            known = self._suspects[fingerprint] = _Suspect()
        self._suspects.move_to_end(fingerprint)
        if len(self._suspects) > _MOST_SUSPECTS:
            self._suspects.popitem(last=False)
        return known

    def _is_forgotten(self, suspect: _Suspect, now_ms: float) -> bool:
        newest_ms = max(suspect.last_at_ms, suspect.refused_until_ms)
        return now_ms - newest_ms > _SUSPICION_MS * (1 + suspect.times_refused)

    def _quarantine(self, fingerprint: str, suspect: _Suspect, now_ms: float) -> None:
        if now_ms < suspect.refused_until_ms:
            return
        duration_ms = min(
            self._settings.quarantine_base_ms * _LONGER_FACTOR**suspect.times_refused,
            self._settings.quarantine_longest_ms,
        )
        suspect.refused_until_ms = now_ms + duration_ms
        suspect.times_refused += 1
        suspect.trial = False
        self._counters.add(CounterKind.QUARANTINES, "started")
        _LOG.warning(
            "Request %s crashes servers; it is refused for %d ms.",
            fingerprint,
            duration_ms,
        )

    def _refuse(self, suspect: _Suspect, now_ms: float) -> None:
        self._counters.add(CounterKind.QUARANTINES, "refused")
        remaining_ms = max(0.0, suspect.refused_until_ms - now_ms)
        servers = {loss.server for losses in suspect.losses.values() for loss in losses}
        raise IbisfrontError(
            ErrorKind.QUARANTINED,
            f"{len(servers)} backend servers were lost while they ran it",
            retry_after_ms=math.ceil(remaining_ms) or 1_000,
        )

    def _tell(self, notice: CrashSeen) -> None:
        """Tell the neighbours, at a bounded rate.

        When a zone is lost, every request in flight loses servers at once;
        the notices of all of them would flood the links between instances.
        """
        now_ms = self._clock.now_ms()
        earned = _NOTICES_PER_S * (now_ms - self._notices_at_ms)
        self._notices = min(
            _NOTICES_PER_S, self._notices + earned / _MILLISECONDS_PER_SECOND
        )
        self._notices_at_ms = now_ms
        if self._peers is None or self._notices < 1.0:
            return
        self._notices -= 1.0
        self._peers.send_neighbours(notice)
