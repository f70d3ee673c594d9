"""The callers' HTTP interface."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Protocol

import msgspec

from ibisfront.adapters.http import HttpRequest, HttpResponse, Route, json_response
from ibisfront.core.errors import ErrorKind, IbisfrontError
from ibisfront.core.query import Answer, CallerRequest, PerformAnswer

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ibisfront.core.settings import CallerSettings

__all__ = ["CallerService", "caller_routes"]

_DEADLINE_HEADER = "x-deadline-ms"
_KEY_HEADER = "idempotency-key"
_DEADLINE_PATTERN = re.compile(r"0*[1-9][0-9]{0,11}")
_MAXIMUM_DEPTH = 64
_PURPOSE_PATH = r"/v1/branches/([^/]+)/purposes/([^/]+)/"


class CallerService(Protocol):
    """The operations that callers can request."""

    async def search(self, request: CallerRequest) -> Answer:
        """Return the merged answer of the services."""
        ...

    async def perform(self, request: CallerRequest, key: str) -> PerformAnswer:
        """Run non-idempotent work at most once."""
        ...

    async def outcome(self, key: str) -> PerformAnswer:
        """Return the outcome of an earlier ``perform``."""
        ...


def caller_routes(
    service: CallerService, *, settings: CallerSettings
) -> tuple[Route, ...]:
    """Return the callers' routes."""

    async def query(request: HttpRequest) -> HttpResponse:
        parsed = _parse_request(request, settings)
        answer = await service.search(parsed)
        is_complete = answer.coverage.answered == answer.coverage.total
        return json_response(answer, outcome="whole" if is_complete else "partial")

    async def perform(request: HttpRequest) -> HttpResponse:
        parsed = _parse_request(request, settings)
        key = request.headers.get(_KEY_HEADER)
        if not key:
            raise IbisfrontError(
                ErrorKind.KEY_MISSING, "set the header Idempotency-Key to a UUIDv7"
            )
        answer = await service.perform(parsed, key)
        return json_response(
            answer, outcome="repeated" if answer.repeated else "performed"
        )

    async def outcome(request: HttpRequest) -> HttpResponse:
        answer = await service.outcome(request.path_params[0])
        echoed = msgspec.structs.replace(answer, request_id=request.request_id)
        return json_response(echoed, outcome="outcome_told")

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


def _parse_request(request: HttpRequest, settings: CallerSettings) -> CallerRequest:
    _validate_json(request.body)
    branch, purpose = request.path_params
    return CallerRequest(
        request_id=request.request_id,
        branch=branch,
        purpose=purpose,
        body_json=request.body,
        deadline_at_ms=request.received_at_ms + _deadline_ms(request, settings),
    )


def _validate_json(body: bytes) -> None:
    try:
        decoded = msgspec.json.decode(body)
    except msgspec.MsgspecError as error:
        raise IbisfrontError(
            ErrorKind.BAD_REQUEST, f"the body is not JSON: {error}"
        ) from error
    except RecursionError as error:
        raise _nesting_error() from error
    # A body can be nested deeper than a backend server's decoder supports, and
    # would fail there, after it was sent. Counting brackets is cheap and
    # clears nearly all bodies; only the rest are traversed.
    if body.count(b"[") + body.count(b"{") > _MAXIMUM_DEPTH:
        _validate_depth(decoded)


def _validate_depth(decoded: object) -> None:
    level = [decoded]
    for _ in range(_MAXIMUM_DEPTH + 1):
        level = [child for item in level for child in _children(item)]
        if not level:
            return
    raise _nesting_error()


def _children(item: object) -> Iterable[object]:
    if isinstance(item, dict):
        return item.values()
    return item if isinstance(item, list) else ()


def _nesting_error() -> IbisfrontError:
    return IbisfrontError(
        ErrorKind.BAD_REQUEST,
        f"the body is nested more than {_MAXIMUM_DEPTH} levels deep: flatten it",
    )


def _deadline_ms(request: HttpRequest, settings: CallerSettings) -> int:
    given = request.headers.get(_DEADLINE_HEADER)
    if given is None:
        return settings.default_deadline_ms
    if _DEADLINE_PATTERN.fullmatch(given) is None:
        raise IbisfrontError(
            ErrorKind.BAD_REQUEST,
            f"X-Deadline-Ms is {given[:40]!r}:"
            " give a whole number of milliseconds above 0",
        )
    return min(int(given[-12:]), settings.maximum_deadline_ms)
