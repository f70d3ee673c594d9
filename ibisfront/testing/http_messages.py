"""The requests and responses of :mod:`ibisfront.testing.http_server`."""

from __future__ import annotations

from enum import StrEnum
from typing import Any
from urllib.parse import parse_qsl, unquote, urlsplit

import h11
import msgspec

__all__ = [
    "Action",
    "Address",
    "Request",
    "Response",
    "build_request",
    "json_response",
]

JSON_HEADERS = {"content-type": "application/json"}


class Address(msgspec.Struct, frozen=True):
    """Where a server listens.

    Attributes
    ----------
    host : str
        The IP number.
    port : int
        The TCP port.
    """

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class Request(msgspec.Struct, frozen=True):
    """One request.

    Attributes
    ----------
    method : str
        The method, in capitals.
    segments : tuple of str
        The path's parts between slashes, percent-decoded.
    query : dict of str to str
        The query's parameters, percent-decoded.
    headers : dict of str to str
        The headers by name in small letters.
    body : bytes
        The whole body.
    """

    method: str
    segments: tuple[str, ...]
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


class Action(StrEnum):
    """What the server does with a response.

    ``SEND`` sends it; ``CLOSE`` and ``RESET`` end the connection without it;
    ``SILENCE`` keeps the connection open and never uses it again.
    """

    SEND = "send"
    CLOSE = "close"
    RESET = "reset"
    SILENCE = "silence"


class Response(msgspec.Struct, frozen=True):
    """One response.

    Attributes
    ----------
    status : int
        The status.
    body : bytes
        The whole body.
    headers : dict of str to str
        The headers besides the content length.
    action : Action
        What to do with it.
    copies : int
        How often to send it; more than once leaves the client out of step.
    """

    status: int
    body: bytes = b""
    headers: dict[str, str] = {}
    action: Action = Action.SEND
    copies: int = 1


def json_response(
    status: int, content: Any, headers: dict[str, str] | None = None
) -> Response:
    """Return a response with a JSON body.

    Parameters
    ----------
    status : int
        The status.
    content : Any
        What msgspec can encode.
    headers : dict of str to str, optional
        Headers besides the content type.
    """
    body = msgspec.json.encode(content)
    return Response(status, body, {**JSON_HEADERS, **(headers or {})})


def build_request(head: h11.Request, body: bytes) -> Request:
    """Return the typed request of h11's events."""
    target = urlsplit(head.target.decode("ascii"))
    segments = tuple(unquote(part) for part in target.path.split("/") if part)
    query = dict(parse_qsl(target.query, keep_blank_values=True))
    headers = {name.decode(): value.decode("latin-1") for name, value in head.headers}
    return Request(head.method.decode(), segments, query, headers, body)
