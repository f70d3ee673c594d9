"""Counters and log lines for each request to the gateway."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING, Any

import msgspec

from ibisfront.core.counters import CounterKind, Counters
from ibisfront.core.latencies import RouteLatencies
from ibisfront.core.logs import LogPart, part_logger
from ibisfront.gateway.workspaces.keys import loggable_digest

if TYPE_CHECKING:
    from ibisfront.gateway.load.applicant import Refusal
    from ibisfront.gateway.load.baseline_latency import BaselineLatency
    from ibisfront.gateway.messages import CallerReply, InboundRequest
    from ibisfront.gateway.state.configuration import Route

__all__ = ["Decision", "Observer", "RequestTrace", "refusal_fields"]

_LOG = part_logger(LogPart.QUERY)

_MAX_DECISIONS = 40
"""Decisions in one log line; a query over many services may have more if all fail."""

_OVER_LIMIT = 429

_DELEGATED_PARTS = "delegated_parts"
_ROUTINE_REASONS = frozenset(("whole", "answered", "partial", _DELEGATED_PARTS))
"""Reasons whose log lines are dropped in favour of those of failures."""


class Decision(msgspec.Struct, frozen=True):
    """One decision about a request.

    Attributes
    ----------
    after_ms : float
        Time since the request arrived.
    what : str
        The decision or observation.
    service : str
        The service concerned.
    server : str
        The backend server or instance concerned.
    detail : str
        The cause of the decision.
    """

    after_ms: float
    what: str
    service: str
    server: str
    detail: str = ""


class RequestTrace:
    """Decisions about one request, in order.

    Attributes
    ----------
    started_ms : float
        When the request arrived.
    extras : int
        Number of extra sub-requests sent.
    """

    __slots__ = ("_decisions", "_omitted", "extras", "started_ms")

    def __init__(self, started_ms: float) -> None:
        self.started_ms = started_ms
        self.extras = 0
        self._decisions: list[Decision] = []
        self._omitted = 0

    def record(
        self, now_ms: float, what: str, service: str, server: str, detail: str = ""
    ) -> None:
        """Record a decision."""
        if len(self._decisions) >= _MAX_DECISIONS:
            self._omitted += 1
            return
        after_ms = round(now_ms - self.started_ms, 1)
        self._decisions.append(Decision(after_ms, what, service, server, detail))

    def as_fields(self) -> dict[str, Any]:
        """Return the decisions as fields of a log line."""
        fields: dict[str, Any] = {
            "decisions": [msgspec.to_builtins(item) for item in self._decisions]
        }
        if self._omitted:
            fields["decisions_left_out"] = self._omitted
        return fields


class Observer:
    """Counters, latencies and log lines of the gateway.

    Attributes
    ----------
    counters : Counters
        Counts since the process started.
    latencies : RouteLatencies
        Latencies by route and reason.
    """

    __slots__ = ("counters", "latencies")

    def __init__(self) -> None:
        self.counters = Counters()
        self.latencies = RouteLatencies()

    def record_request(
        self,
        request: InboundRequest,
        route: Route,
        reply: CallerReply,
        *,
        version: int,
        now_ms: float,
        trace: RequestTrace,
        baseline: BaselineLatency,
        parts: str = "",
    ) -> None:
        """Record a request that was answered.

        The log line of a failure or a late answer contains all decisions; a routine
        one does not, and may be dropped when there are many.
        """
        took_ms = now_ms - request.arrived_at_ms
        self.counters.add(CounterKind.ANSWERS, reply.reason)
        self.latencies.record_ms(route.name, reply.reason, took_ms)
        fields: dict[str, Any] = {
            "request_id": request.request_id,
            "route": route.name,
            "version": version,
            "status": reply.status,
            "reason": reply.reason,
            "took_ms": round(took_ms, 1),
            "deadline_ms": request.deadline_ms,
            "objective_ms": route.objective_ms,
            "late_after_ms": round(baseline.late_ms, 1),
            "extras": trace.extras,
        }
        if request.workspace:
            fields["workspace"] = request.workspace
        if parts:
            fields["parts"] = parts
        # Whether delegated parts are late is decided by the requesting instance.
        is_late = took_ms > route.objective_ms and reply.reason != _DELEGATED_PARTS
        if reply.reason in _ROUTINE_REASONS and not is_late:
            _LOG.info("Answered %d.", reply.status, extra=fields)
            return
        fields.update(trace.as_fields())
        late = " late" if is_late else ""
        _LOG.warning(
            "Answered %d%s: %s.", reply.status, late, reply.reason, extra=fields
        )

    def record_cancelled(
        self, request: InboundRequest, route: Route, trace: RequestTrace, now_ms: float
    ) -> None:
        """Record a request whose sender disconnected before its answer.

        An instance that requested parts disconnects when it abandons the query.
        """
        self.counters.add(CounterKind.CANCELLATIONS, "asker_left")
        fields: dict[str, Any] = {
            "request_id": request.request_id,
            "route": route.name,
            "took_ms": round(now_ms - request.arrived_at_ms, 1),
            "deadline_ms": request.deadline_ms,
            "extras": trace.extras,
            **trace.as_fields(),
        }
        _LOG.info("The requester disconnected.", extra=fields)

    def record_refused(
        self,
        request: InboundRequest,
        reply: CallerReply,
        *,
        version: int | None,
        details: dict[str, Any] | None = None,
    ) -> None:
        """Record a request that was refused before any decision.

        Parameters
        ----------
        request : InboundRequest
            The request.
        reply : CallerReply
            The refusal.
        version : int or None
            The configuration in force.
        details : dict, optional
            What decided it, for the log.
        """
        self.counters.add(CounterKind.REFUSALS, reply.reason)
        # A flood over a limit would displace the warnings about failures.
        level = logging.INFO if reply.status == _OVER_LIMIT else logging.WARNING
        if not _LOG.isEnabledFor(level):
            return
        fields: dict[str, Any] = {
            "request_id": request.request_id,
            "host": request.host,
            "path": request.path,
            "version": version,
            "status": reply.status,
            "reason": reply.reason,
            **(details or {}),
        }
        if request.workspace:
            fields["workspace"] = request.workspace
        elif request.key_digests:
            fields["key_digests"] = [
                loggable_digest(digest) for digest in request.key_digests
            ]
        message = "Refused %d: %s."
        _LOG.log(level, message, reply.status, reply.reason, extra=fields)


def refusal_fields(
    request: InboundRequest,
    refusal: Refusal,
    *,
    rank: int,
    now_ms: float,
    is_delegated: bool,
) -> dict[str, Any]:
    """Return what decided a refusal for lack of room, as fields of a log line."""
    wait_ms = refusal.wait_ms
    waited_ms = now_ms - request.arrived_at_ms
    left_ms = None
    if request.deadline_ms is not None:
        left_ms = round(request.deadline_ms - waited_ms, 1)
    return {
        "expected_wait_ms": round(wait_ms, 1) if math.isfinite(wait_ms) else None,
        "ahead": refusal.ahead,
        "rank": rank,
        "workspace": request.workspace,
        "waited_ms": round(waited_ms, 1),
        "left_ms": left_ms,
        "retry_after_ms": round(refusal.retry_after_ms, 1),
        "delegated": is_delegated,
    }
