"""Tests of the fake backend server over loopback sockets."""

from __future__ import annotations

import unittest
from contextlib import asynccontextmanager, suppress

import httpcore
import msgspec
import trio
import trio.lowlevel
import trio.testing

from ibisfront.testing.backend import BackendControl, BackendServer
from ibisfront.testing.backend_state import FIRST_SNAPSHOT, FakeBackend
from ibisfront.testing.backend_types import (
    BackendFaults,
    BackendSettings,
)
from ibisfront.tests import trio_test_real_clock

LOOPBACK = "127.0.0.1"
SILENCE_SECONDS = 0.05
FAST = BackendSettings(service_median_ms=0.0, service_sigma=0.0, accept_ms=0.0)


@asynccontextmanager
async def open_backend(settings=FAST, **faults):
    """Serve one backend server and yield it, its control API and a client."""
    async with trio.open_nursery() as nursery, httpcore.AsyncConnectionPool() as pool:
        backend_server = BackendServer(
            FakeBackend("s", "s-0", settings=settings), nursery
        )
        backend_server.backend.set_faults(BackendFaults(**faults))
        control = BackendControl([backend_server])
        await nursery.start(backend_server.server.run, LOOPBACK, 0)
        await nursery.start(control.server.run, LOOPBACK, 0)
        yield backend_server, control, pool
        nursery.cancel_scope.cancel()


async def post_search(pool, backend_server, marker="m1"):
    """Send one search over HTTP."""
    return await pool.request(
        "POST",
        f"http://{backend_server.server.address}/search",
        headers={"X-Request-Id": f"id-{marker}", "X-Snapshot": FIRST_SNAPSHOT},
        content=msgspec.json.encode({"service": "s", "request": {"marker": marker}}),
    )


async def post_control(pool, control, command, content=b"{}"):
    """Post a command for the server ``s-0`` to the control API."""
    url = f"http://{control.server.address}/control/servers/s-0/{command}"
    return await pool.request("POST", url, content=content)


def headers_of(response):
    """Return the headers of a response by lower-case name."""
    return {name.lower().decode(): value.decode() for name, value in response.headers}


class TestBackendOverHttp(unittest.TestCase):
    """One backend server over loopback sockets."""

    @trio_test_real_clock
    async def test_search(self):
        async with open_backend() as (backend_server, _control, pool):
            response = await post_search(pool, backend_server)
            self.assertEqual(response.status, 200)
            headers = headers_of(response)
            self.assertEqual(headers["x-request-id"], "id-m1")
            self.assertEqual(headers["x-snapshots"], FIRST_SNAPSHOT)
            self.assertNotIn("x-draining", headers)
            body = msgspec.json.decode(response.content)
            self.assertEqual(body["snapshot"], FIRST_SNAPSHOT)
            self.assertEqual({row["request"] for row in body["rows"]}, {"m1"})
            await post_search(pool, backend_server)
            self.assertEqual(backend_server.server.counts.accepted, 1)

    @trio_test_real_clock
    async def test_rejection_headers(self):
        async with open_backend(draining=True) as (backend_server, _control, pool):
            response = await post_search(pool, backend_server)
            self.assertEqual(response.status, 503)
            headers = headers_of(response)
            self.assertEqual(headers["x-not-run"], "draining")
            self.assertEqual(headers["x-draining"], "1")
            self.assertEqual(headers["retry-after-ms"], str(FAST.retry_after_ms))
            self.assertEqual(headers["x-request-id"], "id-m1")

    @trio_test_real_clock
    async def test_load_health_and_invalid_requests(self):
        async with open_backend() as (backend_server, _control, pool):
            url = f"http://{backend_server.server.address}"
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
        async with open_backend(settings) as (backend_server, _control, pool):
            await post_search(pool, backend_server)
            port = backend_server.server.address.port
            async with await trio.open_tcp_stream(LOOPBACK, port) as stream:
                with self.assertRaises(trio.BrokenResourceError):
                    await stream.receive_some()
            counts = backend_server.server.counts
            self.assertEqual((counts.open, counts.accepted, counts.refused), (1, 1, 1))

    @trio_test_real_clock
    async def test_client_close_frees_the_slot(self):
        settings = msgspec.structs.replace(FAST, service_median_ms=3_600_000.0)
        async with open_backend(settings) as (backend_server, _control, pool):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(post_search, pool, backend_server)
                while backend_server.backend.state().in_flight == 0:
                    await trio.lowlevel.checkpoint()
                nursery.cancel_scope.cancel()
            while backend_server.backend.state().in_flight > 0:
                await trio.lowlevel.checkpoint()
            self.assertEqual(backend_server.backend.state().counts.cancelled, 1)

    @trio_test_real_clock
    async def test_silent_connections(self):
        async with open_backend() as (backend_server, control, pool):
            await post_search(pool, backend_server)
            await post_control(pool, control, "silence")
            with trio.move_on_after(SILENCE_SECONDS) as scope:
                await post_search(pool, backend_server, "silent")
            self.assertTrue(scope.cancelled_caught)
            self.assertNotIn("id-silent", backend_server.backend.runs.counts)
            response = await post_search(pool, backend_server, "new")
            self.assertEqual(response.status, 200)
            counts = backend_server.server.counts
            self.assertEqual((counts.open, counts.silent), (1, 1))

    @trio_test_real_clock
    async def test_freeze_does_not_affect_the_control_api(self):
        async with open_backend() as (backend_server, control, pool):
            await post_search(pool, backend_server)
            await post_control(pool, control, "faults", b'{"frozen":true}')
            for client in (pool, httpcore.AsyncConnectionPool()):
                with trio.move_on_after(SILENCE_SECONDS) as scope:
                    await post_search(client, backend_server)
                self.assertTrue(scope.cancelled_caught)
            self.assertEqual(backend_server.backend.state().counts.runs, 1)
            await post_control(pool, control, "faults", b'{"frozen":false}')
            self.assertEqual((await post_search(pool, backend_server)).status, 200)

    @trio_test_real_clock
    async def test_crash_resets_and_stops_listening(self):
        faults = {"crash_marker": "poison", "crash_down_ms": 3_600_000.0}
        async with open_backend(**faults) as (backend_server, _control, pool):
            with self.assertRaises(httpcore.NetworkError):
                await post_search(pool, backend_server, "poison")
            with self.assertRaises(httpcore.ConnectError):
                await post_search(pool, backend_server)
            self.assertEqual(backend_server.backend.state().counts.crashes, 1)
            self.assertEqual(backend_server.backend.runs.counts, {})

    @trio_test_real_clock
    async def test_listens_again_after_a_crash(self):
        async with open_backend(crash_down_ms=1.0) as (backend_server, control, pool):
            await post_control(pool, control, "crash")
            response = None
            while response is None:
                with suppress(httpcore.NetworkError):
                    response = await post_search(pool, backend_server)
            self.assertEqual(response.status, 200)

    @trio_test_real_clock
    async def test_crash_while_down(self):
        # A second crash while the server waits to reopen its listener must not
        # replace the event that it waits for, or it never listens again.
        async with open_backend(crash_down_ms=1.0) as (backend_server, _control, pool):
            backend_server.server.close_listener()
            await trio.testing.wait_all_tasks_blocked()
            backend_server.backend.crash()
            response = None
            while response is None:
                with suppress(httpcore.NetworkError):
                    response = await post_search(pool, backend_server)
            self.assertEqual(response.status, 200)

    @trio_test_real_clock
    async def test_duplicate_reply_is_sent_twice(self):
        async with open_backend(duplicate_answer_fraction=1.0) as (
            backend_server,
            _control,
            _pool,
        ):
            stream = await trio.open_tcp_stream(
                LOOPBACK, backend_server.server.address.port
            )
            body = b'{"service":"s","request":1}'
            head = f"POST /perform HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}"
            await stream.send_all(head.encode() + b"\r\n\r\n" + body)
            received = bytearray()
            while received.count(b'"result"') < 2:
                received += await stream.receive_some()
            self.assertEqual(received.count(b"HTTP/1.1 200"), 2)
            self.assertEqual(backend_server.backend.state().counts.runs, 1)

    @trio_test_real_clock
    async def test_reset_and_restart(self):
        settings = msgspec.structs.replace(FAST, service_median_ms=3_600_000.0)
        async with open_backend(settings, cold_ms=3_600_000.0) as (
            backend_server,
            control,
            pool,
        ):
            async with trio.open_nursery() as nursery:

                async def search():
                    with self.assertRaises(httpcore.NetworkError):
                        await post_search(pool, backend_server)

                nursery.start_soon(search)
                while backend_server.backend.state().in_flight == 0:
                    await trio.lowlevel.checkpoint()
                await post_control(pool, control, "reset")
            self.assertEqual(backend_server.backend.state().in_flight, 0)
            await post_control(pool, control, "restart")
            response = await post_search(pool, backend_server)
            self.assertEqual(headers_of(response)["x-not-run"], "cold")

    @trio_test_real_clock
    async def test_control(self):
        async with open_backend() as (backend_server, control, pool):
            response = await post_control(pool, control, "faults", b'{"freeze":true}')
            self.assertEqual(response.status, 400)
            snapshots = b'{"snapshots":["one","two"]}'
            response = await post_control(pool, control, "snapshots", snapshots)
            report = msgspec.json.decode(response.content)
            self.assertEqual(report["state"]["snapshots"], ["one", "two"])
            self.assertEqual(report["address"], str(backend_server.server.address))
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
