"""Tests of the backend servers' stand-in."""

from __future__ import annotations

import unittest
from contextlib import asynccontextmanager, suppress

import httpcore
import msgspec
import trio
import trio.lowlevel
import trio.testing

from ibisfront.testing.backend import BackendControl, BackendServer
from ibisfront.testing.backend_records import search_rows
from ibisfront.testing.backend_state import FIRST_SNAPSHOT, FakeBackend
from ibisfront.testing.backend_types import (
    BackendFaults,
    BackendSettings,
    ColdStart,
    ConnectionLost,
    CrashPoint,
    LoadLie,
    NotRun,
    WorkRequest,
)
from ibisfront.tests import trio_test, trio_test_real_clock

LOOPBACK = "127.0.0.1"
SILENCE_SECONDS = 0.05
SETTINGS = BackendSettings(service_median_ms=10.0, service_sigma=0.0, queue_limit=1)
FAST = BackendSettings(service_median_ms=0.0, service_sigma=0.0, accept_ms=0.0)


def make_backend(**faults):
    """Return a backend server of the service ``s`` with some faults."""
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
    """Slots, queue, deadlines and refusals, in-process."""

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
    async def test_refusals_unrun(self):
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
    async def test_performs_are_recorded(self):
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
    async def test_draining_finishes_what_runs(self):
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
    async def test_same_seed_same_times(self):
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
    async def test_freeze_and_thaw(self):
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
    async def test_crash_loses_all_that_runs(self):
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
    async def test_load_lags_and_lies(self):
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
            backend.set_faults(BackendFaults(load_lie=LoadLie.IDLE))
            self.assertEqual((await backend.load()).in_flight, 0)
            backend.set_faults(BackendFaults(load_lie=LoadLie.BUSY))
            self.assertEqual((await backend.load()).in_flight, 3)

    @trio_test
    async def test_spoiled_answers(self):
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
    async def test_late_answer_holds_no_slot(self):
        backend = make_backend(late_answer_fraction=1, late_answer_ms=1000)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(backend.search, search_work(deadline_ms=100))
            await trio.sleep(0.5)
            self.assertEqual(backend.state().in_flight, 0)
        self.assertAlmostEqual(trio.current_time(), 1.010)


@asynccontextmanager
async def open_backend(settings=FAST, **faults):
    """Serve one backend server and yield its face, control and a client."""
    async with trio.open_nursery() as nursery, httpcore.AsyncConnectionPool() as pool:
        face = BackendServer(FakeBackend("s", "s-0", settings=settings), nursery)
        face.backend.set_faults(BackendFaults(**faults))
        control = BackendControl([face])
        await nursery.start(face.server.run, LOOPBACK, 0)
        await nursery.start(control.server.run, LOOPBACK, 0)
        yield face, control, pool
        nursery.cancel_scope.cancel()


async def post_search(pool, face, marker="m1"):
    """Send one search over HTTP."""
    return await pool.request(
        "POST",
        f"http://{face.server.address}/search",
        headers={"X-Request-Id": f"id-{marker}", "X-Snapshot": FIRST_SNAPSHOT},
        content=msgspec.json.encode({"service": "s", "request": {"marker": marker}}),
    )


async def post_control(pool, control, command, content=b"{}"):
    """Post a command for the one server to the control."""
    url = f"http://{control.server.address}/control/servers/s-0/{command}"
    return await pool.request("POST", url, content=content)


def headers_of(response):
    """Return the headers of a response by name in small letters."""
    return {name.lower().decode(): value.decode() for name, value in response.headers}


class TestBackendOverHttp(unittest.TestCase):
    """One backend server over loopback sockets."""

    @trio_test_real_clock
    async def test_search(self):
        async with open_backend() as (face, _control, pool):
            response = await post_search(pool, face)
            self.assertEqual(response.status, 200)
            headers = headers_of(response)
            self.assertEqual(headers["x-request-id"], "id-m1")
            self.assertEqual(headers["x-snapshots"], FIRST_SNAPSHOT)
            self.assertNotIn("x-draining", headers)
            body = msgspec.json.decode(response.content)
            self.assertEqual(body["snapshot"], FIRST_SNAPSHOT)
            self.assertEqual({row["request"] for row in body["rows"]}, {"m1"})
            await post_search(pool, face)
            self.assertEqual(face.server.counts.accepted, 1)

    @trio_test_real_clock
    async def test_refusal_headers(self):
        async with open_backend(draining=True) as (face, _control, pool):
            response = await post_search(pool, face)
            self.assertEqual(response.status, 503)
            headers = headers_of(response)
            self.assertEqual(headers["x-not-run"], "draining")
            self.assertEqual(headers["x-draining"], "1")
            self.assertEqual(headers["retry-after-ms"], str(FAST.retry_after_ms))
            self.assertEqual(headers["x-request-id"], "id-m1")

    @trio_test_real_clock
    async def test_load_health_and_bad_requests(self):
        async with open_backend() as (face, _control, pool):
            url = f"http://{face.server.address}"
            response = await pool.request("GET", f"{url}/load")
            load = {"in_flight": 0, "slots": 2, "draining": False}
            load["snapshots"] = [FIRST_SNAPSHOT]
            self.assertEqual(msgspec.json.decode(response.content), load)
            response = await pool.request("GET", f"{url}/healthz")
            self.assertEqual(response.status, 200)
            response = await pool.request("POST", f"{url}/perform", content=b"{}")
            self.assertEqual(response.status, 400)

    @trio_test_real_clock
    async def test_connection_limit(self):
        settings = msgspec.structs.replace(FAST, connection_limit=1)
        async with open_backend(settings) as (face, _control, pool):
            await post_search(pool, face)
            port = face.server.address.port
            async with await trio.open_tcp_stream(LOOPBACK, port) as stream:
                with self.assertRaises(trio.BrokenResourceError):
                    await stream.receive_some()
            counts = face.server.counts
            self.assertEqual((counts.open, counts.accepted, counts.refused), (1, 1, 1))

    @trio_test_real_clock
    async def test_client_close_frees_the_slot(self):
        settings = msgspec.structs.replace(FAST, service_median_ms=3_600_000.0)
        async with open_backend(settings) as (face, _control, pool):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(post_search, pool, face)
                while face.backend.state().in_flight == 0:
                    await trio.lowlevel.checkpoint()
                nursery.cancel_scope.cancel()
            while face.backend.state().in_flight > 0:
                await trio.lowlevel.checkpoint()
            self.assertEqual(face.backend.state().counts.cancelled, 1)

    @trio_test_real_clock
    async def test_silent_connections(self):
        async with open_backend() as (face, control, pool):
            await post_search(pool, face)
            await post_control(pool, control, "silence")
            with trio.move_on_after(SILENCE_SECONDS) as scope:
                await post_search(pool, face, "silent")
            self.assertTrue(scope.cancelled_caught)
            self.assertNotIn("id-silent", face.backend.runs.counts)
            response = await post_search(pool, face, "new")
            self.assertEqual(response.status, 200)
            counts = face.server.counts
            self.assertEqual((counts.open, counts.silent), (1, 1))

    @trio_test_real_clock
    async def test_freeze_leaves_the_control(self):
        async with open_backend() as (face, control, pool):
            await post_search(pool, face)
            await post_control(pool, control, "faults", b'{"frozen":true}')
            for client in (pool, httpcore.AsyncConnectionPool()):
                with trio.move_on_after(SILENCE_SECONDS) as scope:
                    await post_search(client, face)
                self.assertTrue(scope.cancelled_caught)
            self.assertEqual(face.backend.state().counts.runs, 1)
            await post_control(pool, control, "faults", b'{"frozen":false}')
            self.assertEqual((await post_search(pool, face)).status, 200)

    @trio_test_real_clock
    async def test_crash_resets_and_stops_listening(self):
        faults = {"crash_marker": "poison", "crash_down_ms": 3_600_000.0}
        async with open_backend(**faults) as (face, _control, pool):
            with self.assertRaises(httpcore.NetworkError):
                await post_search(pool, face, "poison")
            with self.assertRaises(httpcore.ConnectError):
                await post_search(pool, face)
            self.assertEqual(face.backend.state().counts.crashes, 1)
            self.assertEqual(face.backend.runs.counts, {})

    @trio_test_real_clock
    async def test_listens_again_after_a_crash(self):
        async with open_backend(crash_down_ms=1.0) as (face, control, pool):
            await post_control(pool, control, "crash")
            response = None
            while response is None:
                with suppress(httpcore.NetworkError):
                    response = await post_search(pool, face)
            self.assertEqual(response.status, 200)

    @trio_test_real_clock
    async def test_crash_while_down(self):
        # The second crash came while the server waited to listen again, and
        # replaced the event that it waited for: it never listened again.
        async with open_backend(crash_down_ms=1.0) as (face, _control, pool):
            face.server.close_listener()
            await trio.testing.wait_all_tasks_blocked()
            face.backend.crash()
            response = None
            while response is None:
                with suppress(httpcore.NetworkError):
                    response = await post_search(pool, face)
            self.assertEqual(response.status, 200)

    @trio_test_real_clock
    async def test_duplicate_answer_is_sent_twice(self):
        async with open_backend(duplicate_answer_fraction=1.0) as (
            face,
            _control,
            _pool,
        ):
            stream = await trio.open_tcp_stream(LOOPBACK, face.server.address.port)
            body = b'{"service":"s","request":1}'
            head = f"POST /perform HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}"
            await stream.send_all(head.encode() + b"\r\n\r\n" + body)
            received = bytearray()
            while received.count(b'"result"') < 2:
                received += await stream.receive_some()
            self.assertEqual(received.count(b"HTTP/1.1 200"), 2)
            self.assertEqual(face.backend.state().counts.runs, 1)

    @trio_test_real_clock
    async def test_reset_and_restart(self):
        settings = msgspec.structs.replace(FAST, service_median_ms=3_600_000.0)
        async with open_backend(settings, cold_ms=3_600_000.0) as (face, control, pool):
            async with trio.open_nursery() as nursery:

                async def search():
                    with self.assertRaises(httpcore.NetworkError):
                        await post_search(pool, face)

                nursery.start_soon(search)
                while face.backend.state().in_flight == 0:
                    await trio.lowlevel.checkpoint()
                await post_control(pool, control, "reset")
            self.assertEqual(face.backend.state().in_flight, 0)
            await post_control(pool, control, "restart")
            response = await post_search(pool, face)
            self.assertEqual(headers_of(response)["x-not-run"], "cold")

    @trio_test_real_clock
    async def test_control(self):
        async with open_backend() as (face, control, pool):
            response = await post_control(pool, control, "faults", b'{"freeze":true}')
            self.assertEqual(response.status, 400)
            snapshots = b'{"snapshots":["one","two"]}'
            response = await post_control(pool, control, "snapshots", snapshots)
            report = msgspec.json.decode(response.content)
            self.assertEqual(report["state"]["snapshots"], ["one", "two"])
            self.assertEqual(report["address"], str(face.server.address))
            response = await post_control(pool, control, "unknown")
            self.assertEqual(response.status, 404)
            url = f"http://{control.server.address}/control/servers"
            response = await pool.request("GET", url)
            self.assertEqual(len(msgspec.json.decode(response.content)), 1)
            response = await pool.request("GET", f"{url}/s-0/runs")
            runs = {"counts": {}, "performed": []}
            self.assertEqual(msgspec.json.decode(response.content), runs)
            response = await pool.request("GET", f"{url}/s-9")
            self.assertEqual(response.status, 404)
