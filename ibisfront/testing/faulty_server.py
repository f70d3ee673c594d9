"""A backend server that injects scripted reply faults, over memory streams.

It serves HTTP to the real adapter under trio's mock clock, so that late,
duplicate and mismatched replies reach the code that must detect them.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from contextlib import suppress
from enum import StrEnum
from itertools import cycle
from typing import TYPE_CHECKING, Any

import httpcore
import msgspec
import trio
from trio.testing import MemoryReceiveStream, memory_stream_pair

from ibisfront.adapters.backend import HttpBackendConnection
from ibisfront.adapters.backend_stream import BackendStream
from ibisfront.core.coverage import MissingReason
from ibisfront.core.query import SubRequestError

if TYPE_CHECKING:
    from ibisfront.core.clock import Clock
    from ibisfront.core.types import Address

__all__ = ["FaultyNetwork", "FaultyServer", "ReplyFault"]

_HEADER = re.compile(rb"\r\n([^:\r\n]+): ?([^\r\n]*)")
_WORK_MS = 5.0
_LATE_MS = 60.0


class ReplyFault(StrEnum):
    """How a server replies to one request."""

    NONE = "none"
    DOUBLE = "double"
    LATE = "late"
    CROSSED = "crossed"
    LOST = "lost"
    SILENT = "silent"
    OTHER_SNAPSHOT = "other_snapshot"
    SHED = "shed"


class _ParsedRequest(msgspec.Struct):
    """The parts of a request that its reply repeats."""

    request_id: bytes
    snapshot: str
    marker: Any


class FaultyServer:
    """One server with its snapshots and its script of faults.

    Parameters
    ----------
    service : str
        The service served.
    snapshots : tuple of str
        The snapshots held; may be changed at any time.
    faults : iterable of ReplyFault
        The fault of each request in turn; repeated from the start at the end.
    clock : Clock
        The test's clock.
    """

    def __init__(
        self,
        service: str,
        *,
        snapshots: tuple[str, ...],
        faults: Iterable[ReplyFault],
        clock: Clock,
    ) -> None:
        self.service = service
        self.snapshots = snapshots
        self._faults = cycle(faults)
        self._clock = clock
        self._last_reply = b""

    async def serve(self, stream: trio.abc.Stream) -> None:
        """Serve the requests of one connection according to the script."""
        with suppress(trio.BrokenResourceError):
            await self._serve(stream)
        await stream.aclose()

    async def _serve(self, stream: trio.abc.Stream) -> None:
        async for data in stream:
            if data.startswith(b"GET "):
                await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                continue
            fault = next(self._faults)
            await self._clock.sleep_ms(_WORK_MS)
            if fault is ReplyFault.SILENT:
                continue
            if fault is ReplyFault.LOST:
                break
            if fault is ReplyFault.LATE:
                await self._clock.sleep_ms(_LATE_MS)
            await stream.send_all(self._reply(_parse_request(bytes(data)), fault))

    def _reply(self, request: _ParsedRequest, fault: ReplyFault) -> bytes:
        previous, self._last_reply = (
            self._last_reply,
            self._normal_reply(request, fault),
        )
        if fault is ReplyFault.CROSSED and previous:
            return previous
        if fault is ReplyFault.DOUBLE:
            return self._last_reply * 2
        return self._last_reply

    def _normal_reply(self, request: _ParsedRequest, fault: ReplyFault) -> bytes:
        snapshot = request.snapshot
        if fault is ReplyFault.SHED:
            return self._message(request, b"503 Busy", {}, b"X-Not-Run: shed\r\n")
        if fault is ReplyFault.OTHER_SNAPSHOT and self.snapshots:
            snapshot = self.snapshots[0]
        elif snapshot not in self.snapshots:
            return self._message(request, b"409 Conflict", {})
        row = {
            "id": f"{self.service}/{snapshot}",
            "score": 0.5,
            "service": self.service,
            "snapshot": snapshot,
            "request": request.marker,
        }
        body = {"snapshot": snapshot, "rows": [row]}
        return self._message(request, b"200 OK", body)

    def _message(
        self,
        request: _ParsedRequest,
        status: bytes,
        body: dict[str, Any],
        headers: bytes = b"",
    ) -> bytes:
        encoded = msgspec.json.encode(body)
        snapshots = ",".join(self.snapshots).encode()
        return (
            b"HTTP/1.1 %s\r\nX-Request-Id: %s\r\nX-Snapshots: %s\r\n%s"
            b"Content-Length: %d\r\n\r\n%s"
            % (status, request.request_id, snapshots, headers, len(encoded), encoded)
        )


class FaultyNetwork:
    """Opens connections of the real adapter to faulty servers.

    Parameters
    ----------
    clock : Clock
        The test's clock.
    nursery : trio.Nursery
        Runs the servers.
    """

    def __init__(self, clock: Clock, nursery: trio.Nursery) -> None:
        self.servers: dict[Address, FaultyServer] = {}
        self._clock = clock
        self._nursery = nursery

    async def open_connection(self, address: Address) -> HttpBackendConnection:
        """Open a connection; see ``OpenConnection``."""
        server = self.servers.get(address)
        await self._clock.sleep_ms(1.0)
        if server is None:
            raise SubRequestError(MissingReason.CONNECT_FAILED, not_run=True)
        client_stream, server_stream = memory_stream_pair()
        self._nursery.start_soon(server.serve, server_stream)
        origin = httpcore.Origin(b"http", b"server", 80)
        connection = httpcore.AsyncHTTP11Connection(
            origin,
            _MemoryStream(client_stream),  # type: ignore[arg-type]
        )
        return HttpBackendConnection("server:80", connection, self._clock)


class _MemoryStream(BackendStream):
    """The adapter's stream over a memory stream instead of a socket."""

    def get_extra_info(self, info: str) -> Any:
        """Return whether bytes can be read, as a socket stream does."""
        if info != "is_readable":
            return None
        receive: MemoryReceiveStream = self._stream.receive_stream  # type: ignore[attr-defined]
        return bool(receive._incoming._data)


def _parse_request(data: bytes) -> _ParsedRequest:
    head, _, body = data.partition(b"\r\n\r\n")
    headers = {name.lower(): value for name, value in _HEADER.findall(head)}
    request = msgspec.json.decode(body)["request"]
    return _ParsedRequest(
        headers[b"x-request-id"],
        headers.get(b"x-snapshot", b"").decode(),
        request["marker"],
    )
