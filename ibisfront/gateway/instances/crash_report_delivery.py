"""Delivery of crash reports to the other instances."""

from __future__ import annotations

import math
import random
import secrets
from collections.abc import Callable, Iterable
from functools import partial
from typing import TYPE_CHECKING

import msgspec

from ibisfront.core.counters import CounterKind
from ibisfront.core.decoding import decode_msgpack
from ibisfront.core.logs import LogPart, part_logger
from ibisfront.gateway.load.crash_suspects import FailedRuns
from ibisfront.gateway.load.token_bucket import TokenBucket
from ibisfront.gateway.messages import InboundRequest
from ibisfront.gateway.servers.exchange import Exchange

if TYPE_CHECKING:
    from ibisfront.core.clock import Clock
    from ibisfront.core.counters import Counters
    from ibisfront.gateway.servers.server import Server
    from ibisfront.gateway.servers.server_registry import ServerRegistry
    from ibisfront.gateway.wire import WireCodec

__all__ = [
    "MAX_SUSPECTS_IN_REPORT",
    "REPORT_TARGET",
    "CrashReport",
    "CrashReportDelivery",
    "decode_report",
]

_LOG = part_logger(LogPart.PEERS)

REPORT_TARGET = b"/ibisfront/crashes"

MAX_SUSPECTS_IN_REPORT = 8

_OK = 200
_TIMEOUT_MS = 1_000.0
_MAX_REPORTS_PER_S = 5.0
"""Reports sent to all other instances; more come from failing servers, not requests."""

_REPEAT_MS = 500.0
"""Interval at which an unconfirmed report is repeated; some repeats fit into the
contact bound of some seconds."""

_PEERS_ASKED = 3
"""Instances that a started one asks at a time; any of them may be starting itself."""


class CrashReport(msgspec.Struct, frozen=True):
    """What one instance tells another.

    Attributes
    ----------
    failed : list of FailedRuns
        Requests that lost servers.
    answered : list of str
        Fingerprints of requests that a server has run to their end.
    """

    failed: list[FailedRuns] = []
    answered: list[str] = []


class _Unconfirmed:
    """What one instance has not confirmed yet: fingerprints, and the last try."""

    __slots__ = ("answered", "exchange", "failed", "sent_at_ms")

    def __init__(self) -> None:
        self.failed: set[str] = set()
        self.answered: set[str] = set()
        self.sent_at_ms = -math.inf
        self.exchange: Exchange | None = None


class CrashReportDelivery:
    """Sends reports to all other instances, again to those that have not replied.

    Parameters
    ----------
    peers : ServerRegistry
        The other instances.
    wire : WireCodec
        The codec.
    clock : Clock
        The clock.
    counters : Counters
        Counts reports.
    find_known : callable
        Returns what is known about a request, by its fingerprint.
    on_reply : callable
        Called with what another instance replies.
    """

    __slots__ = (
        "_asked_at_ms",
        "_clock",
        "_counters",
        "_find_known",
        "_is_asking",
        "_on_reply",
        "_peers",
        "_tokens",
        "_unconfirmed",
        "_wire",
    )

    def __init__(
        self,
        *,
        peers: ServerRegistry,
        wire: WireCodec,
        clock: Clock,
        counters: Counters,
        find_known: Callable[[str], FailedRuns | None],
        on_reply: Callable[[CrashReport], None],
    ) -> None:
        self._peers = peers
        self._wire = wire
        self._clock = clock
        self._counters = counters
        self._find_known = find_known
        self._on_reply = on_reply
        self._unconfirmed: dict[str, _Unconfirmed] = {}
        now_ms = clock.now_ms()
        self._tokens = TokenBucket(_MAX_REPORTS_PER_S, now_ms)
        self._is_asking = False
        self._asked_at_ms = now_ms

    def ask(self) -> None:
        """Ask some instances what they know, until one replies."""
        self._is_asking = True
        self._asked_at_ms = self._clock.now_ms()
        peers = list(self._peers.servers())
        for peer in random.sample(peers, min(len(peers), _PEERS_ASKED)):
            self._send(peer, CrashReport())

    def stop_asking(self) -> None:
        """Ask no more: what is known was learned elsewhere."""
        self._is_asking = False

    def repeat_unconfirmed(self) -> None:
        """Send again what other instances have not replied to."""
        now_ms = self._clock.now_ms()
        if self._is_asking and now_ms >= self._asked_at_ms + _REPEAT_MS:
            self.ask()
        if not self._unconfirmed:
            return
        peers = {peer.entry.server_id: peer for peer in self._peers.servers()}
        for name, unconfirmed in list(self._unconfirmed.items()):
            peer = peers.get(name)
            report = self._report_of(unconfirmed)
            if peer is None or not (report.failed or report.answered):
                del self._unconfirmed[name]
            elif now_ms >= unconfirmed.sent_at_ms + _REPEAT_MS and peer.is_reachable(
                now_ms
            ):
                self._counters.add(CounterKind.QUARANTINES, "reported_again")
                if unconfirmed.exchange is not None:
                    # Its connection may have gone silent for good.
                    unconfirmed.exchange.abandon(at_once=True)
                self._send_tracked(peer, report, now_ms)

    def _report_of(self, unconfirmed: _Unconfirmed) -> CrashReport:
        """Return what to repeat; requests that are no longer suspected are left out."""
        known = (self._find_known(name) for name in unconfirmed.failed)
        failed = [item for item in known if item is not None]
        return CrashReport(
            failed=failed[:MAX_SUSPECTS_IN_REPORT],
            answered=list(unconfirmed.answered)[:MAX_SUSPECTS_IN_REPORT],
        )

    def send_limited(self, report: CrashReport) -> None:
        """Send a report to all at once, or later if there were too many."""
        if self._tokens.try_spend(self._clock.now_ms()):
            self.send_to_all(report)
            return
        self._counters.add(CounterKind.QUARANTINES, "not_reported")
        for peer in self._peers.servers():
            self._track(peer, report)

    def send_to_all(self, report: CrashReport) -> None:
        """Send a report to all, repeated until it is confirmed."""
        now_ms = self._clock.now_ms()
        for peer in self._peers.servers():
            self._track(peer, report)
            if peer.is_reachable(now_ms):
                self._send_tracked(peer, report, now_ms)

    def _send_tracked(self, peer: Server, report: CrashReport, now_ms: float) -> None:
        unconfirmed = self._unconfirmed_by(peer)
        unconfirmed.sent_at_ms = now_ms
        unconfirmed.exchange = self._send(peer, report)

    def _track(self, peer: Server, report: CrashReport) -> None:
        """Record that an instance has to confirm a report."""
        unconfirmed = self._unconfirmed_by(peer)
        unconfirmed.failed.update(_names(report.failed))
        unconfirmed.answered.difference_update(_names(report.failed))
        unconfirmed.answered.update(report.answered)
        unconfirmed.failed.difference_update(report.answered)

    def _unconfirmed_by(self, peer: Server) -> _Unconfirmed:
        return self._unconfirmed.setdefault(peer.entry.server_id, _Unconfirmed())

    def _record_confirmed(self, peer: Server, report: CrashReport) -> None:
        """Record that an instance has replied to a report."""
        if not report.failed and not report.answered:
            self._is_asking = False
        name = peer.entry.server_id
        unconfirmed = self._unconfirmed.get(name)
        if unconfirmed is None:
            return
        unconfirmed.failed -= _names(report.failed)
        unconfirmed.answered.difference_update(report.answered)
        if not unconfirmed.failed and not unconfirmed.answered:
            del self._unconfirmed[name]

    def _send(self, peer: Server, report: CrashReport) -> Exchange | None:
        if peer.pool is None:
            return None
        request_id = secrets.token_hex(8)
        address = peer.entry.address.encode()
        now_ms = self._clock.now_ms()
        request = InboundRequest(
            method=b"POST",
            target=REPORT_TARGET,
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
            on_end=partial(self._on_exchange_end, report),
            rank=0,
            created_at_ms=now_ms,
            expected_ms=_TIMEOUT_MS,
        )
        peer.pool.submit(exchange)
        return exchange

    def _on_exchange_end(self, sent: CrashReport, exchange: Exchange) -> None:
        if exchange.server.pool is not None:
            exchange.server.pool.record_ended(exchange)
        if exchange.reply is None:
            return
        exchange.server.record_alive(self._clock.now_ms())
        self._record_confirmed(exchange.server, sent)
        if exchange.reply.status != _OK:
            # An instance of an earlier version does not know reports.
            self._counters.add(CounterKind.QUARANTINES, "not_understood")
            return
        report = decode_report(exchange.reply.body)
        if report is not None:
            self._on_reply(report)


def _names(failed: Iterable[FailedRuns]) -> set[str]:
    return {item.fingerprint for item in failed}


def decode_report(body: bytes) -> CrashReport | None:
    """Return a report; None if it cannot be read."""
    try:
        return decode_msgpack(body, CrashReport)
    except msgspec.DecodeError as error:
        _LOG.warning("A crash report cannot be read: %s.", error)
        return None
