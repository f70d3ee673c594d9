"""Messages between instances about the status of attempts."""

from __future__ import annotations

import msgspec

from ibisfront.core.attempts import Attempt, AttemptState
from ibisfront.core.claim import AttemptId, ClaimRecord, ClaimState, stored_record
from ibisfront.core.peers import PeerMessage
from ibisfront.core.types import JsonBytes

__all__ = ["AttemptStatusReply", "AttemptStatusRequest", "attempt_status"]


class AttemptStatusRequest(PeerMessage, frozen=True, tag="attempt_question"):
    """Requests the status of an attempt from its instance."""

    attempt: AttemptId


class AttemptStatusReply(PeerMessage, frozen=True, tag="attempt_answer"):
    """Status of an attempt, as reported by its instance.

    Attributes
    ----------
    state : AttemptState or None
        Its state; None if this process does not have the attempt, which may
        then have run.
    outcome_json : bytes
        The encoded ``ClaimRecord`` of its outcome; empty if it is not settled.
    """

    state: AttemptState | None = None
    outcome_json: JsonBytes = b""

    @property
    def outcome(self) -> ClaimRecord | None:
        """Outcome of the attempt, if it is settled."""
        if not self.outcome_json:
            return None
        return msgspec.json.decode(self.outcome_json, type=ClaimRecord)

    @property
    def cannot_run(self) -> bool:
        """Whether it is certain that the attempt did not and will not run."""
        if self.state is AttemptState.DROPPED:
            return True
        outcome = self.outcome
        return outcome is not None and outcome.state is ClaimState.NOT_RUN


def attempt_status(attempt: Attempt | None) -> AttemptStatusReply:
    """Return the status of an attempt of this process."""
    if attempt is None:
        return AttemptStatusReply()
    if attempt.outcome is None:
        return AttemptStatusReply(attempt.state)
    stored = stored_record(attempt.outcome)
    return AttemptStatusReply(attempt.state, msgspec.json.encode(stored))
