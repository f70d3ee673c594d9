"""Tests of who is let in, who waits and who is refused, in mock time."""

from __future__ import annotations

import math
import unittest
from itertools import pairwise

import msgspec
import trio

from ibisfront.core.clock import Clock
from ibisfront.core.counters import Counters
from ibisfront.gateway.admission_gate import AdmissionGate
from ibisfront.gateway.load.baseline_latency import BaselineLatency
from ibisfront.gateway.load.enough_room import deciding_room
from ibisfront.gateway.load.service_room import ServiceRoom
from ibisfront.gateway.messages import InboundRequest
from ibisfront.testing.gateway_fixture import HOST, forward_route
from ibisfront.tests import trio_test

WORK_MS = 40.0
SLOTS = 4
CAPACITY_PER_S = SLOTS * 1000.0 / WORK_MS
OBJECTIVE_MS = 200.0
DEADLINE_MS = 1500.0


class Station:
    """A service whose slots run one request each; what is over them waits by rank."""

    def __init__(self):
        self.slots = SLOTS
        self.running = 0
        self.waiting = []
        self.runs = 0

    def read_room(self, service, rank, work_ms, now_ms):
        """Return the room as the windows of its servers would."""
        if not self.slots:
            return ServiceRoom(wait_ms=math.inf)
        if self.running < self.slots:
            return ServiceRoom()
        before = sum(item[0] <= rank for item in self.waiting)
        interval_ms = WORK_MS / self.slots
        return ServiceRoom((before + 1) * interval_ms, interval_ms, before)

    async def serve(self, rank):
        """Run one request."""
        started = trio.Event()
        self.waiting.append((rank, self.runs, started))
        self.runs += 1
        self._start()
        await started.wait()
        try:
            await trio.sleep(WORK_MS / 1000.0)
        finally:
            self.running -= 1
            self._start()

    def _start(self):
        while self.waiting and self.running < self.slots:
            first = min(self.waiting, key=lambda item: item[:2])
            self.waiting.remove(first)
            self.running += 1
            first[2].set()


class Context:
    """What the gate needs of a request's context."""

    def __init__(self, rank, baseline):
        self.rank = rank
        self.baseline = baseline


class Caller(msgspec.Struct):
    """One caller and what became of it."""

    name: str
    started_ms: float
    rank: int = 1
    workspace: str = ""
    attempts: int = 0
    refused_at_ms: list = msgspec.field(default_factory=list)
    told_ms: list = msgspec.field(default_factory=list)
    done_at_ms: float | None = None
    is_in_time: bool = False


class Front:
    """A gate before a station, and callers who honour the time to come back."""

    def __init__(self, *, attempts=3):
        self.clock = Clock()
        self.station = Station()
        self.counters = Counters()
        self.attempts = attempts
        self.gate = AdmissionGate(
            clock=self.clock,
            read_room=self.station.read_room,
            counters=self.counters,
            is_active=lambda: True,
        )
        self.baseline = BaselineLatency(WORK_MS)
        for _ in range(64):
            self.baseline.record_ms(WORK_MS)
        self.callers = []

    def request(self, caller, now_ms):
        left_ms = caller.started_ms + DEADLINE_MS - now_ms
        return InboundRequest(
            method=b"GET",
            target=b"/fetch/" + caller.name.encode(),
            host=HOST,
            request_id=f"{caller.name}-{caller.attempts}",
            deadline_ms=left_ms,
            headers=[],
            body=b"",
            arrived_at_ms=now_ms,
            workspace=caller.workspace,
        )

    async def attempt(self, caller):
        """Make one attempt; return the refusal, or None once it was served."""
        now_ms = self.clock.now_ms()
        request = self.request(caller, now_ms)
        caller.attempts += 1
        route = forward_route(
            rank=caller.rank, objective_ms=OBJECTIVE_MS, timeout_ms=DEADLINE_MS
        )
        is_first = caller.attempts == 1
        refusal = await self.gate.enter(
            request,
            route,
            Context(caller.rank, self.baseline),
            services=("archive",),
            needed=1,
            objective_at_ms=lambda: now_ms + OBJECTIVE_MS if is_first else math.inf,
        )
        if refusal is None:
            await self.station.serve(caller.rank)
            done_ms = caller.done_at_ms = self.clock.now_ms()
            caller.is_in_time = done_ms - now_ms <= OBJECTIVE_MS
        return refusal

    async def call(self, caller):
        """Attempt a request until it is served or its deadline has passed."""
        self.callers.append(caller)
        while caller.attempts < self.attempts:
            refusal = await self.attempt(caller)
            if refusal is None:
                return
            now_ms = self.clock.now_ms()
            caller.refused_at_ms.append(now_ms)
            caller.told_ms.append(refusal.retry_after_ms)
            left_ms = caller.started_ms + DEADLINE_MS - now_ms
            if left_ms <= 0:
                return
            wait_ms = min(refusal.retry_after_ms, left_ms / 3.0)
            await self.clock.sleep_ms(wait_ms)

    async def load(self, nursery, per_s, duration_s, *, prefix, **fields):
        """Start callers at a rate."""
        for number in range(int(per_s * duration_s)):
            name = f"{prefix}{number}"
            now_ms = self.clock.now_ms()
            nursery.start_soon(self.call, Caller(name, now_ms, **fields))
            await trio.sleep(1.0 / per_s)

    def select(self, prefix):
        return [item for item in self.callers if item.name.startswith(prefix)]


def share(callers):
    """Return the share of callers that were served in time."""
    return sum(item.is_in_time for item in callers) / len(callers)


class AdmissionTest(unittest.TestCase):
    """One instance before a service with room for 100 requests a second."""

    @trio_test
    async def test_urgent_work_is_in_time_at_three_times_the_room(self):
        """Guards against urgent requests that wait behind bulk work in a burst."""
        front = Front()
        async with trio.open_nursery() as nursery:
            for prefix, per_s, rank in (("urgent", 40.0, 0), ("bulk", 260.0, 2)):
                nursery.start_soon(load(front, nursery, per_s, prefix, rank=rank))
        alone = Front()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load(alone, nursery, 40.0, "urgent", rank=0))
        urgent = share(front.select("urgent"))
        self.assertGreaterEqual(urgent, share(alone.callers))
        bulk = share(front.select("bulk"))
        self.assertGreaterEqual(bulk * 260.0, 0.8 * (CAPACITY_PER_S - 40.0))

    @trio_test
    async def test_callers_that_come_back_when_told_are_served(self):
        """Guards against refused callers who lose their turn to later ones."""
        front = Front(attempts=2)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load(front, nursery, 300.0, "caller"))
        came_back = [
            item
            for item in front.callers
            if item.attempts == 2 and item.told_ms[0] <= DEADLINE_MS / 3.0
        ]
        self.assertGreater(len(came_back), 100)
        served = [item for item in came_back if item.done_at_ms is not None]
        self.assertGreaterEqual(len(served) / len(came_back), 0.9)
        in_order = sorted(served, key=lambda item: item.refused_at_ms[0])
        swaps = sum(
            later.done_at_ms + WORK_MS < earlier.done_at_ms
            for earlier, later in pairwise(in_order)
        )
        self.assertLessEqual(swaps, len(served) // 20)

    @trio_test
    async def test_request_that_cannot_be_served_is_refused_on_arrival(self):
        """Guards against requests that wait until their deadline for nothing."""
        front = Front(attempts=1)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load(front, nursery, 300.0, "caller"))
        refused = [item for item in front.callers if item.refused_at_ms]
        self.assertGreater(len(refused), 100)
        late = [
            item for item in refused if item.refused_at_ms[0] > item.started_ms + 5.0
        ]
        self.assertLessEqual(len(late), len(refused) // 50)
        self.assertEqual(
            front.station.runs, len(front.callers) - len(refused), "refused, yet run"
        )

    @trio_test
    async def test_flood_of_one_workspace_leaves_the_others_their_share(self):
        """Guards against a workspace that takes all room by asking most."""
        front = Front()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load(front, nursery, 400.0, "flood", workspace="a"))
            for workspace in ("b", "c"):
                nursery.start_soon(
                    load(front, nursery, 20.0, workspace, workspace=workspace)
                )
        everyone = share(front.callers)
        for prefix in ("b", "c"):
            served = share(front.select(prefix))
            self.assertGreaterEqual(served, 0.25 * everyone)
            # Each asks for less than a third of the room.
            self.assertGreaterEqual(served, 0.9)

    @trio_test
    async def test_coming_back_at_once_gains_nothing(self):
        """Guards against callers who get ahead by repeating at once."""
        front = Front(attempts=2)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load(front, nursery, 300.0, "patient", duration_s=1.0))
            await trio.sleep(0.8)
            hasty, first = None, None
            while first is None or first.retry_after_ms > DEADLINE_MS / 3.0:
                await trio.sleep(0.001)
                now_ms = front.clock.now_ms()
                hasty = Caller(f"hasty{now_ms}", now_ms)
                first = await front.attempt(hasty)
            again = [await front.attempt(hasty) for _ in range(5)]
            told = {round(item.retry_after_ms, 3) for item in again}
            self.assertEqual(told, {round(first.retry_after_ms, 3)})

    @trio_test
    async def test_no_refusal_after_the_end_of_a_burst(self):
        """Guards against refusals that go on, or swing, once there is room again."""
        front = Front()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load(front, nursery, 60.0, "calm", duration_s=8.0))
            await trio.sleep(2.0)
            nursery.start_soon(load(front, nursery, 300.0, "burst", duration_s=2.0))
        refused = [at for item in front.callers for at in item.refused_at_ms]
        start_ms = front.callers[0].started_ms
        self.assertGreater(len(refused), 50)
        self.assertLess(max(refused) - start_ms, 5000.0)
        after = [
            item for item in front.select("calm") if item.started_ms > start_ms + 5000.0
        ]
        self.assertEqual(share(after), 1.0)

    @trio_test
    async def test_no_refusal_once_a_paused_service_is_back(self):
        """Guards against refusals after all of a service's servers were paused."""
        front = Front()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load(front, nursery, 60.0, "caller", duration_s=6.0))
            await trio.sleep(2.0)
            front.station.slots = 1
            await trio.sleep(2.0)
            front.station.slots = SLOTS
            back_ms = front.clock.now_ms()
        refused = [at for item in front.callers for at in item.refused_at_ms]
        self.assertLess(max(refused), back_ms + 1000.0)

    @trio_test
    async def test_a_slow_rise_costs_no_request(self):
        """Guards against refusals below the room while the load rises."""
        front = Front()
        async with trio.open_nursery() as nursery:
            for step in range(1, 10):
                await front.load(nursery, step * 10.0, 1.0, prefix=f"step{step}")
        self.assertEqual(share(front.callers), 1.0)

    @trio_test
    async def test_caller_that_leaves_while_it_waits_takes_no_room(self):
        """Guards against slots spent on callers that have left."""
        front = Front()
        async with trio.open_nursery() as nursery:
            await self._fill(front, nursery)
            runs = front.station.runs
            with trio.move_on_after(0.03):
                await front.attempt(Caller("leaver", front.clock.now_ms()))
            self.assertEqual(front.gate.waiting_by_rank().get(1, 0), 0)
            await trio.sleep(0.5)
        self.assertEqual(front.station.runs, runs)

    @trio_test
    async def test_rank_that_changes_while_work_waits(self):
        """Guards against work that is lost when a configuration changes its rank."""
        front = Front(attempts=1)
        async with trio.open_nursery() as nursery:
            await self._fill(front, nursery)
            now_ms = front.clock.now_ms()
            for name, rank in (("old", 3), ("new", 0)):
                nursery.start_soon(front.call, Caller(name, now_ms, rank=rank))
            await trio.sleep(0.01)
        self.assertEqual(share(front.select("old") + front.select("new")), 1.0)
        self.assertEqual(sum(front.gate.waiting_by_rank().values()), 0)

    async def _fill(self, front, nursery):
        """Fill the slots and one turn of work, so that the next request waits."""
        for number in range(2 * SLOTS + 1):
            nursery.start_soon(front.station.serve, 0)
            del number
        await trio.sleep(0.001)


class DecidingRoomTest(unittest.TestCase):
    """The wait that counts for a query over many services."""

    def test_last_needed_service_decides(self):
        """Guards against a mean over services that hides the scarce ones."""
        rooms = [ServiceRoom(wait_ms=wait) for wait in (300.0, 0.0, 0.0, 900.0, 5.0)]
        self.assertEqual(deciding_room(rooms, 4).wait_ms, 300.0)
        self.assertEqual(deciding_room(rooms, 3).wait_ms, 5.0)
        self.assertFalse(deciding_room(rooms[:2], 3).is_usable)
        self.assertEqual(deciding_room(rooms, 0).wait_ms, 0.0)


def load(front, nursery, per_s, prefix, *, duration_s=4.0, **fields):
    """Return a task that starts callers at a rate."""

    async def run():
        await front.load(nursery, per_s, duration_s, prefix=prefix, **fields)

    return run
