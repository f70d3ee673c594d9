"""Tests of serving callers over real sockets."""

from __future__ import annotations

import socket
import struct
import unittest
from contextlib import asynccontextmanager

import trio

from ibisfront.core.clock import Clock
from ibisfront.gateway.messages import CallerReply
from ibisfront.gateway.state.configuration import CallerLimits
from ibisfront.http1.caller_listener import CallerListener
from ibisfront.http1.listening import listening_socket
from ibisfront.platform.headers import WIRE
from ibisfront.tests import trio_test_real_clock

REQUEST = b"GET /a/b HTTP/1.1\r\nHost: search.example\r\nX-Request-Id: r1\r\n\r\n"
LIMITS = CallerLimits(
    maximum_header_bytes=1000,
    maximum_body_bytes=100,
    header_timeout_ms=200.0,
    idle_timeout_ms=400.0,
)


class ListenerFixture:
    """A listener that records its requests."""

    def __init__(self):
        self.requests = []
        self.cancelled = 0
        self.release = None
        self.sock = listening_socket("127.0.0.1:0")
        self.address = self.sock.getsockname()
        self.listener = CallerListener(
            self.sock,
            answer=self.answer,
            wire=WIRE,
            limits=lambda: LIMITS,
            clock=Clock(),
        )

    async def answer(self, request):
        self.requests.append(request)
        if self.release is not None:
            try:
                await self.release.wait()
            except trio.Cancelled:
                self.cancelled += 1
                raise
        return CallerReply(200, [(b"X-Mark", b"1")], request.body or b"done", "test")


async def wait_until(condition):
    """Poll until a condition holds, since no event signals a socket's state here."""
    while not condition():  # noqa: ASYNC110
        await trio.sleep(0.001)


@asynccontextmanager
async def served():
    """Run a listener for the duration of the block."""
    async with trio.open_nursery() as nursery:
        fixture = ListenerFixture()
        nursery.start_soon(fixture.listener.run)
        yield fixture
        nursery.cancel_scope.cancel()


def reset_after(address, data):
    """Send bytes on a new connection and reset it, before the listener reads them."""
    with socket.create_connection(address) as sock:
        sock.sendall(data)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


async def read_reply(stream):
    """Return the bytes read up to the end of a reply with a length."""
    data = b""
    while True:
        chunk = await stream.receive_some(65536)
        data += chunk
        head, _, body = data.partition(b"\r\n\r\n")
        if not chunk:
            return data
        lengths = [
            int(line.split(b": ")[1])
            for line in head.split(b"\r\n")
            if line.startswith(b"Content-Length: ")
        ]
        if b"\r\n\r\n" in data and lengths and len(body) >= lengths[0]:
            return data


class CallerListenerTest(unittest.TestCase):
    """Requests are read completely and answered once, in order."""

    @trio_test_real_clock
    async def test_persistent_connection_answers_in_order(self):
        async with served() as server:
            stream = await trio.open_tcp_stream(*server.address)
            await stream.send_all(REQUEST + REQUEST.replace(b"r1", b"r2"))
            data = await read_reply(stream)
            while data.count(b"HTTP/1.1 200") < 2:
                data += await read_reply(stream)
            await stream.aclose()
        request_ids = [request.request_id for request in server.requests]
        self.assertEqual(request_ids, ["r1", "r2"])

    @trio_test_real_clock
    async def test_chunked_body_is_complete(self):
        async with served() as server:
            stream = await trio.open_tcp_stream(*server.address)
            head = b"POST /a HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\n\r\n"
            await stream.send_all(head + b"3\r\nabc\r\n")
            await stream.send_all(b"2\r\nde\r\n0\r\n\r\n")
            data = await read_reply(stream)
            await stream.aclose()
        self.assertTrue(data.endswith(b"abcde"))
        self.assertEqual(server.requests[0].body, b"abcde")

    @trio_test_real_clock
    async def test_expect_continue_is_answered(self):
        async with served() as server:
            stream = await trio.open_tcp_stream(*server.address)
            head = b"POST /a HTTP/1.1\r\nHost: s\r\nContent-Length: 3\r\n"
            await stream.send_all(head + b"Expect: 100-continue\r\n\r\n")
            with trio.fail_after(5.0):
                self.assertIn(b" 100 ", await stream.receive_some(65536))
                await stream.send_all(b"abc")
                data = await read_reply(stream)
            await stream.aclose()
        self.assertTrue(data.endswith(b"abc"))
        self.assertEqual(server.requests[0].body, b"abc")

    @trio_test_real_clock
    async def test_caller_that_resets_before_continue_ends_only_its_connection(self):
        """Guards against a reset before 100 Continue that ends the front process."""
        head = b"POST /a HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n"
        async with served() as fixture:
            for _ in range(10):
                reset_after(fixture.address, head)
                with trio.fail_after(5.0):
                    await wait_until(lambda: not fixture.listener.connections)
            stream = await trio.open_tcp_stream(*fixture.address)
            async with stream:
                await stream.send_all(REQUEST)
                self.assertIn(b" 200 ", await read_reply(stream))

    @trio_test_real_clock
    async def test_two_body_lengths_are_rejected(self):
        """Guards against request smuggling.

        With two lengths, the body ends earlier under one than under the other. A
        backend server may parse the rest as a second request that no caller sent.
        """
        async with served() as server:
            for second_length in (b"Content-Length: 9", b"Transfer-Encoding: chunked"):
                stream = await trio.open_tcp_stream(*server.address)
                head = b"POST /a HTTP/1.1\r\nHost: s\r\nContent-Length: 4\r\n"
                await stream.send_all(head + second_length + b"\r\n\r\n0\r\n\r\nGET /x")
                data = await read_reply(stream)
                await stream.aclose()
                self.assertIn(b" 400 ", data.split(b"\r\n")[0])
        self.assertEqual(server.requests, [])

    @trio_test_real_clock
    async def test_exceeded_limits_have_distinct_statuses(self):
        cases = (
            (b"GET /a HTTP/1.1\r\nHost: s\r\nX: " + b"y" * 2000, b" 431 "),
            (b"POST /a HTTP/1.1\r\nContent-Length: 200\r\n\r\n" + b"y" * 200, b" 413 "),
            (b"GET /a HTTP/1.1\r\nHos", b" 408 "),
            (b"nonsense\r\n\r\n", b" 400 "),
        )
        async with served() as server:
            for sent, status in cases:
                stream = await trio.open_tcp_stream(*server.address)
                await stream.send_all(sent)
                data = await read_reply(stream)
                self.assertIn(status, data.split(b"\r\n")[0])
                await stream.aclose()

    @trio_test_real_clock
    async def test_disconnect_cancels_the_request(self):
        async with served() as server:
            server.release = trio.Event()
            stream = await trio.open_tcp_stream(*server.address)
            await stream.send_all(REQUEST)
            await wait_until(lambda: server.requests)
            await stream.aclose()
            await wait_until(lambda: server.cancelled)

    @trio_test_real_clock
    async def test_malformed_bytes_after_a_request_do_not_prevent_its_answer(self):
        """Guards against a forwarded request without an answer.

        Its caller sends malformed bytes after it. The answer must still be sent
        before the connection ends.
        """
        async with served() as server:
            server.release = trio.Event()
            stream = await trio.open_tcp_stream(*server.address)
            await stream.send_all(REQUEST)
            await wait_until(lambda: server.requests)
            await stream.send_all(b"nonsense\r\n\r\n")
            await trio.sleep(0.05)
            server.release.set()
            data = await read_reply(stream)
            await stream.aclose()
        self.assertIn(b" 200 ", data.split(b"\r\n")[0])
        self.assertEqual(server.cancelled, 0)

    @trio_test_real_clock
    async def test_request_arriving_while_an_idle_connection_closes_is_served(self):
        """Guards against a planned stop that drops a request that just arrived.

        The process closes its idle connections. A request reaches one of them at
        the same moment: its bytes are readable, but its task has not run yet. It
        must be answered, not read, forwarded and dropped.
        """
        async with served() as server:
            client = socket.create_connection(server.address)
            await wait_until(lambda: server.listener.connections)
            await trio.sleep(0.01)
            server.listener.is_stopping = True
            client.sendall(REQUEST)
            server.listener.close_idle()
            client.setblocking(False)
            await trio.lowlevel.wait_readable(client)
            data = client.recv(65536)
            client.close()
        self.assertIn(b" 200 ", data.split(b"\r\n")[0])
        self.assertIn(b"Connection: close", data)

    @trio_test_real_clock
    async def test_connection_in_the_backlog_is_served_when_accepting_stops(self):
        async with served() as server:
            await trio.sleep(0.01)
            client = socket.create_connection(server.address)
            client.sendall(REQUEST)
            server.listener.stop_accepting()
            client.setblocking(False)
            await trio.lowlevel.wait_readable(client)
            data = client.recv(65536)
            client.close()
        self.assertIn(b" 200 ", data.split(b"\r\n")[0])
