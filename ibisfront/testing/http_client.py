"""A small HTTP client for tests, demo and benchmarks."""

from __future__ import annotations

from typing import TypeVar

import httpcore
import msgspec

__all__ = ["HttpClient", "HttpReply"]

_Decoded = TypeVar("_Decoded")
_TIMEOUT_S = 35.0


class HttpReply(msgspec.Struct, frozen=True):
    """One reply.

    Attributes
    ----------
    status : int
        The HTTP status.
    body : bytes
        The body.
    headers : dict of str to str
        The headers by lower-case name.
    """

    status: int
    body: bytes
    headers: dict[str, str]

    def decode(self, decoded_type: type[_Decoded]) -> _Decoded:
        """Return the JSON body decoded as the given type."""
        return msgspec.json.decode(self.body, type=decoded_type)


class HttpClient:
    """Sends requests with JSON bodies over persistent connections."""

    def __init__(self) -> None:
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=None, max_keepalive_connections=None
        )

    async def send(
        self,
        method: str,
        url: str,
        *,
        body: object = None,
        headers: dict[str, str] | None = None,
    ) -> HttpReply:
        """Send one request and return its reply, with any status."""
        content = b"" if body is None else msgspec.json.encode(body)
        response = await self._pool.request(
            method,
            url,
            headers=[
                (name.encode(), value.encode())
                for name, value in (headers or {}).items()
            ],
            content=content,
            extensions={"timeout": dict.fromkeys(("connect", "read"), _TIMEOUT_S)},
        )
        return HttpReply(
            response.status,
            response.content,
            {
                name.decode("latin-1").lower(): value.decode("latin-1")
                for name, value in response.headers
            },
        )

    async def aclose(self) -> None:
        """Close every connection."""
        await self._pool.aclose()
