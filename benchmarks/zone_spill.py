"""Comparison of rules for spilling to another zone, under trio's mock clock.

Two zones, each with one instance and one server of two slots. For five
seconds zone 1 receives 1.4 times the capacity of its server, then the overload
moves to zone 2, then both are at half load. Run
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
RELEASE_THRESHOLD = 1
SAMPLE_MS = 100.0
SWITCHES_PER_S_SCALE = 1_000.0

Rule: TypeAlias = Callable[["Zones", int], bool]
"""Decides whether a request of a zone is sent to the other zone."""


class Server:
    """One server of a zone: two slots and a queue."""

    __slots__ = ("in_flight", "latency_ms", "slots")

    def __init__(self) -> None:
        self.slots = trio.Semaphore(SLOTS)
        self.in_flight = 0
        self.latency_ms = SERVICE_MS


class Zones:
    """Both zones and their requests in flight.

    Attributes
    ----------
    servers : list of Server
        One server per zone.
    spilled_in_flight : list of int
        Requests in flight of each zone that were sent to the other zone.
    own_in_flight : list of list of int
        Requests in flight of a zone's instance, by server. An instance cannot see
        those of other instances.
    """

    def __init__(self) -> None:
        self.servers = [Server(), Server()]
        self.spilled_in_flight = [0, 0]
        self.own_in_flight = [[0, 0], [0, 0]]


def never_spill(zones: Zones, zone: int) -> bool:
    """Use the own zone only."""
    return False


def least_wait(zones: Zones, zone: int) -> bool:
    """Use the zone with the shorter expected wait, network time included (ours)."""
    own, other = zones.servers[zone], zones.servers[1 - zone]
    own_wait_ms = own.latency_ms * (1 + zones.own_in_flight[zone][zone] / SLOTS)
    other_wait_ms = other.latency_ms * (1 + zones.own_in_flight[zone][1 - zone] / SLOTS)
    return own_wait_ms > other_wait_ms + CROSS_ZONE_MS


def threshold(activation: int) -> Rule:
    """Spill while the own zone has more own requests than the other, by a threshold."""

    def rule(zones: Zones, zone: int) -> bool:
        return (
            zones.own_in_flight[zone][zone] - zones.own_in_flight[zone][1 - zone]
            > activation
        )

    return rule


def two_thresholds(activation: int) -> Rule:
    """Spill above an activation threshold, in one direction at a time.

    A published control, in which both zones see each other's queues:
    a zone spills while the difference exceeds the activation threshold and the
    requests spilled from the other zone do not exceed the release threshold.
    """

    def rule(zones: Zones, zone: int) -> bool:
        difference = zones.servers[zone].in_flight - zones.servers[1 - zone].in_flight
        return (
            difference > activation
            and zones.spilled_in_flight[1 - zone] <= RELEASE_THRESHOLD
        )

    return rule


def threshold_or_slow(activation: int, factor: float) -> Rule:
    """Spill by the threshold, or while the own server is slower by a factor."""
    by_count = threshold(activation)

    def rule(zones: Zones, zone: int) -> bool:
        own, other = zones.servers[zone], zones.servers[1 - zone]
        slow = own.latency_ms > factor * other.latency_ms + CROSS_ZONE_MS
        return slow or by_count(zones, zone)

    return rule


RULES: dict[str, Rule] = {
    "never": never_spill,
    "least wait": least_wait,
    **{f"threshold {count}": threshold(count) for count in (1, 3, 6, 10)},
    "threshold 6 or 4 times slower": threshold_or_slow(6, 4.0),
    **{f"activation {count}, release": two_thresholds(count) for count in (3, 6, 10)},
}


class RuleFigures(msgspec.Struct, frozen=True):
    """Figures of one rule.

    Attributes
    ----------
    p50_ms, p99_ms : float
        Latency over all phases.
    recovered_p99_ms : float
        Latency in the last phase, after the overload.
    spilled : float
        Fraction of requests sent to the other zone.
    needless : float
        That fraction in the last phase, when no zone is overloaded.
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
        Rule that decides on spilling.
    seed : int
        Seed of arrivals and service times.
    cost_factor : float
        Factor on the service time of a spilled request.
    """
    clock = Clock()
    generator = random.Random(seed)
    zones = Zones()
    overall, final = LatencyHistogram(), LatencyHistogram()
    counts = {"all": 0, "spilled": 0, "last": 0, "last_spilled": 0}

    async def serve(zone: int, target: int) -> None:
        server = zones.servers[target]
        server.in_flight += 1
        zones.own_in_flight[zone][target] += 1
        started_ms = clock.now_ms()
        async with server.slots:
            service_ms = generator.lognormvariate(math.log(SERVICE_MS), 0.3)
            await clock.sleep_ms(service_ms * (cost_factor if zone != target else 1.0))
        server.in_flight -= 1
        zones.own_in_flight[zone][target] -= 1
        server.latency_ms += 0.2 * (clock.now_ms() - started_ms - server.latency_ms)

    async def request(zone: int, is_last: bool) -> None:
        started_ms = clock.now_ms()
        is_spilled = rule(zones, zone)
        counts["all"] += 1
        counts["spilled"] += is_spilled
        counts["last"] += is_last
        counts["last_spilled"] += is_last and is_spilled
        if is_spilled:
            zones.spilled_in_flight[zone] += 1
            await clock.sleep_ms(CROSS_ZONE_MS)
            await serve(zone, 1 - zone)
            zones.spilled_in_flight[zone] -= 1
        else:
            await serve(zone, zone)
        duration_ms = clock.now_ms() - started_ms
        overall.record_ms(duration_ms)
        if is_last:
            final.record_ms(duration_ms)

    async def arrive(zone: int, nursery: trio.Nursery) -> None:
        for phase, loads in enumerate(LOADS):
            end_ms = (phase + 1) * PHASE_MS
            rate_per_ms = loads[zone] * SLOTS / SERVICE_MS
            while clock.now_ms() - start_ms < end_ms:
                nursery.start_soon(request, zone, phase == len(LOADS) - 1)
                await clock.sleep_ms(generator.expovariate(rate_per_ms))

    start_ms = clock.now_ms()
    async with trio.open_nursery() as nursery:
        for zone in (0, 1):
            nursery.start_soon(arrive, zone, nursery)
    return RuleFigures(
        p50_ms=overall.percentile_ms(50.0),
        p99_ms=overall.percentile_ms(99.0),
        recovered_p99_ms=final.percentile_ms(99.0),
        spilled=counts["spilled"] / counts["all"],
        needless=counts["last_spilled"] / counts["last"],
    )


async def _measure_all() -> None:
    header = "cost  rule                            p50     p99  p99 after"
    sys.stdout.write(f"{header}  spilled  needless\n")
    for cost_factor in (1.0, 2.0):
        for name, rule in RULES.items():
            figures = await measure_rule(rule, cost_factor=cost_factor)
            sys.stdout.write(
                f"{cost_factor:4}  {name:30}{figures.p50_ms:6.1f}{figures.p99_ms:8.1f}"
                f"{figures.recovered_p99_ms:11.1f}{figures.spilled:9.3f}"
                f"{figures.needless:10.3f}\n"
            )


def main() -> None:
    """Print the figures of each rule."""
    trio.run(_measure_all, clock=trio.testing.MockClock(autojump_threshold=0.0))


if __name__ == "__main__":
    main()
