"""Calls that delegate parts of a query to another instance."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

from ibisfront.gateway.load.baseline_latency import BaselineLatency
from ibisfront.gateway.queries.delegated_query import (
    DelegatedQuery,
    format_delegated_query,
    parse_load,
    parse_signatures,
    reports_no_room,
    reports_servers_reached,
    reports_servers_unreachable,
    service_bitmask,
)
from ibisfront.gateway.queries.zone_traffic import (
    ZoneTraffic,
    record_received,
    record_sent,
)
from ibisfront.gateway.servers.exchange import Exchange
from ibisfront.gateway.servers.server import Server

if TYPE_CHECKING:
    from ibisfront.core.clock import Clock
    from ibisfront.core.counters import Counters
    from ibisfront.gateway.load.coordinator_load import CoordinatorChoice
    from ibisfront.gateway.messages import BackendReply, InboundRequest
    from ibisfront.gateway.state.configuration import Gathering
    from ibisfront.gateway.wire import WireCodec

__all__ = ["RemoteCall", "RemotePlan"]

_RETURN_MARGIN_MS = 3.5
"""How much earlier a query ends at the other instance than here: a round trip between
zones, at most 1.4 ms each way, and the processing of its answer."""

_RETURN_MARGIN_PER_PART_MS = 0.06
"""The same for each part: the last parts arrive together, and reading, merging
and signing one takes this long on half a core."""

_UNAVAILABLE = 503
_OK = 200


class RemotePlan(msgspec.Struct, frozen=True):
    """The instance to which services of a query are delegated.

    Attributes
    ----------
    peer : Server
        The instance.
    services : tuple of str
        The delegated services.
    baseline : BaselineLatency
        The baseline latency of the route's delegated queries.
    is_whole : bool
        Whether the whole query is delegated; the instance may then delegate the
        parts of other zones in turn.
    choice : CoordinatorChoice, optional
        Told the load that the reply reports.
    """

    peer: Server
    services: tuple[str, ...]
    baseline: BaselineLatency
    is_whole: bool = False
    choice: CoordinatorChoice | None = None


class RemoteCall:
    """One call that delegates parts of a query to another instance; used once.

    Parameters
    ----------
    plan : RemotePlan
        The instance and the services.
    clock : Clock
        The tier's clock.
    on_change : callable
        Called when the call has ended.
    counters : Counters
        Counts what is sent to other zones.

    Attributes
    ----------
    services : tuple of str
        The delegated services.
    signatures : list of bytes
        The signatures of the parts received.
    records : bytes
        The greatest records of these parts.
    is_refused : bool
        Whether the instance has not run the query and will not.
    servers_unreachable : bool
        Whether it refused because it cannot reach the servers.
    reached_servers : bool
        Whether it refused after servers had received parts and rejected them.
    room_at_ms : float or None
        When it will have room, if it refused because it has none.
    """

    __slots__ = (
        "_clock",
        "_counters",
        "_exchange",
        "_on_change",
        "_plan",
        "is_refused",
        "reached_servers",
        "records",
        "room_at_ms",
        "servers_unreachable",
        "services",
        "signatures",
    )

    def __init__(
        self,
        plan: RemotePlan,
        *,
        clock: Clock,
        on_change: Callable[[], None],
        counters: Counters,
    ) -> None:
        self._counters = counters
        self._plan = plan
        self._clock = clock
        self._on_change = on_change
        self._exchange: Exchange | None = None
        self.services = plan.services
        self.signatures: list[bytes] = []
        self.records = b""
        self.is_refused = False
        self.servers_unreachable = False
        self.reached_servers = False
        self.room_at_ms: float | None = None

    @property
    def peer(self) -> Server:
        """The instance called."""
        return self._plan.peer

    @property
    def peer_id(self) -> str:
        """The id of the instance called."""
        return self._plan.peer.entry.server_id

    @property
    def _reason(self) -> ZoneTraffic:
        is_whole = self._plan.is_whole
        return ZoneTraffic.WHOLE_QUERY if is_whole else ZoneTraffic.PARTS

    @property
    def is_open(self) -> bool:
        """Whether an answer may still arrive."""
        return self._exchange is not None and not self._exchange.has_ended

    @property
    def has_answered(self) -> bool:
        """Whether the instance accepted the query and has replied."""
        exchange = self._exchange
        if exchange is None or exchange.reply is None:
            return False
        return not self.is_refused

    @property
    def is_silent(self) -> bool:
        """Whether the instance has sent no reply since the request was sent."""
        exchange = self._exchange
        if exchange is None:
            return False
        since_ms = exchange.sent_at_ms
        return since_ms is None or self._plan.peer.last_reply_at_ms <= since_ms

    @property
    def late_ms(self) -> float:
        """Time after which its answer is late."""
        return self._plan.baseline.late_ms

    @property
    def may_have_run(self) -> bool:
        """Whether any server may have run the request on its behalf."""
        was_sent = self._exchange is not None and self._exchange.sent_at_ms is not None
        return was_sent and not self.is_refused

    @property
    def may_have_arrived(self) -> bool:
        """Whether any server may have received a part, even if it rejected it."""
        return self.may_have_run or self.reached_servers

    def start(
        self,
        request: InboundRequest,
        *,
        wire: WireCodec,
        gathering: Gathering,
        rank: int,
        end_at_ms: float,
        give_up_at_ms: float,
        objective_ms: float,
        is_repeat: bool = False,
    ) -> None:
        """Send the request.

        Parameters
        ----------
        request : InboundRequest
            The caller's request.
        wire : WireCodec
            The codec.
        gathering : Gathering
            This instance's gathering of the route. The other instance answers only
            if its own is equal, so that all parts of an answer are of one version
            and a caller never sees a version decrease. The configuration versions
            may differ: most change other routes only, and they take seconds to
            reach all instances while the store rejects some.
        rank : int
            The request's rank.
        end_at_ms : float
            When the query ends with the parts received.
        give_up_at_ms : float
            When it is abandoned.
        objective_ms : float
            How long to wait for parts if the latency objective has passed already.
        is_repeat : bool
            Whether servers may have received these parts already.
        """
        bitmask = service_bitmask(gathering, self.services)
        return_ms = _RETURN_MARGIN_MS + _RETURN_MARGIN_PER_PART_MS * len(self.services)

        def payload(at_ms: float) -> bytes:
            left_ms = end_at_ms - at_ms if math.isfinite(end_at_ms) else objective_ms
            query = DelegatedQuery(
                request=request,
                gathering=gathering.digest,
                services=bitmask,
                objective_remaining_ms=left_ms - return_ms,
                is_whole=self._plan.is_whole,
                minimum_parts=self._minimum_parts(gathering),
                is_repeat=is_repeat,
            )
            encode_for = wire.encode_request(format_delegated_query(query))
            data = encode_for(self.peer_id, give_up_at_ms - at_ms)
            record_sent(self._counters, self.peer, self._reason, data)
            return data

        self._exchange = Exchange(
            self._plan.peer,
            request_id=request.request_id.encode("latin-1"),
            payload=payload,
            on_end=self._on_exchange_end,
            rank=rank,
            created_at_ms=self._clock.now_ms(),
            expected_ms=self._plan.baseline.late_ms,
        )
        assert self._plan.peer.pool is not None
        self._plan.peer.pool.submit(self._exchange)

    def _minimum_parts(self, gathering: Gathering) -> int:
        """Return how many of the delegated parts the query needs.

        The other instance waits for at least this many. If it ended at the latency
        objective with one part too few, the whole query would fail with most of its
        deadline left.
        """
        other_parts = len(gathering.services) - len(self.services)
        return max(gathering.needed_parts - other_parts, 0)

    def end(self, *, at_once: bool) -> None:
        """Stop waiting for the answer."""
        if self._exchange is not None:
            self._exchange.abandon(at_once=at_once)

    def _on_exchange_end(self, exchange: Exchange) -> None:
        now_ms = self._clock.now_ms()
        peer = self._plan.peer
        if peer.pool is not None:
            peer.pool.record_ended(exchange)
        if exchange.reply is not None:
            size_bytes = len(exchange.reply.body)
            record_received(self._counters, peer, self._reason, size_bytes)
            self._record_load(exchange, exchange.reply, now_ms)
            self._record_latency(exchange, exchange.reply, now_ms)
            self._apply_reply(exchange.reply, now_ms)
        else:
            self.is_refused = exchange.sent_at_ms is None
            if exchange.sent_at_ms is not None and not exchange.is_cancelled:
                peer.record_lost(now_ms)
        if not exchange.is_abandoned:
            self._on_change()

    def _record_latency(
        self, exchange: Exchange, reply: BackendReply, now_ms: float
    ) -> None:
        """Record a reply's latency; that of a refusal says nothing about a query's."""
        peer = self._plan.peer
        if reply.status == _UNAVAILABLE:
            # It may refuse one workspace or one version, and nothing else.
            peer.record_alive(now_ms)
            return
        baseline = self._plan.baseline
        took_ms = now_ms - exchange.waiting_since_ms
        peer.record_reply(now_ms, took_ms=took_ms, baseline_ms=baseline.median_ms)
        baseline.record_ms(took_ms)

    def _record_load(
        self, exchange: Exchange, reply: BackendReply, now_ms: float
    ) -> None:
        """Record the coordinator's load, which refusals report too."""
        choice = self._plan.choice
        if choice is None:
            return
        if reply.status == _OK:
            took_ms = now_ms - exchange.waiting_since_ms
            choice.record_reply(self.peer_id, took_ms / self._plan.baseline.median_ms)
        report = parse_load(reply)
        if report is not None:
            choice.record_report(self.peer_id, report, now_ms)

    def _apply_reply(self, reply: BackendReply, now_ms: float) -> None:
        self.is_refused = reply.status == _UNAVAILABLE
        if self.is_refused and reports_no_room(reply):
            self.room_at_ms = now_ms + (reply.retry_after_ms or 0.0)
        self.servers_unreachable = self.is_refused and reports_servers_unreachable(
            reply
        )
        self.reached_servers = self.is_refused and reports_servers_reached(reply)
        signatures = parse_signatures(reply)
        if reply.status == _OK and signatures:
            self.signatures = signatures
            self.records = reply.body
