"""Tests of the relay of the store's state, in mock time."""

from __future__ import annotations

import unittest
from contextlib import asynccontextmanager

import msgspec
import trio

from ibisfront.core.clock import Clock
from ibisfront.gateway.instances.directory import InstanceEntry
from ibisfront.gateway.messages import InboundRequest
from ibisfront.gateway.servers.server_entry import ServerEntry
from ibisfront.gateway.state.configuration import CallerLimits, Configuration
from ibisfront.gateway.state.relay_topology import RelayTopology
from ibisfront.gateway.state.state_codec import decode_state
from ibisfront.gateway.state.state_relay import (
    LocalState,
    RelayedState,
    StateRequest,
    StateSource,
)
from ibisfront.gateway.state.state_sync import StateSync
from ibisfront.http1.state_client import parse_state_request
from ibisfront.tests import trio_test


class DirectClient:
    """A fake client that calls a source without a network."""

    def __init__(self, test):
        self.test = test

    async def request(self, request, *, timeout_ms):
        self.test.requests.append(request)
        with trio.move_on_after(timeout_ms / 1000.0):
            if self.test.is_unresponsive:
                await trio.sleep_forever()
            return await self.test.source.answer(request)
        raise TimeoutError

    def close(self):
        pass


class StateRelayTest(unittest.TestCase):
    """An instance subscribes to another one instead of watching the store."""

    def setUp(self):
        self.servers = [ServerEntry("a", "s", "10.0.0.1:80", "z1", 2)]
        self.is_fresh = True
        self.is_unresponsive = False
        self.stale = frozenset()
        self.configuration = Configuration(1, (), {}, CallerLimits())
        self.requests = []
        self.applied = []
        self.watches = 0
        self.was_unavailable = None

    @asynccontextmanager
    async def subscribed(self):
        """Run an instance that may subscribe to the source, for the block."""
        clock = Clock()
        self.source = StateSource(
            state=self.state,
            is_fresh=lambda: self.is_fresh,
            may_become_fresh=lambda: False,
            is_cut_off=lambda: False,
            clock=clock,
        )
        self.source.record_change()
        listed = [InstanceEntry(f"i{n}", "z0", f"i{n}", 99.0 - n) for n in range(20)]
        topology = RelayTopology(listed[1])
        topology.update(listed)
        state_sync = StateSync(
            topology=topology,
            connect=lambda address: DirectClient(self),
            watch=self.watch,
            apply=self.applied.append,
            on_partition_report=lambda name, is_partitioned: None,
            on_unreachable=lambda name: None,
            known_version=lambda: int(bool(self.applied)),
            seeds=(),
            clock=clock,
        )
        state_sync.record_first_poll()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(state_sync.run)
            await trio.sleep(0.1)
            yield
            nursery.cancel_scope.cancel()

    def state(self):
        listed = [item for item in self.servers if item.server_id not in self.stale]
        may_lack_servers = bool(self.stale)
        return LocalState(self.configuration, listed, [], self.stale, may_lack_servers)

    def watch(self, nursery, options):
        self.watches += 1
        self.was_unavailable = options.was_unavailable

    def test_state_round_trips_through_msgpack(self):
        state = RelayedState(3, True, self.configuration, True, self.servers, ["x"])
        data = msgspec.msgpack.encode(state)
        self.assertEqual(msgspec.msgpack.decode(data, type=RelayedState), state)

    @trio_test
    async def test_changes_arrive_and_idle_costs_one_request_a_second(self):
        async with self.subscribed():
            await trio.sleep(5.0)
            self.assertEqual(len(self.applied), 1)
            self.assertLessEqual(len(self.requests), 7)
            self.servers.append(ServerEntry("b", "s", "10.0.0.2:80", "z1", 2))
            self.source.record_change()
            await trio.sleep(0.1)
        complete, change = self.applied
        self.assertEqual((complete.is_whole, len(complete.servers)), (True, 1))
        self.assertIsNotNone(complete.configuration)
        self.assertEqual((change.is_whole, len(change.servers)), (False, 1))
        self.assertIsNone(change.configuration)
        self.assertEqual(self.watches, 0)

    @trio_test
    async def test_removed_server_is_reported(self):
        async with self.subscribed():
            self.servers.clear()
            self.source.record_change()
            await trio.sleep(0.1)
        self.assertEqual(self.applied[-1].removed, ["a"])

    @trio_test
    async def test_stale_server_is_neither_relayed_nor_reported_as_removed(self):
        """Guards against a service without servers for seconds after an outage.

        Its server is live but has not rewritten its entry yet. Reported as removed, it
        would be dropped by all subscribers; relayed as listed, a removed server would
        reappear at subscribers that had dropped it. New subscribers must learn that
        the list may lack servers, and get the server once it is listed again.
        """
        async with self.subscribed():
            self.stale = frozenset(("a",))
            self.source.record_change()
            await trio.sleep(1.2)
            self.assertEqual([item.removed for item in self.applied], [[]])
            data = await self.source.answer(StateRequest(0))
            complete = decode_state(data, RelayedState)
            self.assertEqual((complete.servers, complete.may_lack_servers), ([], True))
            self.stale = frozenset()
            self.source.record_change()
            data = await self.source.answer(StateRequest(complete.revision, 1))
            relisted = decode_state(data, RelayedState)
            self.assertEqual((relisted.servers, relisted.removed), (self.servers, []))
            self.assertFalse(relisted.may_lack_servers)
            self.stale = frozenset(("a",))
            self.source.record_change()
            self.servers.clear()
            self.stale = frozenset()
            self.source.record_change()
            await trio.sleep(0.1)
        self.assertEqual(self.applied[-1].removed, ["a"])

    @trio_test
    async def test_subscription_ends_when_the_source_is_not_fresh(self):
        """Guards against an outdated configuration in a zone whose source is rejected.

        The store rejects the instance that watches it for the others. It must report
        this, and the others must watch the store themselves.
        """
        async with self.subscribed():
            self.is_fresh = False
            self.source.notify_subscribers()
            await trio.sleep(0.1)
            self.assertEqual(self.watches, 1)
            # Server entries may have expired meanwhile.
            self.assertTrue(self.was_unavailable)

    @trio_test
    async def test_subscription_ends_when_the_source_is_unresponsive(self):
        async with self.subscribed():
            self.is_unresponsive = True
            await trio.sleep(4.5)
            self.assertEqual(self.watches, 1)
            # The store was available: a server that is missing now was removed.
            self.assertFalse(self.was_unavailable)

    @trio_test
    async def test_stale_state_is_relayed_to_instances_without_any(self):
        async with self.subscribed():
            self.is_fresh = False
            for_new_instance = await self.source.answer(StateRequest(0))
            self.assertIn(b"10.0.0.1:80", for_new_instance)
            for_known_version = await self.source.answer(
                StateRequest(0, known_version=1)
            )
            self.assertNotIn(b"10.0.0.1:80", for_known_version)

    @trio_test
    async def test_change_that_did_not_apply_is_resent_at_once(self):
        """Guards against an outdated version until the next change, hours later.

        An instance requests a change to its version. Before the response arrives it
        gets another version from the store, to which the change does not apply.
        """
        async with self.subscribed():
            self.configuration = Configuration(5, (), {}, CallerLimits())
            self.source.record_change()
            revision = decode_state(
                await self.source.answer(StateRequest(0, 1)), RelayedState
            ).revision
            started_s = trio.current_time()
            data = await self.source.answer(StateRequest(revision, known_version=3))
            self.assertLess(trio.current_time() - started_s, 0.5)
        state = decode_state(data, RelayedState)
        self.assertEqual(state.configuration, self.configuration)
        self.assertEqual((state.is_whole, state.servers), (False, []))


class StateRequestTest(unittest.TestCase):
    """State requests encoded in the target of an HTTP request."""

    def parse(self, target):
        return parse_state_request(
            InboundRequest(b"GET", target, "h", "", None, [], b"", 0.0)
        )

    def test_target_contains_revision_and_version(self):
        path = b"/ibisfront/state"
        self.assertEqual(self.parse(path + b"?7&3"), StateRequest(7, 3))
        self.assertEqual(self.parse(path + b"?0&x"), StateRequest(0))
        self.assertEqual(self.parse(path), StateRequest(0))
        self.assertIsNone(self.parse(b"/search/a"))
