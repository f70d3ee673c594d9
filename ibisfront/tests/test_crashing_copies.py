"""Tests of copies of a crashing request that reach servers, in mock time."""

from __future__ import annotations

import unittest

import trio

from ibisfront.gateway.settings import Bounds
from ibisfront.testing.gateway_fixture import forward_route, gather_route
from ibisfront.testing.two_zones import TwoZones
from ibisfront.tests import trio_test

SEARCH = "/search/crash"
FETCH = "/fetch/crash"
TOLERATED_CRASHES = 3
TOLERATED_COPIES = 3


class Copies:
    """Sends copies of a request that crashes servers, and counts the late ones.

    Late are those that reach servers later than the contact bound after the third
    server was lost.
    """

    def __init__(self, zones, path=SEARCH, *, crash_after_ms=None):
        self.zones = zones
        self.path = path
        self.ids = set()
        zones.crash_on(path, after_ms=crash_after_ms)

    async def send(self, zone):
        """Send one copy to the instance of a zone."""
        request = self.zones.request(self.path)
        self.ids.add(request.request_id)
        return await self.zones.gateways[zone].answer(request)

    async def send_together(self, count):
        """Send copies to each instance at the same moment."""
        async with trio.open_nursery() as nursery:
            for zone in self.zones.gateways:
                for _ in range(count):
                    nursery.start_soon(self.send, zone)

    @property
    def late(self):
        """The copies that reached servers late."""
        arrived = sorted(
            (item.sent_at_ms, item.request_id.decode())
            for item in self.zones.received
            if item.request_id.decode() in self.ids
        )
        lost_ms = arrived[TOLERATED_CRASHES - 1][0]
        late_ms = lost_ms + Bounds().contact_ms
        return {request_id for sent_ms, request_id in arrived if sent_ms > late_ms}


class CopiesSentTogetherTest(unittest.TestCase):
    """Copies that arrive within the run of another, at several instances."""

    async def check(self, route, path=SEARCH, **options):
        """Send four copies together to each instance, four times a second."""
        zones = TwoZones(route, **options)
        copies = Copies(zones, path)
        async with zones.running():
            for _ in range(240):
                await copies.send_together(4)
                await trio.sleep(0.25)
        self.assertLessEqual(len(copies.late), TOLERATED_COPIES)

    @trio_test
    async def test_searches_sent_together_reach_servers_when_a_quarantine_ends(self):
        """Guards against a release that each instance grants by itself."""
        await self.check(gather_route(6))

    @trio_test
    async def test_searches_sent_together_reach_servers_through_coordinators(self):
        """Guards against the same where other instances run the queries."""
        await self.check(gather_route(6), delegates=True)

    @trio_test
    async def test_fetches_sent_together_reach_servers_when_a_quarantine_ends(self):
        """Guards against the same for requests that one server answers."""
        await self.check(forward_route(), FETCH)


class UnseenLossesTest(unittest.TestCase):
    """Servers that are lost after the run that reached them has ended."""

    @trio_test
    async def test_runs_that_end_before_their_losses_are_no_evidence(self):
        """Guards against a crashing request whose runs all end as silent."""
        zones = TwoZones(gather_route(6))
        copies = Copies(zones, crash_after_ms=40.0)
        async with zones.running():
            for number in range(120):
                zone = f"z{number % 2}"
                for _ in range(4):
                    await zones.send_request(zone)
                    await trio.sleep(0.2)
                await copies.send(zone)
                await trio.sleep(0.5)
        self.assertLessEqual(len(copies.late), TOLERATED_COPIES)

    @trio_test
    async def test_servers_lost_after_the_end_of_a_run_are_not_counted(self):
        """Guards against the same already for the second copy."""
        zones = TwoZones(gather_route(6))
        copies = Copies(zones, crash_after_ms=200.0)
        async with zones.running():
            reply = await copies.send("z0")
            await trio.sleep(0.5)
            for zone in zones.gateways:
                reports = zones.crash_reports(zone)
                self.assertTrue(reports.is_suspected(zones.request(SEARCH)))
        self.assertEqual(reply.reason, "all_silent")


class DroppedEvidenceTest(unittest.TestCase):
    """Evidence that an instance drops, never gets or forgets."""

    async def send_alone(self, copies, count, zones=("z0", "z1"), pause_s=0.5):
        """Send copies one after the other, to some instances in turn."""
        for number in range(count):
            await copies.send(zones[number % len(zones)])
            await trio.sleep(pause_s)

    @trio_test
    async def test_failure_of_one_server_clears_a_crashing_request(self):
        """Guards against a status 500 taken for the answer to a request."""
        zones = TwoZones(gather_route(6))
        copies = Copies(zones)
        zones.fail("part-0")
        async with zones.running():
            await self.send_alone(copies, 120)
        self.assertLessEqual(len(copies.late), TOLERATED_COPIES)

    @trio_test
    async def test_instance_that_missed_a_report_sends_copies_to_servers(self):
        """Guards against reports that are sent once and never repeated."""
        zones = TwoZones(gather_route(6))
        copies = Copies(zones)
        async with zones.running():
            zones.frozen = True
            await self.send_alone(copies, 400, zones=("z0",))
            zones.frozen = False
            await trio.sleep(Bounds().contact_ms / 1000.0)
            await self.send_alone(copies, 120, zones=("z1",))
        self.assertLessEqual(len(copies.late), TOLERATED_COPIES)

    @trio_test
    async def test_instance_that_missed_a_report_never_gets_it(self):
        """Guards against the same already for its first copy."""
        zones = TwoZones(gather_route(6))
        copies = Copies(zones)
        async with zones.running():
            zones.frozen = True
            await self.send_alone(copies, 4, zones=("z0",))
            zones.frozen = False
            await trio.sleep(Bounds().contact_ms / 1000.0)
            reports = zones.crash_reports("z1")
            self.assertTrue(reports.is_suspected(zones.request(SEARCH)))

    @trio_test
    async def test_started_instance_asks_one_that_does_not_reply(self):
        """Guards against a start without the store or a reply of those asked."""
        zones = TwoZones(gather_route(6))
        copies = Copies(zones)
        async with zones.running():
            zones.records.is_available = False
            await self.send_alone(copies, 4, zones=("z1",))
            zones.frozen = True
            restarted = zones.restart("z0")
            restarted.request_known()
            await trio.sleep(1.0)
            zones.frozen = False
            await trio.sleep(Bounds().contact_ms / 1000.0)
            self.assertTrue(restarted.is_suspected(zones.request(SEARCH)))

    @trio_test
    async def test_restart_of_all_instances_forgets_crashing_requests(self):
        """Guards against three more copies after each restart of all instances."""
        zones = TwoZones(gather_route(6))
        copies = Copies(zones)
        async with zones.running():
            for _ in range(3):
                await self.send_alone(copies, 20)
                zones.restart("z0")
                zones.restart("z1")
                await trio.sleep(1.0)
            await self.send_alone(copies, 60)
        self.assertLessEqual(len(copies.late), TOLERATED_COPIES)
