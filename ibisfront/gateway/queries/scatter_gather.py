"""Scatter-gather queries, for callers and for other instances."""

from __future__ import annotations

import math
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

import msgspec
import trio

from ibisfront.gateway.gateway_context import BAD_GATEWAY, GATEWAY_TIMEOUT
from ibisfront.gateway.instances.liveness_probe import liveness_prober
from ibisfront.gateway.load.gather_plan import gather_plan
from ibisfront.gateway.load.kept_places import caller_identity
from ibisfront.gateway.load.scarce_services import any_scarce, services_left_out
from ibisfront.gateway.messages import CallerReply
from ibisfront.gateway.queries.coordinated_query import CoordinatedQuery
from ibisfront.gateway.queries.delegated_query import (
    load_header,
    reached_header,
    signatures_header,
    unreachable_header,
)
from ibisfront.gateway.queries.gather_run import GatherRun
from ibisfront.gateway.queries.records import top_records
from ibisfront.gateway.queries.remote_call import RemoteCall
from ibisfront.gateway.route_state import give_up_at_ms, rank_of

if TYPE_CHECKING:
    from ibisfront.gateway.gateway_context import GatewayContext
    from ibisfront.gateway.load.reachability import Reachability
    from ibisfront.gateway.messages import InboundRequest
    from ibisfront.gateway.queries.coordinated_query import StartRemoteCall
    from ibisfront.gateway.queries.delegated_query import DelegatedQuery
    from ibisfront.gateway.queries.delegation import Delegation
    from ibisfront.gateway.queries.remote_call import RemotePlan
    from ibisfront.gateway.queries.service_call import CallContext
    from ibisfront.gateway.state.configuration import Gathering, Route

__all__ = ["ScatterGather"]

_NO_COORDINATOR = "no_gatherer"
_VERSION_SKEW_MS = 60.0
"""Largest difference between the arrivals of a new version at two instances: the pause
before a state source sends an update, and the latency of the network paths."""

_UNREACHABLE_MS = 1_500.0
"""How long an instance stays not ready after a coordinator could not reach the
servers; during a partition such refusals recur about once a second."""

_REPORTED_UNREACHABLE_MS = 4_000.0
"""The same after the state source reported it: in an outage an instance searches for a
state source every second or two, while others restart. The end of a partition is
reported at once."""

_MAX_LOGGED_SERVICES = 4
"""Maximum number of services without an answer listed in a log line."""


class _PendingQuery(msgspec.Struct, frozen=True):
    """A query to run.

    Attributes
    ----------
    request : InboundRequest
        The request.
    route : Route
        Its route.
    gathering : Gathering
        The services and the minimum coverage.
    context : CallContext
        The context of its sub-requests.
    end_at_ms : float
        When it ends with the parts received, if they suffice.
    """

    request: InboundRequest
    route: Route
    gathering: Gathering
    context: CallContext
    end_at_ms: float

    @property
    def give_up_at_ms(self) -> float:
        """Latest time of its final answer."""
        return give_up_at_ms(self.request, self.route)

    @property
    def effective_end_at_ms(self) -> float:
        """When it ends if the parts received suffice, with time left to answer."""
        return min(self.end_at_ms, self.give_up_at_ms)


class ScatterGather:
    """Runs scatter-gather queries.

    Parameters
    ----------
    gateway_context : GatewayContext
        The context that all requests share.
    delegation : Delegation or None
        Selects parts to delegate to other instances.
    reachability : Reachability
        Decides which routes can be served.
    """

    __slots__ = (
        "_delegation",
        "_gateway_context",
        "_reachability",
        "_start_liveness_probe",
        "_unreachable_until_ms",
    )

    def __init__(
        self,
        gateway_context: GatewayContext,
        delegation: Delegation | None,
        reachability: Reachability,
    ) -> None:
        self._gateway_context = gateway_context
        self._start_liveness_probe = liveness_prober(
            gateway_context.wire, gateway_context.clock
        )
        self._delegation = delegation
        self._reachability = reachability
        self._unreachable_until_ms = -math.inf

    @property
    def servers_unreachable(self) -> bool:
        """Whether the coordinators used by this instance cannot reach the servers.

        It queries no servers itself and would not detect a partition of its zone.
        """
        return self._gateway_context.clock.now_ms() < self._unreachable_until_ms

    def record_unreachable(self) -> None:
        """Record that a coordinator refused because it cannot reach the servers."""
        self._mark_unreachable(_UNREACHABLE_MS)

    def record_reported_unreachable(self) -> None:
        """Record a report that the coordinators cannot reach the servers."""
        self._mark_unreachable(_REPORTED_UNREACHABLE_MS)

    def _mark_unreachable(self, duration_ms: float) -> None:
        now_ms = self._gateway_context.clock.now_ms()
        until_ms = max(self._unreachable_until_ms, now_ms + duration_ms)
        self._unreachable_until_ms = until_ms
        self._gateway_context.rotation.record(is_ready=False, now_ms=now_ms)

    def record_reachable(self) -> None:
        """Record that the coordinators can reach the servers."""
        self._unreachable_until_ms = -math.inf

    async def answer(
        self, request: InboundRequest, route: Route, gathering: Gathering
    ) -> CallerReply:
        """Return the answer to a caller's query."""
        reply = await self._gather(request, route, gathering)
        if reply.reason != _NO_COORDINATOR:
            return reply
        return await self._retry_gather(request)

    async def answer_delegated(self, query: DelegatedQuery) -> CallerReply:
        """Return the parts of a query that another instance delegates."""
        if self._delegation is None:
            return await self._answer_delegated(query)
        load = self._delegation.load
        load.begin()
        try:
            reply = await self._answer_delegated(query)
        finally:
            load.end()
        reply.headers.append(
            load_header(load.report(self._gateway_context.clock.now_ms()))
        )
        return reply

    async def _answer_delegated(self, query: DelegatedQuery) -> CallerReply:
        gateway_context = self._gateway_context
        request = query.request
        table = gateway_context.table
        route = None if table is None else table.find(request.host, request.path)
        if route is None or route.gathering is None:
            return gateway_context.refuse(
                request, gateway_context.not_run_reply("no_gathering_route")
            )
        if route.gathering.digest != query.gathering:
            return gateway_context.refuse(
                request, gateway_context.not_run_reply("other_gathering")
            )
        refusal = gateway_context.authorize_delegated(request, route)
        if refusal is not None:
            return gateway_context.refuse(request, refusal)
        if query.is_whole and not self._reachability.can_serve(route):
            reply = gateway_context.unreachable_reply()
            reply.headers.append(unreachable_header())
            return gateway_context.refuse(request, reply)
        quarantined = gateway_context.quarantine_reply(request)
        if quarantined is not None:
            return gateway_context.refuse(request, quarantined)
        gathering = _delegated_gathering(query, route.gathering)
        end_at_ms = request.arrived_at_ms + query.objective_remaining_ms
        context = gateway_context.call_context(
            request, route, is_repeat=query.is_repeat
        )
        pending = _PendingQuery(request, route, gathering, context, end_at_ms)
        remote_plan = None
        if query.is_whole and self._delegation is not None:
            remote_plan = self._delegation.plan_remote_zone(route, gathering)
        refusal = None
        if query.is_whole:
            # Other parts of a query that is not whole run already, elsewhere.
            refusal = await self._admit(pending, remote_plan, is_delegated=True)
        if refusal is not None:
            return refusal
        run = await self._run_locally(pending, remote_plan)
        reply = self._delegated_reply(run, gathering)
        if self._delegation is not None and run.has_enough_parts:
            self._delegation.load.record_answer(
                gateway_context.clock.now_ms(),
                route=route.name,
                is_whole=query.is_whole,
                began_at_ms=request.arrived_at_ms,
            )
        gateway_context.record(request, route, reply, context, parts=_parts_text(run))
        # The other instance matches the reply to its query by this header.
        reply.headers.append(gateway_context.wire.request_id(request.request_id))
        return reply

    async def _gather(
        self, request: InboundRequest, route: Route, gathering: Gathering
    ) -> CallerReply:
        gateway_context = self._gateway_context
        end_at_ms = gateway_context.states.for_route(route).objective_at_ms(
            request, route
        )
        context = gateway_context.call_context(request, route)
        pending = _PendingQuery(request, route, gathering, context, end_at_ms)
        remote_plan = None
        if self._delegation is not None:
            remote_plan = self._delegation.plan(
                route, gathering, identity=partial(caller_identity, request)
            )
        run: GatherRun | CoordinatedQuery
        if remote_plan is not None and remote_plan.is_whole:
            run = await self._run_coordinated(pending, remote_plan)
        else:
            refusal = await self._admit(pending, remote_plan)
            if refusal is not None:
                return refusal
            run = await self._run_locally(pending, remote_plan)
        if run.remote is not None and run.remote.servers_unreachable:
            self.record_unreachable()
        reply = self._caller_reply(run, gathering)
        gateway_context.record(request, route, reply, context, parts=_parts_text(run))
        return reply

    async def _retry_gather(self, request: InboundRequest) -> CallerReply:
        """Retry a query that no coordinator accepted.

        Coordinators accept only queries with a gathering equal to their own. All
        instances receive a new version at nearly the same time.
        """
        gateway_context = self._gateway_context
        await gateway_context.clock.sleep_ms(_VERSION_SKEW_MS)
        assert gateway_context.table is not None
        route = gateway_context.table.find(request.host, request.path)
        if route is None or route.gathering is None:
            return gateway_context.refuse(
                request, gateway_context.not_run_reply(_NO_COORDINATOR)
            )
        refusal = gateway_context.authorize(request, route)
        if refusal is not None:
            return gateway_context.refuse(request, refusal)
        return await self._gather(request, route, route.gathering)

    async def _admit(
        self,
        pending: _PendingQuery,
        remote_plan: RemotePlan | None,
        *,
        is_delegated: bool = False,
    ) -> CallerReply | None:
        """Wait until the servers that are queried from here have room for a query.

        The instance that runs the delegated parts decides on those.
        """
        if not self._gateway_context.waits_for_room:
            return None
        services = pending.gathering.services
        context = pending.context
        now_ms = context.clock.now_ms()
        if any_scarce(services, context.registry.of_service, now_ms):
            remote_plan = None
        if remote_plan is not None:
            delegated = frozenset(remote_plan.services)
            services = tuple(name for name in services if name not in delegated)
        total = len(pending.gathering.services)
        # Both sides lack some parts under load, each its share of what may be missing.
        spare = total - pending.gathering.needed_parts
        missing = math.ceil(spare * len(services) / max(total, 1))
        return await self._gateway_context.admit(
            pending.request,
            pending.route,
            pending.context,
            services=services,
            needed=len(services) - missing,
            objective_at_ms=lambda: pending.end_at_ms,
            is_delegated=is_delegated,
        )

    async def _run_locally(
        self, pending: _PendingQuery, remote_plan: RemotePlan | None
    ) -> GatherRun:
        """Run a query on this instance.

        Parts are not delegated while services are scarce. Both instances would end at
        the latency objective, each without as many parts as the whole query may lack.
        """
        context = pending.context
        now_ms = context.clock.now_ms()
        if any_scarce(pending.gathering.services, context.registry.of_service, now_ms):
            remote_plan = None
        context.query_time.end_at_ms = pending.effective_end_at_ms
        plan = gather_plan(
            self._gateway_context.clock.now_ms(),
            end_at_ms=pending.effective_end_at_ms,
            give_up_at_ms=pending.give_up_at_ms,
            baseline=context.baseline,
            objective_ms=pending.route.objective_ms,
        )
        run = GatherRun(
            pending.gathering,
            context,
            plan,
            remote_plan=remote_plan,
            start_remote=self._remote_starter(pending),
            start_liveness_probe=self._start_liveness_probe
            if self._uses_coordinators
            else None,
            left_out=self._left_out(pending),
        )
        await self._run_until_cancelled(run, pending)
        # Servers cancel a request when its connection closes. Under load that frees
        # slots for other requests; otherwise it only costs a connection.
        run.end(at_once=context.baseline.is_loaded)
        return run

    def _left_out(self, pending: _PendingQuery) -> list[str]:
        """Return the services that a query leaves out.

        The instance that delegated a part of a query counts on every service of it.
        """
        if pending.gathering.services != pending.route.service_names:
            return []
        context = pending.context
        return services_left_out(
            pending.gathering.services,
            context.registry.of_service,
            query_id=context.request_id,
            needed=pending.gathering.needed_parts,
            rank=context.rank,
            now_ms=context.clock.now_ms(),
            query_time=context.query_time,
            work_ms=context.baseline.unloaded_ms,
        )

    async def _run_coordinated(
        self, pending: _PendingQuery, remote_plan: RemotePlan
    ) -> CoordinatedQuery:
        """Run a query on a coordinator.

        This instance sends no sub-requests: there are too few connections for every
        instance, and the coordinators need them.
        """
        assert self._delegation is not None
        run = CoordinatedQuery(
            pending.gathering,
            pending.context,
            start_liveness_probe=self._start_liveness_probe,
            plan=remote_plan,
            start_remote=self._remote_starter(pending),
            next_plan=partial(
                self._delegation.plan_whole_query,
                pending.route,
                pending.gathering,
                identity=partial(caller_identity, pending.request),
            ),
            give_up_at_ms=pending.give_up_at_ms,
            may_retry=self._delegation.may_retry(pending.route, pending.gathering),
            record_no_room=self._delegation.record_no_room,
        )
        await self._run_until_cancelled(run, pending)
        run.end(at_once=True)
        return run

    async def _run_until_cancelled(
        self, run: GatherRun | CoordinatedQuery, pending: _PendingQuery
    ) -> None:
        """Run a query; cancel its work if the caller disconnects."""
        try:
            await run.run()
        except trio.Cancelled:
            run.end(at_once=True)
            self._gateway_context.record_cancelled(
                pending.request, pending.route, pending.context
            )
            raise
        finally:
            self._gateway_context.record_run(
                pending.request,
                may_have_arrived=run.may_have_arrived,
                has_reply=run.has_reply,
                servers_lost=run.servers_lost,
            )

    def _remote_starter(self, pending: _PendingQuery) -> StartRemoteCall:
        """Return a function that delegates parts of a query to another instance."""
        gateway_context = self._gateway_context

        def start(
            remote_plan: RemotePlan, is_repeat: bool, on_change: Callable[[], None]
        ) -> RemoteCall:
            remote = RemoteCall(
                remote_plan,
                clock=gateway_context.clock,
                on_change=on_change,
                counters=pending.context.counters,
            )
            remote.start(
                pending.request,
                wire=gateway_context.wire,
                gathering=pending.gathering,
                rank=rank_of(pending.request, pending.route),
                end_at_ms=pending.effective_end_at_ms,
                give_up_at_ms=pending.give_up_at_ms,
                objective_ms=pending.route.objective_ms,
                is_repeat=is_repeat or pending.context.is_repeat,
            )
            return remote

        return start

    @property
    def _uses_coordinators(self) -> bool:
        """Whether only some instances run scatter-gather.

        They have little capacity for duplicate work, so delegated parts are
        requested directly only if the other instance is lost.
        """
        return self._delegation is not None and self._delegation.uses_coordinators

    def _caller_reply(
        self, run: GatherRun | CoordinatedQuery, gathering: Gathering
    ) -> CallerReply:
        if not run.has_enough_parts:
            return self._failure_reply(run)
        signatures, bodies = run.answer()
        missing = run.total_parts - len(signatures)
        body = top_records(bodies, gathering.top_count)
        headers = self._gateway_context.wire.gathered_headers(signatures, missing)
        return CallerReply(200, headers, body, "partial" if missing else "whole")

    def _delegated_reply(self, run: GatherRun, gathering: Gathering) -> CallerReply:
        signatures, bodies = run.answer()
        if not signatures:
            reply = self._failure_reply(run)
            if run.may_have_arrived:
                reply.headers.append(reached_header())
            return reply
        records = top_records(bodies, gathering.top_count)
        headers = [signatures_header(signatures)]
        return CallerReply(200, headers, records, "delegated_parts")

    def _refusal(self, run: GatherRun | CoordinatedQuery) -> CallerReply:
        """Return the refusal of a query for which no sub-request was sent."""
        if run.remote is not None and run.remote.servers_unreachable:
            return self._gateway_context.unreachable_reply()
        if isinstance(run, CoordinatedQuery) and run.room_at_ms is not None:
            wait_ms = run.room_at_ms - self._gateway_context.clock.now_ms()
            return self._gateway_context.not_run_reply("no_room", max(wait_ms, 0.0))
        is_untried = isinstance(run, CoordinatedQuery) and not run.may_have_arrived
        reason = _NO_COORDINATOR if is_untried else "no_server"
        return self._gateway_context.not_run_reply(reason)

    def _failure_reply(self, run: GatherRun | CoordinatedQuery) -> CallerReply:
        if not run.may_have_run:
            return self._refusal(run)
        if run.ended_unresponsive:
            return self._failure(BAD_GATEWAY, "all_silent", closes=True)
        if run.is_open:
            return self._failure(GATEWAY_TIMEOUT, "too_few_parts_in_time")
        return self._failure(BAD_GATEWAY, "too_few_parts")

    def _failure(
        self, status: int, reason: str, *, closes: bool = False
    ) -> CallerReply:
        """Return the failure of a query that may have run.

        If this instance is partitioned, the caller's retry can succeed only after
        the load balancer has switched to another zone.
        """
        gateway_context = self._gateway_context
        table = gateway_context.table
        if table is None or not self._reachability.is_partitioned(table):
            return CallerReply(status, [], b"", reason, closes=closes)
        now_ms = gateway_context.clock.now_ms()
        gateway_context.rotation.record(is_ready=False, now_ms=now_ms)
        retry_after = gateway_context.wire.retry_after(
            gateway_context.rotation.wait_ms(now_ms)
        )
        return CallerReply(status, [retry_after], b"", reason, closes=True)


def _delegated_gathering(
    query: DelegatedQuery, route_gathering: Gathering
) -> Gathering:
    """Return the gathering to run for another instance.

    Any number of delegated parts is useful there, since the others come from other
    servers; only those without which the query fails are awaited past the latency
    objective. A whole query that ended at the objective with too few parts would
    fail, although the missing ones were about to arrive and a late answer still has
    value: it runs until there are enough.
    """
    services = query.select(route_gathering.services)
    coverage = route_gathering.minimum_coverage
    if not query.is_whole:
        coverage = query.minimum_parts / max(len(services), 1)
    return msgspec.structs.replace(
        route_gathering, services=services, minimum_coverage=coverage
    )


def _parts_text(run: GatherRun | CoordinatedQuery) -> str:
    missing = run.missing_calls[:_MAX_LOGGED_SERVICES]
    names = ", ".join(f"{call.service} ({call.last_error})" for call in missing)
    text = f"{run.received_parts}/{run.total_parts} {names}"
    if run.remote is None:
        return text
    delegated = len(run.remote.services)
    return f"{text}; {len(run.remote.signatures)}/{delegated} by {run.remote.peer_id}"
