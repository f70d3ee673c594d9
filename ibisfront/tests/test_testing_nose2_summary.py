"""Tests of the runner's summary and of known red tests."""

from __future__ import annotations

import subprocess
import sys
import tempfile
import textwrap
import unittest
from pathlib import Path

MODULE = """
import unittest

class SampleTest(unittest.TestCase):
    def test_sound(self):
        pass

    def test_fails(self):
        self.fail("wrong")

    def test_breaks(self):
        raise RuntimeError("wrong")
"""


def run_sample(known_red):
    """Run a module with two failing tests; return the success and the output."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        (folder / "test_nose2_sample.py").write_text(MODULE)
        (folder / "KNOWN-RED.txt").write_text("\n".join(known_red))
        (folder / "unittest.cfg").write_text(
            textwrap.dedent("""
            [unittest]
            plugins = ibisfront.testing.nose2_summary
            [ibisfront-summary]
            always-on = True
            known-red = KNOWN-RED.txt
            ran = ran.txt
            """)
        )
        # A separate process, because the runner reads the settings of its folder.
        run = subprocess.run(
            [sys.executable, "-m", "nose2"],
            cwd=folder,
            capture_output=True,
            text=True,
            check=False,
        )
        return run.returncode == 0, run.stderr


class KnownRedTest(unittest.TestCase):
    """A run in which only known red tests fail passes, and prints them.

    Guards against nose2's own reporter, which runs after this plugin and would
    override its result.
    """

    FAILS = "test_nose2_sample.SampleTest.test_fails, a cause, issue 1"
    BREAKS = "test_nose2_sample.SampleTest.test_breaks, a cause, issue 1"

    def test_known_red_tests_alone_do_not_fail_the_run(self):
        success, output = run_sample([self.FAILS, self.BREAKS])
        self.assertTrue(success, output)
        self.assertIn(f"KNOWN RED: {self.FAILS}", output)
        self.assertIn("1 passed, 2 failed, 0 skipped", output)

    def test_another_failure_fails_the_run(self):
        success, output = run_sample([self.FAILS])
        self.assertFalse(success, output)
