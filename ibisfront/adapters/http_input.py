"""Validation of HTTP requests before they reach a handler."""

from __future__ import annotations

import re
import uuid
from collections.abc import Awaitable, Callable, Iterable
from typing import TYPE_CHECKING, Any, TypeAlias
from urllib.parse import unquote

from ibisfront.core.errors import ErrorKind, IbisfrontError

if TYPE_CHECKING:
    import trio

    from ibisfront.adapters.metered_connection import MeteredHttpConnection
    from ibisfront.core.clock import Clock

__all__ = [
    "REQUEST_ID_HEADER",
    "AsgiMessage",
    "AsgiReceive",
    "BodyReader",
    "decode_path_param",
    "new_request_id",
    "read_headers",
    "read_request_id",
]

AsgiMessage: TypeAlias = dict[str, Any]
AsgiReceive: TypeAlias = Callable[[], Awaitable[AsgiMessage]]

REQUEST_ID_HEADER = "x-request-id"
"""The header of a request's id, in requests and responses."""

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
    """Return an id for a request that was sent without one."""
    return uuid.uuid4().hex


def read_headers(raw_headers: Iterable[tuple[bytes, bytes]]) -> dict[str, str]:
    """Return the headers by lower-case name.

    Raises
    ------
    IbisfrontError
        ``bad_request`` if a single-valued header is repeated. With two
        deadlines or two keys, two readers could act on different ones.
    """
    headers: dict[str, str] = {}
    for raw_name, raw_value in raw_headers:
        name = raw_name.decode("latin-1").lower()
        if name in headers and name in _SINGLE_HEADERS:
            raise IbisfrontError(
                ErrorKind.BAD_REQUEST, f"the header {name} is repeated: send it once"
            )
        headers[name] = raw_value.decode("latin-1").strip()
    return headers


def read_request_id(headers: dict[str, str]) -> str:
    """Return the request's id, or a new one if it has none.

    Raises
    ------
    IbisfrontError
        ``bad_request`` if it cannot be forwarded in a header.
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


def decode_path_param(param: str) -> str:
    """Return a path parameter with its percent-encoding decoded.

    The path is split before it is decoded, so that an encoded slash remains
    part of the name that contains it.

    Raises
    ------
    IbisfrontError
        ``bad_request`` if the encoding is malformed or not UTF-8.
    """
    try:
        decoded = unquote(param, errors="strict")
    except UnicodeDecodeError as error:
        raise _path_param_error(param) from error
    if _BAD_ESCAPE.search(param) is not None or not decoded.isprintable():
        raise _path_param_error(param)
    return decoded


class BodyReader:
    """Reads the body of one request, with limits on its size and duration.

    Parameters
    ----------
    receive : callable
        The ASGI server's ``receive``.
    headers : dict of str to str
        The request's headers.
    clock : Clock
        The tier's clock.
    maximum_bytes : int
        A longer body is rejected.
    meter : MeteredHttpConnection, optional
        Its connection, which counts the memory that it uses.

    Attributes
    ----------
    is_complete : bool
        Whether the whole body was read.
    """

    __slots__ = (
        "_body",
        "_clock",
        "_ended",
        "_headers",
        "_is_refused",
        "_maximum_bytes",
        "_meter",
        "_receive",
        "_scope",
        "is_complete",
    )

    def __init__(
        self,
        receive: AsgiReceive,
        headers: dict[str, str],
        *,
        clock: Clock,
        maximum_bytes: int,
        meter: MeteredHttpConnection | None = None,
    ) -> None:
        self._body = bytearray()
        self._is_refused = False
        self._meter = meter
        self._scope: trio.CancelScope | None = None
        self.is_complete = False
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
            ``body_too_large`` as soon as that is known, ``bad_request`` if the body
            was truncated or sent too slowly, or ``overloaded`` if the bodies of all
            callers use up the memory.
        """
        length = self._headers.get("content-length", "")
        if length.isdigit() and len(length.lstrip("0")) > len(str(self._maximum_bytes)):
            raise self._too_large()
        if length.isdigit() and int(length) > self._maximum_bytes:
            raise self._too_large()
        if self._meter is not None:
            self._meter.add(self)
        # A sender that never ends its body would occupy this task forever.
        with self._clock.timeout_ms(_BODY_TIMEOUT_MS) as self._scope:
            return await self._read_chunks()
        if self._is_refused:
            raise _no_memory_error()
        raise IbisfrontError(
            ErrorKind.BAD_REQUEST,
            f"the body was not complete in {_BODY_TIMEOUT_MS:.0f} ms: send it faster",
        )

    @property
    def held_bytes(self) -> int:
        """Memory that the body uses; a complete one is held decoded as well."""
        return len(self._body) * 2

    def refuse(self) -> None:
        """Drop the body; :meth:`read` raises ``overloaded``."""
        self._is_refused = True
        self._body = bytearray()
        if self._scope is not None:
            self._scope.cancel()

    def release(self) -> None:
        """Release the memory of the body, when its request has ended."""
        self._body = bytearray()
        if self._meter is not None:
            self._meter.remove(self)

    async def discard(self) -> None:
        """Read and discard the rest of the body, up to a limit.

        Closing a connection while the caller still sends resets it, and the
        reset can overtake the response: the caller would see a lost connection
        instead of the error. So the rest is read before the close.
        """
        remaining_bytes = _MAXIMUM_DISCARD_BYTES
        with self._clock.timeout_ms(_DISCARD_TIMEOUT_MS):
            while not self._ended and remaining_bytes > 0:
                message = await self._receive()
                remaining_bytes -= len(message.get("body", b""))
                self._record_end(message)

    async def _read_chunks(self) -> bytes:
        while not self._ended:
            message = await self._receive()
            self._record_end(message)
            if message["type"] == "http.disconnect":
                raise IbisfrontError(ErrorKind.BAD_REQUEST, "the body was truncated")
            self._body += message.get("body", b"")
            if len(self._body) > self._maximum_bytes:
                raise self._too_large()
            if self._meter is not None:
                self._meter.record()
            if self._is_refused:
                raise _no_memory_error()
        self.is_complete = True
        return bytes(self._body)

    def _record_end(self, message: AsgiMessage) -> None:
        self._ended = not message.get("more_body", False)

    def _too_large(self) -> IbisfrontError:
        return IbisfrontError(
            ErrorKind.BODY_TOO_LARGE,
            f"the body is longer than {self._maximum_bytes} bytes: send a shorter one",
        )


def _no_memory_error() -> IbisfrontError:
    return IbisfrontError(
        ErrorKind.OVERLOADED, "the bodies of all callers use up the memory: retry later"
    )


def _path_param_error(param: str) -> IbisfrontError:
    return IbisfrontError(
        ErrorKind.BAD_REQUEST,
        f"the path has {param[:40]!r}: percent-encode printable UTF-8 text",
    )
