"""Caller requests, sub-requests to backend servers, and their answers."""

from __future__ import annotations

import msgspec

from ibisfront.core.coverage import Coverage, MissingReason
from ibisfront.core.types import JsonBytes

__all__ = [
    "Answer",
    "CallerRequest",
    "PerformAnswer",
    "SubReply",
    "SubRequest",
    "SubRequestError",
]


class CallerRequest(msgspec.Struct, frozen=True):
    """One validated request of a caller.

    Attributes
    ----------
    request_id : str
        The caller's id, or a generated one; echoed in the answer.
    branch, purpose : str
        The row of the table whose limits apply.
    body_json : bytes
        The search or the work to perform; valid JSON.
    deadline_at_ms : float
        When the caller stops waiting, on the tier's clock.
    """

    request_id: str
    branch: str
    purpose: str
    body_json: JsonBytes
    deadline_at_ms: float


class Answer(msgspec.Struct, frozen=True):
    """The merged answer to a search.

    Attributes
    ----------
    request_id : str
        The id of the request.
    snapshot : str
        The snapshot that all rows come from.
    coverage : Coverage
        The services that answered and those that are missing.
    results : tuple of msgspec.Raw
        The rows, best first.
    """

    request_id: str
    snapshot: str
    coverage: Coverage
    results: tuple[msgspec.Raw, ...]


class PerformAnswer(msgspec.Struct, frozen=True, rename={"result_json": "result"}):
    """The outcome of a non-idempotent request that ran.

    Attributes
    ----------
    request_id : str
        The id of the request.
    key : str
        The idempotency key.
    result_json : msgspec.Raw
        The answer of the backend server.
    repeated : bool
        Whether this is the stored outcome of an earlier copy.
    result_kept : bool
        False if the request ran but its result was too large to store; the
        result is then null.
    """

    request_id: str
    key: str
    result_json: msgspec.Raw
    repeated: bool = False
    result_kept: bool = True


class SubRequest(msgspec.Struct, frozen=True):
    """One request of the tier to one service.

    Attributes
    ----------
    sub_request_id : str
        Unique; matches the reply to the sub-request.
    service : str
        The target service.
    body_json : bytes
        The body of the caller's request.
    deadline_at_ms : float
        When the answer is no longer needed, on the tier's clock.
    snapshot : str or None
        The pinned snapshot; None for non-idempotent work.
    branch : str
        The caller's branch; connections are shared fairly among branches.
    urgent : bool
        Whether it has priority in the queue for connections.
    fingerprint : str
        Identical for every copy of a request; identifies requests that crash
        servers.
    """

    sub_request_id: str
    service: str
    body_json: JsonBytes
    deadline_at_ms: float
    snapshot: str | None = None
    branch: str = ""
    urgent: bool = False
    fingerprint: str = ""


class SubReply(msgspec.Struct, frozen=True):
    """The reply of a backend server that ran a sub-request.

    Attributes
    ----------
    body_json : bytes
        The body of the reply.
    snapshots : tuple of str
        The snapshots that the server reports holding, oldest first.
    draining : bool
        Whether the server reports that it is draining.
    """

    body_json: JsonBytes
    snapshots: tuple[str, ...] = ()
    draining: bool = False


class SubRequestError(Exception):
    """A sub-request that failed without a usable reply.

    Parameters
    ----------
    reason : MissingReason
        The cause.
    not_run : bool
        Whether it is certain that the server did not run the sub-request.
    retry_after_ms : float, optional
        The delay that the server requests before a retry.
    draining : bool, optional
        Whether the server reported that it is draining.
    snapshots : tuple of str, optional
        The snapshots that the server reports holding.
    complete_reply : bool, optional
        Whether the error was read from a complete reply that matches the
        sub-request; the connection may then be reused.
    ran : bool, optional
        Whether the server reported that it ran the sub-request and failed.
    """

    def __init__(
        self,
        reason: MissingReason,
        *,
        not_run: bool,
        retry_after_ms: float | None = None,
        draining: bool = False,
        snapshots: tuple[str, ...] = (),
        complete_reply: bool = False,
        ran: bool = False,
    ) -> None:
        super().__init__(f"{reason.value} ({'not run' if not_run else 'maybe run'})")
        self.reason = reason
        self.not_run = not_run
        self.retry_after_ms = retry_after_ms
        self.draining = draining
        self.snapshots = snapshots
        self.complete_reply = complete_reply
        self.ran = ran
