"""Tests of the list of backend servers and of their health, in mock time."""

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
    BIRTHS_KEPT,
    STALE_ENTRY_GRACE_MS,
    ServerRegistry,
)
from ibisfront.tests import trio_test


def entry(name, **changes):
    """Return the entry of a server of the service ``s``."""
    fields = {"service": "s", "address": f"{name}:80", "zone": "z0", "slots": 2}
    return ServerEntry(name, **{**fields, **changes})


def registry_of(*names):
    """Return a registry with some servers."""
    registry = ServerRegistry(clock=Clock(), make_pool=lambda server: None, zone="z0")
    for name in names:
        registry.put(entry(name))
    return registry


def listed(registry):
    """Return the names of the servers of ``s`` that may be asked."""
    return {
        server.entry.server_id
        for server in registry.of_service("s")
        if server.is_usable
    }


class ServerRegistryTest(unittest.TestCase):
    """Who may be asked."""

    @trio_test
    async def test_draining_and_removed_servers_are_left_at_once(self):
        registry = registry_of("a", "b", "c")
        registry.put(entry("a", is_draining=True))
        registry.remove("b")
        self.assertEqual(listed(registry), {"c"})

    @trio_test
    async def test_servers_that_lapsed_with_the_store_stay_until_they_are_back(self):
        """All searches fail for seconds after the store was away.

        Servers could not renew their entries meanwhile, and the first list
        holds only some of them. Those that come back within two seconds must
        not be missed; one that does not has gone.
        """
        registry = registry_of("a", "b", "c")
        registry.replace([entry("a")], after_outage=True)
        self.assertEqual(listed(registry), {"a", "b", "c"})
        await trio.sleep(1.9)
        registry.put(entry("b"))
        registry.remove_stale()
        self.assertEqual(listed(registry), {"a", "b", "c"})
        await trio.sleep((STALE_ENTRY_GRACE_MS - 1899.0) / 1000.0)
        self.assertTrue(registry.remove_stale())
        self.assertEqual(listed(registry), {"a", "b"})

    @trio_test
    async def test_lapsed_server_is_asked_only_where_there_is_no_other(self):
        """A server that is leaving gets half of the requests of its service.

        Its entry was removed while the store was away for this instance, which
        keeps it for a while in case it has only lapsed. The other server of the
        service is listed and could take all of them.
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
    async def test_list_of_a_store_that_was_well_is_believed_at_once(self):
        registry = registry_of("a", "b")
        registry.replace([entry("b")], after_outage=False)
        self.assertEqual(listed(registry), {"b"})

    @trio_test
    async def test_other_server_at_the_address_is_another_server(self):
        registry = registry_of("a")
        before = registry.of_service("s")[0]
        registry.put(entry("a", address="elsewhere:80"))
        self.assertTrue(before.is_gone)
        self.assertIsNot(registry.of_service("s")[0], before)


class IncarnationTest(unittest.TestCase):
    """A server that starts again under its id is another server.

    The health, the connections and the requests of the one that died must not
    be taken for those of the one that lives.
    """

    @trio_test
    async def test_reborn_server_starts_from_nothing(self):
        """A server that is back gets no requests for seconds.

        It was silent and refused connections before it died; all that was
        held against it is held against the new one at the same address.
        """
        registry = registry_of("a")
        before = registry.of_service("s")[0]
        before.record_unreachable(Clock().now_ms())
        before.record_unreachable(Clock().now_ms())
        registry.put(entry("a", born_ms=2_000, warm_up_left_ms=3_000.0))
        after = registry.of_service("s")[0]
        now_ms = Clock().now_ms()
        self.assertTrue(before.is_gone)
        self.assertTrue(after.is_reachable(now_ms))
        self.assertLess(server_cost(after, now_ms, 10.0), 2.0)
        self.assertGreater(after.warm_at_ms, now_ms + 2_000.0)
        self.assertEqual(len(registry.of_service("s")), 1)

    @trio_test
    async def test_requests_of_the_dead_one_end_as_perhaps_run(self):
        """Searches wait until their deadline for a server that was reborn.

        It crashed behind a cut, so that no reset came; the connections to the
        dead one stay open and silent.
        """
        pools = []

        def make_pool(server):
            pools.append(RetiredPool())
            return pools[-1]

        registry = ServerRegistry(clock=Clock(), make_pool=make_pool, zone="z0")
        registry.put(entry("a", born_ms=1_000))
        registry.put(entry("a", born_ms=2_000))
        self.assertEqual([pool.ends for pool in pools], [["retired"], []])
        registry.remove("a")
        self.assertEqual([pool.ends for pool in pools], [["retired"], ["closed"]])

    @trio_test
    async def test_older_incarnation_never_replaces_a_newer_one(self):
        """A server that lives is left alone, and a dead one asked, for seconds.

        An entry from before the restart comes late: by a stale read, or from
        an instance that is behind. That holds after the newer one has left.
        """
        registry = registry_of()
        registry.put(entry("a", born_ms=2_000))
        server = registry.of_service("s")[0]
        registry.put(
            entry("a", born_ms=1_000, address="elsewhere:80", is_draining=True)
        )
        self.assertIs(registry.of_service("s")[0], server)
        self.assertEqual(listed(registry), {"a"})
        registry.replace([entry("a", born_ms=1_000)], after_outage=False)
        self.assertIs(registry.of_service("s")[0], server)
        registry.remove("a")
        registry.put(entry("a", born_ms=1_000))
        self.assertEqual(listed(registry), set())
        registry.put(entry("a", born_ms=2_000))
        self.assertEqual(listed(registry), {"a"})

    @trio_test
    async def test_start_of_a_listed_server_is_never_forgotten(self):
        """A server that lives is replaced by the one that is dead, at full size.

        So many others came and went that what is remembered of those that are
        gone was dropped; that must not touch what is listed.
        """
        registry = registry_of()
        registry.put(entry("a", born_ms=2_000))
        for number in range(BIRTHS_KEPT + 1):
            registry.put(entry(f"b{number}", born_ms=1))
            registry.remove(f"b{number}")
        registry.put(entry("a", born_ms=1_000, is_draining=True))
        self.assertEqual(listed(registry), {"a"})

    @trio_test
    async def test_server_that_had_lost_its_address_may_be_reborn(self):
        registry = registry_of("a")
        registry.of_service("s")[0].is_gone = True
        registry.put(entry("a", born_ms=2_000))
        self.assertEqual(listed(registry), {"a"})

    @trio_test
    async def test_id_that_moves_to_another_service_leaves_the_first(self):
        """Searches over one service get parts of another.

        An id is written again with another service; it must not stay listed
        under the one that it had.
        """
        registry = registry_of("a")
        registry.put(entry("a", service="t"))
        self.assertEqual(listed(registry), set())
        self.assertEqual(len(registry.of_service("t")), 1)

    @trio_test
    async def test_unreadable_entry_names_no_server_also_after_an_outage(self):
        """An odd entry is asked for seconds after an outage of the store.

        What is missing from the first list may only have lapsed, and stays; an
        entry that is there and cannot be read has not lapsed.
        """
        registry = registry_of("a", "b")
        registry.replace([], after_outage=True, unreadable=["b"])
        self.assertEqual(listed(registry), {"a"})


class RetiredPool:
    """Connections that note how they were ended."""

    def __init__(self):
        self.ends = []

    def close(self):
        self.ends.append("closed")

    def retire(self):
        self.ends.append("retired")


class ServerHealthTest(unittest.TestCase):
    """What a server's replies say of it."""

    def server(self, **changes):
        return Server(entry("a", **changes), now_ms=0.0, is_near=True)

    def test_slow_server_costs_more_and_is_tried_again_in_time(self):
        server = self.server()
        for number in range(20):
            server.record_reply(number * 10.0, took_ms=100.0, baseline_ms=10.0)
        slow = server_cost(server, 200.0, 10.0)
        later = server_cost(server, 20_000.0, 10.0)
        self.assertGreater(slow, 3.0)
        self.assertLess(later, 1.1)

    def test_server_whose_work_is_always_stopped_stays_slow(self):
        """Searches are late every few seconds while a server is slow.

        Another server answers for the slow one each time, and its work is
        stopped. No reply of it is ever measured again; it must not seem
        healthy because of that.
        """
        server = self.server()
        for number in range(40):
            server.record_cancelled(number * 500.0, waited_ms=40.0, baseline_ms=10.0)
        self.assertGreater(server_cost(server, 20_000.0, 10.0), 1.7)

    def test_disturbed_machine_is_avoided_while_that_is_fresh(self):
        """Guards against first choices of servers that say they are slow now."""
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

    def test_reset_connections_do_not_put_a_server_out_of_reach(self):
        """An instance refuses every search although all servers are there.

        Servers reset connections beyond those that they accept. That says
        nothing of whether they can be reached; a connection that cannot be
        opened does.
        """
        server = self.server()
        for number in range(5):
            server.record_lost(float(number))
        self.assertTrue(server.is_reachable(5.0))
        server.record_unreachable(6.0)
        self.assertFalse(server.is_reachable(6.0))
        server.record_connected(7.0)
        self.assertTrue(server.is_reachable(7.0))

    def test_other_zone_and_cold_start_cost_more(self):
        near = self.server()
        far = Server(entry("a"), now_ms=0.0, is_near=False)
        cold = self.server(warm_up_left_ms=3000.0)
        self.assertLess(server_cost(near, 1.0, 10.0), server_cost(far, 1.0, 10.0))
        self.assertLess(server_cost(near, 1.0, 10.0), server_cost(cold, 1.0, 10.0))
        self.assertEqual(
            server_cost(near, 4000.0, 10.0), server_cost(cold, 4000.0, 10.0)
        )


class BaselineLatencyTest(unittest.TestCase):
    """The baseline latency, and when one is late."""

    def test_many_slow_servers_do_not_put_off_hedged_requests(self):
        baseline = BaselineLatency(10.0)
        for number in range(256):
            baseline.record_ms(100.0 if number % 4 == 0 else 10.0)
        self.assertEqual(baseline.median_ms, 10.0)
        self.assertLessEqual(baseline.late_ms, 25.0)

    def test_told_queues_go_before_the_latency(self):
        """Guards against work cut off, and hedged late, beside idle servers."""
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

    def test_queues_show_against_the_calm_latency(self):
        baseline = BaselineLatency(10.0)
        for _ in range(256):
            baseline.record_ms(10.0)
        self.assertFalse(baseline.is_loaded)
        for _ in range(256):
            baseline.record_ms(20.0)
        self.assertTrue(baseline.is_loaded)
