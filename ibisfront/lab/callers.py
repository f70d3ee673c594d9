"""Callers: independent, with a deadline, who come again after a failure."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec
import trio

from ibisfront.gateway.messages import CallerReply, InboundRequest
from ibisfront.lab.connections import MISSING, RETRY_AFTER_MS
from ibisfront.lab.deployment import HOST
from ibisfront.lab.results import Outcome, Recorder

if TYPE_CHECKING:
    import numpy as np

    from ibisfront.core.clock import Clock
    from ibisfront.gateway.gateway import Gateway
    from ibisfront.lab.pattern import Pattern, Queries

__all__ = ["Arrival", "Callers", "arrivals"]

_OK = 200
_UNAVAILABLE = 503
_LONGEST_WAIT_SHARE = 1.0 / 3.0
"""Share of the time left for which a caller waits before it comes again."""


class Arrival(msgspec.Struct, frozen=True, order=True):
    """One caller.

    Attributes
    ----------
    at_ms : float
        When it comes, from the start of the load.
    kind : int
        Which of the pattern's queries it asks.
    is_impatient : bool
        Whether it leaves before its deadline.
    instances : tuple of int
        Which instances the balancer sends its tries to.
    """

    at_ms: float
    kind: int
    is_impatient: bool
    instances: tuple[int, ...]


def arrivals(pattern: Pattern, random: np.random.Generator) -> list[Arrival]:
    """Return all callers of a run, in order."""
    found = []
    for kind, queries in enumerate(pattern.queries):
        at_s = 0.0
        most_per_s = queries.per_s * _most_load(pattern)
        while True:
            at_s += float(random.exponential(1.0 / most_per_s))
            if at_s >= pattern.duration_s:
                break
            if random.random() * most_per_s >= queries.per_s * _load(pattern, at_s):
                continue
            instances = random.integers(pattern.gatherers, size=queries.retries + 1)
            found.append(
                Arrival(
                    at_s * 1000.0,
                    kind,
                    bool(random.random() < queries.impatient),
                    tuple(int(number) for number in instances),
                )
            )
    return sorted(found)


def _load(pattern: Pattern, at_s: float) -> float:
    wave = math.sin(2.0 * math.pi * at_s / pattern.period_s)
    load = 1.0 + pattern.swing * wave
    for burst in pattern.bursts:
        if burst.from_s <= at_s < burst.from_s + burst.for_s:
            load *= burst.factor
    return load


def _most_load(pattern: Pattern) -> float:
    bursts = [burst.factor for burst in pattern.bursts if burst.factor > 1.0]
    return (1.0 + pattern.swing) * math.prod(bursts)


class Callers:
    """Plays the callers of a run.

    Parameters
    ----------
    pattern : Pattern
        What they ask.
    gateways : list of Gateway
        Whom they ask.
    recorder : Recorder
        Takes what came of it.
    clock : Clock
        The virtual clock.
    """

    __slots__ = ("_clock", "_count", "_gateways", "_pattern", "_recorder", "_start_ms")

    def __init__(
        self,
        pattern: Pattern,
        *,
        gateways: list[Gateway],
        recorder: Recorder,
        clock: Clock,
    ) -> None:
        self._pattern = pattern
        self._gateways = gateways
        self._recorder = recorder
        self._clock = clock
        self._count = 0
        self._start_ms = clock.now_ms()

    async def run(self, coming: list[Arrival]) -> None:
        """Let all of them come, and wait until the last has gone."""
        async with trio.open_nursery() as nursery:
            for arrival in coming:
                due_ms = self._start_ms + arrival.at_ms
                await self._clock.sleep_ms(due_ms - self._clock.now_ms())
                nursery.start_soon(self._come, arrival)

    async def _come(self, arrival: Arrival) -> None:
        queries = self._pattern.queries[arrival.kind]
        started_ms = self._clock.now_ms()
        reply: CallerReply | None = None
        wait_ms = queries.patience_ms if arrival.is_impatient else queries.deadline_ms
        with self._clock.timeout_ms(wait_ms) as scope:
            reply = await self._ask(arrival, queries, started_ms + queries.deadline_ms)
        took_ms = self._clock.now_ms() - started_ms
        has_left = arrival.is_impatient and scope.cancelled_caught
        outcome = _outcome(queries, reply, took_ms, has_left=has_left)
        self._recorder.note(
            queries.name,
            outcome,
            came_s=arrival.at_ms / 1000.0,
            took_ms=took_ms,
            earned=_earned(queries, outcome, reply, self._pattern.shards),
            owed=queries.worth,
        )

    async def _ask(
        self, arrival: Arrival, queries: Queries, until_ms: float
    ) -> CallerReply:
        """Ask, and ask again as often as such callers do."""
        reply = CallerReply(0, [], b"", "")
        for number in arrival.instances:
            left_ms = until_ms - self._clock.now_ms()
            gateway = self._gateways[number]
            reply = await gateway.answer(self._request(arrival, queries, left_ms))
            if reply.status == _OK or number is arrival.instances[-1]:
                break
            left_ms = until_ms - self._clock.now_ms()
            await self._clock.sleep_ms(_wait_ms(reply, left_ms))
        return reply

    def _request(
        self, arrival: Arrival, queries: Queries, left_ms: float
    ) -> InboundRequest:
        self._count += 1
        return InboundRequest(
            method=b"GET",
            target=f"/{queries.name}/{arrival.kind}".encode(),
            host=HOST,
            request_id=str(self._count),
            deadline_ms=left_ms,
            headers=[],
            body=b"",
            arrived_at_ms=self._clock.now_ms(),
        )


def _wait_ms(reply: CallerReply, left_ms: float) -> float:
    if reply.status != _UNAVAILABLE:
        return 0.0
    asked_ms = float(dict(reply.headers).get(RETRY_AFTER_MS, b"0"))
    return min(asked_ms, left_ms * _LONGEST_WAIT_SHARE)


def _outcome(
    queries: Queries, reply: CallerReply | None, took_ms: float, *, has_left: bool
) -> Outcome:
    if has_left:
        return Outcome.LEFT
    if reply is None or reply.status not in (_OK, _UNAVAILABLE):
        return Outcome.UNSERVED
    if reply.status == _UNAVAILABLE:
        return Outcome.REFUSED
    return Outcome.IN_TIME if took_ms <= queries.objective_ms else Outcome.LATE


def _earned(
    queries: Queries, outcome: Outcome, reply: CallerReply | None, shards: int
) -> float:
    if reply is None or outcome not in (Outcome.IN_TIME, Outcome.LATE):
        return 0.0
    missing = int(dict(reply.headers).get(MISSING, b"0"))
    share = (shards - missing) / shards
    worth = queries.worth * share * share
    return worth if outcome is Outcome.IN_TIME else worth * queries.late_worth
