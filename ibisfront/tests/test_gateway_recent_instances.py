"""Tests of the instances among which limits are divided."""

from __future__ import annotations

import unittest

from ibisfront.gateway.instances.directory import InstanceEntry
from ibisfront.gateway.instances.recent_instances import RecentInstances

ENTRIES = [InstanceEntry(f"i{number}", "z0", f"i{number}") for number in range(4)]


class RecentInstancesTest(unittest.TestCase):
    """Lists that shrink, and instances that join."""

    def instances(self, *, is_first_start=False):
        return RecentInstances("i0", is_first_start=is_first_start)

    def test_instance_missing_from_one_list_still_counts(self):
        """Guards against shares that grow while a list is incomplete."""
        recent = self.instances()
        recent.update(ENTRIES, 0.0)
        # The list did not change for a minute, so none was received.
        self.assertEqual(recent.update(ENTRIES[:1], 60_000.0), ENTRIES)
        self.assertEqual(recent.update(ENTRIES[:1], 85_000.0), ENTRIES)
        self.assertEqual(recent.update(ENTRIES[:1], 95_000.0), ENTRIES[:1])

    def test_changed_address_replaces_the_entry(self):
        recent = self.instances()
        recent.update(ENTRIES, 0.0)
        moved = InstanceEntry("i1", "z0", "elsewhere")
        self.assertIn(moved, recent.update([ENTRIES[0], moved], 1.0))

    def test_restarted_instance_has_not_joined(self):
        recent = self.instances()
        recent.update(ENTRIES, 1.0)
        self.assertTrue(recent.is_member)
        self.assertIsNone(recent.joined_at_ms)

    def test_unlisted_instance_joins_once_it_is_listed(self):
        recent = self.instances()
        recent.update(ENTRIES[1:], 1.0)
        self.assertFalse(recent.is_member)
        recent.update(ENTRIES, 2.0)
        recent.update(ENTRIES, 3.0)
        self.assertEqual(recent.joined_at_ms, 2.0)

    def test_all_instances_join_at_the_first_start(self):
        recent = self.instances(is_first_start=True)
        recent.update(ENTRIES[:1], 2.0)
        self.assertEqual(recent.joined_at_ms, 2.0)
