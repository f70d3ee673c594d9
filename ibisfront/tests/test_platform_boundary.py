"""Tests that the platform's wire names occur only in its folder."""

from __future__ import annotations

import re
import unittest
from pathlib import Path

PACKAGE = Path(__file__).parents[1]
WIRE_NAMES = re.compile(
    r"X-(Expect-Instance|Backend-Stamp|Not-Executed|Shard|Instance-Id)"
    r"|pathPrefix|timeoutMs|sloMs|minCoverage|topK|currentRev|allowStale"
    r"|(?i:X-Key|X-Tenant)|apiKeys|ratePerS"
    r"|waitMs|warmupLeftMs|maxConns|nodeName|peerPorts|retryAllowance|graceS"
)
MAX_LINES = 800
EXEMPT_FOLDERS = {"platform", "tests", "testing"}


class BoundaryTest(unittest.TestCase):
    """One small folder holds all code specific to the users' platform."""

    def test_wire_names_occur_only_in_the_platform_folder(self):
        for path in PACKAGE.rglob("*.py"):
            if path.relative_to(PACKAGE).parts[0] in EXEMPT_FOLDERS:
                continue
            with self.subTest(path=path.name):
                self.assertIsNone(WIRE_NAMES.search(path.read_text()))

    def test_folder_stays_small(self):
        lines = sum(
            len(path.read_text().splitlines())
            for path in (PACKAGE / "platform").glob("*.py")
        )
        self.assertLess(lines, MAX_LINES)
