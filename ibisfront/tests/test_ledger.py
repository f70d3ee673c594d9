"""Tests of the ledger in one process, under the mock clock."""

from __future__ import annotations

import functools
import unittest

import msgspec
import trio
import trio.testing

from ibisfront.core.attempts import Attempt
from ibisfront.core.claim import AttemptId, ClaimRecord, ClaimState
from ibisfront.core.claimed_run import ClaimedRun, run_claimed
from ibisfront.core.coverage import MissingReason
from ibisfront.core.errors import IbisfrontError, Ran
from ibisfront.core.idempotency_key import make_key, parse_key
from ibisfront.core.ledger_bucket import (
    OBJECT_CLAIM_LIMIT_BYTES,
    OBJECT_RESULT_LIMIT_BYTES,
    RING_SLOTS,
    SLOT_MS,
    Bucket,
    Change,
    plan_changes,
)
from ibisfront.core.query import SubRequestError
from ibisfront.testing.backend_types import BackendFaults
from ibisfront.testing.ledger_simulation import (
    WALL_START_MS,
    LedgerSimulation,
    first_bucket_key,
)
from ibisfront.testing.platform_types import Outage, PlatformFaults

KEY = first_bucket_key(0, wall_ms=WALL_START_MS)
PLENTY_MS = 5_000.0


def simulation_test(test):
    """Run a test with a simulation of three instances, under the mock clock."""

    @functools.wraps(test)
    def run(self):
        async def main():
            async with trio.open_nursery() as nursery:
                simulation = LedgerSimulation(nursery, seed=6)
                await simulation.clock.sleep_ms(1.0)
                await test(self, simulation)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.0))

    return run


class LedgerTest(unittest.TestCase):
    """Claims, copies of requests and rejections."""

    @simulation_test
    async def test_one_write_claims_all_that_arrived_meanwhile(self, simulation):
        simulation.platform.set_faults(PlatformFaults(slow_ms=40.0))
        for number in range(50):
            key = first_bucket_key(number, wall_ms=WALL_START_MS)
            simulation.send_copy(0, key, deadline_ms=PLENTY_MS)
        await simulation.clock.sleep_ms(PLENTY_MS)
        ran = {copy.ran for copy in simulation.copies}
        self.assertEqual(ran, {Ran.YES})
        self.assertLess(simulation.platform.state().writes.total, 20)

    @simulation_test
    async def test_a_copy_elsewhere_waits_for_the_first_ones_answer(self, simulation):
        for backend in simulation.backends.values():
            backend.set_faults(
                BackendFaults(straggle_fraction=1.0, straggle_factor=200.0)
            )
        first = simulation.send_copy(0, KEY, deadline_ms=PLENTY_MS)
        await simulation.clock.sleep_ms(300.0)
        second = simulation.send_copy(1, KEY, deadline_ms=PLENTY_MS)
        await simulation.clock.sleep_ms(PLENTY_MS)
        self.assertEqual((first.ran, second.ran), (Ran.YES, Ran.YES))
        self.assertEqual(first.result, second.result)
        self.assertEqual(simulation.runs_of_key(KEY), 1)

    @simulation_test
    async def test_the_same_key_with_another_body_is_refused(self, simulation):
        simulation.send_copy(0, KEY, deadline_ms=PLENTY_MS)
        await simulation.clock.sleep_ms(PLENTY_MS)
        body = {"key": KEY, "other": 1}
        for number in (0, 1):
            copy = simulation.send_copy(number, KEY, deadline_ms=PLENTY_MS, body=body)
            await simulation.clock.sleep_ms(PLENTY_MS)
            self.assertEqual((copy.code, copy.ran), ("key_reused", Ran.NO))

    @simulation_test
    async def test_an_outage_is_answered_at_once(self, simulation):
        """Every request of a partitioned zone waits for its whole deadline.

        The platform is unavailable, so that no claim can be written. Each
        caller waits seconds for an error that could have been sent at once.
        """
        simulation.platform.set_faults(PlatformFaults(outage=Outage.REFUSE))
        simulation.send_copy(0, KEY, deadline_ms=PLENTY_MS)
        await simulation.clock.sleep_ms(PLENTY_MS)
        copy = simulation.send_copy(0, KEY, deadline_ms=PLENTY_MS)
        await simulation.clock.sleep_ms(1.0)
        self.assertEqual((copy.code, copy.ran), ("claim_unavailable", Ran.NO))
        simulation.platform.set_faults(PlatformFaults())
        await simulation.clock.sleep_ms(20_000.0)
        copy = simulation.send_copy(0, KEY, deadline_ms=PLENTY_MS)
        await simulation.clock.sleep_ms(PLENTY_MS)
        self.assertEqual(copy.ran, Ran.YES)

    @simulation_test
    async def test_a_request_is_not_run_if_its_caller_disconnects_before_the_send(
        self, simulation
    ):
        simulation.connect_ms = 300.0
        first = simulation.send_copy(0, KEY, deadline_ms=PLENTY_MS)
        await simulation.clock.sleep_ms(200.0)
        simulation.disconnect(first)
        await simulation.clock.sleep_ms(PLENTY_MS)
        self.assertEqual(simulation.runs_of_key(KEY), 0)
        simulation.connect_ms = 0.0
        second = simulation.send_copy(1, KEY, deadline_ms=PLENTY_MS)
        await simulation.clock.sleep_ms(PLENTY_MS)
        self.assertEqual(second.ran, Ran.YES)

    @simulation_test
    async def test_an_outcome_is_kept_if_its_caller_disconnects_after_the_send(
        self, simulation
    ):
        for backend in simulation.backends.values():
            backend.set_faults(
                BackendFaults(late_answer_fraction=1.0, late_answer_ms=1_500.0)
            )
        first = simulation.send_copy(0, KEY, deadline_ms=PLENTY_MS)
        await simulation.clock.sleep_ms(1_000.0)
        self.assertEqual(simulation.runs_of_key(KEY), 1)
        simulation.disconnect(first)
        second = simulation.send_copy(2, KEY, deadline_ms=PLENTY_MS)
        await simulation.clock.sleep_ms(PLENTY_MS)
        self.assertEqual(second.ran, Ran.YES)
        self.assertEqual(simulation.runs_of_key(KEY), 1)

    @simulation_test
    async def test_a_request_rejected_by_every_server_may_run_later(self, simulation):
        for backend in simulation.backends.values():
            backend.set_faults(BackendFaults(shedding=True))
        first = simulation.send_copy(0, KEY, deadline_ms=PLENTY_MS)
        await simulation.clock.sleep_ms(PLENTY_MS)
        self.assertEqual((first.code, first.ran), ("backend_refused", Ran.NO))
        for backend in simulation.backends.values():
            backend.set_faults(BackendFaults())
        second = simulation.send_copy(1, KEY, deadline_ms=PLENTY_MS)
        await simulation.clock.sleep_ms(PLENTY_MS)
        self.assertEqual(second.ran, Ran.YES)
        self.assertEqual(simulation.runs_of_copy(first), 0)

    @simulation_test
    async def test_a_server_error_is_yes_only_if_the_server_reported_it(
        self, simulation
    ):
        """A caller gets "ran and failed" for an envelope that was not printed.

        An intermediary in front of the print queue answers 502 in its place.
        Only the 500 of the server itself states that it ran the request.
        """
        for backend in simulation.backends.values():
            backend.set_faults(BackendFaults(fail_fraction=1.0))
        failed = simulation.send_copy(0, KEY, deadline_ms=PLENTY_MS)
        await simulation.clock.sleep_ms(PLENTY_MS)
        self.assertEqual((failed.code, failed.ran), ("backend_failed", Ran.YES))
        copy = simulation.send_copy(1, KEY, deadline_ms=PLENTY_MS)
        await simulation.clock.sleep_ms(PLENTY_MS)
        self.assertEqual((copy.code, copy.ran), ("backend_failed", Ran.YES))
        self.assertEqual(simulation.runs_of_key(KEY), 1)
        attempt = PlanChangesTest().attempt(5, 1)

        async def answer_502(run):
            run.start_send()
            raise SubRequestError(MissingReason.SERVER_ERROR, not_run=False)

        attempt.deadline_at_ms = simulation.clock.now_ms() + PLENTY_MS
        run = ClaimedRun(None, None, attempt=attempt, clock=simulation.clock)
        record = await run_claimed(run, answer_502, simulation.clock)
        self.assertEqual(record.state, ClaimState.UNKNOWN)

    @simulation_test
    async def test_a_claim_of_a_dead_process_is_maybe(self, simulation):
        """An envelope is printed twice after an instance was replaced.

        The instance was killed after its claim, perhaps after its send. The
        new process of that name answers for it and has no record of the send.
        """
        simulation.connect_ms = 450.0
        simulation.send_copy(0, KEY, deadline_ms=PLENTY_MS)
        await simulation.clock.sleep_ms(250.0)
        simulation.restart(0)
        simulation.connect_ms = 0.0
        copies = [
            simulation.send_copy(number, KEY, deadline_ms=1_000.0) for number in (0, 1)
        ]
        await simulation.clock.sleep_ms(PLENTY_MS)
        for copy in copies:
            self.assertEqual((copy.code, copy.ran), ("outcome_unknown", Ran.MAYBE))
        self.assertEqual(simulation.runs_of_key(KEY), 0)

    @simulation_test
    async def test_the_status_of_an_unknown_key_is_no_promise(self, simulation):
        """An envelope is printed after a status of "not run".

        A caller gave up and requests the status of its key. The copy that it
        sent is still in transit to another instance and runs a moment later.
        """
        with self.assertRaises(IbisfrontError) as caught:
            await simulation.nodes[0].ledger.outcome(KEY)
        self.assertEqual(caught.exception.ran, Ran.MAYBE)
        copy = simulation.send_copy(1, KEY, deadline_ms=PLENTY_MS)
        await simulation.clock.sleep_ms(PLENTY_MS)
        self.assertEqual(copy.ran, Ran.YES)
        answer = await simulation.nodes[2].ledger.outcome(KEY)
        self.assertEqual(bytes(answer.result_json).decode(), copy.result)

    @simulation_test
    async def test_a_leaving_instance_writes_its_outcomes_first(self, simulation):
        """After a planned stop a request that ran is reported as "maybe".

        Its outcome was still waiting for a claim to share a write with when
        the instance left.
        """
        first = simulation.send_copy(0, KEY, deadline_ms=PLENTY_MS)
        while first.ran is None:
            await simulation.clock.sleep_ms(1.0)
        await simulation.nodes[0].ledger.flush()
        simulation.restart(0)
        second = simulation.send_copy(1, KEY, deadline_ms=PLENTY_MS)
        await simulation.clock.sleep_ms(PLENTY_MS)
        self.assertEqual((second.ran, second.result), (Ran.YES, first.result))

    @simulation_test
    async def test_a_repeated_claim_during_the_delay_before_a_write(self, simulation):
        """An instance ends with AttributeError under contention.

        Two instances conflict on an object, so that writes are delayed. During
        the delay a second copy requests a fresh read, which drops the view of
        the object that the delayed write was about to use.
        """
        for number in range(12):
            key = first_bucket_key(number % 4, wall_ms=WALL_START_MS)
            simulation.send_copy(number % 3, key, deadline_ms=PLENTY_MS)
            await simulation.clock.sleep_ms(20.0)
        await simulation.clock.sleep_ms(PLENTY_MS)
        self.assertEqual({copy.ran for copy in simulation.copies}, {Ran.YES})


class PlanChangesTest(unittest.TestCase):
    """Changes of one object of the ledger."""

    def attempt(self, slot, number):
        key = parse_key(make_key(wall_ms=slot * SLOT_MS, random_bits=number))
        attempt_id = AttemptId("i1", "p1", number)
        return Attempt(attempt_id, key, fingerprint="f", deadline_at_ms=0.0)

    def claim(self, attempt):
        return Change(
            attempt.key,
            lambda found: found or attempt.claim_record(),
            lambda result: None,
            lambda: False,
        )

    def test_an_older_key_is_rejected_in_the_write_that_clears_its_slot(self):
        """Two keys a whole ring apart are claimed in one write.

        The claim of the older one is reported as in force, although the newer
        one cleared its slot in the same write; its next copy runs again.
        """
        older, newer = self.attempt(5, 1), self.attempt(5 + RING_SLOTS, 2)
        changes = [self.claim(older), self.claim(newer)]
        plan = plan_changes(Bucket(5), changes, size_bytes=0)
        self.assertTrue(plan.results[0].expired)
        self.assertEqual(set(plan.bucket.records), {newer.key.text})
        again = plan_changes(plan.bucket, [self.claim(older)], size_bytes=0)
        self.assertTrue(again.results[0].expired)
        self.assertIsNone(again.value_json)

    def test_a_full_object_accepts_outcomes_but_no_claims(self):
        existing, new = self.attempt(5, 1), self.attempt(5, 2)
        bucket = Bucket(5, {existing.key.text: existing.claim_record()})
        ran = existing.claim_record(ClaimState.RAN)
        ran = msgspec.structs.replace(ran, result_json="1")
        outcome = Change(
            existing.key, lambda found: ran, lambda result: None, lambda: False
        )
        changes = [self.claim(new), outcome]
        full = plan_changes(bucket, changes, size_bytes=OBJECT_CLAIM_LIMIT_BYTES)
        self.assertTrue(full.results[0].full)
        self.assertEqual(full.bucket.records[existing.key.text].state, ClaimState.RAN)
        large = plan_changes(bucket, [outcome], size_bytes=OBJECT_RESULT_LIMIT_BYTES)
        self.assertIsNone(large.bucket.records[existing.key.text].result_json)

    def test_a_record_is_unchanged_by_a_round_trip(self):
        record = ClaimRecord(
            "f", AttemptId("i1", "p1", 1), ClaimState.RAN, "", '{"a":["ð"]}'
        )
        bucket = Bucket(5, {"k": record})
        encoded = msgspec.json.encode(bucket)
        self.assertEqual(msgspec.json.decode(encoded, type=Bucket), bucket)
