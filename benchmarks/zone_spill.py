"""Comparing rules for spilling to another zone, under trio's mock clock.

Two zones, each with one instance and one server of two slots. For five
seconds zone 1 is offered 1.4 times what its server can do, then the overload
moves to zone 2, then both are back at half load. Run
``python -m benchmarks.zone_spill``.
"""

from __future__ import annotations

import math
import random
import sys
from collections.abc import Callable
from typing import TypeAlias

import msgspec
import trio
import trio.testing

from ibisfront.core.clock import Clock
from ibisfront.core.latency import LatencyHistogram

__all__ = ["RuleFigures", "measure_rule"]

SLOTS = 2
SERVICE_MS = 5.0
CROSS_ZONE_MS = 3.0
PHASE_MS = 5_000.0
LOADS = ((1.4, 0.5), (0.5, 1.4), (0.5, 0.5))
RELEASE = 1
SAMPLE_MS = 100.0
SWITCHES_PER_S_SCALE = 1_000.0

Rule: TypeAlias = Callable[["Zones", int], bool]
"""Whether a request of a zone goes to the other one."""


class Server:
    """One server of a zone: two slots and a queue."""

    __slots__ = ("in_flight", "latency_ms", "slots")

    def __init__(self) -> None:
        self.slots = trio.Semaphore(SLOTS)
        self.in_flight = 0
        self.latency_ms = SERVICE_MS


class Zones:
    """Both zones, and how many requests of each are at the other one.

    Attributes
    ----------
    servers : list of Server
        One for each zone.
    away : list of int
        Requests of a zone that are at the other zone now.
    own : list of list of int
        What a zone's instance has at each server; the rest it cannot see.
    """

    def __init__(self) -> None:
        self.servers = [Server(), Server()]
        self.away = [0, 0]
        self.own = [[0, 0], [0, 0]]


def never(zones: Zones, zone: int) -> bool:
    """Stay in the own zone."""
    return False


def least_wait(zones: Zones, zone: int) -> bool:
    """Go where the expected wait, the way included, is shorter (ours)."""
    own, other = zones.servers[zone], zones.servers[1 - zone]
    near_ms = own.latency_ms * (1 + zones.own[zone][zone] / SLOTS)
    far_ms = other.latency_ms * (1 + zones.own[zone][1 - zone] / SLOTS)
    return near_ms > far_ms + CROSS_ZONE_MS


def threshold(activation: int) -> Rule:
    """Spill while the own requests here outnumber those there by a threshold."""

    def rule(zones: Zones, zone: int) -> bool:
        return zones.own[zone][zone] - zones.own[zone][1 - zone] > activation

    return rule


def two_thresholds(activation: int) -> Rule:
    """Spill above an activation threshold, one way only, until released.

    The paper's control, which lets two systems see each other's queues:
    sharing starts when their difference passes the activation threshold, and
    only while hardly any request of the other zone is still here.
    """

    def rule(zones: Zones, zone: int) -> bool:
        difference = zones.servers[zone].in_flight - zones.servers[1 - zone].in_flight
        return difference > activation and zones.away[1 - zone] <= RELEASE

    return rule


def threshold_or_slow(activation: int, factor: float) -> Rule:
    """Spill by the threshold, or while the own server is that much slower."""
    by_count = threshold(activation)

    def rule(zones: Zones, zone: int) -> bool:
        own, other = zones.servers[zone], zones.servers[1 - zone]
        slow = own.latency_ms > factor * other.latency_ms + CROSS_ZONE_MS
        return slow or by_count(zones, zone)

    return rule


RULES: dict[str, Rule] = {
    "never": never,
    "least wait": least_wait,
    **{f"threshold {count}": threshold(count) for count in (1, 3, 6, 10)},
    "threshold 6 or 4 times slower": threshold_or_slow(6, 4.0),
    **{f"activation {count}, release": two_thresholds(count) for count in (3, 6, 10)},
}


class RuleFigures(msgspec.Struct, frozen=True):
    """What one rule did.

    Attributes
    ----------
    p50_ms, p99_ms : float
        Latency over all phases.
    recovered_p99_ms : float
        Latency in the last phase, after the overload.
    spilled : float
        The share of requests that went to the other zone.
    needless : float
        That share in the last phase, when no zone is overloaded.
    """

    p50_ms: float
    p99_ms: float
    recovered_p99_ms: float
    spilled: float
    needless: float


async def measure_rule(
    rule: Rule, *, seed: int = 1, cost_factor: float = 1.0
) -> RuleFigures:
    """Run all phases under one rule.

    Parameters
    ----------
    rule : callable
        The rule.
    seed : int
        Decides arrivals and service times.
    cost_factor : float
        How much longer the other zone's server takes for a foreign request.
    """
    clock = Clock()
    generator = random.Random(seed)
    zones = Zones()
    whole, last = LatencyHistogram(), LatencyHistogram()
    counts = {"all": 0, "spilled": 0, "last": 0, "last_spilled": 0}

    async def serve(zone: int, target: int) -> None:
        server = zones.servers[target]
        server.in_flight += 1
        zones.own[zone][target] += 1
        started_ms = clock.now_ms()
        async with server.slots:
            service_ms = generator.lognormvariate(math.log(SERVICE_MS), 0.3)
            await clock.sleep_ms(service_ms * (cost_factor if zone != target else 1.0))
        server.in_flight -= 1
        zones.own[zone][target] -= 1
        server.latency_ms += 0.2 * (clock.now_ms() - started_ms - server.latency_ms)

    async def request(zone: int, is_last: bool) -> None:
        started_ms = clock.now_ms()
        away = rule(zones, zone)
        counts["all"] += 1
        counts["spilled"] += away
        counts["last"] += is_last
        counts["last_spilled"] += is_last and away
        if away:
            zones.away[zone] += 1
            await clock.sleep_ms(CROSS_ZONE_MS)
            await serve(zone, 1 - zone)
            zones.away[zone] -= 1
        else:
            await serve(zone, zone)
        duration_ms = clock.now_ms() - started_ms
        whole.record_ms(duration_ms)
        if is_last:
            last.record_ms(duration_ms)

    async def arrive(zone: int, nursery: trio.Nursery) -> None:
        for phase, loads in enumerate(LOADS):
            ends_ms = (phase + 1) * PHASE_MS
            rate_per_ms = loads[zone] * SLOTS / SERVICE_MS
            while clock.now_ms() - begun_ms < ends_ms:
                nursery.start_soon(request, zone, phase == len(LOADS) - 1)
                await clock.sleep_ms(generator.expovariate(rate_per_ms))

    begun_ms = clock.now_ms()
    async with trio.open_nursery() as nursery:
        for zone in (0, 1):
            nursery.start_soon(arrive, zone, nursery)
    return RuleFigures(
        p50_ms=whole.percentile_ms(50.0),
        p99_ms=whole.percentile_ms(99.0),
        recovered_p99_ms=last.percentile_ms(99.0),
        spilled=counts["spilled"] / counts["all"],
        needless=counts["last_spilled"] / counts["last"],
    )


async def _measure_all() -> None:
    heads = "cost  rule                            p50     p99  p99 after"
    sys.stdout.write(f"{heads}  spilled  needless\n")
    for cost_factor in (1.0, 2.0):
        for name, rule in RULES.items():
            figures = await measure_rule(rule, cost_factor=cost_factor)
            sys.stdout.write(
                f"{cost_factor:4}  {name:30}{figures.p50_ms:6.1f}{figures.p99_ms:8.1f}"
                f"{figures.recovered_p99_ms:11.1f}{figures.spilled:9.3f}"
                f"{figures.needless:10.3f}\n"
            )


def main() -> None:
    """Print each rule's figures."""
    trio.run(_measure_all, clock=trio.testing.MockClock(autojump_threshold=0.0))


if __name__ == "__main__":
    main()
