"""Tests of the connections to one server, in mock time."""

from __future__ import annotations

import unittest

import msgspec
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
            await fixture.send_request()
            await fixture.send_request()
            opened = sum(server.opened for server in fixture.all_servers())
            nursery.start_soon(fixture.send_request)
            nursery.start_soon(fixture.send_request)
            await trio.sleep(0.0005)
            sent = sum(len(server.received) for server in fixture.all_servers())
        self.assertEqual((opened, sent), (12, 24))

    @trio_test
    async def test_server_that_is_asked_rarely_keeps_one_connection(self):
        """Guards against connections of many instances that nobody uses."""
        fixture = GatewayFixture(gather_route(6), servers=1, latency_ms=20.0)
        async with fixture.running():
            for _ in range(3):
                await fixture.send_request()
                await trio.sleep(2.0)
        self.assertEqual({server.opened for server in fixture.all_servers()}, {1})


class LargeReplyTest(unittest.TestCase):
    """Replies that nobody waits for any more, on their way from another zone."""

    async def _hedged(self, size_bytes):
        """Return what the other zone's server saw after it lost against the near one.

        That is how many requests were cut, and how many connections were opened.
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
    async def test_large_reply_is_stopped_and_its_connection_replaced(self):
        """Guards against bytes between zones that are of use to nobody."""
        self.assertEqual(await self._hedged(1_000), (1, 2))

    @trio_test
    async def test_small_reply_is_let_come(self):
        """Guards against connections that cost more bytes than they save."""
        self.assertEqual(await self._hedged(96), (0, 1))
