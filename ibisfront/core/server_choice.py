"""Load balancing: the choice of the backend server of a sub-request."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, TypeAlias

import msgspec

if TYPE_CHECKING:
    from ibisfront.core.backend_pool import BackendPool

__all__ = ["ChoiceContext", "ChooseServer", "power_of_two_choices", "round_robin"]


_SPILLOVER_SLOTS_FACTOR = 3
_SPILLOVER_LATENCY_FACTOR = 4.0


class ChoiceContext(msgspec.Struct, frozen=True):
    """The request context of a load-balancing decision.

    Attributes
    ----------
    zone : str
        This instance's availability zone.
    now_ms : float
        The current time.
    snapshot : str or None
        The pinned snapshot, if any.
    tried : tuple of BackendPool
        The pools that this sub-request has already tried.
    """

    zone: str
    now_ms: float
    snapshot: str | None = None
    tried: tuple[BackendPool, ...] = ()


ChooseServer: TypeAlias = Callable[
    [Sequence["BackendPool"], ChoiceContext], "BackendPool | None"
]
"""Selects one of a service's live servers, or None if none is eligible."""


def round_robin() -> ChooseServer:
    """Return the baseline policy: round robin, ignoring the servers' state."""
    counter = itertools.count()

    def choose(
        pools: Sequence[BackendPool], context: ChoiceContext
    ) -> BackendPool | None:
        if not pools:
            return None
        untried = [pool for pool in pools if pool not in context.tried] or pools
        return untried[next(counter) % len(untried)]

    return choose


def power_of_two_choices(
    *, cross_zone_ms: float, slots_per_server: int, seed: int | None = None
) -> ChooseServer:
    """Return a zone-aware power-of-two-choices policy.

    Load is estimated from this instance's in-flight sub-requests at the server
    and their smoothed latency. A server of another zone is chosen only if the
    one in the own zone has many more sub-requests of this instance in flight,
    or is many times slower. Comparing expected latencies alone would make load
    oscillate between zones; see ``docs/design/query-path.md`` for alternatives.

    Parameters
    ----------
    cross_zone_ms : float
        Round-trip time to another zone.
    slots_per_server : int
        Number of requests that a server runs concurrently.
    seed : int, optional
        Seed for reproducible choices.
    """
    generator = random.Random(seed)
    threshold = _SPILLOVER_SLOTS_FACTOR * slots_per_server

    def choose(
        pools: Sequence[BackendPool], context: ChoiceContext
    ) -> BackendPool | None:
        eligible = [pool for pool in pools if _is_eligible(pool, context)]
        candidates = _preferred_pools(eligible, context)
        if len(candidates) <= 1:
            return candidates[0] if candidates else None
        own = _less_loaded(candidates, context, generator, in_zone=True)
        other = _less_loaded(candidates, context, generator, in_zone=False)
        if own is None or other is None:
            return own or other
        extra_in_flight = own.in_flight - other.in_flight
        own_ms = own.health.unloaded_latency_ms(context.now_ms)
        other_ms = other.health.unloaded_latency_ms(context.now_ms)
        is_slow = own_ms > _SPILLOVER_LATENCY_FACTOR * other_ms + cross_zone_ms
        return other if is_slow or extra_in_flight > threshold else own

    return choose


def _is_eligible(pool: BackendPool, context: ChoiceContext) -> bool:
    if pool.is_draining:
        return False
    return pool.health.may_hold_snapshot(context.snapshot, context.now_ms)


def _preferred_pools(
    eligible: list[BackendPool], context: ChoiceContext
) -> list[BackendPool]:
    """Return the preferred candidates, or less preferred ones if there are none.

    Ejected servers, servers suspected to be silent, servers already tried and
    servers that requested backoff are excluded only while another candidate
    remains: when a fault affects all replicas, excluding all of them would turn
    a slow service into an unavailable one.
    """
    healthy = [pool for pool in eligible if not pool.health.ejected] or eligible
    trusted = [pool for pool in healthy if not pool.suspected] or healthy
    untried = [pool for pool in trusted if pool not in context.tried] or trusted
    now_ms = context.now_ms
    return [pool for pool in untried if pool.health.not_before_ms <= now_ms] or untried


def _less_loaded(
    candidates: list[BackendPool],
    context: ChoiceContext,
    generator: random.Random,
    *,
    in_zone: bool,
) -> BackendPool | None:
    """Return the less loaded of two random servers in or outside the own zone."""
    pools = [
        pool for pool in candidates if (pool.server.zone == context.zone) is in_zone
    ]
    if len(pools) <= 1:
        return pools[0] if pools else None
    first, second = generator.sample(pools, 2)
    first_ms = first.health.expected_latency_ms(first.in_flight, context.now_ms)
    second_ms = second.health.expected_latency_ms(second.in_flight, context.now_ms)
    return first if first_ms <= second_ms else second
