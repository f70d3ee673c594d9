"""Tests of admission: which requests start, are refused or time out."""

from __future__ import annotations

import unittest

import trio

from ibisfront.core.admission import Admission
from ibisfront.core.clock import Clock
from ibisfront.core.counters import CounterKind, Counters
from ibisfront.core.errors import ErrorKind, IbisfrontError, Ran
from ibisfront.core.members import Member, Members
from ibisfront.core.share_messages import ShareTimes
from ibisfront.core.shares import Shares
from ibisfront.core.table import Purpose, Row
from ibisfront.tests import trio_test

BULK = Purpose("bulk", "search", index="register")
DESK = Purpose("desk", "search", index="register", urgent=True)
RUN_MS = 20.0


class Caller:
    """Sends requests and records the outcome of each."""

    def __init__(self, admission, clock):
        self.admission = admission
        self.clock = clock
        self.waits_ms = []
        self.errors = []

    async def send(self, branch, purpose, *, budget_ms=1000.0, run_ms=RUN_MS):
        """Send one request and hold its slot while it runs."""
        row = Row(branch, purpose.name, limit_per_s=1e6, max_in_flight=10_000)
        sent_ms = self.clock.now_ms()
        try:
            async with self.admission.admit(
                row, purpose, deadline_at_ms=sent_ms + budget_ms
            ):
                self.waits_ms.append(self.clock.now_ms() - sent_ms)
                await self.clock.sleep_ms(run_ms)
        except IbisfrontError as error:
            error.after_ms = self.clock.now_ms() - sent_ms
            self.errors.append(error)


def single_instance_admission(counters):
    """Return the admission of a tier with a single instance."""
    clock = Clock()
    shares = Shares(
        members=Members(Member("i1", "z1", "", "")),
        clock=clock,
        counters=counters,
        find_table=lambda: None,
        times=ShareTimes(join_ms=0.0),
    )
    return Admission(clock=clock, counters=counters, shares=shares)


def new_caller():
    """Return a caller of a new admission with a known request duration."""
    clock = Clock()
    admission = single_instance_admission(Counters())
    admission.group(BULK).limit.duration_ms = RUN_MS
    return Caller(admission, clock)


class AdmissionTest(unittest.TestCase):
    """Refusals are immediate, and slots do not leak."""

    @trio_test
    async def test_urgent_request_gets_a_slot_while_bulk_fills_all(self):
        """An urgent request must not wait behind the bulk of another branch.

        With one FIFO queue for a fixed number of slots, a name check waits for
        the 300 bulk searches that another branch sent before it.
        """
        caller = new_caller()
        async with trio.open_nursery() as nursery:
            for _ in range(300):
                nursery.start_soon(caller.send, "flood", BULK)
            await caller.clock.sleep_ms(5)
            desk = Caller(caller.admission, caller.clock)
            await desk.send("vestry", DESK)
            nursery.cancel_scope.cancel()
        self.assertEqual(desk.waits_ms, [0.0])

    @trio_test
    async def test_request_that_would_miss_its_deadline_is_refused_at_once(self):
        """A request that cannot start before its deadline is refused on arrival.

        Unless the wait is estimated on arrival, a caller waits until its deadline,
        two seconds for instance, when the queue holds more work than drains before.
        """
        caller = new_caller()
        async with trio.open_nursery() as nursery:
            for _ in range(200):
                nursery.start_soon(caller.send, "vestry", BULK)
            await caller.clock.sleep_ms(5)
            late = Caller(caller.admission, caller.clock)
            await late.send("vestry", BULK, budget_ms=100)
            nursery.cancel_scope.cancel()
        (error,) = late.errors
        self.assertIs(error.kind, ErrorKind.DEADLINE_TOO_SHORT)
        self.assertIs(error.ran, Ran.NO)
        self.assertEqual(error.after_ms, 0.0)
        self.assertGreater(error.retry_after_ms, 100)

    @trio_test
    async def test_request_that_times_out_in_the_queue_is_refused_then(self):
        caller = new_caller()
        async with trio.open_nursery() as nursery:
            for _ in range(18):
                nursery.start_soon(
                    lambda: caller.send("vestry", BULK, run_ms=10_000, budget_ms=60_000)
                )
            await caller.clock.sleep_ms(5)
            late = Caller(caller.admission, caller.clock)
            await late.send("vestry", BULK, budget_ms=100)
            nursery.cancel_scope.cancel()
        (error,) = late.errors
        self.assertIs(error.kind, ErrorKind.DEADLINE_TOO_SHORT)
        self.assertAlmostEqual(error.after_ms, 100 - RUN_MS, places=3)

    @trio_test
    async def test_cancelled_requests_return_their_slots(self):
        """Disconnecting callers must not leak slots or queue entries.

        If waiting or running requests do not return them when cancelled, every
        later request is refused although nothing runs.
        """
        caller = new_caller()
        async with trio.open_nursery() as nursery:
            for _ in range(100):
                nursery.start_soon(caller.send, "vestry", BULK)
            await caller.clock.sleep_ms(1)
            nursery.cancel_scope.cancel()
        queue = caller.admission.group(BULK).queue
        self.assertEqual((queue.running, queue.waiting), (0, 0))
        self.assertEqual(caller.admission.shares.running, 0)

    @trio_test
    async def test_full_queue_refuses_the_flooding_branch_only(self):
        """A branch that fills the queue must not lock the others out.

        If a full queue refuses the newest request, a branch that sends little is
        refused after another branch has flooded the bounded queue.
        """
        caller = new_caller()
        flood = Caller(caller.admission, caller.clock)
        quiet = Caller(caller.admission, caller.clock)
        async with trio.open_nursery() as nursery:
            for _ in range(1000):
                nursery.start_soon(lambda: flood.send("flood", BULK, budget_ms=60_000))
            await caller.clock.sleep_ms(1)
            await quiet.send("vestry", BULK)
            nursery.cancel_scope.cancel()
        self.assertEqual((len(quiet.waits_ms), quiet.errors), (1, []))
        self.assertTrue(flood.errors)
        for error in flood.errors:
            self.assertIs(error.kind, ErrorKind.OVERLOADED)
            self.assertLessEqual(error.after_ms, 1.0)  # "quiet" sends at 1 ms

    @trio_test
    async def test_refusals_are_counted_by_reason(self):
        counters = Counters()
        admission = single_instance_admission(counters)
        row = Row("vestry", "bulk", max_in_flight=0)
        with self.assertRaises(IbisfrontError):
            async with admission.admit(row, BULK, deadline_at_ms=1e9):
                self.fail("nothing may run")
        self.assertEqual(counters.value(CounterKind.REFUSALS, "over_limit"), 1)
