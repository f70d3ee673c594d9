"""What the callers' and the operators' listeners share: ASGI, problems."""

from __future__ import annotations

import re
from collections.abc import Awaitable, Callable
from typing import Any, TypeAlias

import msgspec
import trio

from ibisfront.core.errors import ANSWERS, ErrorKind, IbisfrontError, Ran

__all__ = [
    "AsgiApplication",
    "AsgiMessage",
    "AsgiReceive",
    "AsgiSend",
    "Handler",
    "HttpRequest",
    "HttpResponse",
    "Route",
    "asgi_application",
    "json_response",
    "problem_response",
]

AsgiMessage: TypeAlias = dict[str, Any]
AsgiReceive: TypeAlias = Callable[[], Awaitable[AsgiMessage]]
AsgiSend: TypeAlias = Callable[[AsgiMessage], Awaitable[None]]
AsgiApplication: TypeAlias = Callable[
    [dict[str, Any], AsgiReceive, AsgiSend], Awaitable[None]
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
        What the route's pattern captured, in order.
    headers : dict of str to str
        By lower-case name.
    body : bytes
        The body.
    """

    method: str
    path: str
    parts: tuple[str, ...]
    headers: dict[str, str]
    body: bytes


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
    """

    status: int
    body: bytes
    content_type: bytes = _JSON
    headers: tuple[tuple[bytes, bytes], ...] = ()


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


class _CallerGone(Exception):
    """The caller disconnected before its answer was ready."""


class _Problem(msgspec.Struct, omit_defaults=True):
    """An RFC 9457 problem document."""

    type: str
    title: str
    status: int
    detail: str
    code: str
    ran: str
    request_id: str | None = None
    retry_after_ms: int | None = None


def json_response(value: object, *, status: int = 200) -> HttpResponse:
    """Return a response with a JSON body."""
    return HttpResponse(status, msgspec.json.encode(value))


def problem_response(
    error: IbisfrontError, *, request_id: str | None = None
) -> HttpResponse:
    """Return the problem document of an error."""
    problem = _Problem(
        type=f"urn:ibisfront:error:{error.kind.value}",
        title=error.title,
        status=error.status,
        detail=error.detail,
        code=error.kind.value,
        ran=error.ran.value,
        request_id=request_id,
        retry_after_ms=error.retry_after_ms,
    )
    headers: tuple[tuple[bytes, bytes], ...] = ()
    if error.retry_after_ms is not None:
        seconds = -(-error.retry_after_ms // _MILLISECONDS_PER_SECOND)
        headers = ((b"retry-after", str(seconds).encode()),)
    return HttpResponse(error.status, msgspec.json.encode(problem), _PROBLEM, headers)


def asgi_application(
    routes: tuple[Route, ...],
    *,
    maximum_body_bytes: int,
    report: Callable[[BaseException], None],
) -> AsgiApplication:
    """Return an ASGI application that answers the routes.

    Parameters
    ----------
    routes : tuple of Route
        What it answers.
    maximum_body_bytes : int
        A longer body is refused with ``body_too_large``.
    report : callable
        Called with each fault of our own.
    """

    async def application(
        scope: dict[str, Any], receive: AsgiReceive, send: AsgiSend
    ) -> None:
        if scope["type"] == "lifespan":
            await _lifespan(receive, send)
            return
        try:
            response = await _answer(scope, receive, routes, maximum_body_bytes)
        except IbisfrontError as error:
            response = problem_response(error, request_id=_request_id(scope))
        except _CallerGone:
            return
        except Exception as error:
            report(error)
            fault = IbisfrontError(
                ErrorKind.INTERNAL, ANSWERS[ErrorKind.INTERNAL].title, ran=Ran.MAYBE
            )
            response = problem_response(fault, request_id=_request_id(scope))
        await _send(response, send)

    return application


async def _answer(
    scope: dict[str, Any],
    receive: AsgiReceive,
    routes: tuple[Route, ...],
    maximum_body_bytes: int,
) -> HttpResponse:
    body = await _read_body(receive, maximum_body_bytes)
    route, parts = _find_route(routes, scope["method"], scope["path"])
    headers = {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in scope["headers"]
    }
    request = HttpRequest(scope["method"], scope["path"], parts, headers, body)
    if route.ends_with_caller:
        return await _answer_while_connected(route.handler, request, receive)
    return await route.handler(request)


async def _answer_while_connected(
    handler: Handler, request: HttpRequest, receive: AsgiReceive
) -> HttpResponse:
    """Run a handler until its caller disconnects.

    A caller that gives up shows as ``http.disconnect`` while the handler
    runs. Its admission place, connections and backend slots would stay taken
    for work that nobody reads; cancelling the handler frees them all, since
    each is held by a context of the handler's task.
    """
    responses: list[HttpResponse] = []
    failures: list[Exception] = []

    async def answer(scope: trio.CancelScope) -> None:
        try:
            responses.append(await handler(request))
        except Exception as error:
            failures.append(error)
        scope.cancel()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(answer, nursery.cancel_scope)
        await _wait_disconnected(receive)
        nursery.cancel_scope.cancel()
    if failures:
        raise failures[0]
    if not responses:
        raise _CallerGone
    return responses[0]


async def _wait_disconnected(receive: AsgiReceive) -> None:
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return


def _find_route(
    routes: tuple[Route, ...], method: str, path: str
) -> tuple[Route, tuple[str, ...]]:
    methods = []
    for route in routes:
        matched = route.pattern.fullmatch(path)
        if matched is None:
            continue
        if route.method == method:
            return route, matched.groups()
        methods.append(route.method)
    if methods:
        raise IbisfrontError(
            ErrorKind.METHOD_NOT_ALLOWED, f"{path} takes {', '.join(methods)}"
        )
    raise IbisfrontError(ErrorKind.NOT_FOUND, f"there is no {path}")


async def _read_body(receive: AsgiReceive, maximum_body_bytes: int) -> bytes:
    body = b""
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise IbisfrontError(ErrorKind.BAD_REQUEST, "the body was cut off")
        body += bytes(message.get("body", b""))
        if len(body) > maximum_body_bytes:
            raise IbisfrontError(
                ErrorKind.BODY_TOO_LARGE, f"at most {maximum_body_bytes} bytes"
            )
        if not message.get("more_body", False):
            return body


async def _send(response: HttpResponse, send: AsgiSend) -> None:
    headers = [
        (b"content-type", response.content_type),
        (b"content-length", str(len(response.body)).encode()),
        *response.headers,
    ]
    start = {
        "type": "http.response.start",
        "status": response.status,
        "headers": headers,
    }
    await send(start)
    await send({"type": "http.response.body", "body": response.body})


async def _lifespan(receive: AsgiReceive, send: AsgiSend) -> None:
    while True:
        message = await receive()
        await send({"type": message["type"] + ".complete"})
        if message["type"] == "lifespan.shutdown":
            return


def _request_id(scope: dict[str, Any]) -> str | None:
    for name, value in scope["headers"]:
        if name.lower() == b"x-request-id":
            decoded: str = value.decode("latin-1")
            return decoded
    return None
