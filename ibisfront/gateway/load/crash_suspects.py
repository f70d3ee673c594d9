"""Requests suspected of crashing the backend servers that run them.

Load pattern: one request crashes each server that runs it, and its caller sends it
again, to any instance. Each copy costs a server of every service that it reaches.
"""

from __future__ import annotations

import hashlib
import math
from collections import OrderedDict
from typing import TYPE_CHECKING
from zlib import crc32

import msgspec

from ibisfront.core.logs import LogPart, part_logger
from ibisfront.gateway.servers.entry_fields import Count

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ibisfront.gateway.messages import InboundRequest

__all__ = [
    "MAX_TRIALS",
    "TRIAL_MS",
    "CrashSuspects",
    "FailedRuns",
    "fingerprint_of",
]

_LOG = part_logger(LogPart.QUERY)

_DIGEST_BYTES = 12

MAX_TRIALS = 2
"""Trials of a suspected request, over all instances and for good. Three copies at
servers are tolerated later than the contact bound after the third lost server; one is
left for an instance that does not know yet that the request is suspected."""

_MIN_SERVERS_LOST = 3
"""Servers lost before a request is suspected and reaches servers in trials only."""

_MIN_RUNS = 2
"""Runs that lost servers before a suspected request is quarantined. In one run alone,
the servers may have been lost for another reason at the same moment."""

_QUARANTINES_MS = (1_000.0, 4_000.0, 16_000.0, 64_000.0, 3_600_000.0)
"""Durations of a request's quarantines, each followed by a trial. The first is short,
since requests that ran beside the one that crashes servers lose them too."""

TRIAL_MS = 2_000.0
"""How long copies wait for the outcome of a trial; longer than most deadlines. After
that the instance that holds the trial counts as lost."""

_TRIAL_RETRY_MS = 250.0
"""Retry-after time meanwhile: the outcome is known soon after one server's reply."""

_UNUSED_WAIT_MS = 1_000.0
_MAX_UNUSED_WAIT_MS = 8_000.0
"""Waits after trials that no server has run, doubled each time. They end soon after
servers that reject or hang are well again, and come rarely while these are not."""

_MAX_EXTENSION = 1.0
"""Largest share by which a quarantine is extended. The extension depends on the
request: one that only ran beside another is not tried again at the same moment."""

_ANSWERED_TTL_MS = 60_000.0
"""How long an answer proves that a request does not crash servers."""

_SUSPICION_TTL_MS = 300_000.0
_MAX_SUSPECTS = 100
_MAX_ANSWERED = 4_096
_MAX_RUNS = 8
"""Runs remembered of a suspect, the latest."""

_MAX_QUARANTINED = 8
"""Requests in quarantine at a time. If more seem to crash servers, it is the servers
that fail, and refusing requests would prolong the outage."""


class FailedRuns(msgspec.Struct, frozen=True):
    """The runs of a request that lost servers, none of which ran it to its end.

    Attributes
    ----------
    fingerprint : str
        Digest that is equal for all copies of the request.
    servers_lost : dict of str to int
        Servers lost by each run, by the request id of the run.
    quarantines : int
        How often it has been quarantined.
    trials : int
        How many trials of it have been granted.
    unused_trials : int
        How many of these showed nothing, and do not count.
    """

    fingerprint: str
    servers_lost: dict[str, Count]
    quarantines: Count = 0
    trials: Count = 0
    unused_trials: Count = 0

    @property
    def has_trials_left(self) -> bool:
        """Whether another trial may be granted."""
        return self.trials - self.unused_trials < MAX_TRIALS


class _Suspect:
    """What is known about one suspected request."""

    __slots__ = (
        "last_seen_ms",
        "quarantined_until_ms",
        "quarantines",
        "servers_lost",
        "trial_until_ms",
        "trials",
        "unused_trials",
        "waits_until_ms",
    )

    def __init__(self) -> None:
        self.servers_lost: dict[str, int] = {}
        self.quarantines = 0
        self.quarantined_until_ms = -math.inf
        self.trials = 0
        self.unused_trials = 0
        self.trial_until_ms = -math.inf
        # While no trial can be granted.
        self.waits_until_ms = -math.inf
        self.last_seen_ms = -math.inf

    def add_runs(self, servers_lost: dict[str, int]) -> bool:
        """Add the servers lost by runs; return whether any run was unknown."""
        new_ids = servers_lost.keys() - self.servers_lost.keys()
        for request_id, count in servers_lost.items():
            known = self.servers_lost.get(request_id, 0)
            self.servers_lost[request_id] = max(count, known)
        while len(self.servers_lost) > _MAX_RUNS:
            del self.servers_lost[next(iter(self.servers_lost))]
        return bool(new_ids)

    @property
    def is_suspected(self) -> bool:
        """Whether enough servers were lost, in any number of runs.

        The runs that lost them may have been displaced by later ones.
        """
        return self.trials > 0 or sum(self.servers_lost.values()) >= _MIN_SERVERS_LOST

    @property
    def is_evident(self) -> bool:
        """Whether enough servers were lost by enough runs."""
        return len(self.servers_lost) >= _MIN_RUNS and self.is_suspected

    def record_unused(self, unused_trials: int, now_ms: float) -> None:
        """Take back trials; the next one waits longer the more there were."""
        self.unused_trials = unused_trials
        wait_ms = min(_UNUSED_WAIT_MS * 2 ** (unused_trials - 1), _MAX_UNUSED_WAIT_MS)
        self.trial_until_ms = -math.inf
        self.waits_until_ms = now_ms + wait_ms

    def retry_after_ms(self, now_ms: float) -> float:
        """Return after how long a copy may be let through; 0 if at once."""
        left_ms = max(self.quarantined_until_ms, self.waits_until_ms) - now_ms
        if left_ms > 0.0:
            return left_ms
        return min(max(self.trial_until_ms - now_ms, 0.0), _TRIAL_RETRY_MS)


def fingerprint_of(request: InboundRequest) -> str:
    """Return a digest that is equal for all copies of a request.

    Copies come from one caller, of whom the workspace is known. The same request of
    another workspace is another one, which servers may survive. Without a workspace the
    digest is that of instances of earlier versions.
    """
    digest = hashlib.blake2b(request.method, digest_size=_DIGEST_BYTES)
    fields = [request.host.encode(), request.target, request.body]
    if request.workspace:
        fields.append(request.workspace.encode())
    for field in fields:
        digest.update(b"%d " % len(field))
        digest.update(field)
    return digest.hexdigest()


class CrashSuspects:
    """Decides which requests are refused because they crash servers.

    A request is suspected once its runs, here or at other instances, have lost three
    servers and no server has run it to its end. Its copies then reach servers in trials
    only: one copy at a time over all instances, at one server first, and no more than
    ``MAX_TRIALS``. Once two runs have lost servers it is quarantined before each trial,
    each time for longer. It is cleared once a server has run it to its end.
    """

    __slots__ = ("_answered_at_ms", "_suspects")

    def __init__(self) -> None:
        self._suspects: OrderedDict[str, _Suspect] = OrderedDict()
        self._answered_at_ms: OrderedDict[str, float] = OrderedDict()

    def quarantine_left_ms(self, request: InboundRequest, now_ms: float) -> float:
        """Return after how long a refused request may be tried again; 0 to go on."""
        if not self._suspects:
            return 0.0
        suspect = self._suspects.get(fingerprint_of(request))
        if suspect is None:
            return 0.0
        suspect.last_seen_ms = now_ms
        return suspect.retry_after_ms(now_ms)

    def is_suspected(self, request: InboundRequest) -> bool:
        """Return whether a request may reach servers in trials only."""
        if not self._suspects:
            return False
        suspect = self._suspects.get(fingerprint_of(request))
        return suspect is not None and suspect.is_suspected

    def is_evident(self, fingerprint: str) -> bool:
        """Return whether several runs of a request have lost servers."""
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and suspect.is_evident

    def record_trial(self, fingerprint: str, trials: int, now_ms: float) -> None:
        """Record that a trial has been granted; other copies wait for its outcome."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            suspect.trials = max(suspect.trials, trials)
            suspect.trial_until_ms = now_ms + TRIAL_MS

    def wait(self, fingerprint: str, wait_ms: float, now_ms: float) -> None:
        """Refuse copies for some time, as no trial can be granted."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            suspect.waits_until_ms = now_ms + wait_ms

    def record_unused_trial(self, fingerprint: str, now_ms: float) -> FailedRuns | None:
        """Take back a trial that showed nothing; return what is known."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return None
        suspect.record_unused(suspect.unused_trials + 1, now_ms)
        return self.known(fingerprint)

    def record_answer(self, fingerprint: str, now_ms: float) -> bool:
        """Record that a server has run it; return whether that cleared a suspicion."""
        self._answered_at_ms[fingerprint] = now_ms
        self._answered_at_ms.move_to_end(fingerprint)
        if len(self._answered_at_ms) > _MAX_ANSWERED:
            self._answered_at_ms.popitem(last=False)
        return self._suspects.pop(fingerprint, None) is not None

    def record_failed_run(
        self, fingerprint: str, request_id: str, servers_lost: int, now_ms: float
    ) -> FailedRuns | None:
        """Record a run that lost servers; return what to tell other instances."""
        report = FailedRuns(fingerprint, {request_id: servers_lost})
        self.merge(report, now_ms)
        return self.known(fingerprint)

    def merge(self, report: FailedRuns, now_ms: float) -> None:
        """Add what another instance knows about a request."""
        if self.is_answered(report.fingerprint, now_ms):
            return
        suspect = self._suspect(report.fingerprint, now_ms)
        has_new_run = suspect.add_runs(report.servers_lost)
        if report.trials > suspect.trials:
            self.record_trial(report.fingerprint, report.trials, now_ms)
        if report.unused_trials > suspect.unused_trials:
            suspect.record_unused(report.unused_trials, now_ms)
        is_behind = report.quarantines > suspect.quarantines
        is_free = now_ms >= suspect.quarantined_until_ms
        if suspect.is_evident and (is_behind or (is_free and has_new_run)):
            self._quarantine(report.fingerprint, suspect, report.quarantines, now_ms)

    def is_answered(self, fingerprint: str, now_ms: float) -> bool:
        """Return whether a server has run a request to its end a short time ago."""
        answered_at_ms = self._answered_at_ms.get(fingerprint, -math.inf)
        return now_ms < answered_at_ms + _ANSWERED_TTL_MS

    def clear(self, fingerprint: str) -> None:
        """Clear a request that another instance has seen answered."""
        self._suspects.pop(fingerprint, None)

    def known(self, fingerprint: str) -> FailedRuns | None:
        """Return what is known about a request; None if it is not suspected."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return None
        return FailedRuns(
            fingerprint,
            dict(suspect.servers_lost),
            suspect.quarantines,
            suspect.trials,
            suspect.unused_trials,
        )

    def all_known(self) -> Iterable[FailedRuns]:
        """Return what is known about each suspect, the latest first."""
        for fingerprint in reversed(self._suspects):
            known = self.known(fingerprint)
            assert known is not None
            yield known

    def _suspect(self, fingerprint: str, now_ms: float) -> _Suspect:
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and self._is_expired(suspect, now_ms):
            suspect = None
        if suspect is None:
            suspect = self._suspects[fingerprint] = _Suspect()
        suspect.last_seen_ms = now_ms
        self._suspects.move_to_end(fingerprint)
        if len(self._suspects) > _MAX_SUSPECTS:
            self._drop_one()
        return suspect

    def _drop_one(self) -> None:
        """Forget the request seen longest ago, one that is not suspected if possible.

        In an outage many requests lose a server or two; they must not displace one
        that crashes them. The last one has just been added.
        """
        names = list(self._suspects)[:-1]
        unsuspected = (name for name in names if not self._suspects[name].is_suspected)
        del self._suspects[next(unsuspected, names[0])]

    def _is_expired(self, suspect: _Suspect, now_ms: float) -> bool:
        if suspect.is_suspected:
            # The bound on its copies holds for good.
            return False
        return now_ms > suspect.last_seen_ms + _SUSPICION_TTL_MS

    def _quarantine(
        self, fingerprint: str, suspect: _Suspect, reported: int, now_ms: float
    ) -> None:
        quarantined = sum(
            now_ms < other.quarantined_until_ms
            for other in self._suspects.values()
            if other is not suspect
        )
        if quarantined >= _MAX_QUARANTINED:
            return
        suspect.quarantines = max(suspect.quarantines + 1, reported)
        index = min(suspect.quarantines, len(_QUARANTINES_MS)) - 1
        extension = _MAX_EXTENSION * crc32(fingerprint.encode()) / 0xFFFF_FFFF
        duration_ms = _QUARANTINES_MS[index] * (1.0 + extension)
        suspect.quarantined_until_ms = now_ms + duration_ms
        fields = {
            "fingerprint": fingerprint,
            "servers_lost": sum(suspect.servers_lost.values()),
            "request_ids": list(suspect.servers_lost),
            "quarantines": suspect.quarantines,
        }
        _LOG.warning(
            "A request crashes servers; refused for %d ms.", duration_ms, extra=fields
        )
