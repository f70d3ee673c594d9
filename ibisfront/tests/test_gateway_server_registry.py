"""Tests of the registry of backend servers and of their health, in mock time."""

from __future__ import annotations

import unittest

import trio

from ibisfront.core.clock import Clock
from ibisfront.gateway.load.baseline_latency import BaselineLatency
from ibisfront.gateway.load.server_choice import choose_server, server_cost
from ibisfront.gateway.load.server_load import ServerLoad
from ibisfront.gateway.servers.server import Server
from ibisfront.gateway.servers.server_entry import ServerEntry
from ibisfront.gateway.servers.server_registry import (
    MAX_REMOVED_STARTS,
    STALE_ENTRY_GRACE_MS,
    ServerRegistry,
)
from ibisfront.tests import trio_test


def entry(name, **changes):
    """Return the entry of a server of the service ``s``."""
    fields = {"service": "s", "address": f"{name}:80", "zone": "z0", "slots": 2}
    return ServerEntry(name, **{**fields, **changes})


def registry_of(*names):
    """Return a registry that contains the named servers."""
    registry = ServerRegistry(clock=Clock(), make_pool=lambda server: None, zone="z0")
    for name in names:
        registry.put(entry(name))
    return registry


def usable_ids(registry):
    """Return the ids of the usable servers of ``s``."""
    return {
        server.entry.server_id
        for server in registry.of_service("s")
        if server.is_usable
    }


class ServerRegistryTest(unittest.TestCase):
    """Which servers may be sent requests."""

    @trio_test
    async def test_draining_and_removed_servers_are_unusable_immediately(self):
        registry = registry_of("a", "b", "c")
        registry.put(entry("a", is_draining=True))
        registry.remove("b")
        self.assertEqual(usable_ids(registry), {"c"})

    @trio_test
    async def test_stale_servers_are_kept_for_a_grace_period_after_an_outage(self):
        """Guards against queries that all fail for seconds after a store outage.

        Servers could not renew their entries during the outage, and the first list
        contains only some of them. Those renewed within two seconds must be kept;
        the others are gone.
        """
        registry = registry_of("a", "b", "c")
        registry.replace([entry("a")], after_outage=True)
        self.assertEqual(usable_ids(registry), {"a", "b", "c"})
        await trio.sleep(1.9)
        registry.put(entry("b"))
        registry.remove_stale()
        self.assertEqual(usable_ids(registry), {"a", "b", "c"})
        await trio.sleep((STALE_ENTRY_GRACE_MS - 1899.0) / 1000.0)
        self.assertTrue(registry.remove_stale())
        self.assertEqual(usable_ids(registry), {"a", "b"})

    @trio_test
    async def test_stale_server_is_used_only_if_there_is_no_other(self):
        """Guards against a leaving server that gets half of its service's requests.

        Its entry was removed while the store was unavailable to this instance, which
        keeps it for a grace period in case it was only not renewed. The other server of
        the service is listed and could serve all requests.
        """
        registry = registry_of("a", "b")
        registry.replace([entry("b")], after_outage=True)
        servers = registry.of_service("s")
        chosen = [
            choose_server(servers, [], now_ms=0.0, baseline_ms=10.0) for _ in range(50)
        ]
        self.assertEqual({item.entry.server_id for item in chosen}, {"b"})
        registry.replace([], after_outage=True)
        chosen = choose_server(servers, [], now_ms=0.0, baseline_ms=10.0)
        self.assertIsNotNone(chosen)
        registry.put(entry("a"))
        chosen = choose_server(servers, [], now_ms=0.0, baseline_ms=10.0)
        self.assertEqual(chosen.entry.server_id, "a")

    @trio_test
    async def test_list_of_an_available_store_is_applied_immediately(self):
        registry = registry_of("a", "b")
        registry.replace([entry("b")], after_outage=False)
        self.assertEqual(usable_ids(registry), {"b"})

    @trio_test
    async def test_entry_with_another_address_is_a_new_server(self):
        registry = registry_of("a")
        before = registry.of_service("s")[0]
        registry.put(entry("a", address="elsewhere:80"))
        self.assertTrue(before.is_removed)
        self.assertIsNot(registry.of_service("s")[0], before)


class IncarnationTest(unittest.TestCase):
    """A server that restarts under its id is a new incarnation.

    The health, the connections and the requests of the previous incarnation must not
    be attributed to it.
    """

    @trio_test
    async def test_restarted_server_has_no_history(self):
        """Guards against a restarted server that gets no requests for seconds.

        The previous incarnation was unresponsive and refused connections, and the new
        one at the same address inherits its backoff.
        """
        registry = registry_of("a")
        before = registry.of_service("s")[0]
        before.record_unreachable(Clock().now_ms())
        before.record_unreachable(Clock().now_ms())
        registry.put(entry("a", born_ms=2_000, warm_up_left_ms=3_000.0))
        after = registry.of_service("s")[0]
        now_ms = Clock().now_ms()
        self.assertTrue(before.is_removed)
        self.assertTrue(after.is_reachable(now_ms))
        self.assertLess(server_cost(after, now_ms, 10.0), 2.0)
        self.assertGreater(after.warm_at_ms, now_ms + 2_000.0)
        self.assertEqual(len(registry.of_service("s")), 1)

    @trio_test
    async def test_requests_of_the_previous_incarnation_end_as_possibly_run(self):
        """Guards against queries that wait until their deadline for a restarted server.

        It crashed behind a partition, so that no reset arrived; the connections to the
        dead process stay open and silent.
        """
        pools = []

        def make_pool(server):
            pools.append(FakePool())
            return pools[-1]

        registry = ServerRegistry(clock=Clock(), make_pool=make_pool, zone="z0")
        registry.put(entry("a", born_ms=1_000))
        registry.put(entry("a", born_ms=2_000))
        self.assertEqual([pool.ends for pool in pools], [["retired"], []])
        registry.remove("a")
        self.assertEqual([pool.ends for pool in pools], [["retired"], ["closed"]])

    @trio_test
    async def test_older_incarnation_never_replaces_a_newer_one(self):
        """Guards against requests to a dead incarnation instead of the running one.

        An entry from before the restart arrives late: by an outdated read, or from an
        instance that lags behind. It must be ignored after the newer one has left, too.
        """
        registry = registry_of()
        registry.put(entry("a", born_ms=2_000))
        server = registry.of_service("s")[0]
        registry.put(
            entry("a", born_ms=1_000, address="elsewhere:80", is_draining=True)
        )
        self.assertIs(registry.of_service("s")[0], server)
        self.assertEqual(usable_ids(registry), {"a"})
        registry.replace([entry("a", born_ms=1_000)], after_outage=False)
        self.assertIs(registry.of_service("s")[0], server)
        registry.remove("a")
        registry.put(entry("a", born_ms=1_000))
        self.assertEqual(usable_ids(registry), set())
        registry.put(entry("a", born_ms=2_000))
        self.assertEqual(usable_ids(registry), {"a"})

    @trio_test
    async def test_start_of_a_listed_server_is_always_kept(self):
        """Guards against a running server replaced by its dead incarnation.

        Start times of removed servers are dropped beyond a limit, which a large
        deployment reaches; that must not affect listed servers.
        """
        registry = registry_of()
        registry.put(entry("a", born_ms=2_000))
        for number in range(MAX_REMOVED_STARTS + 1):
            registry.put(entry(f"b{number}", born_ms=1))
            registry.remove(f"b{number}")
        registry.put(entry("a", born_ms=1_000, is_draining=True))
        self.assertEqual(usable_ids(registry), {"a"})

    @trio_test
    async def test_server_replaced_at_its_address_may_restart(self):
        registry = registry_of("a")
        registry.of_service("s")[0].is_removed = True
        registry.put(entry("a", born_ms=2_000))
        self.assertEqual(usable_ids(registry), {"a"})

    @trio_test
    async def test_id_that_moves_to_another_service_leaves_the_previous_one(self):
        """Guards against queries over one service that get parts of another.

        An id is written again with another service; it must not stay listed under the
        previous one.
        """
        registry = registry_of("a")
        registry.put(entry("a", service="t"))
        self.assertEqual(usable_ids(registry), set())
        self.assertEqual(len(registry.of_service("t")), 1)

    @trio_test
    async def test_unreadable_entry_removes_its_server_even_after_an_outage(self):
        """Guards against requests to an invalid entry for seconds after a store outage.

        A server missing from the first list may only not have renewed its entry, and is
        kept; an entry that exists but cannot be decoded has not expired.
        """
        registry = registry_of("a", "b")
        registry.replace([], after_outage=True, unreadable=["b"])
        self.assertEqual(usable_ids(registry), {"a"})


class FakePool:
    """A test double that records how its connections were closed."""

    def __init__(self):
        self.ends = []

    def close(self):
        self.ends.append("closed")

    def retire(self):
        self.ends.append("retired")


class ServerHealthTest(unittest.TestCase):
    """Health derived from a server's replies."""

    def server(self, **changes):
        return Server(entry("a", **changes), now_ms=0.0, is_near=True)

    def test_slow_server_costs_more_until_its_slowness_decays(self):
        server = self.server()
        for number in range(20):
            server.record_reply(number * 10.0, took_ms=100.0, baseline_ms=10.0)
        slow = server_cost(server, 200.0, 10.0)
        later = server_cost(server, 20_000.0, 10.0)
        self.assertGreater(slow, 3.0)
        self.assertLess(later, 1.1)

    def test_server_whose_work_is_always_cancelled_stays_slow(self):
        """Guards against queries that are late every few seconds.

        Another server answers in place of the slow one each time, and the slow one's
        work is cancelled. None of its replies is measured again; it must not seem
        healthy because of that.
        """
        server = self.server()
        for number in range(40):
            server.record_cancelled(number * 500.0, waited_ms=40.0, baseline_ms=10.0)
        self.assertGreater(server_cost(server, 20_000.0, 10.0), 1.7)

    def test_server_with_a_recently_reported_slowdown_is_avoided(self):
        """Guards against primary attempts at servers that currently report slowness."""
        server = self.server()
        server.record_load(0.0, ServerLoad(1, 0, 2, 4.0))
        self.assertGreater(server_cost(server, 10.0, 10.0), 3.0)
        self.assertLess(server_cost(server, 2_000.0, 10.0), 1.1)
        server.record_load(3_000.0, ServerLoad(1, 0, 2, 1e9))
        self.assertLess(server_cost(server, 3_000.0, 10.0), 10.0)
        server.record_load(3_100.0, ServerLoad(1, 0, 2, 0.5))
        self.assertEqual(server_cost(server, 3_100.0, 10.0), 1.0)

    def test_single_pause_does_not_make_a_server_slow(self):
        server = self.server()
        server.record_reply(10.0, took_ms=500.0, baseline_ms=10.0)
        self.assertLess(server.slowness(10.0), 2.0)

    def test_reset_connections_do_not_make_a_server_unreachable(self):
        """Guards against rejecting every query although all servers are reachable.

        Servers reset connections beyond their limit. That does not show that they are
        unreachable; a connection that cannot be opened does.
        """
        server = self.server()
        for number in range(5):
            server.record_lost(float(number))
        self.assertTrue(server.is_reachable(5.0))
        server.record_unreachable(6.0)
        self.assertFalse(server.is_reachable(6.0))
        server.record_connected(7.0)
        self.assertTrue(server.is_reachable(7.0))

    def test_remote_zone_and_cold_start_cost_more(self):
        near = self.server()
        far = Server(entry("a"), now_ms=0.0, is_near=False)
        cold = self.server(warm_up_left_ms=3000.0)
        self.assertLess(server_cost(near, 1.0, 10.0), server_cost(far, 1.0, 10.0))
        self.assertLess(server_cost(near, 1.0, 10.0), server_cost(cold, 1.0, 10.0))
        self.assertEqual(
            server_cost(near, 4000.0, 10.0), server_cost(cold, 4000.0, 10.0)
        )


class BaselineLatencyTest(unittest.TestCase):
    """The baseline latency, and the latency beyond which a reply is late."""

    def test_many_slow_servers_do_not_delay_hedged_requests(self):
        baseline = BaselineLatency(10.0)
        for number in range(256):
            baseline.record_ms(100.0 if number % 4 == 0 else 10.0)
        self.assertEqual(baseline.median_ms, 10.0)
        self.assertLessEqual(baseline.late_ms, 25.0)

    def test_reported_queues_take_precedence_over_the_latency(self):
        """Guards against cancelled work and late hedging while servers are idle."""
        baseline = BaselineLatency(10.0)
        baseline.median_ms, baseline.unloaded_ms = 20.0, 10.0
        self.assertTrue(baseline.is_loaded)
        baseline.record_load(ServerLoad(1, 0, 2))
        self.assertFalse(baseline.is_loaded)
        for _ in range(20):
            baseline.record_load(ServerLoad(2, 3, 2))
        self.assertTrue(baseline.is_loaded)
        for _ in range(200):
            baseline.record_load(ServerLoad(1, 0, 2))
        self.assertFalse(baseline.is_loaded)

    def test_queueing_raises_the_latency_above_the_unloaded_latency(self):
        baseline = BaselineLatency(10.0)
        for _ in range(256):
            baseline.record_ms(10.0)
        self.assertFalse(baseline.is_loaded)
        for _ in range(256):
            baseline.record_ms(20.0)
        self.assertTrue(baseline.is_loaded)
