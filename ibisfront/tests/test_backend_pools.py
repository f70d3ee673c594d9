"""Tests of the connection pools of backend servers and their maintenance."""

from __future__ import annotations

import unittest
from functools import partial

import trio

from ibisfront.core.backend_pools import connection_share
from ibisfront.core.counters import CounterKind
from ibisfront.core.members import Member, MemberState
from ibisfront.core.query_settings import QuerySettings
from ibisfront.core.server_status import ServerStatuses
from ibisfront.core.service import BackendServer
from ibisfront.testing.backend_types import BackendSettings as FakeBackendSettings
from ibisfront.testing.peers import PeerNetwork
from ibisfront.testing.search_fixture import SearchFixture
from ibisfront.tests import trio_test

SERVER = BackendServer("s1-0", "s1-0:1", "z1")


async def search_steadily(fixture, *, searches, every_ms=20.0, **fields):
    """Run searches at a constant rate and return how many parts each answered."""
    answered = []

    async def search_once():
        answer = await fixture.search(**fields)
        answered.append(answer.coverage.answered)

    async with trio.open_nursery() as nursery:
        for _ in range(searches):
            nursery.start_soon(search_once)
            await fixture.clock.sleep_ms(every_ms)
    return answered


class SilenceTest(unittest.TestCase):
    """Silent connections are detected and not reused."""

    @trio_test
    async def test_silent_connections_are_retired_and_the_server_stays(self):
        """Lookups hang although every server is healthy.

        A middlebox has dropped the state of the open connections to one
        server: they deliver no byte and no error, while new ones work. The
        idle ones were reused, each for one more search that hung.
        """
        fixture = SearchFixture()
        async with fixture.maintenance():
            await search_steadily(fixture, searches=30)
            old_connections = fixture.network.open_to("s1-0:1")
            self.assertTrue(old_connections)
            fixture.network.silence("s1-0:1")
            answered = await search_steadily(fixture, searches=100)
            self.assertEqual(set(answered), {2})
            self.assertTrue(all(connection.closed for connection in old_connections))
            sent = fixture.network.sent["s1-0:1"]
            await search_steadily(fixture, searches=50)
            self.assertGreater(fixture.network.sent["s1-0:1"], sent)
            self.assertFalse(fixture.pool("s1", 0).health.ejected)

    @trio_test
    async def test_frozen_server_is_ejected_and_readmitted(self):
        """Coverage drops to half while one of two replicas is frozen.

        It accepts connections but answers nothing, so no error occurs. It must
        be ejected within the detection time and used again soon after it
        answers a probe.
        """
        fixture = SearchFixture()
        async with fixture.maintenance():
            await search_steadily(fixture, searches=30)
            fixture.set_faults("s1", 0, frozen=True)
            answered = await search_steadily(fixture, searches=150)
            self.assertTrue(fixture.pool("s1", 0).health.ejected)
            self.assertEqual(set(answered), {2})
            fixture.set_faults("s1", 0)
            await fixture.clock.sleep_ms(10_000.0)
            self.assertFalse(fixture.pool("s1", 0).health.ejected)

    @trio_test
    async def test_slow_search_is_not_treated_as_silent(self):
        """A long search of an idle service is aborted as if it had hung.

        It runs ten times longer than the others. A probe on a new connection
        is answered, which retires the idle connections, but the search itself
        must continue and its answer must be used.
        """
        fixture = SearchFixture(servers=1)
        async with fixture.maintenance():
            await search_steadily(fixture, searches=20)
            fixture.set_faults("s1", 0, straggle_fraction=1.0, straggle_factor=160.0)
            started_ms = fixture.clock.now_ms()
            answer = await fixture.search(deadline_ms=2_000.0)
            self.assertEqual(answer.coverage.answered, 2)
            self.assertLess(fixture.clock.now_ms() - started_ms, 810.0)
            self.assertLessEqual(fixture.extra_sub_requests(21), 1)

    @trio_test
    async def test_slow_servers_are_not_retired_or_ejected_in_a_loop(self):
        """Silence detection adds load to a service that is already slow.

        All servers of a healthy service become 40 times slower, so that each
        search exceeds the silence bound. If slow answers were treated as
        silence each time, connections would be reopened and servers ejected
        repeatedly.
        """
        fixture = SearchFixture()
        async with fixture.maintenance():
            await search_steadily(fixture, searches=50)
            for number in range(2):
                fixture.set_faults(
                    "s1", number, straggle_fraction=1.0, straggle_factor=40.0
                )
            answered = await search_steadily(
                fixture, searches=50, every_ms=400.0, deadline_ms=2_000.0
            )
            self.assertEqual(set(answered), {2})
            self.assertLessEqual(fixture.count(CounterKind.CONNECTIONS, "silent"), 2)
            self.assertEqual(fixture.count(CounterKind.EJECTIONS, "no_answer"), 0)

    @trio_test
    async def test_search_does_not_wait_for_an_unreachable_service(self):
        """Every lookup in a partitioned zone takes until its deadline.

        The other zones' servers neither answer nor refuse connections. The
        servers of this zone answer immediately, but their rows were held until
        the deadline because another service has no server here. When the
        partition ends, the next search must have full coverage.
        """
        fixture = SearchFixture()
        async with fixture.maintenance():
            await search_steadily(fixture, searches=30)
            for number in range(2):
                fixture.set_faults("s1", number, frozen=True)
            await search_steadily(fixture, searches=100)
            started_ms = fixture.clock.now_ms()
            answer = await fixture.search(deadline_ms=5_000.0)
            waited_ms = fixture.clock.now_ms() - started_ms
            missing = [item.service for item in answer.coverage.missing]
            self.assertEqual(missing, ["s1"])
            self.assertEqual(answer.coverage.answered, 1)
            self.assertLessEqual(waited_ms, 400.0)
            for number in range(2):
                fixture.set_faults("s1", number)
            self.assertEqual(set(await search_steadily(fixture, searches=20)), {2})

    @trio_test
    async def test_search_does_not_wait_for_the_probe_of_a_silent_server(self):
        """Lookups take most of a second when another zone is partitioned.

        Many servers go silent at once and exhaust the hedging budget.
        Sub-requests sent to them waited until the probe had timed out, and new
        searches were sent there too, although another replica was healthy.
        """
        fixture = SearchFixture(services=8, query=QuerySettings(hedge_fraction=0.0))
        durations_ms = []

        async def search_once():
            started_ms = fixture.clock.now_ms()
            answer = await fixture.search()
            self.assertEqual(answer.coverage.answered, 8)
            durations_ms.append(fixture.clock.now_ms() - started_ms)

        async with fixture.maintenance():
            await search_steadily(fixture, searches=30)
            for service in fixture.services:
                fixture.set_faults(service, 0, frozen=True)
            async with trio.open_nursery() as nursery:
                for _ in range(60):
                    nursery.start_soon(search_once)
                    await fixture.clock.sleep_ms(20.0)
        self.assertLessEqual(max(durations_ms), 500.0)


class ConnectionTest(unittest.TestCase):
    """Connections are limited and shared among instances and callers."""

    def test_share_depends_on_live_instances(self):
        self.assertEqual(connection_share(25, 1), 25)
        self.assertEqual(connection_share(25, 9), 2)
        self.assertEqual(connection_share(25, 100), 1)

    @trio_test
    async def test_share_decreases_at_once_and_increases_after_a_delay(self):
        """A server refuses connections after a partition of the instances.

        Each instance briefly considered the others gone and used their
        connections as well. The share must decrease immediately when instances
        are added, but increase only some time after instances have left.
        """
        fixture = SearchFixture()
        async with fixture.maintenance():
            await search_steadily(fixture, searches=2)
            pool = fixture.pool("s0", 0)
            self.assertEqual(pool.maximum_connections, 25)
            others = [Member(f"i{n}", "z2", f"a:{n}", f"b:{n}") for n in range(2, 6)]
            for member in others:
                fixture.members.merge(member)
            await fixture.clock.sleep_ms(1_500.0)
            self.assertEqual(pool.maximum_connections, 5)
            for member in others:
                left = Member(member.name, "z2", "a", "b", 1, MemberState.LEFT)
                fixture.members.merge(left)
            await fixture.clock.sleep_ms(2_000.0)
            self.assertEqual(pool.maximum_connections, 5)
            await fixture.clock.sleep_ms(8_000.0)
            self.assertEqual(pool.maximum_connections, 25)

    @trio_test
    async def test_idle_connections_are_closed_but_a_few_stay_warm(self):
        """A server at its connection limit refuses those of a new instance.

        An older instance still holds idle connections from its last load peak.
        They must be closed after a while, except a few warm ones that save the
        next search the time to connect.
        """
        fixture = SearchFixture(services=1, servers=1)
        async with fixture.maintenance():
            async with trio.open_nursery() as nursery:
                for _ in range(4):
                    nursery.start_soon(fixture.search)
            self.assertEqual(len(fixture.network.open_to("s0-0:1")), 4)
            await fixture.clock.sleep_ms(15_000.0)
            self.assertEqual(len(fixture.network.open_to("s0-0:1")), 2)

    @trio_test
    async def test_urgent_search_does_not_wait_behind_bulk(self):
        """An interactive name check waits for a whole bulk run.

        Thirty bulk lookups queue for the few slots at one server. The name
        check arrives last and must be served next.
        """
        fixture = SearchFixture(services=1, servers=1)
        finished = []

        async def search(name, **fields):
            await fixture.search(name, deadline_ms=30_000.0, **fields)
            finished.append(name)

        async with trio.open_nursery() as nursery:
            for number in range(30):
                nursery.start_soon(search, f"bulk-{number}")
            await fixture.clock.sleep_ms(1.0)
            nursery.start_soon(partial(search, "desk", urgent=True))
        self.assertLess(finished.index("desk"), 10)

    @trio_test
    async def test_branches_share_connections_round_robin(self):
        fixture = SearchFixture(services=1, servers=1)
        finished = []

        async def search(name, branch):
            await fixture.search(name, branch=branch, deadline_ms=30_000.0)
            finished.append(branch)

        async with trio.open_nursery() as nursery:
            for number in range(30):
                nursery.start_soon(search, f"flood-{number}", "harbour")
            await fixture.clock.sleep_ms(1.0)
            for number in range(4):
                nursery.start_soon(search, f"few-{number}", "vestry")
        self.assertLess(max(i for i, b in enumerate(finished) if b == "vestry"), 20)


class OverloadTest(unittest.TestCase):
    """Load on servers that shed is reduced, and restored when they recover."""

    @trio_test
    async def test_retry_delay_of_a_shedding_server_is_respected(self):
        """Immediate retries keep an overloaded service overloaded.

        Both servers shed all requests for a while and return a retry delay,
        which each search ignored. A search that cannot wait that long must not
        be sent, and after the overload every search must be answered.
        """
        fixture = SearchFixture(fake_settings=FakeBackendSettings(retry_after_ms=200))
        await search_steadily(fixture, searches=5)
        for number in range(2):
            fixture.set_faults("s1", number, shedding=True)
        await search_steadily(fixture, searches=100, every_ms=10.0, deadline_ms=100.0)
        shed = sum(fixture.server("s1", n).state().counts.shed for n in range(2))
        self.assertLess(shed, 60)
        for number in range(2):
            fixture.set_faults("s1", number)
        await fixture.clock.sleep_ms(300.0)
        answered = await search_steadily(fixture, searches=100, every_ms=10.0)
        self.assertEqual(set(answered), {2})


class DrainingStatusTest(unittest.TestCase):
    """A draining status received by one instance applies to all."""

    @trio_test
    async def test_draining_reported_by_another_instance_stops_new_work(self):
        """A draining server gets work from each instance that it has not notified.

        Another instance was refused as draining and notified its peers. This
        one polled the received statuses once a second and sent work meanwhile.
        """
        async with trio.open_nursery() as nursery:
            fixture = SearchFixture()
            network = PeerNetwork(clock=fixture.clock, nursery=nursery)
            statuses = [
                ServerStatuses(
                    fixture.store, peers=network.join(name), clock=fixture.clock
                )
                for name in ("i1", "i2")
            ]
            fixture.use_server_statuses(statuses[0])
            async with fixture.maintenance():
                await search_steadily(fixture, searches=5)
                statuses[1].record_draining(SERVER)
                await fixture.clock.sleep_ms(10.0)
                sent = fixture.network.sent["s1-0:1"]
                answered = await search_steadily(fixture, searches=50)
                self.assertEqual(set(answered), {2})
                self.assertEqual(fixture.network.sent["s1-0:1"], sent)

    @trio_test
    async def test_draining_reply_notifies_other_instances(self):
        async with trio.open_nursery() as nursery:
            fixture = SearchFixture()
            network = PeerNetwork(clock=fixture.clock, nursery=nursery)
            statuses = [
                ServerStatuses(
                    fixture.store, peers=network.join(name), clock=fixture.clock
                )
                for name in ("i1", "i2")
            ]
            fixture.use_server_statuses(statuses[0])
            fixture.set_faults("s1", 0, draining=True)
            await search_steadily(fixture, searches=20)
            self.assertTrue(statuses[1].is_draining(SERVER))
            self.assertEqual(fixture.count(CounterKind.MISSING, "draining"), 0)
