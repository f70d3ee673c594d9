"""Claims of non-idempotent requests, so that each runs at most once."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

import trio

from ibisfront.core.attempts import AttemptRegistry
from ibisfront.core.claim import (
    ClaimRecord,
    ClaimState,
    kept_record,
    request_fingerprint,
)
from ibisfront.core.claim_answers import answer_of, not_run_error, outcome_unknown
from ibisfront.core.claimed_run import ClaimedRun, RunOnce, run_claimed
from ibisfront.core.counters import CounterKind
from ibisfront.core.errors import ErrorKind, IbisfrontError, Ran
from ibisfront.core.idempotency_key import (
    IdempotencyKey,
    check_key_time,
    key_expired,
    parse_key,
)
from ibisfront.core.ledger_bucket import (
    SLOT_MS,
    Change,
    ChangeResult,
    bucket_name,
    key_slot,
)
from ibisfront.core.ledger_messages import (
    AttemptAnswer,
    AttemptQuestion,
    attempt_answer,
)
from ibisfront.core.ledger_writer import LedgerPlatform, LedgerWriter, read_bucket

if TYPE_CHECKING:
    from ibisfront.core.attempts import Attempt
    from ibisfront.core.claim import AttemptId
    from ibisfront.core.clock import Clock
    from ibisfront.core.counters import Counters
    from ibisfront.core.peers import Peers
    from ibisfront.core.query import CallerRequest, PerformAnswer
    from ibisfront.core.table import Purpose

__all__ = ["Ledger"]

_PROCESS_NAME_BYTES = 8
_CLAIM_TIMEOUT_MS = 3_000.0
_WITHDRAW_FOR_MS = 60_000.0
_SETTLE_FOR_MS = 600_000.0
_ASK_TIMEOUT_MS = 250.0
_FIRST_POLL_MS = 50.0
_MAXIMUM_POLL_MS = 1_000.0


class Ledger:
    """Runs non-idempotent requests at most once.

    The rule rests on two facts. In the platform, a key's record names one
    attempt, and it is replaced only by a conditional write, after its attempt
    was proved dead by the process that made it. In that process, an attempt
    is either sent or dropped, never both (see ``Attempt``).

    Parameters
    ----------
    instance : str
        This instance's name.
    run_once : callable
        Sends one claimed request.
    clock : Clock
        The tier's clock.
    counters : Counters
        Where claims are counted.
    process : str, optional
        The name of this process, never used before; random if left out.
    """

    __slots__ = (
        "_attempts",
        "_clock",
        "_counters",
        "_nursery",
        "_peers",
        "_platform",
        "_process",
        "_run_once",
        "_writer",
    )

    def __init__(
        self,
        *,
        instance: str,
        run_once: RunOnce,
        clock: Clock,
        counters: Counters,
        process: str = "",
    ) -> None:
        self._process = process or secrets.token_hex(_PROCESS_NAME_BYTES)
        self._attempts = AttemptRegistry(instance=instance, process=self._process)
        self._run_once = run_once
        self._clock = clock
        self._counters = counters
        self._peers: Peers | None = None
        self._platform: LedgerPlatform | None = None
        self._nursery: trio.Nursery | None = None
        self._writer: LedgerWriter | None = None

    def use_peers(self, peers: Peers) -> None:
        """Answer the other instances' questions, and ask them."""
        self._peers = peers
        peers.answer(AttemptQuestion, self._tell_attempt)

    async def run(
        self,
        platform: LedgerPlatform,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Write claims and send claimed requests until cancelled."""
        async with trio.open_nursery() as nursery:
            self._platform = platform
            self._nursery = nursery
            self._writer = LedgerWriter(
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
                # A caller's task may end later than this one. It must find
                # the ledger closed, not a nursery that takes no more tasks.
                self._writer = None
                self._nursery = None

    async def finish(self) -> None:
        """Wait until every outcome known here is written."""
        if self._writer is not None:
            await self._writer.wait_written()

    async def perform(
        self, request: CallerRequest, purpose: Purpose, key: str
    ) -> PerformAnswer:
        """Claim a request and run it, or return its kept outcome.

        "Not run" is said of this copy, for good: nothing sends it afterwards.
        The same key runs again only if the caller sends another copy.

        Raises
        ------
        IbisfrontError
            With what is known about its having run.
        """
        parsed = parse_key(key)
        check_key_time(parsed, wall_ms=self._clock.wall_ms())
        fingerprint = request_fingerprint(request)
        while (earlier := self._attempts.active(parsed)) is not None:
            outcome = await self._follow_local(earlier, request, fingerprint)
            if outcome is not None and outcome.is_final:
                return self._repeat(outcome, request, parsed)
        attempt = self._attempts.open(
            parsed, fingerprint=fingerprint, deadline_at_ms=request.deadline_at_ms
        )
        try:
            return await self._claim_and_run(attempt, request, purpose)
        finally:
            self._let_go(attempt)

    async def outcome(self, key: str) -> PerformAnswer:
        """Return the outcome of an earlier request.

        Raises
        ------
        IbisfrontError
            With what is known. An unknown key is "maybe", since a copy of it
            may be on its way; only a revoked key is "no".
        """
        parsed = parse_key(key)
        record = await self._find_record(parsed)
        if record is None:
            raise IbisfrontError(
                ErrorKind.NOT_FOUND,
                f"no claim of {key} is recorded; a copy may be on its way",
                ran=Ran.MAYBE,
            )
        if record.state is ClaimState.NOT_RUN:
            raise outcome_unknown(
                key,
                "the last claimed copy did not run, but another may be on its way;"
                " send the request again with the same key",
            )
        return answer_of(record, request_id="", key=parsed.text, repeated=True)

    async def _claim_and_run(
        self, attempt: Attempt, request: CallerRequest, purpose: Purpose
    ) -> PerformAnswer:
        held = await self._claim_until_held(attempt)
        if held.attempt != attempt.attempt_id:
            return self._repeat(held, request, attempt.key)
        self._counters.add(CounterKind.CLAIMS, "claimed")
        run = ClaimedRun(request, purpose, attempt=attempt, clock=self._clock)
        self._start(run)
        with self._until_deadline(attempt):
            await attempt.ended.wait()
        return self._answer(attempt, request)

    async def _claim_until_held(self, attempt: Attempt) -> ClaimRecord:
        """Return the record of this attempt, or the final one of another copy.

        A claim of another attempt is replaced only once that one is proved
        dead. That time has passed is no proof: its instance may be paused
        right before the send.
        """
        dead: ClaimRecord | None = None
        poll_ms = _FIRST_POLL_MS
        found = await self._claim(attempt, dead=None, fresh=False)
        while found.attempt != attempt.attempt_id and not found.is_final:
            told = await self._ask(found.attempt)
            if told.is_dead:
                self._counters.add(CounterKind.CLAIMS, "taken_over")
                dead = found
            elif told.outcome is not None:
                return told.outcome
            else:
                await self._wait_for_other(attempt, poll_ms)
                poll_ms = min(2 * poll_ms, _MAXIMUM_POLL_MS)
            found = await self._claim_again(attempt, dead)
        return found

    async def _claim_again(
        self, attempt: Attempt, dead: ClaimRecord | None
    ) -> ClaimRecord:
        try:
            return await self._claim(attempt, dead=dead, fresh=True)
        except IbisfrontError as error:
            if error.kind is ErrorKind.CLAIM_UNAVAILABLE:
                raise outcome_unknown(
                    attempt.key.text, "another copy holds the claim"
                ) from error
            raise

    async def _wait_for_other(self, attempt: Attempt, wait_ms: float) -> None:
        left_ms = attempt.deadline_at_ms - self._clock.now_ms()
        if left_ms <= wait_ms:
            await self._clock.sleep_ms(left_ms)
            raise outcome_unknown(
                attempt.key.text, "another copy holds the claim and has no outcome yet"
            )
        await self._clock.sleep_ms(wait_ms)

    def _answer(self, attempt: Attempt, request: CallerRequest) -> PerformAnswer:
        key = attempt.key.text
        if attempt.drop():
            raise not_run_error(attempt.record(ClaimState.NOT_RUN, "timed_out"), key)
        outcome = attempt.outcome
        if outcome is None:
            raise outcome_unknown(key, "no answer came before the deadline")
        return answer_of(
            outcome, request_id=request.request_id, key=key, repeated=False
        )

    async def _execute(self, run: ClaimedRun) -> None:
        """Send a claimed request, and record what became of it.

        Runs apart from the caller's task: once the request is sent, a caller
        that goes away changes nothing, and another copy gets the outcome.
        """
        attempt = run.attempt
        outcome = await run_claimed(run, self._run_once, self._clock)
        attempt.settle(outcome)
        self._counters.add(CounterKind.CLAIMS, f"ended_{outcome.state.value}")
        if attempt.outcome is not None:
            self._record(attempt, kept_record(outcome), for_ms=_SETTLE_FOR_MS)

    async def _claim(
        self, attempt: Attempt, *, dead: ClaimRecord | None, fresh: bool
    ) -> ClaimRecord:
        """Claim a key for an attempt; return the record then in force.

        Parameters
        ----------
        attempt : Attempt
            The attempt.
        dead : ClaimRecord or None
            A record whose attempt is proved dead, which may be replaced.
        fresh : bool
            Whether to read the object anew. A first claim may go by an old
            copy of it, whose version its write then does not meet; a repeated
            one waits for news that an old copy would never show.

        Raises
        ------
        IbisfrontError
            If it is not known in time which record is in force.
        """
        writer = self._serving_writer(attempt.key)
        results: list[ChangeResult] = []
        done = trio.Event()

        def decide(found: ClaimRecord | None) -> ClaimRecord | None:
            if not attempt.is_active:
                return found
            return _claimed_by(attempt, found, dead)

        def resolve(result: ChangeResult) -> None:
            results.append(result)
            done.set()

        attempt.submitted = True
        change = Change(attempt.key, decide, resolve, lambda: not attempt.is_active)
        writer.submit(change, fresh=fresh)
        with self._clock.timeout_ms(_CLAIM_TIMEOUT_MS), self._until_deadline(attempt):
            await done.wait()
        return self._claim_result(attempt, results)

    def _claim_result(
        self, attempt: Attempt, results: list[ChangeResult]
    ) -> ClaimRecord:
        key = attempt.key.text
        if not results:
            self._counters.add(CounterKind.CLAIMS, "not_in_time")
            raise IbisfrontError(
                ErrorKind.CLAIM_UNAVAILABLE,
                f"the claim of {key} was not known to be in force in time; this copy"
                " will not run: send it again with the same key",
            )
        if results[0].expired:
            self._counters.add(CounterKind.CLAIMS, "expired")
            raise key_expired(attempt.key)
        record = results[0].record
        if record is None:
            self._counters.add(CounterKind.CLAIMS, "full")
            raise IbisfrontError(
                ErrorKind.CLAIM_UNAVAILABLE,
                f"the ledger has no room for {key}: use a new key",
                retry_after_ms=SLOT_MS,
            )
        attempt.submitted = record.attempt == attempt.attempt_id
        if record.fingerprint != attempt.fingerprint:
            raise self._key_reused(attempt.key)
        return record

    async def _follow_local(
        self, earlier: Attempt, request: CallerRequest, fingerprint: str
    ) -> ClaimRecord | None:
        """Wait for the attempt of another copy that arrived here."""
        if earlier.fingerprint != fingerprint:
            raise self._key_reused(earlier.key)
        with self._until_deadline(request):
            await earlier.ended.wait()
        if earlier.is_active:
            raise outcome_unknown(earlier.key.text, "another copy is under way here")
        return earlier.outcome

    async def _ask(self, attempt_id: AttemptId) -> AttemptAnswer:
        """Return what the process of an attempt says of it."""
        if attempt_id.process == self._process:
            return attempt_answer(self._attempts.get(attempt_id))
        if self._peers is None:
            return AttemptAnswer()
        told = await self._peers.ask(
            attempt_id.instance,
            AttemptQuestion(attempt_id),
            timeout_ms=_ASK_TIMEOUT_MS,
        )
        return told if isinstance(told, AttemptAnswer) else AttemptAnswer()

    def _tell_attempt(self, asker: str, question: AttemptQuestion) -> AttemptAnswer:
        return attempt_answer(self._attempts.get(question.attempt))

    async def _find_record(self, key: IdempotencyKey) -> ClaimRecord | None:
        under_way = self._attempts.active(key)
        if under_way is not None:
            return under_way.record()
        if self._platform is None:
            raise IbisfrontError(ErrorKind.PLATFORM_UNAVAILABLE, "not started yet")
        try:
            view = await read_bucket(self._platform, bucket_name(key))
        except IbisfrontError as error:
            raise IbisfrontError(error.kind, error.detail, ran=Ran.MAYBE) from error
        if view.bucket.slot > key_slot(key):
            raise key_expired(key)
        record = view.bucket.records.get(key.text)
        if record is None or record.state is not ClaimState.CLAIMED:
            return record
        return (await self._ask(record.attempt)).outcome or record

    def _record(self, attempt: Attempt, record: ClaimRecord, *, for_ms: float) -> None:
        """Write what became of an attempt, as soon as that can be done."""
        until_ms = self._clock.now_ms() + for_ms

        def decide(found: ClaimRecord | None) -> ClaimRecord | None:
            # With no record in sight, a claim of this attempt may still land.
            # This write then is what keeps it out: its condition fails.
            if found is None or found.attempt == attempt.attempt_id:
                return record
            return found

        if self._writer is not None:
            self._writer.submit(
                Change(
                    attempt.key,
                    decide,
                    lambda result: None,
                    lambda: self._clock.now_ms() > until_ms,
                    is_urgent=False,
                )
            )

    def _let_go(self, attempt: Attempt) -> None:
        """End an attempt whose caller was answered or is gone."""
        attempt.caller_answered = True
        if attempt.drop() and attempt.submitted:
            self._counters.add(CounterKind.CLAIMS, "withdrawn")
            withdrawn = attempt.record(ClaimState.NOT_RUN, "withdrawn")
            self._record(attempt, withdrawn, for_ms=_WITHDRAW_FOR_MS)
        attempt.forget_large_result()

    def _repeat(
        self, record: ClaimRecord, request: CallerRequest, key: IdempotencyKey
    ) -> PerformAnswer:
        self._counters.add(CounterKind.CLAIMS, "repeated")
        return answer_of(
            record, request_id=request.request_id, key=key.text, repeated=True
        )

    def _key_reused(self, key: IdempotencyKey) -> IbisfrontError:
        self._counters.add(CounterKind.CLAIMS, "reused")
        return IbisfrontError(
            ErrorKind.KEY_REUSED,
            f"{key.text} came before with another branch, purpose or body: use a"
            " new key for new work",
        )

    def _serving_writer(self, key: IdempotencyKey) -> LedgerWriter:
        writer = self._writer
        if writer is None or writer.is_platform_out:
            self._counters.add(CounterKind.CLAIMS, "platform_out")
            raise IbisfrontError(
                ErrorKind.CLAIM_UNAVAILABLE,
                f"the platform does not answer; {key.text} cannot be claimed now",
            )
        return writer

    def _start(self, run: ClaimedRun) -> None:
        if self._nursery is None:
            raise IbisfrontError(
                ErrorKind.CLAIM_UNAVAILABLE,
                f"this instance has stopped before {run.attempt.key.text} was sent",
            )
        self._nursery.start_soon(self._execute, run)

    def _until_deadline(self, waiting: Attempt | CallerRequest) -> trio.CancelScope:
        return self._clock.timeout_ms(waiting.deadline_at_ms - self._clock.now_ms())


def _claimed_by(
    attempt: Attempt, found: ClaimRecord | None, dead: ClaimRecord | None
) -> ClaimRecord:
    """Return the record of a key after an attempt asked for it."""
    if found is None or found == dead:
        return attempt.record()
    is_free = found.state is ClaimState.NOT_RUN
    if is_free and found.fingerprint == attempt.fingerprint:
        return attempt.record()
    return found
