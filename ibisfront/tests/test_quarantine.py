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
    """Return a quarantine, of one instance alone if no peers are given."""
    return Quarantine(
        clock=Clock(), counters=Counters(), settings=SETTINGS, peers=peers
    )


def poisonous_fixture(services, **fields):
    """Return a fixture whose servers crash on one request and stay down."""
    fixture = SearchFixture(services=services, **fields)
    for service in fixture.services:
        for number in range(2):
            fixture.set_faults(
                service, number, crash_marker=POISON, crash_down_ms=2_000.0
            )
    return fixture


def crashes_of(fixture):
    """Return how often servers crashed in all."""
    return sum(
        backend.state().counts.crashes for backend in fixture.network.backends.values()
    )


class CrashingRequestTest(unittest.TestCase):
    """A request that crashes servers is stopped after the second."""

    @trio_test
    async def test_repeated_crashing_request_is_refused(self):
        """One secretary's search takes the register down for everybody.

        It crashes each server that runs it. It was retried at the second
        server, and her client sent it again and again. After its second
        server it is refused unsent.
        """
        fixture = poisonous_fixture(1)
        with self.assertRaises(IbisfrontError):
            await fixture.search(POISON)
        self.assertEqual(crashes_of(fixture), 2)
        await fixture.clock.sleep_ms(3_000.0)
        with self.assertRaises(IbisfrontError) as caught:
            await fixture.search(POISON)
        self.assertIs(caught.exception.kind, ErrorKind.QUARANTINED)
        self.assertIs(caught.exception.ran, Ran.MAYBE)
        self.assertEqual(crashes_of(fixture), 2)

    @trio_test
    async def test_wide_search_crashes_one_second_server_at_most(self):
        """A crashing request to twenty services kills all forty servers.

        Each service lost its first server and asked its second one at the
        same moment. One service goes first now; the others keep their second
        servers and answer everybody else.
        """
        fixture = poisonous_fixture(20)
        with self.assertRaises(IbisfrontError):
            await fixture.search(POISON)
        self.assertLessEqual(crashes_of(fixture), 21)
        answer = await fixture.search("healthy")
        self.assertGreaterEqual(answer.coverage.answered, 19)

    @trio_test
    async def test_later_trial_risks_one_server(self):
        """Every few minutes all servers go down at once.

        The quarantine of a crashing request had ended and its next copy went
        to all services. It has to pass one service first.
        """
        fixture = poisonous_fixture(20)
        async with fixture.upkeep():
            with self.assertRaises(IbisfrontError):
                await fixture.search(POISON)
            crashed = crashes_of(fixture)
            await fixture.clock.sleep_ms(SETTINGS.quarantine_base_ms + 5_000.0)
            with self.assertRaises(IbisfrontError) as caught:
                await fixture.search(POISON)
        self.assertIs(caught.exception.kind, ErrorKind.QUARANTINED)
        self.assertEqual(crashes_of(fixture), crashed + 1)

    @trio_test
    async def test_crashing_request_ejects_no_healthy_server(self):
        fixture = poisonous_fixture(1)
        async with fixture.upkeep():
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
        """A popular search is refused because it ran beside a crashing one.

        It was in flight at two servers that somebody else's request crashed.
        The refusal is short and its next copy, answered, clears it.
        """
        quarantine = make_quarantine()
        quarantine.note_lost("popular", "s0", "s0-0")
        quarantine.note_lost("popular", "s0", "s0-1")
        self.assertTrue(quarantine.is_refused("popular"))
        await trio.sleep(SETTINGS.quarantine_base_ms / 1_000.0)
        self.assertEqual(quarantine.trial_service("popular"), "s0")
        quarantine.note_answered("popular", "s0")
        self.assertIsNone(quarantine.trial_service("popular"))

    @trio_test
    async def test_answer_between_two_losses_clears_the_first(self):
        quarantine = make_quarantine()
        quarantine.note_lost("popular", "s0", "s0-0")
        quarantine.note_answered("popular", "s0")
        quarantine.note_lost("popular", "s0", "s0-1")
        self.assertFalse(quarantine.is_refused("popular"))

    @trio_test
    async def test_copies_lost_with_one_server_are_one_loss(self):
        quarantine = make_quarantine()
        for _ in range(10):
            quarantine.note_lost("popular", "s0", "s0-0")
        self.assertFalse(quarantine.is_refused("popular"))

    @trio_test
    async def test_refusals_last_longer_each_time(self):
        quarantine = make_quarantine()
        durations = []
        for _ in range(6):
            quarantine.note_lost("bad", "s0", "s0-0")
            quarantine.note_lost("bad", "s0", "s0-1")
            with self.assertRaises(IbisfrontError) as caught:
                quarantine.trial_service("bad")
            durations.append(caught.exception.retry_after_ms)
            await trio.sleep(durations[-1] / 1_000.0)
            quarantine.trial_service("bad")
        self.assertEqual(durations, [5_000, 20_000, 80_000, 320_000, 600_000, 600_000])

    @trio_test
    async def test_only_one_copy_tries_at_a_time(self):
        quarantine = make_quarantine()
        quarantine.note_lost("bad", "s0", "s0-0")
        quarantine.note_lost("bad", "s0", "s0-1")
        await trio.sleep(6.0)
        self.assertEqual(quarantine.trial_service("bad"), "s0")
        with self.assertRaises(IbisfrontError):
            quarantine.trial_service("bad")
        quarantine.end_trial("bad")
        self.assertEqual(quarantine.trial_service("bad"), "s0")

    @trio_test
    async def test_number_of_suspects_is_bounded(self):
        quarantine = make_quarantine()
        for number in range(3_000):
            quarantine.note_lost(f"f{number}", "s0", "s0-0")
        self.assertLessEqual(len(quarantine._suspects), 1_000)

    @trio_test
    async def test_other_instances_are_told(self):
        """A crashing request goes round the balancer and kills on.

        Each copy reaches another instance, and each of them had to lose two
        servers before it refused. Losses are told to the peers.
        """
        async with trio.open_nursery() as nursery:
            network = PeerNetwork(clock=Clock(), nursery=nursery)
            first, second = (make_quarantine(network.join(name)) for name in ("a", "b"))
            first.note_lost("bad", "s0", "s0-0")
            await trio.sleep(0.1)
            second.note_lost("bad", "s0", "s0-1")
            await trio.sleep(0.1)
            self.assertTrue(first.is_refused("bad") and second.is_refused("bad"))

    @trio_test
    async def test_losses_of_a_whole_zone_flood_no_peer(self):
        async with trio.open_nursery() as nursery:
            network = PeerNetwork(clock=Clock(), nursery=nursery)
            quarantine = make_quarantine(network.join("a"))
            network.join("b")
            for number in range(500):
                quarantine.note_lost(f"f{number}", "s0", "s0-0")
            self.assertLessEqual(network.sent, 20)

    def test_fingerprint_tells_purposes_and_bodies_apart(self):
        prints = {
            fingerprint_of("a", b"x"),
            fingerprint_of("b", b"x"),
            fingerprint_of("a", b"y"),
        }
        self.assertEqual(len(prints), 3)
