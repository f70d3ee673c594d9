"""Tests of the choice of a server, and of what a server's health says."""

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
LOST = SubRequestError(MissingReason.CONNECTION_LOST, not_run=False)
REFUSED = SubRequestError(MissingReason.CONNECT_FAILED, not_run=True)


async def no_connection(address):
    """Refuse every connection."""
    raise REFUSED


def make_link(name, zone, *, latency_ms=5.0):
    """Return a link to a server that answers in a time."""
    pool = BackendPool(
        BackendServer(name, f"{name}:1", zone),
        open_connection=no_connection,
        clock=Clock(),
        counters=Counters(),
        settings=SETTINGS,
        maximum_connections=25,
    )
    pool.health.record_answer(
        SubReply(b""), duration_ms=latency_ms, in_flight=1, now_ms=0.0
    )
    return pool


def fail(pool, error, fingerprint, *, now_ms=1.0):
    """Let a sub-request of a fingerprint fail at a server."""
    pool.health.record_error(error, fingerprint=fingerprint, in_flight=1, now_ms=now_ms)


def chosen(pools, *, times=100, **fields):
    """Return how often each server is chosen."""
    choose = power_of_two_choices(cross_zone_ms=3.0, slots_per_server=2, seed=1)
    choice = ChoiceContext("z1", fields.pop("now_ms", 1.0), **fields)
    names = Counter()
    for _ in range(times):
        pool = choose(pools, choice)
        names[None if pool is None else pool.server.name] += 1
    return names


class ChoiceTest(unittest.TestCase):
    """The own zone first, then the less loaded of two."""

    @trio_test
    async def test_own_zone_goes_first(self):
        pools = [make_link("far", "z2"), make_link("near", "z1")]
        self.assertEqual(chosen(pools), {"near": 100})

    @trio_test
    async def test_slow_server_of_the_own_zone_spills(self):
        """The desk waits for a slow server while the next zone's is idle.

        Choosing by zone alone kept every lookup at the near server, whose
        wait had grown to many times the way to the other zone and back.
        """
        pools = [make_link("near", "z1", latency_ms=30.0), make_link("far", "z2")]
        self.assertEqual(chosen(pools), {"far": 100})

    @trio_test
    async def test_overloaded_server_of_the_own_zone_spills(self):
        """One zone's desk waits in a queue that the next zone could take.

        The near server has far more of this instance's sub-requests than the
        far one. A few more do not count, or work would go to and fro.
        """
        near, far = make_link("near", "z1"), make_link("far", "z2")
        near._slots.in_use = 6
        self.assertEqual(chosen([near, far]), {"near": 100})
        near._slots.in_use = 7
        self.assertEqual(chosen([near, far]), {"far": 100})

    @trio_test
    async def test_many_servers_share_the_work(self):
        pools = [make_link(f"s{number}", "z1") for number in range(4)]
        names = chosen(pools, times=1_000)
        self.assertEqual(len(names), 4)
        self.assertGreater(min(names.values()), 150)

    @trio_test
    async def test_tried_server_is_not_chosen_while_another_is_there(self):
        near, far = make_link("near", "z1"), make_link("far", "z2")
        self.assertEqual(chosen([near, far], tried=(near,)), {"far": 100})
        self.assertEqual(chosen([near], tried=(near,)), {"near": 100})

    @trio_test
    async def test_server_without_the_snapshot_is_never_chosen(self):
        near, far = make_link("near", "z1"), make_link("far", "z2")
        reply = SubReply(b"", ("old",))
        near.health.record_answer(reply, duration_ms=5.0, in_flight=1, now_ms=0.0)
        self.assertEqual(chosen([near, far], snapshot="new"), {"far": 100})
        self.assertEqual(chosen([near], snapshot="new"), {None: 100})


class EjectionTest(unittest.TestCase):
    """Servers that fail are left out, but never all of them."""

    @trio_test
    async def test_refused_connection_ejects_at_once(self):
        near, far = make_link("near", "z1"), make_link("far", "z2")
        fail(near, REFUSED, "a")
        self.assertEqual(chosen([near, far]), {"far": 100})

    @trio_test
    async def test_all_replicas_are_never_ejected(self):
        """A service disappears because of a fault of the network.

        Every replica refused a connection for a moment and was left out;
        none was asked again although all were back.
        """
        near, far = make_link("near", "z1"), make_link("far", "z2")
        fail(near, REFUSED, "a")
        fail(far, REFUSED, "a")
        self.assertNotIn(None, chosen([near, far]))

    @trio_test
    async def test_one_request_does_not_eject_a_server(self):
        """A caller repeats a request that fails, and servers vanish for all.

        The same request failed five times at a server that answers all
        others. Failures of one fingerprint count once.
        """
        pool = make_link("near", "z1")
        for _ in range(5):
            fail(pool, LOST, "poison")
        self.assertFalse(pool.health.ejected)
        for fingerprint in ("a", "b"):
            fail(pool, LOST, fingerprint)
        self.assertTrue(pool.health.ejected)

    @trio_test
    async def test_row_of_unanswered_ones_ejects_and_one_straggler_does_not(self):
        pool = make_link("near", "z1")
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
    async def test_callers_that_leave_early_eject_nobody(self):
        pool = make_link("near", "z1")
        for _ in range(20):
            pool.health.record_unanswered(3.0, 1.0)
        self.assertFalse(pool.health.ejected)

    @trio_test
    async def test_probes_come_later_each_time(self):
        pool = make_link("near", "z1")
        fail(pool, REFUSED, "a", now_ms=0.0)
        first_ms = pool.health.probe_at_ms
        pool.health.schedule_probe(0.0)
        self.assertEqual((first_ms, pool.health.probe_at_ms), (500.0, 1_000.0))
        for _ in range(20):
            pool.health.schedule_probe(0.0)
        self.assertEqual(pool.health.probe_at_ms, SETTINGS.ejection_longest_ms)

    @trio_test
    async def test_readmitted_server_starts_slowly(self):
        """A server that has just come back is overrun and falls over again.

        It has no load and so was chosen for everything at once, while its
        caches were cold.
        """
        back, steady = (
            make_link("back", "z1"),
            make_link("steady", "z1", latency_ms=8.0),
        )
        fail(back, REFUSED, "a", now_ms=0.0)
        back.health.readmit(0.0)
        self.assertEqual(chosen([back, steady]), {"steady": 100})
        self.assertEqual(
            chosen([back, steady], now_ms=SETTINGS.slow_start_ms), {"back": 100}
        )


class WindowTest(unittest.TestCase):
    """How many sub-requests a server is given at once."""

    @trio_test
    async def test_burst_of_sheds_cuts_the_window_once(self):
        pool = make_link("near", "z1")
        shed = SubRequestError(
            MissingReason.SHED, not_run=True, retry_after_ms=100.0, whole_reply=True
        )
        before = pool.health.window
        for _ in range(10):
            pool.health.record_error(shed, fingerprint="a", in_flight=4, now_ms=1_000.0)
        self.assertAlmostEqual(pool.health.window, 0.7 * before)
        self.assertEqual(pool.health.not_before_ms, 1_100.0)

    @trio_test
    async def test_window_rises_only_while_it_is_the_bound(self):
        pool = make_link("near", "z1")
        before = pool.health.window
        reply = SubReply(b"")
        pool.health.record_answer(reply, duration_ms=5.0, in_flight=1, now_ms=1.0)
        self.assertEqual(pool.health.window, before)
        pool.health.record_answer(reply, duration_ms=5.0, in_flight=9, now_ms=1.0)
        self.assertGreater(pool.health.window, before)
