"""Liveness probes of an instance that was sent a query."""

from __future__ import annotations

import secrets
from collections.abc import Callable
from typing import TYPE_CHECKING, TypeAlias

from ibisfront.gateway.messages import CallerReply, InboundRequest
from ibisfront.gateway.servers.exchange import Exchange

if TYPE_CHECKING:
    from ibisfront.core.clock import Clock
    from ibisfront.gateway.queries.remote_call import RemoteCall
    from ibisfront.gateway.servers.server import Server
    from ibisfront.gateway.wire import WireCodec

__all__ = [
    "LivenessProbe",
    "StartLivenessProbe",
    "answer_liveness_probe",
    "liveness_prober",
]

_TARGET = b"/ibisfront/alive"

_REPLY_TIMEOUT_MS = 120.0
"""Timeout of a probe: an instance whose CPU quota is enforced in periods of 100 ms may
be stopped for almost that long."""

_INTERVAL_MS = 200.0
"""Delay between a reply and the next probe."""


StartLivenessProbe: TypeAlias = (
    "Callable[[RemoteCall, Callable[[], None]], LivenessProbe]"
)
"""Returns the probe of a remote call's instance, given the callback on a change."""


def liveness_prober(wire: WireCodec, clock: Clock) -> StartLivenessProbe:
    """Return a factory of probes for instances that were sent a query."""

    def start(remote: RemoteCall, on_change: Callable[[], None]) -> LivenessProbe:
        return LivenessProbe(
            remote.peer,
            wire=wire,
            clock=clock,
            first_at_ms=clock.now_ms() + remote.late_ms,
            on_change=on_change,
        )

    return start


def answer_liveness_probe(
    request: InboundRequest, wire: WireCodec
) -> CallerReply | None:
    """Return the reply to another instance's probe; None if it is not a probe."""
    if request.target != _TARGET:
        return None
    headers = [wire.request_id(request.request_id)]
    return CallerReply(200, headers, b"", "alive")


class LivenessProbe:
    """Probes an instance while its reply is overdue.

    A coordinator replies to a query once, at the end. If it gets few requests, no
    other reply shows whether it is working on the query or has failed: without
    probes a working one would be abandoned seconds before its reply, and a failed
    one would be waited for.

    Parameters
    ----------
    peer : Server
        The instance.
    wire : WireCodec
        Encodes the probe.
    clock : Clock
        The clock.
    first_at_ms : float
        When to send the first probe.
    on_change : callable
        Called when a reply has arrived, or none can arrive.

    Attributes
    ----------
    next_at_ms : float
        When :meth:`is_lost` must be called next.
    """

    __slots__ = ("_clock", "_exchange", "_on_change", "_peer", "_wire", "next_at_ms")

    def __init__(
        self,
        peer: Server,
        *,
        wire: WireCodec,
        clock: Clock,
        first_at_ms: float,
        on_change: Callable[[], None],
    ) -> None:
        self._peer = peer
        self._wire = wire
        self._clock = clock
        self._on_change = on_change
        self._exchange: Exchange | None = None
        self.next_at_ms = first_at_ms

    def is_lost(self, now_ms: float) -> bool:
        """Return whether the instance has failed the probe; send one if due."""
        exchange = self._exchange
        if exchange is None:
            if now_ms >= self.next_at_ms:
                self._send(now_ms)
            return False
        if self._peer.last_reply_at_ms >= exchange.created_at_ms:
            # Any reply shows as much as the reply to the probe.
            self.end()
            self.next_at_ms = now_ms + _INTERVAL_MS
            return False
        return exchange.has_ended or now_ms >= self.next_at_ms

    def end(self) -> None:
        """Stop waiting for a reply."""
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.abandon(at_once=False)

    def _send(self, now_ms: float) -> None:
        peer = self._peer
        request_id = secrets.token_hex(8)
        request = InboundRequest(
            method=b"GET",
            target=_TARGET,
            host=peer.entry.address,
            request_id=request_id,
            deadline_ms=None,
            headers=[
                (b"Host", peer.entry.address.encode()),
                self._wire.request_id(request_id),
            ],
            body=b"",
            arrived_at_ms=now_ms,
        )
        encode_for = self._wire.encode_request(request)
        self.next_at_ms = now_ms + _REPLY_TIMEOUT_MS
        self._exchange = Exchange(
            peer,
            request_id=request.request_id.encode(),
            payload=lambda at_ms: encode_for(peer.entry.server_id, _REPLY_TIMEOUT_MS),
            on_end=self._on_exchange_end,
            rank=0,
            created_at_ms=now_ms,
            expected_ms=_REPLY_TIMEOUT_MS,
        )
        assert peer.pool is not None
        peer.pool.submit(self._exchange)

    def _on_exchange_end(self, exchange: Exchange) -> None:
        if self._peer.pool is not None:
            self._peer.pool.record_ended(exchange)
        if exchange.reply is not None:
            self._peer.record_alive(self._clock.now_ms())
        if not exchange.is_abandoned:
            self._on_change()
