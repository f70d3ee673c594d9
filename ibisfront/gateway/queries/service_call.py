"""The part of a request for one service: primary attempt, hedge and retries."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

from ibisfront.core.counters import CounterKind
from ibisfront.gateway.load.query_time import QueryTime
from ibisfront.gateway.load.server_choice import choose_server
from ibisfront.gateway.messages import ExchangeErrorKind
from ibisfront.gateway.queries.zone_traffic import (
    ZoneTraffic,
    record_received,
    record_sent,
)
from ibisfront.gateway.servers.exchange import Exchange

if TYPE_CHECKING:
    from ibisfront.core.clock import Clock
    from ibisfront.core.counters import Counters
    from ibisfront.gateway.load.baseline_latency import BaselineLatency
    from ibisfront.gateway.load.retry_budget import RetryBudgets
    from ibisfront.gateway.messages import BackendReply
    from ibisfront.gateway.observability import RequestTrace
    from ibisfront.gateway.servers.server import Server
    from ibisfront.gateway.servers.server_registry import ServerRegistry

__all__ = ["CallContext", "ServiceCall"]

_MAX_NOT_RUN_RETRIES = 2
"""Retries beyond the route's attempts after attempts that did not run."""

_RETRY_PAUSE_MS = 50.0
"""Minimum pause before a failed part is retried, in which some of the requests queued
at a server complete."""

_INTERNAL_ERROR = 500
"""The lowest status of a server that fails."""

_CANCEL_SLOWNESS = 2.0
"""Slowness of a server above which abandoned requests are cancelled."""

_RECONNECT_BYTES = 400.0
"""Traffic between zones of closing a connection and opening another, in bytes."""


def _ignore() -> None:
    """Do nothing."""


class CallContext(msgspec.Struct):
    """The context that all calls of one caller's request share.

    Attributes
    ----------
    request_id : bytes
        The caller's id of this attempt.
    payload : callable
        Returns the bytes to send, given the server and the time in milliseconds.
    is_idempotent : bool
        Whether the request may run more than once.
    attempts : int
        Maximum number of servers of a service to which the request is sent.
    rank : int
        Priority; 0 is sent first.
    has_reply_body : bool
        Whether replies may have a body.
    baseline : BaselineLatency
        The baseline latency of the route.
    registry : ServerRegistry
        The servers.
    budgets : RetryBudgets
        The budgets of extra attempts.
    clock : Clock
        The tier's clock.
    trace : RequestTrace
        Records the decisions.
    counters : Counters
        Counts sub-requests and their outcomes.
    is_repeat : bool
        Whether another instance may have sent the request to servers already, so
        that each sub-request is an extra attempt.
    query_time : QueryTime
        When the query has to end to be in time.
    record_late_loss : callable
        Records that a server was lost whose reply was no longer awaited.
    """

    request_id: bytes
    payload: Callable[[Server, float], bytes]
    is_idempotent: bool
    attempts: int
    rank: int
    has_reply_body: bool
    baseline: BaselineLatency
    registry: ServerRegistry
    budgets: RetryBudgets
    clock: Clock
    trace: RequestTrace
    counters: Counters
    is_repeat: bool = False
    query_time: QueryTime = msgspec.field(default_factory=QueryTime)
    record_late_loss: Callable[[], None] = _ignore


class ServiceCall:
    """The sub-requests of one request to one service.

    Parameters
    ----------
    service : str
        The service.
    context : CallContext
        The context of the request.
    on_change : callable
        Called with this call when it is settled or an exchange has failed.

    Attributes
    ----------
    reply : BackendReply or None
        The reply that settled it.
    failure : BackendReply or None
        The last failure from a server that had run the request.
    last_error : str
        Cause of the last failed attempt; empty if none failed.
    retry_after_ms : float or None
        The retry-after time of the last "not run" reply, if it states one.
    attempts_sent : int
        Number of exchanges started.
    is_survived : bool
        Whether a server has run the request to its end: it replied with another
        status than that of a failing server, which may never have run it whole.
    servers_lost : int
        Number of servers that closed the connection while they ran it.
    may_have_arrived : bool
        Whether any server may have received the request, even if it rejected it.
    """

    __slots__ = (
        "_budget_at_ms",
        "_context",
        "_has_run",
        "_is_primary",
        "_not_run_attempts",
        "_on_change",
        "_open",
        "_reasons",
        "_retry_at_ms",
        "_tried",
        "attempts_sent",
        "failure",
        "is_survived",
        "last_error",
        "may_have_arrived",
        "reply",
        "retry_after_ms",
        "servers_lost",
        "service",
    )

    def __init__(
        self,
        service: str,
        context: CallContext,
        on_change: Callable[[ServiceCall], None],
    ) -> None:
        self.service = service
        self._context = context
        self._on_change = on_change
        self._open: list[Exchange] = []
        self._tried: list[Server] = []
        # Why each of them was sent the request.
        self._reasons: dict[Server, ZoneTraffic] = {}
        self._not_run_attempts = 0
        self._retry_at_ms = -math.inf
        self._budget_at_ms = -math.inf
        self.reply: BackendReply | None = None
        self.failure: BackendReply | None = None
        self.last_error = ""
        self._has_run = False
        self.retry_after_ms: float | None = None
        self.attempts_sent = 0
        self._is_primary = False
        self.may_have_arrived = False
        self.is_survived = False
        self.servers_lost = 0

    @property
    def is_settled(self) -> bool:
        """Whether a successful reply has arrived."""
        return self.reply is not None

    @property
    def may_have_run(self) -> bool:
        """Whether the request may have run on some server, or may still run.

        An exchange that was sent and has not ended counts: its bytes may reach the
        server seconds later, when a partition heals. If the caller were told "not
        run", it could repeat a request that still runs.
        """
        return self._has_run or any(
            exchange.sent_at_ms is not None for exchange in self._open
        )

    @property
    def is_open(self) -> bool:
        """Whether a reply may still arrive."""
        return bool(self._open)

    def start(self, now_ms: float) -> bool:
        """Send the primary attempt; return False if no server may be used."""
        if self._context.is_repeat:
            return self.send_extra_attempt()
        self._is_primary = True
        return self._send(now_ms)

    def send_extra_attempt(self) -> bool:
        """Send an extra attempt if the attempts and the budget allow it.

        The servers used by another instance are unknown here. If the service has more
        servers than the route allows attempts, a repeat could exceed the limit.
        """
        context = self._context
        if context.is_repeat and not self.attempts_cover_all_servers:
            return False
        if self.attempts_sent >= context.attempts + min(
            self._not_run_attempts, _MAX_NOT_RUN_RETRIES
        ):
            return False
        now_ms = context.clock.now_ms()
        server = self._choose(now_ms)
        cause = self.last_error or "late"
        if server is None or now_ms < server.not_before_ms:
            context.counters.add(CounterKind.RETRIES_WITHHELD, "no_other_server")
            context.trace.record(now_ms, "no_other_server", self.service, "", cause)
            return False
        if self.is_open and self._is_unsent:
            if server.pool is None or not server.pool.has_room:
                return False
            self._withdraw_open()
        if not self._try_spend(now_ms):
            context.counters.add(CounterKind.RETRIES_WITHHELD, "budget")
            context.trace.record(now_ms, "budget_spent", self.service, "", cause)
            self._budget_at_ms = context.budgets.next_grant_at_ms(self.service, now_ms)
            return False
        context.counters.add(CounterKind.RETRIES, cause)
        context.counters.add(CounterKind.SUB_REQUESTS, "extra")
        context.trace.extras += 1
        server_id = server.entry.server_id
        context.trace.record(now_ms, "sent_again", self.service, server_id, cause)
        is_hedge = not self.last_error
        reason = ZoneTraffic.HEDGE if is_hedge else ZoneTraffic.RETRY
        self._submit(server, now_ms, reason)
        return True

    def _try_spend(self, now_ms: float) -> bool:
        """Spend one extra attempt, unless this is still the first one sent."""
        return self._is_unsent or self._context.budgets.try_spend(self.service, now_ms)

    @property
    def _is_unsent(self) -> bool:
        """Whether the primary attempt was started, but no server has received it."""
        return self._is_primary and not self.may_have_arrived

    def _withdraw_open(self) -> None:
        """Withdraw requests that wait here, so that another server gets the first."""
        for exchange in list(self._open):
            exchange.abandon(at_once=False)
            self.attempts_sent -= 1
            self._tried.remove(exchange.server)

    def next_retry_at_ms(self, now_ms: float) -> float:
        """Return when a retry is possible; infinite if it never is.

        Once the budget is spent, none is before it grants the next one.
        """
        context = self._context
        if context.is_repeat and not self.attempts_cover_all_servers:
            return math.inf
        if self.attempts_sent >= context.attempts + min(
            self._not_run_attempts, _MAX_NOT_RUN_RETRIES
        ):
            return math.inf
        at_ms = now_ms + _RETRY_PAUSE_MS
        server = self._choose_excluding(self._tried, now_ms)
        if server is None and self._not_run_attempts:
            server = self._choose_excluding([], now_ms)
            at_ms = max(at_ms, self._retry_at_ms)
        if server is None:
            return math.inf
        return max(server.not_before_ms, self._budget_at_ms, at_ms)

    @property
    def attempts_cover_all_servers(self) -> bool:
        """Whether one attempt for each server stays within the route's attempts."""
        servers = self._context.registry.of_service(self.service)
        return len(servers) <= self._context.attempts

    def withdraw_unsent(self, now_ms: float) -> None:
        """Withdraw requests queued for a connection if another server is available.

        An unresponsive server may not even refuse connections. A non-idempotent request
        would wait there until its deadline, although none of it had been sent.
        """
        if self._choose_excluding(self._tried, now_ms) is None:
            return
        for exchange in list(self._open):
            if exchange.sent_at_ms is None:
                self.last_error = "no_connection"
                exchange.abandon(at_once=False)

    def is_silent_since(self, since_ms: float) -> bool:
        """Return whether no server used has replied since a time."""
        return all(server.last_reply_at_ms <= since_ms for server in self._tried)

    def end(self, *, at_once: bool) -> None:
        """Stop waiting for replies; see :meth:`Exchange.abandon`.

        Connections to slow servers are closed whatever ``at_once`` says, since these
        lack free slots, as are those on which a large reply from another zone would
        cost more traffic than a new connection.
        """
        now_ms = self._context.clock.now_ms()
        is_large = self._context.baseline.reply_bytes > _RECONNECT_BYTES
        for exchange in list(self._open):
            server = exchange.server
            closes = server.slowness(now_ms) > _CANCEL_SLOWNESS or (
                is_large and not server.is_near
            )
            exchange.abandon(at_once=at_once or closes)

    def _choose(self, now_ms: float) -> Server | None:
        chosen = self._choose_excluding(self._tried, now_ms)
        if chosen is None and self._not_run_attempts and now_ms >= self._retry_at_ms:
            # Every server was tried and some replied "not run", so one is retried.
            return self._choose_excluding([], now_ms)
        return chosen

    def _choose_excluding(self, tried: list[Server], now_ms: float) -> Server | None:
        """Return the best server among those not tried."""
        context = self._context
        servers = context.registry.of_service(self.service)
        baseline_ms = context.baseline.median_ms
        return choose_server(servers, tried, now_ms=now_ms, baseline_ms=baseline_ms)

    def _send(self, now_ms: float) -> bool:
        server = self._choose(now_ms)
        if server is None:
            self.last_error = "no_server"
            self._context.trace.record(now_ms, "no_server", self.service, "")
            return False
        self._submit(server, now_ms, ZoneTraffic.PRIMARY)
        return True

    def _submit(self, server: Server, now_ms: float, reason: ZoneTraffic) -> None:
        context = self._context
        exchange = Exchange(
            server,
            request_id=context.request_id,
            payload=lambda at_ms: self._payload(server, at_ms),
            on_end=self._on_exchange_end,
            rank=context.rank,
            created_at_ms=now_ms,
            expected_ms=context.baseline.late_ms,
            has_reply_body=context.has_reply_body,
            may_fail_fast=context.is_idempotent,
            query_time=context.query_time,
        )
        self._tried.append(server)
        self._reasons[server] = reason
        self._open.append(exchange)
        self.attempts_sent += 1
        assert server.pool is not None
        server.pool.submit(exchange)

    def _payload(self, server: Server, at_ms: float) -> bytes:
        """Return the bytes to send, at the moment of sending.

        The primary sub-request counts towards the budget only once it is sent: if
        several instances try a query in turn, one of them counts it.
        """
        context = self._context
        if self._is_primary and not self.may_have_arrived:
            context.budgets.of_service(self.service).record_primary(at_ms)
            context.counters.add(CounterKind.SUB_REQUESTS, "primary")
        self.may_have_arrived = True
        data = context.payload(server, at_ms)
        record_sent(context.counters, server, self._reasons[server], data)
        return data

    def _on_exchange_end(self, exchange: Exchange) -> None:
        """Process the end of an exchange, abandoned or not."""
        server = exchange.server
        if server.pool is not None:
            server.pool.record_ended(exchange)
        if exchange in self._open:
            self._open.remove(exchange)
        if exchange.reply is not None:
            self._record_reply(exchange, exchange.reply)
        else:
            self._record_error(exchange)
        if self.last_error and not exchange.is_abandoned and not self.is_settled:
            now_ms = self._context.clock.now_ms()
            server_id = server.entry.server_id
            self._context.trace.record(
                now_ms, "failed", self.service, server_id, self.last_error
            )
        if not exchange.is_abandoned:
            self._on_change(self)
        if server.pool is not None:
            server.pool.send_waiting()

    def _record_reply(self, exchange: Exchange, reply: BackendReply) -> None:
        now_ms = self._context.clock.now_ms()
        server = exchange.server
        record_received(
            self._context.counters, server, self._reasons[server], len(reply.body)
        )
        if reply.load is not None:
            server.record_load(now_ms, reply.load)
            self._context.baseline.record_load(reply.load)
        elif reply.has_unreadable_load:
            self._context.counters.add(CounterKind.SERVER_LOADS, "unreadable")
        if reply.not_run:
            self._not_run_attempts += 1
            self._retry_at_ms = now_ms + _RETRY_PAUSE_MS
            self.last_error = f"not_run_{reply.status}"
            self.retry_after_ms = reply.retry_after_ms
            server.record_refused(now_ms, reply.retry_after_ms)
            took_ms = now_ms - exchange.waiting_since_ms
            server.window.record_rejected(now_ms, took_ms=took_ms, sent=_sent(server))
            if reply.is_other_server:
                # Another server has the address now: this one is gone, although the
                # store may still list it for some time.
                server.is_removed = True
            return
        self._has_run = True
        self.is_survived = self.is_survived or reply.status < _INTERNAL_ERROR
        if reply.is_success:
            took_ms = now_ms - exchange.waiting_since_ms
            baseline = self._context.baseline
            server.record_reply(now_ms, took_ms=took_ms, baseline_ms=baseline.median_ms)
            server.window.record_reply(
                now_ms,
                took_ms=took_ms,
                unloaded_ms=baseline.unloaded_ms,
                sent=_sent(server),
            )
            baseline.record_ms(took_ms)
            baseline.record_size(len(reply.body))
            if self.reply is None:
                self.reply = reply
            return
        server.record_failed(now_ms)
        self.failure = reply
        self.last_error = f"failed_{reply.status}"

    def _record_error(self, exchange: Exchange) -> None:
        error = exchange.error
        assert error is not None
        self.servers_lost += error.is_server_lost
        if error.is_server_lost and exchange.is_abandoned:
            self._context.record_late_loss()
        if error.may_have_run:
            self._has_run = True
        elif error.kind is not ExchangeErrorKind.WITHDRAWN:
            self._not_run_attempts += 1
        if error.kind is ExchangeErrorKind.WITHDRAWN:
            return
        self.last_error = error.kind.value
        now_ms = self._context.clock.now_ms()
        if exchange.is_abandoned and not exchange.is_cancelled:
            exchange.server.record_silent(now_ms, exchange)
        elif exchange.is_cancelled:
            exchange.server.record_cancelled(
                now_ms,
                waited_ms=now_ms - exchange.waiting_since_ms,
                baseline_ms=self._context.baseline.median_ms,
            )
        elif error.may_have_run:
            exchange.server.record_lost(now_ms)


def _sent(server: Server) -> int:
    """Return the requests in flight at a server before one that has just ended."""
    return 0 if server.pool is None else server.pool.sent + 1
