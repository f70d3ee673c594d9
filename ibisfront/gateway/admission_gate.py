"""Holds requests until the servers have room for them, or refuses them."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, TypeAlias

import msgspec
import trio

from ibisfront.core.counters import CounterKind
from ibisfront.gateway.load.admission import AdmissionQueue
from ibisfront.gateway.load.applicant import Applicant, Refusal, Verdict
from ibisfront.gateway.load.enough_room import deciding_room, has_room
from ibisfront.gateway.load.kept_places import caller_identity
from ibisfront.gateway.load.service_room import ServiceRoom
from ibisfront.gateway.route_state import give_up_at_ms

if TYPE_CHECKING:
    from ibisfront.core.clock import Clock
    from ibisfront.core.counters import Counters
    from ibisfront.gateway.messages import InboundRequest
    from ibisfront.gateway.queries.service_call import CallContext
    from ibisfront.gateway.state.configuration import Route

__all__ = ["AdmissionGate", "ReadRoom"]

_ROOM_TTL_MS = 2.0
"""Age up to which the room of a group is used again; what was let in since counts."""

_LEAST_PAUSE_MS = 5.0
_LONGEST_PAUSE_MS = 20.0
_PAUSE_SHARE = 0.25
"""Pause between two looks at the room while requests wait, as a share of the time
between two starts, and its bounds: a look at a hundred services costs about as much as
sending a few sub-requests."""

_CHECK_MS = 20.0
"""Pause between two looks for requests that wait in vain."""

_MAX_GROUPS = 256
"""Groups kept; a configuration has a few, and versions replace them."""

_WAIT_BOUNDS_MS = (10, 30, 100, 300, 1_000, 3_000)
"""Bounds of the counted waits."""

ReadRoom: TypeAlias = Callable[[str, int, float, float], ServiceRoom]
"""Returns the room of a service, given the rank, the time that its work takes and the
current time in milliseconds."""


class _Group:
    """The requests that need as many of the same services at this instance.

    Those that need fewer may have room while others wait for a scarce service.
    """

    __slots__ = ("at_ms", "check_at_ms", "queue", "readings", "waiting")

    def __init__(self) -> None:
        self.queue = AdmissionQueue()
        self.readings: dict[int, ServiceRoom] = {}
        self.at_ms = 0.0
        self.check_at_ms = 0.0
        self.waiting: dict[Applicant, None] = {}  # an ordered set


class _Demand(msgspec.Struct, frozen=True):
    """What a request needs."""

    services: Sequence[str]
    needed: int
    rank: int
    turn_ms: float


class AdmissionGate:
    """Asked once for each request, before its first sub-request.

    Parameters
    ----------
    clock : Clock
        The tier's clock.
    read_room : callable
        Returns the room of a service.
    counters : Counters
        Counts waits and refusals by rank.
    is_active : callable
        Returns whether requests wait for room at all; otherwise all are let in.
    """

    __slots__ = ("_clock", "_counters", "_groups", "_is_active", "_read_room")

    def __init__(
        self,
        *,
        clock: Clock,
        read_room: ReadRoom,
        counters: Counters,
        is_active: Callable[[], bool],
    ) -> None:
        self._is_active = is_active
        self._clock = clock
        self._counters = counters
        self._read_room = read_room
        self._groups: dict[tuple[int, Sequence[str]], _Group] = {}

    def waiting_by_rank(self) -> dict[int, int]:
        """Return the number of waiting requests by rank."""
        totals: dict[int, int] = {}
        for group in self._groups.values():
            for rank, count in group.queue.waiting_by_rank().items():
                totals[rank] = totals.get(rank, 0) + count
        return totals

    async def enter(
        self,
        request: InboundRequest,
        route: Route,
        context: CallContext,
        *,
        services: Sequence[str],
        needed: int,
        objective_at_ms: Callable[[], float],
    ) -> Refusal | None:
        """Wait until a request may go on; return why not if it may not.

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
        """
        if needed <= 0 or not self._is_active():
            return None
        now_ms = self._clock.now_ms()
        baseline = context.baseline
        turn_ms = min(baseline.unloaded_ms, baseline.median_ms)
        demand = _Demand(services, needed, context.rank, turn_ms)
        key = (needed, tuple(services))
        group = self._groups.get(key)
        room = self._room(group, demand, now_ms)
        if has_room(room, turn_ms) and (group is None or group.queue.is_idle(now_ms)):
            return None
        if len(services) == 1 and not room.is_usable:
            # Its one sub-request shows whether a server is back.
            return None
        applicant = Applicant(
            rank=context.rank,
            workspace=request.workspace,
            identity=caller_identity(request),
            work_ms=baseline.late_ms,
            turn_ms=turn_ms,
            deadline_at_ms=give_up_at_ms(request, route),
            objective_at_ms=objective_at_ms(),
            objective_ms=route.objective_ms,
        )
        if group is None:
            group = self._add_group(key, now_ms)
        verdict, refusal = group.queue.decide(applicant, room, now_ms)
        if verdict is Verdict.WAIT:
            refusal = await self._wait(group, demand, applicant)
        if refusal is not None:
            rank = applicant.rank
            self._counters.add(CounterKind.ADMISSIONS, f"refused_rank_{rank}")
        return refusal

    def _add_group(self, key: tuple[int, Sequence[str]], now_ms: float) -> _Group:
        if len(self._groups) >= _MAX_GROUPS:
            for other, group in list(self._groups.items()):
                if not group.waiting and group.queue.is_idle(now_ms):
                    del self._groups[other]
        group = self._groups[key] = _Group()
        return group

    async def _wait(
        self, group: _Group, demand: _Demand, applicant: Applicant
    ) -> Refusal | None:
        """Wait for a place; the first of those that wait looks after the room."""
        clock = self._clock
        group.waiting[applicant] = None
        try:
            while not applicant.started and self._is_active():
                now_ms = clock.now_ms()
                if applicant.refusal is not None:
                    return applicant.refusal
                if now_ms >= applicant.latest_start_ms:
                    room = self._room(group, demand, now_ms)
                    return group.queue.refuse_waiting(applicant, room, now_ms)
                pause_ms = applicant.latest_start_ms - now_ms
                if applicant is next(iter(group.waiting)):
                    pause_ms = min(pause_ms, self._pause_ms(group, demand, now_ms))
                with clock.timeout_ms(pause_ms):
                    await applicant.woken.wait()
                applicant.rearm()
                if applicant is next(iter(group.waiting)):
                    self._let_in(group, demand)
        except trio.Cancelled:
            self._counters.add(CounterKind.CANCELLATIONS, "asker_left_waiting")
            raise
        finally:
            self._stop_waiting(group, applicant)
        self._record_wait(applicant)
        return None

    def _pause_ms(self, group: _Group, demand: _Demand, now_ms: float) -> float:
        room = self._room(group, demand, now_ms)
        pause_ms = _PAUSE_SHARE * room.interval_ms
        return min(max(pause_ms, _LEAST_PAUSE_MS), _LONGEST_PAUSE_MS)

    def _let_in(self, group: _Group, demand: _Demand) -> None:
        now_ms = self._clock.now_ms()

        def room_of(applicant: Applicant) -> ServiceRoom:
            own = _Demand(
                demand.services, demand.needed, applicant.rank, applicant.turn_ms
            )
            return self._room(group, own, now_ms)

        group.queue.let_in_next(room_of, now_ms)
        if now_ms >= group.check_at_ms:
            group.check_at_ms = now_ms + _CHECK_MS
            group.queue.refuse_hopeless(self._room(group, demand, now_ms), now_ms)

    def _stop_waiting(self, group: _Group, applicant: Applicant) -> None:
        """Give up a place; the next request that waits looks after the room."""
        is_first = applicant is next(iter(group.waiting))
        del group.waiting[applicant]
        if not applicant.started:
            group.queue.leave(applicant)
        if is_first and group.waiting:
            next(iter(group.waiting)).woken.set()

    def _record_wait(self, applicant: Applicant) -> None:
        wait_ms = self._clock.now_ms() - applicant.since_ms
        bound = next((item for item in _WAIT_BOUNDS_MS if wait_ms <= item), None)
        until = "more" if bound is None else f"{bound}_ms"
        reason = f"waited_rank_{applicant.rank}_up_to_{until}"
        self._counters.add(CounterKind.ADMISSIONS, reason)

    def _room(
        self, group: _Group | None, demand: _Demand, now_ms: float
    ) -> ServiceRoom:
        """Return the room of the service that decides."""
        if group is None:
            return self._read(demand, now_ms)
        if now_ms - group.at_ms > _ROOM_TTL_MS:
            group.readings.clear()
            group.at_ms = now_ms
            group.queue.starting = 0
        room = group.readings.get(demand.rank)
        if room is None:
            room = group.readings[demand.rank] = self._read(demand, now_ms)
        return room

    def _read(self, demand: _Demand, now_ms: float) -> ServiceRoom:
        return deciding_room(
            (
                self._read_room(name, demand.rank, demand.turn_ms, now_ms)
                for name in demand.services
            ),
            demand.needed,
        )
