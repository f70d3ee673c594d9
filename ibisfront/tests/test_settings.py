"""Tests of the checks of the settings."""

from __future__ import annotations

import socket
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

import msgspec
import tomli_w

from ibisfront.core.settings import (
    Settings,
    SettingsError,
    check_settings,
    read_settings,
)
from ibisfront.core.settings_check import find_leaves

UNITS = ("_ms", "_bytes", "_s", "_per_s", "_fraction", "_per_server")
GOOD = {
    "instance": {"name": "i1", "zone": "z1"},
    "callers": {"address": "127.0.0.1:7001"},
    "admin": {"address": "127.0.0.1:7002", "token": "0123456789abcdef"},
    "peers": {"address": "127.0.0.1:7003"},
    "platform": {"address": "127.0.0.1:7004"},
}


def changed(section, **values):
    """Return the good settings as TOML with some values of a section changed."""
    return tomli_w.dumps({**GOOD, section: {**GOOD.get(section, {}), **values}})


def fault_lines(text):
    """Return the faults of a text, each as one line."""
    try:
        check_settings(text)
    except SettingsError as error:
        return [str(fault) for fault in error.faults]
    return []


class GoodSettingsTest(unittest.TestCase):
    """What is right passes, and what is left out has its default."""

    def test_least_settings_pass(self):
        settings = check_settings(tomli_w.dumps(GOOD))
        self.assertEqual(settings.callers.default_deadline_ms, 2_000)

    def test_seeds_may_name_ourselves_and_each_other_twice(self):
        text = changed("peers", seeds=["127.0.0.1:7003", "10.0.0.1:7003"])
        self.assertEqual(fault_lines(text), [])


class BadSettingsTest(unittest.TestCase):
    """Each fault names the value and the cure, and none hides another."""

    def check(self, text, *expected):
        lines = fault_lines(text)
        self.assertEqual(len(lines), 1, lines)
        for part in expected:
            self.assertIn(part, lines[0])

    def test_unknown_keys(self):
        self.check(changed("instance", nam="x"), "instance.nam", "did you mean name")
        self.check(changed("limitz"), "limitz", "known are")
        self.check(changed("callers", default_deadline=5), "default_deadline_ms")

    def test_ranges(self):
        for value in (0, -1, 16_777_217, 1.5, True, "64k"):
            with self.subTest(value=value):
                self.check(
                    changed("callers", maximum_body_bytes=value),
                    "callers.maximum_body_bytes",
                    "from 1 to 16777216",
                )

    def test_addresses(self):
        for value in ("", "127.0.0.1", "localhost:80", "1.2.3:80", "1.2.3.4:0", ":80"):
            with self.subTest(value=value):
                self.check(changed("peers", address=value), "peers.address", "IP:PORT")

    def test_own_address_must_be_one_that_others_can_reach(self):
        self.check(changed("admin", address="0.0.0.0:7002"), "nobody else can reach")

    def test_addresses_must_be_distinct(self):
        self.check(
            changed("admin", address="127.0.0.1:7001"),
            "admin.address",
            "callers.address",
        )

    def test_default_deadline_above_the_maximum(self):
        self.check(changed("callers", maximum_deadline_ms=100), "default_deadline_ms")

    def test_a_table_written_as_a_value(self):
        self.check('instance = "i1"\n' + without("instance"), "write a table")

    def test_text_that_is_not_toml(self):
        self.check("[instance\n", "line 1")

    def test_token_is_never_shown(self):
        """An operator writes a token with a space and runs the daemon.

        The fault would print the token to the terminal and to the log, where
        many can read it.
        """
        self.check(changed("admin", token="secret word here"), "admin.token")
        self.assertNotIn("secret", fault_lines(changed("admin", token="secret"))[0])
        text = changed("admin", token="secret word here")
        self.assertNotIn("secret", fault_lines(text)[0])

    def test_files_that_cannot_be_read(self):
        with tempfile.TemporaryDirectory() as folder:
            with self.assertRaisesRegex(SettingsError, "cannot be read"):
                read_settings(Path(folder))
            path = Path(folder, "latin.toml")
            path.write_bytes(b'name = "J\xf3n"')
            with self.assertRaisesRegex(SettingsError, "UTF-8"):
                read_settings(path)

    def test_daemon_lists_every_fault_at_once(self):
        """An operator has three faults in one file and starts the daemon.

        Before, only the first was named, so that each start showed one more.
        """
        text = without("platform") + '[platform]\naddress = "x"\nwatch_wait_ms = 5\n'
        ended = run_daemon(text.replace('name = "i1"', 'nam = "i1"'))
        self.assertEqual(ended.returncode, 2)
        for key in ("instance.nam ", "instance.name", "platform.address", "watch_wait"):
            self.assertIn(key, ended.stderr)
        self.assertNotIn("Traceback", ended.stderr)

    def test_daemon_says_which_address_is_taken(self):
        """An operator starts an instance twice on one machine.

        The second cannot listen; its log ends with one sentence, no traceback.
        """
        with socket.create_server(("127.0.0.1", 0)) as taken:
            address = f"127.0.0.1:{taken.getsockname()[1]}"
            ended = run_daemon(changed("admin", address=address))
        self.assertEqual(ended.returncode, 3)
        self.assertIn(f"cannot listen on {address}", ended.stderr)
        self.assertNotIn("Traceback", ended.stderr)


def run_daemon(text):
    """Run the daemon on a settings file until it ends by itself."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, "settings.toml")
        path.write_text(text)
        return subprocess.run(
            [sys.executable, "-m", "ibisfront.daemon", "--settings", str(path)],
            capture_output=True,
            check=False,
            text=True,
        )


class EverySettingTest(unittest.TestCase):
    """Each setting can be checked and explained."""

    def test_each_setting_is_described_and_each_number_bounded_with_its_unit(self):
        for leaf in find_leaves(Settings):
            with self.subTest(leaf.key):
                described = msgspec.inspect
                self.assertIsInstance(leaf.field.type, described.Metadata)
                self.assertIn("description", leaf.field.type.extra_json_schema)
                plain = leaf.field.type.type
                if isinstance(plain, described.IntType | described.FloatType):
                    self.assertTrue(leaf.key.endswith(UNITS), "no unit")
                    self.assertIsNotNone(plain.le, "no upper bound")
                    self.assertFalse(plain.ge is None and plain.gt is None)


def without(section):
    """Return the good settings as TOML without a section."""
    return tomli_w.dumps({name: GOOD[name] for name in GOOD if name != section})
