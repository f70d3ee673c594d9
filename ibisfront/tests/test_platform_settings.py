"""Tests of the platform's settings file."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from ibisfront.core.errors import ErrorKind, IbisfrontError
from ibisfront.platform.settings import read_platform_settings


class UnreadableSettingsTest(unittest.TestCase):
    """A settings file that is read while it is being written."""

    def test_half_written_settings_are_bad_settings(self):
        """Guards against a reload of a cut file that ends the front process."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "front.toml"
            for content in (
                b"",
                b"nodeNa",
                b'nodeName = "\xc3',
                b"\x00" * 100,
                b"a = " + b"[" * 5000,
            ):
                path.write_bytes(content)
                with (
                    self.subTest(content[:20]),
                    self.assertRaises(IbisfrontError) as raised,
                ):
                    read_platform_settings(path)
                self.assertIs(raised.exception.kind, ErrorKind.BAD_SETTINGS)
