"""Tests of the fake backend server."""

from __future__ import annotations

import unittest

import msgspec
import trio
import trio.lowlevel
import trio.testing

from ibisfront.testing.backend_records import search_rows
from ibisfront.testing.backend_state import FIRST_SNAPSHOT, FakeBackend
from ibisfront.testing.backend_types import (
    BackendFaults,
    BackendSettings,
    ColdStart,
    ConnectionLost,
    CrashPoint,
    LoadReportFault,
    NotRun,
    WorkRequest,
)
from ibisfront.tests import trio_test

SETTINGS = BackendSettings(service_median_ms=10.0, service_sigma=0.0, queue_limit=1)


def make_backend(**faults):
    """Return a backend server of the service ``s`` with the given faults."""
    backend = FakeBackend("s", "s-0", settings=SETTINGS)
    backend.set_faults(BackendFaults(**faults))
    return backend


def perform_work(marker, request_id):
    """Return a perform request for the service ``s``."""
    return WorkRequest(service="s", request={"marker": marker}, request_id=request_id)


def search_work(marker="m1", **fields):
    """Return a search of the service ``s`` with a marker."""
    work = WorkRequest(
        service="s",
        request={"marker": marker},
        request_id=f"id-{marker}",
        snapshot=FIRST_SNAPSHOT,
    )
    return msgspec.structs.replace(work, **fields)


class TestWork(unittest.TestCase):
    """Slots, queue, deadlines and rejections, in-process."""

    @trio_test
    async def test_search(self):
        backend = make_backend()
        reply = await backend.search(search_work())
        self.assertEqual((reply.status, reply.request_id), (200, "id-m1"))
        expected = search_rows("s", FIRST_SNAPSHOT, {"marker": "m1"}, 5)
        self.assertEqual(reply.body.rows, expected)
        self.assertEqual({row.request for row in reply.body.rows}, {"m1"})

    @trio_test
    async def test_replicas_agree_and_snapshots_differ(self):
        request = {"marker": "m", "limit": 3}
        rows = search_rows("s", "one", request, 5)
        self.assertEqual(len(rows), 3)
        self.assertEqual(rows, sorted(rows, key=lambda row: -row.score))
        other_ids = {row.id for row in search_rows("s", "two", request, 5)}
        self.assertTrue(other_ids.isdisjoint(row.id for row in rows))

    @trio_test
    async def test_slots_queue_and_shedding(self):
        backend = make_backend()
        statuses = []

        async def search(marker):
            reply = await backend.search(search_work(marker))
            statuses.append((reply.status, reply.not_run))

        async with trio.open_nursery() as nursery:
            for marker in ("a", "b", "c", "d"):
                nursery.start_soon(search, marker)
        self.assertEqual(statuses, [(503, NotRun.SHED)] + [(200, None)] * 3)
        counts = backend.state().counts
        self.assertEqual((counts.runs, counts.shed), (3, 1))
        self.assertEqual((counts.in_flight_peak, counts.queued_peak), (2, 1))
        self.assertAlmostEqual(trio.current_time(), 0.020)

    @trio_test
    async def test_cancelling_frees_the_slot(self):
        backend = make_backend()
        with trio.move_on_after(0.005):
            await backend.search(search_work())
        state = backend.state()
        self.assertEqual((state.in_flight, state.counts.cancelled), (0, 1))
        self.assertEqual((state.counts.runs, state.counts.answered), (1, 0))

    @trio_test
    async def test_deadline(self):
        backend = make_backend()
        reply = await backend.search(search_work(deadline_ms=5))
        self.assertEqual(reply.status, 504)
        reply = await backend.search(search_work(deadline_ms=0))
        self.assertEqual(reply.status, 504)
        state = backend.state()
        self.assertEqual((state.in_flight, state.counts.runs), (0, 1))
        self.assertEqual(state.counts.deadline_exceeded, 2)

    @trio_test
    async def test_rejections_before_the_run(self):
        backend = make_backend()
        reply = await backend.search(search_work(snapshot="none"))
        self.assertEqual(reply.status, 409)
        reply = await backend.search(search_work(service="other"))
        self.assertEqual(reply.status, 400)
        backend.set_faults(BackendFaults(shedding=True))
        reply = await backend.search(search_work())
        self.assertEqual((reply.status, reply.not_run), (503, NotRun.SHED))
        self.assertEqual(reply.retry_after_ms, SETTINGS.retry_after_ms)
        self.assertEqual(backend.state().counts.runs, 0)

    @trio_test
    async def test_snapshot_dropped_while_the_search_waits(self):
        backend = make_backend()
        replies = []

        async def search(marker):
            replies.append(await backend.search(search_work(marker)))

        async with trio.open_nursery() as nursery:
            for marker in ("a", "b", "c"):
                nursery.start_soon(search, marker)
            await trio.sleep(0.001)
            backend.set_snapshots(("snapshot-2",))
        self.assertEqual([reply.status for reply in replies], [200, 200, 409])
        self.assertEqual(replies[0].snapshots, ("snapshot-2",))

    @trio_test
    async def test_perform_runs_are_recorded(self):
        backend = make_backend()
        await backend.perform(perform_work("print", "id-1"))
        reply = await backend.perform(perform_work("print", "id-2"))
        self.assertEqual(reply.body.result["request"], {"marker": "print"})
        await backend.search(search_work())
        performed = backend.runs.performed
        self.assertEqual([run.request_id for run in performed], ["id-1", "id-2"])
        self.assertEqual([run.request["marker"] for run in performed], ["print"] * 2)
        self.assertEqual(backend.runs.counts, {"id-1": 1, "id-2": 1, "id-m1": 1})


class TestBackendFaults(unittest.TestCase):
    """Each fault, in-process."""

    @trio_test
    async def test_draining_finishes_running_requests(self):
        backend = make_backend()
        async with trio.open_nursery() as nursery:

            async def search():
                reply = await backend.search(search_work())
                self.assertEqual((reply.status, reply.draining), (200, True))

            nursery.start_soon(search)
            await trio.sleep(0.001)
            backend.set_faults(BackendFaults(draining=True))
            reply = await backend.search(search_work("late"))
            self.assertEqual(reply.not_run, NotRun.DRAINING)

    @trio_test
    async def test_cold_start(self):
        backend = make_backend(cold_ms=1000)
        self.assertEqual((await backend.search(search_work())).status, 200)
        backend.restart()
        reply = await backend.search(search_work())
        self.assertEqual((reply.status, reply.not_run), (503, NotRun.COLD))
        await trio.sleep(1)
        self.assertEqual((await backend.search(search_work())).status, 200)

    @trio_test
    async def test_slow_cold_start_and_stragglers(self):
        backend = make_backend(
            cold_ms=1000,
            cold_start=ColdStart.SLOW,
            cold_slow_factor=2,
            straggle_fraction=1,
            straggle_factor=3,
        )
        backend.restart()
        await backend.search(search_work())
        self.assertAlmostEqual(trio.current_time(), 0.060)

    @trio_test
    async def test_same_seed_gives_same_service_times(self):
        ends = []
        for _ in range(2):
            settings = BackendSettings(seed=7)
            backend = FakeBackend("s", "s-0", settings=settings)
            backend.set_faults(BackendFaults(straggle_fraction=0.5))
            start = trio.current_time()
            for _ in range(20):
                await backend.search(search_work())
            ends.append(trio.current_time() - start)
        self.assertAlmostEqual(ends[0], ends[1])

    @trio_test
    async def test_freeze_and_unfreeze(self):
        backend = make_backend(frozen=True)
        for call in (backend.healthz, backend.load):
            with trio.move_on_after(3600) as scope:
                await call()
            self.assertTrue(scope.cancelled_caught)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(backend.search, search_work())
            await trio.sleep(3600)
            self.assertEqual(backend.state().counts.runs, 0)
            backend.set_faults(BackendFaults())
        self.assertEqual(backend.state().counts.answered, 1)

    @trio_test
    async def test_crash_drops_running_requests(self):
        for point, markers, runs in (
            (CrashPoint.BEFORE_RUNNING, ("good", "poison"), 1),
            (CrashPoint.AFTER_RUNNING, ("poison", "good"), 2),
        ):
            with self.subTest(point=point):
                backend = make_backend(
                    crash_marker="poison",
                    crash_point=point,
                    crash_down_ms=1000,
                    cold_ms=500,
                )
                lost = await self.search_each(backend, markers)
                self.assertEqual(lost, {"good", "poison"})
                state = backend.state()
                self.assertEqual((state.counts.runs, state.counts.crashes), (runs, 1))
                self.assertEqual((state.in_flight, state.counts.cancelled), (0, 0))
                await self.assert_down_then_cold(backend)

    async def search_each(self, backend, markers):
        lost = set()

        async def search(marker):
            try:
                await backend.search(search_work(marker))
            except ConnectionLost:
                lost.add(marker)

        async with trio.open_nursery() as nursery:
            for marker in markers:
                nursery.start_soon(search, marker)
                await trio.sleep(0.001)
        return lost

    async def assert_down_then_cold(self, backend):
        with self.assertRaises(ConnectionLost):
            await backend.healthz()
        await trio.sleep(1.1)
        await backend.healthz()
        reply = await backend.search(search_work())
        self.assertEqual(reply.not_run, NotRun.COLD)

    @trio_test
    async def test_load_report_lag_and_faults(self):
        backend = make_backend(load_lag_ms=1000)
        async with trio.open_nursery() as nursery:
            await backend.load()
            backend.set_faults(
                BackendFaults(
                    load_lag_ms=1000, straggle_fraction=1, straggle_factor=500
                )
            )
            nursery.start_soon(backend.search, search_work())
            await trio.sleep(0.5)
            self.assertEqual((await backend.load()).in_flight, 0)
            await trio.sleep(0.5)
            self.assertEqual((await backend.load()).in_flight, 1)
            backend.set_faults(BackendFaults(load_lie=LoadReportFault.IDLE))
            self.assertEqual((await backend.load()).in_flight, 0)
            backend.set_faults(BackendFaults(load_lie=LoadReportFault.BUSY))
            self.assertEqual((await backend.load()).in_flight, 3)

    @trio_test
    async def test_reply_faults(self):
        backend = make_backend()
        await backend.search(search_work("first"))
        backend.set_faults(BackendFaults(crossed_answer_fraction=1))
        reply = await backend.search(search_work("second"))
        self.assertEqual(reply.request_id, "id-first")
        self.assertEqual({row.request for row in reply.body.rows}, {"first"})
        backend.set_faults(BackendFaults(wrong_id_fraction=1))
        reply = await backend.search(search_work("third"))
        self.assertEqual(reply.request_id, "not-id-third")
        backend.set_faults(BackendFaults(fail_fraction=1))
        self.assertEqual((await backend.search(search_work())).status, 500)
        backend.set_faults(BackendFaults(lose_answer_fraction=1))
        with self.assertRaises(ConnectionLost):
            await backend.perform(perform_work("print", "id"))
        self.assertEqual(backend.state().counts.runs, 5)

    @trio_test
    async def test_late_reply_holds_no_slot(self):
        backend = make_backend(late_answer_fraction=1, late_answer_ms=1000)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(backend.search, search_work(deadline_ms=100))
            await trio.sleep(0.5)
            self.assertEqual(backend.state().in_flight, 0)
        self.assertAlmostEqual(trio.current_time(), 1.010)
