"""Tests of removed servers while instances are partitioned, in mock time."""

from __future__ import annotations

import unittest

import trio

from ibisfront.tests import trio_test
from ibisfront.tests.front_zone import BOUNDS, FrontZone

_PARTITION_S = 10.0
_REMOVED_BEFORE_END_S = 2.6
"""How long before the end of the partition the entry is removed."""


class RemovedServerTest(unittest.TestCase):
    """Removed servers that a previously partitioned instance still lists."""

    @trio_test
    async def test_recovered_source_does_not_restore_a_removed_server(self):
        """Guards against requests to a removed server seconds after its removal.

        A zone's state source is partitioned from the store and from the others. A
        server's entry is removed meanwhile, and all others apply that. The source
        recovers, keeps the missing server in case its entry is only stale, and the
        others subscribe to it again. They must not restore the server from its
        state and use it until it expires there.
        """
        async with trio.open_nursery() as nursery:
            zone = FrontZone(nursery)
            zone.start(nursery)
            await trio.sleep(5.0)
            state_source = next(f for f in zone.fronts if f.process.state_sync.is_fresh)
            number = zone.fronts.index(state_source)
            state_source.is_partitioned = True
            await trio.sleep(_PARTITION_S - _REMOVED_BEFORE_END_S)
            name = zone.remove_server()
            removed_at_s = trio.current_time()
            await trio.sleep(_REMOVED_BEFORE_END_S)
            self.assertEqual(zone.instances_using(name), [number])
            state_source.is_partitioned = False
            while trio.current_time() < removed_at_s + 2 * BOUNDS.change_ms / 1000.0:
                await trio.sleep(0.1)
                late_users = set(zone.instances_using(name)) - {number}
                self.assertEqual(
                    late_users,
                    set(),
                    "restored from the state of the partitioned source",
                )
            self.assertEqual(zone.instances_using(name), [])
            self.assertTrue(state_source.process.state_sync.is_fresh)
            nursery.cancel_scope.cancel()
