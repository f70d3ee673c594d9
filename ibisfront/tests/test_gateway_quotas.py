"""Tests of quotas: the limits of workspaces hold over all instances."""

from __future__ import annotations

import unittest
from contextlib import asynccontextmanager

import msgspec
import trio

from ibisfront.core.clock import Clock
from ibisfront.gateway.messages import InboundRequest
from ibisfront.gateway.quotas.quota import QuotaRefusal
from ibisfront.gateway.quotas.quota_bucket import QuotaBucket
from ibisfront.gateway.quotas.quota_messages import (
    QUOTA_TARGET,
    QuotaAsk,
    QuotaReturn,
    decode_grant,
)
from ibisfront.gateway.quotas.quota_owners import OwnerRole
from ibisfront.gateway.quotas.quota_parts import QuotaPart, divide_quota, quota_room
from ibisfront.gateway.settings import Bounds
from ibisfront.testing.quota_cluster import SHEET_BOUNDS, QuotaCluster, workspace
from ibisfront.tests import trio_test

LARGE = workspace("large", 12.0, 18.0)
SMALL = workspace("small", 0.2, 3.0)
WINDOW_MS = SHEET_BOUNDS.quota_window_ms
LEASE_MS = WINDOW_MS / 10.0
HALF = 0.5


@asynccontextmanager
async def cluster(count=64, *, workspaces=(LARGE, SMALL), zones=3, seed=1):
    """Run instances that start for the first time."""
    async with trio.open_nursery() as nursery:
        tier = QuotaCluster(
            clock=Clock(), nursery=nursery, workspaces=workspaces, seed=seed
        )
        tier.start(count, zones=zones)
        yield tier
        nursery.cancel_scope.cancel()


def owners(tier, item, *, zone=None):
    """Return the owners of a workspace, by the list of any instance."""
    node = next(iter(tier.nodes.values()))
    names = [name for group in node.quotas.plan(item).owners for name in group.names]
    return [name for name in names if zone is None or name in tier.zone(zone)]


class QuotaCase(unittest.TestCase):
    """Checks of limits."""

    def assert_within(self, tier, item=LARGE, *, share=HALF, from_ms=0.0):
        """Check that no window used more than a share of the room."""
        self.assertLessEqual(tier.room_used(item.name, from_ms=from_ms), share)

    def assert_used(self, tier, item=LARGE, *, part, seconds):
        """Check that at least a part of the rate was let in recently."""
        since_ms = tier.clock.now_ms() - seconds * 1_000.0
        times = tier.tallies[item.name].let_in_ms
        let_in = sum(at_ms >= since_ms for at_ms in times)
        self.assertGreaterEqual(let_in, part * item.limit_per_s * seconds)


class CalmTest(QuotaCase):
    """Workspaces below their limits."""

    @trio_test
    async def test_requests_below_the_limit_are_let_in(self):
        """Guards against limits divided so finely that calm callers are refused."""
        shares = [(number + 1) ** -1.2 for number in range(74)]
        rates = [24.0 * share / sum(shares) for share in shares]
        items = [
            workspace(f"w{number}", 1.6 * rate, max(3.0, 1.6 * rate))
            for number, rate in enumerate(rates)
        ]
        for count in (3, 64, 300):
            async with cluster(count, workspaces=items) as tier:
                async with trio.open_nursery() as nursery:
                    for item, rate in zip(items, rates, strict=True):
                        nursery.start_soon(send, tier, item, rate, 20_000.0)
                await tier.clock.sleep_ms(1_000.0)
                asked = sum(tally.asked for tally in tier.tallies.values())
                lost = sum(map(lost_below_limit, items, tier.tallies.values()))
                with self.subTest(instances=count):
                    self.assertLessEqual(lost, 0.01 * asked)
                    self.assertLessEqual(tier.messages, 1.5 * asked)
                    for item in items:
                        self.assert_within(tier, item)

    @trio_test
    async def test_many_requests_of_one_instance_need_few_messages(self):
        """Guards against a round trip for each request of a busy workspace."""
        item = workspace("busy", 400.0, 200.0)
        async with cluster(workspaces=[item]) as tier:
            await tier.send_load("busy", 80.0, for_ms=10_000.0, names=["i000"])
            tally = tier.tallies["busy"]
            self.assertEqual(tally.refused_ms, [])
            self.assertLess(tier.messages, 0.4 * tally.asked)

    @trio_test
    async def test_a_raised_limit_applies_at_once(self):
        """Guards against callers refused by a limit that is no longer in force."""
        async with cluster() as tier:
            await tier.send_load("small", 5.0, for_ms=4_000.0)
            tier.set_limit(workspace("small", 20.0, 20.0))
            let_in = len(tier.tallies["small"].let_in_ms)
            await tier.send_load("small", 5.0, for_ms=2_000.0)
            tally = tier.tallies["small"]
            sent = sum(at_ms >= 4_000.0 for at_ms in tally.let_in_ms + tally.refused_ms)
            self.assertGreaterEqual(len(tally.let_in_ms) - let_in, 0.9 * sent)

    @trio_test
    async def test_a_token_that_was_not_used_serves_another_instance(self):
        """Guards against a limit that is used up by requests which did not run."""
        item = workspace("one", 0.01, 1.0)
        async with cluster(3, workspaces=[item]) as tier:
            tickets = []
            while not isinstance(taken := await tier.take("i000", "one"), QuotaRefusal):
                tickets.append(taken)
            self.assertIsInstance(await tier.take("i001", "one"), QuotaRefusal)
            for ticket in tickets:
                ticket.give_back()
                ticket.give_back()
            await tier.clock.sleep_ms(10.0)
            again = 0
            while not isinstance(await tier.take("i002", "one"), QuotaRefusal):
                again += 1
            self.assertEqual(again, len(tickets))


class FloodTest(QuotaCase):
    """One workspace far beyond its limit."""

    @trio_test
    async def test_a_flood_through_all_instances_is_held_to_the_limit(self):
        """Guards against a limit that each instance enforces for itself alone."""
        async with cluster() as tier:
            await tier.send_load("large", 9 * 12.0, for_ms=15_000.0)
            self.assert_within(tier)
            self.assert_used(tier, part=0.95, seconds=10)

    @trio_test
    async def test_a_flood_through_one_instance_may_use_the_whole_limit(self):
        """Guards against a limit that is divided among idle instances."""
        async with cluster() as tier:
            await tier.send_load("large", 60.0, for_ms=15_000.0, names=["i005"])
            self.assert_within(tier)
            self.assert_used(tier, part=0.95, seconds=10)

    @trio_test
    async def test_a_flood_that_moves_between_zones_is_held_to_the_limit(self):
        """Guards against shares that both the former and the new zone use."""
        async with cluster() as tier:
            for zone in ("z0", "z1", "z2", "z0", "z1"):
                names = tier.zone(zone)
                await tier.send_load("large", 60.0, for_ms=2_500.0, names=names)
            self.assert_within(tier)
            self.assert_used(tier, part=0.9, seconds=10)

    @trio_test
    async def test_refused_requests_cost_no_messages(self):
        """Guards against a flood that is passed on to the owners."""
        async with cluster() as tier:
            await tier.send_load("large", 300.0, for_ms=10_000.0, names=["i005"])
            tally = tier.tallies["large"]
            let_in = len(tally.let_in_ms)
            self.assertGreater(len(tally.refused_ms), 15 * let_in)
            self.assertLess(tier.messages, 3 * let_in)

    @trio_test
    async def test_refused_callers_return_one_after_the_other(self):
        """Guards against a herd of callers that are all told the same time."""
        async with cluster() as tier:
            for _ in range(200):
                tier.request("i005", "large")
            await tier.clock.sleep_ms(300.0)
            waits_ms = sorted(tier.tallies["large"].retry_after_ms)
            in_100_ms = max(
                sum(start <= wait < start + 100.0 for wait in waits_ms)
                for start in waits_ms
                if start < 2_000.0
            )
            self.assertLessEqual(in_100_ms, 4)
            self.assertLessEqual(waits_ms[-1], 2 * WINDOW_MS)


class FailureTest(QuotaCase):
    """Instances that die, freeze, or are cut off."""

    @trio_test
    async def test_both_sides_of_a_cut_stay_within_the_limit_together(self):
        """Guards against two owners of the whole limit, one on each side."""
        async with cluster() as tier, trio.open_nursery() as nursery:
            nursery.start_soon(send, tier, LARGE, 100.0, 14_000.0)
            await tier.clock.sleep_ms(4_000.0)
            tier.cut(tier.zone("z0"))
            await tier.clock.sleep_ms(5_000.0)
            tier.heal()
            await tier.clock.sleep_ms(5_500.0)
            self.assert_within(tier)
            self.assert_used(tier, part=0.9, seconds=8)

    @trio_test
    async def test_all_restarted_twice_grant_no_second_burst(self):
        """Guards against each process granting a burst that its predecessor granted."""
        async with cluster() as tier, trio.open_nursery() as nursery:
            for item, rate in ((LARGE, 100.0), (SMALL, 10.0)):
                nursery.start_soon(send, tier, item, rate, 16_000.0)
            await tier.clock.sleep_ms(4_000.0)
            for _ in range(2):
                for name in list(tier.nodes):
                    tier.stop_node(name)
                    tier.start_node(name)
                await tier.clock.sleep_ms(2_000.0)
            await tier.clock.sleep_ms(8_500.0)
            self.assert_within(tier)
            self.assert_within(tier, SMALL)
            self.assert_used(tier, part=0.9, seconds=8)

    @trio_test
    async def test_an_owner_that_wakes_grants_no_more_than_its_part(self):
        """Guards against tokens of an owner that was given up for dead."""
        async with cluster() as tier, trio.open_nursery() as nursery:
            nursery.start_soon(send, tier, LARGE, 60.0, 14_000.0)
            frozen = owners(tier, LARGE)[:2]
            await tier.clock.sleep_ms(3_000.0)
            for name in frozen:
                tier.freeze(name)
            await tier.clock.sleep_ms(4_000.0)
            for name in frozen:
                tier.wake(name)
            await tier.clock.sleep_ms(6_500.0)
            self.assert_within(tier)

    @trio_test
    async def test_lost_owners_take_only_their_parts_with_them(self):
        """Guards against a workspace that is refused because one instance died."""
        async with cluster() as tier:
            for name in owners(tier, LARGE, zone="z0"):
                tier.stop_node(name)
            await tier.send_load("large", 60.0, for_ms=10_000.0)
            self.assert_within(tier)
            self.assert_used(tier, part=0.64, seconds=8)

    @trio_test
    async def test_reserve_owners_serve_when_no_owner_is_left(self):
        """Guards against a small workspace without service after a large loss."""
        async with cluster() as tier:
            for name in owners(tier, SMALL):
                tier.stop_node(name)
            await tier.send_load("small", 0.2, for_ms=60_000.0)
            self.assert_within(tier, SMALL)
            self.assertLess(tier.tallies["small"].refused_share(), 0.25)

    @trio_test
    async def test_an_instance_that_is_listed_late_grants_nothing_until_it_is_known(
        self,
    ):
        """Guards against two owners while lists of instances differ."""
        item = workspace("middle", 7.0, 5.0)
        async with (
            cluster(12, workspaces=[item]) as tier,
            trio.open_nursery() as nursery,
        ):
            nursery.start_soon(send, tier, item, 60.0, 22_000.0)
            late = owners(tier, item)[:2]
            others = [name for name in tier.nodes if name not in late]
            for name in late:
                tier.stop_node(name)
            for name in others:
                tier.list_instances(name, others)
            await tier.clock.sleep_ms(8_000.0)
            for name in late:
                node = tier.start_node(name)
                node.quotas.hold_until(tier.clock.now_ms() + 8_000.0)
                self.assertIs(node.quotas.plan(item).role, OwnerRole.OWNER)
            for name in others:
                await tier.clock.sleep_ms(700.0)
                tier.list_instances(name, [*others, *late])
            await tier.clock.sleep_ms(6_000.0)
            self.assert_within(tier, item, from_ms=6_000.0)

    @trio_test
    async def test_a_short_list_after_a_restart_gives_no_more_than_a_part(self):
        """Guards against a whole limit for each instance that knows no other."""
        async with cluster(3, workspaces=[LARGE]) as tier:
            await tier.clock.sleep_ms(6_000.0)
            for name in list(tier.nodes):
                tier.stop_node(name)
                tier.start_node(name, listed=[name])
            await tier.send_load("large", 100.0, for_ms=3_000.0)
            for name in tier.nodes:
                tier.list_instances(name, tier.entry_names())
            await tier.send_load("large", 100.0, for_ms=6_000.0)
            self.assert_within(tier)

    @trio_test
    async def test_a_lower_limit_binds_one_window_later(self):
        """Guards against tokens that were saved under the former limit."""
        async with cluster() as tier:
            await tier.clock.sleep_ms(4_000.0)
            for name in tier.nodes:
                await tier.take(name, "large")
            await tier.clock.sleep_ms(3_000.0)
            tier.set_limit(workspace("large", 3.0, 3.0))
            lowered_at_ms = tier.clock.now_ms()
            await tier.send_load("large", 100.0, for_ms=8_000.0)
            self.assert_within(tier, from_ms=lowered_at_ms)

    @trio_test
    async def test_a_borrower_that_wakes_uses_no_expired_token(self):
        """Guards against tokens that their owner has granted to others since."""
        async with cluster() as tier:
            name = next(name for name in tier.nodes if name not in owners(tier, LARGE))
            node = tier.nodes[name]
            tier.request(name, "large")
            await tier.clock.sleep_ms(0.1)
            tier.freeze(name)
            await tier.clock.sleep_ms(2_000.0)
            tier.wake(name)
            await tier.clock.sleep_ms(1.0)
            self.assertEqual(gauge(node, "quota_tokens_held"), 0)

    @trio_test
    async def test_without_any_owner_the_caller_is_refused_in_time(self):
        """Guards against a caller that waits for its deadline."""
        async with cluster() as tier:
            tier.cut(["i000"])
            item = workspace("large", 12.0, 18.0)
            started_ms = tier.clock.now_ms()
            node = tier.nodes["i000"]
            for _ in range(30):
                taken = await node.quotas.take(item, tier.clock.now_ms() + 300.0)
            self.assertIsInstance(taken, QuotaRefusal)
            self.assertLess(tier.clock.now_ms() - started_ms, 300.0)


class BucketTest(unittest.TestCase):
    """One owner's part."""

    def bucket(self, *, since_ms=-1e9, rate_per_s=1.0, capacity=4.0):
        """Return a bucket."""
        return QuotaBucket(
            QuotaPart(rate_per_s, capacity, 1.0),
            window_ms=WINDOW_MS,
            lease_ms=LEASE_MS,
            since_ms=since_ms,
            now_ms=0.0,
        )

    def drain(self, bucket, now_ms):
        """Take all that there is; return the loans."""
        loans = []
        while (loan := bucket.take(1, now_ms))[1]:
            loans.append(loan[0])
        return loans

    def test_a_returned_token_is_granted_again_once(self):
        """Guards against a repeated return that grants two requests."""
        bucket = self.bucket()
        loans = self.drain(bucket, 0.0)
        self.assertEqual(len(loans), 4)
        self.assertTrue(bucket.give_back(loans[0], 0, 100.0))
        self.assertFalse(bucket.give_back(loans[0], 0, 101.0))
        self.assertFalse(bucket.give_back(loans[1], 1, 101.0))
        self.assertFalse(bucket.give_back(loans[1], 0, LEASE_MS))
        self.assertEqual(len(self.drain(bucket, 200.0)), 1)

    def test_lent_tokens_leave_no_room_for_new_ones(self):
        """Guards against a burst of lent and of saved tokens at the same time."""
        bucket = self.bucket(rate_per_s=100.0)
        bucket.take(1, 0.0)
        self.assertEqual(len(self.drain(bucket, LEASE_MS - 1.0)), 3)

    def test_a_new_process_starts_almost_empty_and_is_full_one_window_later(self):
        """Guards against calm workspaces refused long after a restart."""
        bucket = self.bucket(since_ms=0.0, rate_per_s=0.1, capacity=4.0)
        self.assertEqual(len(self.drain(bucket, 0.0)), 1)
        self.assertAlmostEqual(bucket.due_ms(0.0), WINDOW_MS)
        self.assertEqual(len(self.drain(bucket, WINDOW_MS)), 3)


class DivisionTest(unittest.TestCase):
    """Parts of a limit."""

    def test_parts_and_start_tokens_stay_within_half_the_room(self):
        """Guards against parts that add up to more than the limit allows."""
        for rate_per_s, burst in ((0.05, 0.0), (0.2, 3.0), (12.0, 18.0), (200.0, 0.0)):
            item = workspace("w", rate_per_s, burst)
            for zones, smallest in ((1, 1), (3, 1), (3, 21), (7, 100)):
                division = divide_quota(
                    item, SHEET_BOUNDS, zones=zones, smallest_zone=smallest
                )
                parts = division.zones * division.owners_per_zone
                part = division.part
                saved = parts * (part.capacity + 2 * part.start_tokens)
                rate = parts * part.rate_per_s
                whole = rate_per_s * 5.0 + burst
                room = quota_room(item, SHEET_BOUNDS)
                self.assertLessEqual(saved + rate * 5.0, whole + HALF * room + 1e-9)
                self.assertGreaterEqual(rate, rate_per_s - 1e-9)
                self.assertGreaterEqual(part.capacity, 1.0)

    def test_without_room_one_owner_has_the_whole_limit(self):
        """Guards against parts of less than one request, which grant none."""
        item = workspace("w", 0.5, 1.0)
        division = divide_quota(item, Bounds(), zones=3, smallest_zone=20)
        self.assertEqual((division.zones, division.owners_per_zone), (1, 1))
        self.assertIsNone(division.reserve)


class MessageTest(unittest.TestCase):
    """Messages on the wire."""

    @trio_test
    async def test_messages_are_answered_and_others_left_alone(self):
        """Guards against a message that is taken for a query, or the other way."""
        async with cluster(3) as tier:
            quotas = tier.nodes["i000"].quotas
            ask = QuotaAsk("small", 1, QuotaReturn(1, 1, 0))
            reply = quotas.answer(request(QUOTA_TARGET, msgspec.msgpack.encode(ask)))
            self.assertEqual(decode_grant(reply.body).tokens, 1)
            unreadable = quotas.answer(request(QUOTA_TARGET, b"\xc1"))
            self.assertFalse(decode_grant(unreadable.body).is_owner)
            self.assertIsNone(quotas.answer(request(b"/search", b"")))
            self.assertIsNone(decode_grant(b"\xc1"))


def gauge(node, name):
    """Return the value of an instance's gauge."""
    return next(item.value for item in node.quotas.gauges() if item.name == name)


async def send(tier, item, rate_per_s, for_ms):
    """Send a workspace's requests to all instances."""
    await tier.send_load(item.name, rate_per_s, for_ms=for_ms)


def lost_below_limit(item, tally):
    """Return how many more were refused than one bucket of the limit would refuse."""
    tokens, refused, last_ms = item.limit_burst, 0, 0.0
    for at_ms in sorted(tally.let_in_ms + tally.refused_ms):
        gained = (at_ms - last_ms) / 1_000.0 * item.limit_per_s
        tokens, last_ms = min(tokens + gained, item.limit_burst), at_ms
        if tokens >= 1.0:
            tokens -= 1.0
        else:
            refused += 1
    return max(len(tally.refused_ms) - refused, 0)


def request(target, body):
    """Return a message of another instance."""
    return InboundRequest(
        method=b"POST",
        target=target,
        host="i000",
        request_id="r1",
        deadline_ms=None,
        headers=[],
        body=body,
        arrived_at_ms=0.0,
    )
