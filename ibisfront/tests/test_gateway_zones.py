"""Tests of what is believed of other zones, and of what follows, in mock time."""

from __future__ import annotations

import math
import unittest

import msgspec
import trio

from ibisfront.core.clock import Clock
from ibisfront.gateway.instances.rotation import Rotation
from ibisfront.gateway.instances.zone_path_monitor import ZonePathMonitor
from ibisfront.gateway.instances.zone_paths import PathAction, ZonePath, ZonePaths
from ibisfront.gateway.observability import Observer
from ibisfront.gateway.servers.pool import ServerPool
from ibisfront.gateway.servers.server_entry import ServerEntry
from ibisfront.gateway.servers.server_registry import ServerRegistry
from ibisfront.gateway.state.configuration import RequestKind
from ibisfront.testing.gateway_fixture import (
    GatewayFixture,
    forward_route,
    gather_route,
)
from ibisfront.tests import trio_test


def asked_path(endpoints, *, late_ms=30.0):
    """Return a path on which some endpoints were asked at time 0."""
    path = ZonePath("z1")
    for number in range(endpoints):
        path.record_asked(f"e{number}", 0.0, late_ms=late_ms)
    return path


class ZonePathTest(unittest.TestCase):
    """When a path is believed to be cut."""

    def test_silence_and_failed_probes_together_make_a_cut(self):
        path = asked_path(3)
        self.assertIsNone(path.step(44.0))
        self.assertEqual(path.step(45.0), PathAction.PROBE)
        path.record_probed(4, 45.0)
        self.assertIsNone(path.step(104.0))
        self.assertFalse(path.is_partitioned)
        self.assertEqual(path.step(105.0), PathAction.CUT)
        self.assertTrue(path.is_partitioned)

    def test_few_silent_servers_are_no_suspicion(self):
        path = asked_path(2)
        self.assertIsNone(path.step(10_000.0))

    def test_any_sign_of_life_ends_the_suspicion(self):
        path = asked_path(5)
        self.assertEqual(path.step(50.0), PathAction.PROBE)
        path.record_probed(3, 50.0)
        path.record_liveness()
        self.assertIsNone(path.step(200.0))
        self.assertFalse(path.is_partitioned)

    def test_long_work_is_given_its_time(self):
        path = asked_path(5, late_ms=400.0)
        self.assertIsNone(path.step(590.0))
        self.assertEqual(path.step(600.0), PathAction.PROBE)

    def test_nothing_is_decided_before_a_probe_was_sent(self):
        path = asked_path(3)
        path.step(50.0)
        path.record_probed(0, 50.0)
        self.assertEqual(path.step(500.0), PathAction.PROBE)
        self.assertFalse(path.is_partitioned)

    def test_process_that_did_not_run_gives_more_time(self):
        """A zone is taken for cut though its replies lie unread here.

        A small instance may be kept from running for most of a tenth of a
        second; nobody can show life to it meanwhile.
        """
        path = asked_path(3)
        path.postpone(80.0)
        self.assertIsNone(path.step(120.0))
        self.assertEqual(path.step(125.0), PathAction.PROBE)

    def test_zone_is_probed_on_a_sign_from_elsewhere(self):
        """Each query of an instance that is cut off waits for another zone.

        It asks no servers itself and has its queries gathered elsewhere, one at a
        time: three overdue replies never come together.
        """
        path = ZonePath("z1")
        path.suspect()
        self.assertEqual(path.step(0.0), PathAction.PROBE)
        path.record_probed(2, 0.0)
        self.assertIsNone(path.step(59.0))
        self.assertEqual(path.step(60.0), PathAction.CUT)
        path.suspect()
        self.assertTrue(path.is_partitioned)

    def test_sound_zone_that_is_suspected_stays_open(self):
        path = ZonePath("z1")
        path.suspect()
        path.step(0.0)
        path.record_probed(2, 0.0)
        path.record_liveness()
        self.assertIsNone(path.step(60.0))
        self.assertFalse(path.is_partitioned)

    def test_cut_stays_until_life_is_shown_and_is_probed_meanwhile(self):
        path = asked_path(3)
        path.step(50.0)
        path.record_probed(3, 50.0)
        path.step(110.0)
        steps = [path.step(110.0 + number * 25.0) for number in range(80)]
        self.assertEqual(steps.count(PathAction.PROBE), 14)
        self.assertTrue(path.is_partitioned)
        path.record_liveness()
        self.assertFalse(path.is_partitioned)
        self.assertEqual(path.step(2_200.0), PathAction.OPENED)
        self.assertIsNone(path.step(2_225.0))


class ZonePathMonitorTest(unittest.TestCase):
    """What is done about the paths."""

    @trio_test
    async def test_cut_of_one_zone_has_all_others_probed(self):
        """A zone that is cut off finds that out zone by zone, for half a second.

        Its instances send the queries of their callers to one silent zone after the
        other, and stay in rotation meanwhile.
        """
        clock = Clock()
        paths = ZonePaths("z0")
        opened = []

        async def open_connection(address):
            opened.append(address)
            await trio.sleep_forever()

        async with trio.open_nursery() as nursery:
            peers = ServerRegistry(
                clock=clock,
                make_pool=lambda server: ServerPool(
                    server,
                    open_connection=open_connection,
                    nursery=nursery,
                    clock=clock,
                    maximum=2,
                ),
                zone="z0",
                paths=paths,
            )
            for zone in ("z1", "z2", "z3"):
                peers.put(ServerEntry(f"i-{zone}", zone, f"i-{zone}", zone))
            servers = ServerRegistry(clock=clock, make_pool=lambda _: None, zone="z0")
            watch = ZonePathMonitor(
                paths=paths,
                servers=servers,
                peers=peers,
                counters=Observer().counters,
                on_change=lambda: None,
                clock=clock,
            )
            nursery.start_soon(watch.run)
            for number in range(3):
                paths.to("z1").record_asked(f"e{number}", clock.now_ms(), late_ms=30.0)
            await trio.sleep(0.3)
            cut = [path.zone for path in paths.all() if path.is_partitioned]
            nursery.cancel_scope.cancel()
        self.assertEqual(sorted(cut), ["z1", "z2", "z3"])


class RotationTest(unittest.TestCase):
    """When refused callers are told to come back."""

    def test_callers_come_back_when_the_balancer_has_moved(self):
        rotation = Rotation()
        rotation.record(is_ready=False, now_ms=1_000.0)
        rotation.record(is_ready=False, now_ms=1_500.0)
        self.assertGreaterEqual(rotation.wait_ms(1_000.0), 2_200.0)
        self.assertLessEqual(rotation.wait_ms(1_000.0), 2_400.0)
        self.assertGreaterEqual(rotation.wait_ms(3_100.0), 100.0)
        self.assertLess(rotation.wait_ms(3_201.0), 50.0)

    def test_second_cut_is_counted_from_its_own_start(self):
        rotation = Rotation()
        rotation.record(is_ready=False, now_ms=1_000.0)
        rotation.record(is_ready=True, now_ms=5_000.0)
        rotation.record(is_ready=False, now_ms=20_000.0)
        self.assertGreaterEqual(rotation.wait_ms(20_000.0), 2_200.0)


class CutZoneFixture(GatewayFixture):
    """An instance in ``z0`` with a third of its services in ``z1`` only."""

    def __init__(self, *routes, latency_ms=10.0):
        super().__init__(*routes, latency_ms=latency_ms)
        for index, servers in enumerate(self.servers.values()):
            for copy, server in enumerate(servers):
                is_near = copy == 0 and index % 3 != 0
                zone = "z0" if is_near else "z1"
                server.entry = msgspec.structs.replace(server.entry, zone=zone)

    def far_servers(self):
        return [item for item in self.all_servers() if item.entry.zone == "z1"]

    def cut(self):
        self._baseline = [server.latency_ms for server in self.far_servers()]
        for server in self.far_servers():
            server.latency_ms, server.accepts_connections = math.inf, False

    def heal(self):
        for server, latency_ms in zip(self.far_servers(), self._baseline, strict=True):
            server.latency_ms, server.accepts_connections = latency_ms, True


class ZoneCutTest(unittest.TestCase):
    """Queries of an instance whose zone is cut off."""

    async def _load(self, fixture, nursery, replies):
        """Ask every 30 ms and note when each answer came, and what it was."""

        async def ask():
            asked_ms = fixture.clock.now_ms()
            reply = await fixture.send_request(deadline_ms=2000.0)
            replies.append((asked_ms, fixture.clock.now_ms(), reply))

        while True:
            nursery.start_soon(ask)
            await trio.sleep(0.03)

    async def _play(self, fixture):
        """Cut the zone for two seconds under load; return what was seen."""
        replies, looks = [], []
        async with fixture.running() as gateway, trio.open_nursery() as nursery:
            nursery.start_soon(self._load, fixture, nursery, replies)
            await trio.sleep(1.0)
            fixture.cut()
            cut_ms = fixture.clock.now_ms()
            for _ in range(80):
                looks.append((fixture.clock.now_ms(), gateway.report_readiness()))
                await trio.sleep(0.025)
            fixture.heal()
            healed_ms = fixture.clock.now_ms()
            await trio.sleep(0.4)
            is_back = gateway.report_readiness()
            await trio.sleep(0.3)
            nursery.cancel_scope.cancel()
        during = [item for item in replies if cut_ms <= item[0] < healed_ms]
        after = [item for item in replies if item[0] >= healed_ms + 400.0]
        return looks, during, is_back, after

    @trio_test
    async def test_instance_knows_its_zone_is_cut_off_and_stays_out(self):
        """A whole zone's callers are refused, kept waiting and failed by turns.

        The path to the other zones is cut. Each server is found silent by
        itself; once all are, nothing is under way, and they seem reachable
        again. The instance goes in and out of rotation until the cut heals.
        With one belief for the zone it was out of rotation after 175 ms and no
        query took over 130 ms; without, after 525 ms and 1,985 ms.
        """
        looks, during, is_back, after = await self._play(
            CutZoneFixture(gather_route(21, timeout_ms=2000.0))
        )
        ready = [is_ready for _, is_ready in looks]
        self.assertEqual(ready.index(False) <= 10, True)
        self.assertEqual(set(ready[ready.index(False) :]), {False})
        longest_ms = max(ended_ms - asked_ms for asked_ms, ended_ms, _ in during)
        self.assertLess(longest_ms, 300.0)
        late = [reply for asked_ms, _, reply in during[10:] if reply.status != 503]
        self.assertEqual(late, [])
        self.assertTrue(is_back)
        self.assertEqual({reply.status for _, _, reply in after}, {200})

    @trio_test
    async def test_those_that_follow_are_told_of_a_cut_and_of_its_end(self):
        fixture = CutZoneFixture(gather_route(21, timeout_ms=2000.0))
        await self._play(fixture)
        self.assertEqual(fixture.zone_changes, 2)

    @trio_test
    async def test_refused_callers_are_told_when_to_come_back(self):
        """Callers of a cut zone come back at once, into the same zone.

        They have one more try. The balancer takes two seconds to send them
        elsewhere, so that nearly all of them fail.
        """
        fixture = CutZoneFixture(gather_route(21, timeout_ms=2000.0))
        looks, during, _, _ = await self._play(fixture)
        # It went out of rotation after the last look at which it was ready.
        last_ready_ms = max(at_ms for at_ms, is_ready in looks if is_ready)
        refused = [item for item in during if item[0] > last_ready_ms + 25.0]
        self.assertGreater(len(refused), 50)
        for asked_ms, _, reply in refused:
            wait_ms = 1000.0 * float(dict(reply.headers)[b"Retry-After"])
            self.assertGreaterEqual(asked_ms + wait_ms, last_ready_ms + 2_199.9)

    @trio_test
    async def test_servers_that_only_pause_do_not_cut_a_zone(self):
        """A sound zone is given up because its servers collect garbage at once.

        None replies for 400 ms. New connections to them open as ever, until all
        that are allowed wait for a reply and none is left for a probe either.
        """
        fixture = CutZoneFixture(gather_route(21, timeout_ms=2000.0))
        ready = []
        async with fixture.running() as gateway, trio.open_nursery() as nursery:
            nursery.start_soon(self._load, fixture, nursery, [])
            await trio.sleep(1.0)
            for server in fixture.far_servers():
                server.latency_ms = 400.0
            for _ in range(20):
                ready.append(gateway.report_readiness())
                await trio.sleep(0.025)
            nursery.cancel_scope.cancel()
        self.assertEqual(set(ready), {True})
        # A cut that the next probe ends lasts less than two looks.
        self.assertEqual(fixture.zone_changes, 0)

    @trio_test
    async def test_reply_to_non_idempotent_work_is_waited_for(self):
        """An envelope that was printed is reported as failed.

        The path to the server is cut and heals within the caller's time. The
        reply is on its way; ending the request at the cut would lose it.
        """
        route = forward_route(kind=RequestKind.NON_IDEMPOTENT)
        fixture = CutZoneFixture(gather_route(21), route)
        replies = []
        for server in fixture.servers["archive"]:
            server.entry = msgspec.structs.replace(server.entry, zone="z1")
            server.latency_ms = 900.0

        async def fetch():
            replies.append(await fixture.send_request("/fetch/a", deadline_ms=2000.0))

        async with fixture.running(), trio.open_nursery() as nursery:
            nursery.start_soon(self._load, fixture, nursery, [])
            await trio.sleep(0.5)
            nursery.start_soon(fetch)
            await trio.sleep(0.1)
            fixture.cut()
            await trio.sleep(1.0)
            nursery.cancel_scope.cancel()
        self.assertEqual([reply.status for reply in replies], [200])
