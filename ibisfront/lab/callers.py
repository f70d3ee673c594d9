"""Simulated callers: independent arrivals with a deadline that retry failed queries."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec
import trio

from ibisfront.gateway.messages import CallerReply, InboundRequest
from ibisfront.lab.connections import MISSING_SHARDS, RETRY_AFTER_MS
from ibisfront.lab.deployment import HOST
from ibisfront.lab.results import Outcome, Recorder

if TYPE_CHECKING:
    import numpy as np

    from ibisfront.core.clock import Clock
    from ibisfront.gateway.gateway import Gateway
    from ibisfront.lab.pattern import Pattern, QueryKind

__all__ = ["Arrival", "Callers", "draw_arrivals"]

_OK = 200
_UNAVAILABLE = 503
_MAX_BACKOFF_FRACTION = 1.0 / 3.0
"""Longest wait before a retry, as a fraction of the time left until the deadline."""


class Arrival(msgspec.Struct, frozen=True, order=True):
    """Arrival of one caller.

    Attributes
    ----------
    at_ms : float
        Arrival time from the start of the load.
    query_index : int
        Index of its query in the pattern's queries.
    is_impatient : bool
        Whether it abandons the query before its deadline.
    instances : tuple of int
        Instances that the load balancer sends its successive attempts to.
    """

    at_ms: float
    query_index: int
    is_impatient: bool
    instances: tuple[int, ...]


def draw_arrivals(pattern: Pattern, random: np.random.Generator) -> list[Arrival]:
    """Draw the arrivals of all callers of a run, sorted by time."""
    arrivals = []
    for query_index, query_kind in enumerate(pattern.queries):
        at_s = 0.0
        peak_per_s = query_kind.per_s * _peak_load(pattern)
        while True:
            at_s += float(random.exponential(1.0 / peak_per_s))
            if at_s >= pattern.duration_s:
                break
            zone = int(random.integers(pattern.zones)) if pattern.swings_by_zone else 0
            load = _relative_load(pattern, at_s, zone=zone)
            if random.random() * peak_per_s >= query_kind.per_s * load:
                continue
            instances = random.integers(pattern.gatherers, size=query_kind.retries + 1)
            if pattern.swings_by_zone:
                # Instance n is in zone n modulo the number of zones.
                instances = (instances // pattern.zones * pattern.zones + zone) % (
                    pattern.gatherers // pattern.zones * pattern.zones
                )
            arrivals.append(
                Arrival(
                    at_s * 1000.0,
                    query_index,
                    bool(random.random() < query_kind.impatient),
                    tuple(int(instance) for instance in instances),
                )
            )
    return sorted(arrivals)


def _relative_load(pattern: Pattern, at_s: float, *, zone: int) -> float:
    phase = zone / pattern.zones
    wave = math.sin(2.0 * math.pi * (at_s / pattern.period_s + phase))
    load = 1.0 + pattern.swing * wave
    for burst in pattern.bursts:
        if burst.from_s <= at_s < burst.from_s + burst.for_s:
            load *= burst.factor
    return load


def _peak_load(pattern: Pattern) -> float:
    bursts = [burst.factor for burst in pattern.bursts if burst.factor > 1.0]
    return (1.0 + pattern.swing) * math.prod(bursts)


class Callers:
    """Simulates the callers of a run.

    Parameters
    ----------
    pattern : Pattern
        Defines the queries.
    gateways : list of Gateway
        Receive the queries.
    recorder : Recorder
        Records the outcomes.
    clock : Clock
        The virtual clock.
    """

    __slots__ = (
        "_clock",
        "_gateways",
        "_pattern",
        "_recorder",
        "_request_count",
        "_start_ms",
    )

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
        self._request_count = 0
        self._start_ms = clock.now_ms()

    async def run(self, arrivals: list[Arrival]) -> None:
        """Start a caller at each arrival, and wait for all of them."""
        async with trio.open_nursery() as nursery:
            for arrival in arrivals:
                due_ms = self._start_ms + arrival.at_ms
                await self._clock.sleep_ms(due_ms - self._clock.now_ms())
                nursery.start_soon(self._run_caller, arrival)

    async def _run_caller(self, arrival: Arrival) -> None:
        query_kind = self._pattern.queries[arrival.query_index]
        started_ms = self._clock.now_ms()
        reply: CallerReply | None = None
        timeout_ms = (
            query_kind.patience_ms if arrival.is_impatient else query_kind.deadline_ms
        )
        with self._clock.timeout_ms(timeout_ms) as scope:
            reply = await self._send_with_retries(
                arrival, query_kind, started_ms + query_kind.deadline_ms
            )
        latency_ms = self._clock.now_ms() - started_ms
        has_abandoned = arrival.is_impatient and scope.cancelled_caught
        outcome = _outcome(query_kind, reply, latency_ms, has_abandoned=has_abandoned)
        self._recorder.record(
            query_kind.name,
            outcome,
            arrived_s=arrival.at_ms / 1000.0,
            latency_ms=latency_ms,
            achieved_worth=_achieved_worth(
                query_kind, outcome, reply, self._pattern.shards
            ),
            full_worth=query_kind.worth,
        )

    async def _send_with_retries(
        self, arrival: Arrival, query_kind: QueryKind, deadline_at_ms: float
    ) -> CallerReply:
        """Send the query, retrying until it succeeds or no attempts remain."""
        reply = CallerReply(0, [], b"", "")
        for instance in arrival.instances:
            remaining_ms = deadline_at_ms - self._clock.now_ms()
            gateway = self._gateways[instance]
            reply = await gateway.answer(
                self._request(arrival, query_kind, remaining_ms)
            )
            if reply.status == _OK or instance is arrival.instances[-1]:
                break
            remaining_ms = deadline_at_ms - self._clock.now_ms()
            await self._clock.sleep_ms(_backoff_ms(reply, remaining_ms))
        return reply

    def _request(
        self, arrival: Arrival, query_kind: QueryKind, remaining_ms: float
    ) -> InboundRequest:
        self._request_count += 1
        return InboundRequest(
            method=b"GET",
            target=f"/{query_kind.name}/{arrival.query_index}".encode(),
            host=HOST,
            request_id=str(self._request_count),
            deadline_ms=remaining_ms,
            headers=[],
            body=b"",
            arrived_at_ms=self._clock.now_ms(),
        )


def _backoff_ms(reply: CallerReply, remaining_ms: float) -> float:
    if reply.status != _UNAVAILABLE:
        return 0.0
    retry_after_ms = float(dict(reply.headers).get(RETRY_AFTER_MS, b"0"))
    return min(retry_after_ms, remaining_ms * _MAX_BACKOFF_FRACTION)


def _outcome(
    query_kind: QueryKind,
    reply: CallerReply | None,
    latency_ms: float,
    *,
    has_abandoned: bool,
) -> Outcome:
    if has_abandoned:
        return Outcome.ABANDONED
    if reply is None or reply.status not in (_OK, _UNAVAILABLE):
        return Outcome.UNSERVED
    if reply.status == _UNAVAILABLE:
        return Outcome.REJECTED
    return Outcome.IN_TIME if latency_ms <= query_kind.objective_ms else Outcome.LATE


def _achieved_worth(
    query_kind: QueryKind, outcome: Outcome, reply: CallerReply | None, shards: int
) -> float:
    if reply is None or outcome not in (Outcome.IN_TIME, Outcome.LATE):
        return 0.0
    missing = int(dict(reply.headers).get(MISSING_SHARDS, b"0"))
    coverage = (shards - missing) / shards
    worth = query_kind.worth * coverage * coverage
    return worth if outcome is Outcome.IN_TIME else worth * query_kind.late_worth
