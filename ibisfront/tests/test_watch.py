"""Tests of watching the platform by a few instances of each zone."""

from __future__ import annotations

import random
import unittest

import trio

from ibisfront.adapters.platform import ObjectsRead
from ibisfront.core.clock import Clock
from ibisfront.core.counters import CounterKind, Counters
from ibisfront.core.dissemination import ObjectDissemination
from ibisfront.core.members import Member, Members
from ibisfront.core.objects import ObjectKind, ObjectStore
from ibisfront.core.watch import WATCHERS_PER_ZONE, PlatformWatch, watcher_names
from ibisfront.testing.peers import PeerNetwork
from ibisfront.testing.platform_state import FakePlatform
from ibisfront.testing.platform_types import Outage, PlatformFaults
from ibisfront.testing.shared_state_cluster import SharedStateCluster
from ibisfront.tests import trio_test

ZONES = 3


class WatchersTest(unittest.TestCase):
    """The platform call rate does not grow with the fleet."""

    async def _run(self, count: int, scenario) -> None:
        clock = Clock()
        async with trio.open_nursery() as nursery:
            platform = FakePlatform(clock=clock)
            cluster = SharedStateCluster(
                platform=platform, clock=clock, nursery=nursery, zones=ZONES
            )
            await cluster.put(ObjectKind.INDEX, "register", {"snapshots": []})
            cluster.start(*range(count))
            await cluster.wait_until(
                lambda: all(
                    len(node.members.live()) == count for node in cluster.nodes.values()
                )
            )
            await clock.sleep_ms(5_000.0)
            await scenario(cluster)
            nursery.cancel_scope.cancel()

    async def _reads_in_a_minute(self, cluster: SharedStateCluster) -> int:
        before = cluster.platform.state().reads.total
        await cluster.clock.sleep_ms(60_000.0)
        return cluster.platform.state().reads.total - before

    @trio_test
    async def test_calls_do_not_grow_with_the_fleet(self) -> None:
        """A fleet grows from 6 to 12 instances.

        If each instance watched, the fleet would exceed the platform's rate
        limits, which grow more slowly than the fleet.
        """
        reads = {}

        async def scenario(cluster) -> None:
            waiting = cluster.platform.state().watches_waiting
            self.assertEqual(waiting, ZONES * WATCHERS_PER_ZONE)
            reads[len(cluster.nodes)] = await self._reads_in_a_minute(cluster)

        await self._run(6, scenario)
        await self._run(12, scenario)
        watches = ZONES * WATCHERS_PER_ZONE * 60 / 20
        lists = ZONES * WATCHERS_PER_ZONE * 60 / 10
        for count, total in reads.items():
            with self.subTest(count=count):
                self.assertLess(total, 1.5 * (watches + lists))

    @trio_test
    async def test_lost_watchers_are_replaced(self) -> None:
        async def scenario(cluster) -> None:
            members = cluster.nodes["i0"].members
            await cluster.kill(*watcher_names(members, "z1"))
            await cluster.clock.sleep_ms(12_000.0)
            waiting = cluster.platform.state().watches_waiting
            self.assertEqual(waiting, ZONES * WATCHERS_PER_ZONE)
            version = await cluster.put(ObjectKind.INDEX, "more", {"snapshots": []})
            await cluster.wait_until(
                lambda: all(
                    node.store.revision >= version for node in cluster.nodes.values()
                ),
                within_ms=1000.0,
            )

        await self._run(12, scenario)

    @trio_test
    async def test_no_thundering_herd_after_an_outage(self) -> None:
        """The platform recovers after an outage of a minute.

        Instances that all retried or listed simultaneously would overload it
        again.
        """

        async def scenario(cluster) -> None:
            cluster.platform.set_faults(PlatformFaults(outage=Outage.REFUSE))
            await cluster.clock.sleep_ms(60_000.0)
            before = cluster.platform.state().reads.total
            cluster.platform.set_faults(PlatformFaults())
            await cluster.clock.sleep_ms(1000.0)
            burst = cluster.platform.state().reads.total - before
            self.assertLessEqual(burst, ZONES * WATCHERS_PER_ZONE)
            version = await cluster.put(ObjectKind.INDEX, "more", {"snapshots": []})
            await cluster.wait_until(
                lambda: all(
                    node.store.revision >= version for node in cluster.nodes.values()
                ),
                within_ms=11_000.0,
            )

        await self._run(9, scenario)


class _FaultyPlatform:
    """A fake platform whose watches fail as configured."""

    def __init__(self) -> None:
        self.calls: list[str] = []
        self.silent = True
        self.change_result = ObjectsRead(5, ())

    async def list_objects(self, kinds) -> ObjectsRead:
        self.calls.append("list")
        await trio.lowlevel.checkpoint()
        return ObjectsRead(5, ())

    async def changes(self, kinds, *, after, wait_ms) -> ObjectsRead | None:
        self.calls.append("changes")
        if self.silent:
            await trio.sleep_forever()
        await trio.lowlevel.checkpoint()
        return self.change_result


class FaultyWatchTest(unittest.TestCase):
    """A watch becomes silent, or returns at once without changes."""

    async def _run(self, platform: _FaultyPlatform, duration_ms: float) -> Counters:
        clock = Clock()
        counters = Counters()
        async with trio.open_nursery() as nursery:
            network = PeerNetwork(clock=clock, nursery=nursery)
            dissemination = ObjectDissemination(
                ObjectStore(), peers=network.join("i1"), clock=clock, counters=counters
            )
            watch = PlatformWatch(
                platform=platform,
                dissemination=dissemination,
                members=Members(Member("i1", "z1", "p1", "a1", 1)),
                connected=lambda: (),
                clock=clock,
                counters=counters,
                random=random.Random(1),
                wait_ms=20_000.0,
            )
            nursery.start_soon(watch.run)
            await clock.sleep_ms(duration_ms)
            nursery.cancel_scope.cancel()
        return counters

    @trio_test
    async def test_silent_watch_is_abandoned(self) -> None:
        """A watch stays open without a response, while new calls would work.

        Without a timeout the instance would never receive another edit.
        """
        platform = _FaultyPlatform()
        counters = await self._run(platform, 60_000.0)
        self.assertEqual(
            counters.value(CounterKind.PLATFORM_CALLS, "watch_silent"),
            platform.calls.count("changes") - 1,
        )
        self.assertGreaterEqual(platform.calls.count("changes"), 3)

    @trio_test
    async def test_watch_that_returns_at_once_is_not_called_in_a_loop(self) -> None:
        """A proxy answers each watch at once with an empty response.

        One instance that called it in a loop would exhaust the read rate limit.
        """
        platform = _FaultyPlatform()
        platform.silent = False
        await self._run(platform, 60_000.0)
        self.assertLess(len(platform.calls), 60)

    @trio_test
    async def test_revision_always_too_old_is_not_called_in_a_loop(self) -> None:
        platform = _FaultyPlatform()
        platform.silent = False
        platform.change_result = None
        await self._run(platform, 60_000.0)
        self.assertLess(len(platform.calls), 100)
