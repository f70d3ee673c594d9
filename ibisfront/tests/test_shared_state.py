"""Tests of the state shared by instances, over in-memory streams."""

from __future__ import annotations

import unittest

import trio

from ibisfront.core.clock import Clock
from ibisfront.core.objects import ObjectKind, VersionedObject
from ibisfront.core.table import TABLE_NAME, Purpose, Row, Table
from ibisfront.testing.platform_state import FakePlatform
from ibisfront.testing.platform_types import Outage, PlatformFaults
from ibisfront.testing.shared_state_cluster import SharedStateCluster
from ibisfront.tests import trio_test


def _table(weight: float) -> Table:
    return Table(
        purposes=(Purpose("name-check", "search", index="register"),),
        rows=(Row("vestry", "name-check", weight=weight),),
    )


class DisseminationTest(unittest.TestCase):
    """An accepted edit reaches every instance and is not reverted."""

    @trio_test
    async def test_edit_reaches_all_within_a_second(self) -> None:
        clock = Clock()
        async with trio.open_nursery() as nursery:
            platform = FakePlatform(clock=clock)
            cluster = SharedStateCluster(
                platform=platform, clock=clock, nursery=nursery
            )
            await cluster.put(ObjectKind.TABLE, TABLE_NAME, _table(1.0))
            nodes = cluster.start(*range(9))
            await cluster.wait_until(
                lambda: all(len(node.members.live()) == 9 for node in nodes)
            )
            await cluster.wait_until(
                lambda: all(node.catalogue.table for node in nodes)
            )
            version = await cluster.put(ObjectKind.TABLE, TABLE_NAME, _table(2.0))
            took_ms = await cluster.wait_until(
                lambda: all(node.catalogue.table_version == version for node in nodes)
            )
            nursery.cancel_scope.cancel()
        self.assertLessEqual(took_ms, 1000.0)

    @trio_test
    async def test_restart_in_outage_fetches_the_table_from_peers(self) -> None:
        """An instance is replaced while the platform is unavailable.

        The new instance starts without state. Unless it fetches the newest table
        from its peers, it refuses every caller until the platform recovers.
        """
        clock = Clock()
        async with trio.open_nursery() as nursery:
            platform = FakePlatform(clock=clock)
            cluster = SharedStateCluster(
                platform=platform, clock=clock, nursery=nursery
            )
            await cluster.put(ObjectKind.TABLE, TABLE_NAME, _table(1.0))
            version = await cluster.put(ObjectKind.TABLE, TABLE_NAME, _table(2.0))
            nodes = cluster.start(*range(3))
            await cluster.wait_until(
                lambda: all(node.catalogue.table for node in nodes)
            )
            await cluster.wait_until(
                lambda: all(len(node.members.live()) == 3 for node in nodes)
            )
            platform.set_faults(PlatformFaults(outage=Outage.HANG))
            await cluster.kill("i1")
            (fresh,) = cluster.start(1)
            await cluster.wait_until(lambda: fresh.catalogue.table_version == version)
            nursery.cancel_scope.cancel()
        self.assertEqual(fresh.catalogue.table_version, version)

    @trio_test
    async def test_edit_reaches_a_zone_that_lost_the_platform_only(self) -> None:
        """A zone loses the platform but not the other zones.

        Its own watchers fail, so the edit must arrive from the other zones within
        the same bound.
        """

        async def scenario(cluster) -> None:
            for node in cluster.nodes.values():
                node.platform.is_partitioned = node.members.own.zone == "z1"
            version = await cluster.put(ObjectKind.TABLE, TABLE_NAME, _table(2.0))
            took_ms = await cluster.wait_until(lambda: _in_force(cluster, version))
            self.assertLessEqual(took_ms, 1000.0)

        await self._run(9, scenario)

    @trio_test
    async def test_partitioned_zone_keeps_its_table_and_gets_the_newest_afterwards(
        self,
    ) -> None:
        """A zone is partitioned from everything while the table is edited twice.

        It continues with its table. Once it reaches the other zones again, still
        without the platform, it must get the newest table and must not propagate
        its old one.
        """

        async def scenario(cluster) -> None:
            old = cluster.nodes["i1"].catalogue.table_version
            cluster.partition_zone("z1")
            await cluster.put(ObjectKind.TABLE, TABLE_NAME, _table(2.0))
            version = await cluster.put(ObjectKind.TABLE, TABLE_NAME, _table(3.0))
            await cluster.clock.sleep_ms(20_000.0)
            for node in cluster.nodes.values():
                is_partitioned = node.members.own.zone == "z1"
                expected = old if is_partitioned else version
                self.assertEqual(node.catalogue.table_version, expected)
            cluster.network.heal()
            await cluster.wait_until(
                lambda: _in_force(cluster, version), within_ms=15_000.0
            )
            await cluster.clock.sleep_ms(5000.0)
            self.assertTrue(_in_force(cluster, version))

        await self._run(6, scenario)

    @trio_test
    async def test_all_are_replaced_in_an_outage_and_keep_the_table(self) -> None:
        """Every instance is replaced, one after the other, during one outage.

        None of the remaining instances has ever reached the platform; each fetched
        the table from a peer.
        """

        async def scenario(cluster) -> None:
            version = cluster.nodes["i0"].catalogue.table_version
            cluster.platform.set_faults(PlatformFaults(outage=Outage.REFUSE))
            for number in range(3):
                await cluster.kill(f"i{number}")
                cluster.start(number)
                await cluster.wait_until(lambda: _in_force(cluster, version))
            self.assertTrue(_in_force(cluster, version))

        await self._run(3, scenario)

    @trio_test
    async def test_stale_reads_after_a_reconnection_revert_nothing(self) -> None:
        """The platform serves stale reads after an outage.

        A restarted instance with unreachable peers reads an old table and loses
        the platform again, while the others have the new one. Once it reaches
        them, the old table must be neither kept nor propagated.
        """

        async def scenario(cluster) -> None:
            old = cluster.nodes["i0"].catalogue.table_version
            version = await cluster.put(ObjectKind.TABLE, TABLE_NAME, _table(2.0))
            await cluster.wait_until(lambda: _in_force(cluster, version))
            cluster.platform.set_faults(PlatformFaults(stale_revisions=1))
            await cluster.kill("i1")
            cluster.network.partition(frozenset({"peer-1"}))
            (fresh,) = cluster.start(1)

            def lose_platform(item: VersionedObject) -> None:
                fresh.platform.is_partitioned = True

            fresh.store.subscribe(lose_platform)
            await cluster.wait_until(lambda: fresh.catalogue.table_version == old)
            cluster.network.heal()
            seen = cluster.nodes["i0"].catalogue
            for _ in range(200):
                await cluster.clock.sleep_ms(50.0)
                self.assertEqual(seen.table_version, version)
            self.assertTrue(_in_force(cluster, version))

        await self._run(3, scenario)

    @trio_test
    async def test_instance_without_any_table_has_version_zero(self) -> None:
        clock = Clock()
        async with trio.open_nursery() as nursery:
            platform = FakePlatform(clock=clock)
            platform.set_faults(PlatformFaults(outage=Outage.HANG))
            cluster = SharedStateCluster(
                platform=platform, clock=clock, nursery=nursery
            )
            (node,) = cluster.start(0)
            await clock.sleep_ms(30_000.0)
            nursery.cancel_scope.cancel()
        self.assertIsNone(node.catalogue.table)
        self.assertEqual(node.catalogue.table_version, 0)

    async def _run(self, count: int, scenario) -> None:
        clock = Clock()
        async with trio.open_nursery() as nursery:
            platform = FakePlatform(clock=clock)
            cluster = SharedStateCluster(
                platform=platform, clock=clock, nursery=nursery
            )
            version = await cluster.put(ObjectKind.TABLE, TABLE_NAME, _table(1.0))
            nodes = cluster.start(*range(count))
            await cluster.wait_until(lambda: _in_force(cluster, version))
            await cluster.wait_until(
                lambda: all(len(node.members.live()) == count for node in nodes)
            )
            await clock.sleep_ms(3000.0)
            await scenario(cluster)
            nursery.cancel_scope.cancel()


def _in_force(cluster: SharedStateCluster, version: int) -> bool:
    return all(
        node.catalogue.table_version == version for node in cluster.nodes.values()
    )
