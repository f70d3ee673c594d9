"""Claims keys for attempts, in competition with other copies of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from ibisfront.core.claim import ClaimRecord, ClaimState
from ibisfront.core.claim_answers import outcome_unknown_error
from ibisfront.core.counters import CounterKind
from ibisfront.core.errors import ErrorKind, IbisfrontError
from ibisfront.core.idempotency_key import IdempotencyKey, key_expired_error
from ibisfront.core.ledger_bucket import SLOT_MS, Change, ChangeResult
from ibisfront.core.ledger_messages import (
    AttemptStatusReply,
    AttemptStatusRequest,
    attempt_status,
)

if TYPE_CHECKING:
    from ibisfront.core.attempts import Attempt, AttemptRegistry
    from ibisfront.core.claim import AttemptId
    from ibisfront.core.clock import Clock
    from ibisfront.core.counters import Counters
    from ibisfront.core.ledger_writer import LedgerWriter
    from ibisfront.core.peers import Peers
    from ibisfront.core.query import CallerRequest

__all__ = ["Claimer"]

_CLAIM_TIMEOUT_MS = 3_000.0
_STATUS_TIMEOUT_MS = 250.0
_FIRST_POLL_MS = 50.0
_MAXIMUM_POLL_MS = 1_000.0


class Claimer:
    """Claims keys in the ledger for the attempts of this process.

    Parameters
    ----------
    attempts : AttemptRegistry
        The attempts of this process.
    clock : Clock
        The tier's clock.
    counters : Counters
        Counts claims.

    Attributes
    ----------
    writer : LedgerWriter or None
        Writes the claims; None while the ledger does not run.
    peers : Peers or None
        The other instances.
    """

    __slots__ = ("_attempts", "_clock", "_counters", "peers", "writer")

    def __init__(
        self, attempts: AttemptRegistry, *, clock: Clock, counters: Counters
    ) -> None:
        self._attempts = attempts
        self._clock = clock
        self._counters = counters
        self.peers: Peers | None = None
        self.writer: LedgerWriter | None = None

    def until_deadline(self, waiting: Attempt | CallerRequest) -> trio.CancelScope:
        """Return a cancel scope that expires at the caller's deadline."""
        return self._clock.timeout_ms(waiting.deadline_at_ms - self._clock.now_ms())

    async def acquire(self, attempt: Attempt) -> ClaimRecord:
        """Claim the key; return this attempt's record or another copy's final one.

        A claim of another attempt is replaced only once it is proved that the
        attempt will never run. Elapsed time is no proof: its instance may be
        paused right before the send.

        Raises
        ------
        IbisfrontError
            ``claim_unavailable``, ``key_expired`` or ``key_reused``;
            ``outcome_unknown`` if another copy may run.
        """
        replaceable: ClaimRecord | None = None
        poll_ms = _FIRST_POLL_MS
        found = await self._claim(attempt, replaceable=None, fresh=False)
        while found.attempt != attempt.attempt_id and not found.is_final:
            status = await self.query_attempt(found.attempt)
            if status.cannot_run:
                self._counters.add(CounterKind.CLAIMS, "taken_over")
                replaceable = found
            elif status.outcome is not None:
                return status.outcome
            else:
                await self._wait_for_other_copy(attempt, poll_ms)
                poll_ms = min(2 * poll_ms, _MAXIMUM_POLL_MS)
            found = await self._claim_again(attempt, replaceable)
        return found

    async def _claim_again(
        self, attempt: Attempt, replaceable: ClaimRecord | None
    ) -> ClaimRecord:
        try:
            return await self._claim(attempt, replaceable=replaceable, fresh=True)
        except IbisfrontError as error:
            if error.kind is ErrorKind.CLAIM_UNAVAILABLE:
                raise outcome_unknown_error(
                    attempt.key.text, "another copy holds the claim"
                ) from error
            raise

    async def _wait_for_other_copy(self, attempt: Attempt, wait_ms: float) -> None:
        remaining_ms = attempt.deadline_at_ms - self._clock.now_ms()
        if remaining_ms <= wait_ms:
            await self._clock.sleep_ms(remaining_ms)
            raise outcome_unknown_error(
                attempt.key.text, "another copy holds the claim and has no outcome yet"
            )
        await self._clock.sleep_ms(wait_ms)

    async def _claim(
        self, attempt: Attempt, *, replaceable: ClaimRecord | None, fresh: bool
    ) -> ClaimRecord:
        """Claim a key for an attempt; return the record then in force.

        Parameters
        ----------
        attempt : Attempt
            The attempt.
        replaceable : ClaimRecord or None
            A record that may be replaced, since its attempt will never run.
        fresh : bool
            Whether to read the object again. A first claim may use a stale
            view, since its write then fails on the version; a repeated one
            waits for a change that a stale view would never show.

        Raises
        ------
        IbisfrontError
            ``claim_unavailable`` if the record in force is not known in time or
            the object is full; ``key_expired`` or ``key_reused``.
        """
        writer = self._available_writer(attempt.key)
        results: list[ChangeResult] = []
        done = trio.Event()

        def update(found: ClaimRecord | None) -> ClaimRecord | None:
            if not attempt.is_active:
                return found
            return _record_after_claim(attempt, found, replaceable)

        def resolve(result: ChangeResult) -> None:
            results.append(result)
            done.set()

        attempt.submitted = True
        change = Change(attempt.key, update, resolve, lambda: not attempt.is_active)
        writer.submit(change, fresh=fresh)
        with self._clock.timeout_ms(_CLAIM_TIMEOUT_MS), self.until_deadline(attempt):
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
                f"the claim of {key} was not confirmed in time; this copy"
                " will not run: send it again with the same key",
            )
        if results[0].expired:
            self._counters.add(CounterKind.CLAIMS, "expired")
            raise key_expired_error(attempt.key)
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
            raise self.key_reused_error(attempt.key)
        return record

    async def query_attempt(self, attempt_id: AttemptId) -> AttemptStatusReply:
        """Request an attempt's status from its process; no state without a reply."""
        if attempt_id.process == self._attempts.process:
            return attempt_status(self._attempts.get(attempt_id))
        if self.peers is None:
            return AttemptStatusReply()
        reply = await self.peers.request(
            attempt_id.instance,
            AttemptStatusRequest(attempt_id),
            timeout_ms=_STATUS_TIMEOUT_MS,
        )
        return reply if isinstance(reply, AttemptStatusReply) else AttemptStatusReply()

    def report_attempt(
        self, sender: str, request: AttemptStatusRequest
    ) -> AttemptStatusReply:
        """Reply to a peer's request for the status of an attempt."""
        return attempt_status(self._attempts.get(request.attempt))

    def record_outcome(
        self, attempt: Attempt, record: ClaimRecord, *, timeout_ms: float
    ) -> None:
        """Write the outcome of an attempt as soon as possible."""
        expires_at_ms = self._clock.now_ms() + timeout_ms

        def update(found: ClaimRecord | None) -> ClaimRecord | None:
            # Without a record, a claim of this attempt may still be in transit.
            # This write makes the condition of that claim fail.
            if found is None or found.attempt == attempt.attempt_id:
                return record
            return found

        if self.writer is not None:
            self.writer.submit(
                Change(
                    attempt.key,
                    update,
                    lambda result: None,
                    lambda: self._clock.now_ms() > expires_at_ms,
                    is_urgent=False,
                )
            )

    def key_reused_error(self, key: IdempotencyKey) -> IbisfrontError:
        """Count a key reused for another request; return the error for it."""
        self._counters.add(CounterKind.CLAIMS, "reused")
        return IbisfrontError(
            ErrorKind.KEY_REUSED,
            f"{key.text} was used before with another branch, purpose or body: use a"
            " new key for new work",
        )

    def _available_writer(self, key: IdempotencyKey) -> LedgerWriter:
        writer = self.writer
        if writer is None or writer.is_platform_unavailable:
            self._counters.add(CounterKind.CLAIMS, "platform_out")
            raise IbisfrontError(
                ErrorKind.CLAIM_UNAVAILABLE,
                f"the platform does not answer; {key.text} cannot be claimed now",
            )
        return writer


def _record_after_claim(
    attempt: Attempt, found: ClaimRecord | None, replaceable: ClaimRecord | None
) -> ClaimRecord:
    """Return the record of a key after an attempt claims it."""
    if found is None or found == replaceable:
        return attempt.claim_record()
    is_free = found.state is ClaimState.NOT_RUN
    if is_free and found.fingerprint == attempt.fingerprint:
        return attempt.claim_record()
    return found
