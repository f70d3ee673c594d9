"""Tests of answers whose status is none in the protocol, over real sockets."""

from __future__ import annotations

import tempfile
import unittest
from contextlib import asynccontextmanager
from pathlib import Path

import trio

from ibisfront.gateway.messages import ExchangeErrorKind
from ibisfront.http1.client import HttpClient
from ibisfront.http1.parser import MalformedMessageError, ReplyReader
from ibisfront.testing.object_store import FakeObjectStore
from ibisfront.testing.soak.fronts import SoakFront
from ibisfront.tests import trio_test_real_clock
from ibisfront.tests.crowd import HOST, MAXIMUM_BODY_BYTES, head_of
from ibisfront.tests.test_endless_bytes import send_request

IMPOSSIBLE = ("000", "001", "099", "600", "700", "999")
TIMEOUT_MS = 60_000
"""Of requests and calls; an answer must not wait for it."""


class StatusServer:
    """Answers each request with one status, and keeps its connections open."""

    def __init__(self, status):
        self.status = status.encode()
        self.requests = 0
        self.is_closed = trio.Event()

    async def serve(self, stream):
        data = b""
        while chunk := await self._receive(stream):
            data += chunk
            if b"\r\n\r\n" not in data:
                continue
            request_id = b"r1"
            for line in data.split(b"\r\n"):
                if line.lower().startswith(b"x-request-id: "):
                    request_id = line.partition(b": ")[2]
            self.requests += 1
            data = b""
            await stream.send_all(
                b"HTTP/1.1 "
                + self.status
                + b" Odd\r\nX-Request-Id: "
                + request_id
                + b"\r\nX-Backend-Stamp: stamp\r\nContent-Length: 4\r\n\r\nodd!"
            )
        self.is_closed.set()

    async def _receive(self, stream):
        try:
            return await stream.receive_some(65_536)
        except trio.BrokenResourceError:
            return b""


async def listen(server, nursery):
    """Serve on a free port; return the address."""
    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    nursery.start_soon(trio.serve_listeners, server.serve, [listener])
    host, port = listener.socket.getsockname()
    return f"{host}:{port}"


class ImpossibleStatusTest(unittest.TestCase):
    """Statuses below 100 and above 599 are no answers."""

    def test_reader_rejects_a_status_outside_the_protocol(self):
        """Guards against a status 000 that counts as interim, and 600 as final."""
        for status in IMPOSSIBLE:
            reader = ReplyReader(1_000)
            reader.expect_reply()
            with self.subTest(status), self.assertRaises(MalformedMessageError):
                reader.feed(b"HTTP/1.1 %b X\r\n\r\n" % status.encode())
        for status in ("200", "404", "599"):
            reader = ReplyReader(1_000)
            reader.expect_reply()
            reader.feed(b"HTTP/1.1 103 Early Hints\r\n\r\n")
            reader.feed(b"HTTP/1.1 %b X\r\nContent-Length: 0\r\n\r\n" % status.encode())
            self.assertEqual([item.status for item in reader.messages], [int(status)])

    @trio_test_real_clock
    async def test_exchange_with_a_server_ends_at_once_and_may_have_run(self):
        """Guards against a request that waits for its deadline or counts as not run."""
        for status in IMPOSSIBLE:
            with self.subTest(status):
                server = StatusServer(status)
                async with trio.open_nursery() as nursery:
                    exchange = await send_request(server, nursery)
                    nursery.cancel_scope.cancel()
                self.assertIs(exchange.error.kind, ExchangeErrorKind.BAD_REPLY)
                self.assertTrue(exchange.error.may_have_run)

    @trio_test_real_clock
    async def test_call_of_the_store_or_a_peer_fails_at_once(self):
        """Guards against a call that waits for its time-out."""
        for status in IMPOSSIBLE:
            with self.subTest(status):
                async with trio.open_nursery() as nursery:
                    address = await listen(StatusServer(status), nursery)
                    client = HttpClient(address, maximum_body_bytes=1_000)
                    with trio.fail_after(10.0), self.assertRaises(ConnectionResetError):
                        await client.call("GET", "/", timeout_ms=TIMEOUT_MS)
                    nursery.cancel_scope.cancel()


class CallerTest(unittest.TestCase):
    """What callers of a front process get."""

    @trio_test_real_clock
    async def test_no_caller_gets_an_impossible_status(self):
        """Guards against a status 000 or 600 that reaches a caller."""
        server = StatusServer("000")
        seen = {}
        with tempfile.TemporaryDirectory() as folder:
            async with self._front(folder, server) as front:
                for status in ("000", "600"):
                    server.status = status.encode()
                    for path in ("/fetch/a", "/order/a", "/search/a"):
                        with trio.move_on_after(15.0):
                            seen[status, path] = await self._ask(front, path)
        self.assertEqual(set(seen.values()), {502}, seen)
        self.assertEqual(len(seen), 6, "some had no answer in time")

    @asynccontextmanager
    async def _front(self, folder, server):
        """Run a front process with one server."""
        store = FakeObjectStore()
        front = SoakFront(0, Path(folder))
        async with trio.open_nursery() as nursery, store.running():
            address = await listen(server, nursery)
            store.put("config", "main", _configuration())
            store.put("servers", "i-1", _entry(address))
            front.store_proxy.address = store.address
            front.write_settings([])
            await front.start()
            try:
                yield front
            finally:
                with trio.CancelScope(shield=True):
                    await front.close()
                nursery.cancel_scope.cancel()

    async def _ask(self, front, path):
        """Return the status of the first answer that is not for want of a state."""
        method = "POST" if path.startswith("/order/") else "GET"
        while True:
            try:
                host, _, port = front.callers_address.rpartition(":")
                stream = await trio.open_tcp_stream(host, int(port))
            except OSError:
                await trio.sleep(0.05)
                continue
            async with stream:
                await stream.send_all(
                    head_of(method, path, b"Content-Length: 0\r\n\r\n")
                )
                data = b""
                while b"\r\n\r\n" not in data:
                    data += await stream.receive_some(65_536)
            status = data.split(b" ")[1]
            if status != b"503":
                return int(status)
            await trio.sleep(0.05)


def _entry(address):
    return {
        "service": "s",
        "addr": address,
        "zone": "z0",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "warmupLeftMs": 0,
        "seq": 1,
    }


def _configuration():
    routes = [
        _route("fetch", "idempotent", service="s"),
        _route("order", "non_idempotent", service="s"),
        _route("search", "idempotent", gather=["s"], topK=5, minCoverage=1.0),
    ]
    return {
        "version": 3,
        "routes": routes,
        "services": [{"name": "s", "maxConns": 40}],
        "limits": {
            "maxHeaderBytes": 8_192,
            "maxBodyBytes": MAXIMUM_BODY_BYTES,
            "headerTimeoutMs": TIMEOUT_MS,
            "idleTimeoutMs": TIMEOUT_MS,
        },
    }


def _route(name, kind, **fields):
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": TIMEOUT_MS,
        "sloMs": 1_000,
        "attempts": 1,
        "priority": 1,
        **fields,
    }
