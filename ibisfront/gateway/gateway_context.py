"""Context shared by all requests: components, refusals, records of requests."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Any

from ibisfront.gateway.admission_gate import AdmissionGate
from ibisfront.gateway.instances.rotation import Rotation
from ibisfront.gateway.load.crash_suspects import fingerprint_of
from ibisfront.gateway.load.service_room import service_room
from ibisfront.gateway.load.stop_bound import StopBound
from ibisfront.gateway.messages import CallerReply
from ibisfront.gateway.observability import RequestTrace, refusal_fields
from ibisfront.gateway.queries.delegated_query import no_room_header
from ibisfront.gateway.queries.service_call import CallContext
from ibisfront.gateway.route_state import (
    RouteStates,
    caller_deadline_at_ms,
    give_up_at_ms,
    rank_of,
)
from ibisfront.gateway.workspaces.authentication import (
    KeyRefusal,
    accepts_delegated,
    authenticate,
)
from ibisfront.gateway.workspaces.keys import digest_key, split_credentials

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

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

_CLAIM_SHARE = 0.25
_MAX_CLAIM_MS = 1_000.0
"""Share of its remaining time, and the longest, that a request waits for a trial."""

BAD_GATEWAY = 502
GATEWAY_TIMEOUT = 504
_UNAUTHORIZED = 401
_UNAVAILABLE = 503

_RETRY_AFTER_MS = 150.0
"""Retry-after time if no server may be used: long enough for a failed server to be
tried again, short compared with a deadline."""

_OTHER_INSTANCE_MS = 20.0
"""Retry-after time if another instance can serve the request."""


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
    is_fresh : callable, optional
        Returns whether this instance knows the newest configuration; by default it
        always does.

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
    stop_bound : StopBound
        Which requests are still admitted while this instance stops.
    """

    __slots__ = (
        "_budgets",
        "_crash_reports",
        "_is_fresh",
        "_observer",
        "admission",
        "clock",
        "registry",
        "rotation",
        "states",
        "stop_bound",
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
        is_fresh: Callable[[], bool] = lambda: True,
    ) -> None:
        self._budgets = budgets
        self._crash_reports = crash_reports
        self._is_fresh = is_fresh
        self._observer = observer
        self.registry = registry
        self.wire = wire
        self.clock = clock
        self.states = RouteStates()
        self.rotation = Rotation()
        self.stop_bound = StopBound()
        self.table: RouteTable | None = None
        self.admission = AdmissionGate(
            clock=clock,
            read_room=self._read_room,
            counters=observer.counters,
            is_active=lambda: self.waits_for_room,
        )

    @property
    def version(self) -> int | None:
        """The version of the configuration in force, if one is loaded."""
        return None if self.table is None else self.table.configuration.version

    @property
    def waits_for_room(self) -> bool:
        """Whether requests wait for room, or are refused, before they begin.

        Only where callers of several workspaces compete. Elsewhere the windows of the
        servers alone, urgent requests first, serve more of them in time.
        """
        return self.table is not None and bool(self.table.workspaces)

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
            rank=rank_of(request, route),
            has_reply_body=request.method != b"HEAD",
            baseline=self.states.for_route(route).baseline,
            registry=self.registry,
            budgets=self._budgets,
            clock=self.clock,
            trace=RequestTrace(request.arrived_at_ms),
            counters=self._observer.counters,
            is_repeat=is_repeat,
            record_late_loss=partial(self._record_late_loss, request),
        )

    def _record_late_loss(self, request: InboundRequest) -> None:
        if self._crash_reports is not None:
            self._crash_reports.record_late_loss(request)

    def authorize(self, request: InboundRequest, route: Route) -> CallerReply | None:
        """Authorize a caller's request, or return its refusal.

        The request loses its keys and gets its workspace. One that has waited is
        authorized again: its key may have been revoked meanwhile.
        """
        assert self.table is not None
        directory = self.table.workspaces
        if not directory:
            return None
        before = request.workspace
        request.headers, keys = split_credentials(request.headers, self.wire)
        if keys:
            request.key_digests = tuple(digest_key(key) for key in keys)
        outcome = authenticate(
            directory,
            request.key_digests,
            is_public=route.is_public,
            is_fresh=self._is_fresh,
        )
        if isinstance(outcome, KeyRefusal):
            request.workspace = ""
            if outcome.is_final:
                return CallerReply(_UNAUTHORIZED, [], b"", outcome.value)
            return self.not_run_reply(outcome.value)
        request.workspace = "" if outcome is None else outcome.name
        request.rank = None if outcome is None else outcome.rank
        if before and before != request.workspace:
            # It has been counted against the limit of the other workspace.
            return self.not_run_reply("workspace_changed")
        return None

    def refuse_unfinishable(
        self, request: InboundRequest, route: Route
    ) -> CallerReply | None:
        """Return the refusal of a request that this instance ends too soon for.

        A retry on a new connection reaches another instance.
        """
        baseline = self.states.for_route(route).baseline
        if self.stop_bound.admits(request, route, baseline, self.clock.now_ms()):
            return None
        reply = self.not_run_reply("stopping", _OTHER_INSTANCE_MS)
        return self.refuse(request, reply)

    def authorize_delegated(
        self, request: InboundRequest, route: Route
    ) -> CallerReply | None:
        """Authorize a query that another instance delegates, or return its refusal.

        An instance without workspaces in its configuration leaves a caller's keys in
        the request; the servers must not get them.
        """
        assert self.table is not None
        directory = self.table.workspaces
        if not accepts_delegated(
            directory, request.workspace, is_public=route.is_public
        ):
            return self.not_run_reply("other_workspaces")
        if directory:
            request.headers, _ = split_credentials(request.headers, self.wire)
        return None

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

    async def admit(
        self,
        request: InboundRequest,
        route: Route,
        context: CallContext,
        *,
        services: Sequence[str],
        needed: int,
        objective_at_ms: Callable[[], float],
        is_delegated: bool = False,
    ) -> CallerReply | None:
        """Wait until a request may go on; return its refusal if it may not.

        The configuration may have changed meanwhile, and with it the workspace of the
        key.

        Parameters
        ----------
        request : InboundRequest
            The request.
        route : Route
            Its route.
        context : CallContext
            The context of its sub-requests.
        services : sequence of str
            The services that it goes to from here.
        needed : int
            Number of these that it needs.
        objective_at_ms : callable
            Returns the latest time of an answer that meets the latency objective.
        is_delegated : bool
            Whether another instance has delegated it.
        """
        table = self.table
        refusal = await self.admission.enter(
            request,
            route,
            context,
            services=services,
            needed=needed,
            objective_at_ms=objective_at_ms,
        )
        if refusal is not None:
            return self._refuse_for_room(
                request, refusal, context, is_delegated=is_delegated
            )
        if self.table is table:
            return None
        authorize = self.authorize_delegated if is_delegated else self.authorize
        reply = authorize(request, route)
        return None if reply is None else self.refuse(request, reply)

    def _refuse_for_room(
        self,
        request: InboundRequest,
        refusal: Refusal,
        context: CallContext,
        *,
        is_delegated: bool,
    ) -> CallerReply:
        """Record a request that is refused for lack of room; return the reply."""
        reply = self.not_run_reply(refusal.reason, refusal.retry_after_ms)
        if is_delegated:
            reply.headers.append(no_room_header())
        self._observer.record_refused(
            request,
            reply,
            version=self.version,
            details=refusal_fields(
                request,
                refusal,
                rank=context.rank,
                now_ms=self.clock.now_ms(),
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

    def refuse_quarantined(self, request: InboundRequest) -> CallerReply | None:
        """Refuse a request that crashes servers; return None for others."""
        if self._crash_reports is None:
            return None
        left_ms = self._crash_reports.quarantine_left_ms(request)
        return self._refuse_suspect(request, left_ms) if left_ms else None

    async def release(
        self, request: InboundRequest, route: Route
    ) -> CallerReply | None:
        """Let a request go to servers; return its refusal if it may not.

        One that is suspected of crashing servers goes as a trial, and waits until the
        store has granted it.
        """
        if self._crash_reports is None:
            return None
        left_ms = give_up_at_ms(request, route) - self.clock.now_ms()
        retry_after_ms = await self._crash_reports.release(
            request, timeout_ms=min(_CLAIM_SHARE * left_ms, _MAX_CLAIM_MS)
        )
        if retry_after_ms is None:
            return None
        return self._refuse_suspect(request, retry_after_ms)

    def _refuse_suspect(
        self, request: InboundRequest, retry_after_ms: float
    ) -> CallerReply:
        reply = self.not_run_reply("quarantined", retry_after_ms)
        details = {
            "fingerprint": fingerprint_of(request),
            "retry_after_ms": round(retry_after_ms, 1),
        }
        return self.refuse(request, reply, details)

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
        self,
        request: InboundRequest,
        *,
        may_have_arrived: bool,
        may_have_run: bool,
        is_survived: bool,
        servers_lost: int,
        is_cancelled: bool,
    ) -> None:
        """Record whether a request reached servers, and what became of these."""
        request.reached_servers = request.reached_servers or may_have_arrived
        if self._crash_reports is not None:
            self._crash_reports.record_run(
                request,
                may_have_run=may_have_run,
                is_survived=is_survived,
                servers_lost=servers_lost,
                is_cancelled=is_cancelled,
            )

    def answer_crash_report(self, request: InboundRequest) -> CallerReply | None:
        """Return the reply to another instance's report; None if it is no report."""
        if self._crash_reports is None:
            return None
        return self._crash_reports.answer(request)

    def refuse(
        self,
        request: InboundRequest,
        reply: CallerReply,
        details: dict[str, Any] | None = None,
    ) -> CallerReply:
        """Record a request that is refused before any sub-request; return the reply."""
        self._observer.record_refused(
            request, reply, version=self.version, details=details
        )
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
