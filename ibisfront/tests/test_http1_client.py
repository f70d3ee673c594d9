"""Tests of calls of one HTTP server, over real sockets in mock time."""

from __future__ import annotations

import socket
import unittest
from functools import partial, wraps

import trio
import trio.testing

from ibisfront.http1.client import HttpClient

MAX_REPLY_S = 8.0
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 4000\r\n\r\n"
PIECE = b"x" * 1000


def with_server(test):
    """Run a test with a client and the connection that its server accepts.

    The clock stands still but for the jumps that the test makes, so that
    nothing depends on how busy the machine is.
    """

    @wraps(test)
    def run(self):
        clock = trio.testing.MockClock()
        trio.run(served, test, self, clock, clock=clock)

    return run


async def served(test, case, clock):
    """Run a test while a server listens that accepts what it is told to."""
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
            # Silent from now on, and not closed.
            self.clock.jump(60.0)
            await trio.sleep_forever()


class SlowReplyTest(unittest.TestCase):
    """Replies that take long."""

    @with_server
    async def test_error_says_how_much_of_a_reply_came(self, client, server, nursery):
        nursery.start_soon(send_slowly, server, 2)
        with self.assertRaises(TimeoutError) as caught:
            await client.call("GET", "/", timeout_ms=1_000.0)
        self.assertIn("2000 bytes came", str(caught.exception))

    @with_server
    async def test_reply_that_keeps_coming_is_read_to_its_end(
        self, client, server, nursery
    ):
        """An instance never gets a new configuration, although all links are well.

        The time allowed was for the whole reply. A megabyte takes longer than
        that on a link of 7 Mbit/s ("no whole reply within 1200 ms, 983040 bytes
        came"); it was thrown away each time, and asked for from its beginning.
        """
        nursery.start_soon(send_slowly, server, 4)
        reply = await client.call("GET", "/", timeout_ms=1_000.0)
        self.assertEqual(len(reply.body), 4000)

    @with_server
    async def test_reply_that_never_ends_is_given_up(self, client, server, nursery):
        """An instance follows a faulty source that sends a byte now and then."""
        nursery.start_soon(partial(server.send_pieces, HEAD, *[b"x"] * 60, pause_s=0.4))
        with self.assertRaises(TimeoutError):
            await client.call("GET", "/", timeout_ms=1_000.0)
        self.assertAlmostEqual(trio.current_time(), MAX_REPLY_S, delta=0.5)


async def send_slowly(server, pieces):
    """Send the head and some pieces, something each 0.4 s."""
    await server.send_pieces(HEAD, *[PIECE] * pieces, pause_s=0.4)
