"""Tests of the choice between the store and a state source, in mock time."""

from __future__ import annotations

import functools
import unittest

import msgspec
import trio

from ibisfront.core.clock import Clock
from ibisfront.gateway.instances.directory import InstanceEntry
from ibisfront.gateway.state.configuration import CallerLimits, Configuration
from ibisfront.gateway.state.relay_topology import RelayTopology
from ibisfront.gateway.state.state_relay import RelayedState
from ibisfront.gateway.state.state_sync import StateSync
from ibisfront.tests import trio_test
from ibisfront.tests.zone_of_instances import KINDS, in_small_zone, in_zone


class FewInstancesTest(unittest.TestCase):
    """Instances that each watch the store, while it rejects some of them."""

    async def _converged_after_s(self, zone, instances):
        started_s = trio.current_time()
        for _ in range(1000):
            if all(item.version == zone.version for item in instances):
                break
            await trio.sleep(0.02)
        return trio.current_time() - started_s

    @in_small_zone
    async def test_rejected_instances_get_the_newest_version(self, zone, nursery):
        """Guards against instances with outdated state while the store rejects them.

        The store rejects three of eight instances. They kept their version and sent
        requests to removed servers; a third of the callers got outdated replies, or
        none, for nine seconds.
        """
        zone.start(nursery)
        await trio.sleep(5.0)
        for instance in zone.instances[:3]:
            instance.is_rejected = True
        # Until the timeout: a watch waits up to three seconds.
        await trio.sleep(6.0)
        converged_s = []
        for version in range(2, 12):
            zone.write_version(version)
            converged_s.append(await self._converged_after_s(zone, zone.instances))
            await trio.sleep(1.7)
        self.assertLess(max(converged_s), 1.0)

    @in_small_zone
    async def test_rejected_instances_do_not_subscribe_to_each_other(
        self, zone, nursery
    ):
        zone.start(nursery)
        await trio.sleep(5.0)
        for instance in zone.instances:
            instance.is_rejected = True
        zone.write_version(2)
        await trio.sleep(12.0)
        self.assertEqual({item.version for item in zone.instances}, {1})
        self.assertEqual({item.state_sync.is_fresh for item in zone.instances}, {False})
        for instance in zone.instances[4:]:
            instance.is_rejected = False
        await trio.sleep(4.0)
        self.assertEqual({item.version for item in zone.instances}, {2})

    @in_small_zone
    async def test_partition_of_another_zone_is_not_attributed_to_this_one(
        self, zone, nursery
    ):
        """Guards against an instance of a healthy zone that rejects its callers.

        The store rejects it, and it requests the state of a neighbour in a zone that
        reports a partition from the servers. Callers were rejected for 1.5 seconds.
        """
        for instance in zone.instances[1:]:
            instance.move_to("z1")
        zone.start(nursery)
        await trio.sleep(5.0)
        for instance in zone.instances:
            instance.is_rejected = True
        await trio.sleep(8.0)
        self.assertFalse(zone.instances[0].is_reported_partitioned)

    @in_small_zone
    async def test_watch_resumes_when_the_store_recovers(self, zone, nursery):
        zone.start(nursery)
        await trio.sleep(5.0)
        zone.instances[0].is_rejected = True
        await trio.sleep(8.0)
        self.assertFalse(zone.instances[0].state_sync.is_fresh)
        zone.instances[0].is_rejected = False
        await trio.sleep(8.0)
        self.assertTrue(zone.instances[0].state_sync.is_fresh)

    @in_small_zone
    async def test_restart_in_an_outage_does_not_wait_for_lost_seeds(
        self, zone, nursery
    ):
        """Guards against callers rejected for two seconds after the store recovers.

        All machines restart during an outage of the store. Each requested the state
        of its seeds, which are down or partitioned, one after the other before it
        called the store again.
        """
        zone.instances[1].is_down = True
        for instance in zone.instances:
            instance.state_sync._seeds = ("i1", "i1", "i1")
            instance.is_rejected = zone.store_refuses = True
        zone.start(nursery, is_listed=False, exclude=zone.instances[1])
        await trio.sleep(0.1)
        for instance in zone.instances:
            instance.is_rejected = zone.store_refuses = False
        others = [item for item in zone.instances if not item.is_down]
        self.assertLess(await self._converged_after_s(zone, others), 1.0)


class SeedTest(unittest.TestCase):
    """Seeds that are requested concurrently with the store."""

    @trio_test
    async def test_stale_state_of_a_seed_does_not_replace_listed_state(self):
        """Guards against a stale server list that stays in use for hours.

        At start the store has listed the servers but not yet the configuration when a
        seed responds with its state from before an outage. Its list would replace the
        newer one, and no change would correct it: a new server gets no requests, and
        a removed one does.
        """
        clock, applied = Clock(), []

        class Seed:
            async def request(self, request, *, timeout_ms):
                await trio.sleep(0.01)
                configuration = Configuration(1, (), {}, CallerLimits())
                state = RelayedState(1, False, configuration, is_whole=True)
                return msgspec.msgpack.encode(state)

            def close(self):
                pass

        def watch(nursery, options):
            state_sync.unavailable.update(KINDS)
            nursery.start_soon(list_servers)

        async def list_servers():
            await trio.sleep(0.005)
            state_sync.unavailable.discard("servers")

        state_sync = StateSync(
            topology=RelayTopology(InstanceEntry("i0", "z0", "i0")),
            connect=lambda address: Seed(),
            watch=watch,
            apply=applied.append,
            on_partition_report=lambda name, is_partitioned: None,
            on_unreachable=lambda name: None,
            known_version=lambda: 0,
            seeds=("i1",),
            clock=clock,
        )
        state_sync.record_first_poll()
        with trio.move_on_after(0.2):
            await state_sync.run()
        self.assertEqual(applied, [])


class StateSyncTest(unittest.TestCase):
    """Instances that watch the store, and their subscribers."""

    @in_zone
    async def test_one_instance_of_a_zone_watches(self, zone, nursery):
        zone.start(nursery)
        await trio.sleep(8.0)
        zone.pop_calls()
        await trio.sleep(10.0)
        self.assertLess(zone.pop_calls(), 25)
        self.assertEqual({item.version for item in zone.instances}, {1})

    @in_zone
    async def test_change_reaches_all_while_sources_are_rejected(self, zone, nursery):
        """Guards against an outdated configuration in a zone whose sources fail.

        The store does not answer the instance that watches it for the others, nor its
        standbys. The others must still get a new version within five seconds.
        """
        zone.start(nursery)
        await trio.sleep(8.0)
        longest_s = 0.0
        for trial in range(66):
            rejected_count = 1 + trial % 3
            for instance in zone.instances[:rejected_count]:
                instance.is_rejected = True
            zone.write_version(trial + 2)
            longest_s = max(
                longest_s, await self.converged_after_s(zone, rejected_count)
            )
            await trio.sleep(5.0)
            for instance in zone.instances:
                instance.is_rejected = False
            await trio.sleep(10.0 + 0.173 * (trial % 11))  # vary the phase of the watch
        self.assertLess(longest_s, 4.0)

    @functools.partial(in_zone, instances=45)
    async def test_rejected_zone_subscribes_to_another_zone(self, zone, nursery):
        """Guards against a zone that rejects all queries, even retried, for seconds.

        The store rejects all sources of a zone. They requested state only from each
        other and kept the old version. The zone's coordinators were among them, while
        the subscribers got the new version from the store.
        """
        for number, instance in enumerate(zone.instances):
            instance.move_to(f"z{number % 3}")
        zone.start(nursery)
        await trio.sleep(8.0)
        rejected = [item for item in zone.instances if item.entry.zone == "z0"][:3]
        for trial in range(12):
            for instance in rejected:
                instance.is_rejected = instance.reaches_servers = True
            for _ in range(2):
                zone.write_version(zone.version + 1)
                self.assertLess(await self.converged_after_s(zone, 0), 5.0)
            for instance in rejected:
                instance.is_rejected = False
            await trio.sleep(10.0 + 0.173 * trial)

    @functools.partial(in_zone, instances=45)
    async def test_no_subscriber_misses_the_only_fresh_source_repeatedly(
        self, zone, nursery
    ):
        """Guards against outdated answers for seconds at instances out of luck.

        The store serves one of nine sources. The subscribers of the other zones drew
        four of six neighbours in each search, and some missed it time and again.
        """
        for number, instance in enumerate(zone.instances):
            instance.move_to(f"z{number % 3}")
        zone.start(nursery)
        await trio.sleep(8.0)
        rejected = [item for item in zone.instances[:9] if item.entry.name != "i1"]
        for trial in range(4):
            for instance in rejected:
                instance.is_rejected = instance.reaches_servers = True
            zone.write_version(zone.version + 1)
            self.assertLess(await self.converged_after_s(zone, 0), 5.0)
            for instance in rejected:
                instance.is_rejected = False
            await trio.sleep(10.0 + 0.173 * trial)

    async def converged_after_s(self, zone, rejected_count):
        """Return the time until all instances served by the store have its version."""
        started_s = trio.current_time()
        served = zone.instances[rejected_count:]
        for _ in range(1000):
            if all(instance.version == zone.version for instance in served):
                break
            await trio.sleep(0.02)
        return trio.current_time() - started_s

    @in_zone
    async def test_change_reaches_all_while_all_sources_are_down(self, zone, nursery):
        zone.start(nursery)
        await trio.sleep(8.0)
        for instance in zone.instances[:3]:
            instance.is_down = instance.is_rejected = True
        zone.write_version(2)
        await trio.sleep(4.0)
        versions = [item.version for item in zone.instances[3:]]
        self.assertEqual(set(versions), {2})

    @in_zone
    async def test_restarted_zone_does_not_wait_for_a_source_that_is_down(
        self, zone, nursery
    ):
        """Guards against callers rejected until requests to a lost source time out."""
        lost_source = zone.instances[0]
        lost_source.is_down = True
        zone.start(nursery, exclude=lost_source)
        self.assertLess(await self.converged_after_s(zone, 1), 0.5)
        await trio.sleep(10.0)
        watching = [item for item in zone.instances if item.state_sync.is_fresh]
        self.assertEqual(watching, [zone.instances[1]])

    @in_zone
    async def test_partition_is_reported_to_all_subscribers(self, zone, nursery):
        """Guards against callers sent to instances of a partitioned zone.

        Only instances that send requests to servers detect the partition. The store
        is unreachable too, so that there are no subscriptions; the other instances
        must still get the report repeatedly.
        """
        zone.start(nursery)
        await trio.sleep(8.0)
        for instance in zone.instances:
            instance.is_rejected = True
        await trio.sleep(4.0)
        for _ in range(20):
            await trio.sleep(0.3)
            reported_at_s = [item.partitioned_at_s for item in zone.instances[3:]]
            self.assertLess(trio.current_time() - min(reported_at_s), 1.5)

    @in_zone
    async def test_partition_and_its_end_are_reported_at_once(self, zone, nursery):
        """Guards against callers rejected in a partitioned zone for a second longer.

        The load balancer sends callers to a zone as long as any of its instances is
        ready. Coordinators detect the partition at once; the others got the report
        only when their pending request ended.
        """
        zone.start(nursery)
        await trio.sleep(8.0)
        subscribers = zone.instances[3:]
        for is_partitioned in (True, False):
            for instance in zone.instances[:3]:
                instance.is_rejected = is_partitioned
                instance.source.notify_subscribers()
            await trio.sleep(0.1)
            reports = {item.is_reported_partitioned for item in subscribers}
            self.assertEqual(reports, {is_partitioned})

    @in_zone
    async def test_outage_does_not_multiply_store_calls(self, zone, nursery):
        """Guards against an outage that costs more calls than a day without one.

        While the store is unavailable there is no fresh source, and each of many
        instances would retry the store repeatedly. Rejected calls have a cost too.
        Only the few sources may retry more often.
        """
        zone.start(nursery)
        await trio.sleep(8.0)
        for instance in zone.instances:
            instance.is_rejected = True
        zone.pop_calls()
        await trio.sleep(10.0)
        self.assertLess(zone.pop_calls() / len(zone.instances) / 10.0, 3.0)
        zone.store_refuses = True
        for instance in zone.instances:
            instance.is_rejected = False
        await trio.sleep(5.0)
        zone.pop_calls()
        await trio.sleep(20.0)
        self.assertLess(zone.pop_calls() / len(zone.instances) / 20.0, 2.5)
        zone.store_refuses = False
        zone.write_version(7)
        await trio.sleep(2.5)
        self.assertEqual({item.version for item in zone.instances}, {7})

    @functools.partial(in_zone, instances=45)
    async def test_subscribers_do_not_call_the_store_in_an_outage(self, zone, nursery):
        """Guards against calls by all instances at once when the store recovers.

        The store is down for five seconds. Each of 45 instances retried it repeatedly
        and then listed all servers, although three sources per zone do so for the
        others.
        """
        for number, instance in enumerate(zone.instances):
            instance.move_to(f"z{number % 3}")
        zone.start(nursery)
        await trio.sleep(8.0)
        zone.pop_calls()
        zone.store_refuses = True
        zone.write_version(2)
        await trio.sleep(5.0)
        zone.store_refuses = False
        subscribers = zone.instances[9:]
        self.assertLess(await self.converged_after_s(zone, 0), 2.0)
        calls = sum(item.calls for item in subscribers)
        self.assertEqual(calls, 0)

    @in_zone
    async def test_sources_return_to_the_store_after_an_outage(self, zone, nursery):
        """Guards against a zone whose sources all subscribe to a neighbour.

        The store is available again, and one source of another zone hears of it first.
        If the sources of this zone subscribe to that one, none of them is a source for
        the next seconds, and each subscriber depends on the neighbours that it draws.
        """
        for number, instance in enumerate(zone.instances):
            instance.move_to(f"z{number % 3}")
        zone.start(nursery)
        await trio.sleep(8.0)
        for _ in range(10):
            zone.store_refuses = True
            await trio.sleep(5.0)
            zone.store_refuses = False
            await trio.sleep(1.0)
            for zone_name in ("z0", "z1", "z2"):
                sources = [
                    item for item in zone.instances if item.entry.zone == zone_name
                ][:3]
                is_fresh = [item.state_sync.is_fresh for item in sources]
                self.assertIn(True, is_fresh, zone_name)
            await trio.sleep(8.0)

    @in_zone
    async def test_standby_of_a_lost_source_remains_the_source(self, zone, nursery):
        """Guards against saturated links for hours after one machine was removed.

        The first instance of a zone never recovers, and its standby watches the
        store. If the standby stops its watch to search for the first, all others lose
        it, search for another source and fetch the complete state again.
        """
        zone.instances[0].is_down = True
        zone.start(nursery, exclude=zone.instances[0])
        await trio.sleep(20.0)
        zone.pop_calls()
        zone.bytes_sent = 0
        await trio.sleep(30.0)
        self.assertLess(zone.bytes_sent, 100_000)
        self.assertEqual(sum(item.calls > 0 for item in zone.instances), 1)

    @in_zone
    async def test_listing_after_an_outage_is_marked(self, zone, nursery):
        """Guards against queries that all fail for seconds when the store recovers.

        Server entries expire while the store is unavailable. The first listing must
        be marked as one after an outage, or live servers are dropped.
        """
        zone.start(nursery)
        await trio.sleep(8.0)
        for instance in zone.instances:
            instance.is_rejected = True
            instance.lists_after_outage.clear()
        await trio.sleep(12.3)
        for instance in zone.instances:
            instance.is_rejected = False
        await trio.sleep(10.0)
        lists = [
            after_outage
            for item in zone.instances
            for after_outage in item.lists_after_outage
        ]
        self.assertTrue(lists)
        self.assertTrue(all(lists))

    @in_zone
    async def test_state_is_not_relayed_repeatedly_in_an_outage(self, zone, nursery):
        """Guards against saturated links while the store is unavailable.

        All instances search for a fresh source, and all have the same state; none may
        send it in each response.
        """
        zone.start(nursery)
        await trio.sleep(8.0)
        for instance in zone.instances:
            instance.is_rejected = True
        await trio.sleep(5.0)
        zone.bytes_sent = 0
        await trio.sleep(10.0)
        self.assertLess(zone.bytes_sent, 100_000)

    @in_zone
    async def test_one_instance_watches_again_after_an_outage(self, zone, nursery):
        zone.start(nursery)
        await trio.sleep(8.0)
        for instance in zone.instances:
            instance.is_rejected = True
        await trio.sleep(5.0)
        for instance in zone.instances:
            instance.is_rejected = False
        await trio.sleep(20.0)
        zone.pop_calls()
        await trio.sleep(10.0)
        self.assertLess(zone.pop_calls(), 25)

    @in_zone
    async def test_start_without_the_store_requests_a_seed(self, zone, nursery):
        """Guards against a restarted instance that rejects all requests in an outage.

        The store is unavailable at its start, so that not even the list of instances
        can be read. The other instances still have the configuration.
        """
        for instance in zone.instances:
            instance.is_rejected = True
            instance.version = 1
            instance.source.record_change()
        restarted = zone.instances[-1]
        restarted.version = 0
        zone.start(nursery, is_listed=False)
        await trio.sleep(3.0)
        self.assertEqual(restarted.version, 1)

    @in_zone
    async def test_seed_is_requested_but_not_subscribed_to(self, zone, nursery):
        """Guards against a permanent subscription to a seed in another zone.

        The store rejects a restarted instance and serves the seed. With the seed's
        state it can serve at once, but it must continue to call the store.
        """
        restarted = zone.instances[-1]
        zone.start(nursery, is_listed=False, exclude=restarted)
        await trio.sleep(3.0)
        restarted.is_rejected = True
        restarted.state_sync.record_first_poll()
        nursery.start_soon(restarted.state_sync.run)
        await trio.sleep(0.1)
        self.assertEqual(restarted.version, 1)
        await trio.sleep(2.0)
        self.assertGreater(restarted.calls, 0)
