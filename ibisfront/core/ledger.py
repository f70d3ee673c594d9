"""At-most-once execution of non-idempotent requests, based on claims."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

import trio

from ibisfront.core.attempts import AttemptRegistry
from ibisfront.core.claim import (
    ClaimRecord,
    ClaimState,
    request_fingerprint,
    stored_record,
)
from ibisfront.core.claim_answers import (
    answer_from_record,
    not_run_error,
    outcome_unknown_error,
)
from ibisfront.core.claimed_run import ClaimedRun, SendOnce, run_claimed
from ibisfront.core.claimer import Claimer
from ibisfront.core.counters import CounterKind
from ibisfront.core.errors import ErrorKind, IbisfrontError, Ran
from ibisfront.core.idempotency_key import (
    IdempotencyKey,
    check_key_time,
    key_expired_error,
    parse_key,
)
from ibisfront.core.ledger_bucket import (
    bucket_name,
    key_slot,
)
from ibisfront.core.ledger_messages import AttemptStatusRequest
from ibisfront.core.ledger_writer import LedgerWriter, read_bucket

if TYPE_CHECKING:
    from ibisfront.core.attempts import Attempt
    from ibisfront.core.clock import Clock
    from ibisfront.core.conditional_platform import ConditionalPlatform
    from ibisfront.core.counters import Counters
    from ibisfront.core.peers import Peers
    from ibisfront.core.query import CallerRequest, PerformAnswer
    from ibisfront.core.table import Purpose

__all__ = ["Ledger"]

_PROCESS_NAME_BYTES = 8
_WITHDRAWAL_WRITE_TIMEOUT_MS = 60_000.0
_OUTCOME_WRITE_TIMEOUT_MS = 600_000.0


class Ledger:
    """Runs non-idempotent requests at most once.

    The guarantee rests on two invariants. On the platform, the record of a key
    names one attempt and is replaced only by a conditional write, after the
    process that made the attempt has proved that it will never run. Within
    that process, an attempt is either sent or dropped, never both (see
    ``Attempt``).

    Parameters
    ----------
    instance : str
        This instance's name.
    send_once : callable
        Sends one claimed request.
    clock : Clock
        The tier's clock.
    counters : Counters
        Counts claims.
    process : str, optional
        Unique name of this process; random if omitted.
    """

    __slots__ = (
        "_attempts",
        "_claimer",
        "_clock",
        "_counters",
        "_nursery",
        "_platform",
        "_process",
        "_send_once",
    )

    def __init__(
        self,
        *,
        instance: str,
        send_once: SendOnce,
        clock: Clock,
        counters: Counters,
        process: str = "",
    ) -> None:
        self._process = process or secrets.token_hex(_PROCESS_NAME_BYTES)
        self._attempts = AttemptRegistry(instance=instance, process=self._process)
        self._send_once = send_once
        self._clock = clock
        self._counters = counters
        self._platform: ConditionalPlatform | None = None
        self._nursery: trio.Nursery | None = None
        self._claimer = Claimer(self._attempts, clock=clock, counters=counters)

    def use_peers(self, peers: Peers) -> None:
        """Exchange the status of attempts with the other instances."""
        self._claimer.peers = peers
        peers.respond(AttemptStatusRequest, self._claimer.report_attempt)

    async def run(
        self,
        platform: ConditionalPlatform,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Write claims and send claimed requests until cancelled."""
        async with trio.open_nursery() as nursery:
            self._platform = platform
            self._nursery = nursery
            self._claimer.writer = LedgerWriter(
                platform,
                nursery=nursery,
                clock=self._clock,
                counters=self._counters,
                seed=self._process,
            )
            task_status.started()
            try:
                await trio.sleep_forever()
            finally:
                # A caller's task may outlive this one. It must find the
                # ledger closed, not a nursery that accepts no more tasks.
                self._claimer.writer = None
                self._nursery = None

    async def flush(self) -> None:
        """Wait until all outcomes known to this process are written."""
        if self._claimer.writer is not None:
            await self._claimer.writer.flush()

    async def perform(
        self, request: CallerRequest, purpose: Purpose, key: str
    ) -> PerformAnswer:
        """Claim a request and run it, or return its stored outcome.

        "Not run" is final for this copy: it is never sent afterwards. The same
        key runs again only if the caller sends another copy.

        Raises
        ------
        IbisfrontError
            If there is no result; its ``ran`` states whether the request ran.
        """
        parsed = parse_key(key)
        check_key_time(parsed, wall_ms=self._clock.wall_ms())
        fingerprint = request_fingerprint(request)
        while (earlier := self._attempts.active(parsed)) is not None:
            outcome = await self._await_local_attempt(earlier, request, fingerprint)
            if outcome is not None and outcome.is_final:
                return self._repeated_answer(outcome, request, parsed)
        attempt = self._attempts.open(
            parsed, fingerprint=fingerprint, deadline_at_ms=request.deadline_at_ms
        )
        try:
            return await self._claim_and_run(attempt, request, purpose)
        finally:
            self._release_attempt(attempt)

    async def outcome(self, key: str) -> PerformAnswer:
        """Return the outcome of an earlier request.

        Raises
        ------
        IbisfrontError
            If there is no result. An unknown key is "maybe", since a copy of
            it may be in transit. No call revokes a key yet; "no" is reserved
            for that state.
        """
        parsed = parse_key(key)
        record = await self._find_record(parsed)
        if record is None:
            raise IbisfrontError(
                ErrorKind.NOT_FOUND,
                f"no claim of {key} is recorded; a copy may be in transit",
                ran=Ran.MAYBE,
            )
        if record.state is ClaimState.NOT_RUN:
            raise outcome_unknown_error(
                key,
                "the last claimed copy did not run, but another may be in transit;"
                " send the request again with the same key",
            )
        return answer_from_record(record, request_id="", key=parsed.text, repeated=True)

    async def _claim_and_run(
        self, attempt: Attempt, request: CallerRequest, purpose: Purpose
    ) -> PerformAnswer:
        record = await self._claimer.acquire(attempt)
        if record.attempt != attempt.attempt_id:
            return self._repeated_answer(record, request, attempt.key)
        self._counters.add(CounterKind.CLAIMS, "claimed")
        run = ClaimedRun(request, purpose, attempt=attempt, clock=self._clock)
        self._start(run)
        with self._claimer.until_deadline(attempt):
            await attempt.ended.wait()
        return self._answer(attempt, request)

    def _answer(self, attempt: Attempt, request: CallerRequest) -> PerformAnswer:
        key = attempt.key.text
        if attempt.drop():
            raise not_run_error(
                attempt.claim_record(ClaimState.NOT_RUN, "timed_out"), key
            )
        outcome = attempt.outcome
        if outcome is None:
            raise outcome_unknown_error(key, "no reply arrived before the deadline")
        return answer_from_record(
            outcome, request_id=request.request_id, key=key, repeated=False
        )

    async def _execute(self, run: ClaimedRun) -> None:
        """Send a claimed request and record its outcome.

        Runs independently of the caller's task: once the request is sent, a
        caller that disconnects changes nothing, and another copy gets the
        outcome.
        """
        attempt = run.attempt
        outcome = await run_claimed(run, self._send_once, self._clock)
        attempt.settle(outcome)
        self._counters.add(CounterKind.CLAIMS, f"ended_{outcome.state.value}")
        if attempt.outcome is not None:
            self._claimer.record_outcome(
                attempt, stored_record(outcome), timeout_ms=_OUTCOME_WRITE_TIMEOUT_MS
            )

    async def _await_local_attempt(
        self, earlier: Attempt, request: CallerRequest, fingerprint: str
    ) -> ClaimRecord | None:
        """Wait for the attempt of another copy received by this instance."""
        if earlier.fingerprint != fingerprint:
            raise self._claimer.key_reused_error(earlier.key)
        with self._claimer.until_deadline(request):
            await earlier.ended.wait()
        if earlier.is_active:
            raise outcome_unknown_error(
                earlier.key.text, "another copy is in progress here"
            )
        return earlier.outcome

    async def _find_record(self, key: IdempotencyKey) -> ClaimRecord | None:
        active = self._attempts.active(key)
        if active is not None:
            return active.claim_record()
        if self._platform is None:
            raise IbisfrontError(
                ErrorKind.PLATFORM_UNAVAILABLE, "the ledger has not started yet"
            )
        try:
            view = await read_bucket(self._platform, bucket_name(key))
        except IbisfrontError as error:
            raise IbisfrontError(error.kind, error.detail, ran=Ran.MAYBE) from error
        if view.bucket.slot > key_slot(key):
            raise key_expired_error(key)
        record = view.bucket.records.get(key.text)
        if record is None or record.state is not ClaimState.CLAIMED:
            return record
        return (await self._claimer.query_attempt(record.attempt)).outcome or record

    def _release_attempt(self, attempt: Attempt) -> None:
        """End an attempt whose caller was answered or has disconnected."""
        attempt.caller_answered = True
        if attempt.drop() and attempt.submitted:
            self._counters.add(CounterKind.CLAIMS, "withdrawn")
            withdrawn = attempt.claim_record(ClaimState.NOT_RUN, "withdrawn")
            self._claimer.record_outcome(
                attempt, withdrawn, timeout_ms=_WITHDRAWAL_WRITE_TIMEOUT_MS
            )
        attempt.discard_large_result()

    def _repeated_answer(
        self, record: ClaimRecord, request: CallerRequest, key: IdempotencyKey
    ) -> PerformAnswer:
        self._counters.add(CounterKind.CLAIMS, "repeated")
        return answer_from_record(
            record, request_id=request.request_id, key=key.text, repeated=True
        )

    def _start(self, run: ClaimedRun) -> None:
        if self._nursery is None:
            raise IbisfrontError(
                ErrorKind.CLAIM_UNAVAILABLE,
                f"this instance stopped before {run.attempt.key.text} was sent",
            )
        self._nursery.start_soon(self._execute, run)
