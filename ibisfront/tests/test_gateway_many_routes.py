"""Tests of what an instance holds and does for each of thousands of routes."""

from __future__ import annotations

import tracemalloc
import unittest

import msgspec

from ibisfront.core.clock import Clock
from ibisfront.core.latencies import RouteLatencies
from ibisfront.core.metrics_text import metrics_text
from ibisfront.gateway.load.reachability import Reachability
from ibisfront.gateway.load.weighted_round_robin import WeightedRoundRobin
from ibisfront.gateway.route_state import RouteStates
from ibisfront.gateway.servers.server_entry import ServerEntry
from ibisfront.gateway.servers.server_registry import ServerRegistry
from ibisfront.gateway.state.configuration import RouteTable, WeightedService
from ibisfront.gateway.state.route_cache import RouteCache
from ibisfront.platform.documents import configuration_from
from ibisfront.testing.large_configuration import configuration_spec
from ibisfront.tests import trio_test

ROUTES = 4200

CONTROL_BYTES = 64 * 1024 * 1024
"""What an instance may hold for control: the aim at the full size."""


def table_of(routes):
    """Return the table of a configuration with this many routes."""
    return RouteTable(configuration_from(configuration_spec(1, routes), RouteCache()))


class CountingRegistry(ServerRegistry):
    """Counts how often it is asked whether a service is within reach."""

    asked = 0

    def is_reachable(self, service):
        self.asked += 1
        return super().is_reachable(service)


def questions(table):
    """Return how many services are looked at to tell whether all can be served."""
    registry = CountingRegistry(clock=Clock(), make_pool=lambda server: None, zone="z0")
    for service in sorted(table.service_names):
        registry.put(ServerEntry(service, service, "10.0.0.1:80", "z0"))
    Reachability(registry=registry, clock=Clock()).is_isolated(table)
    return registry.asked


class ManyRoutesTest(unittest.TestCase):
    """An instance that answers few requests is busy, or ends for want of memory.

    The configuration has 4,200 routes. For each follower that asks, each second,
    all of them were looked at to say whether the instance is cut off: 12 ms of a
    core each time, in which queries waited. Once each route had been asked, the
    latencies kept for each of them took 91 MB.
    """

    @trio_test
    async def test_looking_whether_all_can_be_served_does_not_grow_with_routes(self):
        self.assertEqual(questions(table_of(ROUTES)), questions(table_of(1)))

    def test_what_is_kept_of_routes_that_are_gone_goes_too(self):
        table = table_of(3)
        gone = msgspec.structs.replace(table.configuration.routes[0], name="gone")
        states, latencies, turns = RouteStates(), RouteLatencies(), WeightedRoundRobin()
        weighted = (WeightedService("a", 1.0), WeightedService("b", 1.0))
        for route in (gone, *table.configuration.routes):
            states.of(route)
            latencies.record_ms(route.name, "answered", 1.0)
            turns.next_service(msgspec.structs.replace(route, services=weighted))
        for kept in (states, latencies, turns):
            kept.keep(table.route_names)
        self.assertEqual(states._by_name.keys(), table.route_names)
        self.assertEqual(turns._credits.keys(), table.route_names)
        recorded = {sample.labels[0].value for sample in latencies.samples()}
        self.assertEqual(recorded, table.route_names)

    def test_latencies_of_many_routes_fit(self):
        names = [route.name for route in table_of(ROUTES).configuration.routes]
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        latencies = RouteLatencies()
        for name in names:
            for reason in ("answered", "timed_out"):
                latencies.record_ms(name, reason, 12.0)
        held_bytes, _ = tracemalloc.get_traced_memory()
        self.assertLess(held_bytes, CONTROL_BYTES / 8)
        samples = latencies.samples()
        self.assertEqual(sum(sample.count for sample in samples), 2 * len(names))
        self.assertLess(len(metrics_text([], samples, [])), CONTROL_BYTES / 64)
