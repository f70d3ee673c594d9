"""Answers and errors for callers, made from claim records."""

from __future__ import annotations

import msgspec

from ibisfront.core.claim import ClaimRecord, ClaimState
from ibisfront.core.coverage import MissingReason
from ibisfront.core.errors import ErrorKind, IbisfrontError, Ran
from ibisfront.core.query import PerformAnswer

__all__ = ["answer_from_record", "not_run_error", "outcome_unknown_error"]

_NO_SERVER_REASONS = (
    MissingReason.NO_SERVER.value,
    MissingReason.CONNECT_FAILED.value,
)


def answer_from_record(
    record: ClaimRecord, *, request_id: str, key: str, repeated: bool
) -> PerformAnswer:
    """Return the answer to a request that ran.

    Raises
    ------
    IbisfrontError
        If there is no result; its ``ran`` states whether the request ran.
    """
    if record.state is ClaimState.RAN:
        result = record.result_json
        return PerformAnswer(
            request_id=request_id,
            key=key,
            result_json=msgspec.Raw((result or "null").encode()),
            repeated=repeated,
            result_kept=result is not None,
        )
    raise _error_from_record(record, key)


def outcome_unknown_error(key: str, detail: str) -> IbisfrontError:
    """Return the error for a request that may have run."""
    return IbisfrontError(ErrorKind.OUTCOME_UNKNOWN, f"{key}: {detail}")


def not_run_error(record: ClaimRecord, key: str) -> IbisfrontError:
    """Return the error for a copy that was claimed and did not run."""
    if record.reason == MissingReason.TIMED_OUT:
        return IbisfrontError(
            ErrorKind.DEADLINE_TOO_SHORT, f"{key} was not sent before its deadline"
        )
    if record.reason == MissingReason.QUARANTINED:
        return IbisfrontError(
            ErrorKind.QUARANTINED,
            f"{key} was not run: its body has crashed backend servers",
            ran=Ran.NO,
        )
    kind = ErrorKind.BACKEND_REFUSED
    if record.reason in _NO_SERVER_REASONS:
        kind = ErrorKind.NO_BACKEND
    return IbisfrontError(kind, f"{key} was not run: {record.reason}")


def _error_from_record(record: ClaimRecord, key: str) -> IbisfrontError:
    match record.state:
        case ClaimState.FAILED:
            return IbisfrontError(
                ErrorKind.BACKEND_FAILED, f"{key} ran and failed: {record.reason}"
            )
        case ClaimState.REVOKED:
            return IbisfrontError(ErrorKind.CLAIM_WITHDRAWN, f"{key} was revoked")
        case ClaimState.NOT_RUN:
            return not_run_error(record, key)
        case ClaimState.UNKNOWN:
            return outcome_unknown_error(key, f"its reply was lost: {record.reason}")
        case _:
            return outcome_unknown_error(key, "another copy holds the claim")
