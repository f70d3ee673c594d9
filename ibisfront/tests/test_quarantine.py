"""Tests of the quarantine of requests that crash backend servers."""

from __future__ import annotations

import unittest

import trio

from ibisfront.core.clock import Clock
from ibisfront.core.counters import Counters
from ibisfront.core.errors import ErrorKind, IbisfrontError, Ran
from ibisfront.core.quarantine import Quarantine, fingerprint_of
from ibisfront.core.settings import QuerySettings
from ibisfront.testing.peers import PeerNetwork
from ibisfront.testing.search_fixture import SearchFixture
from ibisfront.tests import trio_test

SETTINGS = QuerySettings()
POISON = "poison-request"


def make_quarantine(peers=None):
    """Return a quarantine, of a single instance if no peers are given."""
    return Quarantine(
        clock=Clock(), counters=Counters(), settings=SETTINGS, peers=peers
    )


def crashing_fixture(services, **fields):
    """Return a fixture whose servers crash on one request and stay down."""
    fixture = SearchFixture(services=services, **fields)
    for service in fixture.services:
        for number in range(2):
            fixture.set_faults(
                service, number, crash_marker=POISON, crash_down_ms=2_000.0
            )
    return fixture


def crash_count(fixture):
    """Return the total number of server crashes."""
    return sum(
        backend.state().counts.crashes for backend in fixture.network.backends.values()
    )


class CrashingRequestTest(unittest.TestCase):
    """A request that crashes servers is stopped after the second crash."""

    @trio_test
    async def test_repeated_crashing_request_is_refused(self):
        """Guards against a repeated search that keeps a service down.

        The search crashes each server that runs it and is retried on the
        second server; its caller sends it again and again. After the second
        crash it is refused without being sent.
        """
        fixture = crashing_fixture(1)
        with self.assertRaises(IbisfrontError):
            await fixture.search(POISON)
        self.assertEqual(crash_count(fixture), 2)
        await fixture.clock.sleep_ms(3_000.0)
        with self.assertRaises(IbisfrontError) as caught:
            await fixture.search(POISON)
        self.assertIs(caught.exception.kind, ErrorKind.QUARANTINED)
        self.assertIs(caught.exception.ran, Ran.MAYBE)
        self.assertEqual(crash_count(fixture), 2)

    @trio_test
    async def test_wide_search_crashes_one_second_server_at_most(self):
        """Guards against one request that crashes both servers of all services.

        Each of twenty services loses its first server and retries on its
        second one at the same time. Only one service may retry first; the
        others keep their second servers for other requests.
        """
        fixture = crashing_fixture(20)
        with self.assertRaises(IbisfrontError):
            await fixture.search(POISON)
        self.assertLessEqual(crash_count(fixture), 21)
        answer = await fixture.search("healthy")
        self.assertGreaterEqual(answer.coverage.answered, 19)

    @trio_test
    async def test_later_trial_risks_one_server(self):
        """Guards against crashes of all services after each quarantine.

        When the quarantine of a crashing request ends, its next copy must be
        answered by one service before it is sent to the others.
        """
        fixture = crashing_fixture(20)
        async with fixture.maintenance():
            with self.assertRaises(IbisfrontError):
                await fixture.search(POISON)
            crashed = crash_count(fixture)
            await fixture.clock.sleep_ms(SETTINGS.quarantine_base_ms + 5_000.0)
            with self.assertRaises(IbisfrontError) as caught:
                await fixture.search(POISON)
        self.assertIs(caught.exception.kind, ErrorKind.QUARANTINED)
        self.assertEqual(crash_count(fixture), crashed + 1)

    @trio_test
    async def test_crashing_request_ejects_no_healthy_server(self):
        fixture = crashing_fixture(1)
        async with fixture.maintenance():
            with self.assertRaises(IbisfrontError):
                await fixture.search(POISON)
            await fixture.clock.sleep_ms(6_000.0)
            answer = await fixture.search("healthy")
            self.assertEqual(answer.coverage.answered, 1)
            self.assertFalse(any(fixture.pool("s0", n).health.ejected for n in (0, 1)))


class QuarantineTest(unittest.TestCase):
    """When a request is refused, and when it is not."""

    @trio_test
    async def test_popular_search_is_cleared_by_its_answer(self):
        """Guards against refusing a harmless search that ran during a crash.

        The search was in flight at two servers that another request crashed.
        Its quarantine is short, and the answer to its next copy clears it.
        """
        quarantine = make_quarantine()
        quarantine.record_loss("popular", "s0", "s0-0")
        quarantine.record_loss("popular", "s0", "s0-1")
        self.assertTrue(quarantine.is_quarantined("popular"))
        await trio.sleep(SETTINGS.quarantine_base_ms / 1_000.0)
        self.assertEqual(quarantine.begin_trial("popular"), "s0")
        quarantine.record_answer("popular", "s0")
        self.assertIsNone(quarantine.begin_trial("popular"))

    @trio_test
    async def test_answer_between_two_losses_clears_the_first(self):
        quarantine = make_quarantine()
        quarantine.record_loss("popular", "s0", "s0-0")
        quarantine.record_answer("popular", "s0")
        quarantine.record_loss("popular", "s0", "s0-1")
        self.assertFalse(quarantine.is_quarantined("popular"))

    @trio_test
    async def test_copies_lost_with_one_server_are_one_loss(self):
        quarantine = make_quarantine()
        for _ in range(10):
            quarantine.record_loss("popular", "s0", "s0-0")
        self.assertFalse(quarantine.is_quarantined("popular"))

    @trio_test
    async def test_refusals_last_longer_each_time(self):
        quarantine = make_quarantine()
        durations = []
        for _ in range(6):
            quarantine.record_loss("bad", "s0", "s0-0")
            quarantine.record_loss("bad", "s0", "s0-1")
            with self.assertRaises(IbisfrontError) as caught:
                quarantine.begin_trial("bad")
            durations.append(caught.exception.retry_after_ms)
            await trio.sleep(durations[-1] / 1_000.0)
            quarantine.begin_trial("bad")
        self.assertEqual(durations, [5_000, 20_000, 80_000, 320_000, 600_000, 600_000])

    @trio_test
    async def test_only_one_trial_runs_at_a_time(self):
        quarantine = make_quarantine()
        quarantine.record_loss("bad", "s0", "s0-0")
        quarantine.record_loss("bad", "s0", "s0-1")
        await trio.sleep(6.0)
        self.assertEqual(quarantine.begin_trial("bad"), "s0")
        with self.assertRaises(IbisfrontError):
            quarantine.begin_trial("bad")
        quarantine.end_trial("bad")
        self.assertEqual(quarantine.begin_trial("bad"), "s0")

    @trio_test
    async def test_number_of_suspects_is_bounded(self):
        quarantine = make_quarantine()
        for number in range(3_000):
            quarantine.record_loss(f"f{number}", "s0", "s0-0")
        self.assertLessEqual(len(quarantine._suspects), 1_000)

    @trio_test
    async def test_losses_are_reported_to_other_instances(self):
        """Guards against a crashing request that is balanced over instances.

        Each copy reaches another instance. Without crash reports to the peers
        each instance would lose two servers before it refuses the request.
        """
        async with trio.open_nursery() as nursery:
            network = PeerNetwork(clock=Clock(), nursery=nursery)
            first, second = (make_quarantine(network.join(name)) for name in ("a", "b"))
            first.record_loss("bad", "s0", "s0-0")
            await trio.sleep(0.1)
            second.record_loss("bad", "s0", "s0-1")
            await trio.sleep(0.1)
            self.assertTrue(
                first.is_quarantined("bad") and second.is_quarantined("bad")
            )

    @trio_test
    async def test_losses_of_a_whole_zone_do_not_flood_peers(self):
        async with trio.open_nursery() as nursery:
            network = PeerNetwork(clock=Clock(), nursery=nursery)
            quarantine = make_quarantine(network.join("a"))
            network.join("b")
            for number in range(500):
                quarantine.record_loss(f"f{number}", "s0", "s0-0")
            self.assertLessEqual(network.sent, 20)

    def test_fingerprint_distinguishes_purposes_and_bodies(self):
        fingerprints = {
            fingerprint_of("a", b"x"),
            fingerprint_of("b", b"x"),
            fingerprint_of("a", b"y"),
        }
        self.assertEqual(len(fingerprints), 3)
