"""Tests of forwarded requests and gathered queries, in mock time."""

from __future__ import annotations

import math
import unittest

import msgspec
import trio

from ibisfront.gateway.configuration import RequestKind, WeightedService
from ibisfront.gateway.records import greatest_records
from ibisfront.testing.gateway_fixture import (
    GatewayFixture,
    forward_route,
    gather_route,
)
from ibisfront.tests import trio_test


class GatherTest(unittest.TestCase):
    """Queries over many services."""

    @trio_test
    async def test_calm_query_is_whole(self):
        fixture = GatewayFixture(gather_route(20))
        async with fixture.running():
            reply = await fixture.ask()
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
                await fixture.ask()
            for server in fixture.servers["part-3"][:1]:
                server.latency_ms = 400.0
            started_ms = fixture.clock.now_ms()
            replies = [await fixture.ask() for _ in range(4)]
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
            await fixture.ask()
            for server in fixture.servers["part-3"]:
                server.latency_ms = math.inf
            started_ms = fixture.clock.now_ms()
            reply = await fixture.ask()
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
                await fixture.ask()
            for server in fixture.servers["part-3"]:
                server.not_run = True
            fixture.make_room_after("part-3", 0.1)
            reply = await fixture.ask()
        self.assertEqual((reply.status, reply.reason), (200, "whole"))

    @trio_test
    async def test_forwarded_request_waits_for_room_while_there_is_time(self):
        """A caller is refused twice within milliseconds, with seconds left.

        Both servers of the service are full for a moment.
        """
        fixture = GatewayFixture(forward_route(kind=RequestKind.NON_IDEMPOTENT))
        async with fixture.running():
            for server in fixture.servers["archive"]:
                server.not_run = True
            fixture.make_room_after("archive", 0.1)
            reply = await fixture.ask("/fetch/a")
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
            reply = await fixture.ask("/fetch/a", deadline_ms=8000.0)
            took_ms = fixture.clock.now_ms() - started_ms
        self.assertEqual(reply.status, 503)
        self.assertLess(took_ms, 50.0)

    @trio_test
    async def test_query_that_cannot_have_enough_parts_ends_at_once(self):
        """A caller waits for its whole time and is refused all the same.

        Two of four services have no server that may be asked again, and three parts
        are needed: one that is about to come back does not help.
        """
        fixture = GatewayFixture(gather_route(4, minimum=0.75, timeout_ms=2000.0))
        async with fixture.running():
            for _ in range(10):
                await fixture.ask()
            for server in fixture.servers["part-3"] + fixture.servers["part-2"]:
                server.status = 500
            started_ms = fixture.clock.now_ms()
            reply = await fixture.ask()
            took_ms = fixture.clock.now_ms() - started_ms
        self.assertEqual(reply.status, 502)
        self.assertLess(took_ms, 100.0)

    @trio_test
    async def test_too_few_parts_are_no_answer(self):
        fixture = GatewayFixture(gather_route(4, minimum=1.0))
        async with fixture.running():
            for server in fixture.servers["part-3"]:
                server.status = 500
            reply = await fixture.ask()
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
                    await fixture.ask()
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
                await fixture.ask()
            for server in fixture.servers["part-3"]:
                server.latency_ms = 300.0
            for _ in range(40):
                await fixture.ask()
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
                await fixture.ask()
            for server in fixture.servers["part-3"]:
                server.latency_ms = 60.0
            before = sum(len(item.received) for item in fixture.servers["part-3"])
            for _ in range(50):
                await fixture.ask()
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
                await fixture.ask()
            for server in fixture.all_servers():
                server.latency_ms = math.inf
            started_ms = fixture.clock.now_ms()
            reply = await fixture.ask()
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
                await fixture.ask()
            for server in fixture.all_servers():
                server.latency_ms, server.accepts = math.inf, False
            with trio.move_on_after(2.0):
                while True:
                    await fixture.ask()
                    await trio.sleep(0.05)
                    fixture.book.probe_unreachable()
            started_ms = fixture.clock.now_ms()
            reply = await fixture.ask()
            took_ms = fixture.clock.now_ms() - started_ms
            self.assertEqual((reply.status, reply.reason), (503, "out_of_reach"))
            self.assertLess(took_ms, 1.0)
            self.assertFalse(gateway.is_ready)
            for server in fixture.all_servers():
                server.latency_ms, server.accepts = 10.0, True
            for _ in range(30):
                await trio.sleep(0.05)
                fixture.book.probe_unreachable()
            self.assertTrue(gateway.is_ready)
            reply = await fixture.ask()
        self.assertEqual(reply.status, 200)

    @trio_test
    async def test_one_lost_service_leaves_the_instance_ready(self):
        fixture = GatewayFixture(gather_route(20), zone="z1")
        async with fixture.running() as gateway:
            for server in fixture.servers["part-3"]:
                server.accepts = False
            replies = [await fixture.ask() for _ in range(20)]
            self.assertTrue(gateway.is_ready)
        self.assertEqual({reply.reason for reply in replies}, {"partial"})


class ForwardTest(unittest.TestCase):
    """Requests for one server."""

    @trio_test
    async def test_time_left_shrinks_with_each_attempt(self):
        fixture = GatewayFixture(forward_route())
        async with fixture.running():
            for server in fixture.servers["archive"]:
                server.status = 500
            await fixture.ask("/fetch/a", deadline_ms=900.0)
        left_ms = sorted(
            value for server in fixture.all_servers() for value in server.left_ms
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
                server.loses = True
            reply = await fixture.ask("/fetch/a")
        sent = sum(len(server.received) for server in fixture.all_servers())
        self.assertEqual((sent, reply.status), (1, 502))

    @trio_test
    async def test_non_idempotent_request_refused_unrun_goes_elsewhere(self):
        route = forward_route(kind=RequestKind.NON_IDEMPOTENT)
        fixture = GatewayFixture(route)
        async with fixture.running():
            first, second = fixture.servers["archive"]
            for server in (first, second):
                server.status, server.not_run = 503, True
            reply = await fixture.ask("/fetch/a")
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
            reply = await fixture.ask("/fetch/a", deadline_ms=1000.0)
        self.assertEqual(reply.status, 504)

    @trio_test
    async def test_unreachable_service_is_refused_at_once_as_unrun(self):
        fixture = GatewayFixture(forward_route())
        async with fixture.running():
            for server in fixture.servers["archive"]:
                server.accepts = False
            started_ms = fixture.clock.now_ms()
            reply = await fixture.ask("/fetch/a")
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
            replies.append(await fixture.ask("/fetch/a", deadline_ms=20_000.0))

        async with fixture.running():
            for _ in range(20):
                await fixture.ask("/fetch/a", deadline_ms=20_000.0)
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
                await fixture.ask("/fetch/a")
        sent = sum(len(item.received) for item in fixture.servers["print"])
        self.assertEqual(sent, 10)


class RebornServerTest(unittest.TestCase):
    """Requests under way at a server that starts again under its id."""

    async def _ask_across_a_rebirth(self, kind):
        route = forward_route(kind=kind)
        fixture = GatewayFixture(route, servers=1, latency_ms=math.inf)
        replies = []
        async with fixture.running(), trio.open_nursery() as nursery:
            stand_in = fixture.servers["archive"][0]

            async def ask():
                replies.append(await fixture.ask("/fetch/a", deadline_ms=2000.0))

            nursery.start_soon(ask)
            await trio.sleep(0.05)
            stand_in.latency_ms = 10.0
            fixture.book.put(msgspec.structs.replace(stand_in.entry, born_ms=2_000))
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


class RecordsTest(unittest.TestCase):
    """The greatest records of the parts."""

    def test_equal_records_count_and_short_rests_do_not(self):
        low, high = b"a" * 16, b"b" * 16
        bodies = [low + high + b"zz", high, b"", b"c" * 15]
        self.assertEqual(greatest_records(bodies, 3), high + high + low)
