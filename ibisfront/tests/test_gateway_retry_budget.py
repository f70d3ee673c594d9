"""Tests of the retry budgets of services."""

from __future__ import annotations

import math
import unittest

import msgspec

from ibisfront.gateway.load.retry_budget import RetryBudgets, ServiceRetryBudget
from ibisfront.gateway.settings import Bounds

BOUNDS = Bounds(extra_ratio=0.2, extra_window_ms=10_000.0, extra_allowance=20.0)


def spend_all(budget, now_ms, *, instances=1):
    """Return how many extra sub-requests a budget grants at once."""
    count = 0
    while budget.try_spend(now_ms, senders=instances):
        count += 1
    return count


class ServiceRetryBudgetTest(unittest.TestCase):
    """No window exceeds the ratio of primary sub-requests plus the allowance."""

    def test_ratio_and_allowance_bound_the_extras(self):
        budget = ServiceRetryBudget(BOUNDS)
        for _ in range(100):
            budget.record_primary(0.0)
        self.assertLessEqual(spend_all(budget, 0.0), 0.2 * 100 + 20)

    def test_allowance_is_split_over_the_instances(self):
        spent = sum(
            spend_all(ServiceRetryBudget(BOUNDS), 0.0, instances=4) for _ in range(4)
        )
        self.assertLessEqual(spent, 20)
        self.assertGreater(spent, 10)

    def test_every_sliding_window_stays_within_the_bound(self):
        """Guards against doubling the extra load across the boundary of a fixed window.

        Extra sub-requests are spent as soon as they are granted, with no primary
        ones. Any ten seconds may contain at most the allowance.
        """
        budget = ServiceRetryBudget(BOUNDS)
        spent_ms = []
        for step in range(600):
            now_ms = step * 100.0
            spent_ms += [now_ms] * spend_all(budget, now_ms)
        most_spent = max(
            sum(start <= at_ms < start + 10_000.0 for at_ms in spent_ms)
            for start in spent_ms
        )
        self.assertLessEqual(most_spent, 20)

    def test_change_of_window_keeps_spent_extras(self):
        budgets = RetryBudgets(BOUNDS, instances=1)
        budget = budgets.of_service("s")
        spend_all(budget, 5_000.0)
        budgets.set_bounds(
            msgspec.structs.replace(BOUNDS, extra_window_ms=20_000.0), 6_000.0
        )
        self.assertEqual(spend_all(budget, 6_000.0), 0)
        self.assertEqual(spend_all(budget, 20_000.0), 0)
        self.assertGreater(spend_all(budget, 40_000.0), 0)


class CoordinatorsBudgetTest(unittest.TestCase):
    """Allowances where a few of many instances are coordinators."""

    def granted_extras(self, *, count, **options):
        """Return how many extras an instance grants at once without primaries."""
        budgets = RetryBudgets(BOUNDS, instances=80, **options)
        budgets.set_coordinator_count(count, frozenset(("s",)))
        spent = 0
        while budgets.try_spend("s", 20_000.0):
            spent += 1
        return spent

    def test_coordinators_share_the_allowance(self):
        """Guards against late parts that are not hedged for lack of budget."""
        spent = 4 * self.granted_extras(count=4)
        self.assertLessEqual(spent, BOUNDS.extra_allowance)
        self.assertGreater(spent, BOUNDS.extra_allowance / 2)

    def test_other_instances_have_no_allowance(self):
        """Guards against an allowance that is granted twice."""
        self.assertEqual(self.granted_extras(count=math.inf), 0)

    def test_started_instance_has_less_for_one_window(self):
        """Guards against a full allowance at each restart within one window."""
        started = self.granted_extras(count=4, started_ms=15_000.0)
        self.assertLess(started, self.granted_extras(count=4, started_ms=5_000.0))
        self.assertGreater(started, 0)
