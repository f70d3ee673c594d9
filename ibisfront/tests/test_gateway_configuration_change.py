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
    change_between,
    changed_configuration,
)

HISTORIES = 200


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


def drawn(version, draw):
    """Return a version with routes drawn from a few, in any order."""
    names = draw.sample("abcdefgh", draw.randrange(9))
    routes = tuple(route(name, draw.choice((1000.0, 2000.0))) for name in names)
    services = {"s": RoutedService("s", draw.choice((10, 20)))}
    limits = CallerLimits(idle_timeout_ms=draw.choice((1000.0, 2000.0)))
    return Configuration(version, routes, services, limits)


class ChangeTest(unittest.TestCase):
    """A change leads to exactly the version that it was made from."""

    def test_one_route_more_is_all_that_is_told(self):
        before = configuration(1, "abc")
        after = configuration(2, "abcd")
        change = change_between(before, after)
        self.assertEqual([item.name for item in change.routes], ["d"])
        self.assertEqual(
            (change.removed, change.services, change.limits), ((), None, None)
        )
        self.assertEqual(changed_configuration(before, change), after)

    def test_route_that_is_gone_is_told(self):
        before = configuration(1, "abc")
        after = configuration(2, "ac")
        change = change_between(before, after)
        self.assertEqual((change.routes, change.removed), ((), ("b",)))
        self.assertEqual(changed_configuration(before, change), after)

    def test_any_two_versions(self):
        draw = random.Random(7)
        told = 0
        for _ in range(HISTORIES):
            before, after = drawn(1, draw), drawn(2, draw)
            change = change_between(before, after)
            if change is not None:
                told += 1
                self.assertEqual(changed_configuration(before, change), after)
        self.assertGreater(told, 0)

    def test_what_cannot_be_told_as_a_change_is_not(self):
        before = configuration(1, "ab")
        self.assertIsNone(change_between(before, configuration(2, "ba")))
        self.assertIsNone(change_between(before, configuration(2, "abb")))


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
