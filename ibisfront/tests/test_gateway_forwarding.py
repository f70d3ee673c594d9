"""Tests of forwarded requests, in mock time."""

from __future__ import annotations

import math
import unittest

import msgspec
import trio

from ibisfront.gateway.state.configuration import RequestKind, WeightedService
from ibisfront.testing.gateway_fixture import (
    GatewayFixture,
    forward_route,
)
from ibisfront.tests import trio_test


class ForwardTest(unittest.TestCase):
    """Requests forwarded to one server."""

    @trio_test
    async def test_time_left_shrinks_with_each_attempt(self):
        fixture = GatewayFixture(forward_route())
        async with fixture.running():
            for server in fixture.servers["archive"]:
                server.status = 500
            await fixture.send_request("/fetch/a", deadline_ms=900.0)
        left_ms = sorted(
            value for server in fixture.all_servers() for value in server.remaining_ms
        )
        self.assertEqual(len(left_ms), 2)
        self.assertLess(left_ms[0], left_ms[1])
        self.assertLessEqual(left_ms[1], 900.0)

    @trio_test
    async def test_non_idempotent_request_is_sent_once(self):
        """Guards against a non-idempotent request that runs twice.

        The server closes the connection after it received the request, which may have
        run. It must not be retried, nor be reported as "not run".
        """
        route = forward_route(kind=RequestKind.NON_IDEMPOTENT)
        fixture = GatewayFixture(route)
        async with fixture.running():
            for server in fixture.servers["archive"]:
                server.drops_connections = True
            reply = await fixture.send_request("/fetch/a")
        sent = sum(len(server.received) for server in fixture.all_servers())
        self.assertEqual((sent, reply.status), (1, 502))

    @trio_test
    async def test_unsent_request_does_not_wait_for_an_unresponsive_server(self):
        """Guards against a request that waits for a connection until its deadline."""
        route = forward_route(kind=RequestKind.NON_IDEMPOTENT)
        fixture = GatewayFixture(route)
        unresponsive = fixture.servers["archive"][0]
        open_connection = fixture._open

        async def open_or_wait(address):
            if address == unresponsive.entry.address:
                await trio.sleep_forever()
            return await open_connection(address)

        fixture._open = open_or_wait
        async with fixture.running():
            for _ in range(6):
                started_s = trio.current_time()
                reply = await fixture.send_request("/fetch/a", deadline_ms=2000.0)
                self.assertEqual(reply.status, 200)
                self.assertLess(trio.current_time() - started_s, 0.3)
        self.assertEqual(unresponsive.received, [])

    @trio_test
    async def test_non_idempotent_request_is_retried_after_not_run(self):
        route = forward_route(kind=RequestKind.NON_IDEMPOTENT)
        fixture = GatewayFixture(route)
        async with fixture.running():
            first, second = fixture.servers["archive"]
            for server in (first, second):
                server.status, server.not_run = 503, True
            reply = await fixture.send_request("/fetch/a")
        self.assertEqual(reply.status, 503)
        self.assertTrue(first.received and second.received)

    @trio_test
    async def test_request_behind_a_partition_is_not_reported_as_not_run(self):
        """Guards against a request that runs after it was reported as "not run".

        The network path to the server fails after the request was written. The bytes
        may arrive when it recovers, after the route's timeout, so that the answer must
        not promise that the request will not run.
        """
        route = forward_route(kind=RequestKind.NON_IDEMPOTENT, timeout_ms=500.0)
        fixture = GatewayFixture(route)
        async with fixture.running():
            for server in fixture.servers["archive"]:
                server.latency_ms = math.inf
            reply = await fixture.send_request("/fetch/a", deadline_ms=1000.0)
        self.assertEqual(reply.status, 504)

    @trio_test
    async def test_unreachable_service_is_refused_at_once_as_not_run(self):
        fixture = GatewayFixture(forward_route())
        async with fixture.running():
            for server in fixture.servers["archive"]:
                server.accepts_connections = False
            started_ms = fixture.clock.now_ms()
            reply = await fixture.send_request("/fetch/a")
            took_ms = fixture.clock.now_ms() - started_ms
        self.assertEqual(reply.status, 503)
        self.assertIn(b"Retry-After", dict(reply.headers))
        self.assertLess(took_ms, 50.0)

    @trio_test
    async def test_long_work_is_not_mistaken_for_a_partition(self):
        """Guards against refusals while every server is busy with other requests.

        Requests of a route take two seconds. Each server has one and sends no reply
        meanwhile, which is normal and does not mean that it is unreachable.
        """
        route = forward_route(timeout_ms=20_000.0, objective_ms=5_000.0)
        fixture = GatewayFixture(route, latency_ms=2_000.0)
        replies = []

        async def send_request():
            replies.append(await fixture.send_request("/fetch/a", deadline_ms=20_000.0))

        async with fixture.running():
            for _ in range(20):
                await fixture.send_request("/fetch/a", deadline_ms=20_000.0)
            async with trio.open_nursery() as nursery:
                for _ in range(6):
                    nursery.start_soon(send_request)
                    await trio.sleep(0.5)
        self.assertEqual({reply.reason for reply in replies}, {"answered"})

    @trio_test
    async def test_requests_follow_the_weights(self):
        services = (WeightedService("archive", 3.0), WeightedService("print", 1.0))
        fixture = GatewayFixture(forward_route(services=services))
        async with fixture.running():
            for _ in range(40):
                await fixture.send_request("/fetch/a")
        sent = sum(len(item.received) for item in fixture.servers["print"])
        self.assertEqual(sent, 10)

    @trio_test
    async def test_forwarded_request_is_retried_while_time_is_left(self):
        """Guards against refusals within milliseconds of requests with seconds left.

        Both servers of the service are full for a short time.
        """
        fixture = GatewayFixture(forward_route(kind=RequestKind.NON_IDEMPOTENT))
        async with fixture.running():
            for server in fixture.servers["archive"]:
                server.not_run = True
            fixture.accept_requests_after("archive", 0.1)
            reply = await fixture.send_request("/fetch/a")
        self.assertEqual(reply.status, 200)

    @trio_test
    async def test_request_without_budget_is_refused_at_once(self):
        """Guards against a caller that waits eight seconds for a refusal.

        Both servers of the service are full, and the retry budget is spent. It recovers
        over ten seconds; the caller itself may retry at once.
        """
        fixture = GatewayFixture(forward_route(), allowance=0.0)
        async with fixture.running():
            for server in fixture.servers["archive"]:
                server.not_run = True
            started_ms = fixture.clock.now_ms()
            reply = await fixture.send_request("/fetch/a", deadline_ms=8000.0)
            took_ms = fixture.clock.now_ms() - started_ms
        self.assertEqual(reply.status, 503)
        self.assertLess(took_ms, 50.0)


class RestartedServerTest(unittest.TestCase):
    """Requests in progress at a server that restarts under the same id."""

    async def _request_across_restart(self, kind):
        route = forward_route(kind=kind)
        fixture = GatewayFixture(route, servers=1, latency_ms=math.inf)
        replies = []
        async with fixture.running(), trio.open_nursery() as nursery:
            fake_server = fixture.servers["archive"][0]

            async def send_request():
                replies.append(
                    await fixture.send_request("/fetch/a", deadline_ms=2000.0)
                )

            nursery.start_soon(send_request)
            await trio.sleep(0.05)
            fake_server.latency_ms = 10.0
            fixture.registry.put(
                msgspec.structs.replace(fake_server.entry, born_ms=2_000)
            )
            await trio.sleep(0.1)
            ended = len(replies)
        return ended, replies[0], len(fake_server.received)

    @trio_test
    async def test_idempotent_request_goes_to_the_new_incarnation_at_once(self):
        """Guards against an answer that is seconds late after a server restart.

        The server crashed behind a partition, so that no connection reset arrived. The
        request waits on a connection to its old incarnation.
        """
        ended, reply, received = await self._request_across_restart(
            RequestKind.IDEMPOTENT
        )
        self.assertEqual((ended, reply.status, received), (1, 200, 2))

    @trio_test
    async def test_non_idempotent_request_may_have_run_before_the_restart(self):
        """Guards against a non-idempotent request that runs twice.

        The server may have run the request before it crashed, and its new
        incarnation has no record of it. The caller must not get "not run".
        """
        ended, reply, received = await self._request_across_restart(
            RequestKind.NON_IDEMPOTENT
        )
        self.assertEqual((ended, reply.status, received), (1, 502, 1))
