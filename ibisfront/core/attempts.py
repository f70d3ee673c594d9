"""Attempts of this process, and whether each may still be sent."""

from __future__ import annotations

import itertools
from collections import OrderedDict
from enum import StrEnum
from typing import TYPE_CHECKING

import trio

from ibisfront.core.claim import AttemptId, ClaimRecord, ClaimState, stored_record

if TYPE_CHECKING:
    from ibisfront.core.idempotency_key import IdempotencyKey

__all__ = ["Attempt", "AttemptRegistry", "AttemptState"]

_MAXIMUM_RETAINED_ATTEMPTS = 10_000


class AttemptState(StrEnum):
    """The states of an attempt; ``dropped`` and ``settled`` are final."""

    OPEN = "open"
    SENT = "sent"
    DROPPED = "dropped"
    SETTLED = "settled"


class Attempt:
    """One copy of a request at this instance.

    All transitions are synchronous. The states ``sent`` and ``dropped``
    exclude each other, so that a "not run" reported after :meth:`drop` holds,
    however late the claim's write takes effect and however long the process
    was paused.

    Parameters
    ----------
    attempt_id : AttemptId
        Its identifier.
    key : IdempotencyKey
        The key of its request.
    fingerprint : str
        Digest of its request.
    deadline_at_ms : float
        When its caller stops waiting, by the tier's clock.

    Attributes
    ----------
    state : AttemptState
        Its current state.
    submitted : bool
        Whether its claim may be in the ledger, or may still reach it.
    caller_answered : bool
        Whether its caller was answered or has disconnected.
    outcome : ClaimRecord or None
        Its outcome, once it is settled.
    ended : trio.Event
        Set when it is dropped or settled.
    """

    __slots__ = (
        "attempt_id",
        "caller_answered",
        "deadline_at_ms",
        "ended",
        "fingerprint",
        "key",
        "outcome",
        "state",
        "submitted",
    )

    def __init__(
        self,
        attempt_id: AttemptId,
        key: IdempotencyKey,
        *,
        fingerprint: str,
        deadline_at_ms: float,
    ) -> None:
        self.attempt_id = attempt_id
        self.key = key
        self.fingerprint = fingerprint
        self.deadline_at_ms = deadline_at_ms
        self.state = AttemptState.OPEN
        self.submitted = False
        self.caller_answered = False
        self.outcome: ClaimRecord | None = None
        self.ended = trio.Event()

    @property
    def is_active(self) -> bool:
        """Whether it may still be sent, or was sent and has no outcome."""
        return self.state in (AttemptState.OPEN, AttemptState.SENT)

    def start_send(self, *, now_ms: float) -> bool:
        """Enter the state ``sent`` if allowed; return whether it may be sent.

        Called with no ``await`` before the first byte. A process that was
        paused detects the passed deadline here; a request whose caller was
        answered in the meantime is not run.
        """
        may_send = (
            self.state is AttemptState.OPEN
            and not self.caller_answered
            and now_ms < self.deadline_at_ms
        )
        if may_send:
            self.state = AttemptState.SENT
        return may_send

    def reopen(self) -> None:
        """Return to ``open`` after a server reported that it did not run it."""
        if self.state is AttemptState.SENT:
            self.state = AttemptState.OPEN

    def drop(self) -> bool:
        """Drop it unless it was sent; return whether it can never run."""
        if self.state is AttemptState.OPEN:
            self.state = AttemptState.DROPPED
            self.ended.set()
        return self.state is AttemptState.DROPPED

    def settle(self, outcome: ClaimRecord) -> None:
        """Record its outcome."""
        if self.is_active:
            self.state = AttemptState.SETTLED
            self.outcome = outcome
            self.ended.set()

    def discard_large_result(self) -> None:
        """Drop a result that is too large for the ledger."""
        if self.outcome is not None:
            self.outcome = stored_record(self.outcome)

    def claim_record(
        self, state: ClaimState = ClaimState.CLAIMED, reason: str = ""
    ) -> ClaimRecord:
        """Return a ledger record of this attempt."""
        return ClaimRecord(self.fingerprint, self.attempt_id, state, reason)


class AttemptRegistry:
    """The recent attempts of this process.

    Parameters
    ----------
    instance : str
        This instance's name.
    process : str
        The random name of this process.

    Attributes
    ----------
    process : str
        Same as the parameter.
    """

    __slots__ = ("_active", "_attempts", "_instance", "_numbers", "process")

    def __init__(self, *, instance: str, process: str) -> None:
        self._instance = instance
        self.process = process
        self._numbers = itertools.count(1)
        self._attempts: OrderedDict[AttemptId, Attempt] = OrderedDict()
        self._active: dict[str, Attempt] = {}

    def open(
        self, key: IdempotencyKey, *, fingerprint: str, deadline_at_ms: float
    ) -> Attempt:
        """Create and return an attempt."""
        attempt_id = AttemptId(self._instance, self.process, next(self._numbers))
        attempt = Attempt(
            attempt_id, key, fingerprint=fingerprint, deadline_at_ms=deadline_at_ms
        )
        self._attempts[attempt_id] = attempt
        self._active[key.text] = attempt
        self._evict_oldest()
        return attempt

    def active(self, key: IdempotencyKey) -> Attempt | None:
        """Return the active attempt of a key in this process, if any."""
        found = self._active.get(key.text)
        if found is not None and not found.is_active:
            del self._active[key.text]
            return None
        return found

    def get(self, attempt_id: AttemptId) -> Attempt | None:
        """Return an attempt of this process; None if it is not retained."""
        return self._attempts.get(attempt_id)

    def _evict_oldest(self) -> None:
        while len(self._attempts) > _MAXIMUM_RETAINED_ATTEMPTS:
            oldest_id, oldest = next(iter(self._attempts.items()))
            if oldest.is_active:
                return
            del self._attempts[oldest_id]
            if self._active.get(oldest.key.text) is oldest:
                del self._active[oldest.key.text]
