"""Tests of removed servers while instances are cut off, in mock time."""

from __future__ import annotations

import unittest

import trio

from ibisfront.tests import trio_test
from ibisfront.tests.front_zone import BOUNDS, FrontZone

_PARTITION_S = 10.0
_REMOVED_BEFORE_END_S = 2.6
"""How long before the end of the cut the entry is removed."""


class RemovedServerTest(unittest.TestCase):
    """Removed servers that an instance which was cut off still holds."""

    @trio_test
    async def test_source_that_was_cut_off_brings_back_no_removed_server(self):
        """A server that is leaving gets new requests seconds after its time.

        The instance that a zone follows is cut off from the store and from the
        others. Meanwhile a server's entry is removed, and all others heed it. The
        instance is back, keeps the missing server in case its entry has only
        lapsed, and the others follow it again: they take the server back from it,
        and use it until it lapses there.
        """
        async with trio.open_nursery() as nursery:
            zone = FrontZone(nursery)
            zone.start(nursery)
            await trio.sleep(5.0)
            state_source = next(f for f in zone.fronts if f.process.state_sync.is_fresh)
            number = zone.fronts.index(state_source)
            state_source.is_cut_off = True
            await trio.sleep(_PARTITION_S - _REMOVED_BEFORE_END_S)
            name = zone.remove_server()
            removed_at_s = trio.current_time()
            await trio.sleep(_REMOVED_BEFORE_END_S)
            self.assertEqual(zone.instances_using(name), [number])
            state_source.is_cut_off = False
            while trio.current_time() < removed_at_s + 2 * BOUNDS.change_ms / 1000.0:
                await trio.sleep(0.1)
                late_users = set(zone.instances_using(name)) - {number}
                self.assertEqual(
                    late_users, set(), "taken back from the one that was cut"
                )
            self.assertEqual(zone.instances_using(name), [])
            self.assertTrue(state_source.process.state_sync.is_fresh)
            nursery.cancel_scope.cancel()
