"""Tests of evacuated zones, whose servers must receive no requests, in mock time."""

from __future__ import annotations

import unittest

import trio

from ibisfront.front.targets import configuration_target
from ibisfront.gateway.messages import InboundRequest
from ibisfront.gateway.state.store import Listing
from ibisfront.tests import trio_test
from ibisfront.tests.front_zone import BOUNDS, FrontZone, two_zones_spec

_SERVERS = 12
_POLL_INTERVAL_S = 0.01
_EVACUATION_BOUND_S = BOUNDS.evacuation_ms / 1000.0


def _zone(nursery, instances):
    return FrontZone(nursery, instances, servers=_SERVERS, spec=two_zones_spec)


def _zones_in_use(front):
    """Return the zones whose servers an instance would use."""
    servers = front.process.registry.servers()
    return {server.entry.zone for server in servers if server.is_usable}


async def _until(condition, *, at_most_s):
    """Wait until a condition holds; return the time taken."""
    started_s = trio.current_time()
    for _ in range(int(at_most_s / _POLL_INTERVAL_S)):
        if condition():
            break
        await trio.sleep(_POLL_INTERVAL_S)
    return trio.current_time() - started_s


class EvacuationTest(unittest.TestCase):
    """Evacuation of a zone, with a few and with hundreds of instances."""

    async def _check_evacuation(self, instances):
        async with trio.open_nursery() as nursery:
            zone = _zone(nursery, instances)
            zone.start(nursery)
            await trio.sleep(4.0)
            zone.evacuate("z1")

            def is_evacuated():
                return all(_zones_in_use(front) == {"z0"} for front in zone.fronts)

            self.assertLess(
                await _until(is_evacuated, at_most_s=10.0), _EVACUATION_BOUND_S
            )
            zone.end_evacuation("z1")

            def is_ended():
                return all(
                    _zones_in_use(front) == {"z0", "z1"} for front in zone.fronts
                )

            self.assertLess(await _until(is_ended, at_most_s=10.0), _EVACUATION_BOUND_S)
            nursery.cancel_scope.cancel()

    @trio_test
    async def test_evacuation_with_three_instances(self):
        """Guards against requests to servers of an evacuated zone."""
        await self._check_evacuation(3)

    @trio_test
    async def test_evacuation_with_two_hundred_instances(self):
        """Guards against an evacuation that reaches subscribers too late."""
        await self._check_evacuation(200)

    @trio_test
    async def test_evacuation_persists_during_a_store_outage(self):
        """Guards against use of an evacuated zone while the store is unavailable."""
        async with trio.open_nursery() as nursery:
            zone = _zone(nursery, 3)
            zone.start(nursery)
            await trio.sleep(4.0)
            zone.evacuate("z1")
            await trio.sleep(_EVACUATION_BOUND_S)
            for front in zone.fronts:
                front.is_partitioned = True
            await trio.sleep(10.0)
            self.assertEqual([_zones_in_use(f) for f in zone.fronts], [{"z0"}] * 3)
            for front in zone.fronts:
                front.is_partitioned = False
            await trio.sleep(5.0)
            self.assertEqual([_zones_in_use(f) for f in zone.fronts], [{"z0"}] * 3)
            nursery.cancel_scope.cancel()

    @trio_test
    async def test_started_instance_rejects_requests_until_evacuations_are_loaded(self):
        """Guards against a restarted instance that uses an evacuated zone."""
        async with trio.open_nursery() as nursery:
            zone = _zone(nursery, 3)
            process = zone.fronts[0].process
            process.apply_instances([process.own])
            objects, revision = zone.objects("config")
            configuration_target(process).replace(Listing(objects, revision), False)
            self.assertFalse(process.is_ready)
            request = InboundRequest(b"GET", b"/a/", "h", "r", 100.0, [], b"", 0.0)
            reply = await process.gateway.answer(request)
            self.assertEqual((reply.status, reply.reason), (503, "no_configuration"))
            process.replace_servers([], after_outage=False)
            self.assertFalse(process.gateway.has_initial_state)
            process.apply_evacuations(frozenset())
            self.assertTrue(process.gateway.has_initial_state)
            nursery.cancel_scope.cancel()

    @trio_test
    async def test_unknown_zone_is_ignored(self):
        """Guards against a misspelt zone that prevents evacuation of valid ones."""
        async with trio.open_nursery() as nursery:
            zone = _zone(nursery, 3)
            zone.start(nursery)
            await trio.sleep(4.0)
            with self.assertLogs("ibisfront", "ERROR") as logs:
                zone.evacuate("z9")
                await trio.sleep(1.0)
            self.assertIn("z9", logs.output[0])
            zone.evacuate("z1")
            await trio.sleep(_EVACUATION_BOUND_S)
            self.assertEqual(_zones_in_use(zone.fronts[0]), {"z0"})
            nursery.cancel_scope.cancel()
