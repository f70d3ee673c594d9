"""Callers of the soak: what each request was told, and when."""

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
    """What is asked for; each is a route of the configuration."""

    SEARCH = "/search/a"
    FETCH = "/fetch/a"
    ORDER = "/order/a"


class Outcome(msgspec.Struct):
    """One request, from its caller's side.

    Attributes
    ----------
    request_id : str
        Its name.
    path : RequestPath
        What was asked for.
    front : str
        The front process that was asked, with its incarnation.
    sent_at_ms, ended_at_ms : float
        When it was sent, and when its answer or its end was seen.
    status : int
        The answer's status; 0 without an answer.
    headers : dict of bytes to bytes
        The answer's headers, by their name in lower case.
    body : bytes
        The answer's body.
    error : str
        Why there is no answer.
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


class SoakCaller:
    """Sends one request at a time, and keeps its connection.

    Parameters
    ----------
    name : str
        Begins the ids of its requests.
    clock : Clock
        The soak's clock.
    """

    def __init__(self, name: str, *, clock: Clock) -> None:
        self._ids = itertools.count(1)
        self._name = name
        self._clock = clock
        self._stream: trio.SocketStream | None = None
        self._proxy: FaultyProxy | None = None
        self._reader = ReplyReader(_MAXIMUM_BODY_BYTES)

    async def ask(self, path: RequestPath, front: str, proxy: FaultyProxy) -> Outcome:
        """Send a request to a front process and wait for what comes of it."""
        request_id = f"{self._name}-{next(self._ids)}"
        outcome = Outcome(request_id, path, front, self._clock.now_ms())
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
            # Not of the network's making: the checks must see it.
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
            f"X-Deadline-Ms: {DEADLINE_MS:.0f}\r\nContent-Length: 0\r\n\r\n"
        )
        await self._stream.send_all(head.encode())
        while not self._reader.messages:
            data = await self._stream.receive_some(_READ_BYTES)
            if not data:
                raise ConnectionResetError("closed without a whole answer")
            self._reader.feed(data)
        return self._reader.messages.pop()

    async def _close(self) -> None:
        stream, self._stream = self._stream, None
        if stream is not None:
            await trio.aclose_forcefully(stream)
