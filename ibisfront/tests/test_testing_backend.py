"""Tests of the backend servers' stand-in."""

from __future__ import annotations

import unittest
from contextlib import asynccontextmanager

import httpcore
import msgspec
import trio

from ibisfront.testing.backend import BackendControl, BackendServer
from ibisfront.testing.backend_records import search_rows
from ibisfront.testing.backend_state import FIRST_SNAPSHOT, FakeBackend
from ibisfront.testing.backend_types import BackendSettings, WorkRequest
from ibisfront.tests import trio_test, trio_test_real_clock

LOOPBACK = "127.0.0.1"
SETTINGS = BackendSettings(service_median_ms=10.0, service_sigma=0.0, queue_limit=1)
FAST = BackendSettings(service_median_ms=0.0, service_sigma=0.0, accept_ms=0.0)


def search_work(marker="m1", **fields):
    """Return a search of the service ``s`` with a marker."""
    return WorkRequest(
        service="s",
        request={"marker": marker},
        request_id=f"id-{marker}",
        **{"snapshot": FIRST_SNAPSHOT, **fields},
    )


class TestFakeBackend(unittest.TestCase):
    """One backend server in-process, under the mock clock."""

    @trio_test
    async def test_search(self):
        backend = FakeBackend("s", "s-0", settings=SETTINGS)
        reply = await backend.search(search_work())
        self.assertEqual((reply.status, reply.request_id), (200, "id-m1"))
        self.assertEqual(
            reply.body.rows, search_rows("s", FIRST_SNAPSHOT, {"marker": "m1"}, 5)
        )
        self.assertEqual({row.request for row in reply.body.rows}, {"m1"})


@asynccontextmanager
async def open_backend(settings=FAST):
    """Serve one backend server and yield its face, control and a client."""
    async with trio.open_nursery() as nursery, httpcore.AsyncConnectionPool() as pool:
        face = BackendServer(FakeBackend("s", "s-0", settings=settings), nursery)
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


class TestBackendOverHttp(unittest.TestCase):
    """One backend server over loopback sockets."""

    @trio_test_real_clock
    async def test_search(self):
        async with open_backend() as (face, _control, pool):
            response = await post_search(pool, face)
            self.assertEqual(response.status, 200)
            headers = {name.lower(): value for name, value in response.headers}
            self.assertEqual(headers[b"x-request-id"], b"id-m1")
            self.assertEqual(headers[b"x-snapshots"], FIRST_SNAPSHOT.encode())
            body = msgspec.json.decode(response.content)
            self.assertEqual(body["snapshot"], FIRST_SNAPSHOT)
            self.assertEqual({row["request"] for row in body["rows"]}, {"m1"})
