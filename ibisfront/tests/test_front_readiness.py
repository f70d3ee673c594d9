"""Tests of what the balancer is told, in mock time."""

from __future__ import annotations

import unittest

import trio

from ibisfront.core.clock import Clock
from ibisfront.front.process import FrontProcess
from ibisfront.gateway.instances.directory import InstanceEntry
from ibisfront.gateway.servers.server_entry import ServerEntry
from ibisfront.gateway.settings import GatewaySettings
from ibisfront.gateway.state.configuration import (
    CallerLimits,
    Configuration,
    RoutedService,
)
from ibisfront.gateway.state.state_relay import RelayedState
from ibisfront.testing.gateway_fixture import gather_route
from ibisfront.tests import trio_test


def follower(nursery):
    """Return the last instance of a zone of 30, and who may be followed."""
    listed = [
        InstanceEntry(f"i{number}", "z0", f"10.0.0.{number}:1", 100.0 - number)
        for number in range(30)
    ]
    own = listed[-1]
    settings = GatewaySettings(
        instance=own.name,
        zone="z0",
        callers_address="",
        ready_address="",
        store_address="",
        peers_address=own.address,
        capacity=own.capacity,
    )
    process = FrontProcess(settings, clock=Clock(), nursery=nursery)
    route = gather_route(2)
    services = {name: RoutedService(name, 25) for name in route.service_names}
    for name in route.service_names:
        entry = ServerEntry(f"{name}.0", name, "10.0.1.1:1", "z0")
        process.registry._make_pool = lambda server: None
        process.registry.put(entry)
    process.use_configuration(Configuration(1, (route,), services, CallerLimits()))
    process.peers._make_pool = lambda server: None
    process.take_instances(listed)
    return process, [item.name for item in process.topology.sources]


class ReadinessTest(unittest.TestCase):
    """An instance of a zone that is cut off."""

    def tell(self, process, name, *, is_cut_off):
        state = RelayedState(1, False, is_cut_off=is_cut_off)
        process.state_sync._record_response(name, state, is_same_zone=True)

    @trio_test
    async def test_instance_that_asks_no_servers_does_not_end_a_cut(self):
        """Callers of a zone that is cut off go on to be sent to it for its length.

        Its coordinators say that it is cut off. A third instance, which may be followed
        too and gathers nothing, says that it is not; whoever asks it is ready again,
        and the balancer uses a zone as long as one of its instances is.
        """
        async with trio.open_nursery() as nursery:
            process, sources = follower(nursery)
            coordinators = process.coordinators.of_zone("z0")
            self.assertEqual((len(sources), len(coordinators)), (3, 2))
            self.assertTrue(process.tell_readiness())
            for _ in range(4):
                self.tell(process, sources[0], is_cut_off=True)
                self.tell(process, sources[1], is_cut_off=True)
                self.tell(process, sources[2], is_cut_off=False)
                self.assertFalse(process.tell_readiness())
                # Until the next look in an outage.
                await trio.sleep(2.0)
                self.assertFalse(process.tell_readiness())
            self.tell(process, sources[0], is_cut_off=False)
            self.assertTrue(process.tell_readiness())
            nursery.cancel_scope.cancel()
