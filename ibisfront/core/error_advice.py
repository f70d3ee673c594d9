"""Advice on each kind of error, for callers and for operators."""

from __future__ import annotations

import msgspec

from ibisfront.core.errors import ErrorKind

__all__ = ["ADVICE", "ErrorAdvice"]


class ErrorAdvice(msgspec.Struct, frozen=True):
    """Advice on one kind of error.

    Attributes
    ----------
    caller : str
        Advice for the developers of the calling program.
    operator : str
        Advice for the operators of the tier, if the error persists.
    """

    caller: str
    operator: str


_CALLER_ERROR = "An error of the caller; the detail names the value."

ADVICE: dict[ErrorKind, ErrorAdvice] = {
    ErrorKind.BAD_REQUEST: ErrorAdvice(
        "Fix the value named in the detail; the same request cannot succeed.",
        _CALLER_ERROR,
    ),
    ErrorKind.BAD_SETTINGS: ErrorAdvice(
        "Not returned to callers.",
        "Fix the settings: `ibisfront check-settings FILE` lists all faults.",
    ),
    ErrorKind.BODY_TOO_LARGE: ErrorAdvice(
        "Send a smaller body.", "Raise `callers.maximum_body_bytes` if it is valid."
    ),
    ErrorKind.NOT_FOUND: ErrorAdvice(
        "Check the path, or the key: it was never claimed or has expired.",
        "Check the names given in the command.",
    ),
    ErrorKind.METHOD_NOT_ALLOWED: ErrorAdvice(
        "Use a method listed in the `Allow` header.", _CALLER_ERROR
    ),
    ErrorKind.UNAUTHORIZED: ErrorAdvice(
        "Not returned to callers.",
        "Send the `admin.token` of the instance that receives the request.",
    ),
    ErrorKind.UNKNOWN_BRANCH: ErrorAdvice(
        "Check the branch, or request a row for it.",
        "Add the row: `ibisfront table set BRANCH PURPOSE`.",
    ),
    ErrorKind.UNKNOWN_PURPOSE: ErrorAdvice(
        "Check the purpose.", "Add it: `ibisfront purpose set NAME`."
    ),
    ErrorKind.WRONG_KIND_OF_PURPOSE: ErrorAdvice(
        "Send searches to `query` and non-idempotent work to `perform`.",
        "Check the purpose's kind: `ibisfront table show`.",
    ),
    ErrorKind.NO_TABLE: ErrorAdvice(
        "Retry, preferably at another instance.",
        "The instance is new and can reach neither the platform nor a peer:"
        " check both; if there is no table yet, create one.",
    ),
    ErrorKind.NO_SNAPSHOT: ErrorAdvice(
        "Retry.", "Publish a snapshot of the index that the purpose searches."
    ),
    ErrorKind.STOPPING: ErrorAdvice(
        "Retry immediately: another instance handles it.",
        "None, if the stop was planned.",
    ),
    ErrorKind.OVER_LIMIT: ErrorAdvice(
        "Retry after the advised delay.",
        "The row has reached its limit: raise it, or ask the branch to send less.",
    ),
    ErrorKind.OVERLOADED: ErrorAdvice(
        "Retry after the advised delay, not earlier.",
        "Demand exceeds the capacity of the backend servers: see the runbook on"
        " overload.",
    ),
    ErrorKind.DEADLINE_TOO_SHORT: ErrorAdvice(
        "Allow a longer deadline, or retry after the advised delay.",
        "See the runbook on overload.",
    ),
    ErrorKind.DEADLINE_EXCEEDED: ErrorAdvice(
        "A search can be retried; for a `perform`, query its outcome.",
        "See the runbook on stragglers.",
    ),
    ErrorKind.NO_COVERAGE: ErrorAdvice(
        "Retry the search.",
        "No service answered: see the runbook on lost replicas.",
    ),
    ErrorKind.QUARANTINED: ErrorAdvice(
        "Do not retry with this body; it crashes backend servers.",
        "Report the body to the operators of the backend servers.",
    ),
    ErrorKind.NO_BACKEND: ErrorAdvice(
        "Retry after the advised delay.",
        "No backend server of the service is reachable: see the runbook on lost"
        " replicas.",
    ),
    ErrorKind.BACKEND_REFUSED: ErrorAdvice(
        "Retry after the advised delay.",
        "The backend servers shed load, drain or are cold: check their state.",
    ),
    ErrorKind.BACKEND_FAILED: ErrorAdvice(
        "It ran and failed there; do not retry without checking its effects.",
        "Search the backend server's log for the request id.",
    ),
    ErrorKind.KEY_MISSING: ErrorAdvice(
        "Send an `Idempotency-Key`, a UUID of version 7.", _CALLER_ERROR
    ),
    ErrorKind.KEY_INVALID: ErrorAdvice(
        "Use a UUID of version 7 generated with an accurate clock.",
        "If many callers are affected, check their clocks and those of the instances.",
    ),
    ErrorKind.KEY_EXPIRED: ErrorAdvice(
        "The key is too old to determine whether it ran: find out by other means,"
        " then use a new key.",
        _CALLER_ERROR,
    ),
    ErrorKind.KEY_REUSED: ErrorAdvice(
        "Use a new key for a different body.", _CALLER_ERROR
    ),
    ErrorKind.CLAIM_UNAVAILABLE: ErrorAdvice(
        "Retry after the advised delay, with the same key.",
        "The platform accepts no writes: see the runbook on the platform.",
    ),
    ErrorKind.CLAIM_WITHDRAWN: ErrorAdvice(
        "It did not run and will not run; retry with a new key.", "None."
    ),
    ErrorKind.OUTCOME_UNKNOWN: ErrorAdvice(
        "It may have run: query `GET /v1/requests/{key}`, do not use a new key.",
        "Search the backend server's records for the key.",
    ),
    ErrorKind.TABLE_CONFLICT: ErrorAdvice(
        "Not returned to callers.",
        "Read both edits, then edit the new version: `ibisfront table show`.",
    ),
    ErrorKind.PLATFORM_UNAVAILABLE: ErrorAdvice(
        "Not returned to callers.",
        "Nothing was written: see the runbook on the platform.",
    ),
    ErrorKind.WRITE_UNKNOWN: ErrorAdvice(
        "Not returned to callers.",
        "The edit may be in force: search `ibisfront table history` for its id.",
    ),
    ErrorKind.INTERNAL: ErrorAdvice(
        "A search can be retried; for a `perform`, query its outcome.",
        "A bug in the tier: report the log line with the request id.",
    ),
}
"""Advice on every kind of error."""
