"""Tests of following another instance or the store, in mock time."""

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
    """Instances that each watch the store, when it turns some of them away."""

    async def _converged_after_s(self, zone, instances):
        started_s = trio.current_time()
        for _ in range(1000):
            if all(item.version == zone.version for item in instances):
                break
            await trio.sleep(0.02)
        return trio.current_time() - started_s

    @in_small_zone
    async def test_instances_turned_away_hold_the_newest_version(self, zone, nursery):
        """A third of the callers get old answers, or none, for nine seconds.

        The store turns three of eight instances away. They keep the version and
        the servers that they had, and send requests to servers that are gone.
        """
        zone.start(nursery)
        await trio.sleep(5.0)
        for instance in zone.instances[:3]:
            instance.is_turned_away = True
        # Until the silence shows: a watch waits up to three seconds.
        await trio.sleep(6.0)
        converged_s = []
        for version in range(2, 12):
            zone.put(version)
            converged_s.append(await self._converged_after_s(zone, zone.instances))
            await trio.sleep(1.7)
        self.assertLess(max(converged_s), 1.0)

    @in_small_zone
    async def test_two_blind_instances_do_not_follow_each_other(self, zone, nursery):
        zone.start(nursery)
        await trio.sleep(5.0)
        for instance in zone.instances:
            instance.is_turned_away = True
        zone.put(2)
        await trio.sleep(12.0)
        self.assertEqual({item.version for item in zone.instances}, {1})
        self.assertEqual({item.state_sync.is_fresh for item in zone.instances}, {False})
        for instance in zone.instances[4:]:
            instance.is_turned_away = False
        await trio.sleep(4.0)
        self.assertEqual({item.version for item in zone.instances}, {2})

    @in_small_zone
    async def test_cut_of_another_zone_is_not_taken_for_this_ones(self, zone, nursery):
        """An instance of a sound zone refuses its callers for a second and a half.

        The store turned it away, and one of the neighbours that it asks is in a
        zone that is cut off from the servers, and says so.
        """
        for instance in zone.instances[1:]:
            instance.move_to("z1")
        zone.start(nursery)
        await trio.sleep(5.0)
        for instance in zone.instances:
            instance.is_turned_away = True
        await trio.sleep(8.0)
        self.assertFalse(zone.instances[0].is_reported_cut_off)

    @in_small_zone
    async def test_watch_is_taken_up_again_when_the_store_serves(self, zone, nursery):
        zone.start(nursery)
        await trio.sleep(5.0)
        zone.instances[0].is_turned_away = True
        await trio.sleep(8.0)
        self.assertFalse(zone.instances[0].state_sync.is_fresh)
        zone.instances[0].is_turned_away = False
        await trio.sleep(8.0)
        self.assertTrue(zone.instances[0].state_sync.is_fresh)

    @in_small_zone
    async def test_restart_in_an_outage_does_not_wait_for_lost_seeds(
        self, zone, nursery
    ):
        """All callers are refused for two seconds after the store is back.

        All machines lost power while the store was away. Each asked the seeds
        of its settings one after the other, which are down or cut off, before
        it looked at the store again.
        """
        zone.instances[1].is_down = True
        for instance in zone.instances:
            instance.state_sync._seeds = ("i1", "i1", "i1")
            instance.is_turned_away = zone.store_refuses = True
        zone.start(nursery, is_listed=False, but=zone.instances[1])
        await trio.sleep(0.1)
        for instance in zone.instances:
            instance.is_turned_away = zone.store_refuses = False
        others = [item for item in zone.instances if not item.is_down]
        self.assertLess(await self._converged_after_s(zone, others), 1.0)


class SeedTest(unittest.TestCase):
    """Seeds that are asked beside the store."""

    @trio_test
    async def test_old_state_of_a_seed_does_not_replace_what_the_store_listed(self):
        """A new server gets no requests for hours, a removed one gets them.

        At a start the store has listed the servers and not yet the
        configuration, when a seed answers with what it knew before an outage.
        Its list would take the place of the newer one, and no change follows.
        """
        clock, applied = Clock(), []

        class Seed:
            async def request(self, request, *, timeout_ms):
                await trio.sleep(0.01)
                known = Configuration(1, (), {}, CallerLimits())
                state = RelayedState(1, False, known, is_whole=True)
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
            on_partitioned=lambda name, is_cut_off: None,
            on_unreachable=lambda name: None,
            known_version=lambda: 0,
            seeds=("i1",),
            clock=clock,
        )
        state_sync.record_listed()
        with trio.move_on_after(0.2):
            await state_sync.run()
        self.assertEqual(applied, [])


class StateSyncTest(unittest.TestCase):
    """Who watches the store, and what the others do."""

    @in_zone
    async def test_one_instance_of_a_zone_watches(self, zone, nursery):
        zone.start(nursery)
        await trio.sleep(8.0)
        zone.take_calls()
        await trio.sleep(10.0)
        self.assertLess(zone.take_calls(), 25)
        self.assertEqual({item.version for item in zone.instances}, {1})

    @in_zone
    async def test_change_reaches_all_while_sources_are_turned_away(
        self, zone, nursery
    ):
        """A zone serves an old configuration since one instance is cut off.

        The store says nothing to the instance that watches it for the others,
        nor to those that would stand in for it. The others must have a new
        version within five seconds all the same.
        """
        zone.start(nursery)
        await trio.sleep(8.0)
        longest_s = 0.0
        for turn in range(66):
            turned_away = 1 + turn % 3
            for instance in zone.instances[:turned_away]:
                instance.is_turned_away = True
            zone.put(turn + 2)
            longest_s = max(longest_s, await self.converged_after_s(zone, turned_away))
            await trio.sleep(5.0)
            for instance in zone.instances:
                instance.is_turned_away = False
            await trio.sleep(10.0 + 0.173 * (turn % 11))  # another phase of the watch
        self.assertLess(longest_s, 4.0)

    @functools.partial(in_zone, instances=45)
    async def test_blind_zone_hears_from_another(self, zone, nursery):
        """A zone refuses every query for seconds, and its callers come again in vain.

        The store turns away all that watch it for a zone. They asked only each other
        and kept the old version. Those that gather the zone's queries were among
        them, while those that follow had the new one from the store.
        """
        for number, instance in enumerate(zone.instances):
            instance.move_to(f"z{number % 3}")
        zone.start(nursery)
        await trio.sleep(8.0)
        unserved = [item for item in zone.instances if item.entry.zone == "z0"][:3]
        for turn in range(12):
            for instance in unserved:
                instance.is_turned_away = instance.reaches_servers = True
            for _ in range(2):
                zone.put(zone.version + 1)
                self.assertLess(await self.converged_after_s(zone, 0), 5.0)
            for instance in unserved:
                instance.is_turned_away = False
            await trio.sleep(10.0 + 0.173 * turn)

    async def converged_after_s(self, zone, turned_away):
        """Return after how long all that the store serves have its version."""
        started_s = trio.current_time()
        served = zone.instances[turned_away:]
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
            instance.is_down = instance.is_turned_away = True
        zone.put(2)
        await trio.sleep(4.0)
        versions = [item.version for item in zone.instances[3:]]
        self.assertEqual(set(versions), {2})

    @in_zone
    async def test_restarted_zone_does_not_wait_for_a_source_that_is_down(
        self, zone, nursery
    ):
        """Guards against callers refused until a lost source's silence shows."""
        lost = zone.instances[0]
        lost.is_down = True
        zone.start(nursery, but=lost)
        self.assertLess(await self.converged_after_s(zone, 1), 0.5)
        await trio.sleep(10.0)
        watching = [item for item in zone.instances if item.state_sync.is_fresh]
        self.assertEqual(watching, [zone.instances[1]])

    @in_zone
    async def test_cut_is_told_to_those_that_ask_no_servers(self, zone, nursery):
        """Callers go on to be sent to instances of a zone that is cut off.

        Only those that ask servers see the cut. The store is behind it too, so
        that nobody is followed meanwhile; the others must still hear of it
        again and again.
        """
        zone.start(nursery)
        await trio.sleep(8.0)
        for instance in zone.instances:
            instance.is_turned_away = True
        await trio.sleep(4.0)
        for _ in range(20):
            await trio.sleep(0.3)
            converged_s = [item.cut_off_at_s for item in zone.instances[3:]]
            self.assertLess(trio.current_time() - min(converged_s), 1.5)

    @in_zone
    async def test_cut_is_told_at_once_and_so_is_its_end(self, zone, nursery):
        """Callers are refused in a cut zone for a second longer than need be.

        The balancer sends callers to a zone as long as any of its instances is
        ready. Those that gather know of the cut at once; the others hear of it
        when the answer to their next question is due.
        """
        zone.start(nursery)
        await trio.sleep(8.0)
        followers = zone.instances[3:]
        for is_cut_off in (True, False):
            for instance in zone.instances[:3]:
                instance.is_turned_away = is_cut_off
                instance.source.notify_subscribers()
            await trio.sleep(0.1)
            told = {item.is_reported_cut_off for item in followers}
            self.assertEqual(told, {is_cut_off})

    @in_zone
    async def test_outage_of_the_store_is_not_met_by_all_at_once(self, zone, nursery):
        """An outage costs more calls than a day without one.

        While the store is away nobody is worth following. Each instance of
        many would then call the store again and again, and refused calls have
        a price too. The few that others follow may look for it more often.
        """
        zone.start(nursery)
        await trio.sleep(8.0)
        for instance in zone.instances:
            instance.is_turned_away = True
        zone.take_calls()
        await trio.sleep(10.0)
        self.assertLess(zone.take_calls() / len(zone.instances) / 10.0, 3.0)
        zone.store_refuses = True
        for instance in zone.instances:
            instance.is_turned_away = False
        await trio.sleep(5.0)
        zone.take_calls()
        await trio.sleep(20.0)
        self.assertLess(zone.take_calls() / len(zone.instances) / 20.0, 2.5)
        zone.store_refuses = False
        zone.put(7)
        await trio.sleep(2.5)
        self.assertEqual({item.version for item in zone.instances}, {7})

    @functools.partial(in_zone, instances=45)
    async def test_followers_leave_a_store_that_serves_nobody_alone(
        self, zone, nursery
    ):
        """The store is called by all instances at once the moment it is back.

        It was down for five seconds. Each of 45 instances tried it again and again,
        and then listed all servers, although three instances a zone do so for the
        others.
        """
        for number, instance in enumerate(zone.instances):
            instance.move_to(f"z{number % 3}")
        zone.start(nursery)
        await trio.sleep(8.0)
        zone.take_calls()
        zone.store_refuses = True
        zone.put(2)
        await trio.sleep(5.0)
        zone.store_refuses = False
        followers = zone.instances[9:]
        self.assertLess(await self.converged_after_s(zone, 0), 2.0)
        calls = sum(item.calls for item in followers)
        self.assertEqual(calls, 0)

    @in_zone
    async def test_watcher_that_stands_in_for_a_lost_one_is_kept(self, zone, nursery):
        """The links of a zone are full for hours after one machine was removed.

        The first instance of a zone never comes back, and the next one watches
        the store. When it stops watching to look for the first, all others
        lose it, look for another source, and fetch the whole state again.
        """
        zone.instances[0].is_down = True
        zone.start(nursery, but=zone.instances[0])
        await trio.sleep(20.0)
        zone.take_calls()
        zone.bytes_passed_on = 0
        await trio.sleep(30.0)
        self.assertLess(zone.bytes_passed_on, 100_000)
        self.assertEqual(sum(item.calls > 0 for item in zone.instances), 1)

    @in_zone
    async def test_list_after_an_outage_counts_as_one(self, zone, nursery):
        """All searches fail for seconds just as the store is back.

        Entries of servers lapse while the store is away. Whoever lists them
        first must know that it was, or it drops servers that live.
        """
        zone.start(nursery)
        await trio.sleep(8.0)
        for instance in zone.instances:
            instance.is_turned_away = True
            instance.lists_after_outage.clear()
        await trio.sleep(12.3)
        for instance in zone.instances:
            instance.is_turned_away = False
        await trio.sleep(10.0)
        lists = [each for item in zone.instances for each in item.lists_after_outage]
        self.assertTrue(lists)
        self.assertTrue(all(lists))

    @in_zone
    async def test_state_is_not_passed_on_again_and_again_in_an_outage(
        self, zone, nursery
    ):
        """The links of a zone are full as long as the store is away.

        Everybody looks for an instance that hears the store. Each of them
        knows the same state; none must send it along at every look.
        """
        zone.start(nursery)
        await trio.sleep(8.0)
        for instance in zone.instances:
            instance.is_turned_away = True
        await trio.sleep(5.0)
        zone.bytes_passed_on = 0
        await trio.sleep(10.0)
        self.assertLess(zone.bytes_passed_on, 100_000)

    @in_zone
    async def test_following_goes_back_to_one_after_an_outage(self, zone, nursery):
        zone.start(nursery)
        await trio.sleep(8.0)
        for instance in zone.instances:
            instance.is_turned_away = True
        await trio.sleep(5.0)
        for instance in zone.instances:
            instance.is_turned_away = False
        await trio.sleep(20.0)
        zone.take_calls()
        await trio.sleep(10.0)
        self.assertLess(zone.take_calls(), 25)

    @in_zone
    async def test_start_without_the_store_asks_a_seed(self, zone, nursery):
        """A restarted instance refuses everything until the store is back.

        The store is away when it starts, so that not even the list of the
        other instances can be read. They still know the configuration.
        """
        for instance in zone.instances:
            instance.is_turned_away = True
            instance.version = 1
            instance.source.record_change()
        late = zone.instances[-1]
        late.version = 0
        zone.start(nursery, is_listed=False)
        await trio.sleep(3.0)
        self.assertEqual(late.version, 1)

    @in_zone
    async def test_seed_is_asked_and_not_followed(self, zone, nursery):
        """A restarted instance hears of the store through another zone for good.

        The store turns it away at its start, and serves the seed. What it is
        told lets it serve at once; it must go on to look for the store.
        """
        late = zone.instances[-1]
        zone.start(nursery, is_listed=False, but=late)
        await trio.sleep(3.0)
        late.is_turned_away = True
        late.state_sync.record_listed()
        nursery.start_soon(late.state_sync.run)
        await trio.sleep(0.1)
        self.assertEqual(late.version, 1)
        await trio.sleep(2.0)
        self.assertGreater(late.calls, 0)
