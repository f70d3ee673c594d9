"""What all instances know about requests that crash servers, and who may try one."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import msgspec

from ibisfront.core.counters import CounterKind
from ibisfront.core.logs import LogPart, part_logger
from ibisfront.gateway.instances.crash_report_delivery import (
    MAX_SUSPECTS_IN_REPORT,
    REPORT_TARGET,
    CrashReport,
    CrashReportDelivery,
    decode_report,
)
from ibisfront.gateway.instances.suspect_records import ClaimOutcome
from ibisfront.gateway.load.crash_suspects import (
    TRIAL_MS,
    CrashSuspects,
    fingerprint_of,
)
from ibisfront.gateway.load.token_bucket import TokenBucket
from ibisfront.gateway.messages import CallerReply, InboundRequest

if TYPE_CHECKING:
    from ibisfront.core.clock import Clock
    from ibisfront.core.counters import Counters
    from ibisfront.gateway.instances.suspect_records import Claim, SuspectRecords
    from ibisfront.gateway.servers.server_registry import ServerRegistry
    from ibisfront.gateway.wire import WireCodec

__all__ = ["CrashReports"]

_LOG = part_logger(LogPart.QUERY)

_OK = 200

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


class CrashReports:
    """Shares the suspects of all instances, and lets one instance at a time try one.

    A report goes from the instance that saw a failed run to all others, and the reply
    to it holds what the other knows.

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
        "_claim_tokens",
        "_claiming",
        "_clock",
        "_counters",
        "_delivery",
        "_lost_by_run",
        "_records",
        "_silent_trials",
        "_suspects",
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
        self._wire = wire
        self._clock = clock
        self._counters = counters
        self._records = records
        self._suspects = CrashSuspects()
        self._claiming: set[str] = set()
        # Of the latest runs that no server has survived, by request id.
        self._lost_by_run: OrderedDict[str, int] = OrderedDict()
        # Trials without a reply or a loss so far, by request id.
        self._silent_trials: dict[str, tuple[float, str]] = {}
        self._claim_tokens = TokenBucket(_MAX_CLAIMS_PER_S, clock.now_ms())
        self._delivery = CrashReportDelivery(
            peers=peers,
            wire=wire,
            clock=clock,
            counters=counters,
            find_known=self._suspects.known,
            on_reply=self._apply_reply,
        )

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
            _LOG.error(
                "A request failed all of its trials; refused until its record is gone.",
                extra={"fingerprint": fingerprint},
            )
            # One of the others may have seen it answered.
            self._delivery.send_to_all(self._known_report(fingerprint))
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
        _LOG.warning("A suspected request is tried on one server.", extra=fields)
        self._delivery.send_to_all(self._known_report(fingerprint))
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
        may_have_run: bool,
        is_survived: bool,
        servers_lost: int,
        is_cancelled: bool = False,
    ) -> None:
        """Record the end of a run of a request; report it if servers were lost.

        Parameters
        ----------
        request : InboundRequest
            The request.
        may_have_run : bool
            Whether any server may have run it.
        is_survived : bool
            Whether any server has run it to its end.
        servers_lost : int
            Servers that closed the connection while they ran it.
        is_cancelled : bool
            Whether it ended because its caller left; what its servers did then was
            not seen.
        """
        fingerprint = fingerprint_of(request)
        if may_have_run and not is_survived:
            self._lost_by_run[request.request_id] = servers_lost
            if len(self._lost_by_run) > _MAX_RUNS:
                self._lost_by_run.popitem(last=False)
        if is_survived:
            self._record_answer(fingerprint)
        elif servers_lost or (request.is_trial and may_have_run and is_cancelled):
            self._record_failed_run(request, fingerprint, servers_lost)
        elif request.is_trial and not may_have_run:
            self._record_unused_trial(fingerprint)
        elif may_have_run:
            self._counters.add(CounterKind.QUARANTINES, "no_loss_seen")
            if request.is_trial:
                due_ms = self._clock.now_ms() + TRIAL_MS
                self._silent_trials[request.request_id] = (due_ms, fingerprint)

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
            self._delivery.send_to_all(CrashReport(answered=[fingerprint]))
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
        self._delivery.send_limited(CrashReport(failed=[known]))
        if is_suspected and not was_suspected:
            self._records.save(known)

    def _record_unused_trial(self, fingerprint: str) -> None:
        now_ms = self._clock.now_ms()
        known = self._suspects.record_unused_trial(fingerprint, now_ms)
        if known is not None:
            self._counters.add(CounterKind.QUARANTINES, "trial_unused")
            self._delivery.send_to_all(CrashReport(failed=[known]))
            self._records.give_back(known)

    async def load_records(self) -> None:
        """Learn from the store which requests are suspected, after a start."""
        await self._records.load(
            lambda record: self._suspects.merge(record, self._clock.now_ms())
        )
        self._delivery.stop_asking()

    def request_known(self) -> None:
        """Ask some instances what they know, after a start, until one replies."""
        self._delivery.ask()

    def run_due(self) -> None:
        """Send again what is not confirmed, and take back trials that showed nothing.

        A server that hangs or fails shows nothing about the request, unless it is lost
        after all.
        """
        self._delivery.repeat_unconfirmed()
        now_ms = self._clock.now_ms()
        for request_id, (due_ms, fingerprint) in list(self._silent_trials.items()):
            if now_ms >= due_ms:
                del self._silent_trials[request_id]
                if not self._lost_by_run.get(request_id):
                    self._record_unused_trial(fingerprint)

    def answer(self, request: InboundRequest) -> CallerReply | None:
        """Return the reply to another instance's report; None if it is no report."""
        if request.target != REPORT_TARGET:
            return None
        report = decode_report(request.body)
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
            return CrashReport(list(suspects.all_known())[:MAX_SUSPECTS_IN_REPORT])
        now_ms = self._clock.now_ms()
        names = [item.fingerprint for item in report.failed]
        known = (suspects.known(name) for name in names)
        return CrashReport(
            failed=[item for item in known if item is not None],
            answered=[name for name in names if suspects.is_answered(name, now_ms)],
        )

    def _apply_reply(self, reply: CrashReport) -> None:
        """Apply the reply to a report of this instance.

        Of what it has reported, it tells all others also that it was answered.
        """
        for fingerprint in reply.answered:
            self._record_answer(fingerprint)
        self._merge(reply)

    def _merge(self, report: CrashReport) -> None:
        now_ms = self._clock.now_ms()
        for item in report.failed:
            self._suspects.merge(item, now_ms)
        for fingerprint in report.answered:
            self._suspects.record_answer(fingerprint, now_ms)
