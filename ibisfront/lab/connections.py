"""Connections to simulated servers, and their wire codec."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from functools import partial
from typing import TYPE_CHECKING, NoReturn

import trio

from ibisfront.gateway.messages import BackendReply, ExchangeErrorKind
from ibisfront.gateway.wire import WireCodec
from ibisfront.lab.servers import Job

if TYPE_CHECKING:
    from ibisfront.core.clock import Clock
    from ibisfront.gateway.messages import CallerReply, Header, InboundRequest
    from ibisfront.gateway.servers.exchange import Exchange
    from ibisfront.gateway.servers.pool import ServerConnection
    from ibisfront.gateway.wire import EncodeFor
    from ibisfront.http1.parser import RawMessage
    from ibisfront.lab.scheduler import EventScheduler
    from ibisfront.lab.servers import SimulatedServer

__all__ = ["LAB_WIRE_CODEC", "MISSING_SHARDS", "RETRY_AFTER_MS", "connect"]

MISSING_SHARDS = b"missing"
"""Reply header: number of shards missing from the reply."""

RETRY_AFTER_MS = b"retry-after-ms"
"""Header of a rejection: wait before the next retry, in milliseconds."""


def _encode_request(request: InboundRequest) -> EncodeFor:
    """Encode the query index from the request target, and the remaining time."""
    query_index = request.target.rpartition(b"/")[2]

    def encode_for(server_id: str, remaining_ms: float) -> bytes:
        return b"%b %d" % (query_index, max(int(remaining_ms), 1))

    return encode_for


def _gathered_headers(signatures: Sequence[bytes], missing: int) -> list[Header]:
    return [(MISSING_SHARDS, b"%d" % missing)]


def _retry_after(wait_ms: float) -> Header:
    return (RETRY_AFTER_MS, b"%.1f" % wait_ms)


def _request_id(request_id: str) -> Header:
    return (b"request-id", request_id.encode())


def _not_modelled(*args: object) -> NoReturn:
    raise AssertionError(
        "messages between callers and instances are not encoded in the simulation"
    )


def _decode_request(
    raw: RawMessage, now_ms: float, network_ms: float
) -> InboundRequest:
    _not_modelled(raw)


def _decode_reply(raw: RawMessage) -> BackendReply:
    _not_modelled(raw)


def _encode_reply(reply: CallerReply, keeps_open: bool) -> tuple[bytes, ...]:
    _not_modelled(reply)


LAB_WIRE_CODEC = WireCodec(
    decode_request=_decode_request,
    encode_request=_encode_request,
    key_header=b"key",
    workspace_header=b"workspace",
    decode_reply=_decode_reply,
    gathered_headers=_gathered_headers,
    request_id=_request_id,
    retry_after=_retry_after,
    encode_reply=_encode_reply,
)


async def connect(
    server: SimulatedServer,
    *,
    path_delay_ms: float,
    connect_ms: float,
    max_connections: int,
    scheduler: EventScheduler,
    clock: Clock,
) -> ServerConnection:
    """Open a connection to a server; raises ``OSError`` if the server refuses it."""
    await clock.sleep_ms(2.0 * path_delay_ms + connect_ms)
    if server.is_down:
        raise ConnectionRefusedError(server.entry.address)
    if len(server.connections) >= max_connections:
        raise ConnectionResetError(server.entry.address)
    return _SimulatedConnection(
        server, path_delay_ms=path_delay_ms, scheduler=scheduler, clock=clock
    )


class _SimulatedConnection:
    """Connection to a simulated server; see ``ServerConnection``."""

    __slots__ = (
        "_clock",
        "_closed",
        "_exchange",
        "_job",
        "_on_idle",
        "_path_delay_ms",
        "_scheduler",
        "_server",
        "expires_at_ms",
    )

    def __init__(
        self,
        server: SimulatedServer,
        *,
        path_delay_ms: float,
        scheduler: EventScheduler,
        clock: Clock,
    ) -> None:
        self._server = server
        self._path_delay_ms = path_delay_ms
        self._scheduler = scheduler
        self._clock = clock
        self._exchange: Exchange | None = None
        self._job: Job | None = None
        self._closed = trio.Event()
        self._on_idle: Callable[[ServerConnection], None] | None = None
        self.expires_at_ms = math.inf
        server.connections.add(self._close_from_server)

    @property
    def is_idle(self) -> bool:
        """Whether the connection can carry a new exchange."""
        return self._exchange is None and not self._closed.is_set()

    def send(self, exchange: Exchange, now_ms: float) -> bool:
        """Send an exchange to the server."""
        query_index, _, remaining_ms = exchange.payload(now_ms).partition(b" ")
        exchange.sent_at_ms = now_ms
        arrival_ms = now_ms + self._path_delay_ms
        job = Job(int(query_index), now_ms + float(remaining_ms), self._send_reply)
        self._exchange, self._job = exchange, job
        receive = partial(self._server.receive, job, arrival_ms)
        self._scheduler.call_at(arrival_ms, receive)
        return True

    def close(self) -> None:
        """Close the connection; the server cancels the job on it."""
        if self._closed.is_set():
            return
        job, self._job = self._job, None
        if job is not None:
            at_ms = self._clock.now_ms() + self._path_delay_ms
            self._scheduler.call_at(at_ms, partial(self._server.cancel, job, at_ms))
        self._terminate()

    async def run(self, on_idle: Callable[[ServerConnection], None]) -> None:
        """Report idleness after each reply until the connection closes."""
        self._on_idle = on_idle
        try:
            await self._closed.wait()
        finally:
            self._terminate()

    def _send_reply(self, reply: BackendReply) -> None:
        job = self._job
        at_ms = self._clock.now_ms() + self._path_delay_ms
        self._scheduler.call_at(at_ms, partial(self._receive_reply, job, reply))

    def _receive_reply(self, job: Job | None, reply: BackendReply) -> None:
        exchange = self._exchange
        if job is not self._job or exchange is None or self._closed.is_set():
            return
        self._exchange = self._job = None
        exchange.finish(reply)
        if self._on_idle is not None and not self._closed.is_set():
            self._on_idle(self)

    def _close_from_server(self) -> None:
        self._job = None
        self._scheduler.call_at(
            self._clock.now_ms() + self._path_delay_ms, self._terminate
        )

    def _terminate(self) -> None:
        self._server.connections.discard(self._close_from_server)
        self._closed.set()
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.fail(ExchangeErrorKind.CONNECTION_LOST)
