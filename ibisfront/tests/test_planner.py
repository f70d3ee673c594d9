"""Tests of snapshot selection."""

from __future__ import annotations

import unittest

from ibisfront.core.planner import pin_snapshot
from ibisfront.core.snapshot import Snapshot

OLD = Snapshot("old", ("a", "b"))
NEW = Snapshot("new", ("a", "b", "c"))


class PinSnapshotTest(unittest.TestCase):
    """The snapshot with the highest expected coverage is pinned."""

    def test_newest_among_equals(self):
        pinned = pin_snapshot((OLD, NEW), may_hold=lambda service, snapshot: True)
        self.assertIs(pinned, NEW)

    def test_older_snapshot_held_by_all_is_preferred_to_a_newer_partial_one(self):
        """Guards against partial answers just after each publication.

        The newest snapshot is published before service ``c`` has loaded it.
        Pinning the newest covered two thirds of the services, although every
        service still held the previous snapshot.
        """
        pinned = pin_snapshot(
            (OLD, NEW),
            may_hold=lambda service, snapshot: (service, snapshot) != ("c", "new"),
        )
        self.assertIs(pinned, OLD)

    def test_coverage_is_the_share_of_each_snapshots_own_map(self):
        held = {("a", "new"), ("b", "new"), ("a", "old")}
        pinned = pin_snapshot(
            (OLD, NEW), may_hold=lambda service, snapshot: (service, snapshot) in held
        )
        self.assertIs(pinned, NEW)
