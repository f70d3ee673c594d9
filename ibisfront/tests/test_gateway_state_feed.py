"""Tests of following another instance or the store, in mock time."""

from __future__ import annotations

import unittest

import trio

from ibisfront.core.clock import Clock
from ibisfront.gateway.configuration import CallerLimits, Configuration
from ibisfront.gateway.instances import InstanceEntry
from ibisfront.gateway.relays import Relays
from ibisfront.gateway.state_feed import StateFeed
from ibisfront.gateway.state_relay import KnownState, StateSource
from ibisfront.tests import trio_test

KINDS = frozenset(("configuration", "servers"))


class Instance:
    """One instance of a zone, with a store that may turn it away."""

    def __init__(self, zone, number):
        self.zone = zone
        self.entry = InstanceEntry(f"i{number}", "z0", f"i{number}", 100.0 - number)
        self.relays = Relays(self.entry)
        self.version = 0
        self.calls = 0
        self.is_turned_away = False
        self.is_down = False
        self.feed = StateFeed(
            relays=self.relays,
            connect=self.zone.client,
            watch=self.watch,
            take=self.take,
            on_lost=lambda name: None,
            knows_state=lambda: self.version > 0,
            seeds=("i1",),
            clock=zone.clock,
        )
        self.source = StateSource(
            state=self.state,
            is_fresh=lambda: self.feed.is_fresh,
            may_become_fresh=lambda: self.feed.may_become_fresh,
            clock=zone.clock,
        )

    def state(self):
        configuration = Configuration(self.version, (), {}, CallerLimits())
        return KnownState(configuration if self.version else None, [], [])

    def take(self, state):
        if state.configuration is not None:
            self.version = max(self.version, state.configuration.version)

    def watch(self, nursery):
        self.feed.away |= KINDS
        nursery.start_soon(self._watch)

    async def _watch(self):
        while True:
            self.calls += len(KINDS)
            await trio.sleep(0.01)
            if self.is_turned_away:
                self.feed.away |= KINDS
                await trio.sleep(0.5)
                continue
            self.feed.away.clear()
            self.version = self.zone.version
            self.source.note_change()
            await trio.sleep(1.0)


class Client:
    """Asks an instance without a network."""

    def __init__(self, instance):
        self.instance = instance

    async def ask(self, known_revision, *, timeout_ms):
        if self.instance.is_down:
            raise ConnectionRefusedError
        return await self.instance.source.answer(known_revision)

    def close(self):
        pass


class Zone:
    """Twenty instances of one zone."""

    def __init__(self):
        self.clock = Clock()
        self.version = 1
        self.instances = [Instance(self, number) for number in range(20)]

    def client(self, address):
        return Client(next(i for i in self.instances if i.entry.address == address))

    def start(self, nursery, *, is_listed=True):
        for instance in self.instances:
            if is_listed:
                instance.relays.update([item.entry for item in self.instances])
            instance.feed.note_listed()
            nursery.start_soon(instance.feed.run)

    def take_calls(self):
        """Return how often the store was called since the last time."""
        calls = sum(instance.calls for instance in self.instances)
        for instance in self.instances:
            instance.calls = 0
        return calls


def in_zone(test):
    """Run a test with a zone and a nursery that ends with it."""

    async def run(self):
        async with trio.open_nursery() as nursery:
            await test(self, Zone(), nursery)
            nursery.cancel_scope.cancel()

    return trio_test(run)


class StateFeedTest(unittest.TestCase):
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
    async def test_change_reaches_all_while_first_is_turned_away(self, zone, nursery):
        """A zone serves an old configuration since one instance is cut off.

        The store turns the instance away that watches it for the others. They
        must have a new version from the next one well before it is due.
        """
        zone.start(nursery)
        await trio.sleep(8.0)
        zone.instances[0].is_turned_away = True
        await trio.sleep(1.5)
        zone.version = 2
        await trio.sleep(3.0)
        versions = [item.version for item in zone.instances[1:]]
        self.assertEqual(set(versions), {2})

    @in_zone
    async def test_change_reaches_all_while_all_sources_are_down(self, zone, nursery):
        zone.start(nursery)
        await trio.sleep(8.0)
        for instance in zone.instances[:3]:
            instance.is_down = instance.is_turned_away = True
        zone.version = 2
        await trio.sleep(3.0)
        versions = [item.version for item in zone.instances[3:]]
        self.assertEqual(set(versions), {2})

    @in_zone
    async def test_outage_of_the_store_is_not_met_by_all_at_once(self, zone, nursery):
        """An outage costs more calls than a day without one.

        While the store is away nobody is worth following. Each instance of
        many would then call the store again and again.
        """
        zone.start(nursery)
        await trio.sleep(8.0)
        for instance in zone.instances:
            instance.is_turned_away = True
        zone.take_calls()
        await trio.sleep(10.0)
        self.assertLess(zone.take_calls() / len(zone.instances) / 10.0, 3.0)

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
            instance.source.note_change()
        late = zone.instances[-1]
        late.version = 0
        zone.start(nursery, is_listed=False)
        await trio.sleep(3.0)
        self.assertEqual(late.version, 1)
