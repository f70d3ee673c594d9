"""Who is let in, who waits, and who is refused when servers lack room.

Load pattern: a burst of several times the usual load while part of a service's servers
is down or slow. Requests that are all taken wait at the servers until their deadlines
have passed, and a query that lacks one part has used the slots of all others. A request
therefore waits here, before any sub-request, unless it would be late for its deadline;
then it is refused on arrival, and the refusal says when there will be room.

The order is: urgent ranks first; in a rank, requests that can still meet their latency
objective first; then the workspaces in turn. In a workspace, callers that come back
when they were told to and new ones take turns, each by arrival: the former are served
in the order in which they were refused, and the latter still meet their objective.
"""

from __future__ import annotations

import math
from collections import Counter
from enum import StrEnum
from typing import TYPE_CHECKING, cast

import msgspec
import trio

from ibisfront.core.fair_queue import FairQueue, Waiter
from ibisfront.gateway.load.kept_places import KeptPlaces
from ibisfront.gateway.load.service_room import ServiceRoom

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

__all__ = [
    "AdmissionQueue",
    "Applicant",
    "Refusal",
    "Verdict",
    "deciding_room",
    "has_room",
]

_ERROR_MARGIN = 1.25
"""Factor on an expected wait before it counts against a deadline: a request that is
held and then refused has cost its caller more than one that is refused at once."""

_HONOURED_SHARE = 1.0 / 3.0
"""Share of the time left up to which callers honour a time to come back."""

_MAX_WAITING = 512
"""Waiting requests, a bound on memory; estimated waits are far longer by then."""

_RATE_WINDOW_MS = 500.0
"""Time constant of the rate of arrivals: some waits long, short against a burst."""

_MAX_PREEMPTED_SHARE = 0.9
"""Largest share of the room that later, more urgent requests are expected to take."""

_UNKNOWN_WAIT_MS = 150.0
"""Time to come back if no server is usable, which says nothing about when one will
be: long enough for a failed server to be tried again."""

_NEW, _RETURNED = "new", "returned"


class Verdict(StrEnum):
    """What becomes of a request on arrival."""

    LET_IN = "let_in"
    WAIT = "wait"
    REFUSE = "refuse"


class Refusal(msgspec.Struct, frozen=True):
    """Why a request is refused, and when to come back.

    Attributes
    ----------
    reason : str
        ``no_room`` on arrival, ``no_room_in_time`` after a wait, ``queue_full`` if it
        gave way to others.
    retry_after_ms : float
        Time until there will be room for this caller.
    wait_ms : float
        The expected wait that decided it; infinite without a usable server.
    ahead : int
        Requests and kept places that go first.
    """

    reason: str
    retry_after_ms: float
    wait_ms: float
    ahead: int


class Applicant(Waiter):
    """One request that asks to be let in.

    Parameters
    ----------
    rank : int
        Its rank, kept while it waits; 0 is the most urgent.
    workspace : str
        The workspace that it counts against.
    identity : bytes
        What tells a caller that comes back from others.
    work_ms : float
        Time in which it is served, without a wait, nearly always.
    turn_ms : float
        Usual time for which one of its sub-requests occupies a slot.
    deadline_at_ms : float
        When its answer must be ready.
    objective_at_ms : float
        Latest time of an answer that meets the latency objective; infinite if none
        can meet it.
    objective_ms : float
        The latency objective of its route.

    Attributes
    ----------
    refusal : Refusal or None
        Set if it is refused while it waits.
    woken : trio.Event
        Set when it is let in, refused, or to look after the queue.
    since_ms : float
        When it began to wait.
    """

    __slots__ = (
        "deadline_at_ms",
        "identity",
        "objective_at_ms",
        "objective_ms",
        "rank",
        "refusal",
        "since_ms",
        "turn_ms",
        "woken",
        "work_ms",
    )

    def __init__(
        self,
        *,
        rank: int,
        workspace: str,
        identity: bytes,
        work_ms: float,
        turn_ms: float,
        deadline_at_ms: float,
        objective_at_ms: float,
        objective_ms: float,
    ) -> None:
        super().__init__(workspace, _NEW, weight=1.0, urgent=False)
        self.rank = rank
        self.identity = identity
        self.work_ms = work_ms
        self.turn_ms = turn_ms
        self.deadline_at_ms = deadline_at_ms
        self.objective_at_ms = objective_at_ms
        self.objective_ms = objective_ms
        self.refusal: Refusal | None = None
        self.since_ms = 0.0
        self.woken = trio.Event()

    def start(self) -> None:
        """Let it in."""
        super().start()
        self.woken.set()

    def rearm(self) -> None:
        """Wait for the next wake-up."""
        if self.woken.is_set():
            self.woken = trio.Event()

    @property
    def workspace(self) -> str:
        """The workspace that it counts against."""
        return self.branch

    @property
    def latest_start_ms(self) -> float:
        """Latest start with which it can be served before its deadline."""
        return self.deadline_at_ms - self.work_ms

    def can_meet_objective(self, start_ms: float) -> bool:
        """Return whether it meets its objective if it starts at a time."""
        if math.isinf(self.objective_at_ms):
            return False
        return start_ms + self.work_ms <= self.objective_at_ms

    def mark_returned(self, now_ms: float) -> None:
        """Let it take turns with new callers, with an objective of its own."""
        self.purpose = _RETURNED
        self.objective_at_ms = now_ms + self.objective_ms


def deciding_room(rooms: Iterable[ServiceRoom], needed: int) -> ServiceRoom:
    """Return the room of the service that decides when enough parts can start.

    Parameters
    ----------
    rooms : iterable of ServiceRoom
        The rooms of all services of a request.
    needed : int
        Number of services that it needs; the last of these decides, not the mean.
    """
    if needed <= 0:
        return ServiceRoom()
    ordered = sorted(rooms, key=lambda room: room.wait_ms)
    if needed > len(ordered):
        return ServiceRoom(wait_ms=math.inf)
    return ordered[needed - 1]


def has_room(room: ServiceRoom, turn_ms: float, *, starting: int = 0) -> bool:
    """Return whether one more request may go on to the servers.

    One turn of work, or the next start if these are rarer, waits at the servers'
    windows, so that none of them is idle while a query waits for its last service.

    Parameters
    ----------
    room : ServiceRoom
        Room of the service that decides.
    turn_ms : float
        Usual time for which a sub-request occupies a slot.
    starting : int
        Requests let in whose sub-requests the room does not show yet.
    """
    wait_ms = room.wait_ms + starting * room.interval_ms
    return wait_ms <= max(turn_ms, room.interval_ms)


class _ArrivalRate:
    """Smoothed rate of arrivals."""

    __slots__ = ("_at_ms", "_value")

    def __init__(self) -> None:
        self._value = 0.0
        self._at_ms = -math.inf

    def record(self, now_ms: float) -> None:
        self._value = self.per_ms(now_ms) * _RATE_WINDOW_MS + 1.0
        self._at_ms = now_ms

    def per_ms(self, now_ms: float) -> float:
        decay = math.exp(-(now_ms - self._at_ms) / _RATE_WINDOW_MS)
        return self._value * decay / _RATE_WINDOW_MS


class AdmissionQueue:
    """The requests of one group of services that wait to be let in.

    Attributes
    ----------
    starting : int
        Requests let in whose sub-requests the estimates do not show yet.
    places : KeptPlaces
        Places of callers that were told when to come back.
    """

    __slots__ = ("_levels", "_rates", "places", "starting")

    def __init__(self) -> None:
        self._levels: dict[tuple[int, bool], FairQueue] = {}
        self._rates: dict[int, _ArrivalRate] = {}
        self.places = KeptPlaces()
        self.starting = 0

    @property
    def waiting(self) -> int:
        """Number of requests that wait."""
        return sum(level.waiting for level in self._levels.values())

    def waiting_by_rank(self) -> dict[int, int]:
        """Return the number of waiting requests by rank."""
        counts: Counter[int] = Counter()
        for (rank, _), level in self._levels.items():
            counts[rank] += level.waiting
        return dict(counts)

    def is_idle(self, now_ms: float) -> bool:
        """Return whether no request waits and no place is kept."""
        return not self.waiting and not self.places.has_any(now_ms)

    def decide(
        self, applicant: Applicant, room: ServiceRoom, now_ms: float
    ) -> tuple[Verdict, Refusal | None]:
        """Decide on a request that has just arrived.

        Parameters
        ----------
        applicant : Applicant
            The request.
        room : ServiceRoom
            Room of the service that decides, for its rank.
        now_ms : float
            The time.
        """
        self._rates.setdefault(applicant.rank, _ArrivalRate()).record(now_ms)
        is_early = False
        due_in_ms = self.places.claim(applicant, now_ms, slack_ms=applicant.turn_ms)
        if due_in_ms is not None:
            is_early = due_in_ms > 0.0
            if not is_early:
                applicant.mark_returned(now_ms)
        if self._has_room(room, applicant) and not self._has_waiting(applicant.rank):
            self.places.release(applicant)
            self.starting += 1
            return Verdict.LET_IN, None
        if not room.is_usable:
            return Verdict.REFUSE, Refusal("no_room", _UNKNOWN_WAIT_MS, math.inf, 0)
        ahead = self._ahead(applicant, room, now_ms)
        wait_ms = self._wait_ms(applicant, room, ahead, now_ms)
        place_ms = self._place_wait_ms(applicant, room, now_ms)
        if is_early and due_in_ms is not None:
            return Verdict.REFUSE, Refusal("no_room", due_in_ms, wait_ms, ahead)
        if self._may_wait(applicant, wait_ms, place_ms, now_ms):
            self._push(applicant, now_ms)
            self._bound()
            if applicant.refusal is not None:
                return Verdict.REFUSE, applicant.refusal
            return Verdict.WAIT, None
        return Verdict.REFUSE, self._refuse(
            "no_room", applicant, wait_ms, place_ms, ahead, now_ms
        )

    def decide_begun(
        self, applicant: Applicant, room: ServiceRoom, now_ms: float
    ) -> Refusal | None:
        """Refuse parts of a query that runs already only if they would be too late."""
        left_ms = applicant.latest_start_ms - now_ms
        if room.wait_ms * _ERROR_MARGIN <= left_ms:
            self.starting += 1
            return None
        retry_ms = room.wait_ms if room.is_usable else _UNKNOWN_WAIT_MS
        return Refusal("no_room", retry_ms, room.wait_ms, self.waiting)

    def let_in_next(
        self, room_of: Callable[[Applicant], ServiceRoom], now_ms: float
    ) -> None:
        """Let in waiting requests while there is room for the first of them."""
        for key in sorted(self._levels, key=_level_order):
            level = self._levels[key]
            while (applicant := cast("Applicant | None", level.peek())) is not None:
                if key[1] and not applicant.can_meet_objective(now_ms):
                    # It goes behind those that can still meet their objective.
                    level.remove(applicant)
                    self._level(applicant.rank, is_on_time=False).push(applicant)
                    continue
                if not self._has_room(room_of(applicant), applicant):
                    return
                level.pop()
                level.finish(applicant)
                self.starting += 1
        self._drop_empty_levels()

    def refuse_hopeless(self, room: ServiceRoom, now_ms: float) -> None:
        """Refuse those that wait with a missed objective and will be too late.

        More urgent arrivals may have taken the room that they waited for; the sooner
        they are refused, the more time their callers have left.

        Parameters
        ----------
        room : ServiceRoom
            Room of the service that decides.
        now_ms : float
            The time.
        """
        for key in sorted(self._levels, key=_level_order):
            if key[1]:
                continue
            before = sum(
                level.waiting
                for other, level in self._levels.items()
                if _level_order(other) < _level_order(key)
            )
            for index, waiter in enumerate(list(self._levels[key].waiters())):
                applicant = cast("Applicant", waiter)
                ahead = before + index
                wait_ms = self._wait_ms(applicant, room, ahead, now_ms)
                if now_ms + wait_ms * _ERROR_MARGIN > applicant.latest_start_ms:
                    applicant.refusal = self.refuse_waiting(applicant, room, now_ms)
                    applicant.woken.set()

    def leave(self, applicant: Applicant) -> None:
        """Remove a request that waits no longer."""
        for (rank, _), level in self._levels.items():
            if rank == applicant.rank and level.contains(applicant):
                level.remove(applicant)
                return

    def refuse_waiting(
        self, applicant: Applicant, room: ServiceRoom, now_ms: float
    ) -> Refusal:
        """Remove a request whose latest start has passed; return its refusal."""
        self.leave(applicant)
        ahead = self._ahead(applicant, room, now_ms)
        wait_ms = self._wait_ms(applicant, room, ahead, now_ms)
        if not math.isfinite(wait_ms):
            return Refusal("no_room_in_time", _UNKNOWN_WAIT_MS, wait_ms, ahead)
        place_ms = self._place_wait_ms(applicant, room, now_ms)
        return self._refuse(
            "no_room_in_time", applicant, wait_ms, place_ms, ahead, now_ms
        )

    def _has_room(self, room: ServiceRoom, applicant: Applicant) -> bool:
        """Return whether a request may go on to the servers."""
        return has_room(room, applicant.turn_ms, starting=self.starting)

    def _has_waiting(self, rank: int) -> bool:
        return any(
            level.waiting and other <= rank
            for (other, _), level in self._levels.items()
        )

    def _may_wait(
        self, applicant: Applicant, wait_ms: float, place_ms: float, now_ms: float
    ) -> bool:
        """Return whether a request waits here rather than come back.

        One that would miss its objective here meets it on a second attempt, if its
        caller honours the time to come back and has enough time left then.
        """
        left_ms = applicant.latest_start_ms - now_ms
        if wait_ms * _ERROR_MARGIN > left_ms:
            return False
        if applicant.can_meet_objective(now_ms + wait_ms):
            return True
        if applicant.purpose == _RETURNED or math.isinf(applicant.objective_at_ms):
            return True
        return not _can_return(applicant, place_ms, now_ms)

    def _refuse(
        self,
        reason: str,
        applicant: Applicant,
        wait_ms: float,
        place_ms: float,
        ahead: int,
        now_ms: float,
    ) -> Refusal:
        """Return a refusal; keep a place if the caller would come back for it."""
        if not _can_return(applicant, place_ms, now_ms):
            return Refusal(reason, max(wait_ms, place_ms), wait_ms, ahead)
        self.places.keep(applicant, due_at_ms=now_ms + place_ms, now_ms=now_ms)
        return Refusal(reason, place_ms, wait_ms, ahead)

    def _ahead(self, applicant: Applicant, room: ServiceRoom, now_ms: float) -> int:
        """Return how many waiting requests and kept places go before a request."""
        is_on_time = applicant.can_meet_objective(now_ms + room.wait_ms)
        ahead = 0
        queued: Counter[tuple[str, str]] = Counter()
        for (rank, on_time), level in self._levels.items():
            if rank > applicant.rank:
                continue
            if rank < applicant.rank or (on_time and not is_on_time):
                ahead += level.waiting
            elif on_time == is_on_time:
                queued.update(level.waiting_by_row())
        if applicant.purpose == _NEW:
            # The places of those that come back are due after this one's.
            ahead += self._count_places(applicant, queued, now_ms)
        return ahead + _turns_before(applicant.workspace, applicant.purpose, queued)

    def _count_places(
        self,
        applicant: Applicant,
        queued: Counter[tuple[str, str]],
        now_ms: float,
    ) -> int:
        """Add the kept places of a rank; return the number of more urgent ones."""
        more_urgent = 0
        for place in self.places.pending(now_ms):
            more_urgent += place.rank < applicant.rank
            if place.rank == applicant.rank:
                queued[place.workspace, _RETURNED] += 1
        return more_urgent

    def _wait_ms(
        self, applicant: Applicant, room: ServiceRoom, ahead: int, now_ms: float
    ) -> float:
        """Return the expected wait, with what later arrivals take before it."""
        queued_ms = (ahead + self.starting) * room.interval_ms
        is_on_time = applicant.can_meet_objective(now_ms + room.wait_ms + queued_ms)
        taken = self._taken(applicant, room, now_ms, is_on_time=is_on_time)
        return room.wait_ms + queued_ms / (1.0 - taken)

    def _place_wait_ms(
        self, applicant: Applicant, room: ServiceRoom, now_ms: float
    ) -> float:
        """Return when a caller's turn comes if it goes and comes back for it.

        Callers that come back take every other turn of their workspace.
        """
        queued: Counter[tuple[str, str]] = Counter()
        ahead = self._count_places(applicant, queued, now_ms)
        for (rank, on_time), level in self._levels.items():
            if rank < applicant.rank:
                ahead += level.waiting
            elif rank == applicant.rank and on_time:
                queued.update(level.waiting_by_row())
        returned = queued[applicant.workspace, _RETURNED]
        # New callers take the other turns as long as more of them arrive.
        queued[applicant.workspace, _NEW] = max(
            queued[applicant.workspace, _NEW], returned
        )
        ahead += _turns_before(applicant.workspace, _RETURNED, queued)
        taken = self._taken(applicant, room, now_ms, is_on_time=True)
        queued_ms = (ahead + self.starting) * room.interval_ms
        return room.wait_ms + queued_ms / (1.0 - taken)

    def _taken(
        self,
        applicant: Applicant,
        room: ServiceRoom,
        now_ms: float,
        *,
        is_on_time: bool,
    ) -> float:
        """Return the share of the room that later arrivals take before a request."""
        rate_per_ms = sum(
            rate.per_ms(now_ms)
            for rank, rate in self._rates.items()
            if rank < applicant.rank or (rank == applicant.rank and not is_on_time)
        )
        return min(rate_per_ms * room.interval_ms, _MAX_PREEMPTED_SHARE)

    def _push(self, applicant: Applicant, now_ms: float) -> None:
        applicant.since_ms = now_ms
        is_on_time = applicant.can_meet_objective(now_ms)
        self._level(applicant.rank, is_on_time=is_on_time).push(applicant)

    def _bound(self) -> None:
        """Refuse the newest least urgent request of the largest workspace if full."""
        if self.waiting <= _MAX_WAITING:
            return
        for key in sorted(self._levels, key=_level_order, reverse=True):
            evicted = self._levels[key].eviction_candidate(0.0)
            if evicted is not None:
                assert isinstance(evicted, Applicant)
                self._levels[key].remove(evicted)
                evicted.refusal = Refusal(
                    "queue_full", _UNKNOWN_WAIT_MS, math.inf, self.waiting
                )
                evicted.woken.set()
                return

    def _level(self, rank: int, *, is_on_time: bool) -> FairQueue:
        key = (rank, is_on_time)
        level = self._levels.get(key)
        if level is None:
            level = self._levels[key] = FairQueue(branch_weight=1.0)
        return level

    def _drop_empty_levels(self) -> None:
        # Ranks come and go with the configuration.
        for key in [key for key, level in self._levels.items() if not level.waiting]:
            del self._levels[key]


def _level_order(key: tuple[int, bool]) -> tuple[int, bool]:
    rank, is_on_time = key
    return rank, not is_on_time


def _turns_before(workspace: str, row: str, queued: Counter[tuple[str, str]]) -> int:
    """Return how many requests of a rank go before one more in a row.

    Workspaces take turns, and in each of them new callers and those that come back.
    """
    other = _NEW if row == _RETURNED else _RETURNED
    own = queued[workspace, row]
    own += min(queued[workspace, other], own + 1)
    totals: Counter[str] = Counter()
    for (name, _), count in queued.items():
        totals[name] += count
    return own + sum(
        min(count, own + 1) for name, count in totals.items() if name != workspace
    )


def _can_return(applicant: Applicant, wait_ms: float, now_ms: float) -> bool:
    """Return whether a caller would come back at a time and could be served then."""
    left_ms = applicant.deadline_at_ms - now_ms
    if wait_ms > _HONOURED_SHARE * left_ms:
        return False
    return wait_ms + applicant.work_ms <= left_ms
