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
    """The address that a server listens on.

    Attributes
    ----------
    host : str
        The IP address.
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
        The method, in upper case.
    segments : tuple of str
        The path segments, percent-decoded.
    query : dict of str to str
        The query parameters, percent-decoded.
    headers : dict of str to str
        The headers by lower-case name.
    body : bytes
        The whole body.
    """

    method: str
    segments: tuple[str, ...]
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


class Action(StrEnum):
    """How the server handles a response.

    ``SEND`` sends it; ``CLOSE`` and ``RESET`` end the connection without sending
    it; ``SILENCE`` keeps the connection open but never uses it again.
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
        How to handle the response.
    copies : int
        Number of times it is sent; more than one desynchronises the client.
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
        Any value that msgspec can encode.
    headers : dict of str to str, optional
        Headers besides the content type.
    """
    body = msgspec.json.encode(content)
    return Response(status, body, {**JSON_HEADERS, **(headers or {})})


def build_request(head: h11.Request, body: bytes) -> Request:
    """Return the request of an h11 head and a body."""
    target = urlsplit(head.target.decode("ascii"))
    segments = tuple(unquote(part) for part in target.path.split("/") if part)
    query = dict(parse_qsl(target.query, keep_blank_values=True))
    headers = {name.decode(): value.decode("latin-1") for name, value in head.headers}
    return Request(head.method.decode(), segments, query, headers, body)
