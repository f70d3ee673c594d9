"""What to do about each kind of error, for callers and for operators."""

from __future__ import annotations

import msgspec

from ibisfront.core.errors import ErrorKind

__all__ = ["ADVICE", "ErrorAdvice"]


class ErrorAdvice(msgspec.Struct, frozen=True):
    """What to do about one kind of error.

    Attributes
    ----------
    caller : str
        For the program that sent the request.
    operator : str
        For the person who runs the tier, if it goes on.
    """

    caller: str
    operator: str


_LOOK_AT_CALLER = "The caller is at fault; the detail names the value."

ADVICE: dict[ErrorKind, ErrorAdvice] = {
    ErrorKind.BAD_REQUEST: ErrorAdvice(
        "Mend what the detail names; the same request cannot succeed.",
        _LOOK_AT_CALLER,
    ),
    ErrorKind.BAD_SETTINGS: ErrorAdvice(
        "Callers do not see it.",
        "Mend the settings: `ibisfront check-settings FILE` lists every fault.",
    ),
    ErrorKind.BODY_TOO_LARGE: ErrorAdvice(
        "Send a shorter body.", "Raise `callers.maximum_body_bytes` if it is right."
    ),
    ErrorKind.NOT_FOUND: ErrorAdvice(
        "Check the path, or the key asked for: it was never claimed or has expired.",
        "Check the names that the command gave.",
    ),
    ErrorKind.METHOD_NOT_ALLOWED: ErrorAdvice(
        "Use a method of the `Allow` header.", _LOOK_AT_CALLER
    ),
    ErrorKind.UNAUTHORIZED: ErrorAdvice(
        "Callers do not see it.",
        "Send the token of `admin.token` of the instance that was asked.",
    ),
    ErrorKind.UNKNOWN_BRANCH: ErrorAdvice(
        "Check the branch, or ask for a row.",
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
        "Try again, best at another instance.",
        "The instance is new and reaches neither the platform nor a peer: check"
        " both; with no table at all, make one.",
    ),
    ErrorKind.NO_SNAPSHOT: ErrorAdvice(
        "Try again.", "Publish a snapshot of the index that the purpose searches."
    ),
    ErrorKind.STOPPING: ErrorAdvice(
        "Send it again at once: another instance takes it.",
        "None, if a stop was planned.",
    ),
    ErrorKind.OVER_LIMIT: ErrorAdvice(
        "Come back after the advice.",
        "The row has used its limit: raise it, or ask the branch to send less.",
    ),
    ErrorKind.OVERLOADED: ErrorAdvice(
        "Come back after the advice, and not sooner.",
        "Demand is above what the backend servers do: see the runbook on overload.",
    ),
    ErrorKind.DEADLINE_TOO_SHORT: ErrorAdvice(
        "Give more time, or come back after the advice.",
        "See the runbook on overload.",
    ),
    ErrorKind.DEADLINE_EXCEEDED: ErrorAdvice(
        "A search may be sent again; of a `perform`, ask for the outcome.",
        "See the runbook on stragglers.",
    ),
    ErrorKind.NO_COVERAGE: ErrorAdvice(
        "Send the search again.",
        "No service answered: see the runbook on lost replicas.",
    ),
    ErrorKind.QUARANTINED: ErrorAdvice(
        "Do not send this body again; it crashes what runs it.",
        "Take the body to those who run the backend servers.",
    ),
    ErrorKind.NO_BACKEND: ErrorAdvice(
        "Come back after the advice.",
        "No backend server of the service can be reached: see the runbook on lost"
        " replicas.",
    ),
    ErrorKind.BACKEND_REFUSED: ErrorAdvice(
        "Come back after the advice.",
        "The backend servers shed, drain or are cold: see their own state.",
    ),
    ErrorKind.BACKEND_FAILED: ErrorAdvice(
        "It ran and failed there; do not send it again blindly.",
        "Look at the backend server's own log, by the request id.",
    ),
    ErrorKind.KEY_MISSING: ErrorAdvice(
        "Send an `Idempotency-Key`, a UUID of version 7.", _LOOK_AT_CALLER
    ),
    ErrorKind.KEY_INVALID: ErrorAdvice(
        "Make the key a UUID of version 7 from a right clock.",
        "If many callers get it, check their clocks and the instances'.",
    ),
    ErrorKind.KEY_EXPIRED: ErrorAdvice(
        "The key is too old to tell whether it ran: find out by other means, then"
        " use a new key.",
        _LOOK_AT_CALLER,
    ),
    ErrorKind.KEY_REUSED: ErrorAdvice(
        "Use a new key for another body.", _LOOK_AT_CALLER
    ),
    ErrorKind.CLAIM_UNAVAILABLE: ErrorAdvice(
        "Come back after the advice, with the same key.",
        "The platform takes no writes: see the runbook on the platform.",
    ),
    ErrorKind.CLAIM_WITHDRAWN: ErrorAdvice(
        "It did not run and will not; send it with a new key.", "None."
    ),
    ErrorKind.OUTCOME_UNKNOWN: ErrorAdvice(
        "It may have run: ask `GET /v1/requests/{key}`, do not use a new key.",
        "Look at the backend server's own record, by the key.",
    ),
    ErrorKind.TABLE_CONFLICT: ErrorAdvice(
        "Callers do not see it.",
        "Read both edits, then edit the new version: `ibisfront table show`.",
    ),
    ErrorKind.PLATFORM_UNAVAILABLE: ErrorAdvice(
        "Callers do not see it.",
        "Nothing was written: see the runbook on the platform.",
    ),
    ErrorKind.WRITE_UNKNOWN: ErrorAdvice(
        "Callers do not see it.",
        "The edit may be in force: look with `ibisfront table history` by its id.",
    ),
    ErrorKind.INTERNAL: ErrorAdvice(
        "A search may be sent again; of a `perform`, ask for the outcome.",
        "A fault of the tier: report the log line of the request id.",
    ),
}
"""The advice on every kind."""
