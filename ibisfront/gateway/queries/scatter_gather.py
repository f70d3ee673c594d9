"""Answering gathered queries, for callers and for other instances."""

from __future__ import annotations

import math
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

import msgspec
import trio

from ibisfront.gateway.instances.liveness_probe import liveness_prober
from ibisfront.gateway.load.gather_plan import gather_plan
from ibisfront.gateway.messages import CallerReply
from ibisfront.gateway.queries.coordinated_query import CoordinatedQuery
from ibisfront.gateway.queries.delegated_query import (
    signatures_header,
    unreachable_header,
)
from ibisfront.gateway.queries.gather_run import GatherRun
from ibisfront.gateway.queries.records import greatest_records
from ibisfront.gateway.queries.remote_call import RemoteCall
from ibisfront.gateway.request_services import BAD_GATEWAY, GATEWAY_TIMEOUT
from ibisfront.gateway.route_state import give_up_at_ms

if TYPE_CHECKING:
    from ibisfront.gateway.load.reachability import Reachability
    from ibisfront.gateway.messages import InboundRequest
    from ibisfront.gateway.queries.coordinated_query import StartRemoteCall
    from ibisfront.gateway.queries.delegated_query import DelegatedQuery
    from ibisfront.gateway.queries.delegation import Delegation
    from ibisfront.gateway.queries.remote_call import RemotePlan
    from ibisfront.gateway.queries.service_call import CallContext
    from ibisfront.gateway.request_services import RequestServices
    from ibisfront.gateway.state.configuration import Gathering, Route

__all__ = ["ScatterGather"]

_NO_COORDINATOR = "no_gatherer"
_VERSION_PAUSE_MS = 60.0
"""How far apart instances may be with a new version: the pause before a source
passes a change on, and the paths."""

_UNREACHABLE_MS = 1_500.0
"""How long an instance stays not ready after one that gathers for it found the
paths to the servers cut: it hears of it again about once a second as long as
that is so."""

_REPORTED_UNREACHABLE_MS = 4_000.0
"""The same after it was told so with the state: in an outage it looks for a source
every second or two, while others restart. The end of a cut is told at once."""

_SHOWN_SERVICES = 4
"""Services without an answer that a log line names."""


class _Asked(msgspec.Struct, frozen=True):
    """A query that is to be gathered.

    Attributes
    ----------
    request : InboundRequest
        The request.
    route : Route
        Its route.
    gathering : Gathering
        Which services, and how many are enough.
    context : CallContext
        What its sub-requests share.
    end_at_ms : float
        When it ends with the parts that are in, if they suffice.
    """

    request: InboundRequest
    route: Route
    gathering: Gathering
    context: CallContext
    end_at_ms: float

    @property
    def give_up_at_ms(self) -> float:
        """When it gets its final answer at the latest."""
        return give_up_at_ms(self.request, self.route)

    @property
    def end_or_give_up_at_ms(self) -> float:
        """When it ends if the parts that are in suffice, with time to answer."""
        return min(self.end_at_ms, self.give_up_at_ms)


class ScatterGather:
    """Gathers the parts of queries.

    Parameters
    ----------
    request_services : RequestServices
        What answering takes.
    delegation : Delegation or None
        Asks other instances for the parts that stand near them.
    reachability : Reachability
        Which routes can be served.
    """

    __slots__ = (
        "_delegation",
        "_reachability",
        "_request_services",
        "_start_liveness_probe",
        "_unreachable_until_ms",
    )

    def __init__(
        self,
        request_services: RequestServices,
        delegation: Delegation | None,
        reachability: Reachability,
    ) -> None:
        self._request_services = request_services
        self._start_liveness_probe = liveness_prober(
            request_services.wire, request_services.clock
        )
        self._delegation = delegation
        self._reachability = reachability
        self._unreachable_until_ms = -math.inf

    @property
    def is_unreachable(self) -> bool:
        """Whether those that gather for this instance have found a cut path.

        It asks no servers itself, and would not see that its zone is cut off.
        """
        return self._request_services.clock.now_ms() < self._unreachable_until_ms

    def record_unreachable(self) -> None:
        """Take in that one that gathers has refused, as it reaches no servers."""
        self._stay_unreachable(_UNREACHABLE_MS)

    def record_reported_unreachable(self) -> None:
        """Take in that those that gather say that they reach no servers."""
        self._stay_unreachable(_REPORTED_UNREACHABLE_MS)

    def _stay_unreachable(self, duration_ms: float) -> None:
        now_ms = self._request_services.clock.now_ms()
        until_ms = max(self._unreachable_until_ms, now_ms + duration_ms)
        self._unreachable_until_ms = until_ms
        self._request_services.rotation.record(is_ready=False, now_ms=now_ms)

    def record_reachable(self) -> None:
        """Take in that those that gather can reach the servers."""
        self._unreachable_until_ms = -math.inf

    async def answer(
        self, request: InboundRequest, route: Route, gathering: Gathering
    ) -> CallerReply:
        """Return the answer to a caller's query."""
        reply = await self._gather(request, route, gathering)
        if reply.reason != _NO_COORDINATOR:
            return reply
        return await self._gather_again(request)

    async def answer_delegated(self, query: DelegatedQuery) -> CallerReply:
        """Return the parts of a query that another instance asks for."""
        request_services = self._request_services
        request = query.request
        table = request_services.table
        route = None if table is None else table.find(request.host, request.path)
        if route is None or route.gathering is None:
            return request_services.refuse(
                request, request_services.not_run("no_gathering_route")
            )
        if route.gathering.digest != query.gathering:
            return request_services.refuse(
                request, request_services.not_run("other_gathering")
            )
        if query.is_whole and not self._reachability.can_serve(route):
            reply = request_services.unreachable()
            reply.headers.append(unreachable_header())
            return request_services.refuse(request, reply)
        gathering = _delegated_gathering(query, route.gathering)
        end_at_ms = request.arrived_at_ms + query.objective_left_ms
        context = request_services.context(request, route, is_repeat=query.is_repeat)
        asked = _Asked(request, route, gathering, context, end_at_ms)
        remote_plan = None
        if query.is_whole and self._delegation is not None:
            remote_plan = self._delegation.plan_far(route, gathering)
        run = await self._run(asked, remote_plan)
        reply = self._delegated(run, gathering)
        request_services.record(request, route, reply, context, parts=_parts_text(run))
        # The other instance tells by it that the reply is to this query.
        reply.headers.append(request_services.wire.request_id(request.request_id))
        return reply

    async def _gather(
        self, request: InboundRequest, route: Route, gathering: Gathering
    ) -> CallerReply:
        request_services = self._request_services
        end_at_ms = request_services.states.for_route(route).objective_at_ms(
            request, route
        )
        context = request_services.context(request, route)
        asked = _Asked(request, route, gathering, context, end_at_ms)
        remote_plan = None
        if self._delegation is not None:
            remote_plan = self._delegation.plan(route, gathering)
        run: GatherRun | CoordinatedQuery
        if remote_plan is not None and remote_plan.is_whole:
            run = await self._follow(asked, remote_plan)
        else:
            run = await self._run(asked, remote_plan)
        if run.remote is not None and run.remote.is_unreachable:
            self.record_unreachable()
        reply = self._gathered(run, gathering)
        request_services.record(request, route, reply, context, parts=_parts_text(run))
        return reply

    async def _gather_again(self, request: InboundRequest) -> CallerReply:
        """Gather a query that no coordinator would take.

        They take queries only if their version gathers it in the same way. A
        new version reaches all instances within a moment of each other.
        """
        request_services = self._request_services
        await request_services.clock.sleep_ms(_VERSION_PAUSE_MS)
        assert request_services.table is not None
        route = request_services.table.find(request.host, request.path)
        if route is None or route.gathering is None:
            return request_services.refuse(
                request, request_services.not_run(_NO_COORDINATOR)
            )
        return await self._gather(request, route, route.gathering)

    async def _run(self, asked: _Asked, remote_plan: RemotePlan | None) -> GatherRun:
        """Gather a query from here."""
        context = asked.context
        plan = gather_plan(
            self._request_services.clock.now_ms(),
            end_at_ms=asked.end_or_give_up_at_ms,
            give_up_at_ms=asked.give_up_at_ms,
            baseline=context.baseline,
            objective_ms=asked.route.objective_ms,
        )
        run = GatherRun(
            asked.gathering,
            context,
            plan,
            remote_plan=remote_plan,
            start_remote=self._remote_starter(asked),
            start_liveness_probe=self._start_liveness_probe
            if self._uses_coordinators
            else None,
        )
        await self._run_until_left(run, asked)
        # Servers drop a request when its connection closes. Under load that
        # frees slots for requests that are waited for; in calm it only costs a
        # connection.
        run.end(at_once=context.baseline.is_loaded)
        return run

    async def _follow(self, asked: _Asked, remote_plan: RemotePlan) -> CoordinatedQuery:
        """Have a query gathered by another instance.

        Nothing is asked from here: with too few connections for every instance it
        would take them from those that gather.
        """
        assert self._delegation is not None
        run = CoordinatedQuery(
            asked.gathering,
            asked.context,
            start_liveness_probe=self._start_liveness_probe,
            plan=remote_plan,
            ask=self._remote_starter(asked),
            next_plan=partial(
                self._delegation.plan_whole, asked.route, asked.gathering
            ),
            give_up_at_ms=asked.give_up_at_ms,
            may_ask_twice=self._delegation.may_ask_twice(asked.route, asked.gathering),
        )
        await self._run_until_left(run, asked)
        run.end(at_once=True)
        return run

    async def _run_until_left(
        self, run: GatherRun | CoordinatedQuery, asked: _Asked
    ) -> None:
        """Run a query; stop its work if its asker leaves."""
        try:
            await run.run()
        except trio.Cancelled:
            run.end(at_once=True)
            self._request_services.record_cancelled(
                asked.request, asked.route, asked.context
            )
            raise

    def _remote_starter(self, asked: _Asked) -> StartRemoteCall:
        """Return what asks another instance for parts of a query."""
        request_services = self._request_services

        def start(
            remote_plan: RemotePlan, is_repeat: bool, on_change: Callable[[], None]
        ) -> RemoteCall:
            remote = RemoteCall(
                remote_plan, clock=request_services.clock, on_change=on_change
            )
            remote.start(
                asked.request,
                wire=request_services.wire,
                gathering=asked.gathering,
                rank=asked.route.rank,
                end_at_ms=asked.end_or_give_up_at_ms,
                give_up_at_ms=asked.give_up_at_ms,
                objective_ms=asked.route.objective_ms,
                is_repeat=is_repeat or asked.context.is_repeat,
            )
            return remote

        return start

    @property
    def _uses_coordinators(self) -> bool:
        """Whether only some instances gather.

        They have little room for work that is done twice: parts that another one
        was asked for are asked from here only if it is lost.
        """
        return self._delegation is not None and self._delegation.uses_coordinators

    def _gathered(
        self, run: GatherRun | CoordinatedQuery, gathering: Gathering
    ) -> CallerReply:
        if not run.is_enough:
            return self._no_answer(run)
        signatures, bodies = run.answer()
        missing = run.total - len(signatures)
        body = greatest_records(bodies, gathering.top_count)
        headers = self._request_services.wire.gathered_headers(signatures, missing)
        return CallerReply(200, headers, body, "partial" if missing else "whole")

    def _delegated(self, run: GatherRun, gathering: Gathering) -> CallerReply:
        signatures, bodies = run.answer()
        if not signatures:
            return self._no_answer(run)
        records = greatest_records(bodies, gathering.top_count)
        headers = [signatures_header(signatures)]
        return CallerReply(200, headers, records, "delegated_parts")

    def _not_run(self, run: GatherRun | CoordinatedQuery) -> CallerReply:
        """Return the refusal of a query that no server was asked for."""
        if run.remote is not None and run.remote.is_unreachable:
            return self._request_services.unreachable()
        reason = _NO_COORDINATOR if isinstance(run, CoordinatedQuery) else "no_server"
        return self._request_services.not_run(reason)

    def _no_answer(self, run: GatherRun | CoordinatedQuery) -> CallerReply:
        if not run.was_sent:
            return self._not_run(run)
        if run.found_silence:
            return self._failed(BAD_GATEWAY, "all_silent", closes=True)
        if run.is_open:
            return self._failed(GATEWAY_TIMEOUT, "too_few_parts_in_time")
        return self._failed(BAD_GATEWAY, "too_few_parts")

    def _failed(self, status: int, reason: str, *, closes: bool = False) -> CallerReply:
        """Return a failure of a query that may have run.

        Where this instance is cut off, its caller's next try is of use only
        once the balancer sends it to another zone.
        """
        request_services = self._request_services
        table = request_services.table
        if table is None or not self._reachability.is_isolated(table):
            return CallerReply(status, [], b"", reason, closes=closes)
        now_ms = request_services.clock.now_ms()
        request_services.rotation.record(is_ready=False, now_ms=now_ms)
        later = request_services.wire.retry_after(
            request_services.rotation.wait_ms(now_ms)
        )
        return CallerReply(status, [later], b"", reason, closes=True)


def _delegated_gathering(query: DelegatedQuery, whole: Gathering) -> Gathering:
    """Return what to gather for another instance.

    Some parts of a query are of use there whatever their number, since the
    others stand elsewhere; beyond those without which it fails there is no
    need to wait. A whole query that ended at its objective with too few parts
    would fail there, although the missing ones were about to come and a late
    answer has a worth: it is gathered until there are enough.
    """
    services = query.chosen(whole.services)
    coverage = whole.minimum_coverage
    if not query.is_whole:
        coverage = query.minimum_parts / max(len(services), 1)
    return msgspec.structs.replace(whole, services=services, minimum_coverage=coverage)


def _parts_text(run: GatherRun | CoordinatedQuery) -> str:
    missing = run.missing[:_SHOWN_SERVICES]
    names = ", ".join(f"{call.service} ({call.last_error})" for call in missing)
    text = f"{run.answered}/{run.total} {names}"
    if run.remote is None:
        return text
    asked = len(run.remote.services)
    return f"{text}; {len(run.remote.signatures)}/{asked} by {run.remote.peer_name}"
