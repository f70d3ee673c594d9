"""The callers' interface, over HTTP."""

from __future__ import annotations

import re
import uuid
from typing import TYPE_CHECKING, Protocol

import msgspec

from ibisfront.adapters.http import HttpRequest, HttpResponse, Route, json_response
from ibisfront.core.errors import ErrorKind, IbisfrontError
from ibisfront.core.query import Answer, CallerRequest, PerformAnswer

if TYPE_CHECKING:
    from ibisfront.core.clock import Clock
    from ibisfront.core.settings import CallerSettings

__all__ = ["CallerService", "caller_routes"]

_DEADLINE_HEADER = "x-deadline-ms"
_KEY_HEADER = "idempotency-key"
_REQUEST_ID_HEADER = "x-request-id"
_MAXIMUM_REQUEST_ID_LENGTH = 128
_PURPOSE_PATH = r"/v1/branches/([^/]+)/purposes/([^/]+)/"


class CallerService(Protocol):
    """What answers callers."""

    async def search(self, request: CallerRequest) -> Answer:
        """Return one whole answer."""
        ...

    async def perform(self, request: CallerRequest, key: str) -> PerformAnswer:
        """Run non-idempotent work at most once."""
        ...

    async def outcome(self, key: str) -> PerformAnswer:
        """Return the outcome of an earlier ``perform``."""
        ...


def caller_routes(
    service: CallerService, *, clock: Clock, settings: CallerSettings
) -> tuple[Route, ...]:
    """Return the routes that callers use."""

    async def query(request: HttpRequest) -> HttpResponse:
        checked = _checked(request, clock, settings)
        return json_response(await service.search(checked))

    async def perform(request: HttpRequest) -> HttpResponse:
        checked = _checked(request, clock, settings)
        key = request.headers.get(_KEY_HEADER)
        if not key:
            raise IbisfrontError(
                ErrorKind.KEY_MISSING, "set the header Idempotency-Key to a UUIDv7"
            )
        return json_response(await service.perform(checked, key))

    async def outcome(request: HttpRequest) -> HttpResponse:
        return json_response(await service.outcome(request.parts[0]))

    return (
        Route(
            "POST",
            re.compile(_PURPOSE_PATH + "query"),
            query,
            ends_with_caller=True,
        ),
        Route("POST", re.compile(_PURPOSE_PATH + "perform"), perform),
        Route("GET", re.compile(r"/v1/requests/([^/]+)"), outcome),
    )


def _checked(
    request: HttpRequest, clock: Clock, settings: CallerSettings
) -> CallerRequest:
    _check_json(request.body)
    branch, purpose = request.parts
    return CallerRequest(
        request_id=_request_id(request),
        branch=branch,
        purpose=purpose,
        body_json=request.body,
        deadline_at_ms=clock.now_ms() + _deadline_ms(request, settings),
    )


def _check_json(body: bytes) -> None:
    try:
        msgspec.json.decode(body)
    except msgspec.MsgspecError as error:
        raise IbisfrontError(
            ErrorKind.BAD_REQUEST, f"the body must be JSON: {error}"
        ) from error


def _request_id(request: HttpRequest) -> str:
    given = request.headers.get(_REQUEST_ID_HEADER)
    if given is None:
        return uuid.uuid4().hex
    if not given.isascii() or not 0 < len(given) <= _MAXIMUM_REQUEST_ID_LENGTH:
        raise IbisfrontError(
            ErrorKind.BAD_REQUEST,
            f"X-Request-Id must be 1 to {_MAXIMUM_REQUEST_ID_LENGTH} ASCII letters",
        )
    return given


def _deadline_ms(request: HttpRequest, settings: CallerSettings) -> int:
    given = request.headers.get(_DEADLINE_HEADER)
    if given is None:
        return settings.default_deadline_ms
    if not (given.isascii() and given.isdigit()) or int(given) == 0:
        raise IbisfrontError(
            ErrorKind.BAD_REQUEST,
            f"X-Deadline-Ms is {given!r}: give a whole number of milliseconds above 0",
        )
    return min(int(given), settings.maximum_deadline_ms)
