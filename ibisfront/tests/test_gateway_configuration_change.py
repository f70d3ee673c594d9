"""Tests of the differences between two versions of the configuration."""

from __future__ import annotations

import random
import unittest

import msgspec

from ibisfront.gateway.state.configuration import (
    CallerLimits,
    Configuration,
    RequestKind,
    Route,
    RoutedService,
    WeightedService,
    Workspace,
)
from ibisfront.gateway.state.configuration_change import (
    ConfigurationChange,
    ConfigurationHistory,
    apply_change,
    compute_change,
)

VERSION_PAIRS = 200


def route(name, timeout_ms=1000.0):
    """Return a route."""
    services = (WeightedService("s", 1.0),)
    kind = RequestKind.IDEMPOTENT
    return Route(name, "h", f"/{name}/", kind, timeout_ms, 100.0, 2, 0, services)


def configuration(version, names):
    """Return a version with routes of these names."""
    services = {"s": RoutedService("s", 10)}
    routes = tuple(route(name) for name in names)
    return Configuration(version, routes, services, CallerLimits())


def random_configuration(version, rng):
    """Return a version with random routes of a small set, in random order."""
    names = rng.sample("abcdefgh", rng.randrange(9))
    routes = tuple(route(name, rng.choice((1000.0, 2000.0))) for name in names)
    services = {"s": RoutedService("s", rng.choice((10, 20)))}
    limits = CallerLimits(idle_timeout_ms=rng.choice((1000.0, 2000.0)))
    workspaces = tuple(
        Workspace(name, (f"{name}{rng.randrange(2)}",))
        for name in rng.sample("xyz", rng.randrange(4))
    )
    return Configuration(version, routes, services, limits, workspaces)


class ChangeTest(unittest.TestCase):
    """Applying a change reproduces the later version exactly."""

    def test_change_contains_only_the_added_route(self):
        before = configuration(1, "abc")
        after = configuration(2, "abcd")
        change = compute_change(before, after)
        self.assertEqual([item.name for item in change.routes], ["d"])
        self.assertEqual(
            (change.removed, change.services, change.limits), ((), None, None)
        )
        self.assertEqual(apply_change(before, change), after)

    def test_change_contains_the_removed_route(self):
        before = configuration(1, "abc")
        after = configuration(2, "ac")
        change = compute_change(before, after)
        self.assertEqual((change.routes, change.removed), ((), ("b",)))
        self.assertEqual(apply_change(before, change), after)

    def test_change_of_one_key_contains_only_its_workspace(self):
        """Guards against links that a change of one key saturates."""
        before = configuration(1, [str(number) for number in range(3000)])
        before = msgspec.structs.replace(
            before, workspaces=(Workspace("a", ("k",)), Workspace("b", ("l",)))
        )
        after = msgspec.structs.replace(
            before, version=2, workspaces=(before.workspaces[0], Workspace("b", ("m",)))
        )
        change = compute_change(before, after)
        self.assertEqual((change.routes, change.workspaces), ((), after.workspaces[1:]))
        self.assertLess(len(msgspec.msgpack.encode(change)), 200)
        self.assertEqual(apply_change(before, change), after)

    def test_peer_without_workspaces_reads_and_is_read(self):
        """Guards against instances that drop out while a tier is updated."""

        class OldChange(msgspec.Struct):
            before: int
            version: int

        new = ConfigurationChange(1, 2, workspaces=(Workspace("a", ("k",)),))
        data = msgspec.msgpack.encode(new)
        self.assertEqual(msgspec.msgpack.decode(data, type=ConfigurationChange), new)
        self.assertEqual(msgspec.msgpack.decode(data, type=OldChange), OldChange(1, 2))
        data = msgspec.msgpack.encode(OldChange(1, 2))
        change = msgspec.msgpack.decode(data, type=ConfigurationChange)
        self.assertEqual(change.workspaces, ())

    def test_any_two_versions(self):
        rng = random.Random(7)
        applied = 0
        for _ in range(VERSION_PAIRS):
            before, after = random_configuration(1, rng), random_configuration(2, rng)
            change = compute_change(before, after)
            if change is not None:
                applied += 1
                self.assertEqual(apply_change(before, change), after)
        self.assertGreater(applied, 0)

    def test_no_change_if_it_would_not_reproduce_the_version(self):
        before = configuration(1, "ab")
        self.assertIsNone(compute_change(before, configuration(2, "ba")))
        self.assertIsNone(compute_change(before, configuration(2, "abb")))


class HistoryTest(unittest.TestCase):
    """Changes since versions that subscribers may still have."""

    def test_changes_exist_since_each_kept_version(self):
        history = ConfigurationHistory()
        for version in range(1, 30):
            history.add(configuration(version, "abcdefgh"[: version % 9]))
        newest = history.newest
        kept = [version for version in range(30) if history.change_since(version)]
        self.assertEqual(kept[-1], newest.version - 1)
        self.assertLess(len(kept), 10)

    def test_no_change_since_an_unknown_version(self):
        history = ConfigurationHistory()
        self.assertIsNone(history.change_since(1))
        history.add(configuration(3, "a"))
        self.assertIsNone(history.change_since(1))
        self.assertIsNone(history.change_since(3))
