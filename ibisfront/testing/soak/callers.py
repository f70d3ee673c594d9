"""Callers of the soak, which record the outcome of each request."""

from __future__ import annotations

import itertools
from enum import StrEnum
from typing import TYPE_CHECKING

import msgspec
import trio

from ibisfront.http1.parser import MalformedMessageError, ReplyReader

if TYPE_CHECKING:
    from ibisfront.core.clock import Clock
    from ibisfront.http1.parser import RawMessage
    from ibisfront.testing.soak.proxy import FaultyProxy

__all__ = ["HOST", "Outcome", "RequestPath", "SoakCaller"]

HOST = "soak.example"
DEADLINE_MS = 1_500.0
_READ_BYTES = 65_536
_MAXIMUM_BODY_BYTES = 65_536


class RequestPath(StrEnum):
    """Request paths; each matches a route of the configuration.

    A request for ``CRASH`` crashes each server that runs it. The route of ``OPEN``
    is public.
    """

    SEARCH = "/search/a"
    FETCH = "/fetch/a"
    ORDER = "/order/a"
    CRASH = "/search/crash"
    OPEN = "/open/a"


class Outcome(msgspec.Struct):
    """One request as its caller saw it.

    Attributes
    ----------
    request_id : str
        Unique id of the request.
    path : RequestPath
        Path that was requested.
    front : str
        Front process that received the request, with its incarnation.
    sent_at_ms, ended_at_ms : float
        When it was sent, and when its response or failure was seen.
    status : int
        Status of the response; 0 without a response, -1 if it was malformed.
    headers : dict of bytes to bytes
        Headers of the response, by lower-case name.
    body : bytes
        Body of the response.
    error : str
        Why there is no valid response.
    key : str
        Key of a workspace that was sent, if any.
    """

    request_id: str
    path: RequestPath
    front: str
    sent_at_ms: float
    ended_at_ms: float = 0.0
    status: int = 0
    headers: dict[bytes, bytes] = {}
    body: bytes = b""
    error: str = ""
    key: str = ""

    @property
    def front_name(self) -> str:
        """Name of the front process, whatever its incarnation."""
        return self.front.partition("#")[0]


class SoakCaller:
    """Sends one request at a time over a kept-alive connection.

    Parameters
    ----------
    name : str
        Prefix of its request ids.
    clock : Clock
        Clock of the soak run.
    key : str
        Key of a workspace that it sends; none if empty.

    Attributes
    ----------
    claimed_workspace : str
        Workspace that it names itself in a header; none if empty.
    """

    def __init__(self, name: str, *, clock: Clock, key: str = "") -> None:
        self.key = key
        self.claimed_workspace = ""
        self._ids = itertools.count(1)
        self._name = name
        self._clock = clock
        self._stream: trio.SocketStream | None = None
        self._proxy: FaultyProxy | None = None
        self._reader = ReplyReader(_MAXIMUM_BODY_BYTES)

    async def send_request(
        self, path: RequestPath, front: str, proxy: FaultyProxy
    ) -> Outcome:
        """Send a request to a front process and wait for its outcome."""
        request_id = f"{self._name}-{next(self._ids)}"
        outcome = Outcome(request_id, path, front, self._clock.now_ms(), key=self.key)
        try:
            with trio.fail_after(DEADLINE_MS / 1000.0):
                if self._proxy is not proxy:
                    await self._close()
                    self._proxy = proxy
                message = await self._exchange(path, request_id, proxy.address)
            outcome.status = message.status
            outcome.headers = {name.lower(): value for name, value in message.headers}
            outcome.body = message.body
            if not message.keeps_open:
                await self._close()
        except (OSError, trio.TooSlowError, trio.BrokenResourceError) as error:
            outcome.error = type(error).__name__
            await self._close()
        except MalformedMessageError as error:
            # The proxies do not alter bytes, so this is a failure for the checks.
            outcome.status, outcome.error = -1, str(error)
            await self._close()
        outcome.ended_at_ms = self._clock.now_ms()
        return outcome

    async def _exchange(
        self, path: RequestPath, request_id: str, address: str
    ) -> RawMessage:
        if self._stream is None:
            host, _, port = address.rpartition(":")
            self._stream = await trio.open_tcp_stream(host, int(port))
            self._reader = ReplyReader(_MAXIMUM_BODY_BYTES)
        method = "POST" if path is RequestPath.ORDER else "GET"
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Request-Id: {request_id}\r\n"
            f"X-Deadline-Ms: {DEADLINE_MS:.0f}\r\nContent-Length: 0\r\n"
        )
        if self.key:
            head += f"X-Key: {self.key}\r\n"
        if self.claimed_workspace:
            head += f"X-Tenant-Id: {self.claimed_workspace}\r\n"
        head += "\r\n"
        await self._stream.send_all(head.encode())
        while not self._reader.messages:
            data = await self._stream.receive_some(_READ_BYTES)
            if not data:
                raise ConnectionResetError(
                    "connection closed before the response was complete"
                )
            self._reader.feed(data)
        return self._reader.messages.pop()

    async def _close(self) -> None:
        stream, self._stream = self._stream, None
        if stream is not None:
            await trio.aclose_forcefully(stream)
