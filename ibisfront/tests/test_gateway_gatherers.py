"""Tests of which instances gather, and of passing the state on."""

from __future__ import annotations

import unittest

import msgspec
import trio

from ibisfront.core.clock import Clock
from ibisfront.gateway.configuration import (
    CallerLimits,
    Configuration,
    RoutedService,
    RouteTable,
)
from ibisfront.gateway.gatherers import Gatherers
from ibisfront.gateway.instances import InstanceEntry
from ibisfront.gateway.server import ServerEntry
from ibisfront.gateway.state_relay import (
    KnownState,
    RelayedState,
    StateSource,
    follow_state,
)
from ibisfront.testing.gateway_fixture import gather_route
from ibisfront.tests import trio_test


def table(accepted):
    """Return a table whose gathered services accept so many connections."""
    route = gather_route(4)
    services = {
        name: RoutedService(name, accepted) for name in route.gathering.services
    }
    return RouteTable(Configuration(1, (route,), services, CallerLimits()))


def instances(count, zones=4):
    """Return entries in several zones, the later ones stronger."""
    return [
        InstanceEntry(f"i{number}", f"z{number % zones}", "10.0.0.1:1", number)
        for number in range(count)
    ]


class GatherersTest(unittest.TestCase):
    """Who gathers, by the connections that servers accept."""

    def test_all_gather_while_servers_accept_enough(self):
        listed = instances(9, zones=3)
        gatherers = Gatherers(listed[0])
        gatherers.update(listed, table(25))
        self.assertFalse(gatherers.is_concentrated)
        self.assertTrue(gatherers.is_gatherer)

    def test_the_strongest_of_each_zone_gather_beyond_that(self):
        listed = instances(68)
        gatherers = Gatherers(listed[0])
        gatherers.update(listed, table(56))
        self.assertFalse(gatherers.is_gatherer)
        self.assertEqual(gatherers.of_zone("z0"), ("i64", "i60"))
        self.assertLessEqual(gatherers.count * 4, 56 * 0.9)

    def test_a_few_gather_for_many_although_there_are_connections(self):
        """Searches fail in a middling deployment that was given more room.

        Servers accept two connections of each of thirty instances. Each meets
        a server once in seconds; its connections are closed for idleness, and
        nearly every sub-request opens one.
        """
        listed = instances(31)
        gatherers = Gatherers(listed[0])
        gatherers.update(listed, table(80))
        self.assertTrue(gatherers.is_concentrated)
        self.assertEqual(len(gatherers.of_zone("z0")), 2)

    def test_more_gather_where_there_are_more_instances(self):
        listed = instances(400)
        gatherers = Gatherers(listed[0])
        gatherers.update(listed, table(300))
        self.assertEqual(len(gatherers.of_zone("z0")), 5)

    def test_every_instance_works_out_the_same(self):
        listed = instances(68)
        found = set()
        for own in listed:
            gatherers = Gatherers(own)
            gatherers.update(list(reversed(listed)), table(56))
            found.add(tuple(gatherers.of_zone(f"z{zone}") for zone in range(4)))
        self.assertEqual(len(found), 1)


class DirectClient:
    """Asks a source without a network."""

    def __init__(self, source):
        self.source = source
        self.is_silent = False

    async def ask(self, known_revision, *, timeout_ms):
        with trio.move_on_after(timeout_ms / 1000.0):
            if self.is_silent:
                await trio.sleep_forever()
            return await self.source.answer(known_revision)
        raise TimeoutError

    def close(self):
        pass


class StateRelayTest(unittest.TestCase):
    """An instance follows another one instead of the store."""

    def setUp(self):
        self.servers = [ServerEntry("a", "s", "10.0.0.1:80", "z1", 2)]
        self.is_fresh = True
        self.configuration = table(25).configuration
        self.taken = []

    def source(self):
        source = StateSource(
            state=lambda: KnownState(self.configuration, list(self.servers), []),
            is_fresh=lambda: self.is_fresh,
            may_become_fresh=lambda: False,
            is_cut_off=lambda: False,
            clock=Clock(),
        )
        source.note_change()
        return source

    def test_state_survives_the_codec(self):
        state = RelayedState(3, True, self.configuration, True, self.servers, ["x"])
        data = msgspec.msgpack.encode(state)
        self.assertEqual(msgspec.msgpack.decode(data, type=RelayedState), state)

    @trio_test
    async def test_changes_arrive_and_quiet_costs_one_question_a_second(self):
        source = self.source()
        client = DirectClient(source)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                lambda: follow_state(
                    client,
                    name="i1",
                    take=self.taken.append,
                    on_answer=lambda state: None,
                )
            )
            await trio.sleep(5.0)
            self.assertEqual(len(self.taken), 1)
            self.servers.append(ServerEntry("b", "s", "10.0.0.2:80", "z1", 2))
            source.note_change()
            await trio.sleep(0.1)
            nursery.cancel_scope.cancel()
        whole, change = self.taken
        self.assertEqual((whole.is_whole, len(whole.servers)), (True, 1))
        self.assertIsNotNone(whole.configuration)
        self.assertEqual((change.is_whole, len(change.servers)), (False, 1))
        self.assertIsNone(change.configuration)

    @trio_test
    async def test_removed_server_is_told_of(self):
        source = self.source()
        client = DirectClient(source)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                lambda: follow_state(
                    client,
                    name="i1",
                    take=self.taken.append,
                    on_answer=lambda state: None,
                )
            )
            await trio.sleep(0.1)
            self.servers.clear()
            source.note_change()
            await trio.sleep(0.1)
            nursery.cancel_scope.cancel()
        self.assertEqual(self.taken[-1].removed, ["a"])

    @trio_test
    async def test_following_ends_when_the_source_does_not_hear_the_store(self):
        """A zone keeps an old configuration because one instance is cut off.

        The instance that watches the store for the others is turned away by
        it. It must say so, and the others go to the store themselves.
        """
        source = self.source()
        self.is_fresh = False
        with trio.fail_after(2.0):
            await follow_state(
                DirectClient(source),
                name="i1",
                take=self.taken.append,
                on_answer=lambda state: None,
            )

    @trio_test
    async def test_following_ends_when_the_source_falls_silent(self):
        client = DirectClient(self.source())
        client.is_silent = True
        with trio.fail_after(2.0):
            await follow_state(
                client, name="i1", take=self.taken.append, on_answer=lambda state: None
            )
