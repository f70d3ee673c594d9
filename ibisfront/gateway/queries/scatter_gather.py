"""Scatter-gather queries, for callers and for other instances."""

from __future__ import annotations

import math
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

import trio

from ibisfront.gateway.instances.liveness_probe import liveness_prober
from ibisfront.gateway.load.gather_plan import gather_plan
from ibisfront.gateway.load.kept_places import caller_identity
from ibisfront.gateway.load.scarce_services import any_scarce, services_left_out
from ibisfront.gateway.messages import CallerReply
from ibisfront.gateway.queries.coordinated_query import CoordinatedQuery
from ibisfront.gateway.queries.delegated_query import (
    load_header,
    unreachable_header,
)
from ibisfront.gateway.queries.gather_run import GatherRun
from ibisfront.gateway.queries.pending_query import PendingQuery, delegated_gathering
from ibisfront.gateway.queries.query_replies import (
    NO_COORDINATOR,
    QueryReplies,
    parts_text,
)
from ibisfront.gateway.queries.remote_call import RemoteCall
from ibisfront.gateway.route_state import rank_of

if TYPE_CHECKING:
    from ibisfront.gateway.gateway_context import GatewayContext
    from ibisfront.gateway.load.reachability import Reachability
    from ibisfront.gateway.messages import InboundRequest
    from ibisfront.gateway.queries.coordinated_query import StartRemoteCall
    from ibisfront.gateway.queries.delegated_query import DelegatedQuery
    from ibisfront.gateway.queries.delegation import Delegation
    from ibisfront.gateway.queries.remote_call import RemotePlan
    from ibisfront.gateway.state.configuration import Gathering, Route

__all__ = ["ScatterGather"]

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
        "_replies",
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
        self._replies = QueryReplies(gateway_context, reachability)
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
        if reply.reason != NO_COORDINATOR:
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
        route = self._route_of_delegated(query)
        if isinstance(route, CallerReply):
            return route
        unfinishable = gateway_context.refuse_unfinishable(request, route)
        if unfinishable is not None:
            return unfinishable
        assert route.gathering is not None
        gathering = delegated_gathering(query, route.gathering)
        end_at_ms = request.arrived_at_ms + query.objective_remaining_ms
        context = gateway_context.call_context(
            request, route, is_repeat=query.is_repeat
        )
        pending = PendingQuery(request, route, gathering, context, end_at_ms)
        remote_plan = None
        if query.is_whole and self._delegation is not None:
            remote_plan = self._delegation.plan_remote_zone(route, gathering)
        refusal = None
        if query.is_whole:
            # Other parts of a query that is not whole run already, elsewhere.
            refusal = await self._admit(
                pending, remote_plan, is_delegated=True
            ) or await gateway_context.release(request, route)
        if refusal is not None:
            return refusal
        run = await self._run_locally(pending, remote_plan)
        reply = self._replies.to_instance(run, gathering)
        if self._delegation is not None and run.has_enough_parts:
            self._delegation.load.record_answer(
                gateway_context.clock.now_ms(),
                route=route.name,
                is_whole=query.is_whole,
                began_at_ms=request.arrived_at_ms,
            )
        gateway_context.record(request, route, reply, context, parts=parts_text(run))
        # The other instance matches the reply to its query by this header.
        reply.headers.append(gateway_context.wire.request_id(request.request_id))
        return reply

    def _route_of_delegated(self, query: DelegatedQuery) -> Route | CallerReply:
        """Return the route of a query that another instance delegates, or a refusal."""
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
        return gateway_context.refuse_quarantined(request) or route

    async def _gather(
        self, request: InboundRequest, route: Route, gathering: Gathering
    ) -> CallerReply:
        gateway_context = self._gateway_context
        end_at_ms = gateway_context.states.for_route(route).objective_at_ms(
            request, route
        )
        context = gateway_context.call_context(request, route)
        pending = PendingQuery(request, route, gathering, context, end_at_ms)
        remote_plan = None
        if self._delegation is not None:
            remote_plan = self._delegation.plan(
                route, gathering, identity=partial(caller_identity, request)
            )
        run: GatherRun | CoordinatedQuery
        if remote_plan is not None and remote_plan.is_whole:
            run = await self._run_coordinated(pending, remote_plan)
        else:
            refusal = await self._admit(
                pending, remote_plan
            ) or await gateway_context.release(request, route)
            if refusal is not None:
                return refusal
            run = await self._run_locally(pending, remote_plan)
        if run.remote is not None and run.remote.servers_unreachable:
            self.record_unreachable()
        reply = self._replies.to_caller(run, gathering)
        gateway_context.record(request, route, reply, context, parts=parts_text(run))
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
                request, gateway_context.not_run_reply(NO_COORDINATOR)
            )
        refusal = gateway_context.authorize(request, route)
        if refusal is not None:
            return gateway_context.refuse(request, refusal)
        return await self._gather(request, route, route.gathering)

    async def _admit(
        self,
        pending: PendingQuery,
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
        self, pending: PendingQuery, remote_plan: RemotePlan | None
    ) -> GatherRun:
        """Run a query on this instance.

        Parts are not delegated while services are scarce. Both instances would end at
        the latency objective, each without as many parts as the whole query may lack.
        """
        context = pending.context
        now_ms = context.clock.now_ms()
        is_trial = pending.request.is_trial
        if is_trial or any_scarce(
            pending.gathering.services, context.registry.of_service, now_ms
        ):
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
            is_trial=is_trial,
        )
        await self._run_until_cancelled(run, pending)
        # Servers cancel a request when its connection closes. Under load that frees
        # slots for other requests; otherwise it only costs a connection. If all are
        # silent, it may have crashed them, which only an open connection shows.
        run.end(at_once=context.baseline.is_loaded and not run.ended_unresponsive)
        return run

    def _left_out(self, pending: PendingQuery) -> list[str]:
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
        self, pending: PendingQuery, remote_plan: RemotePlan
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
        self, run: GatherRun | CoordinatedQuery, pending: PendingQuery
    ) -> None:
        """Run a query; cancel its work if the caller disconnects."""
        is_cancelled = False
        try:
            await run.run()
        except trio.Cancelled:
            is_cancelled = True
            run.end(at_once=True)
            self._gateway_context.record_cancelled(
                pending.request, pending.route, pending.context
            )
            raise
        finally:
            self._gateway_context.record_run(
                pending.request,
                may_have_arrived=run.may_have_arrived,
                may_have_run=run.may_have_run,
                is_survived=run.is_survived,
                servers_lost=run.servers_lost,
                is_cancelled=is_cancelled,
            )

    def _remote_starter(self, pending: PendingQuery) -> StartRemoteCall:
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
