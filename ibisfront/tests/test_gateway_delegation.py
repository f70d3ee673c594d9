"""Tests of asking another instance for parts of a query, in mock time."""

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
    """Return a route over so many services."""
    return gather_route(number, prefix=name, **changes)


class DelegationTest(unittest.TestCase):
    """Two instances in two zones; each zone holds half of the services."""

    @trio_test
    async def test_far_parts_are_asked_of_one_instance(self):
        zones = TwoZones(route())
        async with zones.running():
            reply = await zones.ask("z0")
            far = zones.received_from("z0", zone="z1")
            delegated = zones.delegated
        self.assertEqual((reply.status, reply.reason), (200, "whole"))
        self.assertEqual((far, delegated), (0, 1))
        stamps = dict(reply.headers)[b"X-Shard-Stamps"].split(b", ")
        self.assertEqual(len(set(stamps)), 20)

    @trio_test
    async def test_answer_holds_parts_of_one_version_across_a_repartition(self):
        """A search names 37 parts although the index never had so many.

        A new version names other services for the same route. What was found
        out for the old one a moment ago must not be used for the new one.
        """
        zones = TwoZones(route(), also=route(30, "shard"))
        async with zones.running():
            await zones.ask("z0")
            zones.put(2, route(30, "shard"))
            reply = await zones.ask("z0")
        stamps = dict(reply.headers)[b"X-Shard-Stamps"].split(b", ")
        self.assertEqual(len(stamps), 30)
        self.assertTrue(all(stamp.startswith(b"shard") for stamp in stamps))

    @trio_test
    async def test_parts_without_which_the_query_fails_are_waited_for(self):
        """Searches fail with three quarters of their time left.

        Both servers of four services of the other zone are slow. The instance
        there ended at the objective with 6 of its 10 parts; 8 are needed even
        with all 10 of this zone. All 40 of such queries failed before.
        """
        zones = TwoZones(route(minimum=0.9, timeout_ms=2000.0))
        async with zones.running():
            for _ in range(5):
                await zones.ask("z0")
            for service in ("part-1", "part-3", "part-5", "part-7"):
                zones.slow_down(service, 300.0)
            replies = []
            for _ in range(40):
                replies.append(await zones.ask("z0"))
                await trio.sleep(0.5)
        self.assertEqual({reply.status for reply in replies}, {200})

    @trio_test
    async def test_instance_with_another_list_of_services_is_not_used(self):
        """Versions fall for a caller whose query crosses a slower instance.

        One instance knows the new version, the other does not yet. The first
        must ask all services itself instead of mixing both.
        """
        zones = TwoZones(route(), also=route(30, "shard"))
        async with zones.running():
            await zones.ask("z0")
            zones.put(2, route(30, "shard"), only="z0")
            reply = await zones.ask("z0")
        stamps = dict(reply.headers)[b"X-Shard-Stamps"].split(b", ")
        self.assertEqual(reply.reason, "whole")
        self.assertTrue(all(stamp.startswith(b"shard") for stamp in stamps))

    @trio_test
    async def test_instance_with_another_version_gathers_the_same_query(self):
        """Searches are refused for seconds after each change of some route.

        The store turns some instances away while the operators change a route.
        An instance knows the new version, the one that gathers for it does not.
        The search itself is the same in both, and must be gathered.
        """
        zones = TwoZones(route(), follows=True)
        async with zones.running():
            zones.put(2, route(), only="z0")
            reply = await zones.ask("z0")
        self.assertEqual((reply.status, reply.reason), (200, "whole"))

    @trio_test
    async def test_silent_instance_is_replaced_in_time(self):
        """Searches of a zone lose half of their parts while an instance hangs.

        The other instance is frozen: it takes the query and says nothing. The
        parts must be asked for from here while there is time.
        """
        zones = TwoZones(route())
        async with zones.running():
            for _ in range(40):
                await zones.ask("z0")
            zones.frozen = True
            started_ms = zones.clock.now_ms()
            reply = await zones.ask("z0")
            took_ms = zones.clock.now_ms() - started_ms
        self.assertEqual((reply.status, reply.reason), (200, "whole"))
        self.assertLess(took_ms, 100.0)

    @trio_test
    async def test_waiting_for_own_parts_costs_no_processor_time(self):
        """An instance is busy with nothing, and answers late.

        The other instance has answered, one part asked from here has not. The
        moment to replace the other instance has passed; waking up for it over
        and over took half of the processor.
        """
        zones = TwoZones(route())
        async with zones.running():
            for _ in range(40):
                await zones.ask("z0")
            zones.slow_down("part-0", math.inf)
            before = zones.clock_reads
            await zones.ask("z0")
            reads = zones.clock_reads - before
        self.assertLess(reads, 400)

    @trio_test
    async def test_parts_asked_from_here_are_hedged_too(self):
        """Searches fail in all zones for the first second of a cut.

        A zone falls silent with its instances and its servers. The parts that
        an instance there was asked for are asked for from here; where the
        first choice is one of the silent servers, the other one must be asked
        while there is time, although the parts asked from here at once were
        hedged long before.
        """
        zones = TwoZones(route(minimum=1.0))
        zones.set_latency("z1", 30.0)
        async with zones.running():
            for _ in range(40):
                await zones.ask("z0")
            zones.frozen = True
            zones.set_latency("z1", math.inf, copy=0)
            reply = await zones.ask("z0")
        self.assertEqual((reply.status, reply.reason), (200, "whole"))

    @trio_test
    async def test_whole_query_is_gathered_until_there_is_enough(self):
        """Searches fail at once whenever a few servers pause.

        An instance has its whole query gathered by another one. Some servers
        reply just after the objective. Ended there with the parts that were
        in, the query would fail for too few parts, long before the caller's
        time was up; a late answer is wanted instead.
        """
        zones = TwoZones(route(minimum=0.9), follows=True)
        zones.set_latency("z0", 130.0)
        async with zones.running():
            reply = await zones.ask("z0")
        self.assertEqual((reply.status, zones.delegated), (200, 1))

    @trio_test
    async def test_instance_that_is_late_and_alive_is_waited_for(self):
        """Searches fail with most of their time left while servers are slow.

        An instance has its queries gathered by another one, which it asks once in
        seconds: no reply to anything else says that the other one is at work. Its
        answer was given up after two objectives and would have come.
        """
        zones = TwoZones(route(minimum=0.9, timeout_ms=2000.0), follows=True)
        async with zones.running():
            await zones.ask("z0")
            await trio.sleep(5.0)
            for service in ("part-0", "part-1", "part-2", "part-3"):
                zones.slow_down(service, 600.0)
            reply = await zones.ask("z0")
        self.assertEqual((reply.status, zones.delegated), (200, 2))

    @trio_test
    async def test_query_of_a_lost_instance_is_gathered_by_another(self):
        """Each instance of a zone loses a search when the one they follow hangs.

        It took their queries and says nothing more. Each of them has to find that
        out by itself, and its caller comes again to one that has not yet.
        """
        zones = TwoZones(route(minimum=0.9, timeout_ms=2000.0), follows=True)
        async with zones.running():
            for _ in range(40):
                await zones.ask("z0")
            zones.frozen = True
            started_ms = zones.clock.now_ms()
            reply = await zones.ask("z0")
            took_ms = zones.clock.now_ms() - started_ms
            again = await zones.ask("z0")
            took_again_ms = zones.clock.now_ms() - started_ms - took_ms
        self.assertEqual((reply.status, again.status), (200, 200))
        # Half of the caller's time; the next query knows.
        self.assertLess(took_ms, 500.0)
        self.assertLess(took_again_ms, 100.0)

    @trio_test
    async def test_servers_are_not_asked_beyond_the_attempts_of_the_route(self):
        """A part runs on three servers although the route allows two.

        Each service has more servers than the route allows attempts. The instance
        that gathered the query was lost with it, and may have asked any of them.
        """
        zones = TwoZones(route(timeout_ms=2000.0, attempts=1), follows=True)
        async with zones.running():
            await zones.ask("z0")
            zones.frozen = True
            reply = await zones.ask("z0")
        self.assertEqual((reply.status, reply.closes), (502, True))
        self.assertEqual(zones.delegated, 2)

    @trio_test
    async def test_instance_that_others_gather_for_sees_that_its_zone_is_cut(self):
        """A zone cut off from the servers keeps taking callers.

        Its instances have their queries gathered by one of them and ask no
        servers themselves, so that each seems ready to the balancer. Every
        search there fails while the other zones could serve it.
        """
        zones = TwoZones(route(minimum=0.9), follows=True)
        async with zones.running():
            await zones.ask("z0")
            zones.cut("z0")
            for _ in range(8):
                await zones.ask("z0")
                await trio.sleep(0.1)
            reply = await zones.ask("z0")
            self.assertEqual((reply.status, reply.reason), (503, "out_of_reach"))
            self.assertTrue(reply.closes)
            self.assertFalse(zones.gateways["z0"].is_ready)
            await trio.sleep(2.0)
            self.assertTrue(zones.gateways["z0"].is_ready)

    @trio_test
    async def test_query_that_was_replaced_unsent_is_never_sent(self):
        """A part runs on three servers although the route allows two.

        The connection to the other instance takes long to open. The parts are
        asked for from here; the query that still waits for the connection
        must not go out once it is open.
        """
        zones = TwoZones(route())
        zones.peer_connect_ms = 130.0
        async with zones.running():
            reply = await zones.ask("z0")
            await trio.sleep(2.0)
        self.assertEqual((reply.reason, zones.delegated), ("whole", 0))

    @trio_test
    async def test_caller_that_leaves_stops_the_work_of_both(self):
        zones = TwoZones(route(), latency_ms=80.0)
        async with zones.running():
            with trio.move_on_after(0.03):
                await zones.ask("z0")
            await trio.sleep(0.01)
            running = zones.running_requests()
        self.assertEqual(running, 0)


class DelegatedQueryTest(unittest.TestCase):
    """What stands on the wire between instances."""

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
