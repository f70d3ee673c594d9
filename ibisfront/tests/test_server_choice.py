"""Tests of load balancing and of passive health checking."""

from __future__ import annotations

import unittest
from collections import Counter

from ibisfront.core.backend_pool import BackendPool
from ibisfront.core.clock import Clock
from ibisfront.core.counters import Counters
from ibisfront.core.coverage import MissingReason
from ibisfront.core.query import SubReply, SubRequestError
from ibisfront.core.server_choice import ChoiceContext, power_of_two_choices
from ibisfront.core.service import BackendServer
from ibisfront.core.settings import QuerySettings
from ibisfront.tests import trio_test

SETTINGS = QuerySettings()
CONNECTION_LOST = SubRequestError(MissingReason.CONNECTION_LOST, not_run=False)
CONNECT_FAILED = SubRequestError(MissingReason.CONNECT_FAILED, not_run=True)


async def refuse_connection(address):
    """Refuse every connection."""
    raise CONNECT_FAILED


def make_pool(name, zone, *, latency_ms=5.0):
    """Return the pool of a server with a given latency."""
    pool = BackendPool(
        BackendServer(name, f"{name}:1", zone),
        open_connection=refuse_connection,
        clock=Clock(),
        counters=Counters(),
        settings=SETTINGS,
        maximum_connections=25,
    )
    pool.health.record_answer(
        SubReply(b""), duration_ms=latency_ms, in_flight=1, now_ms=0.0
    )
    return pool


def record_failure(pool, error, fingerprint, *, now_ms=1.0):
    """Record a failed sub-request with a given fingerprint."""
    pool.health.record_error(error, fingerprint=fingerprint, in_flight=1, now_ms=now_ms)


def count_chosen(pools, *, times=100, **fields):
    """Return how often each server is chosen."""
    choose = power_of_two_choices(cross_zone_ms=3.0, slots_per_server=2, seed=1)
    choice = ChoiceContext("z1", fields.pop("now_ms", 1.0), **fields)
    choices = Counter()
    for _ in range(times):
        pool = choose(pools, choice)
        choices[None if pool is None else pool.server.name] += 1
    return choices


class ChoiceTest(unittest.TestCase):
    """The own zone is preferred, then the less loaded of two servers."""

    @trio_test
    async def test_own_zone_is_preferred(self):
        pools = [make_pool("far", "z2"), make_pool("near", "z1")]
        self.assertEqual(count_chosen(pools), {"near": 100})

    @trio_test
    async def test_slow_server_of_the_own_zone_spills_over(self):
        """Requests wait for a slow server while one in another zone is idle.

        Choosing by zone alone kept every lookup at the server of the own zone,
        whose latency had grown to many times the round trip to the other zone.
        """
        pools = [make_pool("near", "z1", latency_ms=30.0), make_pool("far", "z2")]
        self.assertEqual(count_chosen(pools), {"far": 100})

    @trio_test
    async def test_overloaded_server_of_the_own_zone_spills_over(self):
        """Requests queue in one zone although another zone has free capacity.

        The near server has many more of this instance's sub-requests in flight
        than the far one. A small difference must not count, or load would
        oscillate between the zones.
        """
        near, far = make_pool("near", "z1"), make_pool("far", "z2")
        near._slots.in_use = 6
        self.assertEqual(count_chosen([near, far]), {"near": 100})
        near._slots.in_use = 7
        self.assertEqual(count_chosen([near, far]), {"far": 100})

    @trio_test
    async def test_load_is_spread_over_all_servers(self):
        pools = [make_pool(f"s{number}", "z1") for number in range(4)]
        choices = count_chosen(pools, times=1_000)
        self.assertEqual(len(choices), 4)
        self.assertGreater(min(choices.values()), 150)

    @trio_test
    async def test_tried_server_is_not_chosen_while_another_remains(self):
        near, far = make_pool("near", "z1"), make_pool("far", "z2")
        self.assertEqual(count_chosen([near, far], tried=(near,)), {"far": 100})
        self.assertEqual(count_chosen([near], tried=(near,)), {"near": 100})

    @trio_test
    async def test_server_without_the_snapshot_is_never_chosen(self):
        near, far = make_pool("near", "z1"), make_pool("far", "z2")
        reply = SubReply(b"", ("old",))
        near.health.record_answer(reply, duration_ms=5.0, in_flight=1, now_ms=0.0)
        self.assertEqual(count_chosen([near, far], snapshot="new"), {"far": 100})
        self.assertEqual(count_chosen([near], snapshot="new"), {None: 100})


class EjectionTest(unittest.TestCase):
    """Failing servers are ejected, but never excluded all at once."""

    @trio_test
    async def test_refused_connection_ejects_at_once(self):
        near, far = make_pool("near", "z1"), make_pool("far", "z2")
        record_failure(near, CONNECT_FAILED, "a")
        self.assertEqual(count_chosen([near, far]), {"far": 100})

    @trio_test
    async def test_all_replicas_are_never_excluded(self):
        """A transient network fault makes a service unavailable.

        Every replica refused a connection briefly and was ejected; none
        received requests again although all had recovered.
        """
        near, far = make_pool("near", "z1"), make_pool("far", "z2")
        record_failure(near, CONNECT_FAILED, "a")
        record_failure(far, CONNECT_FAILED, "a")
        self.assertNotIn(None, count_chosen([near, far]))

    @trio_test
    async def test_one_request_does_not_eject_a_server(self):
        """One failing request, repeated by its caller, ejects servers for all.

        The same request failed five times at a server that answers all other
        requests. Failures with the same fingerprint count once.
        """
        pool = make_pool("near", "z1")
        for _ in range(5):
            record_failure(pool, CONNECTION_LOST, "poison")
        self.assertFalse(pool.health.ejected)
        for fingerprint in ("a", "b"):
            record_failure(pool, CONNECTION_LOST, fingerprint)
        self.assertTrue(pool.health.ejected)

    @trio_test
    async def test_consecutive_unanswered_requests_eject_one_straggler_does_not(self):
        pool = make_pool("near", "z1")
        for _ in range(4):
            pool.health.record_unanswered(40.0, 1.0)
        pool.health.record_answer(
            SubReply(b""), duration_ms=5.0, in_flight=1, now_ms=2.0
        )
        pool.health.record_unanswered(40.0, 3.0)
        self.assertFalse(pool.health.ejected)
        for _ in range(4):
            pool.health.record_unanswered(40.0, 4.0)
        self.assertTrue(pool.health.ejected)

    @trio_test
    async def test_early_cancellations_eject_no_server(self):
        pool = make_pool("near", "z1")
        for _ in range(20):
            pool.health.record_unanswered(3.0, 1.0)
        self.assertFalse(pool.health.ejected)

    @trio_test
    async def test_probe_interval_grows_to_its_maximum(self):
        pool = make_pool("near", "z1")
        record_failure(pool, CONNECT_FAILED, "a", now_ms=0.0)
        first_ms = pool.health.probe_at_ms
        pool.health.schedule_probe(0.0)
        self.assertEqual((first_ms, pool.health.probe_at_ms), (500.0, 1_000.0))
        for _ in range(20):
            pool.health.schedule_probe(0.0)
        self.assertEqual(pool.health.probe_at_ms, SETTINGS.ejection_longest_ms)

    @trio_test
    async def test_readmitted_server_has_a_slow_start(self):
        """A server that has just recovered is overloaded and fails again.

        It had no load, so it was chosen for every request while its caches
        were cold.
        """
        recovered, steady = (
            make_pool("back", "z1"),
            make_pool("steady", "z1", latency_ms=8.0),
        )
        record_failure(recovered, CONNECT_FAILED, "a", now_ms=0.0)
        recovered.health.readmit(0.0)
        self.assertEqual(count_chosen([recovered, steady]), {"steady": 100})
        self.assertEqual(
            count_chosen([recovered, steady], now_ms=SETTINGS.slow_start_ms),
            {"back": 100},
        )


class WindowTest(unittest.TestCase):
    """The concurrency window of a server."""

    @trio_test
    async def test_burst_of_shed_requests_decreases_the_window_once(self):
        pool = make_pool("near", "z1")
        shed = SubRequestError(
            MissingReason.SHED, not_run=True, retry_after_ms=100.0, complete_reply=True
        )
        before = pool.health.window
        for _ in range(10):
            pool.health.record_error(shed, fingerprint="a", in_flight=4, now_ms=1_000.0)
        self.assertAlmostEqual(pool.health.window, 0.7 * before)
        self.assertEqual(pool.health.not_before_ms, 1_100.0)

    @trio_test
    async def test_window_grows_only_while_it_is_the_limit(self):
        pool = make_pool("near", "z1")
        before = pool.health.window
        reply = SubReply(b"")
        pool.health.record_answer(reply, duration_ms=5.0, in_flight=1, now_ms=1.0)
        self.assertEqual(pool.health.window, before)
        pool.health.record_answer(reply, duration_ms=5.0, in_flight=9, now_ms=1.0)
        self.assertGreater(pool.health.window, before)
