"""Tests of the selection of coordinators."""

from __future__ import annotations

import unittest

from ibisfront.gateway.instances.coordinators import Coordinators
from ibisfront.gateway.instances.directory import InstanceEntry
from ibisfront.gateway.state.configuration import (
    CallerLimits,
    Configuration,
    RoutedService,
    RouteTable,
)
from ibisfront.testing.gateway_fixture import gather_route


def table(limit):
    """Return a table whose gathered services have this connection limit."""
    route = gather_route(4)
    services = {name: RoutedService(name, limit) for name in route.gathering.services}
    return RouteTable(Configuration(1, (route,), services, CallerLimits()))


def instances(count, zones=4):
    """Return entries in several zones, in ascending order of capacity."""
    return [
        InstanceEntry(f"i{number}", f"z{number % zones}", "10.0.0.1:1", number)
        for number in range(count)
    ]


class CoordinatorsTest(unittest.TestCase):
    """Which instances coordinate, given the connection limits of servers."""

    def test_no_coordinators_while_servers_accept_enough_connections(self):
        listed = instances(9, zones=3)
        coordinators = Coordinators(listed[0])
        coordinators.update(listed, table(25))
        self.assertFalse(coordinators.uses_coordinators)
        self.assertTrue(coordinators.is_coordinator)

    def test_largest_of_each_zone_coordinate_beyond_the_limit(self):
        listed = instances(68)
        coordinators = Coordinators(listed[0])
        coordinators.update(listed, table(56))
        self.assertFalse(coordinators.is_coordinator)
        self.assertEqual(coordinators.of_zone("z0"), ("i64", "i60"))
        self.assertLessEqual(coordinators.count * 4, 56 * 0.9)

    def test_few_coordinators_even_if_connections_suffice(self):
        """Guards against failing queries in a medium deployment with a high limit.

        Servers accept two connections from each of thirty instances. Each instance
        sends to a server once in several seconds; its idle connections are closed,
        and nearly every sub-request opens a new one.
        """
        listed = instances(31)
        coordinators = Coordinators(listed[0])
        coordinators.update(listed, table(80))
        self.assertTrue(coordinators.uses_coordinators)
        self.assertEqual(len(coordinators.of_zone("z0")), 2)

    def test_more_instances_have_more_coordinators(self):
        listed = instances(400)
        coordinators = Coordinators(listed[0])
        coordinators.update(listed, table(300))
        self.assertEqual(len(coordinators.of_zone("z0")), 5)

    def test_every_instance_selects_the_same_coordinators(self):
        listed = instances(68)
        selections = set()
        for own in listed:
            coordinators = Coordinators(own)
            coordinators.update(list(reversed(listed)), table(56))
            selections.add(tuple(coordinators.of_zone(f"z{zone}") for zone in range(4)))
        self.assertEqual(len(selections), 1)
