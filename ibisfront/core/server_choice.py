"""Choosing the backend server of a sub-request; plain functions."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, TypeAlias

import msgspec

if TYPE_CHECKING:
    from ibisfront.core.link import BackendLink

__all__ = ["Choice", "ChooseServer", "round_robin", "two_choices"]


class Choice(msgspec.Struct, frozen=True):
    """What a server is chosen for.

    Attributes
    ----------
    zone : str
        This instance's availability zone.
    now_ms : float
        The time.
    snapshot : str or None
        The pinned snapshot, if there is one.
    tried : tuple of BackendLink
        The links that this sub-request has tried already.
    """

    zone: str
    now_ms: float
    snapshot: str | None = None
    tried: tuple[BackendLink, ...] = ()


ChooseServer: TypeAlias = Callable[
    [Sequence["BackendLink"], Choice], "BackendLink | None"
]
"""Picks one of a service's live servers, or None if none may be asked."""


def round_robin() -> ChooseServer:
    """Return the baseline's choice: each server in turn, whatever its state."""
    turns = itertools.count()

    def choose(links: Sequence[BackendLink], choice: Choice) -> BackendLink | None:
        if not links:
            return None
        untried = [link for link in links if link not in choice.tried] or links
        return untried[next(turns) % len(untried)]

    return choose


def two_choices(*, cross_zone_ms: float, seed: int | None = None) -> ChooseServer:
    """Return a choice of the less loaded of two servers.

    The load is this instance's own sub-requests at the server times the
    smoothed latency that it saw. A server of another zone costs the way there
    and back on top, so that the own zone goes first until its wait outgrows
    that way. There is no threshold to cross, so nothing switches over and
    back; see ``docs/design/query-path.md`` for the rules weighed.

    Parameters
    ----------
    cross_zone_ms : float
        What the way to another zone and back costs.
    seed : int, optional
        Makes the choices repeatable.
    """
    generator = random.Random(seed)

    def choose(links: Sequence[BackendLink], choice: Choice) -> BackendLink | None:
        usable = [link for link in links if _is_usable(link, choice)]
        candidates = _preferred(usable, choice)
        if len(candidates) <= 1:
            return candidates[0] if candidates else None
        if len(candidates) > 2:
            candidates = _sample(candidates, choice.zone, generator)
        costs = [_cost(link, choice, cross_zone_ms) for link in candidates]
        return candidates[costs.index(min(costs))]

    return choose


def _is_usable(link: BackendLink, choice: Choice) -> bool:
    health = link.health
    return not health.is_draining(choice.now_ms) and health.may_hold(
        choice.snapshot, choice.now_ms
    )


def _preferred(usable: list[BackendLink], choice: Choice) -> list[BackendLink]:
    """Return the links to choose from, leaving out what others can spare.

    Ejected servers, servers already tried and servers that asked to be left
    alone are left out only while some other is there: when a fault hits all
    replicas alike, leaving all of them out would turn a slow service into a
    missing one.
    """
    healthy = [link for link in usable if not link.health.ejected] or usable
    untried = [link for link in healthy if link not in choice.tried] or healthy
    now_ms = choice.now_ms
    return [link for link in untried if link.health.not_before_ms <= now_ms] or untried


def _sample(
    candidates: list[BackendLink], zone: str, generator: random.Random
) -> list[BackendLink]:
    """Return two servers of the own zone and one of the others, at random."""
    generator.shuffle(candidates)
    own = [link for link in candidates if link.server.zone == zone]
    others = [link for link in candidates if link.server.zone != zone]
    return own[:2] + others[:1] if own else others[:2]


def _cost(link: BackendLink, choice: Choice, cross_zone_ms: float) -> tuple[float, int]:
    """Return the expected wait, then the load to settle equal waits."""
    cost_ms = link.health.load_ms(link.in_flight, choice.now_ms)
    if link.server.zone != choice.zone:
        cost_ms += cross_zone_ms
    return cost_ms, link.in_flight
