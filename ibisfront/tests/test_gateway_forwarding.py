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
    """Requests for one server."""

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
        """A trainer is phoned twice since an alert was sent again.

        The server loses the connection after it took the request, which may
        have run. It must not be sent again, nor be called "not run".
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
    async def test_unsent_request_does_not_wait_for_a_server_that_is_dark(self):
        """Guards against work held for its whole time for want of a connection."""
        route = forward_route(kind=RequestKind.NON_IDEMPOTENT)
        fixture = GatewayFixture(route)
        dark = fixture.servers["archive"][0]
        open_connection = fixture._open

        async def open_or_wait(address):
            if address == dark.entry.address:
                await trio.sleep_forever()
            return await open_connection(address)

        fixture._open = open_or_wait
        async with fixture.running():
            for _ in range(6):
                started_s = trio.current_time()
                reply = await fixture.send_request("/fetch/a", deadline_ms=2000.0)
                self.assertEqual(reply.status, 200)
                self.assertLess(trio.current_time() - started_s, 0.3)
        self.assertEqual(dark.received, [])

    @trio_test
    async def test_non_idempotent_request_refused_unrun_goes_elsewhere(self):
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
    async def test_request_held_up_by_a_cut_link_is_not_called_unrun(self):
        """An inquiry is sent twice: the first copy ran seconds after "not run".

        The link to the server is cut after the request was written. At the
        route's timeout nothing is known of it; the bytes may arrive when the
        link heals. The answer must not promise that it will not run.
        """
        route = forward_route(kind=RequestKind.NON_IDEMPOTENT, timeout_ms=500.0)
        fixture = GatewayFixture(route)
        async with fixture.running():
            for server in fixture.servers["archive"]:
                server.latency_ms = math.inf
            reply = await fixture.send_request("/fetch/a", deadline_ms=1000.0)
        self.assertEqual(reply.status, 504)

    @trio_test
    async def test_unreachable_service_is_refused_at_once_as_unrun(self):
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
    async def test_long_work_is_not_taken_for_a_cut_way(self):
        """Fetches are refused although every server is at work on others.

        The work of a route takes two seconds. Each server has one request and
        replies to nothing meanwhile; that silence is its usual work, and says
        nothing of whether it can be reached.
        """
        route = forward_route(timeout_ms=20_000.0, objective_ms=5_000.0)
        fixture = GatewayFixture(route, latency_ms=2_000.0)
        replies = []

        async def ask():
            replies.append(await fixture.send_request("/fetch/a", deadline_ms=20_000.0))

        async with fixture.running():
            for _ in range(20):
                await fixture.send_request("/fetch/a", deadline_ms=20_000.0)
            async with trio.open_nursery() as nursery:
                for _ in range(6):
                    nursery.start_soon(ask)
                    await trio.sleep(0.5)
        self.assertEqual({reply.reason for reply in replies}, {"answered"})

    @trio_test
    async def test_weights_share_the_requests(self):
        services = (WeightedService("archive", 3.0), WeightedService("print", 1.0))
        fixture = GatewayFixture(forward_route(services=services))
        async with fixture.running():
            for _ in range(40):
                await fixture.send_request("/fetch/a")
        sent = sum(len(item.received) for item in fixture.servers["print"])
        self.assertEqual(sent, 10)

    @trio_test
    async def test_forwarded_request_waits_for_room_while_there_is_time(self):
        """A caller is refused twice within milliseconds, with seconds left.

        Both servers of the service are full for a moment.
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
        """A caller is held for eight seconds, and refused all the same.

        Both servers of the service are full, and the budget of extra sub-requests is
        spent. It comes back over ten seconds; the caller may come again at once.
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


class RebornServerTest(unittest.TestCase):
    """Requests under way at a server that starts again under its id."""

    async def _ask_across_a_rebirth(self, kind):
        route = forward_route(kind=kind)
        fixture = GatewayFixture(route, servers=1, latency_ms=math.inf)
        replies = []
        async with fixture.running(), trio.open_nursery() as nursery:
            stand_in = fixture.servers["archive"][0]

            async def ask():
                replies.append(
                    await fixture.send_request("/fetch/a", deadline_ms=2000.0)
                )

            nursery.start_soon(ask)
            await trio.sleep(0.05)
            stand_in.latency_ms = 10.0
            fixture.registry.put(msgspec.structs.replace(stand_in.entry, born_ms=2_000))
            await trio.sleep(0.1)
            ended = len(replies)
        return ended, replies[0], len(stand_in.received)

    @trio_test
    async def test_idempotent_request_goes_to_the_new_incarnation_at_once(self):
        """A lookup comes two seconds late though its server is long back.

        The server died behind a cut, so that no reset came, and started again.
        The request waits on a connection to the dead one.
        """
        ended, reply, received = await self._ask_across_a_rebirth(
            RequestKind.IDEMPOTENT
        )
        self.assertEqual((ended, reply.status, received), (1, 200, 2))

    @trio_test
    async def test_non_idempotent_request_may_have_run_at_the_dead_one(self):
        """An envelope is printed twice.

        The server may have run the request before it died. Its next
        incarnation knows nothing of it; the caller is not told "not run".
        """
        ended, reply, received = await self._ask_across_a_rebirth(
            RequestKind.NON_IDEMPOTENT
        )
        self.assertEqual((ended, reply.status, received), (1, 502, 1))
