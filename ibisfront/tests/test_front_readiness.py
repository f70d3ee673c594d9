"""Tests of the readiness reported to the balancer, in mock time."""

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


def non_coordinator_process(nursery):
    """Return the last of a zone's 30 instances, and the names of state sources."""
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
    process.apply_configuration(Configuration(1, (route,), services, CallerLimits()))
    process.peers._make_pool = lambda server: None
    process.apply_instances(listed)
    return process, [item.name for item in process.topology.sources]


class ReadinessTest(unittest.TestCase):
    """An instance of a partitioned zone."""

    def apply_reported_partition(self, process, name, *, is_cut_off):
        state = RelayedState(1, False, is_cut_off=is_cut_off)
        process.state_sync._record_response(name, state, is_same_zone=True)

    @trio_test
    async def test_report_of_a_non_coordinator_does_not_end_a_partition(self):
        """Guards against sending callers to a zone throughout its partition.

        Its coordinators report the partition. A third state source, which coordinates
        nothing, reports none. If its report counts, its subscribers are ready again,
        and the balancer uses a zone as long as one of its instances is ready.
        """
        async with trio.open_nursery() as nursery:
            process, sources = non_coordinator_process(nursery)
            coordinators = process.coordinators.of_zone("z0")
            self.assertEqual((len(sources), len(coordinators)), (3, 2))
            self.assertTrue(process.report_readiness())
            for _ in range(4):
                self.apply_reported_partition(process, sources[0], is_cut_off=True)
                self.apply_reported_partition(process, sources[1], is_cut_off=True)
                self.apply_reported_partition(process, sources[2], is_cut_off=False)
                self.assertFalse(process.report_readiness())
                # Until the next poll during an outage.
                await trio.sleep(2.0)
                self.assertFalse(process.report_readiness())
            self.apply_reported_partition(process, sources[0], is_cut_off=False)
            self.assertTrue(process.report_readiness())
            nursery.cancel_scope.cancel()
