"""Answering gathered queries, for callers and for other instances."""

from __future__ import annotations

import math
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

import msgspec
import trio

from ibisfront.gateway.answering import BAD_GATEWAY, GATEWAY_TIMEOUT
from ibisfront.gateway.instances.life_check import life_checker
from ibisfront.gateway.load.gather_plan import gather_plan
from ibisfront.gateway.messages import CallerReply
from ibisfront.gateway.queries.delegated_query import (
    out_of_reach_header,
    signatures_header,
)
from ibisfront.gateway.queries.followed_query import FollowedQuery
from ibisfront.gateway.queries.gathering import GatherRun
from ibisfront.gateway.queries.records import greatest_records
from ibisfront.gateway.queries.remote_call import RemoteCall
from ibisfront.gateway.route_state import give_up_at_ms

if TYPE_CHECKING:
    from ibisfront.gateway.answering import Answering
    from ibisfront.gateway.load.reach import Reach
    from ibisfront.gateway.messages import InboundRequest
    from ibisfront.gateway.queries.delegated_query import DelegatedQuery
    from ibisfront.gateway.queries.delegation import Delegation
    from ibisfront.gateway.queries.followed_query import AskGatherer
    from ibisfront.gateway.queries.remote_call import RemotePlan
    from ibisfront.gateway.queries.service_call import CallContext
    from ibisfront.gateway.state.configuration import Gathering, Route

__all__ = ["Queries"]

_NO_GATHERER = "no_gatherer"
_VERSION_PAUSE_MS = 60.0
"""How far apart instances may be with a new version: the pause before a source
passes a change on, and the ways."""

_OUT_OF_REACH_MS = 1_500.0
"""How long an instance stays not ready after one that gathers for it found the
ways to the servers cut: it hears of it again about once a second as long as
that is so."""

_TOLD_OUT_OF_REACH_MS = 4_000.0
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


class Queries:
    """Gathers the parts of queries.

    Parameters
    ----------
    answering : Answering
        What answering takes.
    delegation : Delegation or None
        Asks other instances for the parts that stand near them.
    reach : Reach
        Which routes can be served.
    """

    __slots__ = (
        "_answering",
        "_check_life",
        "_delegation",
        "_out_of_reach_until_ms",
        "_reach",
    )

    def __init__(
        self, answering: Answering, delegation: Delegation | None, reach: Reach
    ) -> None:
        self._answering = answering
        self._check_life = life_checker(answering.wire, answering.clock)
        self._delegation = delegation
        self._reach = reach
        self._out_of_reach_until_ms = -math.inf

    @property
    def is_out_of_reach(self) -> bool:
        """Whether those that gather for this instance have found a cut way.

        It asks no servers itself, and would not see that its zone is cut off.
        """
        return self._answering.clock.now_ms() < self._out_of_reach_until_ms

    def note_out_of_reach(self) -> None:
        """Take in that one that gathers has refused, as it reaches no servers."""
        self._stay_out_of_reach(_OUT_OF_REACH_MS)

    def note_told_out_of_reach(self) -> None:
        """Take in that those that gather say that they reach no servers."""
        self._stay_out_of_reach(_TOLD_OUT_OF_REACH_MS)

    def _stay_out_of_reach(self, duration_ms: float) -> None:
        now_ms = self._answering.clock.now_ms()
        until_ms = max(self._out_of_reach_until_ms, now_ms + duration_ms)
        self._out_of_reach_until_ms = until_ms
        self._answering.rotation.note(is_ready=False, now_ms=now_ms)

    def note_within_reach(self) -> None:
        """Take in that those that gather can reach the servers."""
        self._out_of_reach_until_ms = -math.inf

    async def answer(
        self, request: InboundRequest, route: Route, gathering: Gathering
    ) -> CallerReply:
        """Return the answer to a caller's query."""
        reply = await self._gather(request, route, gathering)
        if reply.reason != _NO_GATHERER:
            return reply
        return await self._gather_again(request)

    async def answer_delegated(self, query: DelegatedQuery) -> CallerReply:
        """Return the parts of a query that another instance asks for."""
        answering = self._answering
        request = query.request
        table = answering.table
        route = None if table is None else table.find(request.host, request.path)
        if route is None or route.gathering is None:
            return answering.refuse(request, answering.not_run("no_gathering_route"))
        if route.gathering.digest != query.gathering:
            return answering.refuse(request, answering.not_run("other_gathering"))
        if query.is_whole and not self._reach.can_serve(route):
            reply = answering.out_of_reach()
            reply.headers.append(out_of_reach_header())
            return answering.refuse(request, reply)
        gathering = _delegated_gathering(query, route.gathering)
        end_at_ms = request.arrived_at_ms + query.objective_left_ms
        context = answering.context(request, route, is_repeat=query.is_repeat)
        asked = _Asked(request, route, gathering, context, end_at_ms)
        remote_plan = None
        if query.is_whole and self._delegation is not None:
            remote_plan = self._delegation.plan_far(route, gathering)
        run = await self._run(asked, remote_plan)
        reply = self._delegated(run, gathering)
        answering.note(request, route, reply, context, parts=_parts_text(run))
        # The other instance tells by it that the reply is to this query.
        reply.headers.append(answering.wire.request_id(request.request_id))
        return reply

    async def _gather(
        self, request: InboundRequest, route: Route, gathering: Gathering
    ) -> CallerReply:
        answering = self._answering
        end_at_ms = answering.states.of(route).objective_at_ms(request, route)
        context = answering.context(request, route)
        asked = _Asked(request, route, gathering, context, end_at_ms)
        remote_plan = None
        if self._delegation is not None:
            remote_plan = self._delegation.plan(route, gathering)
        run: GatherRun | FollowedQuery
        if remote_plan is not None and remote_plan.is_whole:
            run = await self._follow(asked, remote_plan)
        else:
            run = await self._run(asked, remote_plan)
        if run.remote is not None and run.remote.is_out_of_reach:
            self.note_out_of_reach()
        reply = self._gathered(run, gathering)
        answering.note(request, route, reply, context, parts=_parts_text(run))
        return reply

    async def _gather_again(self, request: InboundRequest) -> CallerReply:
        """Gather a query that no gatherer would take.

        They take queries only if their version gathers it in the same way. A
        new version reaches all instances within a moment of each other.
        """
        answering = self._answering
        await answering.clock.sleep_ms(_VERSION_PAUSE_MS)
        assert answering.table is not None
        route = answering.table.find(request.host, request.path)
        if route is None or route.gathering is None:
            return answering.refuse(request, answering.not_run(_NO_GATHERER))
        return await self._gather(request, route, route.gathering)

    async def _run(self, asked: _Asked, remote_plan: RemotePlan | None) -> GatherRun:
        """Gather a query from here."""
        context = asked.context
        plan = gather_plan(
            self._answering.clock.now_ms(),
            end_at_ms=asked.end_or_give_up_at_ms,
            give_up_at_ms=asked.give_up_at_ms,
            usual=context.usual,
            objective_ms=asked.route.objective_ms,
        )
        run = GatherRun(
            asked.gathering,
            context,
            plan,
            remote_plan=remote_plan,
            start_remote=self._remote_starter(asked),
            check_life=self._check_life if self._is_concentrated else None,
        )
        await self._run_until_left(run, asked)
        # Servers drop a request when its connection closes. Under load that
        # frees slots for requests that are waited for; in calm it only costs a
        # connection.
        run.end(at_once=context.usual.is_loaded)
        return run

    async def _follow(self, asked: _Asked, remote_plan: RemotePlan) -> FollowedQuery:
        """Have a query gathered by another instance.

        Nothing is asked from here: with too few connections for every instance it
        would take them from those that gather.
        """
        assert self._delegation is not None
        run = FollowedQuery(
            asked.gathering,
            asked.context,
            check_life=self._check_life,
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
        self, run: GatherRun | FollowedQuery, asked: _Asked
    ) -> None:
        """Run a query; stop its work if its asker leaves."""
        try:
            await run.run()
        except trio.Cancelled:
            run.end(at_once=True)
            self._answering.note_left(asked.request, asked.route, asked.context)
            raise

    def _remote_starter(self, asked: _Asked) -> AskGatherer:
        """Return what asks another instance for parts of a query."""
        answering = self._answering

        def start(
            remote_plan: RemotePlan, is_repeat: bool, on_change: Callable[[], None]
        ) -> RemoteCall:
            remote = RemoteCall(remote_plan, clock=answering.clock, on_change=on_change)
            remote.start(
                asked.request,
                wire=answering.wire,
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
    def _is_concentrated(self) -> bool:
        """Whether only some instances gather.

        They have little room for work that is done twice: parts that another one
        was asked for are asked from here only if it is lost.
        """
        return self._delegation is not None and self._delegation.is_concentrated

    def _gathered(
        self, run: GatherRun | FollowedQuery, gathering: Gathering
    ) -> CallerReply:
        if not run.is_enough:
            return self._no_answer(run)
        signatures, bodies = run.answer()
        missing = run.total - len(signatures)
        body = greatest_records(bodies, gathering.top_count)
        headers = self._answering.wire.gathered_headers(signatures, missing)
        return CallerReply(200, headers, body, "partial" if missing else "whole")

    def _delegated(self, run: GatherRun, gathering: Gathering) -> CallerReply:
        signatures, bodies = run.answer()
        if not signatures:
            return self._no_answer(run)
        records = greatest_records(bodies, gathering.top_count)
        headers = [signatures_header(signatures)]
        return CallerReply(200, headers, records, "delegated_parts")

    def _not_run(self, run: GatherRun | FollowedQuery) -> CallerReply:
        """Return the refusal of a query that no server was asked for."""
        if run.remote is not None and run.remote.is_out_of_reach:
            return self._answering.out_of_reach()
        reason = _NO_GATHERER if isinstance(run, FollowedQuery) else "no_server"
        return self._answering.not_run(reason)

    def _no_answer(self, run: GatherRun | FollowedQuery) -> CallerReply:
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
        answering = self._answering
        table = answering.table
        if table is None or not self._reach.is_isolated(table):
            return CallerReply(status, [], b"", reason, closes=closes)
        now_ms = answering.clock.now_ms()
        answering.rotation.note(is_ready=False, now_ms=now_ms)
        later = answering.wire.retry_after(answering.rotation.wait_ms(now_ms))
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


def _parts_text(run: GatherRun | FollowedQuery) -> str:
    missing = run.missing[:_SHOWN_SERVICES]
    names = ", ".join(f"{call.service} ({call.last_error})" for call in missing)
    text = f"{run.answered}/{run.total} {names}"
    if run.remote is None:
        return text
    asked = len(run.remote.services)
    return f"{text}; {len(run.remote.signatures)}/{asked} by {run.remote.peer_name}"
