"""Requests of callers, sub-requests to backend servers, and their answers."""

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
    """One request of a caller, checked and ready to run.

    Attributes
    ----------
    request_id : str
        The caller's id, or one made here; echoed in the answer.
    branch, purpose : str
        The row of the table it counts against.
    body_json : bytes
        What to search for or perform; valid JSON.
    deadline_at_ms : float
        When the caller stops waiting, by the tier's clock.
    """

    request_id: str
    branch: str
    purpose: str
    body_json: JsonBytes
    deadline_at_ms: float


class Answer(msgspec.Struct, frozen=True):
    """A whole answer to a search.

    Attributes
    ----------
    request_id : str
        The id of the request it answers.
    snapshot : str
        The one snapshot that every row comes from.
    coverage : Coverage
        Which services it covers.
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
        The id of the request it answers.
    key : str
        Its idempotency key.
    result_json : msgspec.Raw
        What the backend server answered.
    repeated : bool
        Whether this is the kept outcome of an earlier copy.
    result_kept : bool
        False if it ran but its result was too large to keep; the result is
        then null.
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
        Never used twice; ties the reply to it.
    service : str
        The service asked.
    body_json : bytes
        The caller's request.
    deadline_at_ms : float
        When its answer is no longer of use, by the tier's clock.
    snapshot : str or None
        The pinned snapshot; None for non-idempotent work.
    branch : str
        Whose request it is; branches take turns for connections.
    urgent : bool
        Whether it goes before the others in the queue for connections.
    fingerprint : str
        The same for every copy of a request; tells one that crashes servers.
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
        The reply's body.
    snapshots : tuple of str
        The snapshots that the server says it holds, oldest first.
    draining : bool
        Whether the server says that it is leaving.
    """

    body_json: JsonBytes
    snapshots: tuple[str, ...] = ()
    draining: bool = False


class SubRequestError(Exception):
    """A sub-request that brought no usable reply.

    Parameters
    ----------
    reason : MissingReason
        Why.
    not_run : bool
        Whether it is certain that the server did not run it.
    retry_after_ms : float, optional
        When the server says to come back.
    draining : bool, optional
        Whether the server said that it is leaving.
    snapshots : tuple of str, optional
        The snapshots that the server says it holds.
    whole_reply : bool, optional
        Whether a whole reply that belongs to the sub-request said so; the
        connection may then be used again.
    ran : bool, optional
        Whether the server said that it ran the sub-request and failed.
    """

    def __init__(
        self,
        reason: MissingReason,
        *,
        not_run: bool,
        retry_after_ms: float | None = None,
        draining: bool = False,
        snapshots: tuple[str, ...] = (),
        whole_reply: bool = False,
        ran: bool = False,
    ) -> None:
        super().__init__(f"{reason.value} ({'not run' if not_run else 'maybe run'})")
        self.reason = reason
        self.not_run = not_run
        self.retry_after_ms = retry_after_ms
        self.draining = draining
        self.snapshots = snapshots
        self.whole_reply = whole_reply
        self.ran = ran
