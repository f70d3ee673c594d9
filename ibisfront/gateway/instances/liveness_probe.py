"""Finding out whether an instance that was asked for a query is still there."""

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

_REPLY_MS = 120.0
"""How long the reply may take: an instance whose processor time is rationed by the
tenth of a second stands still for just under that."""

_PAUSE_MS = 200.0
"""Pause between a reply and the next question."""


StartLivenessProbe: TypeAlias = (
    "Callable[[RemoteCall, Callable[[], None]], LivenessProbe]"
)
"""Returns the check of an instance that was asked, given what to call on news."""


def liveness_prober(wire: WireCodec, clock: Clock) -> StartLivenessProbe:
    """Return what makes the checks of instances that were asked."""

    def check(remote: RemoteCall, on_change: Callable[[], None]) -> LivenessProbe:
        return LivenessProbe(
            remote.peer,
            wire=wire,
            clock=clock,
            first_at_ms=clock.now_ms() + remote.late_ms,
            on_change=on_change,
        )

    return check


def answer_liveness_probe(
    request: InboundRequest, wire: WireCodec
) -> CallerReply | None:
    """Return the reply to another instance's question; None if it is none."""
    if request.target != _TARGET:
        return None
    headers = [wire.request_id(request.request_id)]
    return CallerReply(200, headers, b"", "alive")


class LivenessProbe:
    """Asks an instance, while its answer is overdue, whether it is there.

    An instance that gathers a query replies once, at the end. Where an instance is
    asked rarely, no other reply says whether it works on the query or was lost with
    it: the one was given up seconds before its answer, the other waited for.

    Parameters
    ----------
    peer : Server
        The instance.
    wire : WireCodec
        The codec.
    clock : Clock
        The tier's clock.
    first_at_ms : float
        When to ask first.
    on_change : callable
        Called when a reply has come, or none can come.

    Attributes
    ----------
    next_at_ms : float
        When :meth:`is_lost` has something to do next.
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
        """Return whether the instance shows no life; ask it if that is due."""
        exchange = self._exchange
        if exchange is None:
            if now_ms >= self.next_at_ms:
                self._ask(now_ms)
            return False
        if self._peer.last_reply_at_ms >= exchange.created_at_ms:
            # Any reply is as good as the one to this question.
            self.end()
            self.next_at_ms = now_ms + _PAUSE_MS
            return False
        return exchange.has_ended or now_ms >= self.next_at_ms

    def end(self) -> None:
        """Wait for no reply any more."""
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.give_up(at_once=False)

    def _ask(self, now_ms: float) -> None:
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
        self.next_at_ms = now_ms + _REPLY_MS
        self._exchange = Exchange(
            peer,
            request_id=request.request_id.encode(),
            payload=lambda at_ms: encode_for(peer.entry.server_id, _REPLY_MS),
            on_end=self._ended,
            rank=0,
            created_at_ms=now_ms,
            expected_ms=_REPLY_MS,
        )
        assert peer.pool is not None
        peer.pool.submit(self._exchange)

    def _ended(self, exchange: Exchange) -> None:
        if self._peer.pool is not None:
            self._peer.pool.forget(exchange)
        if exchange.reply is not None:
            self._peer.record_alive(self._clock.now_ms())
        if not exchange.is_abandoned:
            self._on_change()
