"""Answers callers according to the configuration in force."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import trio

from ibisfront.gateway.gateway_context import (
    BAD_GATEWAY,
    GATEWAY_TIMEOUT,
    GatewayContext,
)
from ibisfront.gateway.instances.liveness_probe import answer_liveness_probe
from ibisfront.gateway.load.reachability import Reachability
from ibisfront.gateway.load.weighted_round_robin import WeightedRoundRobin
from ibisfront.gateway.messages import CallerReply
from ibisfront.gateway.queries.delegated_query import parse_delegated_query
from ibisfront.gateway.queries.forwarding import ForwardRun
from ibisfront.gateway.queries.scatter_gather import ScatterGather
from ibisfront.gateway.quotas.quota import QuotaRefusal
from ibisfront.gateway.route_state import give_up_at_ms

if TYPE_CHECKING:
    from ibisfront.gateway.messages import BackendReply, InboundRequest
    from ibisfront.gateway.queries.delegation import Delegation
    from ibisfront.gateway.quotas.quota import AnswerQuota, TakeQuota
    from ibisfront.gateway.state.configuration import Route, RouteTable

__all__ = ["Gateway"]

_STARTUP_MS = 1_000.0
"""Time after its start in which an instance expects its initial state; after that, the
store counts as unavailable."""

_STARTUP_WAIT_SHARE = 0.25
"""Share of its deadline that a caller waits for the initial state; there is still
time to try another instance."""

_TOO_MANY_REQUESTS = 429
_NOT_RUN_STATUSES = (408, 421, 429, 503)


class Gateway:
    """Answers callers' requests.

    Parameters
    ----------
    gateway_context : GatewayContext
        The context that all requests share.
    delegation : Delegation, optional
        Delegates to other instances the sub-requests to servers in their zones.
    take_quota : TakeQuota, optional
        Counts requests against the limits of workspaces; without it none is limited.
    answer_quota : AnswerQuota, optional
        Answers the messages of other instances about these limits.
    """

    __slots__ = (
        "_answer_quota",
        "_delegation",
        "_gateway_context",
        "_initial_state_loaded",
        "_reachability",
        "_round_robin",
        "_scatter_gather",
        "_started_ms",
        "_take_quota",
    )

    def __init__(
        self,
        gateway_context: GatewayContext,
        *,
        delegation: Delegation | None = None,
        take_quota: TakeQuota | None = None,
        answer_quota: AnswerQuota | None = None,
    ) -> None:
        self._gateway_context = gateway_context
        self._answer_quota = answer_quota
        self._take_quota = take_quota
        self._delegation = delegation
        self._reachability = Reachability(
            registry=gateway_context.registry, clock=gateway_context.clock
        )
        self._scatter_gather = ScatterGather(
            self._gateway_context, delegation, self._reachability
        )
        self._round_robin = WeightedRoundRobin()
        self._initial_state_loaded = trio.Event()
        self._started_ms = gateway_context.clock.now_ms()

    @property
    def table(self) -> RouteTable | None:
        """The configuration in force; None until the first is loaded."""
        return self._gateway_context.table

    @table.setter
    def table(self, table: RouteTable) -> None:
        self._gateway_context.apply_table(table)
        self._reachability.retain(table.route_names)
        self._round_robin.retain(table.route_names)
        if self._delegation is not None:
            self._delegation.retain(table.route_names)
        self.resume_waiting_requests()

    @property
    def has_initial_state(self) -> bool:
        """Whether the configuration, the servers and the evacuated zones are loaded.

        Without them, a restarted instance would send to servers that must get no
        requests.
        """
        return self.table is not None and self._gateway_context.registry.is_initialized

    def resume_waiting_requests(self) -> None:
        """Resume the waiting requests, if the initial state is complete."""
        if self.has_initial_state:
            self._initial_state_loaded.set()

    @property
    def is_ready(self) -> bool:
        """Whether the balancer should send callers here."""
        if not self.has_initial_state or self._scatter_gather.servers_unreachable:
            return False
        return not self.is_partitioned

    def report_readiness(self) -> bool:
        """Return whether the balancer should send callers here, and record it."""
        is_ready = self.is_ready
        now_ms = self._gateway_context.clock.now_ms()
        self._gateway_context.rotation.record(is_ready=is_ready, now_ms=now_ms)
        return is_ready

    @property
    def is_partitioned(self) -> bool:
        """Whether this instance has found the paths to the servers partitioned."""
        return self.table is not None and self._reachability.is_partitioned(self.table)

    @property
    def is_reported_partitioned(self) -> bool:
        """Whether others have reported the paths to the servers as partitioned."""
        return self._scatter_gather.servers_unreachable

    def record_reported_partition(self, is_partitioned: bool) -> None:
        """Record whether a coordinator of this instance is partitioned."""
        if is_partitioned:
            self._scatter_gather.record_reported_unreachable()
        else:
            self._scatter_gather.record_reachable()

    def end_at(self, at_ms: float) -> None:
        """Refuse what can't be answered by a time, at which this instance ends."""
        self._gateway_context.stop_bound.at_ms = at_ms

    def waiting_by_rank(self) -> dict[int, int]:
        """Return the number of requests that wait for room, by rank."""
        return self._gateway_context.admission.waiting_by_rank()

    async def answer(self, request: InboundRequest) -> CallerReply:
        """Return the answer to one request of a caller."""
        gateway_context = self._gateway_context
        if not await self._wait_for_initial_state(request) or self.table is None:
            return gateway_context.refuse(
                request, gateway_context.not_run_reply("no_configuration")
            )
        route = self.table.find(request.host, request.path)
        if route is None:
            return gateway_context.refuse(
                request, CallerReply(404, [], b"", "no_route")
            )
        refusal = gateway_context.authorize(request, route)
        if refusal is not None:
            return gateway_context.refuse(request, refusal)
        if not self._reachability.can_serve(route):
            self.report_readiness()
            return gateway_context.refuse(request, gateway_context.unreachable_reply())
        unfinishable = gateway_context.refuse_unfinishable(request, route)
        if unfinishable is not None:
            return unfinishable
        quarantined = gateway_context.refuse_quarantined(request)
        if quarantined is not None:
            return quarantined
        workspace = self.table.workspaces.named(request.workspace)
        if self._take_quota is None or workspace is None or not workspace.is_limited:
            return await self._run(request, route)
        ticket = await self._take_quota(workspace, give_up_at_ms(request, route))
        if isinstance(ticket, QuotaRefusal):
            return gateway_context.refuse(request, self._over_limit_reply(ticket))
        try:
            return await self._run_counted(request)
        finally:
            if not request.reached_servers:
                ticket.give_back()

    async def _run(self, request: InboundRequest, route: Route) -> CallerReply:
        """Run an authorized request."""
        if route.gathering is not None:
            return await self._scatter_gather.answer(request, route, route.gathering)
        return await self._forward(request, route)

    async def _run_counted(self, request: InboundRequest) -> CallerReply:
        """Run a request that may have waited to be counted against a limit.

        The configuration may have changed meanwhile, and with it the route and the
        workspace of the key.
        """
        gateway_context = self._gateway_context
        assert self.table is not None
        route = self.table.find(request.host, request.path)
        if route is None:
            return gateway_context.refuse(
                request, CallerReply(404, [], b"", "no_route")
            )
        refusal = gateway_context.authorize(request, route)
        if refusal is not None:
            return gateway_context.refuse(request, refusal)
        return await self._run(request, route)

    def _over_limit_reply(self, refusal: QuotaRefusal) -> CallerReply:
        retry_after = self._gateway_context.wire.retry_after(refusal.retry_after_ms)
        return CallerReply(_TOO_MANY_REQUESTS, [retry_after], b"", refusal.reason)

    async def answer_instance(self, request: InboundRequest) -> CallerReply:
        """Return the answer to another instance: query parts or a liveness reply."""
        liveness_reply = answer_liveness_probe(request, self._gateway_context.wire)
        if liveness_reply is not None:
            return liveness_reply
        report_reply = self._gateway_context.answer_crash_report(request)
        if report_reply is not None:
            return report_reply
        if self._answer_quota is not None:
            quota_reply = self._answer_quota(request)
            if quota_reply is not None:
                return quota_reply
        query = parse_delegated_query(request)
        if query is None:
            return CallerReply(400, [], b"", "not_delegated")
        if not await self._wait_for_initial_state(query.request):
            reply = self._gateway_context.not_run_reply("no_configuration")
            return self._gateway_context.refuse(request, reply)
        return await self._scatter_gather.answer_delegated(query)

    async def _wait_for_initial_state(self, request: InboundRequest) -> bool:
        """Wait briefly for the initial state; return whether it is complete.

        Load pattern: all instances restart. Callers arrive before the configuration,
        which is loaded some ten milliseconds after the start; if refused, they would
        retry at another instance that has just started.
        """
        if self.has_initial_state:
            return True
        clock = self._gateway_context.clock
        deadline_ms = request.deadline_ms
        wait_ms = self._started_ms + _STARTUP_MS - clock.now_ms()
        if deadline_ms is not None:
            wait_ms = min(wait_ms, _STARTUP_WAIT_SHARE * deadline_ms)
        with clock.timeout_ms(wait_ms):
            await self._initial_state_loaded.wait()
        return self.has_initial_state

    async def _forward(self, request: InboundRequest, route: Route) -> CallerReply:
        gateway_context = self._gateway_context
        service = self._round_robin.next_service(route)
        context = gateway_context.call_context(request, route)
        refusal = await gateway_context.admit(
            request,
            route,
            context,
            services=(service,),
            needed=1,
            objective_at_ms=partial(
                gateway_context.states.for_route(route).objective_at_ms, request, route
            ),
        )
        if refusal is None:
            refusal = await gateway_context.release(request, route)
        if refusal is not None:
            return refusal
        if request.is_trial:
            # Like a request that may run once: only one server may get it.
            context.is_idempotent = False
        run = ForwardRun(
            service,
            context,
            hedge_at_ms=gateway_context.clock.now_ms() + context.baseline.late_ms,
            give_up_at_ms=give_up_at_ms(request, route),
        )
        is_cancelled = False
        try:
            await run.run()
        except trio.Cancelled:
            is_cancelled = True
            run.end(at_once=True)
            gateway_context.record_cancelled(request, route, context)
            raise
        finally:
            gateway_context.record_run(
                request,
                may_have_arrived=run.call.may_have_arrived,
                may_have_run=run.call.may_have_run,
                is_survived=run.call.is_survived,
                servers_lost=run.call.servers_lost,
                is_cancelled=is_cancelled,
            )
        run.end(at_once=not route.is_idempotent)
        reply = self._forwarding_reply(run)
        gateway_context.record(
            request, route, reply, context, parts=run.call.last_error
        )
        return reply

    def _forwarding_reply(self, run: ForwardRun) -> CallerReply:
        call = run.call
        if call.reply is not None:
            return _pass_through(call.reply, "answered")
        if not call.may_have_run:
            reason = call.last_error or "not_sent"
            return self._gateway_context.not_run_reply(reason, call.retry_after_ms)
        if call.failure is not None and _may_pass_through(call.failure):
            return _pass_through(call.failure, "server_failed")
        if call.last_error:
            return CallerReply(BAD_GATEWAY, [], b"", call.last_error)
        return CallerReply(GATEWAY_TIMEOUT, [], b"", "timed_out")


def _pass_through(reply: BackendReply, reason: str) -> CallerReply:
    passed = CallerReply(reply.status, reply.headers, reply.body, reason)
    # Its exchange is part of reference cycles, which would keep a large body until
    # they are collected.
    reply.body = b""
    return passed


def _may_pass_through(reply: BackendReply) -> bool:
    """Return whether a server's failure may be passed to the caller unchanged.

    Some statuses would promise that the request did not run, although the server ran
    it; a body with a content encoding is not from the server itself.
    """
    return reply.status not in _NOT_RUN_STATUSES and not reply.is_encoded
