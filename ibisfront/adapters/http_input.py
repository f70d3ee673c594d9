"""Checking what comes in over HTTP before any handler sees it."""

from __future__ import annotations

import re
import uuid
from collections.abc import Awaitable, Callable, Iterable
from typing import TYPE_CHECKING, Any, TypeAlias
from urllib.parse import unquote

from ibisfront.core.errors import ErrorKind, IbisfrontError

if TYPE_CHECKING:
    from ibisfront.core.clock import Clock

__all__ = [
    "REQUEST_ID_HEADER",
    "AsgiMessage",
    "AsgiReceive",
    "BodyReader",
    "decode_part",
    "new_request_id",
    "read_headers",
    "read_request_id",
]

AsgiMessage: TypeAlias = dict[str, Any]
AsgiReceive: TypeAlias = Callable[[], Awaitable[AsgiMessage]]

REQUEST_ID_HEADER = "x-request-id"
"""The header that carries a request's id both ways."""

_SINGLE_HEADERS = frozenset(
    {
        REQUEST_ID_HEADER,
        "authorization",
        "content-length",
        "idempotency-key",
        "x-deadline-ms",
    }
)
_REQUEST_ID_PATTERN = re.compile(r"[\x21-\x7e]{1,128}")
_BAD_ESCAPE = re.compile(r"%(?![0-9A-Fa-f]{2})")
_BODY_TIMEOUT_MS = 10_000.0
_DISCARD_TIMEOUT_MS = 1_000.0
_MAXIMUM_DISCARD_BYTES = 16_777_216


def new_request_id() -> str:
    """Return an id for a request that came without one."""
    return uuid.uuid4().hex


def read_headers(raw: Iterable[tuple[bytes, bytes]]) -> dict[str, str]:
    """Return the headers by lower-case name.

    Raises
    ------
    IbisfrontError
        ``bad_request`` if a header that must be single came twice. Two
        deadlines or two keys would let two readers act on different ones.
    """
    headers: dict[str, str] = {}
    for raw_name, raw_value in raw:
        name = raw_name.decode("latin-1").lower()
        if name in headers and name in _SINGLE_HEADERS:
            raise IbisfrontError(
                ErrorKind.BAD_REQUEST, f"the header {name} came twice: send it once"
            )
        headers[name] = raw_value.decode("latin-1").strip()
    return headers


def read_request_id(headers: dict[str, str]) -> str:
    """Return the request's id, or a new one if it brought none.

    Raises
    ------
    IbisfrontError
        ``bad_request`` if it could not be sent on in a header.
    """
    given = headers.get(REQUEST_ID_HEADER)
    if given is None:
        return new_request_id()
    if _REQUEST_ID_PATTERN.fullmatch(given) is None:
        raise IbisfrontError(
            ErrorKind.BAD_REQUEST,
            f"X-Request-Id is {given[:40]!r}: use 1 to 128 visible ASCII characters",
        )
    return given


def decode_part(part: str) -> str:
    """Return one part of a path with its percent-encoding undone.

    Parts are split before they are decoded, so that an encoded slash stays
    inside the name that it belongs to.

    Raises
    ------
    IbisfrontError
        ``bad_request`` if the encoding is broken or not of UTF-8.
    """
    try:
        decoded = unquote(part, errors="strict")
    except UnicodeDecodeError as error:
        raise _bad_part(part) from error
    if _BAD_ESCAPE.search(part) is not None or not decoded.isprintable():
        raise _bad_part(part)
    return decoded


class BodyReader:
    """Reads the body of one request, within bounds.

    Parameters
    ----------
    receive : callable
        The ASGI server's ``receive``.
    headers : dict of str to str
        The request's headers.
    clock : Clock
        The tier's clock.
    maximum_bytes : int
        A longer body is refused.
    """

    __slots__ = ("_clock", "_ended", "_headers", "_maximum_bytes", "_receive")

    def __init__(
        self,
        receive: AsgiReceive,
        headers: dict[str, str],
        *,
        clock: Clock,
        maximum_bytes: int,
    ) -> None:
        self._receive = receive
        self._headers = headers
        self._clock = clock
        self._maximum_bytes = maximum_bytes
        self._ended = False

    async def read(self) -> bytes:
        """Return the whole body.

        Raises
        ------
        IbisfrontError
            ``body_too_large`` as soon as that is known, or ``bad_request`` if
            the body was cut off or came too slowly.
        """
        length = self._headers.get("content-length", "")
        if length.isdigit() and len(length.lstrip("0")) > len(str(self._maximum_bytes)):
            raise self._too_large()
        if length.isdigit() and int(length) > self._maximum_bytes:
            raise self._too_large()
        # A sender that never ends its body would hold this task for good.
        with self._clock.timeout_ms(_BODY_TIMEOUT_MS):
            return await self._read_chunks()
        raise IbisfrontError(
            ErrorKind.BAD_REQUEST,
            f"the body did not end within {_BODY_TIMEOUT_MS:.0f} ms: send it faster",
        )

    async def discard(self) -> None:
        """Read and drop what is left of the body, up to a bound.

        Closing a connection while the caller still sends resets it, and the
        reset can overtake the refusal: the caller would see a lost connection
        in place of the reason. So the rest is taken in before the close.
        """
        left_bytes = _MAXIMUM_DISCARD_BYTES
        with self._clock.timeout_ms(_DISCARD_TIMEOUT_MS):
            while not self._ended and left_bytes > 0:
                message = await self._receive()
                left_bytes -= len(message.get("body", b""))
                self._note_end(message)

    async def _read_chunks(self) -> bytes:
        body = bytearray()
        while not self._ended:
            message = await self._receive()
            self._note_end(message)
            if message["type"] == "http.disconnect":
                raise IbisfrontError(ErrorKind.BAD_REQUEST, "the body was cut off")
            body += message.get("body", b"")
            if len(body) > self._maximum_bytes:
                raise self._too_large()
        return bytes(body)

    def _note_end(self, message: AsgiMessage) -> None:
        self._ended = not message.get("more_body", False)

    def _too_large(self) -> IbisfrontError:
        return IbisfrontError(
            ErrorKind.BODY_TOO_LARGE,
            f"the body is longer than {self._maximum_bytes} bytes: send a shorter one",
        )


def _bad_part(part: str) -> IbisfrontError:
    return IbisfrontError(
        ErrorKind.BAD_REQUEST,
        f"the path has {part[:40]!r}: percent-encode visible UTF-8 text",
    )
