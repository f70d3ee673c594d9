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


_SPILL_SLOTS = 3
_SPILL_FACTOR = 4.0


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


def two_choices(
    *, cross_zone_ms: float, slots_per_server: int, seed: int | None = None
) -> ChooseServer:
    """Return a choice of the less loaded of two servers, own zone first.

    The load is this instance's own sub-requests at the server and the smoothed
    latency that it saw. A server of another zone is taken only if the own one
    has many more of this instance's sub-requests, or is many times slower.
    Comparing expected waits alone would let work go to and fro
    between the zones; see ``docs/design/query-path.md`` for the rules weighed.

    Parameters
    ----------
    cross_zone_ms : float
        What the way to another zone and back costs.
    slots_per_server : int
        How many requests a server runs at once.
    seed : int, optional
        Makes the choices repeatable.
    """
    generator = random.Random(seed)
    threshold = _SPILL_SLOTS * slots_per_server

    def choose(links: Sequence[BackendLink], choice: Choice) -> BackendLink | None:
        usable = [link for link in links if _is_usable(link, choice)]
        candidates = _preferred(usable, choice)
        if len(candidates) <= 1:
            return candidates[0] if candidates else None
        own = _less_loaded(candidates, choice, generator, in_zone=True)
        other = _less_loaded(candidates, choice, generator, in_zone=False)
        if own is None or other is None:
            return own or other
        more = own.in_flight - other.in_flight
        own_ms = own.health.unloaded_ms(choice.now_ms)
        other_ms = other.health.unloaded_ms(choice.now_ms)
        slow = own_ms > _SPILL_FACTOR * other_ms + cross_zone_ms
        return other if slow or more > threshold else own

    return choose


def _is_usable(link: BackendLink, choice: Choice) -> bool:
    if link.is_leaving:
        return False
    return link.health.may_hold(choice.snapshot, choice.now_ms)


def _preferred(usable: list[BackendLink], choice: Choice) -> list[BackendLink]:
    """Return the links to choose from, leaving out what others can spare.

    Ejected servers, servers suspected of silence, servers already tried and
    servers that asked to be left alone are left out only while some other is
    there: when a fault hits all replicas alike, leaving all of them out would
    turn a slow service into a missing one.
    """
    healthy = [link for link in usable if not link.health.ejected] or usable
    trusted = [link for link in healthy if not link.suspected] or healthy
    untried = [link for link in trusted if link not in choice.tried] or trusted
    now_ms = choice.now_ms
    return [link for link in untried if link.health.not_before_ms <= now_ms] or untried


def _less_loaded(
    candidates: list[BackendLink],
    choice: Choice,
    generator: random.Random,
    *,
    in_zone: bool,
) -> BackendLink | None:
    """Return the less loaded of two servers, inside or outside the own zone."""
    links = [
        link for link in candidates if (link.server.zone == choice.zone) is in_zone
    ]
    if len(links) <= 1:
        return links[0] if links else None
    first, second = generator.sample(links, 2)
    first_ms = first.health.load_ms(first.in_flight, choice.now_ms)
    second_ms = second.health.load_ms(second.in_flight, choice.now_ms)
    return first if first_ms <= second_ms else second
