"""Tests of forwarded requests and gathered queries, in mock time."""

from __future__ import annotations

import math
import unittest

import trio

from ibisfront.gateway.queries.records import greatest_records
from ibisfront.testing.gateway_fixture import (
    GatewayFixture,
    gather_route,
)
from ibisfront.tests import trio_test


class GatherTest(unittest.TestCase):
    """Queries over many services."""

    @trio_test
    async def test_calm_query_is_whole(self):
        fixture = GatewayFixture(gather_route(20))
        async with fixture.running():
            reply = await fixture.send_request()
        self.assertEqual((reply.status, reply.reason), (200, "whole"))

    @trio_test
    async def test_paused_server_is_hedged_in_time(self):
        """A buyer's search comes late because one server of forty stands still.

        One server takes a request and falls silent for a while, as servers do
        now and then. The second server of the service answers the same at
        once; the answer must be whole and within the objective.
        """
        fixture = GatewayFixture(gather_route(20))
        async with fixture.running():
            for _ in range(10):
                await fixture.send_request()
            for server in fixture.servers["part-3"][:1]:
                server.latency_ms = 400.0
            started_ms = fixture.clock.now_ms()
            replies = [await fixture.send_request() for _ in range(4)]
            took_ms = (fixture.clock.now_ms() - started_ms) / 4
        self.assertEqual({reply.reason for reply in replies}, {"whole"})
        self.assertLess(took_ms, 50.0)

    @trio_test
    async def test_answer_leaves_out_what_would_make_it_late(self):
        """A thin page in time is worth more than a whole one too late.

        Both servers of one service are silent. The answer goes out before the
        objective, names what it holds, and says that one part is missing.
        """
        fixture = GatewayFixture(gather_route(20))
        async with fixture.running():
            await fixture.send_request()
            for server in fixture.servers["part-3"]:
                server.latency_ms = math.inf
            started_ms = fixture.clock.now_ms()
            reply = await fixture.send_request()
            took_ms = fixture.clock.now_ms() - started_ms
        self.assertEqual((reply.status, reply.reason), (200, "partial"))
        self.assertLess(took_ms, 100.0)
        headers = dict(reply.headers)
        self.assertEqual(headers[b"X-Shards-Missing"], b"1")
        self.assertEqual(headers[b"X-Shard-Stamps"].count(b","), 18)

    @trio_test
    async def test_part_that_was_turned_away_is_asked_for_again(self):
        """Searches fail with most of their time left while servers are full.

        Both servers of one service turn the part away. No other part is missing, and
        a moment later there is room again; the caller would have waited for it.
        """
        fixture = GatewayFixture(gather_route(4, minimum=1.0, timeout_ms=2000.0))
        async with fixture.running():
            for _ in range(10):
                await fixture.send_request()
            for server in fixture.servers["part-3"]:
                server.not_run = True
            fixture.accept_requests_after("part-3", 0.1)
            reply = await fixture.send_request()
        self.assertEqual((reply.status, reply.reason), (200, "whole"))

    @trio_test
    async def test_query_that_cannot_have_enough_parts_ends_at_once(self):
        """A caller waits for its whole time and is refused all the same.

        Two of four services have no server that may be asked again, and three parts
        are needed: one that is about to come back does not help.
        """
        fixture = GatewayFixture(gather_route(4, minimum=0.75, timeout_ms=2000.0))
        async with fixture.running():
            for _ in range(10):
                await fixture.send_request()
            for server in fixture.servers["part-3"] + fixture.servers["part-2"]:
                server.status = 500
            started_ms = fixture.clock.now_ms()
            reply = await fixture.send_request()
            took_ms = fixture.clock.now_ms() - started_ms
        self.assertEqual(reply.status, 502)
        self.assertLess(took_ms, 100.0)

    @trio_test
    async def test_too_few_parts_are_no_answer(self):
        fixture = GatewayFixture(gather_route(4, minimum=1.0))
        async with fixture.running():
            for server in fixture.servers["part-3"]:
                server.status = 500
            reply = await fixture.send_request()
        self.assertEqual(reply.status, 502)

    @trio_test
    async def test_caller_that_leaves_stops_the_work(self):
        """Servers go on working for a caller that has hung up.

        The caller leaves after a tenth of the work. Every server must see its
        connection close, or the slots are held for nobody.
        """
        fixture = GatewayFixture(gather_route(5), latency_ms=100.0)
        async with fixture.running():
            with self.assertLogs("ibisfront", "INFO") as logs:
                with trio.move_on_after(0.02):
                    await fixture.send_request()
            await trio.sleep(0.01)
            running = sum(server.running for server in fixture.all_servers())
        self.assertEqual(running, 0)
        self.assertIn("The asker left.", logs.output[-1])

    @trio_test
    async def test_slow_server_does_not_work_on_for_nobody(self):
        """Slow servers are full of requests whose answers went out long ago.

        Both servers of a service take thirty times as long, and answers go
        out without its part. What the servers still work on must be stopped,
        since others wait for their slots; healthy servers are left alone.
        """
        fixture = GatewayFixture(gather_route(5))
        async with fixture.running():
            for _ in range(20):
                await fixture.send_request()
            for server in fixture.servers["part-3"]:
                server.latency_ms = 300.0
            for _ in range(40):
                await fixture.send_request()
        slow = sum(server.cancelled for server in fixture.servers["part-3"])
        healthy = sum(server.cancelled for server in fixture.servers["part-2"])
        self.assertGreater(slow, 20)
        self.assertEqual(healthy, 0)

    @trio_test
    async def test_hedges_stay_within_the_budget(self):
        """A slow service gets twice the load just when it can do least.

        Every server of a service turns slow; each query would be hedged. Extra
        sub-requests must stay within a fifth of the first ones.
        """
        fixture = GatewayFixture(gather_route(5), allowance=0.0)
        async with fixture.running():
            for _ in range(10):
                await fixture.send_request()
            for server in fixture.servers["part-3"]:
                server.latency_ms = 60.0
            before = sum(len(item.received) for item in fixture.servers["part-3"])
            for _ in range(50):
                await fixture.send_request()
            after = sum(len(item.received) for item in fixture.servers["part-3"])
        self.assertLessEqual(after - before, 50 + 0.2 * 60)


class IsolationTest(unittest.TestCase):
    """An instance that is cut off from its servers."""

    @trio_test
    async def test_query_to_silent_servers_ends_in_time_to_go_elsewhere(self):
        """A whole zone's searches hang until their time is up.

        The zone is cut off; all servers stand in other zones, and nothing
        comes back from any. The first queries must fail while their callers
        still have time to ask elsewhere, not at the route's timeout.
        """
        fixture = GatewayFixture(gather_route(20))
        async with fixture.running():
            for _ in range(10):
                await fixture.send_request()
            for server in fixture.all_servers():
                server.latency_ms = math.inf
            started_ms = fixture.clock.now_ms()
            reply = await fixture.send_request()
            took_ms = fixture.clock.now_ms() - started_ms
        self.assertEqual((reply.status, reply.closes), (502, True))
        self.assertLess(took_ms, 100.0)

    @trio_test
    async def test_cut_off_instance_refuses_at_once_and_is_not_ready(self):
        """Callers go on being sent to an instance that can serve none.

        After the first silence the instance knows that it is cut off. It
        refuses at once, unrun, and tells the balancer; when the cut heals it
        notices by itself and serves again.
        """
        fixture = GatewayFixture(gather_route(20), zone="z1")
        async with fixture.running() as gateway:
            for _ in range(10):
                await fixture.send_request()
            for server in fixture.all_servers():
                server.latency_ms, server.accepts_connections = math.inf, False
            with trio.move_on_after(2.0):
                while True:
                    await fixture.send_request()
                    await trio.sleep(0.05)
                    fixture.registry.probe_unreachable()
            started_ms = fixture.clock.now_ms()
            reply = await fixture.send_request()
            took_ms = fixture.clock.now_ms() - started_ms
            self.assertEqual((reply.status, reply.reason), (503, "out_of_reach"))
            self.assertLess(took_ms, 1.0)
            self.assertFalse(gateway.is_ready)
            for server in fixture.all_servers():
                server.latency_ms, server.accepts_connections = 10.0, True
            for _ in range(30):
                await trio.sleep(0.05)
                fixture.registry.probe_unreachable()
            self.assertTrue(gateway.is_ready)
            reply = await fixture.send_request()
        self.assertEqual(reply.status, 200)

    @trio_test
    async def test_one_lost_service_leaves_the_instance_ready(self):
        fixture = GatewayFixture(gather_route(20), zone="z1")
        async with fixture.running() as gateway:
            for server in fixture.servers["part-3"]:
                server.accepts_connections = False
            replies = [await fixture.send_request() for _ in range(20)]
            self.assertTrue(gateway.is_ready)
        self.assertEqual({reply.reason for reply in replies}, {"partial"})


class RecordsTest(unittest.TestCase):
    """The greatest records of the parts."""

    def test_equal_records_count_and_short_rests_do_not(self):
        low, high = b"a" * 16, b"b" * 16
        bodies = [low + high + b"zz", high, b"", b"c" * 15]
        self.assertEqual(greatest_records(bodies, 3), high + high + low)
