"""Scatter-gather: a query sent to many services, with the parts merged."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from ibisfront.core.clock import LATE_WAKE_UP_MS
from ibisfront.gateway.queries.service_call import ServiceCall

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ibisfront.gateway.instances.liveness_probe import (
        LivenessProbe,
        StartLivenessProbe,
    )
    from ibisfront.gateway.load.gather_plan import GatherPlan
    from ibisfront.gateway.messages import BackendReply
    from ibisfront.gateway.queries.coordinated_query import StartRemoteCall
    from ibisfront.gateway.queries.remote_call import RemoteCall, RemotePlan
    from ibisfront.gateway.queries.service_call import CallContext
    from ibisfront.gateway.state.configuration import Gathering

__all__ = ["GatherRun"]

_MIN_HEDGE_BASELINES = 1.15
"""Minimum time left in a query for it to be hedged, in baseline latencies;
replies to later hedged requests would arrive too late."""

_READ_PAUSE_MS = 1.0
"""Pause in which buffered replies are read."""


class GatherRun:
    """One query while it runs; used once.

    Parameters
    ----------
    gathering : Gathering
        The services and the minimum coverage.
    context : CallContext
        The context of its sub-requests.
    plan : GatherPlan
        When the query hedges, ends and is abandoned.
    remote_plan : RemotePlan, optional
        The services delegated to another instance.
    start_remote : callable, optional
        Sends the delegated query.
    start_liveness_probe : callable, optional
        Starts the liveness probe of that instance, given the call and a callback.
        Without it the parts are requested directly as soon as the instance is late.
    left_out : sequence of str, optional
        Services that are queried only if others fail, in this order.
    is_trial : bool, optional
        Whether the other services are queried only once a server of one has replied.

    Attributes
    ----------
    calls : list of ServiceCall
        One for each service that is queried directly.
    ended_unresponsive : bool
        Whether it was abandoned because no server replied.
    remote : RemoteCall or None
        The call for the delegated parts.
    """

    __slots__ = (
        "_all_calls",
        "_awaiting_retry",
        "_context",
        "_direct_parts",
        "_failed",
        "_fallback_calls",
        "_fallback_parts",
        "_gathering",
        "_has_withheld_retries",
        "_hedge_at_ms",
        "_is_falling_back",
        "_is_past_end",
        "_is_trial",
        "_left_out",
        "_liveness_probe",
        "_needed_parts",
        "_plan",
        "_remote_plan",
        "_remote_started_ms",
        "_retry_at_ms",
        "_start_liveness_probe",
        "_start_remote",
        "_started_ms",
        "_wake_at_ms",
        "_woken",
        "calls",
        "ended_unresponsive",
        "remote",
    )

    def __init__(
        self,
        gathering: Gathering,
        context: CallContext,
        plan: GatherPlan,
        *,
        remote_plan: RemotePlan | None = None,
        start_remote: StartRemoteCall | None = None,
        start_liveness_probe: StartLivenessProbe | None = None,
        left_out: Sequence[str] = (),
        is_trial: bool = False,
    ) -> None:
        self._is_trial = is_trial
        self._start_liveness_probe = start_liveness_probe
        self._liveness_probe: LivenessProbe | None = None
        self._gathering = gathering
        self._context = context
        self._plan = plan
        self._woken = trio.Event()
        self._failed: list[ServiceCall] = []
        self._awaiting_retry: list[ServiceCall] = []
        self._retry_at_ms = math.inf
        self._fallback_calls: list[ServiceCall] = []
        self._is_falling_back = False
        self._is_past_end = False
        self._has_withheld_retries = False
        self._direct_parts = 0
        self._fallback_parts = 0
        delegated: frozenset[str] = frozenset()
        if remote_plan is not None:
            delegated = frozenset(remote_plan.services)
        self.calls = [
            ServiceCall(name, context, self._on_call_change)
            for name in gathering.services
            if name not in delegated
        ]
        self._all_calls = list(self.calls)
        by_service = {call.service: call for call in self.calls}
        self._left_out = [by_service[name] for name in left_out if name in by_service]
        self._needed_parts = gathering.needed_parts
        self._started_ms = context.clock.now_ms()
        self.ended_unresponsive = False
        self.remote: RemoteCall | None = None
        self._remote_plan = remote_plan
        self._start_remote = start_remote
        self._remote_started_ms = self._started_ms
        self._wake_at_ms = math.inf
        self._hedge_at_ms = plan.hedge_at_ms

    @property
    def total_parts(self) -> int:
        """Number of parts of a complete answer."""
        return len(self._gathering.services)

    @property
    def received_parts(self) -> int:
        """Number of parts received."""
        return self._direct_parts + max(self._remote_parts, self._fallback_parts)

    @property
    def has_enough_parts(self) -> bool:
        """Whether the parts received suffice for an answer."""
        return self.received_parts >= self._needed_parts

    @property
    def may_have_run(self) -> bool:
        """Whether any part may have run."""
        if self.remote is not None and self.remote.may_have_run:
            return True
        return any(call.may_have_run for call in self._all_calls)

    @property
    def may_have_arrived(self) -> bool:
        """Whether any server may have received a part, even if it rejected it."""
        if self.remote is not None and self.remote.may_have_arrived:
            return True
        return any(call.may_have_arrived for call in self._all_calls)

    @property
    def is_survived(self) -> bool:
        """Whether any server has run a part to its end."""
        return bool(self._remote_parts) or any(
            call.is_survived for call in self._all_calls
        )

    @property
    def servers_lost(self) -> int:
        """Number of servers that closed the connection while they ran a part."""
        return sum(call.servers_lost for call in self._all_calls)

    @property
    def is_open(self) -> bool:
        """Whether any part may still arrive."""
        if self.remote is not None and self.remote.is_open:
            return True
        return any(call.is_open for call in self._all_calls)

    @property
    def missing_calls(self) -> list[ServiceCall]:
        """The services queried directly that have not answered."""
        return [call for call in self._all_calls if not call.is_settled]

    def answer(self) -> tuple[list[bytes], list[bytes]]:
        """Return the signatures and the records of the parts received.

        The records merged by another instance cannot be separated by service: they
        are used whole, or the parts requested directly replace all of them.
        """
        replies = [call.reply for call in self.calls if call.reply is not None]
        bodies: list[bytes] = []
        signatures: list[bytes] = []
        if self._remote_parts >= self._fallback_parts and self.remote is not None:
            signatures += self.remote.signatures
            bodies.append(self.remote.records)
        else:
            replies += _replies(self._fallback_calls)
        signatures += [item.signature or b"" for item in replies]
        bodies += [item.body for item in replies]
        return signatures, bodies

    async def run(self) -> None:
        """Query every service until the plan ends the query."""
        if self._is_trial and not await self._try_one_server():
            return
        if self._remote_plan is not None:
            self._start_remote_call(self._remote_plan)
        self._start_calls(
            [
                call
                for call in self.calls
                if call not in self._left_out and not call.may_have_arrived
            ]
        )
        while not self._is_done():
            now_ms = self._context.clock.now_ms()
            if now_ms > self._wake_at_ms + LATE_WAKE_UP_MS:
                # The process was not scheduled in time. Buffered replies are read
                # first; otherwise every part would look late.
                self._wake_at_ms = math.inf
                await self._context.clock.sleep_ms(_READ_PAUSE_MS)
                continue
            self._replace_failed_remote(now_ms)
            if now_ms >= self._retry_at_ms:
                self._failed += self._awaiting_retry
                self._awaiting_retry = []
            if self._failed:
                self._retry_failed(now_ms)
            if now_ms >= self._hedge_at_ms:
                self._hedge_at_ms = math.inf
                self._hedge(now_ms)
            if self._is_unresponsive(now_ms):
                self.ended_unresponsive = True
                return
            if not self._is_done():
                await self._wait(now_ms)

    def end(self, *, at_once: bool) -> None:
        """Stop waiting for parts."""
        for call in self._all_calls:
            if call.is_open:
                call.end(at_once=at_once)
        if self._liveness_probe is not None:
            self._liveness_probe.end()
        if self.remote is not None:
            # The other instance sends all parts in one reply; closing the connection
            # cancels its work.
            self.remote.end(at_once=True)

    async def _try_one_server(self) -> bool:
        """Query one service; return whether a server has replied with its part.

        The next service is queried only if the server has rejected the query or failed
        without being lost. Such services are retried later, from the retry budget.
        """
        for call in self._by_last_reply():
            now_ms = self._context.clock.now_ms()
            call.start(now_ms)
            while call.is_open and now_ms < self._plan.give_up_at_ms:
                with self._context.clock.timeout_ms(self._plan.give_up_at_ms - now_ms):
                    await self._woken.wait()
                self._woken = trio.Event()
                now_ms = self._context.clock.now_ms()
            self._failed = [item for item in self._failed if item.may_have_arrived]
            if call.is_settled:
                self._is_trial = False
                self._hedge_at_ms += now_ms - self._started_ms
                return True
            if now_ms >= self._plan.give_up_at_ms or (
                call.may_have_run and call.failure is None
            ):
                break
        self.ended_unresponsive = any(call.is_open for call in self.calls)
        return False

    def _by_last_reply(self) -> list[ServiceCall]:
        """Return the calls to services with servers, the last to reply first."""
        registry = self._context.registry

        def replied_ms(call: ServiceCall) -> float:
            servers = registry.of_service(call.service)
            return max((item.last_reply_at_ms for item in servers), default=-math.inf)

        return sorted(self.calls, key=replied_ms, reverse=True)

    @property
    def _waits_for_remote(self) -> bool:
        """Whether the other instance's answer is pending and may still be replaced."""
        if self.remote is None or self._is_falling_back:
            return False
        return self.remote.is_open

    @property
    def _remote_parts(self) -> int:
        return 0 if self.remote is None else len(self.remote.signatures)

    def _start_calls(self, calls: list[ServiceCall]) -> None:
        # One clock reading serves all parts; a reading costs as much as a step of
        # sending a part.
        now_ms = self._context.clock.now_ms()
        for call in calls:
            if not call.start(now_ms):
                self._failed.append(call)

    def _is_done(self) -> bool:
        now_ms = self._context.clock.now_ms()
        if now_ms >= self._plan.give_up_at_ms:
            return True
        self._is_past_end = now_ms >= self._plan.end_at_ms
        if self._is_past_end and self.has_enough_parts:
            return True
        if self._failed or self._must_replace_remote():
            return False
        if self._retry_at_ms < math.inf:
            return False
        return not self.is_open or self._has_all_parts

    @property
    def _has_all_parts(self) -> bool:
        """Whether every part that was requested has arrived."""
        return self.received_parts >= self.total_parts - len(self._left_out)

    async def _wait(self, now_ms: float) -> None:
        plan = self._plan
        times_ms = [plan.give_up_at_ms, self._hedge_at_ms, self._retry_at_ms]
        if now_ms < plan.end_at_ms:
            times_ms.append(plan.end_at_ms)
        times_ms += [
            at_ms
            for at_ms in (plan.silent_at_ms, plan.remote_silent_at_ms)
            if now_ms < at_ms
        ]
        if self._waits_for_remote:
            times_ms.append(self._remote_check_at_ms())
        self._wake_at_ms = min(times_ms)
        with self._context.clock.timeout_ms(self._wake_at_ms - now_ms):
            await self._woken.wait()
        if self._woken.is_set():
            self._woken = trio.Event()

    def _wake(self) -> None:
        self._woken.set()

    def _on_call_change(self, call: ServiceCall) -> None:
        if not call.is_settled:
            self._failed.append(call)
            self._wake()
            return
        call.end(at_once=self._context.baseline.is_loaded)
        if self._fallback_calls and call in self._fallback_calls:
            self._fallback_parts += 1
        else:
            self._direct_parts += 1
        if (
            self._is_past_end
            or self._is_trial
            or self._has_withheld_retries
            or self._has_all_parts
        ):
            self._wake()

    def _retry_failed(self, now_ms: float) -> None:
        failed, self._failed = self._failed, []
        for call in failed:
            if call.is_settled or call.is_open:
                continue
            if not call.send_extra_attempt():
                self._has_withheld_retries = True
                self._awaiting_retry.append(call)
        self._request_left_out()
        self._retry_at_ms = self._next_retry_at_ms(now_ms)

    @property
    def _shortfall(self) -> int:
        """Number of parts that are needed and neither received nor pending."""
        open_parts = sum(call.is_open for call in self._all_calls)
        if self.remote is not None and self.remote.is_open:
            open_parts += len(self.remote.services)
        return self._needed_parts - self.received_parts - open_parts

    def _request_left_out(self) -> None:
        """Request parts that were left out, if the query needs them after all."""
        shortfall = max(self._shortfall, 0)
        needed, self._left_out = self._left_out[:shortfall], self._left_out[shortfall:]
        if needed:
            self._start_calls(needed)

    def _next_retry_at_ms(self, now_ms: float) -> float:
        """Return when to retry parts without which the query fails.

        Servers that reject requests or restart are often available again soon. A
        query that ended at its last failed part would discard all others with most
        of its deadline left. One that cannot get enough parts in time ends at once.
        """
        shortfall = self._shortfall
        if shortfall <= 0:
            return math.inf
        latest_ms = self._plan.give_up_at_ms - self._context.baseline.median_ms
        times_ms = [call.next_retry_at_ms(now_ms) for call in self._awaiting_retry]
        if sum(at_ms <= latest_ms for at_ms in times_ms) < shortfall:
            return math.inf
        return min(times_ms)

    def _hedge(self, now_ms: float) -> None:
        baseline_ms = self._context.baseline.median_ms
        if now_ms + _MIN_HEDGE_BASELINES * baseline_ms > self._plan.end_at_ms:
            return
        for call in self._all_calls:
            if not call.is_settled and call.is_open:
                call.send_extra_attempt()

    def _remote_check_at_ms(self) -> float:
        """Return when to check the other instance next."""
        if self.remote is None:
            return math.inf
        if self._liveness_probe is not None:
            return self._liveness_probe.next_at_ms
        return self._remote_started_ms + self.remote.late_ms

    def _is_remote_lost(self, remote: RemoteCall, now_ms: float) -> bool:
        """Return whether an open remote call is to be replaced by direct requests."""
        if self._liveness_probe is None:
            return now_ms >= self._remote_check_at_ms()
        if not self._liveness_probe.is_lost(now_ms):
            return False
        remote.peer.record_liveness_failure(now_ms)
        # No answer will arrive; a call left open would delay the end of a query whose
        # other parts have failed.
        remote.end(at_once=True)
        return True

    def _must_replace_remote(self) -> bool:
        """Return whether the other instance has failed and was not yet replaced."""
        if self.remote is None or self._is_falling_back or self.remote.is_open:
            return False
        return not self.remote.signatures

    def _start_remote_call(self, plan: RemotePlan) -> None:
        assert self._start_remote is not None
        self._remote_started_ms = self._context.clock.now_ms()
        self.remote = self._start_remote(plan, False, self._wake)
        if self._start_liveness_probe is not None:
            self._liveness_probe = self._start_liveness_probe(self.remote, self._wake)

    def _replace_failed_remote(self, now_ms: float) -> None:
        """Request the parts directly if the other instance refuses, fails or is lost.

        Its servers may have received the parts already, also if they rejected all of
        them. Direct requests then count as extra attempts and must not reach more
        servers than the route allows attempts, which holds if a service has no more
        servers than that.
        """
        remote = self.remote
        if remote is None or self._is_falling_back:
            return
        is_lost = remote.is_open and self._is_remote_lost(remote, now_ms)
        if not is_lost and not self._must_replace_remote():
            return
        self._is_falling_back = True
        cause = "refused" if remote.is_refused else "lost"
        self._context.trace.record(
            now_ms, "parts_requested_here", "", remote.peer_id, cause
        )
        # The preferred server may have become unresponsive together with the
        # instance, so that these parts need a hedge of their own.
        self._hedge_at_ms = now_ms + self._context.baseline.late_ms
        self._fallback_calls = [
            ServiceCall(name, self._context, self._on_call_change)
            for name in remote.services
        ]
        self._all_calls += self._fallback_calls
        if not remote.may_have_arrived:
            # The request may be queued for a connection and must not be sent later.
            remote.end(at_once=True)
            self._start_calls(self._fallback_calls)
            return
        for call in self._fallback_calls:
            if call.attempts_cover_all_servers:
                call.send_extra_attempt()

    def _is_unresponsive(self, now_ms: float) -> bool:
        """Return whether none of the queried servers has sent any reply.

        An instance replies to a delegated query only once, near the end; until then
        a missing reply is no evidence.
        """
        if self.received_parts or now_ms < self._plan.silent_at_ms:
            return False
        remote = self.remote
        if remote is not None and remote.is_open:
            is_due = now_ms >= self._plan.remote_silent_at_ms
            return is_due and remote.is_silent
        return all(call.is_silent_since(self._started_ms) for call in self._all_calls)


def _replies(calls: Sequence[ServiceCall]) -> list[BackendReply]:
    return [call.reply for call in calls if call.reply is not None]
