"""Reports between instances about requests that crash backend servers."""

from __future__ import annotations

import math
import random
import secrets
from collections import OrderedDict
from collections.abc import Iterable
from functools import partial
from typing import TYPE_CHECKING

import msgspec

from ibisfront.core.counters import CounterKind
from ibisfront.core.logs import LogPart, part_logger
from ibisfront.gateway.instances.suspect_records import ClaimOutcome
from ibisfront.gateway.load.crash_suspects import (
    CrashSuspects,
    FailedRuns,
    fingerprint_of,
)
from ibisfront.gateway.load.token_bucket import TokenBucket
from ibisfront.gateway.messages import CallerReply, InboundRequest
from ibisfront.gateway.servers.exchange import Exchange

if TYPE_CHECKING:
    from ibisfront.core.clock import Clock
    from ibisfront.core.counters import Counters
    from ibisfront.gateway.instances.suspect_records import Claim, SuspectRecords
    from ibisfront.gateway.servers.server import Server
    from ibisfront.gateway.servers.server_registry import ServerRegistry
    from ibisfront.gateway.wire import WireCodec

__all__ = ["CrashReport", "CrashReports"]

_LOG = part_logger(LogPart.PEERS)
_QUERY_LOG = part_logger(LogPart.QUERY)

_TARGET = b"/ibisfront/crashes"
_OK = 200
_TIMEOUT_MS = 1_000.0
_MAX_REPORTS_PER_S = 5.0
"""Reports sent to all other instances; more come from failing servers, not requests."""

_REPEAT_MS = 500.0
"""Interval at which an unconfirmed report is repeated; some repeats fit into the
contact bound of some seconds."""

_PEERS_ASKED = 3
"""Instances that a started one asks at a time; any of them may be starting itself."""

_MAX_SUSPECTS_IN_REPLY = 8

_RETRY_AFTER_MS = 250.0
"""Retry-after time while a trial is claimed."""

_UNAVAILABLE_WAIT_MS = 250.0
"""Pause between claims while the store does not answer."""

_EXHAUSTED_WAIT_MS = 60_000.0
"""Pause before the record of an exhausted suspect is read again: an operator may have
removed it."""

_MAX_RUNS = 64
"""Runs whose servers may be lost after their end; that takes a second at most."""

_MAX_CLAIMS_PER_S = 5.0
"""Claims of this instance; more suspects than that come from failing servers."""


class CrashReport(msgspec.Struct, frozen=True):
    """What one instance tells another.

    Attributes
    ----------
    failed : list of FailedRuns
        Requests that lost servers.
    answered : list of str
        Fingerprints of requests that a server has run to their end.
    """

    failed: list[FailedRuns] = []
    answered: list[str] = []


class _Unconfirmed:
    """What one instance has not confirmed yet: fingerprints, and the last try."""

    __slots__ = ("exchange", "names", "sent_at_ms")

    def __init__(self) -> None:
        self.names: set[str] = set()
        self.sent_at_ms = -math.inf
        self.exchange: Exchange | None = None


class CrashReports:
    """Shares the suspects of all instances.

    A report goes from the instance that saw a failed run to all others, and the reply
    to it holds what the other knows. It is repeated to those that have not replied,
    also once they can be reached again.

    Parameters
    ----------
    peers : ServerRegistry
        The other instances.
    wire : WireCodec
        The codec.
    clock : Clock
        The clock.
    counters : Counters
        Counts reports and refusals.
    records : SuspectRecords
        Grants the trials of suspected requests.
    """

    __slots__ = (
        "_asked_at_ms",
        "_claim_tokens",
        "_claiming",
        "_clock",
        "_counters",
        "_is_informed",
        "_lost_by_run",
        "_peers",
        "_records",
        "_report_tokens",
        "_suspects",
        "_unconfirmed",
        "_wire",
    )

    def __init__(
        self,
        *,
        peers: ServerRegistry,
        wire: WireCodec,
        clock: Clock,
        counters: Counters,
        records: SuspectRecords,
    ) -> None:
        self._peers = peers
        self._wire = wire
        self._clock = clock
        self._counters = counters
        self._records = records
        self._suspects = CrashSuspects()
        self._claiming: set[str] = set()
        # Whether the store or another instance has told what was known at the start.
        self._is_informed = True
        self._asked_at_ms = clock.now_ms()
        # Of the latest runs that no server has survived, by request id.
        self._lost_by_run: OrderedDict[str, int] = OrderedDict()
        self._unconfirmed: dict[str, _Unconfirmed] = {}
        now_ms = clock.now_ms()
        self._report_tokens = TokenBucket(_MAX_REPORTS_PER_S, now_ms)
        self._claim_tokens = TokenBucket(_MAX_CLAIMS_PER_S, now_ms)

    def quarantine_left_ms(self, request: InboundRequest) -> float:
        """Return after how long a refused request may be tried again; 0 to go on."""
        return self._suspects.quarantine_left_ms(request, self._clock.now_ms())

    def is_suspected(self, request: InboundRequest) -> bool:
        """Return whether a request may reach servers in trials only."""
        return self._suspects.is_suspected(request)

    async def release(
        self, request: InboundRequest, *, timeout_ms: float
    ) -> float | None:
        """Let a request go to servers, as a trial if it is suspected.

        Parameters
        ----------
        request : InboundRequest
            The request; ``is_trial`` is set if it may reach one server first.
        timeout_ms : float
            How long it may wait for the store's answer.

        Returns
        -------
        float or None
            None if it may go on; otherwise after how many milliseconds its caller
            should retry.
        """
        if not self._suspects.is_suspected(request):
            return None
        fingerprint = fingerprint_of(request)
        left_ms = self._suspects.quarantine_left_ms(request, self._clock.now_ms())
        if left_ms:
            return left_ms
        if fingerprint in self._claiming:
            return _RETRY_AFTER_MS
        known = self._suspects.known(fingerprint)
        assert known is not None
        if not self._claim_tokens.try_spend(self._clock.now_ms()):
            return self._release_without_claim(fingerprint)
        self._claiming.add(fingerprint)
        try:
            claim = await self._records.claim_trial(known, timeout_ms=timeout_ms)
        finally:
            self._claiming.discard(fingerprint)
        return self._apply_claim(request, fingerprint, claim)

    def _apply_claim(
        self, request: InboundRequest, fingerprint: str, claim: Claim
    ) -> float | None:
        now_ms = self._clock.now_ms()
        if claim.outcome is ClaimOutcome.UNAVAILABLE:
            return self._release_without_claim(fingerprint)
        if claim.outcome is ClaimOutcome.LIFTED:
            self._suspects.clear(fingerprint)
            return None
        if claim.outcome is ClaimOutcome.EXHAUSTED:
            self._suspects.wait(fingerprint, _EXHAUSTED_WAIT_MS, now_ms)
            _QUERY_LOG.error(
                "A request failed all of its trials; refused until its record is gone.",
                extra={"fingerprint": fingerprint},
            )
            return _EXHAUSTED_WAIT_MS
        known = self._suspects.known(fingerprint)
        if claim.outcome is ClaimOutcome.TAKEN or claim.record is None:
            trials = known.trials if known is not None else 0
            self._suspects.record_trial(fingerprint, trials, now_ms)
            if claim.record is not None:
                self._suspects.merge(claim.record, now_ms)
            return _RETRY_AFTER_MS
        if known is None:
            # A server has answered another copy meanwhile.
            self._records.forget(fingerprint)
            return None
        request.is_trial = True
        self._suspects.record_trial(fingerprint, claim.record.trials, now_ms)
        fields = {
            "request_id": request.request_id,
            "fingerprint": fingerprint,
            "trials": claim.record.trials,
        }
        _QUERY_LOG.warning("A suspected request is tried on one server.", extra=fields)
        self._send_to_all(self._known_report(fingerprint))
        return None

    def _release_without_claim(self, fingerprint: str) -> float | None:
        """Let a request go on without a trial if only one run has lost servers.

        A sound request may have run beside one that crashes servers; it must not fail
        because the store is away too.
        """
        if not self._suspects.is_evident(fingerprint):
            return None
        now_ms = self._clock.now_ms()
        self._suspects.wait(fingerprint, _UNAVAILABLE_WAIT_MS, now_ms)
        return _UNAVAILABLE_WAIT_MS

    def _known_report(self, fingerprint: str) -> CrashReport:
        known = self._suspects.known(fingerprint)
        return CrashReport() if known is None else CrashReport(failed=[known])

    def record_run(
        self,
        request: InboundRequest,
        *,
        may_have_arrived: bool,
        is_survived: bool,
        servers_lost: int,
    ) -> None:
        """Record the end of a run of a request; report it if servers were lost.

        Parameters
        ----------
        request : InboundRequest
            The request.
        may_have_arrived : bool
            Whether any server may have received it.
        is_survived : bool
            Whether any server has run it to its end.
        servers_lost : int
            Servers that closed the connection while they ran it.
        """
        fingerprint = fingerprint_of(request)
        if may_have_arrived and not is_survived:
            self._lost_by_run[request.request_id] = servers_lost
            if len(self._lost_by_run) > _MAX_RUNS:
                self._lost_by_run.popitem(last=False)
        if is_survived:
            self._record_answer(fingerprint)
        elif servers_lost or (request.is_trial and may_have_arrived):
            self._record_failed_run(request, fingerprint, servers_lost)
        elif request.is_trial:
            self._record_unused_trial(fingerprint)
        elif may_have_arrived:
            self._counters.add(CounterKind.QUARANTINES, "no_loss_seen")

    def record_late_loss(self, request: InboundRequest) -> None:
        """Record that a server was lost by a run that has ended.

        A run may end before it sees what becomes of its servers, for instance because
        all of them are silent.
        """
        lost = self._lost_by_run.get(request.request_id)
        if lost is not None:
            self._lost_by_run[request.request_id] = lost + 1
            self._record_failed_run(request, fingerprint_of(request), lost + 1)

    def _record_answer(self, fingerprint: str) -> None:
        if self._suspects.record_answer(fingerprint, self._clock.now_ms()):
            self._counters.add(CounterKind.QUARANTINES, "cleared")
            self._send_to_all(CrashReport(answered=[fingerprint]))
            self._records.forget(fingerprint)

    def _record_failed_run(
        self, request: InboundRequest, fingerprint: str, servers_lost: int
    ) -> None:
        before = self._suspects.known(fingerprint)
        was_suspected = self._suspects.is_suspected(request)
        known = self._suspects.record_failed_run(
            fingerprint, request.request_id, servers_lost, self._clock.now_ms()
        )
        if known is None:
            return
        is_suspected = self._suspects.is_suspected(request)
        is_known_run = before is not None and request.request_id in before.servers_lost
        if is_known_run and is_suspected is was_suspected:
            return
        self._counters.add(CounterKind.QUARANTINES, "suspected")
        self._send_limited(CrashReport(failed=[known]))
        if is_suspected and not was_suspected:
            self._records.save(known)

    def _record_unused_trial(self, fingerprint: str) -> None:
        known = self._suspects.record_unused_trial(fingerprint)
        if known is not None:
            self._counters.add(CounterKind.QUARANTINES, "trial_unused")
            self._send_to_all(CrashReport(failed=[known]))
            self._records.give_back(known)

    async def load_records(self) -> None:
        """Learn from the store which requests are suspected, after a start."""
        await self._records.load(
            lambda record: self._suspects.merge(record, self._clock.now_ms())
        )
        self._is_informed = True

    def request_known(self) -> None:
        """Ask some instances what they know, after a start, until one replies."""
        self._is_informed = False
        self._ask()

    def _ask(self) -> None:
        self._asked_at_ms = self._clock.now_ms()
        peers = list(self._peers.servers())
        for peer in random.sample(peers, min(len(peers), _PEERS_ASKED)):
            self._send(peer, CrashReport())

    def answer(self, request: InboundRequest) -> CallerReply | None:
        """Return the reply to another instance's report; None if it is no report."""
        if request.target != _TARGET:
            return None
        report = _decode(request.body)
        reply = CrashReport()
        if report is not None:
            self._merge(report)
            reply = self._reply_to(report)
        headers = [self._wire.request_id(request.request_id)]
        body = msgspec.msgpack.encode(reply)
        return CallerReply(_OK, headers, body, "crash_report")

    def _reply_to(self, report: CrashReport) -> CrashReport:
        """Return what is known here about the requests of a report, or about all."""
        suspects = self._suspects
        if not report.failed and not report.answered:
            return CrashReport(list(suspects.all_known())[:_MAX_SUSPECTS_IN_REPLY])
        now_ms = self._clock.now_ms()
        names = [item.fingerprint for item in report.failed]
        known = (suspects.known(name) for name in names)
        return CrashReport(
            failed=[item for item in known if item is not None],
            answered=[name for name in names if suspects.is_answered(name, now_ms)],
        )

    def _merge(self, report: CrashReport) -> None:
        now_ms = self._clock.now_ms()
        for item in report.failed:
            self._suspects.merge(item, now_ms)
        for fingerprint in report.answered:
            self._suspects.record_answer(fingerprint, now_ms)

    def repeat_unconfirmed(self) -> None:
        """Send again what other instances have not replied to."""
        now_ms = self._clock.now_ms()
        if not self._is_informed and now_ms >= self._asked_at_ms + _REPEAT_MS:
            self._ask()
        if not self._unconfirmed:
            return
        peers = {peer.entry.server_id: peer for peer in self._peers.servers()}
        for name, unconfirmed in list(self._unconfirmed.items()):
            peer = peers.get(name)
            known = [self._suspects.known(item) for item in unconfirmed.names]
            failed = [item for item in known if item is not None]
            if peer is None or not failed:
                del self._unconfirmed[name]
            elif now_ms >= unconfirmed.sent_at_ms + _REPEAT_MS and peer.is_reachable(
                now_ms
            ):
                self._counters.add(CounterKind.QUARANTINES, "reported_again")
                if unconfirmed.exchange is not None:
                    # Its connection may have gone silent for good.
                    unconfirmed.exchange.abandon(at_once=True)
                self._send_failed(peer, failed[:_MAX_SUSPECTS_IN_REPLY], now_ms)

    def _send_limited(self, report: CrashReport) -> None:
        """Send a report to all at once, or later if there were too many."""
        if self._report_tokens.try_spend(self._clock.now_ms()):
            self._send_to_all(report)
            return
        self._counters.add(CounterKind.QUARANTINES, "not_reported")
        for peer in self._peers.servers():
            self._unconfirmed_by(peer).names.update(_names(report.failed))

    def _send_to_all(self, report: CrashReport) -> None:
        now_ms = self._clock.now_ms()
        for peer in self._peers.servers():
            if report.failed:
                self._unconfirmed_by(peer).names.update(_names(report.failed))
            if not peer.is_reachable(now_ms):
                continue
            if report.failed:
                self._send_failed(peer, report.failed, now_ms)
            else:
                self._send(peer, report)

    def _send_failed(
        self, peer: Server, failed: list[FailedRuns], now_ms: float
    ) -> None:
        unconfirmed = self._unconfirmed_by(peer)
        unconfirmed.sent_at_ms = now_ms
        unconfirmed.exchange = self._send(peer, CrashReport(failed=failed))

    def _unconfirmed_by(self, peer: Server) -> _Unconfirmed:
        return self._unconfirmed.setdefault(peer.entry.server_id, _Unconfirmed())

    def _record_confirmed(self, peer: Server, report: CrashReport) -> None:
        """Record that an instance has replied to a report."""
        self._is_informed = self._is_informed or not (report.failed or report.answered)
        name = peer.entry.server_id
        unconfirmed = self._unconfirmed.get(name)
        if unconfirmed is None:
            return
        unconfirmed.names -= _names(report.failed)
        if not unconfirmed.names:
            del self._unconfirmed[name]

    def _send(self, peer: Server, report: CrashReport) -> Exchange | None:
        if peer.pool is None:
            return None
        request_id = secrets.token_hex(8)
        address = peer.entry.address.encode()
        now_ms = self._clock.now_ms()
        request = InboundRequest(
            method=b"POST",
            target=_TARGET,
            host=peer.entry.address,
            request_id=request_id,
            deadline_ms=None,
            headers=[(b"Host", address), self._wire.request_id(request_id)],
            body=msgspec.msgpack.encode(report),
            arrived_at_ms=now_ms,
        )
        encode_for = self._wire.encode_request(request)
        exchange = Exchange(
            peer,
            request_id=request_id.encode(),
            payload=lambda at_ms: encode_for(peer.entry.server_id, _TIMEOUT_MS),
            on_end=partial(self._on_exchange_end, report),
            rank=0,
            created_at_ms=now_ms,
            expected_ms=_TIMEOUT_MS,
        )
        peer.pool.submit(exchange)
        return exchange

    def _on_exchange_end(self, sent: CrashReport, exchange: Exchange) -> None:
        if exchange.server.pool is not None:
            exchange.server.pool.record_ended(exchange)
        if exchange.reply is None:
            return
        exchange.server.record_alive(self._clock.now_ms())
        self._record_confirmed(exchange.server, sent)
        if exchange.reply.status != _OK:
            # An instance of an earlier version does not know reports.
            self._counters.add(CounterKind.QUARANTINES, "not_understood")
            return
        report = _decode(exchange.reply.body)
        if report is not None:
            self._merge(report)


def _names(failed: Iterable[FailedRuns]) -> set[str]:
    return {item.fingerprint for item in failed}


def _decode(body: bytes) -> CrashReport | None:
    try:
        return msgspec.msgpack.decode(body, type=CrashReport)
    except msgspec.DecodeError as error:
        _LOG.warning("A crash report cannot be read: %s.", error)
        return None
