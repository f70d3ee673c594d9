"""A query over many services: ask all, put the parts together."""

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

_LAST_HEDGE_FACTOR = 1.15
"""A hedged request is sent while at least this many baseline latencies are left
before the query ends; later ones would come too late."""

_READ_FIRST_MS = 1.0
"""Pause in which replies that lie unread are read."""


class GatherRun:
    """One query while it runs; used once.

    Parameters
    ----------
    gathering : Gathering
        Which services, and how many are enough.
    context : CallContext
        What its sub-requests share.
    plan : GatherPlan
        When it acts.
    remote_plan : RemotePlan, optional
        Which services another instance is asked for.
    start_remote : callable, optional
        Asks it.
    start_liveness_probe : callable, optional
        Returns what finds out whether that instance is lost, given it and what to
        call. Without it the parts are asked from here as soon as it is late.

    Attributes
    ----------
    calls : list of ServiceCall
        One for each service that is asked from here.
    found_silence : bool
        Whether it was given up since no server replied anything.
    remote : RemoteCall or None
        What another instance was asked for.
    """

    __slots__ = (
        "_all_calls",
        "_context",
        "_failed",
        "_fallback_parts",
        "_gathering",
        "_has_lost_parts",
        "_hedge_at_ms",
        "_is_falling_back",
        "_is_past_end",
        "_liveness_probe",
        "_lost",
        "_needed",
        "_own_parts",
        "_plan",
        "_remote_calls",
        "_remote_plan",
        "_remote_started_ms",
        "_resend_at_ms",
        "_start_liveness_probe",
        "_start_remote",
        "_started_ms",
        "_wake_at_ms",
        "_woken",
        "calls",
        "found_silence",
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
    ) -> None:
        self._start_liveness_probe = start_liveness_probe
        self._liveness_probe: LivenessProbe | None = None
        self._gathering = gathering
        self._context = context
        self._plan = plan
        self._woken = trio.Event()
        self._failed: list[ServiceCall] = []
        self._lost: list[ServiceCall] = []
        self._resend_at_ms = math.inf
        self._remote_calls: list[ServiceCall] = []
        self._is_falling_back = False
        self._is_past_end = False
        self._has_lost_parts = False
        self._own_parts = 0
        self._fallback_parts = 0
        elsewhere: frozenset[str] = frozenset()
        if remote_plan is not None:
            elsewhere = frozenset(remote_plan.services)
        self.calls = [
            ServiceCall(name, context, self._changed)
            for name in gathering.services
            if name not in elsewhere
        ]
        self._all_calls = list(self.calls)
        self._needed = gathering.needed_parts
        self._started_ms = context.clock.now_ms()
        self.found_silence = False
        self.remote: RemoteCall | None = None
        self._remote_plan = remote_plan
        self._start_remote = start_remote
        self._remote_started_ms = self._started_ms
        self._wake_at_ms = math.inf
        self._hedge_at_ms = plan.hedge_at_ms

    @property
    def total(self) -> int:
        """How many parts the answer would have."""
        return len(self._gathering.services)

    @property
    def answered(self) -> int:
        """How many parts are in."""
        return self._own_parts + max(self._remote_parts, self._fallback_parts)

    @property
    def is_enough(self) -> bool:
        """Whether the parts that are in make an answer."""
        return self.answered >= self._needed

    @property
    def was_sent(self) -> bool:
        """Whether any part may have run."""
        if self.remote is not None and self.remote.may_have_run:
            return True
        return any(call.may_have_run for call in self._all_calls)

    @property
    def is_open(self) -> bool:
        """Whether any part may still come."""
        if self.remote is not None and self.remote.is_open:
            return True
        return any(call.is_open for call in self._all_calls)

    @property
    def missing(self) -> list[ServiceCall]:
        """The services asked from here that have no answer."""
        return [call for call in self._all_calls if not call.is_settled]

    def answer(self) -> tuple[list[bytes], list[bytes]]:
        """Return the signatures of the parts that are in, and their records.

        The records that another instance merged cannot be told apart by
        service; they are taken whole, or the parts asked from here instead.
        """
        replies = [call.reply for call in self.calls if call.reply is not None]
        bodies: list[bytes] = []
        signatures: list[bytes] = []
        if self._remote_parts >= self._fallback_parts and self.remote is not None:
            signatures += self.remote.signatures
            bodies.append(self.remote.records)
        else:
            replies += _replies(self._remote_calls)
        signatures += [item.signature or b"" for item in replies]
        bodies += [item.body for item in replies]
        return signatures, bodies

    async def run(self) -> None:
        """Ask every service until the plan says to stop."""
        if self._remote_plan is not None:
            self._ask_remote(self._remote_plan)
        self._start(self.calls)
        while not self._is_over():
            now_ms = self._context.clock.now_ms()
            if now_ms > self._wake_at_ms + LATE_WAKE_UP_MS:
                # The processor was away: replies may lie unread, and every
                # part would look late. They are read first.
                self._wake_at_ms = math.inf
                await self._context.clock.sleep_ms(_READ_FIRST_MS)
                continue
            self._check_remote(now_ms)
            if now_ms >= self._resend_at_ms:
                self._failed += self._lost
                self._lost = []
            if self._failed:
                self._retry_failed(now_ms)
            if now_ms >= self._hedge_at_ms:
                self._hedge_at_ms = math.inf
                self._hedge(now_ms)
            if self._is_silent(now_ms):
                self.found_silence = True
                return
            if not self._is_over():
                await self._wait(now_ms)

    def end(self, *, at_once: bool) -> None:
        """Wait for no more parts."""
        for call in self._all_calls:
            if call.is_open:
                call.end(at_once=at_once)
        if self._liveness_probe is not None:
            self._liveness_probe.end()
        if self.remote is not None:
            # Closing tells the other instance to stop its work; its parts
            # cannot be waited for one by one.
            self.remote.end(at_once=True)

    @property
    def _waits_for_remote(self) -> bool:
        """Whether the other instance's answer may still be replaced."""
        if self.remote is None or self._is_falling_back:
            return False
        return self.remote.is_open

    @property
    def _remote_parts(self) -> int:
        return 0 if self.remote is None else len(self.remote.signatures)

    def _start(self, calls: list[ServiceCall]) -> None:
        # The clock is read once for all parts: reading it costs as much as a step of
        # sending one.
        now_ms = self._context.clock.now_ms()
        for call in calls:
            if not call.start(now_ms):
                self._failed.append(call)

    def _is_over(self) -> bool:
        now_ms = self._context.clock.now_ms()
        if now_ms >= self._plan.give_up_at_ms:
            return True
        self._is_past_end = now_ms >= self._plan.end_at_ms
        if self._is_past_end and self.is_enough:
            return True
        if self._failed or self._must_replace_remote():
            return False
        if self._resend_at_ms < math.inf:
            return False
        return not self.is_open or self.answered == self.total

    async def _wait(self, now_ms: float) -> None:
        plan = self._plan
        moments_ms = [plan.give_up_at_ms, self._hedge_at_ms, self._resend_at_ms]
        if now_ms < plan.end_at_ms:
            moments_ms.append(plan.end_at_ms)
        moments_ms += [
            at_ms
            for at_ms in (plan.silent_at_ms, plan.remote_silent_at_ms)
            if now_ms < at_ms
        ]
        if self._waits_for_remote:
            moments_ms.append(self._remote_due_at_ms())
        self._wake_at_ms = min(moments_ms)
        with self._context.clock.timeout_ms(self._wake_at_ms - now_ms):
            await self._woken.wait()
        if self._woken.is_set():
            self._woken = trio.Event()

    def _wake(self) -> None:
        self._woken.set()

    def _changed(self, call: ServiceCall) -> None:
        if not call.is_settled:
            self._failed.append(call)
            self._wake()
            return
        call.end(at_once=self._context.baseline.is_loaded)
        if self._remote_calls and call in self._remote_calls:
            self._fallback_parts += 1
        else:
            self._own_parts += 1
        if self._is_past_end or self._has_lost_parts or self.answered == self.total:
            self._wake()

    def _retry_failed(self, now_ms: float) -> None:
        failed, self._failed = self._failed, []
        for call in failed:
            if call.is_settled or call.is_open:
                continue
            if not call.send_extra_attempt():
                self._has_lost_parts = True
                self._lost.append(call)
        self._resend_at_ms = self._next_resend_ms(now_ms)

    def _next_resend_ms(self, now_ms: float) -> float:
        """Return when to ask again for parts without which the query fails.

        Load pattern: servers turn work away, or have crashed and are back in a
        moment. A query that ended with its last failed part would lose all others
        with most of its time left. One that cannot have enough in time ends at once.
        """
        open_parts = sum(call.is_open for call in self._all_calls)
        if self.remote is not None and self.remote.is_open:
            open_parts += len(self.remote.services)
        lacking = self._needed - self.answered - open_parts
        if lacking <= 0:
            return math.inf
        latest_ms = self._plan.give_up_at_ms - self._context.baseline.median_ms
        moments_ms = [call.may_send_again_at_ms(now_ms) for call in self._lost]
        if sum(at_ms <= latest_ms for at_ms in moments_ms) < lacking:
            return math.inf
        return min(moments_ms)

    def _hedge(self, now_ms: float) -> None:
        baseline_ms = self._context.baseline.median_ms
        if now_ms + _LAST_HEDGE_FACTOR * baseline_ms > self._plan.end_at_ms:
            return
        for call in self._all_calls:
            if not call.is_settled and call.is_open:
                call.send_extra_attempt()

    def _remote_due_at_ms(self) -> float:
        """Return when the other instance is to be looked at next."""
        if self.remote is None:
            return math.inf
        if self._liveness_probe is not None:
            return self._liveness_probe.next_at_ms
        return self._remote_started_ms + self.remote.late_ms

    def _is_given_up(self, remote: RemoteCall, now_ms: float) -> bool:
        """Return whether the parts of an open remote call are asked from here."""
        if self._liveness_probe is None:
            return now_ms >= self._remote_due_at_ms()
        if not self._liveness_probe.is_lost(now_ms):
            return False
        remote.peer.record_liveness_failure(now_ms)
        # Nothing comes any more; counted as open it would hold up a query whose
        # other parts have failed.
        remote.end(at_once=True)
        return True

    def _must_replace_remote(self) -> bool:
        """Return whether the other instance has failed and was not replaced."""
        if self.remote is None or self._is_falling_back or self.remote.is_open:
            return False
        return not self.remote.signatures

    def _ask_remote(self, plan: RemotePlan) -> None:
        assert self._start_remote is not None
        self._remote_started_ms = self._context.clock.now_ms()
        self.remote = self._start_remote(plan, False, self._wake)
        if self._start_liveness_probe is not None:
            self._liveness_probe = self._start_liveness_probe(self.remote, self._wake)

    def _check_remote(self, now_ms: float) -> None:
        """Ask from here if the other instance refuses, fails or is silent.

        It may have asked its servers already, so that asking them again
        counts as extra and must not reach more servers than the route allows;
        that holds if a service has no more of them.
        """
        remote = self.remote
        if remote is None or self._is_falling_back:
            return
        is_given_up = remote.is_open and self._is_given_up(remote, now_ms)
        if not is_given_up and not self._must_replace_remote():
            return
        self._is_falling_back = True
        # The first choice may be a server that has fallen silent together with
        # the instance; these parts are hedged in their turn.
        self._hedge_at_ms = now_ms + self._context.baseline.late_ms
        self._remote_calls = [
            ServiceCall(name, self._context, self._changed) for name in remote.services
        ]
        self._all_calls += self._remote_calls
        if not remote.may_have_run:
            # It may still wait for a connection, and would go out later.
            remote.end(at_once=True)
            self._start(self._remote_calls)
            return
        for call in self._remote_calls:
            if call.has_no_more_servers_than_attempts:
                call.send_extra_attempt()

    def _is_silent(self, now_ms: float) -> bool:
        """Return whether no server that was asked has replied anything.

        An instance that was asked for parts replies only once, near the end; until
        then its silence says nothing.
        """
        if self.answered or now_ms < self._plan.silent_at_ms:
            return False
        remote = self.remote
        if remote is not None and remote.is_open:
            is_due = now_ms >= self._plan.remote_silent_at_ms
            return is_due and remote.is_silent
        return all(call.is_silent_since(self._started_ms) for call in self._all_calls)


def _replies(calls: Sequence[ServiceCall]) -> list[BackendReply]:
    return [call.reply for call in calls if call.reply is not None]
