"""Tests of workspaces at front processes, in mock time."""

from __future__ import annotations

import json
import unittest

import msgspec
import trio

from ibisfront.core.counters import CounterKind
from ibisfront.front.targets import configuration_target
from ibisfront.gateway.messages import InboundRequest
from ibisfront.gateway.quotas.quota_messages import (
    QUOTA_TARGET,
    QuotaAsk,
    decode_grant,
)
from ibisfront.gateway.state.store import Listing, StoredObject
from ibisfront.testing.large_configuration import configuration_spec
from ibisfront.tests import trio_test
from ibisfront.tests.front_zone import FrontZone

KEY = "s3cret-of-the-desk"


def spec_of(version, *workspaces):
    """Return a configuration with workspaces, as operators write it."""
    document = json.loads(configuration_spec(version, 1))
    return json.dumps({**document, "tenants": workspaces}).encode()


def desk(*keys):
    """Return a workspace, as operators write it."""
    return {"name": "desk", "apiKeys": keys or [KEY]}


async def status_of(front, key):
    """Return the status of a request with a key to a search route."""
    headers = [(b"Host", b"search.example"), (b"X-Key", key.encode())]
    request = InboundRequest(
        b"GET", b"/g0/a", "search.example", "r", 50.0, headers, b"", 0.0
    )
    request.arrived_at_ms = front.zone.clock.now_ms()
    return (await front.process.gateway.answer(request)).status


def granted_to_all(front):
    """Return how many tokens of the desk an instance lends to the others."""
    ask = msgspec.msgpack.encode(QuotaAsk("desk", 1))
    request = InboundRequest(b"POST", QUOTA_TARGET, "i0", "r", None, [], ask, 0.0)
    granted = 0
    for _ in range(50):
        reply = front.process.quotas.answer(request)
        granted += decode_grant(reply.body).tokens
    return granted


class FrontWorkspacesTest(unittest.TestCase):
    """Versions with workspaces, from the store to the callers."""

    @trio_test
    async def test_invalid_list_of_workspaces_leaves_the_good_version_in_force(self):
        """Guards against a faulty list that shuts out or lets in all callers."""
        async with trio.open_nursery() as nursery:
            process = FrontZone(nursery, 1).fronts[0].process
            target = configuration_target(process)

            def put(version, *workspaces):
                item = StoredObject("main", version, spec_of(version, *workspaces))
                target.replace(Listing([item], version), False)

            put(1, desk())
            with self.assertLogs("ibisfront", "ERROR") as logs:
                put(2, desk(), {"name": "guard", "apiKeys": [KEY]})
            self.assertEqual(process.gateway.table.configuration.version, 1)
            counted = process.observer.counters.value(
                CounterKind.TABLE_CHANGES, "unreadable"
            )
            self.assertEqual(counted, 1)
            self.assertIn("workspace 'guard': keys", logs.output[0])
            self.assertNotIn(KEY, logs.output[0])
            put(3, desk("n3w"))
            self.assertEqual(process.gateway.table.configuration.version, 3)
            nursery.cancel_scope.cancel()

    @trio_test
    async def test_limits_of_each_version_are_shared_among_the_instances(self):
        """Guards against limits that are decoded and never applied."""
        async with trio.open_nursery() as nursery:
            zone = FrontZone(nursery, 6, servers=4)
            limited = {**desk(), "ratePerS": 2.0, "burst": 30.0}
            zone.spec = spec_of(1, limited)
            zone.start(nursery)
            await trio.sleep(10.0)
            # One of the two zones has no instances.
            self.assertIn(sum(map(granted_to_all, zone.fronts)), (14, 15))
            zone.version, zone.spec = 2, spec_of(2, {**limited, "burst": 90.0})
            zone.revisions["config"] += 1
            zone._notify_watchers()
            await trio.sleep(2.0)
            self.assertIn(sum(map(granted_to_all, zone.fronts)), range(30, 34))
            nursery.cancel_scope.cancel()

    @trio_test
    async def test_subscribers_know_keys_and_refuse_unknown_ones_for_good(self):
        """Guards against callers with a wrong key that are told to try again.

        Nearly all instances subscribe to one that watches the store.
        """
        async with trio.open_nursery() as nursery:
            zone = FrontZone(nursery, servers=4)
            zone.spec = spec_of(1, desk())
            zone.start(nursery)
            await trio.sleep(10.0)
            subscribers = [
                item for item in zone.fronts if not item.process.state_sync.is_fresh
            ]
            self.assertGreater(len(subscribers), 10)
            for front in zone.fronts:
                self.assertEqual(await status_of(front, "unknown"), 401)
                self.assertNotEqual(await status_of(front, KEY), 401)
            zone.version, zone.spec = 2, spec_of(2, desk("n3w"))
            zone.revisions["config"] += 1
            zone._notify_watchers()
            await trio.sleep(2.0)
            for front in zone.fronts:
                self.assertEqual(await status_of(front, KEY), 401)
                self.assertNotEqual(await status_of(front, "n3w"), 401)
            cut_off = subscribers[0]
            cut_off.is_partitioned = True
            await trio.sleep(8.0)
            self.assertEqual(await status_of(cut_off, "n3wer"), 503)
            nursery.cancel_scope.cancel()
