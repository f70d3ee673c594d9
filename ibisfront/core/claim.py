"""Claims: the ledger's record of one idempotency key."""

from __future__ import annotations

import hashlib
from enum import StrEnum
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from ibisfront.core.query import CallerRequest

__all__ = [
    "AttemptId",
    "ClaimRecord",
    "ClaimState",
    "request_fingerprint",
    "stored_record",
]

_FINGERPRINT_BYTES = 12
_MAXIMUM_STORED_RESULT_BYTES = 1_024


class AttemptId(msgspec.Struct, frozen=True, array_like=True):
    """Identifies one copy of a request at one instance; never reused.

    Attributes
    ----------
    instance : str
        The instance that received the copy.
    process : str
        A random name of that instance's process, so that a restarted instance
        never answers for attempts of the previous process.
    number : int
        Sequence number of the attempt in that process.
    """

    instance: str
    process: str
    number: int


class ClaimState(StrEnum):
    """State of the attempt that holds a key."""

    CLAIMED = "claimed"
    NOT_RUN = "not_run"
    RAN = "ran"
    FAILED = "failed"
    UNKNOWN = "unknown"
    REVOKED = "revoked"


class ClaimRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """The record of one key.

    Attributes
    ----------
    fingerprint : str
        Digest of the branch, the purpose and the body.
    attempt : AttemptId
        The only attempt that may send the request, or the one that did.
    state : ClaimState
        ``not_run`` frees the key for another attempt; ``claimed`` reserves it
        for this attempt; the other states are final.
    reason : str
        Why it did not run or failed.
    result_json : str or None
        The backend server's result as JSON text, if it ran and the result is
        small.
    """

    fingerprint: str
    attempt: AttemptId
    state: ClaimState = ClaimState.CLAIMED
    reason: str = ""
    result_json: str | None = None

    @property
    def is_final(self) -> bool:
        """Whether the record can never change."""
        return self.state not in (ClaimState.CLAIMED, ClaimState.NOT_RUN)


def stored_record(record: ClaimRecord) -> ClaimRecord:
    """Return a record as it is stored: without a result that is too large."""
    result = record.result_json
    if result is None or len(result.encode()) <= _MAXIMUM_STORED_RESULT_BYTES:
        return record
    return msgspec.structs.replace(record, result_json=None)


def request_fingerprint(request: CallerRequest) -> str:
    """Return a digest that is the same for all copies of a request.

    The formatting of the JSON body does not matter: a caller that encodes its
    request again for a resend may order the members differently.
    """
    body = msgspec.json.encode(
        msgspec.json.decode(request.body_json), order="deterministic"
    )
    parts = (request.branch.encode(), request.purpose.encode(), body)
    digest = hashlib.blake2b(digest_size=_FINGERPRINT_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
