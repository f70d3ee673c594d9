"""Tests of calls to one HTTP server, over real sockets in mock time."""

from __future__ import annotations

import socket
import unittest
from functools import partial, wraps

import trio
import trio.testing

from ibisfront.http1.backend_connection import open_socket
from ibisfront.http1.client import HttpClient

MAX_REPLY_S = 8.0
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 4000\r\n\r\n"
PIECE = b"x" * 1000


def with_server(test):
    """Run a test with a client and a server.

    The clock advances only by the test's jumps, so that results do not depend
    on the load of the machine.
    """

    @wraps(test)
    def run(self):
        clock = trio.testing.MockClock()
        trio.run(served, test, self, clock, clock=clock)

    return run


async def served(test, case, clock):
    """Run a test while a server listens that accepts connections on demand."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.setblocking(False)
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        client = HttpClient(address, maximum_body_bytes=1_000_000)
        server = Server(listener, clock)
        async with trio.open_nursery() as nursery:
            await test(case, client, server, nursery)
            nursery.cancel_scope.cancel()
        client.close()


class Server:
    """Sends one reply in pieces."""

    def __init__(self, listener, clock):
        self.listener = listener
        self.clock = clock

    async def send_pieces(self, *pieces, pause_s):
        await trio.lowlevel.wait_readable(self.listener)
        connection, _ = self.listener.accept()
        with connection:
            for data in pieces:
                connection.sendall(data)
                await trio.testing.wait_all_tasks_blocked(0.01)
                self.clock.jump(pause_s)
            await trio.testing.wait_all_tasks_blocked(0.01)
            # Sends nothing more, without closing.
            self.clock.jump(60.0)
            await trio.sleep_forever()


class SlowReplyTest(unittest.TestCase):
    """Replies that take longer than the timeout."""

    @with_server
    async def test_timeout_error_states_the_bytes_received(
        self, client, server, nursery
    ):
        nursery.start_soon(send_slowly, server, 2)
        with self.assertRaises(TimeoutError) as caught:
            await client.call("GET", "/", timeout_ms=1_000.0)
        self.assertIn("2000 bytes received", str(caught.exception))

    @with_server
    async def test_slow_reply_is_read_completely(self, client, server, nursery):
        """Guards against an instance that never receives a new configuration.

        With a timeout of 1,200 ms for the whole reply, a megabyte on a link of
        7 Mbit/s times out after 983,040 bytes, is discarded and requested again
        from its beginning, although all links work.
        """
        nursery.start_soon(send_slowly, server, 4)
        reply = await client.call("GET", "/", timeout_ms=1_000.0)
        self.assertEqual(len(reply.body), 4000)

    @with_server
    async def test_endless_reply_times_out(self, client, server, nursery):
        """Guards against waiting for a faulty source that sends single bytes slowly."""
        nursery.start_soon(partial(server.send_pieces, HEAD, *[b"x"] * 60, pause_s=0.4))
        with self.assertRaises(TimeoutError):
            await client.call("GET", "/", timeout_ms=1_000.0)
        self.assertAlmostEqual(trio.current_time(), MAX_REPLY_S, delta=0.5)

    @with_server
    async def test_text_that_is_no_address_is_an_unreachable_server(
        self, client, server, nursery
    ):
        """Guards against an entry's address that ends the tasks of an instance."""
        for address in ("", "a", ":80", "127.0.0.1:", "127.0.0.1:80443", "h:x", "\0:1"):
            with self.subTest(address), self.assertRaises(OSError):
                await open_socket(address, timeout_ms=100.0)


async def send_slowly(server, pieces):
    """Send the head and some pieces, one of them every 0.4 s."""
    await server.send_pieces(HEAD, *[PIECE] * pieces, pause_s=0.4)
