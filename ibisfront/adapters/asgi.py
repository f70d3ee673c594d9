"""The ASGI application that the callers' and the operators' listeners share."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any, TypeAlias
from urllib.parse import quote

import trio

from ibisfront.adapters.http import (
    Exchange,
    Handler,
    HttpRequest,
    HttpResponse,
    MethodNotAllowedError,
    Observe,
    Route,
    problem_response,
)
from ibisfront.adapters.http_input import (
    REQUEST_ID_HEADER,
    AsgiMessage,
    AsgiReceive,
    BodyReader,
    decode_path_param,
    new_request_id,
    read_headers,
    read_request_id,
)
from ibisfront.adapters.metered_connection import METER_KEY
from ibisfront.core.errors import ANSWERS, ErrorKind, IbisfrontError, Ran

if TYPE_CHECKING:
    from ibisfront.adapters.metered_connection import MeteredHttpConnection
    from ibisfront.core.clock import Clock

__all__ = [
    "AsgiApplication",
    "AsgiMessage",
    "AsgiReceive",
    "AsgiSend",
    "Authorize",
    "CallerDisconnected",
    "asgi_application",
]

AsgiSend: TypeAlias = Callable[[AsgiMessage], Awaitable[None]]
AsgiApplication: TypeAlias = Callable[
    [dict[str, Any], AsgiReceive, AsgiSend], Awaitable[None]
]

Authorize: TypeAlias = Callable[[dict[str, str]], None]
"""Raises ``unauthorized`` if the headers do not authorize the request."""

_CALLER_GONE = "caller_gone"


def _allow_all(headers: dict[str, str]) -> None:
    """Accept every request."""


class CallerDisconnected(Exception):
    """The caller disconnected before its response was ready."""


def asgi_application(
    routes: tuple[Route, ...],
    *,
    clock: Clock,
    maximum_body_bytes: int,
    observe: Observe,
    authorize: Authorize = _allow_all,
) -> AsgiApplication:
    """Return an ASGI application that serves the routes.

    Parameters
    ----------
    routes : tuple of Route
        The routes.
    clock : Clock
        The tier's clock.
    maximum_body_bytes : int
        A longer body is rejected with ``body_too_large``.
    observe : callable
        Called with each exchange once its outcome is known.
    authorize : callable, optional
        Called with the headers before the path and the body are read; raises
        if the sender is not authorized.
    """

    async def application(
        scope: dict[str, Any], receive: AsgiReceive, send: AsgiSend
    ) -> None:
        if scope["type"] == "lifespan":
            await _lifespan(receive, send)
        elif scope["type"] == "websocket":
            await send({"type": "websocket.close"})
        else:
            cycle = _RequestResponseCycle(scope, receive, clock, maximum_body_bytes)
            with cycle:
                response = await cycle.respond(routes, authorize)
                observe(cycle.exchange(response))
                if response is not None:
                    await cycle.send(response, send)

    return application


class _RequestResponseCycle:
    """The handling of one request, from its head to its response.

    Parameters
    ----------
    scope : dict
        The ASGI scope.
    receive : callable
        The ASGI server's ``receive``.
    clock : Clock
        The tier's clock.
    maximum_body_bytes : int
        A longer body is rejected.
    """

    __slots__ = (
        "_body",
        "_clock",
        "_error",
        "_maximum_body_bytes",
        "_meter",
        "_method",
        "_path",
        "_path_params",
        "_raw_headers",
        "_receive",
        "_received_at_ms",
        "_request_id",
    )

    def __init__(
        self,
        scope: dict[str, Any],
        receive: AsgiReceive,
        clock: Clock,
        maximum_body_bytes: int,
    ) -> None:
        self._clock = clock
        self._receive = receive
        self._maximum_body_bytes = maximum_body_bytes
        self._meter: MeteredHttpConnection | None = scope.get("state", {}).get(
            METER_KEY
        )
        self._received_at_ms = clock.now_ms()
        self._method: str = scope["method"]
        self._path = _raw_path(scope)
        self._raw_headers = scope["headers"]
        self._request_id = new_request_id()
        self._body = BodyReader(receive, {}, clock=clock, maximum_bytes=0)
        self._path_params: tuple[str, ...] = ()
        self._error: BaseException | None = None

    def __enter__(self) -> None:
        """Begin the request."""

    def __exit__(self, *exception: object) -> None:
        """Release what it holds."""
        self._body.release()

    async def respond(
        self, routes: tuple[Route, ...], authorize: Authorize
    ) -> HttpResponse | None:
        """Return the route's response or a problem document.

        None if the caller has disconnected.
        """
        try:
            return await self._handle(routes, authorize)
        except IbisfrontError as error:
            self._error = error
            return problem_response(error, request_id=self._request_id)
        except CallerDisconnected as error:
            self._error = error
            return None
        except Exception as error:
            self._error = error
            internal_error = IbisfrontError(
                ErrorKind.INTERNAL, ANSWERS[ErrorKind.INTERNAL].title, ran=Ran.MAYBE
            )
            return problem_response(internal_error, request_id=self._request_id)

    def exchange(self, response: HttpResponse | None) -> Exchange:
        """Return the record of the request and its outcome."""
        return Exchange(
            request_id=self._request_id,
            method=self._method,
            path=self._path,
            path_params=self._path_params,
            status=0 if response is None else response.status,
            duration_ms=self._clock.now_ms() - self._received_at_ms,
            outcome=_CALLER_GONE if response is None else response.outcome,
            error=self._error,
        )

    async def send(self, response: HttpResponse, send: AsgiSend) -> None:
        """Send a response, then discard the rest of the request's body."""
        headers = [
            (b"content-type", response.content_type),
            (b"content-length", str(len(response.body)).encode()),
            (REQUEST_ID_HEADER.encode(), self._request_id.encode()),
            *response.headers,
        ]
        start = {
            "type": "http.response.start",
            "status": response.status,
            "headers": headers,
        }
        await send(start)
        body = {"type": "http.response.body", "body": response.body, "more_body": True}
        await send(body)
        await self._body.discard()
        await send({"type": "http.response.body", "body": b""})

    async def _handle(
        self, routes: tuple[Route, ...], authorize: Authorize
    ) -> HttpResponse:
        headers = read_headers(self._raw_headers)
        self._request_id = read_request_id(headers)
        authorize(headers)
        route, raw_params = _find_route(routes, self._method, self._path)
        self._path_params = tuple(decode_path_param(param) for param in raw_params)
        self._body = BodyReader(
            self._receive,
            headers,
            clock=self._clock,
            maximum_bytes=self._maximum_body_bytes,
            meter=self._meter,
        )
        request = HttpRequest(
            method=self._method,
            path=self._path,
            path_params=self._path_params,
            headers=headers,
            body=await self._body.read(),
            request_id=self._request_id,
            received_at_ms=self._received_at_ms,
        )
        if route.ends_with_caller:
            return await _run_until_disconnect(route.handler, request, self._receive)
        return await route.handler(request)


async def _run_until_disconnect(
    handler: Handler, request: HttpRequest, receive: AsgiReceive
) -> HttpResponse:
    """Run a handler until its caller disconnects.

    The server reports a disconnect as ``http.disconnect`` while the handler
    runs. The admission slot, connections and backend slots would stay in use
    for a response that nobody reads; cancelling the handler releases them all,
    since each is held by a context of the handler's task.
    """
    responses: list[HttpResponse] = []
    failures: list[Exception] = []

    async def run_handler(scope: trio.CancelScope) -> None:
        try:
            responses.append(await handler(request))
        except Exception as error:
            failures.append(error)
        scope.cancel()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(run_handler, nursery.cancel_scope)
        await _wait_for_disconnect(receive)
        nursery.cancel_scope.cancel()
    if failures:
        raise failures[0]
    if not responses:
        raise CallerDisconnected
    return responses[0]


async def _wait_for_disconnect(receive: AsgiReceive) -> None:
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return


def _raw_path(scope: dict[str, Any]) -> str:
    raw: bytes | None = scope.get("raw_path")
    return quote(scope["path"]) if raw is None else raw.decode("latin-1")


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
        raise MethodNotAllowedError(path, methods)
    raise IbisfrontError(
        ErrorKind.NOT_FOUND, f"no route matches {path[:80]}: see docs/INTERFACE.md"
    )


async def _lifespan(receive: AsgiReceive, send: AsgiSend) -> None:
    while True:
        message = await receive()
        await send({"type": message["type"] + ".complete"})
        if message["type"] == "lifespan.shutdown":
            return
