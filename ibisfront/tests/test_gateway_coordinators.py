"""Tests of which instances gather."""

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


def table(accepted):
    """Return a table whose gathered services accept so many connections."""
    route = gather_route(4)
    services = {
        name: RoutedService(name, accepted) for name in route.gathering.services
    }
    return RouteTable(Configuration(1, (route,), services, CallerLimits()))


def instances(count, zones=4):
    """Return entries in several zones, the later ones stronger."""
    return [
        InstanceEntry(f"i{number}", f"z{number % zones}", "10.0.0.1:1", number)
        for number in range(count)
    ]


class CoordinatorsTest(unittest.TestCase):
    """Who gathers, by the connections that servers accept."""

    def test_all_gather_while_servers_accept_enough(self):
        listed = instances(9, zones=3)
        coordinators = Coordinators(listed[0])
        coordinators.update(listed, table(25))
        self.assertFalse(coordinators.uses_coordinators)
        self.assertTrue(coordinators.is_coordinator)

    def test_the_strongest_of_each_zone_gather_beyond_that(self):
        listed = instances(68)
        coordinators = Coordinators(listed[0])
        coordinators.update(listed, table(56))
        self.assertFalse(coordinators.is_coordinator)
        self.assertEqual(coordinators.of_zone("z0"), ("i64", "i60"))
        self.assertLessEqual(coordinators.count * 4, 56 * 0.9)

    def test_a_few_gather_for_many_although_there_are_connections(self):
        """Searches fail in a middling deployment that was given more room.

        Servers accept two connections of each of thirty instances. Each meets
        a server once in seconds; its connections are closed for idleness, and
        nearly every sub-request opens one.
        """
        listed = instances(31)
        coordinators = Coordinators(listed[0])
        coordinators.update(listed, table(80))
        self.assertTrue(coordinators.uses_coordinators)
        self.assertEqual(len(coordinators.of_zone("z0")), 2)

    def test_more_gather_where_there_are_more_instances(self):
        listed = instances(400)
        coordinators = Coordinators(listed[0])
        coordinators.update(listed, table(300))
        self.assertEqual(len(coordinators.of_zone("z0")), 5)

    def test_every_instance_works_out_the_same(self):
        listed = instances(68)
        found = set()
        for own in listed:
            coordinators = Coordinators(own)
            coordinators.update(list(reversed(listed)), table(56))
            found.add(tuple(coordinators.of_zone(f"z{zone}") for zone in range(4)))
        self.assertEqual(len(found), 1)
