"""Tests of the packages' exports and of the modules imported at start-up."""

from __future__ import annotations

import importlib
import subprocess
import sys
import unittest


class ExportsTest(unittest.TestCase):
    """Lazily imported names, and modules that a daemon does not load."""

    def test_every_exported_name_exists(self):
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
        """Imports for the other interface only would delay the start.

        After a power failure callers wait until the processes have started;
        tables, ledger and listeners of the other interface must not be loaded.
        """
        code = "import sys, ibisfront.front.daemon; print(*sys.modules)"
        run = subprocess.run(
            [sys.executable, "-c", code], check=True, capture_output=True, text=True
        )
        unneeded = {"ibisfront.core.table", "ibisfront.core.settings", "h11", "cleo"}
        self.assertEqual(unneeded & set(run.stdout.split()), set())

    def test_front_daemon_runs_without_openssl(self):
        """OpenSSL occupies 4.7 MB in each instance, which never uses it.

        trio loads it for TLS streams. The event loop, sockets and digests must
        work without it.
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
