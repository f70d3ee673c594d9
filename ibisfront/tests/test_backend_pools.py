"""Tests of the links to backend servers and of their upkeep."""

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
from ibisfront.testing.backend_types import BackendSettings as StandInSettings
from ibisfront.testing.peers import PeerNetwork
from ibisfront.testing.search_fixture import SearchFixture
from ibisfront.tests import trio_test

SERVER = BackendServer("s1-0", "s1-0:1", "z1")


async def search_steadily(fixture, *, searches, every_ms=20.0, **fields):
    """Run searches at a steady pace and return the coverage of each."""
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
    """Open connections that go silent are found and used no more."""

    @trio_test
    async def test_silent_connections_are_retired_and_the_server_stays(self):
        """Lookups hang although every server is well.

        Something between the ends has lost track of the open connections to
        one server: they bring no byte and no error, while new ones work. The
        idle ones went on being used, each for one more search that hung.
        """
        fixture = SearchFixture()
        async with fixture.upkeep():
            await search_steadily(fixture, searches=30)
            old = fixture.network.open_to("s1-0:1")
            self.assertTrue(old)
            fixture.network.silence("s1-0:1")
            answered = await search_steadily(fixture, searches=100)
            self.assertEqual(set(answered), {2})
            self.assertTrue(all(connection.closed for connection in old))
            sent = fixture.network.sent["s1-0:1"]
            await search_steadily(fixture, searches=50)
            self.assertGreater(fixture.network.sent["s1-0:1"], sent)
            self.assertFalse(fixture.pool("s1", 0).health.ejected)

    @trio_test
    async def test_frozen_server_is_left_out_and_comes_back(self):
        """Coverage falls to a half while one of two replicas is frozen.

        It accepts connections and answers nothing, so nothing fails. It is
        left out within the time of detection, and asked again soon after it
        answers a probe.
        """
        fixture = SearchFixture()
        async with fixture.upkeep():
            await search_steadily(fixture, searches=30)
            fixture.set_faults("s1", 0, frozen=True)
            answered = await search_steadily(fixture, searches=150)
            self.assertTrue(fixture.pool("s1", 0).health.ejected)
            self.assertEqual(set(answered), {2})
            fixture.set_faults("s1", 0)
            await fixture.clock.sleep_ms(10_000.0)
            self.assertFalse(fixture.pool("s1", 0).health.ejected)

    @trio_test
    async def test_slow_search_is_not_taken_for_silence(self):
        """A long search of a quiet service is cut off as if it had hung.

        It runs ten times longer than the others. A probe on a fresh
        connection is answered, which retires idle connections, but the search
        itself goes on and its answer counts.
        """
        fixture = SearchFixture(servers=1)
        async with fixture.upkeep():
            await search_steadily(fixture, searches=20)
            fixture.set_faults("s1", 0, straggle_fraction=1.0, straggle_factor=160.0)
            started_ms = fixture.clock.now_ms()
            answer = await fixture.search(deadline_ms=2_000.0)
            self.assertEqual(answer.coverage.answered, 2)
            self.assertLess(fixture.clock.now_ms() - started_ms, 810.0)
            self.assertLessEqual(fixture.extra_sent(21), 1)

    @trio_test
    async def test_slow_servers_are_not_retired_or_ejected_in_a_loop(self):
        """Every answer comes late, and the tier makes it worse.

        All servers of a healthy service become 40 times slower, so that each
        search takes longer than a silence is waited for. Were every round of
        slow answers taken for silence, the connections would be closed and
        opened again and again and the servers ejected, which adds load to
        what is slow already.
        """
        fixture = SearchFixture()
        async with fixture.upkeep():
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
    async def test_search_does_not_wait_for_a_service_that_is_cut_off(self):
        """Every lookup in a zone that is cut off takes until its deadline.

        The other zones' servers neither answer nor refuse. The servers of
        this zone answer at once, yet their rows were held until the deadline
        for the sake of a service that has no server here. When the cut ends,
        the next search has to be whole again.
        """
        fixture = SearchFixture()
        async with fixture.upkeep():
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
        """Lookups take most of a second when another zone is cut off.

        Many servers fall silent at once and use up the hedged requests. What
        waits there had to wait until the probe of its server had timed out,
        and new searches were sent there too, although another replica is well.
        """
        fixture = SearchFixture(services=8, query=QuerySettings(hedge_fraction=0.0))
        durations_ms = []

        async def search_once():
            started_ms = fixture.clock.now_ms()
            answer = await fixture.search()
            self.assertEqual(answer.coverage.answered, 8)
            durations_ms.append(fixture.clock.now_ms() - started_ms)

        async with fixture.upkeep():
            await search_steadily(fixture, searches=30)
            for service in fixture.services:
                fixture.set_faults(service, 0, frozen=True)
            async with trio.open_nursery() as nursery:
                for _ in range(60):
                    nursery.start_soon(search_once)
                    await fixture.clock.sleep_ms(20.0)
        self.assertLessEqual(max(durations_ms), 500.0)


class ConnectionTest(unittest.TestCase):
    """Connections are scarce and shared."""

    def test_share_is_by_live_instances(self):
        self.assertEqual(connection_share(25, 1), 25)
        self.assertEqual(connection_share(25, 9), 2)
        self.assertEqual(connection_share(25, 100), 1)

    @trio_test
    async def test_share_falls_at_once_and_rises_slowly(self):
        """A server refuses connections after a partition of the instances.

        Each instance believes for a moment that the others are gone and takes
        their connections too. The share follows a larger number of instances
        at once, but a smaller one only when it has lasted.
        """
        fixture = SearchFixture()
        async with fixture.upkeep():
            await search_steadily(fixture, searches=2)
            pool = fixture.pool("s0", 0)
            self.assertEqual(pool.share, 25)
            others = [Member(f"i{n}", "z2", f"a:{n}", f"b:{n}") for n in range(2, 6)]
            for member in others:
                fixture.members.merge(member)
            await fixture.clock.sleep_ms(1_500.0)
            self.assertEqual(pool.share, 5)
            for member in others:
                left = Member(member.name, "z2", "a", "b", 1, MemberState.LEFT)
                fixture.members.merge(left)
            await fixture.clock.sleep_ms(2_000.0)
            self.assertEqual(pool.share, 5)
            await fixture.clock.sleep_ms(8_000.0)
            self.assertEqual(pool.share, 25)

    @trio_test
    async def test_idle_connections_are_shed_but_a_few_stay_warm(self):
        """A server at its limit refuses a new instance's connections.

        An older instance still holds those of its last peak, all idle. They
        are closed after a while, except a few that spare the next search the
        time to open one.
        """
        fixture = SearchFixture(services=1, servers=1)
        async with fixture.upkeep():
            async with trio.open_nursery() as nursery:
                for _ in range(4):
                    nursery.start_soon(fixture.search)
            self.assertEqual(len(fixture.network.open_to("s0-0:1")), 4)
            await fixture.clock.sleep_ms(15_000.0)
            self.assertEqual(len(fixture.network.open_to("s0-0:1")), 2)

    @trio_test
    async def test_urgent_search_does_not_wait_behind_bulk(self):
        """A name check at the desk waits for a whole bulk run.

        Thirty bulk lookups queue for the few places at one server. The name
        check comes last and is served next.
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
    async def test_branches_take_turns_for_connections(self):
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
    """Servers that shed are asked less, and more again when they can."""

    @trio_test
    async def test_shedding_server_is_left_alone_for_as_long_as_it_asks(self):
        """An overloaded service is kept overloaded by asking it again.

        Both servers shed everything for a while and say when to come back.
        Each search asked them at once and again; now a search that cannot
        wait is not sent, and afterwards every search is answered again.
        """
        fixture = SearchFixture(stand_in=StandInSettings(retry_after_ms=200))
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


class SignsTest(unittest.TestCase):
    """What one instance hears of a leaving server counts for all."""

    @trio_test
    async def test_drain_heard_by_another_instance_stops_new_work_here(self):
        """A leaving server gets work from each instance that it has not told.

        Another instance was refused as draining and told its peers. This one
        looked at what it had been told once a second, and sent on meanwhile.
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
            fixture.follow_statuses(statuses[0])
            async with fixture.upkeep():
                await search_steadily(fixture, searches=5)
                statuses[1].record_draining(SERVER)
                await fixture.clock.sleep_ms(10.0)
                sent = fixture.network.sent["s1-0:1"]
                answered = await search_steadily(fixture, searches=50)
                self.assertEqual(set(answered), {2})
                self.assertEqual(fixture.network.sent["s1-0:1"], sent)

    @trio_test
    async def test_drain_heard_here_is_told(self):
        async with trio.open_nursery() as nursery:
            fixture = SearchFixture()
            network = PeerNetwork(clock=fixture.clock, nursery=nursery)
            statuses = [
                ServerStatuses(
                    fixture.store, peers=network.join(name), clock=fixture.clock
                )
                for name in ("i1", "i2")
            ]
            fixture.follow_statuses(statuses[0])
            fixture.set_faults("s1", 0, draining=True)
            await search_steadily(fixture, searches=20)
            self.assertTrue(statuses[1].is_draining(SERVER))
            self.assertEqual(fixture.count(CounterKind.MISSING, "draining"), 0)
