"""HTTP/1.1 header fields that concern a connection or a message's length."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ibisfront.gateway.messages import CallerReply, Header

__all__ = [
    "HOP_BY_HOP_FIELDS",
    "connection_options",
    "encode_reply",
    "idle_timeout_ms",
    "parse_non_negative",
]

_MILLISECONDS_PER_SECOND = 1000.0

_LARGE_BODY_BYTES = 64 * 1024
"""A smaller body is sent in one call with its head."""

HOP_BY_HOP_FIELDS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
"""Fields that are not forwarded."""

_REASON_PHRASES = {
    200: b"OK",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    400: b"Bad Request",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


def encode_reply(reply: CallerReply, keeps_open: bool) -> tuple[bytes, ...]:
    """Encode an answer to a caller, in pieces: a large body is not copied."""
    reason = _REASON_PHRASES.get(reply.status, b"Status")
    lines = [b"HTTP/1.1 %d %b" % (reply.status, reason)]
    lines += [name + b": " + value for name, value in reply.headers]
    lines.append(b"Content-Length: %d" % len(reply.body))
    if not keeps_open:
        lines.append(b"Connection: close")
    head = b"\r\n".join(lines) + b"\r\n\r\n"
    if len(reply.body) > _LARGE_BODY_BYTES:
        return head, reply.body
    return (head + reply.body,)


def connection_options(headers: Sequence[Header]) -> frozenset[bytes]:
    """Return the names listed in the ``Connection`` header, in lower case."""
    names: set[bytes] = set()
    for name, value in headers:
        if name.lower() == b"connection":
            names.update(item.strip().lower() for item in value.split(b","))
    return frozenset(names)


def idle_timeout_ms(value: bytes) -> float | None:
    """Return the idle timeout in a ``Keep-Alive`` header; None if it has none."""
    for item in value.split(b","):
        key, _, text = item.strip().partition(b"=")
        if key.lower() == b"timeout":
            seconds = parse_non_negative(text)
            return None if seconds is None else seconds * _MILLISECONDS_PER_SECOND
    return None


def parse_non_negative(value: bytes) -> float | None:
    """Parse a finite, non-negative number; return None for other text.

    Python also parses "nan" and "inf"; such a deadline would never pass, and the
    request would be held forever.
    """
    try:
        number = float(value)
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0.0 else None
