"""Tests of the connections to one server, in mock time."""

from __future__ import annotations

import unittest

import msgspec
import trio

from ibisfront.core.clock import Clock
from ibisfront.gateway.servers.exchange import Exchange
from ibisfront.gateway.servers.pool import ServerPool
from ibisfront.gateway.servers.server import Server
from ibisfront.gateway.servers.server_entry import ServerEntry
from ibisfront.gateway.state.configuration import RequestKind
from ibisfront.http1.backend_connection import backend_connection_opener
from ibisfront.platform.headers import WIRE
from ibisfront.testing.gateway_fixture import (
    GatewayFixture,
    forward_route,
    gather_route,
)
from ibisfront.tests import trio_test, trio_test_real_clock

REJECTION = b"HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\nX-Backend-Stamp: s\r\n"


class CopyingServer:
    """Sends each answer once more where the next one is expected.

    Attributes
    ----------
    copies : int
        Number of answers that were sent once more.
    connections : int
        Number of connections that were opened.
    """

    def __init__(self, first, *, copies_answers=True):
        self.first = first
        self.copies_answers = copies_answers
        self.copies = 0
        self.connections = 0
        self._requests = 0

    async def serve(self, stream):
        """Serve one connection."""
        self.connections += 1
        copy = b""
        while received := await stream.receive_some(65536):
            if copy:
                self.copies += 1
                await stream.send_all(copy)
                await trio.sleep(0.02)
            reply = self._reply(received)
            await stream.send_all(reply)
            copy = reply if self.copies_answers else b""

    def _reply(self, received):
        self._requests += 1
        head, body = self.first, b"first"
        if self._requests > 1:
            head, body = ANSWER, b"second"
        head += b"X-Request-Id: %b\r\nContent-Length: %d\r\n\r\n"
        return head % (received.split()[1], len(body)) + body


async def _exchanges_with(fake_server, request_ids, *, maximum):
    """Send requests in sequence over a pool; return the exchanges."""
    clock = Clock()
    async with trio.open_nursery() as nursery:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, fake_server.serve, [listener])
        host, port = listener.socket.getsockname()
        entry = ServerEntry("i-1", "s", f"{host}:{port}", "z")
        server = Server(entry, now_ms=clock.now_ms(), is_near=True)
        server.pool = ServerPool(
            server,
            open_connection=backend_connection_opener(
                decode_reply=WIRE.decode_reply, clock=clock, nursery=nursery
            ),
            nursery=nursery,
            clock=clock,
            maximum=maximum,
        )
        ended = [await _exchange(server, clock, item) for item in request_ids]
        nursery.cancel_scope.cancel()
    return ended


async def _exchange(server, clock, request_id):
    """Send a request to a server and wait until the exchange ends."""
    done = trio.Event()

    def on_end(exchange):
        server.pool.record_ended(exchange)
        done.set()

    exchange = Exchange(
        server,
        request_id=request_id,
        payload=lambda at_ms: b"GET " + request_id + b" HTTP/1.1\r\n\r\n",
        on_end=on_end,
        rank=0,
        created_at_ms=clock.now_ms(),
        expected_ms=100.0,
    )
    server.pool.submit(exchange)
    with trio.fail_after(5.0):
        await done.wait()
    await trio.sleep(0.01)
    return exchange


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


class RepeatedIdTest(unittest.TestCase):
    """Requests that are sent to one server again, under the same id."""

    @trio_test_real_clock
    async def test_late_copy_of_a_rejection_is_not_the_answer_to_the_repeat(self):
        """Guards against an order that runs twice after its rejection came twice."""
        for first in (REJECTION, ANSWER):
            for maximum in (1, 4):
                server = CopyingServer(first)
                with self.subTest(first[:12], maximum=maximum):
                    ended = await _exchanges_with(server, [b"r1"] * 2, maximum=maximum)
                    bodies = [item.reply.body for item in ended]
                    self.assertEqual(bodies, [b"first", b"second"])
                    self.assertEqual(server.copies, 0)

    @trio_test_real_clock
    async def test_next_request_uses_the_connection_of_another_id(self):
        """Guards against a new connection for each request."""
        server = CopyingServer(ANSWER, copies_answers=False)
        request_ids = [b"r%d" % number for number in range(20)]
        await _exchanges_with(server, request_ids, maximum=1)
        self.assertEqual(server.connections, 1)


class LostIdleConnectionTest(unittest.TestCase):
    """A connection that turns out to be lost when a waiting request is sent."""

    @trio_test
    async def test_waiting_request_is_sent_on_another_connection(self):
        """Guards against a waiting request that is forgotten until its deadline."""
        route = forward_route(kind=RequestKind.NON_IDEMPOTENT)
        fixture = GatewayFixture(route, servers=1, latency_ms=50.0)
        async with fixture.running(), trio.open_nursery() as nursery:
            (listed,) = fixture.registry.servers()
            listed.pool.maximum = 1
            await fixture.send_request("/fetch/a")
            replies = []

            async def send():
                replies.append(await fixture.send_request("/fetch/a"))

            nursery.start_soon(send)
            await trio.sleep(0.01)
            nursery.start_soon(send)
            await trio.sleep(0.01)
            (connection,) = listed.pool._connections
            connection.expires_at_ms = 0.0
            await trio.sleep(0.5)
            self.assertEqual([item.status for item in replies], [200, 200])


class DrainingServerTest(unittest.TestCase):
    """Requests that wait for a server when it begins to drain."""

    @trio_test
    async def test_waiting_request_does_not_reach_a_draining_server(self):
        """Guards against requests that reach a server long after it began to drain."""
        route = forward_route(timeout_ms=9_000.0, objective_ms=4_000.0)
        fixture = GatewayFixture(route, servers=1, latency_ms=1_000.0)
        async with fixture.running(), trio.open_nursery() as nursery:
            replies = []

            async def send():
                reply = await fixture.send_request("/fetch/a", deadline_ms=9_000.0)
                replies.append(reply.status)

            (listed,) = fixture.registry.servers()
            listed.pool.maximum = 4
            for _ in range(16):
                nursery.start_soon(send)
            await trio.sleep(0.5)
            (server,) = fixture.all_servers()
            sent = len(server.received)
            entry = msgspec.structs.replace(server.entry, is_draining=True)
            fixture.registry.put(entry)
            await trio.sleep(0.1)
            self.assertEqual(replies, [503] * (16 - sent))
            await trio.sleep(8.0)
            self.assertEqual(len(server.received), sent)
            self.assertEqual(replies.count(200), sent)


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
