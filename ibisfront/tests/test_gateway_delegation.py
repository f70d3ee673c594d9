"""Tests of the delegation of parts of a query to another instance, in mock time."""

from __future__ import annotations

import math
import unittest

import msgspec
import trio

from ibisfront.gateway.queries.delegated_query import parse_delegated_query
from ibisfront.testing.gateway_fixture import gather_route
from ibisfront.testing.two_zones import TwoZones
from ibisfront.tests import trio_test


def route(number=20, name="part", **changes):
    """Return a scatter-gather route over a number of services."""
    return gather_route(number, prefix=name, **changes)


class DelegationTest(unittest.TestCase):
    """Two instances in two zones, each with half of the services."""

    @trio_test
    async def test_parts_of_another_zone_are_delegated_to_one_instance(self):
        zones = TwoZones(route())
        async with zones.running():
            reply = await zones.send_request("z0")
            direct_sub_requests = zones.sub_requests_from("z0", zone="z1")
            delegated = zones.delegated
        self.assertEqual((reply.status, reply.reason), (200, "whole"))
        self.assertEqual((direct_sub_requests, delegated), (0, 1))
        stamps = dict(reply.headers)[b"X-Shard-Stamps"].split(b", ")
        self.assertEqual(len(set(stamps)), 20)

    @trio_test
    async def test_halves_of_a_query_together_lack_too_many_parts(self):
        """Guards against two instances that each lack all that a query may lack."""
        zones = TwoZones(route())
        async with zones.running():
            await zones.send_request("z0")
            registry = zones.gateways["z0"]._gateway_context.registry
            for server in registry.of_service("part-0"):
                server.window.record_rejected(zones.clock.now_ms(), took_ms=0.0, sent=1)
            reply = await zones.send_request("z0")
            self.assertEqual((reply.reason, zones.delegated), ("whole", 1))
            await trio.sleep(2.0)
            await zones.send_request("z0")
            self.assertEqual(zones.delegated, 2)

    @trio_test
    async def test_answer_has_parts_of_one_version_across_a_repartition(self):
        """Guards against one answer with parts of two versions.

        A new version lists other services for the same route. The placement that was
        cached for the old version must not be used for the new one.
        """
        zones = TwoZones(route(), extra_route=route(30, "shard"))
        async with zones.running():
            await zones.send_request("z0")
            zones.apply_configuration(2, route(30, "shard"))
            reply = await zones.send_request("z0")
        stamps = dict(reply.headers)[b"X-Shard-Stamps"].split(b", ")
        self.assertEqual(len(stamps), 30)
        self.assertTrue(all(stamp.startswith(b"shard") for stamp in stamps))

    @trio_test
    async def test_required_parts_are_awaited_past_the_objective(self):
        """Guards against queries that fail with most of their deadline left.

        Both servers of four services of the other zone are slow. If the instance there
        ended at the latency objective, it would return 6 of its 10 parts, where 8 are
        needed even with all 10 of this zone.
        """
        zones = TwoZones(route(minimum=0.9, timeout_ms=2000.0))
        async with zones.running():
            for _ in range(5):
                await zones.send_request("z0")
            for service in ("part-1", "part-3", "part-5", "part-7"):
                zones.slow_down(service, 300.0)
            replies = []
            for _ in range(40):
                replies.append(await zones.send_request("z0"))
                await trio.sleep(0.5)
        self.assertEqual({reply.status for reply in replies}, {200})

    @trio_test
    async def test_instance_with_another_list_of_services_is_not_used(self):
        """Guards against versions that decrease for a caller.

        One instance has the new version, the other does not yet. The first must query
        all services itself instead of mixing both.
        """
        zones = TwoZones(route(), extra_route=route(30, "shard"))
        async with zones.running():
            await zones.send_request("z0")
            zones.apply_configuration(2, route(30, "shard"), only="z0")
            reply = await zones.send_request("z0")
        stamps = dict(reply.headers)[b"X-Shard-Stamps"].split(b", ")
        self.assertEqual(reply.reason, "whole")
        self.assertTrue(all(stamp.startswith(b"shard") for stamp in stamps))

    @trio_test
    async def test_instance_with_another_version_runs_the_same_query(self):
        """Guards against refusals for seconds after each change of another route.

        The store rejects some instances while operators change a route. An instance
        has the new version, its coordinator does not. The query is the same in both
        and must be answered.
        """
        zones = TwoZones(route(), delegates=True)
        async with zones.running():
            zones.apply_configuration(2, route(), only="z0")
            reply = await zones.send_request("z0")
        self.assertEqual((reply.status, reply.reason), (200, "whole"))

    @trio_test
    async def test_unresponsive_instance_is_replaced_in_time(self):
        """Guards against the loss of half of the parts while an instance hangs.

        The other instance accepts the query and does not reply. The parts must be
        requested directly while there is time.
        """
        zones = TwoZones(route())
        async with zones.running():
            for _ in range(40):
                await zones.send_request("z0")
            zones.frozen = True
            started_ms = zones.clock.now_ms()
            reply = await zones.send_request("z0")
            took_ms = zones.clock.now_ms() - started_ms
        self.assertEqual((reply.status, reply.reason), (200, "whole"))
        self.assertLess(took_ms, 100.0)

    @trio_test
    async def test_waiting_for_direct_parts_uses_no_cpu_time(self):
        """Guards against a busy loop that delays answers.

        The other instance has answered, one part requested directly has not. The time
        to replace the other instance has passed; wake-ups for it would repeat without
        end and use half of the CPU.
        """
        zones = TwoZones(route())
        async with zones.running():
            for _ in range(40):
                await zones.send_request("z0")
            zones.slow_down("part-0", math.inf)
            before = zones.clock_reads
            await zones.send_request("z0")
            reads = zones.clock_reads - before
        self.assertLess(reads, 400)

    @trio_test
    async def test_fallback_parts_are_hedged(self):
        """Guards against failures in all zones in the first second of a partition.

        The instances and servers of a zone become unresponsive. The parts delegated to
        it are requested directly; where the preferred server is unresponsive too, the
        request must be hedged in time, although the parts requested directly from
        the start were hedged long before.
        """
        zones = TwoZones(route(minimum=1.0))
        zones.set_latency("z1", 30.0)
        async with zones.running():
            for _ in range(40):
                await zones.send_request("z0")
            zones.frozen = True
            zones.set_latency("z1", math.inf, copy=0)
            reply = await zones.send_request("z0")
        self.assertEqual((reply.status, reply.reason), (200, "whole"))

    @trio_test
    async def test_whole_query_runs_until_there_are_enough_parts(self):
        """Guards against failures whenever a few servers pause.

        A coordinator runs a whole query, and some servers reply just after the latency
        objective. If it ended there, the query would fail with too few parts long
        before the caller's deadline; a late answer is wanted instead.
        """
        zones = TwoZones(route(minimum=0.9), delegates=True)
        zones.set_latency("z0", 130.0)
        async with zones.running():
            reply = await zones.send_request("z0")
        self.assertEqual((reply.status, zones.delegated), (200, 1))

    @trio_test
    async def test_late_live_instance_is_awaited(self):
        """Guards against the loss of an answer that is only late.

        An instance sends its coordinator one query in several seconds, so that no
        other reply shows that the coordinator is alive. The call must not be abandoned
        after two latency objectives, with most of the deadline left.
        """
        zones = TwoZones(route(minimum=0.9, timeout_ms=2000.0), delegates=True)
        async with zones.running():
            await zones.send_request("z0")
            await trio.sleep(5.0)
            for service in ("part-0", "part-1", "part-2", "part-3"):
                zones.slow_down(service, 600.0)
            reply = await zones.send_request("z0")
        self.assertEqual((reply.status, zones.delegated), (200, 2))

    @trio_test
    async def test_query_of_a_lost_instance_is_retried_on_another(self):
        """Guards against the loss of queries when a coordinator hangs.

        It accepts queries and does not reply. Each instance of the zone has to detect
        that itself, and a caller's retry may reach one that has not yet.
        """
        zones = TwoZones(route(minimum=0.9, timeout_ms=2000.0), delegates=True)
        async with zones.running():
            for _ in range(40):
                await zones.send_request("z0")
            zones.frozen = True
            started_ms = zones.clock.now_ms()
            reply = await zones.send_request("z0")
            took_ms = zones.clock.now_ms() - started_ms
            second_reply = await zones.send_request("z0")
            second_took_ms = zones.clock.now_ms() - started_ms - took_ms
        self.assertEqual((reply.status, second_reply.status), (200, 200))
        # Half of the deadline; the next query avoids the lost instance.
        self.assertLess(took_ms, 500.0)
        self.assertLess(second_took_ms, 100.0)

    @trio_test
    async def test_retry_does_not_exceed_the_attempts_of_the_route(self):
        """Guards against a part that runs on more servers than the route allows.

        Each service has more servers than the route allows attempts. The coordinator
        was lost while it ran the query and may have queried any of them.
        """
        zones = TwoZones(route(timeout_ms=2000.0, attempts=1), delegates=True)
        async with zones.running():
            await zones.send_request("z0")
            zones.frozen = True
            reply = await zones.send_request("z0")
        self.assertEqual((reply.status, reply.closes), (502, True))
        self.assertEqual(zones.delegated, 2)

    @trio_test
    async def test_instance_with_coordinators_detects_partition_of_its_zone(self):
        """Guards against a partitioned zone that still accepts callers.

        Its instances use a coordinator and query no servers themselves, so that each
        would look ready to the load balancer. Every query there would fail, although
        the other zones could serve it.
        """
        zones = TwoZones(route(minimum=0.9), delegates=True)
        async with zones.running():
            await zones.send_request("z0")
            zones.partition("z0")
            for _ in range(8):
                await zones.send_request("z0")
                await trio.sleep(0.1)
            reply = await zones.send_request("z0")
            self.assertEqual((reply.status, reply.reason), (503, "out_of_reach"))
            self.assertTrue(reply.closes)
            self.assertFalse(zones.gateways["z0"].is_ready)
            await trio.sleep(2.0)
            self.assertTrue(zones.gateways["z0"].is_ready)

    @trio_test
    async def test_replaced_query_is_not_sent_later(self):
        """Guards against a part that runs on three servers where the route allows two.

        The connection to the other instance takes long to open, and the parts are
        requested directly. The query queued for the connection must not be sent once
        it is open.
        """
        zones = TwoZones(route())
        zones.peer_connect_ms = 130.0
        async with zones.running():
            reply = await zones.send_request("z0")
            await trio.sleep(2.0)
        self.assertEqual((reply.reason, zones.delegated), ("whole", 0))

    @trio_test
    async def test_caller_disconnect_cancels_the_work_of_both_instances(self):
        zones = TwoZones(route(), latency_ms=80.0)
        async with zones.running():
            with trio.move_on_after(0.03):
                await zones.send_request("z0")
            await trio.sleep(0.01)
            running = zones.running_requests()
        self.assertEqual(running, 0)


class DelegatedQueryTest(unittest.TestCase):
    """Parsing of delegated queries."""

    @trio_test
    async def test_malformed_query_is_none(self):
        request = TwoZones(route()).request("/search/a")
        self.assertIsNone(parse_delegated_query(request))
        headers = [
            (b"X-Ibisfront-Version", b"7"),
            (b"X-Ibisfront-Services", b"zz"),
            (b"X-Ibisfront-Objective-Ms", b"5"),
        ]
        request = msgspec.structs.replace(request, headers=headers)
        self.assertIsNone(parse_delegated_query(request))
