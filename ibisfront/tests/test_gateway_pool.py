"""Tests of the connections to one server, in mock time."""

from __future__ import annotations

import unittest

import trio

from ibisfront.testing.gateway_fixture import GatewayFixture, gather_route
from ibisfront.tests import trio_test


class ReadyConnectionTest(unittest.TestCase):
    """Queries that come while others wait for their parts."""

    @trio_test
    async def test_second_query_does_not_wait_for_connections(self):
        """Guards against queries that open a connection for each of their parts."""
        fixture = GatewayFixture(gather_route(6), servers=1, latency_ms=20.0)
        async with fixture.running(), trio.open_nursery() as nursery:
            await fixture.ask()
            await fixture.ask()
            opened = sum(server.opened for server in fixture.all_servers())
            nursery.start_soon(fixture.ask)
            nursery.start_soon(fixture.ask)
            await trio.sleep(0.0005)
            sent = sum(len(server.received) for server in fixture.all_servers())
        self.assertEqual((opened, sent), (12, 24))

    @trio_test
    async def test_server_that_is_asked_rarely_keeps_one_connection(self):
        """Guards against connections of many instances that nobody uses."""
        fixture = GatewayFixture(gather_route(6), servers=1, latency_ms=20.0)
        async with fixture.running():
            for _ in range(3):
                await fixture.ask()
                await trio.sleep(2.0)
        self.assertEqual({server.opened for server in fixture.all_servers()}, {1})
