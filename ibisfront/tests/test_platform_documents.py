"""Tests of decoding entries in the platform's store, from arbitrary writers."""

from __future__ import annotations

import json
import unittest

import msgspec

from ibisfront.gateway.state.route_cache import RouteCache
from ibisfront.gateway.workspaces.keys import digest_key
from ibisfront.platform.documents import configuration_from, server_entry_from

VALID = {
    "service": "s",
    "addr": "10.0.0.1:80",
    "zone": "z",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "warmupLeftMs": 120,
    "seq": 4,
}


def entry_of(**changes):
    """Decode a valid entry with some fields changed."""
    return server_entry_from("i-1", json.dumps({**VALID, **changes}).encode())


class ServerEntryTest(unittest.TestCase):
    """Invalid entries of other writers are rejected.

    Guards against failure of all searches over a service while one such entry is
    listed: a server without an address, with a slot count of 2^70, or in an
    undefined state would get its share of the requests.
    """

    def test_valid_entry_states_its_server_start_time(self):
        self.assertEqual(entry_of(born=1_790_000_000_123).born_ms, 1_790_000_000_123)
        self.assertEqual(entry_of().born_ms, 0)

    def test_missing_field_is_rejected(self):
        for field in VALID:
            spec = {name: value for name, value in VALID.items() if name != field}
            with self.subTest(field), self.assertRaises(msgspec.DecodeError):
                server_entry_from("i-1", json.dumps(spec).encode())

    def test_field_of_wrong_type_is_rejected(self):
        wrong = {
            "service": [7, None, "", ["s"]],
            "addr": [7, None, "", "nowhere", "10.0.0.1", "10.0.0.1:0", "::1", ":80"],
            "zone": [7, None, "", "z\ufffd"],
            "version": [7, None, "v\ufffd"],
            "slots": ["2", 0, -1, 2**70, True, 1.5, None],
            "state": ["gone", "READY", "", 1, None],
            "warmupLeftMs": ["0", -1, None, 1e300],
            "seq": ["4", None, 1.5],
            "born": ["1", -1, 1.5, None, True],
        }
        for field, values in wrong.items():
            for value in values:
                with (
                    self.subTest(field, value=value),
                    self.assertRaises(msgspec.DecodeError),
                ):
                    entry_of(**{field: value})

    def test_address_that_no_socket_accepts_is_rejected(self):
        """Guards against the port 80443 in an entry, which ends every front process."""
        for address in (
            "10.0.0.1:80443",
            "10.0.0.1:65536",
            "999.0.0.1:80",
            "10.0.0.256:80",
            "10.0.0.1:80\n",
            "010.0.0.1:80",
        ):
            with self.subTest(address), self.assertRaises(msgspec.DecodeError):
                entry_of(addr=address)
        for address in ("0.0.0.0:1", "255.249.199.99:65535", "10.0.0.1:9999"):
            self.assertEqual(entry_of(addr=address).address, address)

    def test_number_that_cannot_be_relayed_is_rejected(self):
        """Guards against an entry that no instance can relay to the others."""
        for field in ("born", "seq"):
            for value in (2**63, 2**64, 10**400):
                with self.subTest(field), self.assertRaises(msgspec.DecodeError):
                    entry_of(**{field: value})
        entry = entry_of(born=2**63 - 1)
        self.assertEqual(
            msgspec.msgpack.decode(msgspec.msgpack.encode(entry))[7], 2**63 - 1
        )

    def test_malformed_entry_is_rejected(self):
        for spec in (b"", b"null", b"[]", b"7", b'"x"', b"{", b"\xff\xfe", b"{}"):
            with self.subTest(spec), self.assertRaises(msgspec.DecodeError):
                server_entry_from("i-1", spec)

    def test_unknown_field_is_ignored(self):
        self.assertEqual(entry_of(more={"a": 1}).service, "s")


def route_of(name, **changes):
    """Return a route as operators write it."""
    common = {"host": "h", "pathPrefix": f"/{name}/", "kind": "idempotent"}
    times = {"timeoutMs": 1000, "sloMs": 100, "service": "s"}
    return {"name": name, **common, **times, **changes}


def configuration_of(version, *routes, **changes):
    """Return a configuration document with the given version and routes."""
    limits = ("maxHeaderBytes", "maxBodyBytes", "headerTimeoutMs", "idleTimeoutMs")
    document = {
        "version": version,
        "routes": routes,
        "services": [{"name": "s", "maxConns": 10}],
        "limits": dict.fromkeys(limits, 1),
        **changes,
    }
    return json.dumps(document).encode()


class ConfigurationTest(unittest.TestCase):
    """Successive versions are decoded with one cache."""

    def test_unchanged_routes_are_shared(self):
        cache = RouteCache()
        before = configuration_from(
            configuration_of(1, route_of("a"), route_of("b")), cache
        )
        changed = route_of("b", timeoutMs=2000)
        spec = configuration_of(2, route_of("c"), changed, route_of("a"))
        after = configuration_from(spec, cache)
        self.assertEqual(after, configuration_from(spec, RouteCache()))
        self.assertIs(after.routes[2], before.routes[0])
        self.assertEqual(after.routes[1].timeout_ms, 2000.0)

    def test_invalid_version_does_not_affect_the_next(self):
        cache = RouteCache()
        configuration_from(configuration_of(1, route_of("a")), cache)
        for invalid in (b"", b"{}", configuration_of(2, route_of("a", kind="odd"))):
            with self.subTest(invalid[:20]), self.assertRaises(ValueError):
                configuration_from(invalid, cache)
        after = configuration_from(configuration_of(3, route_of("a")), cache)
        self.assertEqual((after.version, len(after.routes)), (3, 1))


def workspace_of(name="desk", *keys, **changes):
    """Return a workspace as operators write it."""
    return {"name": name, "apiKeys": keys or [f"{name}-s3cret"], **changes}


class WorkspacesTest(unittest.TestCase):
    """Workspaces of a configuration."""

    def _decode(self, *workspaces, cache=None):
        spec = configuration_of(1, route_of("a", public=True), tenants=workspaces)
        return configuration_from(spec, cache or RouteCache())

    def test_fields_are_read(self):
        full = workspace_of("desk", "a", "b", priority=2, ratePerS=9, burst=4.5)
        decoded = self._decode(full, workspace_of("guard"))
        desk, guard = decoded.workspaces
        self.assertEqual(desk.key_digests, (digest_key(b"a"), digest_key(b"b")))
        self.assertEqual((desk.rank, desk.limit_per_s, desk.limit_burst), (2, 9, 4.5))
        self.assertEqual((guard.rank, guard.is_limited), (None, False))
        self.assertTrue(decoded.routes[0].is_public)
        self.assertNotIn("s3cret", str(decoded))

    def test_invalid_workspace_is_named_without_its_key(self):
        """Guards against a list of workspaces in which one key means two of them."""
        for invalid, stated in (
            ([workspace_of("desk", "s3cret", "s3cret")], "'desk': keys: one is listed"),
            (
                [workspace_of("desk", "s3cret"), workspace_of("guard", "s3cret")],
                "'guard': keys: one also belongs to 'desk'",
            ),
            ([workspace_of("desk", "s3cret", "")], "'desk': keys: one is empty"),
            ([workspace_of("desk", "a"), workspace_of("", "b")], "2 of the list: name"),
            (
                [workspace_of("desk", "a"), workspace_of("desk", "b")],
                "name: used twice",
            ),
            ([workspace_of("d\r\nX-Key: 1")], "name: not fit for a header"),
            ([workspace_of(ratePerS=-1)], "'desk': rate: negative"),
            ([workspace_of(burst=-1)], "'desk': burst: negative"),
            ([workspace_of(ratePerS="s3cret")], "ratePerS"),
            ([workspace_of("desk", 7, "s3cret")], "apiKeys"),
            ([{"name": "desk"}], "apiKeys"),
        ):
            with self.subTest(stated), self.assertRaises(ValueError) as raised:
                self._decode(*invalid)
            self.assertIn(stated, str(raised.exception))
            self.assertNotIn("s3cret", str(raised.exception))

    def test_unchanged_workspace_is_shared(self):
        cache = RouteCache()
        before = self._decode(workspace_of("a"), workspace_of("b"), cache=cache)
        after = self._decode(workspace_of("a"), workspace_of("b", "n"), cache=cache)
        self.assertIs(after.workspaces[0], before.workspaces[0])
        self.assertNotEqual(after.workspaces[1], before.workspaces[1])
        self.assertNotIn("s3cret", str(cache._workspaces))
