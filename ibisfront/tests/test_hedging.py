"""Tests of hedged requests and retry budgets."""

from __future__ import annotations

import unittest

import trio

from ibisfront.core.counters import CounterKind
from ibisfront.core.fanout import HEDGE_BURST
from ibisfront.core.latency import LatencyHistogram
from ibisfront.core.retry_budget import RetryBudget
from ibisfront.core.settings import QuerySettings
from ibisfront.testing.backend_types import BackendSettings as FakeBackendSettings
from ibisfront.testing.search_fixture import SearchFixture
from ibisfront.tests import trio_test

STRAGGLING = {"straggle_fraction": 0.01, "straggle_factor": 10.0}
VARYING_LATENCY = FakeBackendSettings(service_sigma=0.3, slots=8)


async def measure_searches(policy, faults, *, searches=500, services=20):
    """Return search latencies and the fraction of extra sub-requests."""
    fixture = SearchFixture(
        services=services,
        query=QuerySettings(policy=policy),
        fake_settings=VARYING_LATENCY,
    )
    for service in fixture.services:
        for number in range(2):
            fixture.set_faults(service, number, **faults)
    histogram = LatencyHistogram()

    async def search_once(counted):
        started_ms = fixture.clock.now_ms()
        answer = await fixture.search()
        assert answer.coverage.answered == services
        if counted:
            histogram.record_ms(fixture.clock.now_ms() - started_ms)

    async with fixture.maintenance(), trio.open_nursery() as nursery:
        for number in range(searches):
            nursery.start_soon(search_once, number >= 100)
            await fixture.clock.sleep_ms(20.0)
    return histogram, fixture.extra_sub_requests(searches) / (searches * services)


class HedgingTest(unittest.TestCase):
    """Stragglers are hedged within a budget."""

    @trio_test
    async def test_stragglers_add_little_latency_and_few_requests(self):
        """Guards against tail latency caused by one slow shard.

        One sub-request in a hundred takes ten times as long, which affects
        nearly every fifth search of twenty services. A hedged request to a
        second server answers in time, at most for three sub-requests in a
        hundred.
        """
        without_stragglers, _ = await measure_searches("adaptive", {})
        with_stragglers, extra = await measure_searches("adaptive", STRAGGLING)
        self.assertLessEqual(
            with_stragglers.percentile_ms(99.0),
            1.5 * without_stragglers.percentile_ms(99.0),
        )
        self.assertLessEqual(extra, 0.03 + HEDGE_BURST / (500 * 20))

    @trio_test
    async def test_new_instance_hedges_before_it_has_samples_of_each_service(self):
        """Guards against unhedged stragglers for 15 s after each restart.

        One of several instances sends each of twenty services only a few
        sub-requests per second. If it needs fifty samples of a service before
        hedging there, it hedges no straggler during its first seconds.
        """
        fixture = SearchFixture(services=20, fake_settings=VARYING_LATENCY)
        for service in fixture.services:
            for number in range(2):
                fixture.set_faults(service, number, **STRAGGLING)
        for _ in range(30):
            await fixture.search()
        self.assertGreater(fixture.count(CounterKind.HEDGES, "slow"), 0)

    @trio_test
    async def test_brown_out_does_not_overrun_the_budget(self):
        """Guards against doubling the load of servers that become slow.

        Every sub-request suddenly takes ten times as long and exceeds its
        hedge delay. The budget allows hedges for three in a hundred.
        """
        fixture = SearchFixture(fake_settings=FakeBackendSettings(slots=8))
        for _ in range(100):
            await fixture.search()
        for service in fixture.services:
            for number in range(2):
                fixture.set_faults(
                    service, number, straggle_fraction=1.0, straggle_factor=10.0
                )
        before = fixture.extra_sub_requests(100)
        async with trio.open_nursery() as nursery:
            for _ in range(200):
                nursery.start_soon(fixture.search)
                await fixture.clock.sleep_ms(10.0)
        extra = fixture.extra_sub_requests(300) - before
        self.assertLessEqual(extra, 0.03 * 200 * 2 + HEDGE_BURST)
        self.assertGreater(fixture.count(CounterKind.HEDGES_WITHHELD, "budget"), 0)

    @trio_test
    async def test_losing_request_is_cancelled(self):
        """Guards against backend work on parts that are already answered.

        Once a hedged request is answered, the other attempt is cancelled and
        its slot at the server is released.
        """
        fixture = SearchFixture()
        for _ in range(100):
            await fixture.search()
        for number in range(2):
            fixture.set_faults("s0", number, straggle_fraction=0.5)
            fixture.set_faults(
                "s1", number, straggle_fraction=1.0, straggle_factor=40.0
            )
        for _ in range(20):
            await fixture.search()
        states = [fixture.server("s0", number).state() for number in range(2)]
        self.assertGreater(sum(state.counts.cancelled for state in states), 0)
        self.assertEqual([state.in_flight for state in states], [0, 0])


class BudgetTest(unittest.TestCase):
    """A budget is a fraction of the primary attempts."""

    def test_share_and_burst(self):
        budget = RetryBudget(ratio=0.1, burst=2.0)
        withdrawn = 0
        for _ in range(1_000):
            budget.deposit()
            withdrawn += budget.try_withdraw()
        self.assertLessEqual(withdrawn, 0.1 * 1_000 + 2.0)
        self.assertGreaterEqual(withdrawn, 0.1 * 1_000 - 1.0)

    def test_idle_time_does_not_exceed_the_burst(self):
        budget = RetryBudget(ratio=0.1, burst=2.0)
        for _ in range(1_000):
            budget.deposit()
        self.assertEqual([budget.try_withdraw() for _ in range(3)], [True, True, False])
