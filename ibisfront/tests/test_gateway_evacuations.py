"""Tests of an instance's handling of evacuated zones, in mock time."""

from __future__ import annotations

import unittest
from random import Random

import trio

from ibisfront.core.clock import Clock
from ibisfront.gateway.servers.server_entry import ServerEntry
from ibisfront.gateway.servers.server_registry import ServerRegistry
from ibisfront.testing.gateway_fixture import (
    GatewayFixture,
    forward_route,
    gather_route,
)
from ibisfront.tests import trio_test

_WARM_UP_MS = 3_000.0


def _sent_requests(fixture):
    return sum(len(server.received) for server in fixture.all_servers())


class EvacuatedZoneTest(unittest.TestCase):
    """Requests while the servers of a zone must not receive any."""

    @trio_test
    async def test_nothing_is_sent_if_all_servers_are_evacuated(self):
        """Guards against requests to an evacuated zone if there is no other."""
        for route, path in (
            (forward_route(), "/fetch/a"),
            (gather_route(2), "/search"),
        ):
            fixture = GatewayFixture(route)
            async with fixture.running():
                fixture.registry.evacuate(frozenset(("z0",)))
                reply = await fixture.send_request(f"{path}/a")
            self.assertEqual((_sent_requests(fixture), reply.status), (0, 503))
            self.assertIn(b"Retry-After", dict(reply.headers))

    @trio_test
    async def test_request_that_waits_for_a_connection_is_not_sent_later(self):
        """Guards against queued requests sent to an evacuated zone seconds later."""
        fixture = GatewayFixture(forward_route(timeout_ms=5000.0), servers=1)
        async with fixture.running(), trio.open_nursery() as nursery:
            for server in fixture.all_servers():
                server.latency_ms = 1000.0
            for _ in range(8):
                nursery.start_soon(fixture.send_request, "/fetch/a")
            await trio.sleep(0.5)
            sent = _sent_requests(fixture)
            fixture.registry.evacuate(frozenset(("z0",)))
            await trio.sleep(3.0)
            self.assertEqual(_sent_requests(fixture), sent)
            nursery.cancel_scope.cancel()

    @trio_test
    async def test_server_listed_during_an_evacuation_gets_nothing(self):
        """Guards against requests to new servers of an evacuated zone."""
        registry = ServerRegistry(
            clock=Clock(), make_pool=lambda server: None, zone="z0"
        )
        registry.evacuate(frozenset(("z1",)))
        registry.put(ServerEntry("new", "s", "new:80", "z1"))
        self.assertFalse(registry.is_reachable("s"))
        (released,) = registry.evacuate(frozenset())
        self.assertTrue(released.is_usable)

    @trio_test
    async def test_servers_return_gradually_and_count_as_cold(self):
        """Guards against a zone's cold servers that all get full load at once."""
        clock = Clock()
        registry = ServerRegistry(clock=clock, make_pool=lambda server: None, zone="z0")
        for number in range(40):
            registry.put(ServerEntry(f"i{number}", "s", f"i{number}:80", "z1"))
        registry.evacuate(frozenset(("z1",)))
        now_ms = clock.now_ms()
        released = registry.evacuate(frozenset())
        rng = Random(1)
        for server in released:
            server.cold_start_limit.warm_up_ms = _WARM_UP_MS
            server.resume_after_evacuation(now_ms, warm_up_share=rng.random())
        in_use = [
            sum(
                server.not_before_ms <= now_ms + share * _WARM_UP_MS
                for server in released
            )
            for share in (0.1, 0.5, 1.0)
        ]
        self.assertLess(in_use[0], 12)
        self.assertLess(in_use[0], in_use[1])
        self.assertEqual(in_use[2], 40)
        self.assertTrue(all(item.warm_at_ms > now_ms for item in released))
