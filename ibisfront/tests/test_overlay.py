"""Tests of the overlay network between instances."""

from __future__ import annotations

import math
import unittest

from ibisfront.core.members import Member
from ibisfront.core.overlay import FULL_MESH_MEMBERS, ZONE_LINKS, neighbour_names


def _members(count: int, zones: int) -> list[Member]:
    return [
        Member(f"i{number}", f"z{number % zones}", f"p{number}", f"a{number}")
        for number in range(count)
    ]


def _links(members: list[Member]) -> dict[str, set[str]]:
    links: dict[str, set[str]] = {member.name: set() for member in members}
    for member in members:
        for name in neighbour_names(member, members):
            links[member.name].add(name)
            links[name].add(member.name)
    return links


def _eccentricity(links: dict[str, set[str]], start: str) -> int:
    distances = {start: 0}
    queue = [start]
    for name in queue:
        for other in links[name] - distances.keys():
            distances[other] = distances[name] + 1
            queue.append(other)
    return max(distances.values()) if len(distances) == len(links) else math.inf


class OverlayTest(unittest.TestCase):
    """Degree, path length and connectivity, also after losses."""

    def test_small_tier_is_a_full_mesh(self) -> None:
        members = _members(FULL_MESH_MEMBERS, 3)
        for member in members:
            self.assertEqual(
                len(neighbour_names(member, members)), FULL_MESH_MEMBERS - 1
            )

    def test_streams_grow_logarithmically(self) -> None:
        for count, zones in ((100, 3), (1000, 19)):
            members = _members(count, zones)
            links = _links(members)
            bound = 2 * (math.log2(count / zones) + 1 + ZONE_LINKS)
            average = sum(map(len, links.values())) / count
            with self.subTest(count=count):
                self.assertLessEqual(average, bound)
                self.assertLessEqual(max(map(len, links.values())), 3 * bound)

    def test_update_reaches_all_in_few_hops(self) -> None:
        members = _members(1000, 19)
        links = _links(members)
        self.assertLessEqual(_eccentricity(links, "i0"), 8)

    def test_every_member_is_monitored(self) -> None:
        members = _members(200, 5)
        monitored = set()
        for member in members:
            monitored |= neighbour_names(member, members)
        self.assertEqual(monitored, {member.name for member in members})

    def test_overlay_stays_connected_after_loss_of_a_third(self) -> None:
        """A third of the members fail together, undetected, such as with a rack.

        The streams to them are lost; the remaining members must still reach
        each other until the failed ones are declared dead.
        """
        members = _members(300, 6)
        links = _links(members)
        lost = {member.name for member in members[::3]}
        remaining = {
            name: found - lost for name, found in links.items() if name not in lost
        }
        self.assertLess(_eccentricity(remaining, "i1"), math.inf)
