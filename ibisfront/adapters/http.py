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
    "MethodNotAllowedError",
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
    """One request with its complete body.

    Attributes
    ----------
    method, path : str
        As sent; the path without its query string.
    path_params : tuple of str
        The groups that the route's pattern captured, percent-decoded.
    headers : dict of str to str
        By lower-case name.
    body : bytes
        The body.
    request_id : str
        The caller's id, or a generated one; echoed in the response.
    received_at_ms : float
        When its head arrived, by the tier's clock; deadlines count from here.
    """

    method: str
    path: str
    path_params: tuple[str, ...]
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
        The counter reason of what the sender is sent.
    """

    status: int
    body: bytes
    content_type: bytes = _JSON
    headers: tuple[tuple[bytes, bytes], ...] = ()
    outcome: str = "done"


Handler: TypeAlias = Callable[[HttpRequest], Awaitable[HttpResponse]]


class Route(msgspec.Struct, frozen=True):
    """A method, a path pattern and their handler.

    Attributes
    ----------
    method : str
        The HTTP method.
    pattern : re.Pattern
        Matched against the whole path; its groups are the path parameters.
    handler : callable
        Returns the response.
    ends_with_caller : bool
        Whether the handler is cancelled when its caller disconnects. Only for
        work that is safe to abandon: a search, not a perform or an edit.
    """

    method: str
    pattern: re.Pattern[str]
    handler: Handler
    ends_with_caller: bool = False


class Exchange(msgspec.Struct, frozen=True):
    """One request and its outcome, for counters and logs.

    Attributes
    ----------
    request_id : str
        The request's id.
    method, path : str
        As sent.
    path_params : tuple of str
        The decoded path parameters; empty if no route was found.
    status : int
        The status of the response; 0 if the caller had disconnected.
    duration_ms : float
        From the head of the request to the response.
    outcome : str
        The counter reason of what the sender was sent.
    error : BaseException or None
        Why the request failed; None if it succeeded.
    """

    request_id: str
    method: str
    path: str
    path_params: tuple[str, ...]
    status: int
    duration_ms: float
    outcome: str
    error: BaseException | None = None


Observe: TypeAlias = Callable[[Exchange], None]
"""Called with each exchange once its outcome is known; must not block."""


class Problem(msgspec.Struct, omit_defaults=True):
    """An RFC 9457 problem document.

    Attributes
    ----------
    type, title, status, detail
        As RFC 9457 defines them.
    code : str
        The value of the ``ErrorKind``.
    ran : str
        Whether the request ran: ``no``, ``maybe`` or ``yes``.
    request_id : str or None
        The request's id.
    retry_after_ms : int or None
        After how long a retry can succeed.
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


class MethodNotAllowedError(IbisfrontError):
    """The path does not support the request's method.

    Parameters
    ----------
    path : str
        The path.
    methods : list of str
        The methods that it supports.
    """

    def __init__(self, path: str, methods: list[str]) -> None:
        self.allowed = ", ".join(methods)
        super().__init__(
            ErrorKind.METHOD_NOT_ALLOWED, f"{path[:80]} supports {self.allowed} only"
        )


def _problem_headers(error: IbisfrontError) -> tuple[tuple[bytes, bytes], ...]:
    if isinstance(error, MethodNotAllowedError):
        return ((b"allow", error.allowed.encode()),)
    if error.kind is ErrorKind.UNAUTHORIZED:
        return ((b"www-authenticate", b"Bearer"),)
    if error.retry_after_ms is not None:
        seconds = -(-error.retry_after_ms // _MILLISECONDS_PER_SECOND)
        return ((b"retry-after", str(seconds).encode()),)
    return ()
