"""Tests of what differs between two versions of the configuration."""

from __future__ import annotations

import random
import unittest

from ibisfront.gateway.state.configuration import (
    CallerLimits,
    Configuration,
    RequestKind,
    Route,
    RoutedService,
    WeightedService,
)
from ibisfront.gateway.state.configuration_change import (
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
    """Return a version with routes drawn from a few, in any order."""
    names = rng.sample("abcdefgh", rng.randrange(9))
    routes = tuple(route(name, rng.choice((1000.0, 2000.0))) for name in names)
    services = {"s": RoutedService("s", rng.choice((10, 20)))}
    limits = CallerLimits(idle_timeout_ms=rng.choice((1000.0, 2000.0)))
    return Configuration(version, routes, services, limits)


class ChangeTest(unittest.TestCase):
    """A change leads to exactly the version that it was made from."""

    def test_one_route_more_is_all_that_is_told(self):
        before = configuration(1, "abc")
        after = configuration(2, "abcd")
        change = compute_change(before, after)
        self.assertEqual([item.name for item in change.routes], ["d"])
        self.assertEqual(
            (change.removed, change.services, change.limits), ((), None, None)
        )
        self.assertEqual(apply_change(before, change), after)

    def test_route_that_is_gone_is_told(self):
        before = configuration(1, "abc")
        after = configuration(2, "ac")
        change = compute_change(before, after)
        self.assertEqual((change.routes, change.removed), ((), ("b",)))
        self.assertEqual(apply_change(before, change), after)

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

    def test_what_cannot_be_told_as_a_change_is_not(self):
        before = configuration(1, "ab")
        self.assertIsNone(compute_change(before, configuration(2, "ba")))
        self.assertIsNone(compute_change(before, configuration(2, "abb")))


class HistoryTest(unittest.TestCase):
    """Versions that others may still have."""

    def test_change_is_told_since_each_version_that_is_kept(self):
        history = ConfigurationHistory()
        for version in range(1, 30):
            history.add(configuration(version, "abcdefgh"[: version % 9]))
        newest = history.newest
        kept = [version for version in range(30) if history.change_since(version)]
        self.assertEqual(kept[-1], newest.version - 1)
        self.assertLess(len(kept), 10)

    def test_version_that_is_not_known_gets_no_change(self):
        history = ConfigurationHistory()
        self.assertIsNone(history.change_since(1))
        history.add(configuration(3, "a"))
        self.assertIsNone(history.change_since(1))
        self.assertIsNone(history.change_since(3))
