"""A query whose scatter-gather another instance runs."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, TypeAlias

import trio

if TYPE_CHECKING:
    from ibisfront.gateway.instances.liveness_probe import StartLivenessProbe
    from ibisfront.gateway.queries.remote_call import RemoteCall, RemotePlan
    from ibisfront.gateway.queries.service_call import CallContext, ServiceCall
    from ibisfront.gateway.servers.server import Server
    from ibisfront.gateway.state.configuration import Gathering

__all__ = ["CoordinatedQuery", "NextCoordinator", "RecordNoRoom", "StartRemoteCall"]

_MAX_REFUSALS = 4
"""Refusals before a query is abandoned: both coordinators of the own zone may have an
older configuration, and so may one of another zone."""

_MAX_UNREACHABLE = 2
"""Coordinators that may report the servers unreachable: two in a zone mean that the
zone is partitioned. Other coordinators are behind the partition too; trying them
would only use up the time that the caller has left to retry in another zone."""

StartRemoteCall: TypeAlias = (
    "Callable[[RemotePlan, bool, Callable[[], None]], RemoteCall]"
)
"""Sends a query to an instance, with whether servers may have received it already."""

NextCoordinator: TypeAlias = "Callable[[Sequence[Server]], RemotePlan | None]"
"""Returns a plan for a coordinator that was not tried yet, or None."""

RecordNoRoom: TypeAlias = "Callable[[Server, float], None]"
"""Records that a coordinator has no room until a time."""


class CoordinatedQuery:
    """One query while another instance coordinates it; used once.

    A coordinator that refuses the query is replaced at once. One that is lost while it
    runs the query is replaced once, if the query may be retried; otherwise the caller
    gets an error while there is time to retry.

    Parameters
    ----------
    gathering : Gathering
        The services and the minimum coverage.
    context : CallContext
        The context of the request.
    start_liveness_probe : callable
        Starts the liveness probe of an instance.
    plan : RemotePlan
        The first coordinator.
    start_remote : callable
        Sends the query to a coordinator.
    next_plan : callable
        Returns the next coordinator.
    give_up_at_ms : float
        When the query is abandoned.
    may_retry : bool
        Whether the query may run again after a coordinator was lost.
    record_no_room : callable, optional
        Records that a coordinator has no room.

    Attributes
    ----------
    remote : RemoteCall
        The call to the coordinator that was tried last.
    ended_unresponsive : bool
        Whether it was abandoned because that coordinator failed its liveness probe.
    room_at_ms : float or None
        When the first of the coordinators that had no room will have some.
    """

    __slots__ = (
        "_context",
        "_gathering",
        "_give_up_at_ms",
        "_has_retried",
        "_may_have_arrived",
        "_may_have_run",
        "_may_retry",
        "_next_plan",
        "_plan",
        "_record_no_room",
        "_start_liveness_probe",
        "_start_remote",
        "_tried",
        "_unreachable_count",
        "_woken",
        "ended_unresponsive",
        "remote",
        "room_at_ms",
    )

    def __init__(
        self,
        gathering: Gathering,
        context: CallContext,
        *,
        start_liveness_probe: StartLivenessProbe,
        plan: RemotePlan,
        start_remote: StartRemoteCall,
        next_plan: NextCoordinator,
        give_up_at_ms: float,
        may_retry: bool,
        record_no_room: RecordNoRoom | None = None,
    ) -> None:
        self._gathering = gathering
        self._context = context
        self._start_liveness_probe = start_liveness_probe
        self._plan = plan
        self._start_remote = start_remote
        self._next_plan = next_plan
        self._give_up_at_ms = give_up_at_ms
        self._may_retry = may_retry
        self._record_no_room = record_no_room
        self._has_retried = False
        self._may_have_arrived = False
        self._may_have_run = False
        self._unreachable_count = 0
        self._tried: list[Server] = []
        self._woken = trio.Event()
        self.ended_unresponsive = False
        self.remote: RemoteCall | None = None
        self.room_at_ms: float | None = None

    @property
    def total_parts(self) -> int:
        """Number of parts of a complete answer."""
        return len(self._gathering.services)

    @property
    def received_parts(self) -> int:
        """Number of parts received."""
        return 0 if self.remote is None else len(self.remote.signatures)

    @property
    def has_enough_parts(self) -> bool:
        """Whether the parts received suffice for an answer."""
        return self.received_parts >= self._gathering.needed_parts

    @property
    def may_have_run(self) -> bool:
        """Whether any part may have run."""
        is_running = self.remote is not None and self.remote.may_have_run
        return self._may_have_run or is_running

    @property
    def may_have_arrived(self) -> bool:
        """Whether any server may have received a part, even if it rejected it."""
        has_arrived = self.remote is not None and self.remote.may_have_arrived
        return self._may_have_arrived or has_arrived

    @property
    def is_survived(self) -> bool:
        """Whether any server has run a part to its end."""
        return bool(self.received_parts)

    @property
    def servers_lost(self) -> int:
        """Always 0: the coordinator records what its servers do."""
        return 0

    @property
    def is_open(self) -> bool:
        """Whether an answer may still come."""
        return self.remote is not None and self.remote.is_open

    @property
    def missing_calls(self) -> list[ServiceCall]:
        """Always empty: this instance sends no sub-requests itself."""
        return []

    def answer(self) -> tuple[list[bytes], list[bytes]]:
        """Return the signatures and the records of the parts received."""
        if self.remote is None:
            return [], []
        return self.remote.signatures, [self.remote.records]

    async def run(self) -> None:
        """Run the query until it is answered or cannot be."""
        remote = self._start_call(self._plan)
        while True:
            is_lost = await self._wait_for(remote)
            has_time = self._context.clock.now_ms() < self._give_up_at_ms
            if remote.has_answered or not has_time:
                return
            plan = self._plan_after(remote)
            if plan is None:
                self.ended_unresponsive = is_lost
                return
            remote.end(at_once=True)
            remote = self._start_call(plan)

    def end(self, *, at_once: bool) -> None:
        """Stop waiting for the answer.

        The coordinator sends all parts in one reply, so the connection is closed
        whatever ``at_once`` says, which cancels its work.
        """
        if self.remote is not None:
            self.remote.end(at_once=True)

    def _start_call(self, plan: RemotePlan) -> RemoteCall:
        remote = self._start_remote(plan, self._may_have_arrived, self._wake)
        self.remote = remote
        return remote

    def _plan_after(self, remote: RemoteCall) -> RemotePlan | None:
        """Return the plan after a coordinator without an answer, or None to stop."""
        self._tried.append(remote.peer)
        self._may_have_arrived = self._may_have_arrived or remote.may_have_arrived
        if remote.may_have_run:
            self._may_have_run = True
            if self._has_retried or not self._may_retry:
                return None
            self._has_retried = True
        if remote.room_at_ms is not None:
            self._apply_no_room(remote.peer, remote.room_at_ms)
        self._unreachable_count += remote.servers_unreachable
        if self._unreachable_count >= _MAX_UNREACHABLE:
            return None
        if len(self._tried) >= _MAX_REFUSALS:
            return None
        plan = self._next_plan(self._tried)
        if plan is not None:
            cause = "refused" if remote.is_refused else "lost"
            peer_id = plan.peer.entry.server_id
            now_ms = self._context.clock.now_ms()
            self._context.trace.record(now_ms, "gathered_again", "", peer_id, cause)
        return plan

    def _apply_no_room(self, peer: Server, room_at_ms: float) -> None:
        """Pass on the time of the coordinator that will have room first.

        Its place for the caller is there; another one is tried only if it has room.
        """
        if self.room_at_ms is None or room_at_ms < self.room_at_ms:
            self.room_at_ms = room_at_ms
        if self._record_no_room is not None:
            self._record_no_room(peer, room_at_ms)

    async def _wait_for(self, remote: RemoteCall) -> bool:
        """Wait for a coordinator's answer; return whether the coordinator was lost."""
        clock = self._context.clock
        probe = self._start_liveness_probe(remote, self._wake)
        try:
            while remote.is_open:
                now_ms = clock.now_ms()
                if now_ms >= self._give_up_at_ms:
                    return False
                if probe.is_lost(now_ms):
                    remote.peer.record_liveness_failure(now_ms)
                    return True
                until_ms = min(probe.next_at_ms, self._give_up_at_ms)
                with clock.timeout_ms(until_ms - now_ms):
                    await self._woken.wait()
                if self._woken.is_set():
                    self._woken = trio.Event()
        finally:
            probe.end()
        return False

    def _wake(self) -> None:
        self._woken.set()
