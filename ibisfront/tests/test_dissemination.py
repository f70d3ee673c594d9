"""Tests of the dissemination of objects among instances."""

from __future__ import annotations

import unittest

import trio

from ibisfront.core.clock import Clock
from ibisfront.core.counters import Counters
from ibisfront.core.dissemination import PUSH_BYTES, REPLY_BYTES, ObjectDissemination
from ibisfront.core.objects import ObjectKind, ObjectStore, VersionedObject
from ibisfront.testing.peers import FakePeers, PeerNetwork
from ibisfront.tests import trio_test


class _Node:
    def __init__(self, name: str, network: PeerNetwork) -> None:
        self.name = name
        self.peers: FakePeers = network.join(name)
        self.store = ObjectStore()
        self.dissemination = ObjectDissemination(
            self.store, peers=self.peers, clock=network.clock, counters=Counters()
        )

    def value(self, name: str) -> bytes | None:
        found = self.store.get(ObjectKind.SERVICE, name)
        return None if found is None else found.value_json


def _item(name: str, version: int, value: bytes | None = b"{}") -> VersionedObject:
    return VersionedObject(ObjectKind.SERVICE, name, version, value)


class ObjectDisseminationTest(unittest.TestCase):
    """Changes reach all instances, in full and in any order."""

    async def _run(self, scenario) -> None:
        clock = Clock()
        async with trio.open_nursery() as nursery:
            network = PeerNetwork(clock=clock, nursery=nursery)
            nodes = [_Node(name, network) for name in ("i1", "i2", "i3")]
            await scenario(clock, network, *nodes)
            nursery.cancel_scope.cancel()

    @trio_test
    async def test_change_reaches_all_and_traffic_ends(self) -> None:
        async def scenario(clock, network, first, second, third) -> None:
            first.dissemination.ingest_list([_item("a", 3)], revision=5)
            await clock.sleep_ms(100.0)
            self.assertEqual([second.value("a"), third.value("a")], [b"{}", b"{}"])
            self.assertEqual([second.store.revision, third.store.revision], [5, 5])
            sent = network.sent
            await clock.sleep_ms(10_000.0)
            self.assertEqual(network.sent, sent)

        await self._run(scenario)

    @trio_test
    async def test_missed_change_is_fetched_at_the_next_heartbeat(self) -> None:
        """A change is lost on its way to one instance, and another follows.

        The second change alone would leave the first one missing permanently.
        """

        async def scenario(clock, network, first, second, third) -> None:
            first.dissemination.ingest_list([_item("a", 1)], revision=1)
            await clock.sleep_ms(100.0)
            network.partition("i1", "i3")
            network.partition("i2", "i3")
            first.dissemination.ingest_changes([_item("b", 2)], after=1, revision=2)
            await clock.sleep_ms(100.0)
            network.heal()
            first.dissemination.ingest_changes([_item("c", 3)], after=2, revision=3)
            await clock.sleep_ms(100.0)
            self.assertEqual([third.value("b"), third.value("c")], [b"{}", b"{}"])
            self.assertEqual(third.store.revision, 3)

        await self._run(scenario)

    @trio_test
    async def test_gap_is_closed_by_the_version_in_a_heartbeat(self) -> None:
        async def scenario(clock, network, first, second, third) -> None:
            network.partition("i1", "i3")
            network.partition("i2", "i3")
            first.dissemination.ingest_list([_item("a", 1)], revision=1)
            await clock.sleep_ms(100.0)
            network.heal()
            third.dissemination.request_newer("i2", second.store.newest)
            await clock.sleep_ms(100.0)
            self.assertEqual(third.value("a"), b"{}")

        await self._run(scenario)

    @trio_test
    async def test_deletion_reaches_an_instance_that_missed_it(self) -> None:
        """A service is deleted while one instance is partitioned.

        The others are replaced meanwhile and so have no tombstone. The
        partitioned instance would keep the service and route requests to it.
        """

        async def scenario(clock, network, first, second, third) -> None:
            first.dissemination.ingest_list([_item("a", 1), _item("b", 2)], revision=2)
            await clock.sleep_ms(100.0)
            network.leave("i1")
            network.leave("i2")
            fresh = _Node("i4", network)
            network.peers.pop("i3")
            fresh.dissemination.ingest_list([_item("b", 2)], revision=7)
            await clock.sleep_ms(100.0)
            network.peers["i3"] = third.peers
            third.dissemination.request_newer("i4", fresh.store.newest)
            await clock.sleep_ms(100.0)
            self.assertIsNone(third.value("a"))
            self.assertEqual(third.value("b"), b"{}")

        await self._run(scenario)

    @trio_test
    async def test_large_change_is_transferred_once_to_each(self) -> None:
        """A large table changes, and every neighbour announces it.

        If each pushed it in full, it would arrive once per neighbour.
        """

        async def scenario(clock, network, first, second, third) -> None:
            first.dissemination.ingest_list([], revision=1)
            await clock.sleep_ms(100.0)
            value = b"x" * (PUSH_BYTES + 1)
            first.dissemination.ingest_changes(
                [_item("a", 2, value)], after=1, revision=2
            )
            await clock.sleep_ms(100.0)
            self.assertEqual([second.value("a"), third.value("a")], [value, value])
            self.assertLess(network.bytes_sent, 3 * len(value))

        await self._run(scenario)

    @trio_test
    async def test_many_objects_are_sent_in_parts(self) -> None:
        async def scenario(clock, network, first, second, third) -> None:
            value = b"x" * (REPLY_BYTES // 3)
            items = [_item(f"s{number}", number, value) for number in range(1, 12)]
            first.dissemination.ingest_list(items, revision=20)
            await clock.sleep_ms(1000.0)
            self.assertEqual(len(third.store.of_kind(ObjectKind.SERVICE)), 11)
            self.assertEqual(third.store.revision, 20)
            self.assertLess(network.largest_bytes, 2 * REPLY_BYTES)

        await self._run(scenario)

    @trio_test
    async def test_lost_reply_is_requested_again(self) -> None:
        async def scenario(clock, network, first, second, third) -> None:
            network.partition("i1", "i3")
            network.partition("i2", "i3")
            first.dissemination.ingest_list([_item("a", 1)], revision=1)
            await clock.sleep_ms(100.0)
            third.dissemination.request_newer("i2", second.store.newest)
            await clock.sleep_ms(100.0)
            network.heal()
            third.dissemination.request_newer("i2", second.store.newest)
            await clock.sleep_ms(100.0)
            self.assertIsNone(third.value("a"))
            await clock.sleep_ms(1000.0)
            third.dissemination.request_newer("i2", second.store.newest)
            await clock.sleep_ms(100.0)
            self.assertEqual(third.value("a"), b"{}")

        await self._run(scenario)

    @trio_test
    async def test_slow_reply_is_not_requested_each_second(self) -> None:
        """An instance on a slow link never receives a new table.

        Heartbeats announce the newest version twice a second. With a fixed retry
        delay of 1 s, eight full copies queue on a link that needs 8 s for one
        reply.
        """

        async def scenario(clock, network, first, second, third) -> None:
            value = b"x" * REPLY_BYTES
            network.partition("i2", "i3")
            network.delay_ms = 4_000.0
            second.dissemination.ingest_list([], revision=1)
            first.dissemination.ingest_list([_item("a", 2, value)], revision=2)
            for _ in range(20):
                third.dissemination.request_newer("i1", first.store.newest)
                await clock.sleep_ms(500.0)
            self.assertEqual(third.value("a"), value)
            # The delay doubles: requests at 0, 1, 3 and 7 s, and one by i2.
            self.assertLess(network.bytes_sent, 6 * len(value))

        await self._run(scenario)
