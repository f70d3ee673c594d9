"""Test of the demo, run as by ``make demo``."""

from __future__ import annotations

import subprocess
import sys
import unittest


class DemoTest(unittest.TestCase):
    """The demo passes all its checks and ends its processes."""

    def test_demo_keeps_every_promise_and_leaves_no_process(self):
        ended = subprocess.run(
            [sys.executable, "-m", "ibisfront.testing.demo"],
            capture_output=True,
            check=False,
            text=True,
        )
        self.assertEqual(ended.returncode, 0, ended.stdout + ended.stderr)
        self.assertNotIn("NOT", ended.stdout)
        self.assertRegex(ended.stdout, "processes left behind, of [0-9]+: none")
        self.assertIn('"coverage": {', ended.stdout)
