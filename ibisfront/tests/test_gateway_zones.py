"""Tests of partition detection between zones and its effects, in mock time."""

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


def path_with_requests(endpoints, *, late_ms=30.0):
    """Return a path with a request to each of some endpoints at time 0."""
    path = ZonePath("z1")
    for number in range(endpoints):
        path.record_request(f"e{number}", 0.0, late_ms=late_ms)
    return path


class ZonePathTest(unittest.TestCase):
    """When a path counts as partitioned."""

    def test_silence_and_failed_probes_together_show_a_partition(self):
        path = path_with_requests(3)
        self.assertIsNone(path.evaluate(44.0))
        self.assertEqual(path.evaluate(45.0), PathAction.PROBE)
        path.record_probes(4, 45.0)
        self.assertIsNone(path.evaluate(104.0))
        self.assertFalse(path.is_partitioned)
        self.assertEqual(path.evaluate(105.0), PathAction.PARTITIONED)
        self.assertTrue(path.is_partitioned)

    def test_few_silent_servers_do_not_make_a_path_suspect(self):
        path = path_with_requests(2)
        self.assertIsNone(path.evaluate(10_000.0))

    def test_any_sign_of_life_clears_the_suspicion(self):
        path = path_with_requests(5)
        self.assertEqual(path.evaluate(50.0), PathAction.PROBE)
        path.record_probes(3, 50.0)
        path.record_liveness()
        self.assertIsNone(path.evaluate(200.0))
        self.assertFalse(path.is_partitioned)

    def test_expected_latency_delays_the_suspicion(self):
        path = path_with_requests(5, late_ms=400.0)
        self.assertIsNone(path.evaluate(590.0))
        self.assertEqual(path.evaluate(600.0), PathAction.PROBE)

    def test_no_partition_before_a_probe_was_sent(self):
        path = path_with_requests(3)
        path.evaluate(50.0)
        path.record_probes(0, 50.0)
        self.assertEqual(path.evaluate(500.0), PathAction.PROBE)
        self.assertFalse(path.is_partitioned)

    def test_deadlines_are_extended_if_the_process_did_not_run(self):
        """Guards against a false partition while replies are unread in this process.

        CPU throttling may stop a small instance for most of 100 ms, in which it cannot
        observe any sign of life.
        """
        path = path_with_requests(3)
        path.extend_deadlines(80.0)
        self.assertIsNone(path.evaluate(120.0))
        self.assertEqual(path.evaluate(125.0), PathAction.PROBE)

    def test_zone_is_probed_on_other_evidence(self):
        """Guards against a partitioned instance whose queries all wait for other zones.

        It delegates its queries one at a time and sends none to servers itself, so
        three replies are never overdue together.
        """
        path = ZonePath("z1")
        path.mark_suspect()
        self.assertEqual(path.evaluate(0.0), PathAction.PROBE)
        path.record_probes(2, 0.0)
        self.assertIsNone(path.evaluate(59.0))
        self.assertEqual(path.evaluate(60.0), PathAction.PARTITIONED)
        path.mark_suspect()
        self.assertTrue(path.is_partitioned)

    def test_suspected_healthy_zone_stays_open(self):
        path = ZonePath("z1")
        path.mark_suspect()
        path.evaluate(0.0)
        path.record_probes(2, 0.0)
        path.record_liveness()
        self.assertIsNone(path.evaluate(60.0))
        self.assertFalse(path.is_partitioned)

    def test_partition_is_probed_and_lasts_until_a_sign_of_life(self):
        path = path_with_requests(3)
        path.evaluate(50.0)
        path.record_probes(3, 50.0)
        path.evaluate(110.0)
        actions = [path.evaluate(110.0 + number * 25.0) for number in range(80)]
        self.assertEqual(actions.count(PathAction.PROBE), 14)
        self.assertTrue(path.is_partitioned)
        path.record_liveness()
        self.assertFalse(path.is_partitioned)
        self.assertEqual(path.evaluate(2_200.0), PathAction.RESTORED)
        self.assertIsNone(path.evaluate(2_225.0))


class ZonePathMonitorTest(unittest.TestCase):
    """Actions of the monitor."""

    @trio_test
    async def test_partition_of_one_zone_probes_all_others(self):
        """Guards against a partition detected zone by zone, over half a second.

        Instances of the partitioned zone would delegate queries to one silent zone
        after another, and stay in rotation meanwhile.
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
            monitor = ZonePathMonitor(
                paths=paths,
                servers=servers,
                peers=peers,
                counters=Observer().counters,
                on_change=lambda: None,
                clock=clock,
            )
            nursery.start_soon(monitor.run)
            for number in range(3):
                paths.to("z1").record_request(
                    f"e{number}", clock.now_ms(), late_ms=30.0
                )
            await trio.sleep(0.3)
            partitioned = [path.zone for path in paths.all() if path.is_partitioned]
            nursery.cancel_scope.cancel()
        self.assertEqual(sorted(partitioned), ["z1", "z2", "z3"])


class RotationTest(unittest.TestCase):
    """When rejected callers should retry."""

    def test_wait_lasts_until_the_balancer_has_reacted(self):
        rotation = Rotation()
        rotation.record(is_ready=False, now_ms=1_000.0)
        rotation.record(is_ready=False, now_ms=1_500.0)
        self.assertGreaterEqual(rotation.wait_ms(1_000.0), 2_200.0)
        self.assertLessEqual(rotation.wait_ms(1_000.0), 2_400.0)
        self.assertGreaterEqual(rotation.wait_ms(3_100.0), 100.0)
        self.assertLess(rotation.wait_ms(3_201.0), 50.0)

    def test_wait_restarts_with_a_second_partition(self):
        rotation = Rotation()
        rotation.record(is_ready=False, now_ms=1_000.0)
        rotation.record(is_ready=True, now_ms=5_000.0)
        rotation.record(is_ready=False, now_ms=20_000.0)
        self.assertGreaterEqual(rotation.wait_ms(20_000.0), 2_200.0)


class PartitionedZoneFixture(GatewayFixture):
    """An instance in ``z0`` with a third of its services in ``z1`` only."""

    def __init__(self, *routes, latency_ms=10.0):
        super().__init__(*routes, latency_ms=latency_ms)
        for index, servers in enumerate(self.servers.values()):
            for copy, server in enumerate(servers):
                is_near = copy == 0 and index % 3 != 0
                zone = "z0" if is_near else "z1"
                server.entry = msgspec.structs.replace(server.entry, zone=zone)

    def remote_servers(self):
        return [item for item in self.all_servers() if item.entry.zone == "z1"]

    def partition(self):
        self._baseline = [server.latency_ms for server in self.remote_servers()]
        for server in self.remote_servers():
            server.latency_ms, server.accepts_connections = math.inf, False

    def heal(self):
        for server, latency_ms in zip(
            self.remote_servers(), self._baseline, strict=True
        ):
            server.latency_ms, server.accepts_connections = latency_ms, True


class ZonePartitionTest(unittest.TestCase):
    """Queries of an instance whose zone is partitioned."""

    async def _send_queries(self, fixture, nursery, replies):
        """Send a query every 30 ms; record the times and the reply of each."""

        async def send_query():
            sent_ms = fixture.clock.now_ms()
            reply = await fixture.send_request(deadline_ms=2000.0)
            replies.append((sent_ms, fixture.clock.now_ms(), reply))

        while True:
            nursery.start_soon(send_query)
            await trio.sleep(0.03)

    async def _run_partition(self, fixture):
        """Partition the zone for 2 s under load; return readiness and replies."""
        replies, readiness = [], []
        async with fixture.running() as gateway, trio.open_nursery() as nursery:
            nursery.start_soon(self._send_queries, fixture, nursery, replies)
            await trio.sleep(1.0)
            fixture.partition()
            partitioned_ms = fixture.clock.now_ms()
            for _ in range(80):
                readiness.append((fixture.clock.now_ms(), gateway.report_readiness()))
                await trio.sleep(0.025)
            fixture.heal()
            healed_ms = fixture.clock.now_ms()
            await trio.sleep(0.4)
            is_ready_again = gateway.report_readiness()
            await trio.sleep(0.3)
            nursery.cancel_scope.cancel()
        during = [item for item in replies if partitioned_ms <= item[0] < healed_ms]
        after = [item for item in replies if item[0] >= healed_ms + 400.0]
        return readiness, during, is_ready_again, after

    @trio_test
    async def test_partitioned_instance_leaves_rotation_until_the_path_recovers(self):
        """Guards against readiness that alternates during a partition.

        If each server is detected separately, none has a request in flight once all
        are, and all seem reachable again: requests are rejected, delayed and failed
        alternately. With state for the whole zone, the instance left rotation after
        175 ms and no query took over 130 ms; without, after 525 ms and 1,985 ms.
        """
        readiness, during, is_ready_again, after = await self._run_partition(
            PartitionedZoneFixture(gather_route(21, timeout_ms=2000.0))
        )
        ready = [is_ready for _, is_ready in readiness]
        self.assertEqual(ready.index(False) <= 10, True)
        self.assertEqual(set(ready[ready.index(False) :]), {False})
        longest_ms = max(ended_ms - sent_ms for sent_ms, ended_ms, _ in during)
        self.assertLess(longest_ms, 300.0)
        late = [reply for sent_ms, _, reply in during[10:] if reply.status != 503]
        self.assertEqual(late, [])
        self.assertTrue(is_ready_again)
        self.assertEqual({reply.status for _, _, reply in after}, {200})

    @trio_test
    async def test_start_and_end_of_a_partition_are_reported(self):
        fixture = PartitionedZoneFixture(gather_route(21, timeout_ms=2000.0))
        await self._run_partition(fixture)
        self.assertEqual(fixture.zone_changes, 2)

    @trio_test
    async def test_rejected_callers_get_a_retry_time(self):
        """Guards against callers that retry at once, in the same partitioned zone.

        They have a single retry. The balancer takes two seconds to send them to
        another zone, so nearly all of them would fail.
        """
        fixture = PartitionedZoneFixture(gather_route(21, timeout_ms=2000.0))
        readiness, during, _, _ = await self._run_partition(fixture)
        # It left rotation after the last poll at which it was ready.
        last_ready_ms = max(at_ms for at_ms, is_ready in readiness if is_ready)
        rejected = [item for item in during if item[0] > last_ready_ms + 25.0]
        self.assertGreater(len(rejected), 50)
        for sent_ms, _, reply in rejected:
            wait_ms = 1000.0 * float(dict(reply.headers)[b"Retry-After"])
            self.assertGreaterEqual(sent_ms + wait_ms, last_ready_ms + 2_199.9)

    @trio_test
    async def test_paused_servers_do_not_show_a_partition(self):
        """Guards against abandoning a healthy zone while its servers collect garbage.

        None replies for 400 ms. New connections still open, until all allowed ones wait
        for a reply and none is left for a probe.
        """
        fixture = PartitionedZoneFixture(gather_route(21, timeout_ms=2000.0))
        ready = []
        async with fixture.running() as gateway, trio.open_nursery() as nursery:
            nursery.start_soon(self._send_queries, fixture, nursery, [])
            await trio.sleep(1.0)
            for server in fixture.remote_servers():
                server.latency_ms = 400.0
            for _ in range(20):
                ready.append(gateway.report_readiness())
                await trio.sleep(0.025)
            nursery.cancel_scope.cancel()
        self.assertEqual(set(ready), {True})
        # A partition that the next probe ends lasts less than two polls.
        self.assertEqual(fixture.zone_changes, 0)

    @trio_test
    async def test_reply_to_non_idempotent_work_is_awaited(self):
        """Guards against reporting non-idempotent work as failed although it ran.

        The path to the server is partitioned and recovers before the caller's deadline.
        The reply is in transit; failing the request at the partition would lose it.
        """
        route = forward_route(kind=RequestKind.NON_IDEMPOTENT)
        fixture = PartitionedZoneFixture(gather_route(21), route)
        replies = []
        for server in fixture.servers["archive"]:
            server.entry = msgspec.structs.replace(server.entry, zone="z1")
            server.latency_ms = 900.0

        async def fetch():
            replies.append(await fixture.send_request("/fetch/a", deadline_ms=2000.0))

        async with fixture.running(), trio.open_nursery() as nursery:
            nursery.start_soon(self._send_queries, fixture, nursery, [])
            await trio.sleep(0.5)
            nursery.start_soon(fetch)
            await trio.sleep(0.1)
            fixture.partition()
            await trio.sleep(1.0)
            nursery.cancel_scope.cancel()
        self.assertEqual([reply.status for reply in replies], [200])
