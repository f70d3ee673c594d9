"""Tests of the trials of suspected requests, granted by the store, in mock time."""

from __future__ import annotations

import math
import unittest

import trio

from ibisfront.core.clock import Clock
from ibisfront.core.counters import Counters
from ibisfront.gateway.instances.suspect_records import ClaimOutcome, SuspectRecords
from ibisfront.gateway.load.crash_suspects import MAX_TRIALS, FailedRuns
from ibisfront.gateway.state.store_answers import decode
from ibisfront.testing.gateway_fixture import forward_route, gather_route
from ibisfront.testing.memory_objects import MemoryObjects
from ibisfront.testing.two_zones import TwoZones
from ibisfront.tests import trio_test

SUSPECT = FailedRuns("f", {"r1": 3})


def records_of(objects):
    """Return the records that one instance keeps in a store."""
    return SuspectRecords(objects, clock=Clock(), counters=Counters())


async def claim(objects, known=SUSPECT, timeout_ms=100.0):
    """Claim a trial as a new instance."""
    return await records_of(objects).claim_trial(known, timeout_ms=timeout_ms)


class ClaimTest(unittest.TestCase):
    """Each trial is granted to one instance."""

    @trio_test
    async def test_instances_that_claim_together_get_one_trial(self):
        """Guards against several instances that each try a request."""
        objects = MemoryObjects()
        for known in (SUSPECT, FailedRuns("f", {"r1": 3}, trials=1)):
            outcomes = []

            async def claim_one(known=known, outcomes=outcomes):
                outcomes.append((await claim(objects, known)).outcome)

            async with trio.open_nursery() as nursery:
                for _ in range(9):
                    nursery.start_soon(claim_one)
            self.assertEqual(outcomes.count(ClaimOutcome.GRANTED), 1)
            self.assertEqual(outcomes.count(ClaimOutcome.TAKEN), 8)

    @trio_test
    async def test_instance_that_knows_of_no_trial_gets_none(self):
        """Guards against a trial for each instance that missed a report."""
        objects = MemoryObjects()
        await claim(objects)
        answer = await claim(objects)
        self.assertIs(answer.outcome, ClaimOutcome.TAKEN)
        self.assertEqual(answer.record.trials, 1)

    @trio_test
    async def test_trials_are_limited_for_good(self):
        objects = MemoryObjects()
        known = SUSPECT
        for _ in range(MAX_TRIALS):
            known = (await claim(objects, known)).record
        self.assertIs((await claim(objects, known)).outcome, ClaimOutcome.EXHAUSTED)

    @trio_test
    async def test_operator_lifts_the_limit_by_removing_the_record(self):
        objects = MemoryObjects()
        known = FailedRuns("f", {"r1": 3}, trials=MAX_TRIALS)
        self.assertIs((await claim(objects, known)).outcome, ClaimOutcome.LIFTED)

    @trio_test
    async def test_store_that_came_back_from_an_older_copy_grants_no_more(self):
        """Guards against trials that the store has lost and grants again."""
        objects = MemoryObjects()
        await claim(objects)
        known = FailedRuns("f", {"r1": 3}, trials=MAX_TRIALS)
        self.assertIs((await claim(objects, known)).outcome, ClaimOutcome.EXHAUSTED)

    @trio_test
    async def test_slow_store_does_not_grant_a_trial_that_comes_too_late(self):
        """Guards against trials that are used up while nobody waits for them."""
        objects = MemoryObjects()
        first = await claim(objects)
        objects.latency_ms = 80.0
        answer = await claim(objects, first.record)
        self.assertIs(answer.outcome, ClaimOutcome.UNAVAILABLE)
        objects.latency_ms = 4.0
        self.assertIs((await claim(objects)).record.trials, 1)

    @trio_test
    async def test_writes_are_retried_after_an_outage(self):
        objects = MemoryObjects()
        records = records_of(objects)
        objects.is_available = False
        async with trio.open_nursery() as nursery:
            nursery.start_soon(records.run)
            records.save(SUSPECT)
            await trio.sleep(10.0)
            self.assertEqual(objects.names, [])
            objects.is_available = True
            await trio.sleep(5.0)
            self.assertEqual(objects.names, ["f"])
            records.forget("f")
            await trio.sleep(1.0)
            self.assertEqual(objects.names, [])
            nursery.cancel_scope.cancel()

    @trio_test
    async def test_unused_trial_is_given_back(self):
        """Guards against trials used up while the servers are away."""
        objects = MemoryObjects()
        records = records_of(objects)
        known = SUSPECT
        async with trio.open_nursery() as nursery:
            nursery.start_soon(records.run)
            for unused in range(1, 6):
                answer = await records.claim_trial(known, timeout_ms=100.0)
                self.assertIs(answer.outcome, ClaimOutcome.GRANTED)
                trials = answer.record.trials
                known = FailedRuns("f", {"r1": 3}, 0, trials, unused)
                records.give_back(known)
                await trio.sleep(1.0)
            nursery.cancel_scope.cancel()


class SoundRequestTest(unittest.TestCase):
    """A sound request that ran beside one that crashes servers."""

    def setUp(self):
        self.zones = TwoZones(gather_route(6))

    def reports(self, zone):
        return self.zones.crash_reports(zone)

    async def lose(self, run, *, servers=6):
        """Record a run that lost servers, and let all instances know."""
        request = self.zones.request("/search/a")
        request.request_id = run
        self.reports("z0").record_run(
            request, may_have_run=True, is_survived=False, servers_lost=servers
        )
        await trio.sleep(0.1)

    async def answered_after_ms(self, zone="z1"):
        """Return after how long a request that is retried is answered."""
        started_ms = self.zones.clock.now_ms()
        for _ in range(1_000):
            if (await self.zones.send_request(zone)).status == 200:
                break
            await trio.sleep(0.05)
        return self.zones.clock.now_ms() - started_ms

    @trio_test
    async def test_request_that_lost_servers_in_one_run_is_answered_at_once(self):
        """Guards against sound requests refused after an outage of all servers."""
        async with self.zones.running():
            await self.lose("r1")
            self.assertLess(await self.answered_after_ms(), 100.0)
            await trio.sleep(0.05)
            self.assertEqual((await self.zones.send_request("z0")).reason, "whole")
            await trio.sleep(1.0)
        self.assertEqual(self.zones.records.names, [])

    @trio_test
    async def test_request_that_lost_servers_in_two_runs_is_soon_answered(self):
        async with self.zones.running():
            await self.lose("r1")
            await self.lose("r2")
            self.assertLess(await self.answered_after_ms(), 2_500.0)

    @trio_test
    async def test_request_is_answered_while_the_store_is_away(self):
        """Guards against sound requests that need the store to be served."""
        async with self.zones.running():
            self.zones.records.is_available = False
            await self.lose("r1")
            self.assertLess(await self.answered_after_ms(), 300.0)

    @trio_test
    async def test_trial_reaches_one_server_before_the_others(self):
        """Guards against a trial that costs a server of each service."""
        zones = self.zones
        zones.crash_on("/search/a")
        async with zones.running():
            await self.lose("r1")
            await zones.send_request("z1")
            self.assertEqual(len(zones.received), 1)

    @trio_test
    async def test_trial_goes_on_past_servers_that_fail(self):
        """Guards against a sound request refused for good by failing servers."""
        async with self.zones.running():
            await self.lose("r1")
            for service in range(5):
                self.zones.fail(f"part-{service}")
            await self.zones.send_request("z1")
            self.assertFalse(self.reports("z1").is_suspected(self.request()))

    @trio_test
    async def test_instance_that_missed_an_answer_goes_on_refusing(self):
        """Guards against answers that another instance saw and told only once."""
        async with self.zones.running():
            await self.lose("r1")
            self.zones.frozen = True
            self.assertLess(await self.answered_after_ms("z0"), 100.0)
            await trio.sleep(1.0)
            self.zones.frozen = False
            await trio.sleep(2.0)
            self.assertFalse(self.reports("z1").is_suspected(self.request()))

    @trio_test
    async def test_answer_that_another_instance_saw_clears_the_record(self):
        """Guards against a record that stays after a trial was answered."""
        zones = self.zones
        async with zones.running():
            self.reports("z1").record_run(
                self.request(), may_have_run=True, is_survived=True, servers_lost=0
            )
            await self.lose("r1")
            await trio.sleep(1.0)
            self.assertFalse(self.reports("z0").is_suspected(self.request()))
            self.assertEqual(zones.records.names, [])

    @trio_test
    async def test_request_is_served_again_after_servers_that_rejected_its_trials(self):
        """Guards against trials used up by servers that reject all requests."""
        zones = self.zones
        async with zones.running():
            await self.lose("r1")
            await self.lose("r2")
            zones.reject_everywhere()
            for number in range(60):
                await zones.send_request(f"z{number % 2}")
                await trio.sleep(0.25)
            zones.accept_everywhere()
            self.assertLess(await self.answered_after_ms(), 10_000.0)

    @trio_test
    async def test_request_is_served_again_after_servers_that_hung_in_its_trials(self):
        """Guards against trials used up by servers that hang."""
        zones = self.zones
        async with zones.running():
            await self.lose("r1")
            for zone in ("z0", "z1"):
                zones.set_latency(zone, math.inf)
            for _ in range(20):
                await zones.send_request("z1")
                await trio.sleep(0.25)
            for zone in ("z0", "z1"):
                zones.set_latency(zone, 10.0)
            self.assertLess(await self.answered_after_ms("z0"), 12_000.0)

    def request(self):
        return self.zones.request("/search/a")

    @trio_test
    async def test_trial_that_reaches_no_server_is_not_used_up(self):
        """Guards against a sound request refused for good after an outage."""
        zones = self.zones
        async with zones.running():
            await self.lose("r1")
            for zone in ("z0", "z1"):
                zones.partition(zone)
            for _ in range(8):
                await zones.send_request("z1")
                await trio.sleep(0.5)
            (name,) = zones.records.names
            record = await zones.records.read(name)
            self.assertTrue(decode(record.spec, FailedRuns).has_trials_left)


class ForwardedTrialTest(unittest.TestCase):
    """Trials of requests that one server answers."""

    @trio_test
    async def test_trial_is_not_sent_to_a_second_server(self):
        """Guards against hedges and retries of a trial."""
        zones = TwoZones(forward_route())
        zones.crash_on("/fetch/a")
        async with zones.running():
            request = zones.request("/fetch/a")
            request.request_id = "r1"
            zones.crash_reports("z0").record_run(
                request, may_have_run=True, is_survived=False, servers_lost=3
            )
            await zones.gateways["z0"].answer(zones.request("/fetch/a"))
            self.assertEqual(len(zones.received), 1)
