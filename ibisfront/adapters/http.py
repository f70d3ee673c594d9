"""Requests, responses and problem documents of both listeners."""

from __future__ import annotations

import re
from collections.abc import Awaitable, Callable
from typing import TypeAlias

import msgspec

from ibisfront.core.errors import ErrorKind, IbisfrontError
from ibisfront.core.table_edit import TableConflict, TableConflictError

__all__ = [
    "Exchange",
    "Handler",
    "HttpRequest",
    "HttpResponse",
    "MethodError",
    "Observe",
    "Problem",
    "Route",
    "json_response",
    "problem_response",
]

_JSON = b"application/json"
_PROBLEM = b"application/problem+json"
_MILLISECONDS_PER_SECOND = 1000


class HttpRequest(msgspec.Struct, frozen=True):
    """One request, its body read whole.

    Attributes
    ----------
    method, path : str
        As sent; the path without its query.
    parts : tuple of str
        What the route's pattern captured, in order, decoded.
    headers : dict of str to str
        By lower-case name.
    body : bytes
        The body.
    request_id : str
        The caller's id, or one made here; echoed in the answer.
    received_at_ms : float
        When its head came, by the tier's clock; deadlines count from here.
    """

    method: str
    path: str
    parts: tuple[str, ...]
    headers: dict[str, str]
    body: bytes
    request_id: str = ""
    received_at_ms: float = 0.0


class HttpResponse(msgspec.Struct, frozen=True):
    """One response.

    Attributes
    ----------
    status : int
        The HTTP status.
    body : bytes
        The body.
    content_type : bytes
        Its media type.
    headers : tuple of tuple of bytes
        Further headers.
    outcome : str
        What the sender is told, in a word, for the counters.
    """

    status: int
    body: bytes
    content_type: bytes = _JSON
    headers: tuple[tuple[bytes, bytes], ...] = ()
    outcome: str = "done"


Handler: TypeAlias = Callable[[HttpRequest], Awaitable[HttpResponse]]


class Route(msgspec.Struct, frozen=True):
    """A method and a path pattern, and what answers them.

    Attributes
    ----------
    method : str
        The HTTP method.
    pattern : re.Pattern
        Matched against the whole path; its groups become the parts.
    handler : callable
        Answers the request.
    ends_with_caller : bool
        Whether the handler is cancelled when its caller disconnects. Only for
        work that may be dropped half-way: a search, not a perform or an edit.
    """

    method: str
    pattern: re.Pattern[str]
    handler: Handler
    ends_with_caller: bool = False


class Exchange(msgspec.Struct, frozen=True):
    """One request and what became of it, for counters and logs.

    Attributes
    ----------
    request_id : str
        The request's id.
    method, path : str
        As sent.
    parts : tuple of str
        What the route captured; empty if none was found.
    status : int
        The answer's status; 0 if the caller was gone.
    duration_ms : float
        From the head of the request to the answer.
    outcome : str
        What the sender was told, in a word.
    error : BaseException or None
        Why there was no proper answer.
    """

    request_id: str
    method: str
    path: str
    parts: tuple[str, ...]
    status: int
    duration_ms: float
    outcome: str
    error: BaseException | None = None


Observe: TypeAlias = Callable[[Exchange], None]
"""Told of each exchange once it is over; must not wait."""


class Problem(msgspec.Struct, omit_defaults=True):
    """An RFC 9457 problem document.

    Attributes
    ----------
    type, title, status, detail
        As RFC 9457 says.
    code : str
        The kind of the error, from the closed list.
    ran : str
        Whether the request ran: ``no``, ``maybe`` or ``yes``.
    request_id : str or None
        The request's id.
    retry_after_ms : int or None
        When coming back can help.
    conflict : TableConflict or None
        Both edits, if the error is a conflict.
    """

    type: str
    title: str
    status: int
    detail: str
    code: str
    ran: str
    request_id: str | None = None
    retry_after_ms: int | None = None
    conflict: TableConflict | None = None


def json_response(
    value: object, *, status: int = 200, outcome: str = "done"
) -> HttpResponse:
    """Return a response with a JSON body."""
    return HttpResponse(status, msgspec.json.encode(value), outcome=outcome)


def problem_response(
    error: IbisfrontError, *, request_id: str | None = None
) -> HttpResponse:
    """Return the problem document of an error."""
    problem = Problem(
        type=f"urn:ibisfront:error:{error.kind.value}",
        title=error.title,
        status=error.status,
        detail=error.detail,
        code=error.kind.value,
        ran=error.ran.value,
        request_id=request_id,
        retry_after_ms=error.retry_after_ms,
        conflict=error.conflict if isinstance(error, TableConflictError) else None,
    )
    return HttpResponse(
        error.status,
        msgspec.json.encode(problem),
        _PROBLEM,
        _problem_headers(error),
        error.kind.value,
    )


class MethodError(IbisfrontError):
    """A path that takes other methods only.

    Parameters
    ----------
    path : str
        The path.
    methods : list of str
        What it takes.
    """

    def __init__(self, path: str, methods: list[str]) -> None:
        self.allowed = ", ".join(methods)
        super().__init__(
            ErrorKind.METHOD_NOT_ALLOWED, f"{path[:80]} takes {self.allowed} only"
        )


def _problem_headers(error: IbisfrontError) -> tuple[tuple[bytes, bytes], ...]:
    if isinstance(error, MethodError):
        return ((b"allow", error.allowed.encode()),)
    if error.kind is ErrorKind.UNAUTHORIZED:
        return ((b"www-authenticate", b"Bearer"),)
    if error.retry_after_ms is not None:
        seconds = -(-error.retry_after_ms // _MILLISECONDS_PER_SECOND)
        return ((b"retry-after", str(seconds).encode()),)
    return ()
