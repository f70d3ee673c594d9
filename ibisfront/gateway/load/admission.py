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
from typing import TYPE_CHECKING, cast

from ibisfront.core.fair_queue import FairQueue
from ibisfront.gateway.load.applicant import (
    NEW,
    RETURNED,
    Applicant,
    Refusal,
    Verdict,
)
from ibisfront.gateway.load.arrival_rates import ArrivalRates
from ibisfront.gateway.load.enough_room import has_room
from ibisfront.gateway.load.kept_places import KeptPlaces

if TYPE_CHECKING:
    from collections.abc import Callable

    from ibisfront.gateway.load.service_room import ServiceRoom

__all__ = ["AdmissionQueue"]

_ERROR_MARGIN = 1.25
"""Factor on an expected wait before it counts against a deadline: a request that is
held and then refused has cost its caller more than one that is refused at once."""

_MAX_WAITING = 512
"""Waiting requests, a bound on memory; estimated waits are far longer by then."""

_UNKNOWN_WAIT_MS = 150.0
"""Time to come back if no server is usable, which says nothing about when one will
be: long enough for a failed server to be tried again."""


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
        self._rates = ArrivalRates()
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
        self._rates.record(applicant.rank, now_ms)
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
        if self._may_wait(applicant, wait_ms, now_ms):
            self._push(applicant, now_ms)
            self._bound()
            if applicant.refusal is not None:
                return Verdict.REFUSE, applicant.refusal
            return Verdict.WAIT, None
        return Verdict.REFUSE, self._refuse(
            "no_room", applicant, wait_ms, place_ms, ahead, now_ms
        )

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

    def _may_wait(self, applicant: Applicant, wait_ms: float, now_ms: float) -> bool:
        """Return whether a request can be served before its deadline if it waits.

        One that will miss its objective waits too: refused, it would come back to an
        instance that may not know its place.
        """
        return wait_ms * _ERROR_MARGIN <= applicant.latest_start_ms - now_ms

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
        if not applicant.would_return(place_ms, now_ms):
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
        if applicant.purpose == NEW:
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
                queued[place.workspace, RETURNED] += 1
        return more_urgent

    def _wait_ms(
        self, applicant: Applicant, room: ServiceRoom, ahead: int, now_ms: float
    ) -> float:
        """Return the expected wait, with what later arrivals take before it."""
        queued_ms = (ahead + self.starting) * room.interval_ms
        is_on_time = applicant.can_meet_objective(now_ms + room.wait_ms + queued_ms)
        taken = self._rates.share_taken(
            applicant.rank,
            interval_ms=room.interval_ms,
            is_on_time=is_on_time,
            now_ms=now_ms,
        )
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
        returned = queued[applicant.workspace, RETURNED]
        # New callers take the other turns as long as more of them arrive.
        queued[applicant.workspace, NEW] = max(
            queued[applicant.workspace, NEW], returned
        )
        ahead += _turns_before(applicant.workspace, RETURNED, queued)
        taken = self._rates.share_taken(
            applicant.rank,
            interval_ms=room.interval_ms,
            is_on_time=True,
            now_ms=now_ms,
        )
        queued_ms = (ahead + self.starting) * room.interval_ms
        return room.wait_ms + queued_ms / (1.0 - taken)

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
    other = NEW if row == RETURNED else RETURNED
    own = queued[workspace, row]
    own += min(queued[workspace, other], own + 1)
    totals: Counter[str] = Counter()
    for (name, _), count in queued.items():
        totals[name] += count
    return own + sum(
        min(count, own + 1) for name, count in totals.items() if name != workspace
    )
