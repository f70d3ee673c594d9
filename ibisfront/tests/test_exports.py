"""Tests of what the packages export, and of what a start imports."""

from __future__ import annotations

import importlib
import subprocess
import sys
import unittest


class ExportsTest(unittest.TestCase):
    """Names that are imported when they are first asked for."""

    def test_every_exported_name_is_there(self):
        for package in ("ibisfront", "ibisfront.core"):
            module = importlib.import_module(package)
            for name in module.__all__:
                with self.subTest(package=package, name=name):
                    self.assertIsNotNone(getattr(module, name))

    def test_unknown_name_is_an_attribute_error(self):
        for package in ("ibisfront", "ibisfront.core"):
            with self.subTest(package), self.assertRaises(AttributeError):
                _ = importlib.import_module(package).nothing

    def test_front_daemon_starts_without_the_other_interface(self):
        """Callers find nobody for longer than need be after a loss of power.

        A starting process imports what only the other interface takes: its
        tables, its ledger, its listeners.
        """
        code = "import sys, ibisfront.front.daemon; print(*sys.modules)"
        run = subprocess.run(
            [sys.executable, "-c", code], check=True, capture_output=True, text=True
        )
        unneeded = {"ibisfront.core.table", "ibisfront.core.settings", "h11", "cleo"}
        self.assertEqual(unneeded & set(run.stdout.split()), set())

    def test_front_daemon_runs_without_openssl(self):
        """Each instance holds 4.7 MB of a library that it never uses.

        trio loads it for TLS streams. Without it the event loop, sockets and
        digests must work as ever.
        """
        code = """
import sys
from ibisfront.front.lean_imports import stub_out_tls
stub_out_tls()
import trio, hashlib, ibisfront.front.daemon
async def main():
    async with trio.open_nursery() as nursery:
        await nursery.start(trio.serve_tcp, print, 0)
        nursery.cancel_scope.cancel()
trio.run(main)
print(len(hashlib.sha256(b"").hexdigest()), hashlib.blake2b(b"").digest_size)
print({"_ssl", "_hashlib"} & {name for name, module in sys.modules.items() if module})
"""
        run = subprocess.run(
            [sys.executable, "-c", code], check=True, capture_output=True, text=True
        )
        self.assertEqual(run.stdout, "64 64\nset()\n")
