"""Tests of zones whose servers must get nothing, in mock time."""

from __future__ import annotations

import unittest

import trio

from ibisfront.front.targets import configuration_target
from ibisfront.gateway.messages import InboundRequest
from ibisfront.gateway.state.store import Listing
from ibisfront.tests import trio_test
from ibisfront.tests.front_zone import BOUNDS, FrontZone, two_zones_spec

_SERVERS = 12
_LOOK_S = 0.01
_BOUND_S = BOUNDS.evacuation_ms / 1000.0


def _zone(nursery, instances):
    return FrontZone(nursery, instances, servers=_SERVERS, spec=two_zones_spec)


def _asked_zones(front):
    """Return the zones in which an instance would ask servers."""
    servers = front.process.registry.servers()
    return {server.entry.zone for server in servers if server.is_usable}


async def _until(condition, *, at_most_s):
    """Wait until a condition holds; return how long that took."""
    started_s = trio.current_time()
    for _ in range(int(at_most_s / _LOOK_S)):
        if condition():
            break
        await trio.sleep(_LOOK_S)
    return trio.current_time() - started_s


class EvacuationTest(unittest.TestCase):
    """An evacuated zone, at a few instances and at hundreds."""

    async def _check_evacuation(self, instances):
        async with trio.open_nursery() as nursery:
            zone = _zone(nursery, instances)
            zone.start(nursery)
            await trio.sleep(4.0)
            zone.evacuate("z1")

            def is_heeded():
                return all(_asked_zones(front) == {"z0"} for front in zone.fronts)

            self.assertLess(await _until(is_heeded, at_most_s=10.0), _BOUND_S)
            zone.take_back("z1")

            def is_over():
                return all(_asked_zones(front) == {"z0", "z1"} for front in zone.fronts)

            self.assertLess(await _until(is_over, at_most_s=10.0), _BOUND_S)
            nursery.cancel_scope.cancel()

    @trio_test
    async def test_three_instances_heed_an_evacuation(self):
        """Guards against requests to servers of a zone that is being emptied."""
        await self._check_evacuation(3)

    @trio_test
    async def test_two_hundred_instances_heed_an_evacuation(self):
        """Guards against an evacuation that followers hear of too late."""
        await self._check_evacuation(200)

    @trio_test
    async def test_evacuation_outlasts_an_outage_of_the_store(self):
        """Guards against use of an evacuated zone while the store is away."""
        async with trio.open_nursery() as nursery:
            zone = _zone(nursery, 3)
            zone.start(nursery)
            await trio.sleep(4.0)
            zone.evacuate("z1")
            await trio.sleep(_BOUND_S)
            for front in zone.fronts:
                front.is_cut_off = True
            await trio.sleep(10.0)
            self.assertEqual([_asked_zones(f) for f in zone.fronts], [{"z0"}] * 3)
            for front in zone.fronts:
                front.is_cut_off = False
            await trio.sleep(5.0)
            self.assertEqual([_asked_zones(f) for f in zone.fronts], [{"z0"}] * 3)
            nursery.cancel_scope.cancel()

    @trio_test
    async def test_started_instance_serves_nobody_before_it_knows(self):
        """Guards against a restarted instance that asks an evacuated zone."""
        async with trio.open_nursery() as nursery:
            zone = _zone(nursery, 3)
            process = zone.fronts[0].process
            process.take_instances([process.own])
            objects, revision = zone.objects("config")
            configuration_target(process).replace(Listing(objects, revision), False)
            self.assertFalse(process.is_ready)
            request = InboundRequest(b"GET", b"/a/", "h", "r", 100.0, [], b"", 0.0)
            reply = await process.gateway.answer(request)
            self.assertEqual((reply.status, reply.reason), (503, "no_configuration"))
            process.replace_servers([], after_outage=False)
            self.assertFalse(process.gateway.has_initial_state)
            process.use_evacuations(frozenset())
            self.assertTrue(process.gateway.has_initial_state)
            nursery.cancel_scope.cancel()

    @trio_test
    async def test_zone_that_is_not_known_is_left_aside(self):
        """Guards against a misspelt zone that hides those spelt right."""
        async with trio.open_nursery() as nursery:
            zone = _zone(nursery, 3)
            zone.start(nursery)
            await trio.sleep(4.0)
            with self.assertLogs("ibisfront", "ERROR") as logs:
                zone.evacuate("z9")
                await trio.sleep(1.0)
            self.assertIn("z9", logs.output[0])
            zone.evacuate("z1")
            await trio.sleep(_BOUND_S)
            self.assertEqual(_asked_zones(zone.fronts[0]), {"z0"})
            nursery.cancel_scope.cancel()
