"""A request that asks to be let in, and what becomes of it."""

from __future__ import annotations

import math
from enum import StrEnum

import msgspec
import trio

from ibisfront.core.fair_queue import Waiter

__all__ = ["NEW", "RETURNED", "Applicant", "Refusal", "Verdict"]

NEW = "new"
RETURNED = "returned"
"""Rows of a workspace: new callers, and those that came back when they were told to."""

_HONOURED_SHARE = 1.0 / 3.0
"""Share of the time left up to which callers honour a time to come back."""


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
        super().__init__(workspace, NEW, weight=1.0, urgent=False)
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
        self.purpose = RETURNED
        self.objective_at_ms = now_ms + self.objective_ms

    def would_return(self, wait_ms: float, now_ms: float) -> bool:
        """Return whether its caller would come back after a time and be in time."""
        left_ms = self.deadline_at_ms - now_ms
        if wait_ms > _HONOURED_SHARE * left_ms:
            return False
        return wait_ms + self.work_ms <= left_ms
