"""Connections to modelled servers, and what is written on them."""

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
    from ibisfront.lab.agenda import Agenda
    from ibisfront.lab.servers import ModelServer

__all__ = ["LAB_WIRE", "MISSING", "RETRY_AFTER_MS", "connect"]

MISSING = b"missing"
"""Header of an answer: how many parts are not in it."""

RETRY_AFTER_MS = b"retry-after-ms"
"""Header of a refusal: when to come back."""


def _encode_request(request: InboundRequest) -> EncodeFor:
    """Write the kind of a query, as its target says it, and the time left."""
    kind = request.target.rpartition(b"/")[2]

    def encode_for(server_id: str, left_ms: float) -> bytes:
        return b"%b %d" % (kind, max(int(left_ms), 1))

    return encode_for


def _gathered_headers(signatures: Sequence[bytes], missing: int) -> list[Header]:
    return [(MISSING, b"%d" % missing)]


def _retry_after(wait_ms: float) -> Header:
    return (RETRY_AFTER_MS, b"%.1f" % wait_ms)


def _request_id(request_id: str) -> Header:
    return (b"request-id", request_id.encode())


def _unused(*args: object) -> NoReturn:
    raise AssertionError("callers and instances are modelled without a wire")


def _decode_request(
    raw: RawMessage, now_ms: float, network_ms: float
) -> InboundRequest:
    _unused(raw)


def _decode_reply(raw: RawMessage) -> BackendReply:
    _unused(raw)


def _encode_reply(reply: CallerReply, keeps_open: bool) -> bytes:
    _unused(reply)


LAB_WIRE = WireCodec(
    decode_request=_decode_request,
    encode_request=_encode_request,
    decode_reply=_decode_reply,
    gathered_headers=_gathered_headers,
    request_id=_request_id,
    retry_after=_retry_after,
    encode_reply=_encode_reply,
)


async def connect(
    server: ModelServer,
    *,
    way_ms: float,
    connect_ms: float,
    most: int,
    agenda: Agenda,
    clock: Clock,
) -> ServerConnection:
    """Open a connection to a server; raises ``OSError`` if it does not accept."""
    await clock.sleep_ms(2.0 * way_ms + connect_ms)
    if server.is_down:
        raise ConnectionRefusedError(server.entry.address)
    if len(server.connections) >= most:
        raise ConnectionResetError(server.entry.address)
    return _ModelConnection(server, way_ms=way_ms, agenda=agenda, clock=clock)


class _ModelConnection:
    """One connection; see ``ServerConnection``."""

    __slots__ = (
        "_agenda",
        "_clock",
        "_ended",
        "_exchange",
        "_job",
        "_on_idle",
        "_server",
        "_way_ms",
        "expires_at_ms",
    )

    def __init__(
        self, server: ModelServer, *, way_ms: float, agenda: Agenda, clock: Clock
    ) -> None:
        self._server = server
        self._way_ms = way_ms
        self._agenda = agenda
        self._clock = clock
        self._exchange: Exchange | None = None
        self._job: Job | None = None
        self._ended = trio.Event()
        self._on_idle: Callable[[ServerConnection], None] | None = None
        self.expires_at_ms = math.inf
        server.connections.add(self._end_from_server)

    @property
    def is_idle(self) -> bool:
        """Whether it can take an exchange."""
        return self._exchange is None and not self._ended.is_set()

    def send(self, exchange: Exchange, now_ms: float) -> bool:
        """Send an exchange."""
        kind, _, left_ms = exchange.payload(now_ms).partition(b" ")
        exchange.sent_at_ms = now_ms
        arrives_ms = now_ms + self._way_ms
        job = Job(int(kind), now_ms + float(left_ms), self._send_back)
        self._exchange, self._job = exchange, job
        take = partial(self._server.take, job, arrives_ms)
        self._agenda.at(arrives_ms, take)
        return True

    def close(self) -> None:
        """Close it; the server drops what it carries."""
        if self._ended.is_set():
            return
        job, self._job = self._job, None
        if job is not None:
            at_ms = self._clock.now_ms() + self._way_ms
            self._agenda.at(at_ms, partial(self._server.drop, job, at_ms))
        self._end()

    async def run(self, on_idle: Callable[[ServerConnection], None]) -> None:
        """Carry replies until it ends."""
        self._on_idle = on_idle
        try:
            await self._ended.wait()
        finally:
            self._end()

    def _send_back(self, reply: BackendReply) -> None:
        job = self._job
        at_ms = self._clock.now_ms() + self._way_ms
        self._agenda.at(at_ms, partial(self._receive, job, reply))

    def _receive(self, job: Job | None, reply: BackendReply) -> None:
        exchange = self._exchange
        if job is not self._job or exchange is None or self._ended.is_set():
            return
        self._exchange = self._job = None
        exchange.finish(reply)
        if self._on_idle is not None and not self._ended.is_set():
            self._on_idle(self)

    def _end_from_server(self) -> None:
        self._job = None
        self._agenda.at(self._clock.now_ms() + self._way_ms, self._end)

    def _end(self) -> None:
        self._server.connections.discard(self._end_from_server)
        self._ended.set()
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.fail(ExchangeErrorKind.CONNECTION_LOST)
