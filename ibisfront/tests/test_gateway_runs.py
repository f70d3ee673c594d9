"""Tests of scatter-gather queries, in mock time."""

from __future__ import annotations

import math
import unittest

import trio

from ibisfront.gateway.queries.records import top_records
from ibisfront.testing.gateway_fixture import (
    GatewayFixture,
    gather_route,
)
from ibisfront.tests import trio_test


class GatherTest(unittest.TestCase):
    """Queries over many services."""

    @trio_test
    async def test_query_without_failures_is_whole(self):
        fixture = GatewayFixture(gather_route(20))
        async with fixture.running():
            reply = await fixture.send_request()
        self.assertEqual((reply.status, reply.reason), (200, "whole"))

    @trio_test
    async def test_paused_server_is_hedged_in_time(self):
        """Guards against a late answer because one server of forty pauses.

        One server accepts a request and pauses, as servers do occasionally. The second
        server of the service can answer at once; the answer must be complete and within
        the latency objective.
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
    async def test_answer_omits_late_parts(self):
        """Guards against a complete answer that comes too late to be of use.

        Both servers of one service are unresponsive. The answer is sent before the
        latency objective, lists its parts and reports one part missing.
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
    async def test_rejected_part_is_retried(self):
        """Guards against failures with time left while servers are full.

        Both servers of one service reject the part, and no other part is missing. They
        have room again soon, well before the deadline.
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
        """Guards against a query that fails only at its deadline.

        Two of four services have no server for a retry, and three parts are needed: a
        single one that becomes available again does not help.
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
    async def test_query_with_too_few_parts_fails(self):
        fixture = GatewayFixture(gather_route(4, minimum=1.0))
        async with fixture.running():
            for server in fixture.servers["part-3"]:
                server.status = 500
            reply = await fixture.send_request()
        self.assertEqual(reply.status, 502)

    @trio_test
    async def test_caller_disconnect_cancels_the_work(self):
        """Guards against servers that keep working after the caller has disconnected.

        The caller disconnects after a fifth of the work. Every connection to a server
        must be closed, or slots stay occupied for an abandoned request.
        """
        fixture = GatewayFixture(gather_route(5), latency_ms=100.0)
        async with fixture.running():
            with self.assertLogs("ibisfront", "INFO") as logs:
                with trio.move_on_after(0.02):
                    await fixture.send_request()
            await trio.sleep(0.01)
            running = sum(server.running for server in fixture.all_servers())
        self.assertEqual(running, 0)
        self.assertIn("The requester disconnected.", logs.output[-1])

    @trio_test
    async def test_abandoned_requests_on_slow_servers_are_cancelled(self):
        """Guards against slow servers that are full of abandoned requests.

        Both servers of a service take thirty times as long, and answers are sent
        without its part. Their abandoned requests must be cancelled to free the slots;
        requests on healthy servers are not cancelled.
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
        """Guards against doubling the load on a service that has become slow.

        Every server of a service is slow, so that each query would be hedged. Extra
        attempts must stay within a fifth of the primary ones.
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


class PartitionedInstanceTest(unittest.TestCase):
    """An instance partitioned from its servers."""

    @trio_test
    async def test_query_to_unresponsive_servers_ends_in_time_for_a_retry(self):
        """Guards against queries of a zone that all wait until their deadline.

        The zone is partitioned; all servers are in other zones, and none replies. The
        first queries must fail while their callers still have time to retry elsewhere,
        not at the route's timeout.
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
    async def test_partitioned_instance_refuses_at_once_and_is_not_ready(self):
        """Guards against callers sent to an instance that can serve none of them.

        After the first requests without a reply the instance detects the partition. It
        refuses at once as not run and reports itself not ready; when the partition
        heals, it detects that by itself and serves again.
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


class TopRecordsTest(unittest.TestCase):
    """Merging of the records of the parts."""

    def test_equal_records_are_kept_and_short_remainders_dropped(self):
        low, high = b"a" * 16, b"b" * 16
        bodies = [low + high + b"zz", high, b"", b"c" * 15]
        self.assertEqual(top_records(bodies, 3), high + high + low)
