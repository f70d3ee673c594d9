"""Context shared by all requests: components, refusals, records of requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisfront.gateway.admission_gate import AdmissionGate
from ibisfront.gateway.instances.rotation import Rotation
from ibisfront.gateway.load.service_room import service_room
from ibisfront.gateway.messages import CallerReply
from ibisfront.gateway.observability import RequestTrace, refusal_fields
from ibisfront.gateway.queries.service_call import CallContext
from ibisfront.gateway.route_state import RouteStates, caller_deadline_at_ms

if TYPE_CHECKING:
    from ibisfront.core.clock import Clock
    from ibisfront.gateway.instances.crash_reports import CrashReports
    from ibisfront.gateway.load.applicant import Refusal
    from ibisfront.gateway.load.retry_budget import RetryBudgets
    from ibisfront.gateway.load.service_room import ServiceRoom
    from ibisfront.gateway.messages import InboundRequest
    from ibisfront.gateway.observability import Observer
    from ibisfront.gateway.servers.server import Server
    from ibisfront.gateway.servers.server_registry import ServerRegistry
    from ibisfront.gateway.state.configuration import Route, RouteTable
    from ibisfront.gateway.wire import WireCodec

__all__ = ["BAD_GATEWAY", "GATEWAY_TIMEOUT", "GatewayContext"]

BAD_GATEWAY = 502
GATEWAY_TIMEOUT = 504
_UNAVAILABLE = 503

_RETRY_AFTER_MS = 150.0
"""Retry-after time if no server may be used: long enough for a failed server to be
tried again, short compared with a deadline."""


class GatewayContext:
    """Components that forwarded requests and scatter-gather queries share.

    Parameters
    ----------
    registry : ServerRegistry
        The backend servers.
    budgets : RetryBudgets
        The retry budgets of all services.
    wire : WireCodec
        The codec of requests and replies.
    clock : Clock
        The tier's clock.
    observer : Observer
        Counters and log lines.
    crash_reports : CrashReports, optional
        Tracks requests that crash servers; without it none is refused for that.

    Attributes
    ----------
    admission : AdmissionGate
        Asked before the first sub-request of each request.
    states : RouteStates
        Measurements per route.
    table : RouteTable or None
        The configuration in force; None until the first is loaded.
    rotation : Rotation
        How soon the balancer sends callers to other instances.
    """

    __slots__ = (
        "_budgets",
        "_crash_reports",
        "_observer",
        "admission",
        "clock",
        "registry",
        "rotation",
        "states",
        "table",
        "wire",
    )

    def __init__(
        self,
        *,
        registry: ServerRegistry,
        budgets: RetryBudgets,
        wire: WireCodec,
        clock: Clock,
        observer: Observer,
        crash_reports: CrashReports | None = None,
    ) -> None:
        self._budgets = budgets
        self._crash_reports = crash_reports
        self._observer = observer
        self.registry = registry
        self.wire = wire
        self.clock = clock
        self.states = RouteStates()
        self.rotation = Rotation()
        self.table: RouteTable | None = None
        self.admission = AdmissionGate(
            clock=clock, read_room=self._read_room, counters=observer.counters
        )

    @property
    def version(self) -> int | None:
        """The version of the configuration in force, if one is loaded."""
        return None if self.table is None else self.table.configuration.version

    def apply_table(self, table: RouteTable) -> None:
        """Apply a new route table; drop the state of routes that it lacks."""
        self.table = table
        self.states.retain(table.route_names)
        self._observer.latencies.retain(table.route_names)

    def call_context(
        self, request: InboundRequest, route: Route, *, is_repeat: bool = False
    ) -> CallContext:
        """Return the context that all sub-requests of a request share."""
        encode_for = self.wire.encode_request(request)
        deadline_at_ms = caller_deadline_at_ms(request, route)

        def payload(server: Server, at_ms: float) -> bytes:
            return encode_for(server.entry.server_id, deadline_at_ms - at_ms)

        return CallContext(
            request_id=request.request_id.encode("latin-1"),
            payload=payload,
            is_idempotent=route.is_idempotent,
            attempts=route.attempts,
            rank=route.rank,
            has_reply_body=request.method != b"HEAD",
            baseline=self.states.for_route(route).baseline,
            registry=self.registry,
            budgets=self._budgets,
            clock=self.clock,
            trace=RequestTrace(request.arrived_at_ms),
            counters=self._observer.counters,
            is_repeat=is_repeat,
        )

    def not_run_reply(
        self, reason: str, retry_after_ms: float | None = None
    ) -> CallerReply:
        """Return a refusal that promises that the request will not run.

        Parameters
        ----------
        reason : str
            The cause, for the log and the counters.
        retry_after_ms : float, optional
            Time after which the caller should retry.
        """
        wait_ms = _RETRY_AFTER_MS if retry_after_ms is None else retry_after_ms
        return CallerReply(_UNAVAILABLE, [self.wire.retry_after(wait_ms)], b"", reason)

    def refuse_for_room(
        self,
        request: InboundRequest,
        refusal: Refusal,
        context: CallContext,
        *,
        is_delegated: bool = False,
    ) -> CallerReply:
        """Record a request that is refused for lack of room; return the reply."""
        reply = self.not_run_reply(refusal.reason, refusal.retry_after_ms)
        now_ms = self.clock.now_ms()
        self._observer.record_refused(
            request,
            reply,
            version=self.version,
            details=refusal_fields(
                request,
                refusal,
                rank=context.rank,
                now_ms=now_ms,
                is_delegated=is_delegated,
            ),
        )
        return reply

    def unreachable_reply(self) -> CallerReply:
        """Return the refusal for a route with too few reachable servers.

        An instance in another zone can serve the caller once the balancer
        sends it there.
        """
        wait_ms = self.rotation.wait_ms(self.clock.now_ms())
        reply = self.not_run_reply("out_of_reach", wait_ms)
        reply.closes = True
        return reply

    def quarantine_reply(self, request: InboundRequest) -> CallerReply | None:
        """Return the refusal of a request that crashes servers; None for others."""
        if self._crash_reports is None:
            return None
        left_ms = self._crash_reports.quarantine_left_ms(request)
        return self.not_run_reply("quarantined", left_ms) if left_ms else None

    def _read_room(
        self, service: str, rank: int, work_ms: float, now_ms: float
    ) -> ServiceRoom:
        """Return the room of a service."""
        return service_room(
            self.registry.of_service(service),
            now_ms=now_ms,
            rank=rank,
            work_ms=work_ms,
        )

    def record_run(
        self, request: InboundRequest, *, has_reply: bool, servers_lost: int
    ) -> None:
        """Record what became of the servers that ran a request."""
        if self._crash_reports is not None:
            self._crash_reports.record_run(
                request, has_reply=has_reply, servers_lost=servers_lost
            )

    def answer_crash_report(self, request: InboundRequest) -> CallerReply | None:
        """Return the reply to another instance's report; None if it is no report."""
        if self._crash_reports is None:
            return None
        return self._crash_reports.answer(request)

    def refuse(self, request: InboundRequest, reply: CallerReply) -> CallerReply:
        """Record a request that is refused before any sub-request; return the reply."""
        self._observer.record_refused(request, reply, version=self.version)
        return reply

    def record_cancelled(
        self, request: InboundRequest, route: Route, context: CallContext
    ) -> None:
        """Record a request whose sender disconnected before its answer."""
        now_ms = self.clock.now_ms()
        self._observer.record_cancelled(request, route, context.trace, now_ms)

    def record(
        self,
        request: InboundRequest,
        route: Route,
        reply: CallerReply,
        context: CallContext,
        *,
        parts: str,
    ) -> None:
        """Record a request that is answered."""
        self._observer.record_request(
            request,
            route,
            reply,
            version=self.version or 0,
            now_ms=self.clock.now_ms(),
            trace=context.trace,
            baseline=context.baseline,
            parts=parts,
        )
