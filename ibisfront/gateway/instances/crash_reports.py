"""Reports between instances about requests that crash backend servers."""

from __future__ import annotations

import secrets
from collections.abc import Sequence
from typing import TYPE_CHECKING

import msgspec

from ibisfront.core.counters import CounterKind
from ibisfront.core.logs import LogPart, part_logger
from ibisfront.gateway.load.crash_suspects import (
    CrashSuspects,
    FailedRuns,
    fingerprint_of,
)
from ibisfront.gateway.messages import CallerReply, InboundRequest
from ibisfront.gateway.servers.exchange import Exchange

if TYPE_CHECKING:
    from ibisfront.core.clock import Clock
    from ibisfront.core.counters import Counters
    from ibisfront.gateway.servers.server import Server
    from ibisfront.gateway.servers.server_registry import ServerRegistry
    from ibisfront.gateway.wire import WireCodec

__all__ = ["CrashReport", "CrashReports"]

_LOG = part_logger(LogPart.PEERS)
_QUERY_LOG = part_logger(LogPart.QUERY)

_TARGET = b"/ibisfront/crashes"
_OK = 200
_TIMEOUT_MS = 1_000.0
_MAX_REPORTS_PER_S = 5.0
"""Reports sent to all other instances; more come from failing servers, not requests."""

_MAX_SUSPECTS_IN_REPLY = 8


class CrashReport(msgspec.Struct, frozen=True):
    """What one instance tells another.

    Attributes
    ----------
    failed : list of FailedRuns
        Requests that lost servers.
    answered : list of str
        Fingerprints of requests that a server has replied to.
    """

    failed: list[FailedRuns] = []
    answered: list[str] = []


class CrashReports:
    """Shares the suspects of all instances.

    A report goes from the instance that saw a failed run to all others, and the reply
    to it holds what the other knows. Each report repeats all that is known about a
    request, so that a lost one is made up for by the next.

    Parameters
    ----------
    peers : ServerRegistry
        The other instances.
    wire : WireCodec
        The codec.
    clock : Clock
        The clock.
    counters : Counters
        Counts reports and refusals.
    """

    __slots__ = (
        "_clock",
        "_counters",
        "_peers",
        "_suspects",
        "_tokens",
        "_tokens_at_ms",
        "_wire",
    )

    def __init__(
        self,
        *,
        peers: ServerRegistry,
        wire: WireCodec,
        clock: Clock,
        counters: Counters,
    ) -> None:
        self._peers = peers
        self._wire = wire
        self._clock = clock
        self._counters = counters
        self._suspects = CrashSuspects()
        self._tokens = _MAX_REPORTS_PER_S
        self._tokens_at_ms = clock.now_ms()

    def quarantine_left_ms(self, request: InboundRequest) -> float:
        """Return how long a request is refused; 0 if it may be sent to servers."""
        left_ms = self._suspects.quarantine_left_ms(request, self._clock.now_ms())
        if not left_ms and self._suspects.is_evident(request):
            self._counters.add(CounterKind.QUARANTINES, "released")
            fields = {
                "request_id": request.request_id,
                "fingerprint": fingerprint_of(request),
            }
            _QUERY_LOG.info("A request leaves its quarantine.", extra=fields)
        return left_ms

    def record_run(
        self,
        request: InboundRequest,
        *,
        may_have_arrived: bool,
        has_reply: bool,
        servers_lost: int,
    ) -> None:
        """Record the end of a run of a request; report it if servers were lost.

        Parameters
        ----------
        request : InboundRequest
            The request.
        may_have_arrived : bool
            Whether any server may have received it.
        has_reply : bool
            Whether any server has run it and replied.
        servers_lost : int
            Servers that closed the connection while they ran it.
        """
        if not has_reply and not servers_lost:
            if may_have_arrived:
                self._counters.add(CounterKind.QUARANTINES, "no_loss_seen")
            return
        now_ms = self._clock.now_ms()
        fingerprint = fingerprint_of(request)
        if has_reply:
            if self._suspects.record_answer(fingerprint, now_ms):
                self._counters.add(CounterKind.QUARANTINES, "cleared")
                self._send_to_all(CrashReport(answered=[fingerprint]), now_ms)
            return
        known = self._suspects.record_failed_run(
            fingerprint, request.request_id, servers_lost, now_ms
        )
        if known is not None:
            self._counters.add(CounterKind.QUARANTINES, "suspected")
            self._send_to_all(CrashReport(failed=[known]), now_ms)

    @property
    def peers(self) -> list[Server]:
        """The other instances."""
        return list(self._peers.servers())

    def request_known(self, peers: Sequence[Server]) -> None:
        """Ask instances what they know, after a start."""
        for peer in peers:
            self._send(peer, CrashReport())

    def answer(self, request: InboundRequest) -> CallerReply | None:
        """Return the reply to another instance's report; None if it is no report."""
        if request.target != _TARGET:
            return None
        report = _decode(request.body)
        reply = CrashReport()
        if report is not None:
            self._merge(report)
            reply = self._reply_to(report)
        headers = [self._wire.request_id(request.request_id)]
        body = msgspec.msgpack.encode(reply)
        return CallerReply(_OK, headers, body, "crash_report")

    def _reply_to(self, report: CrashReport) -> CrashReport:
        """Return what is known here about the requests of a report, or about all."""
        suspects = self._suspects
        if not report.failed and not report.answered:
            return CrashReport(list(suspects.all_known())[:_MAX_SUSPECTS_IN_REPLY])
        now_ms = self._clock.now_ms()
        names = [item.fingerprint for item in report.failed]
        known = (suspects.known(name) for name in names)
        return CrashReport(
            failed=[item for item in known if item is not None],
            answered=[name for name in names if suspects.is_answered(name, now_ms)],
        )

    def _merge(self, report: CrashReport) -> None:
        now_ms = self._clock.now_ms()
        for item in report.failed:
            self._suspects.merge(item, now_ms)
        for fingerprint in report.answered:
            self._suspects.clear(fingerprint)

    def _send_to_all(self, report: CrashReport, now_ms: float) -> None:
        refill = (now_ms - self._tokens_at_ms) / 1_000.0 * _MAX_REPORTS_PER_S
        self._tokens = min(self._tokens + refill, _MAX_REPORTS_PER_S)
        self._tokens_at_ms = now_ms
        if self._tokens < 1.0:
            self._counters.add(CounterKind.QUARANTINES, "not_reported")
            return
        self._tokens -= 1.0
        for peer in self._peers.servers():
            if peer.is_reachable(now_ms):
                self._send(peer, report)

    def _send(self, peer: Server, report: CrashReport) -> None:
        if peer.pool is None:
            return
        request_id = secrets.token_hex(8)
        address = peer.entry.address.encode()
        now_ms = self._clock.now_ms()
        request = InboundRequest(
            method=b"POST",
            target=_TARGET,
            host=peer.entry.address,
            request_id=request_id,
            deadline_ms=None,
            headers=[(b"Host", address), self._wire.request_id(request_id)],
            body=msgspec.msgpack.encode(report),
            arrived_at_ms=now_ms,
        )
        encode_for = self._wire.encode_request(request)
        exchange = Exchange(
            peer,
            request_id=request_id.encode(),
            payload=lambda at_ms: encode_for(peer.entry.server_id, _TIMEOUT_MS),
            on_end=self._on_exchange_end,
            rank=0,
            created_at_ms=now_ms,
            expected_ms=_TIMEOUT_MS,
        )
        peer.pool.submit(exchange)

    def _on_exchange_end(self, exchange: Exchange) -> None:
        if exchange.server.pool is not None:
            exchange.server.pool.record_ended(exchange)
        if exchange.reply is None:
            return
        exchange.server.record_alive(self._clock.now_ms())
        if exchange.reply.status != _OK:
            # An instance of an earlier version does not know reports.
            self._counters.add(CounterKind.QUARANTINES, "not_understood")
            return
        report = _decode(exchange.reply.body)
        if report is not None:
            self._merge(report)


def _decode(body: bytes) -> CrashReport | None:
    try:
        return msgspec.msgpack.decode(body, type=CrashReport)
    except msgspec.DecodeError as error:
        _LOG.warning("A crash report cannot be read: %s.", error)
        return None
