"""The overlay network: the neighbours that an instance keeps a stream to.

Up to :data:`FULL_MESH_MEMBERS` members form a full mesh. Above that, each
instance keeps streams to members at power-of-two distances after itself on the
hash ring of its zone, and to one member in each of :data:`ZONE_LINKS` other
zones, so that the number of streams grows logarithmically.
"""

from __future__ import annotations

import hashlib
from bisect import bisect_right
from typing import TYPE_CHECKING

from ibisfront.core.rendezvous import rendezvous_order

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from ibisfront.core.members import Member

__all__ = ["FULL_MESH_MEMBERS", "ZONE_LINKS", "neighbour_names"]

FULL_MESH_MEMBERS = 16
"""Largest number of members that form a full mesh."""

ZONE_LINKS = 3
"""Number of other zones that an instance keeps a stream to above the full mesh."""


def neighbour_names(own: Member, members: Iterable[Member]) -> frozenset[str]:
    """Return the names of the members that an instance dials.

    The instances that dial it are also its neighbours.

    Parameters
    ----------
    own : Member
        The instance itself.
    members : iterable of Member
        The live and suspect members.
    """
    others = [member for member in members if member.name != own.name]
    if len(others) < FULL_MESH_MEMBERS:
        return frozenset(member.name for member in others)
    by_zone: dict[str, list[str]] = {}
    for member in others:
        by_zone.setdefault(member.zone, []).append(member.name)
    chosen = _fingers(own.name, by_zone.pop(own.zone, []))
    for zone in rendezvous_order(own.name, by_zone)[:ZONE_LINKS]:
        chosen.add(_successor(own.name, by_zone[zone]))
    return frozenset(chosen)


def _fingers(own_name: str, names: Sequence[str]) -> set[str]:
    ring = sorted(names, key=_position)
    start = bisect_right([_position(name) for name in ring], _position(own_name))
    chosen = set()
    distance = 1
    while distance <= len(ring):
        chosen.add(ring[(start + distance - 1) % len(ring)])
        distance *= 2
    return chosen


def _successor(own_name: str, names: Sequence[str]) -> str:
    position = _position(own_name)
    return min(names, key=lambda name: (_position(name) <= position, _position(name)))


def _position(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8).digest()
