"""Tests of the retry budgets of services."""

from __future__ import annotations

import math
import unittest

import msgspec

from ibisfront.gateway.load.retry_budget import RetryBudgets, ServiceRetryBudget
from ibisfront.gateway.settings import Bounds

BOUNDS = Bounds(extra_ratio=0.2, extra_window_ms=10_000.0, extra_allowance=20.0)


def spend_all(budget, now_ms):
    """Return how many extra sub-requests a budget grants at once."""
    count = 0
    while budget.try_spend(now_ms):
        count += 1
    return count


def fullest_window(spent_ms, window_ms=10_000.0):
    """Return the largest number of extras in any window."""
    return max(
        sum(start <= at_ms < start + window_ms for at_ms in spent_ms)
        for start in spent_ms
    )


def spend_for(budget, from_ms, until_ms, *, step_ms=100.0):
    """Spend extras as soon as they are granted; return when."""
    spent_ms = []
    now_ms = from_ms
    while now_ms < until_ms:
        spent_ms += [now_ms] * spend_all(budget, now_ms)
        now_ms += step_ms
    return spent_ms


class ServiceRetryBudgetTest(unittest.TestCase):
    """No window exceeds the ratio of primary sub-requests plus the share."""

    def test_ratio_and_share_bound_the_extras(self):
        budget = ServiceRetryBudget(BOUNDS, share=20.0)
        spent = 0
        for _ in range(100):
            budget.record_primary(0.0)
            spent += spend_all(budget, 0.0)
        self.assertLessEqual(spent, 0.2 * 100 + 20)
        self.assertGreater(spent, 0.2 * 100)

    def test_primaries_without_extras_save_up_no_more_than_the_share(self):
        """Guards against a burst for the requests of a whole window at once."""
        budget = ServiceRetryBudget(BOUNDS, share=20.0)
        for _ in range(1_000):
            budget.record_primary(0.0)
        self.assertLessEqual(spend_all(budget, 0.0), 20)

    def test_shares_of_all_instances_add_up_to_the_allowance(self):
        budgets = [ServiceRetryBudget(BOUNDS, share=5.0) for _ in range(4)]
        spent_ms = [at_ms for item in budgets for at_ms in spend_for(item, 0.0, 3e4)]
        self.assertLessEqual(fullest_window(spent_ms), 20)
        self.assertGreater(fullest_window(spent_ms), 10)

    def test_every_sliding_window_stays_within_the_bound(self):
        """Guards against doubling the extra load across the boundary of a fixed window.

        Extra sub-requests are spent as soon as they are granted, with no primary
        ones. Any ten seconds may contain at most the allowance.
        """
        budget = ServiceRetryBudget(BOUNDS, share=20.0)
        spent_ms = spend_for(budget, 0.0, 60_000.0)
        self.assertLessEqual(fullest_window(spent_ms), 20)
        self.assertGreater(fullest_window(spent_ms), 10)

    def test_restarted_instance_grants_nothing_again(self):
        """Guards against a part of the share at each restart within one window."""
        budget = ServiceRetryBudget(BOUNDS, share=20.0)
        spent_ms = spend_for(budget, 0.0, 10_000.0)
        for start_ms in range(10_000, 20_000, 1_000):
            budget = ServiceRetryBudget(BOUNDS, share=20.0, started_ms=start_ms)
            spent_ms += spend_for(budget, start_ms, start_ms + 1_000)
        self.assertLessEqual(fullest_window(spent_ms), 20)

    def test_share_below_one_still_grants_the_ratio(self):
        """Guards against no retries at all where instances outnumber the allowance."""
        budget = ServiceRetryBudget(BOUNDS, share=0.5, started_ms=0.0)
        spent = 0
        for step in range(100):
            budget.record_primary(step * 100.0)
            spent += spend_all(budget, step * 100.0)
        self.assertLessEqual(spent, 0.2 * 100 + 0.5)
        self.assertGreater(spent, 10)

    def test_change_of_bounds_grants_nothing_at_once(self):
        """Guards against spent extras that a change of the window forgets."""
        budgets = RetryBudgets(BOUNDS, instances=1)
        budget = budgets.of_service("s")
        spend_all(budget, 5_000.0)
        longer = msgspec.structs.replace(BOUNDS, extra_window_ms=20_000.0)
        budgets.set_bounds(longer, 6_000.0)
        self.assertEqual(spend_all(budget, 6_000.0), 0)
        spent_ms = spend_for(budget, 6_000.0, 60_000.0)
        self.assertLessEqual(fullest_window(spent_ms, 20_000.0), 20)
        self.assertGreater(spend_all(budget, 90_000.0), 0)


class SharedBudgetsTest(unittest.TestCase):
    """Allowances split over instances, or over a few coordinators."""

    def granted_extras(self, *, count, until_ms=40_000.0, **options):
        """Return the fullest window of an instance without primaries."""
        budgets = RetryBudgets(BOUNDS, instances=80, **options)
        budgets.set_coordinator_count(count, frozenset(("s",)), 0.0)
        spent_ms = spend_for(budgets.of_service("s"), 20_000.0, until_ms)
        return fullest_window(spent_ms) if spent_ms else 0

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
        started = self.granted_extras(count=4, until_ms=21_000.0, started_ms=15_000.0)
        full = self.granted_extras(count=4, until_ms=21_000.0)
        self.assertLess(started, full)
        self.assertGreater(started, 0)

    def test_unknown_number_of_instances_grants_nothing(self):
        """Guards against a share of an assumed number, if there are more instances."""
        budgets = RetryBudgets(BOUNDS, started_ms=0.0)
        budget = budgets.of_service("s")
        for _ in range(100):
            budget.record_primary(5_000.0)
        self.assertEqual(spend_all(budget, 5_000.0), 0)
        budgets.set_instance_count(2, 5_000.0)
        self.assertEqual(spend_all(budget, 5_000.0), 0)
        self.assertGreater(spend_all(budget, 15_000.0), 0)

    def test_joining_instance_grants_nothing_until_the_others_know_it(self):
        """Guards against a share beside those of instances that do not count it."""
        budgets = RetryBudgets(BOUNDS, started_ms=0.0)
        budgets.set_instance_count(2, 1_000.0)
        budgets.hold_until(11_000.0)
        budget = budgets.of_service("s")
        for _ in range(100):
            budget.record_primary(5_000.0)
        self.assertEqual(spend_all(budget, 10_900.0), 0)
        self.assertGreater(spend_all(budget, 21_000.0), 0)
