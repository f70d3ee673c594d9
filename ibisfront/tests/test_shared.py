"""Tests of what the instances share, over streams in memory."""

from __future__ import annotations

import unittest

import trio

from ibisfront.core.clock import Clock
from ibisfront.core.objects import ObjectKind
from ibisfront.core.table import TABLE_NAME, Purpose, Row, Table
from ibisfront.testing.platform_state import FakePlatform
from ibisfront.testing.platform_types import Outage, PlatformFaults
from ibisfront.testing.shared_cluster import SharedCluster
from ibisfront.tests import trio_test


def _table(weight: float) -> Table:
    return Table(
        purposes=(Purpose("name-check", "search", index="register"),),
        rows=(Row("vestry", "name-check", weight=weight),),
    )


class SpreadTest(unittest.TestCase):
    """An accepted edit reaches every instance, and stays."""

    @trio_test
    async def test_edit_reaches_all_within_a_second(self) -> None:
        clock = Clock()
        async with trio.open_nursery() as nursery:
            platform = FakePlatform(clock=clock)
            cluster = SharedCluster(platform=platform, clock=clock, nursery=nursery)
            await cluster.put(ObjectKind.TABLE, TABLE_NAME, _table(1.0))
            nodes = cluster.start(*range(9))
            await cluster.until(
                lambda: all(len(node.members.live()) == 9 for node in nodes)
            )
            await cluster.until(lambda: all(node.catalogue.table for node in nodes))
            version = await cluster.put(ObjectKind.TABLE, TABLE_NAME, _table(2.0))
            took_ms = await cluster.until(
                lambda: all(node.catalogue.table_version == version for node in nodes)
            )
            nursery.cancel_scope.cancel()
        self.assertLessEqual(took_ms, 1000.0)

    @trio_test
    async def test_restart_in_outage_takes_the_table_from_peers(self) -> None:
        """An instance is replaced while the platform is out.

        The others hold the newest table, the new instance starts with
        nothing and cannot read the platform. Without its peers' copy it would
        refuse every caller until the platform is back.
        """
        clock = Clock()
        async with trio.open_nursery() as nursery:
            platform = FakePlatform(clock=clock)
            cluster = SharedCluster(platform=platform, clock=clock, nursery=nursery)
            await cluster.put(ObjectKind.TABLE, TABLE_NAME, _table(1.0))
            version = await cluster.put(ObjectKind.TABLE, TABLE_NAME, _table(2.0))
            nodes = cluster.start(*range(3))
            await cluster.until(lambda: all(node.catalogue.table for node in nodes))
            await cluster.until(
                lambda: all(len(node.members.live()) == 3 for node in nodes)
            )
            platform.set_faults(PlatformFaults(outage=Outage.HANG))
            await cluster.kill("i1")
            (fresh,) = cluster.start(1)
            await cluster.until(lambda: fresh.catalogue.table_version == version)
            nursery.cancel_scope.cancel()
        self.assertEqual(fresh.catalogue.table_version, version)
