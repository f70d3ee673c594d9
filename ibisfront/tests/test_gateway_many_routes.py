"""Tests of the memory and CPU cost of thousands of routes."""

from __future__ import annotations

import json
import random
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
"""Memory target of an instance for control data at full size."""


def table_of(routes):
    """Return the table of a configuration with the given number of routes."""
    return RouteTable(configuration_from(configuration_spec(1, routes), RouteCache()))


class CountingRegistry(ServerRegistry):
    """Counts the checks of whether a service is reachable."""

    checks = 0

    def is_reachable(self, service):
        self.checks += 1
        return super().is_reachable(service)


def checked_services(table):
    """Return how many services are checked to decide whether all can be served."""
    registry = CountingRegistry(clock=Clock(), make_pool=lambda server: None, zone="z0")
    for service in sorted(table.service_names):
        registry.put(ServerEntry(service, service, "10.0.0.1:80", "z0"))
    Reachability(registry=registry, clock=Clock()).is_partitioned(table)
    return registry.checks


class CountingDict(dict):
    """Counts its look-ups."""

    lookups = 0

    def get(self, key, default=None):
        self.lookups += 1
        return super().get(key, default)


class LongPathTest(unittest.TestCase):
    """Paths as long as a head may be."""

    def test_cost_of_a_path_ends_where_the_prefixes_end(self):
        """Guards against callers whose paths of many slashes use up the processor."""
        prefixes = ("/", "/a/", "/a/b/", "/a/bc/", "/longer/prefix/")
        spec = json.loads(configuration_spec(1, 1))
        spec["routes"] = [
            {**spec["routes"][0], "name": prefix, "host": "host", "pathPrefix": prefix}
            for prefix in prefixes
        ]
        table = RouteTable(configuration_from(json.dumps(spec).encode(), RouteCache()))
        routes = table._by_host["host"] = CountingDict(table._by_host["host"])
        for path in ("/a/" + "x/" * 8_000, "/" * 16_000, "/longer/prefix/" + "/" * 99):
            routes.lookups = 0
            self.assertIsNotNone(table.find("host", path))
            self.assertLessEqual(routes.lookups, len("/longer/prefix/"))
        rng = random.Random(0)
        for _ in range(2_000):
            path = "/" + "".join(rng.choices("/abc", k=rng.randrange(9)))
            expected = max((p for p in prefixes if path.startswith(p)), key=len)
            self.assertEqual(table.find("host", path).path_prefix, expected)


class ManyRoutesTest(unittest.TestCase):
    """Guards against high CPU use or exhausted memory at a low request rate.

    With 4,200 routes, checking all of them for each subscriber every second to
    detect a partition blocks queries for 12 ms each time. The latencies kept for
    every route take 91 MB once each route has been requested.
    """

    @trio_test
    async def test_cost_of_the_partition_check_does_not_grow_with_routes(self):
        self.assertEqual(
            checked_services(table_of(ROUTES)), checked_services(table_of(1))
        )

    def test_state_of_removed_routes_is_dropped(self):
        table = table_of(3)
        removed = msgspec.structs.replace(table.configuration.routes[0], name="gone")
        states, latencies, round_robin = (
            RouteStates(),
            RouteLatencies(),
            WeightedRoundRobin(),
        )
        weighted = (WeightedService("a", 1.0), WeightedService("b", 1.0))
        for route in (removed, *table.configuration.routes):
            states.for_route(route)
            latencies.record_ms(route.name, "answered", 1.0)
            round_robin.next_service(msgspec.structs.replace(route, services=weighted))
        for per_route in (states, latencies, round_robin):
            per_route.retain(table.route_names)
        self.assertEqual(states._by_name.keys(), table.route_names)
        self.assertEqual(round_robin._credits.keys(), table.route_names)
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
        allocated_bytes, _ = tracemalloc.get_traced_memory()
        self.assertLess(allocated_bytes, CONTROL_BYTES / 8)
        samples = latencies.samples()
        self.assertEqual(sum(sample.count for sample in samples), 2 * len(names))
        self.assertLess(len(metrics_text([], samples, [])), CONTROL_BYTES / 64)
