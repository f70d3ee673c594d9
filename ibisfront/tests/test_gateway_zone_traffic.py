"""Tests of the counts of traffic between zones, in mock time."""

from __future__ import annotations

import math
import unittest

import trio

from ibisfront.core.counters import CounterKind
from ibisfront.testing.gateway_fixture import GatewayFixture, gather_route
from ibisfront.testing.two_zones import TwoZones
from ibisfront.tests import trio_test


def traffic(counters, kind=CounterKind.OTHER_ZONE_REQUESTS):
    """Return the counts of one kind by reason."""
    return {item.reason: item.value for item in counters.values() if item.kind is kind}


class ZoneTrafficTest(unittest.TestCase):
    """What crosses zones, by reason."""

    @trio_test
    async def test_sub_requests_to_another_zone_are_counted_by_reason(self):
        fixture = GatewayFixture(gather_route(8), zone="z1")
        async with fixture.running():
            for _ in range(8):
                await fixture.send_request()
            calm = traffic(fixture.observer.counters)
            for server in fixture.servers["part-0"]:
                server.latency_ms = math.inf
            for server in fixture.servers["part-1"]:
                server.not_run = True
                server.status = 503
            for _ in range(8):
                await fixture.send_request()
                await trio.sleep(1.0)
        counts = traffic(fixture.observer.counters)
        sizes = traffic(fixture.observer.counters, CounterKind.OTHER_ZONE_BYTES)
        received = sum(len(server.received) for server in fixture.all_servers())
        self.assertEqual(calm, {"primary": 64})
        self.assertEqual(set(counts), {"primary", "hedge", "retry"})
        self.assertEqual(sum(counts.values()), received)
        self.assertEqual(set(sizes), set(counts))
        payloads = [data for item in fixture.all_servers() for data in item.payloads]
        self.assertGreaterEqual(sum(sizes.values()), sum(map(len, payloads)))

    @trio_test
    async def test_sub_requests_within_the_zone_are_not_counted(self):
        fixture = GatewayFixture(gather_route(8))
        async with fixture.running():
            await fixture.send_request()
        self.assertEqual(traffic(fixture.observer.counters), {})

    @trio_test
    async def test_delegated_parts_are_counted(self):
        zones = TwoZones(gather_route(20))
        async with zones.running():
            await zones.send_request("z0")
            counters = zones.gateways["z0"]._gateway_context._observer.counters
        self.assertEqual(traffic(counters), {"parts": 1})
        self.assertIn("parts", traffic(counters, CounterKind.OTHER_ZONE_BYTES))
