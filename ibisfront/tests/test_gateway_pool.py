"""Tests of the connections to one server, in mock time."""

from __future__ import annotations

import unittest

import msgspec
import trio

from ibisfront.gateway.state.configuration import RequestKind
from ibisfront.testing.gateway_fixture import (
    GatewayFixture,
    forward_route,
    gather_route,
)
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


class ConnectionLimitTest(unittest.TestCase):
    """A server that resets the connections beyond its limit."""

    @trio_test
    async def test_request_on_a_connection_beyond_the_limit_is_not_sent(self):
        """Guards against a 502 for a request that reached no server.

        The server resets each new connection at once. A request that was sent on one
        may have run as far as the instance knows; its caller must not repeat it.
        """
        route = forward_route(kind=RequestKind.NON_IDEMPOTENT)
        fixture = GatewayFixture(route, servers=1)
        async with fixture.running():
            (server,) = fixture.all_servers()
            await fixture.send_request("/fetch/a")
            server.maximum_connections = 0
            (listed,) = fixture.registry.servers()
            listed.pool.keeps_idle = False
            listed.pool.close_idle()
            await trio.sleep(0.1)
            replies = [await fixture.send_request("/fetch/a") for _ in range(5)]
            self.assertEqual({item.status for item in replies}, {503})
            self.assertTrue(all(b"Retry-After" in dict(i.headers) for i in replies))
            server.maximum_connections = 1
            await trio.sleep(1.1)
            self.assertEqual((await fixture.send_request("/fetch/a")).status, 200)

    @trio_test
    async def test_server_that_reset_a_connection_gets_no_request_on_the_next(self):
        """Guards against one 502 after another from a server at its limit."""
        route = forward_route(kind=RequestKind.NON_IDEMPOTENT)
        fixture = GatewayFixture(route, servers=1)
        async with fixture.running():
            (server,) = fixture.all_servers()
            server.maximum_connections = 0
            replies = [await fixture.send_request("/fetch/a") for _ in range(5)]
        statuses = [item.status for item in replies]
        self.assertEqual(statuses[1:], [503] * 4)


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
