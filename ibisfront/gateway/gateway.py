"""Answering callers by the configuration in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from ibisfront.gateway.instances.liveness_probe import answer_liveness_probe
from ibisfront.gateway.load.reachability import Reachability
from ibisfront.gateway.load.weighted_round_robin import WeightedRoundRobin
from ibisfront.gateway.messages import CallerReply
from ibisfront.gateway.queries.delegated_query import parse_delegated_query
from ibisfront.gateway.queries.forwarding import ForwardRun
from ibisfront.gateway.queries.scatter_gather import ScatterGather
from ibisfront.gateway.request_services import (
    BAD_GATEWAY,
    GATEWAY_TIMEOUT,
    RequestServices,
)
from ibisfront.gateway.route_state import give_up_at_ms

if TYPE_CHECKING:
    from ibisfront.gateway.messages import BackendReply, InboundRequest
    from ibisfront.gateway.queries.delegation import Delegation
    from ibisfront.gateway.state.configuration import Route, RouteTable

__all__ = ["Gateway"]

_START_MS = 1_000.0
"""How long after its start an instance expects to learn what it needs; later, the
store is away."""

_START_WAIT_SHARE = 0.25
"""Share of its time for which a caller waits for that: it can still go elsewhere."""

_PROMISES_NOT_RUN = (408, 421, 429, 503)


class Gateway:
    """Answers callers' requests.

    Parameters
    ----------
    request_services : RequestServices
        What answering takes.
    delegation : Delegation, optional
        Asks other instances for the parts that stand near them.
    """

    __slots__ = (
        "_delegation",
        "_informed",
        "_queries",
        "_reachability",
        "_request_services",
        "_started_ms",
        "_turns",
    )

    def __init__(
        self, request_services: RequestServices, *, delegation: Delegation | None = None
    ) -> None:
        self._request_services = request_services
        self._delegation = delegation
        self._reachability = Reachability(
            registry=request_services.registry, clock=request_services.clock
        )
        self._queries = ScatterGather(
            self._request_services, delegation, self._reachability
        )
        self._turns = WeightedRoundRobin()
        self._informed = trio.Event()
        self._started_ms = request_services.clock.now_ms()

    @property
    def table(self) -> RouteTable | None:
        """The configuration in force; None until the first is known."""
        return self._request_services.table

    @table.setter
    def table(self, table: RouteTable) -> None:
        self._request_services.use(table)
        self._reachability.keep(table.route_names)
        self._turns.keep(table.route_names)
        if self._delegation is not None:
            self._delegation.retain(table.route_names)
        self.record_learnt()

    @property
    def is_informed(self) -> bool:
        """Whether the configuration, the servers and the evacuated zones are known.

        One that has just started would else ask servers that must get nothing.
        """
        return self.table is not None and self._request_services.registry.is_known

    def record_learnt(self) -> None:
        """Go on with the requests that wait, if all that they need is known."""
        if self.is_informed:
            self._informed.set()

    @property
    def is_ready(self) -> bool:
        """Whether the balancer should send callers here."""
        if not self.is_informed or self._queries.is_unreachable:
            return False
        return not self.is_cut_off

    def tell_readiness(self) -> bool:
        """Return whether the balancer should send callers here, and note it."""
        is_ready = self.is_ready
        now_ms = self._request_services.clock.now_ms()
        self._request_services.rotation.record(is_ready=is_ready, now_ms=now_ms)
        return is_ready

    @property
    def is_cut_off(self) -> bool:
        """Whether this instance itself has found the paths to the servers cut."""
        return self.table is not None and self._reachability.is_isolated(self.table)

    @property
    def is_reported_cut_off(self) -> bool:
        """Whether others have found the paths to the servers cut."""
        return self._queries.is_unreachable

    def record_cut_off(self, is_cut_off: bool) -> None:
        """Take in whether an instance that gathers for this one is cut off."""
        if is_cut_off:
            self._queries.record_reported_unreachable()
        else:
            self._queries.record_reachable()

    async def answer(self, request: InboundRequest) -> CallerReply:
        """Return the answer to one request of a caller."""
        request_services = self._request_services
        if not await self._is_informed_soon(request) or self.table is None:
            return request_services.refuse(
                request, request_services.not_run("no_configuration")
            )
        route = self.table.find(request.host, request.path)
        if route is None:
            return request_services.refuse(
                request, CallerReply(404, [], b"", "no_route")
            )
        if not self._reachability.can_serve(route):
            self.tell_readiness()
            return request_services.refuse(request, request_services.unreachable())
        if route.gathering is not None:
            return await self._queries.answer(request, route, route.gathering)
        return await self._forward(request, route)

    async def answer_instance(self, request: InboundRequest) -> CallerReply:
        """Return the answer to another instance: a query's parts, or a sign of life."""
        alive = answer_liveness_probe(request, self._request_services.wire)
        if alive is not None:
            return alive
        query = parse_delegated_query(request)
        if query is None:
            return CallerReply(400, [], b"", "not_delegated")
        if not await self._is_informed_soon(query.request):
            reply = self._request_services.not_run("no_configuration")
            return self._request_services.refuse(request, reply)
        return await self._queries.answer_delegated(query)

    async def _is_informed_soon(self, request: InboundRequest) -> bool:
        """Return whether what a request needs is known, now or in a moment.

        Load pattern: all instances restart. Callers are there before the
        configuration, which follows some ten milliseconds after the start; refused,
        they would come again to another instance that has just started.
        """
        if self.is_informed:
            return True
        clock = self._request_services.clock
        deadline_ms = request.deadline_ms
        wait_ms = self._started_ms + _START_MS - clock.now_ms()
        if deadline_ms is not None:
            wait_ms = min(wait_ms, _START_WAIT_SHARE * deadline_ms)
        with clock.timeout_ms(wait_ms):
            await self._informed.wait()
        return self.is_informed

    async def _forward(self, request: InboundRequest, route: Route) -> CallerReply:
        request_services = self._request_services
        service = self._turns.next_service(route)
        context = request_services.context(request, route)
        run = ForwardRun(
            service,
            context,
            hedge_at_ms=request_services.clock.now_ms() + context.baseline.late_ms,
            give_up_at_ms=give_up_at_ms(request, route),
        )
        try:
            await run.run()
        except trio.Cancelled:
            run.end(at_once=True)
            request_services.record_left(request, route, context)
            raise
        run.end(at_once=not route.is_idempotent)
        reply = self._forwarded(run)
        request_services.record(
            request, route, reply, context, parts=run.call.last_error
        )
        return reply

    def _forwarded(self, run: ForwardRun) -> CallerReply:
        call = run.call
        if call.reply is not None:
            return _passed_back(call.reply, "answered")
        if not call.may_have_run:
            reason = call.last_error or "not_sent"
            return self._request_services.not_run(reason, call.retry_after_ms)
        if call.failure is not None and _may_pass_back(call.failure):
            return _passed_back(call.failure, "server_failed")
        if call.last_error:
            return CallerReply(BAD_GATEWAY, [], b"", call.last_error)
        return CallerReply(GATEWAY_TIMEOUT, [], b"", "timed_out")


def _passed_back(reply: BackendReply, reason: str) -> CallerReply:
    return CallerReply(reply.status, reply.headers, reply.body, reason)


def _may_pass_back(reply: BackendReply) -> bool:
    """Return whether a server's failure may be passed back as it is.

    Some statuses promise that the request did not run, which a server that
    ran it did not mean; a body in an encoding is not the server's own.
    """
    return reply.status not in _PROMISES_NOT_RUN and not reply.is_encoded
