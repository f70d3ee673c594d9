"""Tests of the draining status of backend servers."""

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


class ServerStatusesTest(unittest.TestCase):
    """A draining server gets no new work, whichever instance it notified."""

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
        """Only one instance learns that a server drains.

        Another instance is partitioned from the platform, or the platform
        lags, so it sends new work until the server has stopped.
        """

        async def scenario(clock, network, first, second) -> None:
            first.record_draining(SERVER)
            await clock.sleep_ms(10.0)
            self.assertTrue(first.is_draining(SERVER))
            self.assertTrue(second.is_draining(SERVER))
            self.assertFalse(second.is_draining(OTHER))

        await self._run(scenario)

    @trio_test
    async def test_repeated_status_is_not_broadcast_each_time(self) -> None:
        async def scenario(clock, network, first, second) -> None:
            for _ in range(100):
                first.record_draining(SERVER)
                second.record_draining(SERVER)
                await clock.sleep_ms(10.0)
            self.assertLess(network.sent, 6)

        await self._run(scenario)

    @trio_test
    async def test_change_of_another_server_does_not_end_draining(self) -> None:
        """An unrelated edit of the service puts a draining server back in use.

        Operators add another server while one drains. In the new version the
        draining one is still live, because operators did not change its entry.
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
    async def test_operator_setting_the_server_live_ends_draining(self) -> None:
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
    async def test_serving_reply_ends_draining_at_all_instances(self) -> None:
        async def scenario(clock, network, first, second) -> None:
            first.record_draining(SERVER)
            await clock.sleep_ms(10.0)
            second.record_serving(SERVER)
            await clock.sleep_ms(10.0)
            self.assertFalse(first.is_draining(SERVER))

        await self._run(scenario)

    @trio_test
    async def test_late_update_does_not_override_a_newer_one(self) -> None:
        """The update that a server drains arrives after a later "serves again"."""

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
    async def test_status_without_renewal_expires(self) -> None:
        """A server stops draining, but receives no requests.

        Without expiry no instance would ever learn that it serves again.
        """

        async def scenario(clock, network, first, second) -> None:
            first.record_draining(SERVER)
            await clock.sleep_ms(70_000.0)
            self.assertFalse(first.is_draining(SERVER))
            self.assertFalse(second.is_draining(SERVER))

        await self._run(scenario)

    @trio_test
    async def test_server_at_a_new_address_is_not_draining(self) -> None:
        async def scenario(clock, network, first, second) -> None:
            first.record_draining(SERVER)
            restarted = msgspec.structs.replace(SERVER, address="127.0.0.1:9")
            self.assertFalse(first.is_draining(restarted))

        await self._run(scenario)
