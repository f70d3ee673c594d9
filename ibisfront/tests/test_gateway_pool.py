"""Tests of the connections to one server, in mock time."""

from __future__ import annotations

import unittest

import msgspec
import trio

from ibisfront.testing.gateway_fixture import GatewayFixture, gather_route
from ibisfront.tests import trio_test


class ReadyConnectionTest(unittest.TestCase):
    """Queries that arrive while others wait for their parts."""

    @trio_test
    async def test_second_query_does_not_wait_for_connections(self):
        """Guards against a query that must open a connection for each part."""
        fixture = GatewayFixture(gather_route(6), servers=1, latency_ms=20.0)
        async with fixture.running(), trio.open_nursery() as nursery:
            await fixture.send_request()
            await fixture.send_request()
            opened = sum(server.opened for server in fixture.all_servers())
            nursery.start_soon(fixture.send_request)
            nursery.start_soon(fixture.send_request)
            await trio.sleep(0.0005)
            sent = sum(len(server.received) for server in fixture.all_servers())
        self.assertEqual((opened, sent), (12, 24))

    @trio_test
    async def test_server_with_few_requests_keeps_one_connection(self):
        """Guards against unused connections of many instances."""
        fixture = GatewayFixture(gather_route(6), servers=1, latency_ms=20.0)
        async with fixture.running():
            for _ in range(3):
                await fixture.send_request()
                await trio.sleep(2.0)
        self.assertEqual({server.opened for server in fixture.all_servers()}, {1})


class LargeReplyTest(unittest.TestCase):
    """Abandoned replies in transit from another zone."""

    async def _hedge(self, size_bytes):
        """Hedge a request in another zone; return the losing server's counts.

        These are its cancelled requests and its opened connections.
        """
        fixture = GatewayFixture(gather_route(1), latency_ms=10.0)
        near, far = fixture.servers["part-0"]
        far.entry = msgspec.structs.replace(far.entry, zone="z1")
        async with fixture.running():
            near.body = far.body = bytes(size_bytes)
            for _ in range(100):
                await fixture.send_request()
            near.latency_ms, far.latency_ms = 30.0, 200.0
            await fixture.send_request()
            await trio.sleep(0.1)
            self.assertEqual(len(far.received), 1)
            return far.cancelled, far.opened

    @trio_test
    async def test_large_reply_is_cancelled_and_its_connection_replaced(self):
        """Guards against transferring unused bytes between zones."""
        self.assertEqual(await self._hedge(1_000), (1, 2))

    @trio_test
    async def test_small_reply_is_read(self):
        """Guards against replacing a connection at a cost above the bytes saved."""
        self.assertEqual(await self._hedge(96), (0, 1))
