"""Replies to scatter-gather queries that have ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisfront.gateway.gateway_context import BAD_GATEWAY, GATEWAY_TIMEOUT
from ibisfront.gateway.messages import CallerReply
from ibisfront.gateway.queries.coordinated_query import CoordinatedQuery
from ibisfront.gateway.queries.delegated_query import reached_header, signatures_header
from ibisfront.gateway.queries.records import top_records

if TYPE_CHECKING:
    from ibisfront.gateway.gateway_context import GatewayContext
    from ibisfront.gateway.load.reachability import Reachability
    from ibisfront.gateway.queries.gather_run import GatherRun
    from ibisfront.gateway.state.configuration import Gathering

__all__ = ["NO_COORDINATOR", "QueryReplies", "parts_text"]

NO_COORDINATOR = "no_gatherer"
"""Reason of the refusal of a query that no coordinator has accepted."""

_MAX_LOGGED_SERVICES = 4
"""Maximum number of services without an answer listed in a log line."""


class QueryReplies:
    """Makes the replies to queries.

    Parameters
    ----------
    gateway_context : GatewayContext
        The context that all requests share.
    reachability : Reachability
        Decides whether this instance is partitioned.
    """

    __slots__ = ("_gateway_context", "_reachability")

    def __init__(
        self, gateway_context: GatewayContext, reachability: Reachability
    ) -> None:
        self._gateway_context = gateway_context
        self._reachability = reachability

    def to_caller(
        self, run: GatherRun | CoordinatedQuery, gathering: Gathering
    ) -> CallerReply:
        """Return the reply to a caller."""
        if not run.has_enough_parts:
            return self._failure_reply(run)
        signatures, bodies = run.answer()
        missing = run.total_parts - len(signatures)
        body = top_records(bodies, gathering.top_count)
        headers = self._gateway_context.wire.gathered_headers(signatures, missing)
        return CallerReply(200, headers, body, "partial" if missing else "whole")

    def to_instance(self, run: GatherRun, gathering: Gathering) -> CallerReply:
        """Return the reply to the instance that delegated a query, or parts of one."""
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
        reason = NO_COORDINATOR if is_untried else "no_server"
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


def parts_text(run: GatherRun | CoordinatedQuery) -> str:
    """Return the parts of a query that were received, for its log line."""
    missing = run.missing_calls[:_MAX_LOGGED_SERVICES]
    names = ", ".join(f"{call.service} ({call.last_error})" for call in missing)
    text = f"{run.received_parts}/{run.total_parts} {names}"
    if run.remote is None:
        return text
    delegated = len(run.remote.services)
    return f"{text}; {len(run.remote.signatures)}/{delegated} by {run.remote.peer_id}"
