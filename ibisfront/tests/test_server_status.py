"""Tests of the signs of backend servers that leave."""

from __future__ import annotations

import unittest

import msgspec
import trio

from ibisfront.core.clock import Clock
from ibisfront.core.objects import ObjectKind, ObjectStore, VersionedObject
from ibisfront.core.server_status import ServerStatuses
from ibisfront.core.service import BackendServer, Service
from ibisfront.testing.peers import PeerNetwork
from ibisfront.tests import trio_test

SERVER = BackendServer("register-0", "127.0.0.1:1", "z1")
OTHER = BackendServer("register-1", "127.0.0.1:2", "z1")


def _service(version: int, *servers: BackendServer) -> VersionedObject:
    value = msgspec.json.encode(Service(servers))
    return VersionedObject(ObjectKind.SERVICE, "register", version, value)


class ServerSignsTest(unittest.TestCase):
    """A server that leaves gets no new work, wherever it said so."""

    async def _run(self, scenario) -> None:
        clock = Clock()
        async with trio.open_nursery() as nursery:
            network = PeerNetwork(clock=clock, nursery=nursery)
            self.stores = [ObjectStore(), ObjectStore()]
            statuses = [
                ServerStatuses(store, peers=network.join(f"i{number}"), clock=clock)
                for number, store in enumerate(self.stores)
            ]
            self._merge(_service(1, SERVER, OTHER))
            await scenario(clock, network, *statuses)
            nursery.cancel_scope.cancel()

    def _merge(self, item: VersionedObject) -> None:
        for store in self.stores:
            store.merge([item])

    @trio_test
    async def test_drain_reply_stops_new_work_at_other_instances(self) -> None:
        """A server tells one instance that it drains.

        The other one is cut off from the platform, or the platform lags; it
        would go on sending new work until the server is gone.
        """

        async def scenario(clock, network, first, second) -> None:
            first.record_draining(SERVER)
            await clock.sleep_ms(10.0)
            self.assertTrue(first.is_draining(SERVER))
            self.assertTrue(second.is_draining(SERVER))
            self.assertFalse(second.is_draining(OTHER))

        await self._run(scenario)

    @trio_test
    async def test_same_word_again_is_told_once(self) -> None:
        async def scenario(clock, network, first, second) -> None:
            for _ in range(100):
                first.record_draining(SERVER)
                second.record_draining(SERVER)
                await clock.sleep_ms(10.0)
            self.assertLess(network.sent, 6)

        await self._run(scenario)

    @trio_test
    async def test_change_of_another_server_does_not_bring_it_back(self) -> None:
        """A server drains, and operators add another one to its service.

        The service has a newer version, in which the draining one still
        stands as live, as operators never changed it.
        """

        async def scenario(clock, network, first, second) -> None:
            first.record_draining(SERVER)
            await clock.sleep_ms(10.0)
            third = BackendServer("register-2", "127.0.0.1:3", "z1")
            self._merge(_service(2, SERVER, OTHER, third))
            await clock.sleep_ms(10.0)
            self.assertTrue(first.is_draining(SERVER))
            self.assertTrue(second.is_draining(SERVER))

        await self._run(scenario)

    @trio_test
    async def test_operators_setting_it_live_bring_it_back(self) -> None:
        async def scenario(clock, network, first, second) -> None:
            first.record_draining(SERVER)
            drained = msgspec.structs.replace(SERVER, state="draining")
            self._merge(_service(2, drained, OTHER))
            await clock.sleep_ms(10.0)
            self.assertTrue(second.is_draining(SERVER))
            self._merge(_service(3, SERVER, OTHER))
            await clock.sleep_ms(10.0)
            self.assertFalse(first.is_draining(SERVER))
            self.assertFalse(second.is_draining(SERVER))

        await self._run(scenario)

    @trio_test
    async def test_its_own_word_brings_it_back_everywhere(self) -> None:
        async def scenario(clock, network, first, second) -> None:
            first.record_draining(SERVER)
            await clock.sleep_ms(10.0)
            second.record_serving(SERVER)
            await clock.sleep_ms(10.0)
            self.assertFalse(first.is_draining(SERVER))

        await self._run(scenario)

    @trio_test
    async def test_late_news_does_not_undo_newer(self) -> None:
        """A server drains, serves again, and the first news comes last."""

        async def scenario(clock, network, first, second) -> None:
            network.delay_ms = 500.0
            first.record_draining(SERVER)
            network.delay_ms = 1.0
            first.record_serving(SERVER)
            await clock.sleep_ms(1000.0)
            self.assertFalse(first.is_draining(SERVER))
            self.assertFalse(second.is_draining(SERVER))

        await self._run(scenario)

    @trio_test
    async def test_sign_that_nobody_renews_ends(self) -> None:
        """A server stops draining, and nobody sends it anything any more.

        Nobody would ever learn that it serves again.
        """

        async def scenario(clock, network, first, second) -> None:
            first.record_draining(SERVER)
            await clock.sleep_ms(70_000.0)
            self.assertFalse(first.is_draining(SERVER))
            self.assertFalse(second.is_draining(SERVER))

        await self._run(scenario)

    @trio_test
    async def test_server_at_a_new_address_is_another(self) -> None:
        async def scenario(clock, network, first, second) -> None:
            first.record_draining(SERVER)
            anew = msgspec.structs.replace(SERVER, address="127.0.0.1:9")
            self.assertFalse(first.is_draining(anew))

        await self._run(scenario)
