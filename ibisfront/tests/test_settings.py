"""Tests of the validation of settings."""

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
VALID = {
    "instance": {"name": "i1", "zone": "z1"},
    "callers": {"address": "127.0.0.1:7001"},
    "admin": {"address": "127.0.0.1:7002", "token": "0123456789abcdef"},
    "peers": {"address": "127.0.0.1:7003"},
    "platform": {"address": "127.0.0.1:7004"},
}


def settings_with(section, **values):
    """Return valid settings as TOML, with some values of a section replaced."""
    return tomli_w.dumps({**VALID, section: {**VALID.get(section, {}), **values}})


def list_faults(text):
    """Return the faults of a settings text, one line each."""
    try:
        check_settings(text)
    except SettingsError as error:
        return [str(fault) for fault in error.faults]
    return []


class GoodSettingsTest(unittest.TestCase):
    """Valid settings are accepted, and omitted ones have their defaults."""

    def test_required_settings_suffice(self):
        settings = check_settings(tomli_w.dumps(VALID))
        self.assertEqual(settings.callers.default_deadline_ms, 2_000)

    def test_seeds_may_include_the_own_address(self):
        text = settings_with("peers", seeds=["127.0.0.1:7003", "10.0.0.1:7003"])
        self.assertEqual(list_faults(text), [])


class BadSettingsTest(unittest.TestCase):
    """Each fault states the value and the cure, and none hides another."""

    def check(self, text, *expected):
        lines = list_faults(text)
        self.assertEqual(len(lines), 1, lines)
        for part in expected:
            self.assertIn(part, lines[0])

    def test_unknown_keys(self):
        self.check(
            settings_with("instance", nam="x"), "instance.nam", "did you mean name"
        )
        self.check(settings_with("limitz"), "limitz", "valid keys are")
        self.check(settings_with("callers", default_deadline=5), "default_deadline_ms")

    def test_ranges(self):
        for value in (0, -1, 16_777_217, 1.5, True, "64k"):
            with self.subTest(value=value):
                self.check(
                    settings_with("callers", maximum_body_bytes=value),
                    "callers.maximum_body_bytes",
                    "from 1 to 16777216",
                )

    def test_addresses(self):
        for value in ("", "127.0.0.1", "localhost:80", "1.2.3:80", "1.2.3.4:0", ":80"):
            with self.subTest(value=value):
                self.check(
                    settings_with("peers", address=value), "peers.address", "IP:PORT"
                )

    def test_own_address_must_be_reachable_from_other_hosts(self):
        self.check(
            settings_with("admin", address="0.0.0.0:7002"), "other hosts cannot reach"
        )

    def test_addresses_must_be_distinct(self):
        self.check(
            settings_with("admin", address="127.0.0.1:7001"),
            "admin.address",
            "callers.address",
        )

    def test_default_deadline_above_the_maximum(self):
        self.check(
            settings_with("callers", maximum_deadline_ms=100), "default_deadline_ms"
        )

    def test_value_in_place_of_a_table(self):
        self.check('instance = "i1"\n' + settings_without("instance"), "write a table")

    def test_text_that_is_not_toml(self):
        self.check("[instance\n", "line 1")

    def test_token_is_never_shown(self):
        """An invalid token must not appear in its fault.

        A fault that quotes the token, here one with a space, would expose it
        on the terminal and in the log.
        """
        self.check(settings_with("admin", token="secret word here"), "admin.token")
        self.assertNotIn(
            "secret", list_faults(settings_with("admin", token="secret"))[0]
        )
        text = settings_with("admin", token="secret word here")
        self.assertNotIn("secret", list_faults(text)[0])

    def test_files_that_cannot_be_read(self):
        with tempfile.TemporaryDirectory() as folder:
            with self.assertRaisesRegex(SettingsError, "cannot be read"):
                read_settings(Path(folder))
            path = Path(folder, "latin.toml")
            path.write_bytes(b'name = "J\xf3n"')
            with self.assertRaisesRegex(SettingsError, "UTF-8"):
                read_settings(path)

    def test_daemon_lists_every_fault_at_once(self):
        """The daemon starts with three faults in its settings file.

        If only the first were reported, each start would reveal one more.
        """
        text = (
            settings_without("platform")
            + '[platform]\naddress = "x"\nwatch_wait_ms = 5\n'
        )
        result = run_daemon(text.replace('name = "i1"', 'nam = "i1"'))
        self.assertEqual(result.returncode, 2)
        for key in ("instance.nam ", "instance.name", "platform.address", "watch_wait"):
            self.assertIn(key, result.stderr)
        self.assertNotIn("Traceback", result.stderr)

    def test_daemon_reports_the_address_in_use(self):
        """An instance is started twice on one host.

        The second cannot bind its address; it reports that without a traceback.
        """
        with socket.create_server(("127.0.0.1", 0)) as taken:
            address = f"127.0.0.1:{taken.getsockname()[1]}"
            result = run_daemon(settings_with("admin", address=address))
        self.assertEqual(result.returncode, 3)
        self.assertIn(f"cannot listen on {address}", result.stderr)
        self.assertNotIn("Traceback", result.stderr)


def run_daemon(text):
    """Run the daemon with a settings file until it exits."""
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
    """Each setting can be validated and documented."""

    def test_each_setting_is_described_and_each_number_bounded_with_its_unit(self):
        for leaf in find_leaves(Settings):
            with self.subTest(leaf.key):
                inspect = msgspec.inspect
                self.assertIsInstance(leaf.field.type, inspect.Metadata)
                self.assertIn("description", leaf.field.type.extra_json_schema)
                base_type = leaf.field.type.type
                if isinstance(base_type, inspect.IntType | inspect.FloatType):
                    self.assertTrue(leaf.key.endswith(UNITS), "no unit")
                    self.assertIsNotNone(base_type.le, "no upper bound")
                    self.assertFalse(base_type.ge is None and base_type.gt is None)


def settings_without(section):
    """Return valid settings as TOML without one section."""
    return tomli_w.dumps({name: VALID[name] for name in VALID if name != section})
