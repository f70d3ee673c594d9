"""Error kinds and the response to each of them.

Every rejection or failure visible to a caller or operator is one
:class:`ErrorKind`. :data:`ANSWERS` maps each kind to its HTTP status, to whether
the request ran, and to the advised delay before a retry.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec

__all__ = ["ANSWERS", "ErrorAnswer", "ErrorKind", "IbisfrontError", "Ran"]


class Ran(StrEnum):
    """Whether a request ran at a backend server, as far as is known."""

    NO = "no"
    MAYBE = "maybe"
    YES = "yes"


class ErrorKind(StrEnum):
    """Error code, as used in problem documents."""

    BAD_REQUEST = "bad_request"
    BAD_SETTINGS = "bad_settings"
    BODY_TOO_LARGE = "body_too_large"
    NOT_FOUND = "not_found"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    UNAUTHORIZED = "unauthorized"
    UNKNOWN_BRANCH = "unknown_branch"
    UNKNOWN_PURPOSE = "unknown_purpose"
    WRONG_KIND_OF_PURPOSE = "wrong_kind_of_purpose"
    NO_TABLE = "no_table"
    NO_SNAPSHOT = "no_snapshot"
    STOPPING = "stopping"
    OVER_LIMIT = "over_limit"
    OVERLOADED = "overloaded"
    DEADLINE_TOO_SHORT = "deadline_too_short"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    NO_COVERAGE = "no_coverage"
    QUARANTINED = "quarantined"
    NO_BACKEND = "no_backend"
    BACKEND_REFUSED = "backend_refused"
    BACKEND_FAILED = "backend_failed"
    KEY_MISSING = "key_missing"
    KEY_INVALID = "key_invalid"
    KEY_EXPIRED = "key_expired"
    KEY_REUSED = "key_reused"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    CLAIM_WITHDRAWN = "claim_withdrawn"
    OUTCOME_UNKNOWN = "outcome_unknown"
    TABLE_CONFLICT = "table_conflict"
    PLATFORM_UNAVAILABLE = "platform_unavailable"
    WRITE_UNKNOWN = "write_unknown"
    INTERNAL = "internal"


class ErrorAnswer(msgspec.Struct, frozen=True):
    """Response to a caller for one kind of error.

    Attributes
    ----------
    status : int
        HTTP status.
    ran : Ran
        Whether the request ran.
    title : str
        One-line summary for people.
    retry_after_ms : int or None
        Default delay before a retry, in milliseconds; None if the same
        request cannot succeed.
    """

    status: int
    ran: Ran
    title: str
    retry_after_ms: int | None = None


ANSWERS: dict[ErrorKind, ErrorAnswer] = {
    ErrorKind.BAD_REQUEST: ErrorAnswer(400, Ran.NO, "The request is malformed"),
    ErrorKind.BAD_SETTINGS: ErrorAnswer(400, Ran.NO, "The settings are wrong"),
    ErrorKind.BODY_TOO_LARGE: ErrorAnswer(413, Ran.NO, "The body is too large"),
    ErrorKind.NOT_FOUND: ErrorAnswer(404, Ran.NO, "There is no such thing"),
    ErrorKind.METHOD_NOT_ALLOWED: ErrorAnswer(405, Ran.NO, "Not with this method"),
    ErrorKind.UNAUTHORIZED: ErrorAnswer(401, Ran.NO, "The token is missing or wrong"),
    ErrorKind.UNKNOWN_BRANCH: ErrorAnswer(404, Ran.NO, "The branch has no such row"),
    ErrorKind.UNKNOWN_PURPOSE: ErrorAnswer(404, Ran.NO, "The purpose is unknown"),
    ErrorKind.WRONG_KIND_OF_PURPOSE: ErrorAnswer(
        409, Ran.NO, "The purpose takes another kind of request"
    ),
    ErrorKind.NO_TABLE: ErrorAnswer(503, Ran.NO, "No table is known yet", 1000),
    ErrorKind.NO_SNAPSHOT: ErrorAnswer(503, Ran.NO, "No snapshot is known yet", 1000),
    ErrorKind.STOPPING: ErrorAnswer(503, Ran.NO, "The instance is stopping", 100),
    ErrorKind.OVER_LIMIT: ErrorAnswer(429, Ran.NO, "The row's limit is reached", 500),
    ErrorKind.OVERLOADED: ErrorAnswer(503, Ran.NO, "The tier is overloaded", 500),
    ErrorKind.DEADLINE_TOO_SHORT: ErrorAnswer(
        503, Ran.NO, "The wait would outlast the deadline", 500
    ),
    ErrorKind.DEADLINE_EXCEEDED: ErrorAnswer(
        504, Ran.MAYBE, "The deadline passed before any answer", 1000
    ),
    ErrorKind.NO_COVERAGE: ErrorAnswer(
        502, Ran.MAYBE, "No service answered the search", 1000
    ),
    ErrorKind.QUARANTINED: ErrorAnswer(
        422, Ran.MAYBE, "This request crashed backend servers", 60_000
    ),
    ErrorKind.NO_BACKEND: ErrorAnswer(
        503, Ran.NO, "No backend server can be reached", 1000
    ),
    ErrorKind.BACKEND_REFUSED: ErrorAnswer(
        503, Ran.NO, "The backend server refused the request unrun", 500
    ),
    ErrorKind.BACKEND_FAILED: ErrorAnswer(
        502, Ran.YES, "The backend server ran the request and failed"
    ),
    ErrorKind.KEY_MISSING: ErrorAnswer(400, Ran.NO, "An Idempotency-Key is needed"),
    ErrorKind.KEY_INVALID: ErrorAnswer(400, Ran.NO, "The Idempotency-Key is malformed"),
    ErrorKind.KEY_EXPIRED: ErrorAnswer(410, Ran.NO, "The Idempotency-Key is too old"),
    ErrorKind.KEY_REUSED: ErrorAnswer(
        422, Ran.NO, "The Idempotency-Key came with another body"
    ),
    ErrorKind.CLAIM_UNAVAILABLE: ErrorAnswer(
        503, Ran.NO, "The claim could not be recorded", 1000
    ),
    ErrorKind.CLAIM_WITHDRAWN: ErrorAnswer(
        409, Ran.NO, "The claim was withdrawn; use a new key"
    ),
    ErrorKind.OUTCOME_UNKNOWN: ErrorAnswer(
        502, Ran.MAYBE, "The request may have run; ask for its outcome", 1000
    ),
    ErrorKind.TABLE_CONFLICT: ErrorAnswer(
        409, Ran.NO, "The table has changed since that version"
    ),
    ErrorKind.PLATFORM_UNAVAILABLE: ErrorAnswer(
        503, Ran.NO, "The platform does not answer", 1000
    ),
    ErrorKind.WRITE_UNKNOWN: ErrorAnswer(
        503, Ran.MAYBE, "The platform's answer was lost", 1000
    ),
    ErrorKind.INTERNAL: ErrorAnswer(500, Ran.MAYBE, "A fault of the tier itself"),
}


class IbisfrontError(Exception):
    """An error of one kind, with the details of the occurrence.

    Parameters
    ----------
    kind : ErrorKind
        Error code.
    detail : str
        Description of the problem, with the value and how to fix it.
    retry_after_ms : int, optional
        Delay before a retry, in milliseconds; defaults to that of the kind.
    ran : Ran, optional
        Whether the request ran; defaults to that of the kind.
    """

    def __init__(
        self,
        kind: ErrorKind,
        detail: str,
        *,
        retry_after_ms: int | None = None,
        ran: Ran | None = None,
    ) -> None:
        super().__init__(f"{kind.value}: {detail}")
        answer = ANSWERS[kind]
        self.kind = kind
        self.detail = detail
        self.status = answer.status
        self.title = answer.title
        self.ran = answer.ran if ran is None else ran
        self.retry_after_ms = (
            answer.retry_after_ms if retry_after_ms is None else retry_after_ms
        )
