"""Tests of the choice of a snapshot."""

from __future__ import annotations

import unittest

from ibisfront.core.planner import pin_snapshot
from ibisfront.core.snapshot import Snapshot

OLD = Snapshot("old", ("a", "b"))
NEW = Snapshot("new", ("a", "b", "c"))


class PinSnapshotTest(unittest.TestCase):
    """The snapshot that covers most is pinned."""

    def test_newest_among_equals(self):
        pinned = pin_snapshot((OLD, NEW), holds=lambda service, snapshot: True)
        self.assertIs(pinned, NEW)

    def test_an_older_one_that_all_hold_goes_before_a_new_one_that_some_lack(self):
        """A seller's listing is missing just after each publication.

        The newest snapshot is published before service ``c`` has loaded it.
        Pinning the newest gave two thirds of the listings, although every
        service still held the snapshot before it.
        """
        pinned = pin_snapshot(
            (OLD, NEW),
            holds=lambda service, snapshot: (service, snapshot) != ("c", "new"),
        )
        self.assertIs(pinned, OLD)

    def test_coverage_is_the_share_of_each_snapshots_own_map(self):
        held = {("a", "new"), ("b", "new"), ("a", "old")}
        pinned = pin_snapshot(
            (OLD, NEW), holds=lambda service, snapshot: (service, snapshot) in held
        )
        self.assertIs(pinned, NEW)
