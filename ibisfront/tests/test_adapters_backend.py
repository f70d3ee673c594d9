"""Tests of one connection to a backend server, over loopback sockets."""

from __future__ import annotations

import unittest
from contextlib import asynccontextmanager

import trio

from ibisfront.adapters.backend import connection_opener
from ibisfront.core.clock import Clock
from ibisfront.core.coverage import MissingReason
from ibisfront.core.query import SubRequest, SubRequestError
from ibisfront.core.settings import BackendSettings
from ibisfront.testing.processes import free_address
from ibisfront.tests import trio_test_real_clock

BODY = b'{"snapshot":"snapshot-1","rows":[]}'
LONG_MS = 60_000.0


def reply(request_id, *, status=b"200 OK", headers=b""):
    """Return the bytes of one reply."""
    return (
        b"HTTP/1.1 %s\r\nX-Request-Id: %s\r\nX-Snapshots: old, snapshot-1\r\n"
        b"%sContent-Length: %d\r\n\r\n%s"
        % (status, request_id.encode(), headers, len(BODY), BODY)
    )


@asynccontextmanager
async def scripted_server(*replies, received=None):
    """Serve a script: one entry of bytes for each request that comes."""
    script = list(replies)

    async def serve(stream):
        async for request in stream:
            if received is not None:
                received.append(request)
            if b"\r\n\r\n" in request and script:
                await stream.send_all(script.pop(0))

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        yield f"127.0.0.1:{port}"
        nursery.cancel_scope.cancel()


def sub_request(sub_request_id, clock):
    """Return a search with much time left."""
    return SubRequest(
        sub_request_id=sub_request_id,
        service="s",
        body_json=b"{}",
        deadline_at_ms=clock.now_ms() + LONG_MS,
        snapshot="snapshot-1",
    )


class ExchangeTest(unittest.TestCase):
    """A reply counts only for the sub-request that it belongs to."""

    @trio_test_real_clock
    async def test_a_warm_connection_that_was_never_used_is_usable(self):
        """Searches were slow although connections were kept warm.

        A connection is opened ahead of need and waits unused; a search takes
        it; httpcore calls a connection idle only after its first exchange,
        so each warm one was closed as unusable and another opened in its
        place: 1,130 of 1,663 in a bench run, at 6 ms of accept each.
        """
        clock = Clock()
        async with scripted_server(reply("r1")) as address:
            connection = await connection_opener(clock, BackendSettings())(address)
            self.assertTrue(connection.is_usable())
            await connection.exchange("search", sub_request("r1", clock))
            self.assertTrue(connection.is_usable())
            await connection.aclose()
            self.assertFalse(connection.is_usable())

    @trio_test_real_clock
    async def test_a_warm_connection_that_the_server_closed_is_not_usable(self):
        """A search must not be sent into a connection that ended unused.

        A connection waits unused, the server closes it, a search takes it:
        the search would fail although a new connection would do.
        """
        clock = Clock()
        closed = trio.Event()

        async def hang_up(stream):
            await stream.aclose()
            closed.set()

        async with trio.open_nursery() as nursery:
            (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, hang_up, [listener])
            port = listener.socket.getsockname()[1]
            opener = connection_opener(clock, BackendSettings())
            connection = await opener(f"127.0.0.1:{port}")
            await closed.wait()
            self.assertFalse(connection.is_usable())
            await connection.aclose()
            nursery.cancel_scope.cancel()

    @trio_test_real_clock
    async def test_reply_to_another_sub_request_is_refused(self):
        """A secretary sees the household that another one looked up.

        The reply to an earlier, given-up sub-request comes on the connection
        where the next one waits. Only the echoed id tells them apart.
        """
        clock = Clock()
        async with scripted_server(reply("theirs")) as address:
            connection = await connection_opener(clock, BackendSettings())(address)
            with self.assertRaises(SubRequestError) as caught:
                await connection.exchange("search", sub_request("ours", clock))
            await connection.aclose()
        self.assertIs(caught.exception.reason, MissingReason.WRONG_REPLY)
        self.assertFalse(caught.exception.complete_reply)

    @trio_test_real_clock
    async def test_an_address_that_is_none_counts_as_a_failed_connection(self):
        """Every search of a branch comes back as a fault of the tier.

        Somebody wrote a server without a port into the platform. The fault
        of its one sub-request ended the searches that touch its service.
        """
        for address in ("127.0.0.1", "127.0.0.1:x", "127.0.0.1:99999", ""):
            with self.subTest(address=address):
                with self.assertRaises(SubRequestError) as caught:
                    await connection_opener(Clock(), BackendSettings())(address)
                self.assertIs(caught.exception.reason, MissingReason.CONNECT_FAILED)
                self.assertTrue(caught.exception.not_run)

    @trio_test_real_clock
    async def test_a_port_beyond_the_last_reaches_no_other_server(self):
        """A search goes to a stranger's port, or ends as a fault of the tier.

        Somebody wrote port 99999 into the platform. The resolver takes it
        modulo 65536, so that the connection opens if anything listens on
        34463; the test before this one failed in such a run.
        """
        async with scripted_server() as address:
            host, _, port = address.rpartition(":")
            wrong = f"{host}:{int(port) + 65_536}"
            with self.assertRaises(SubRequestError) as caught:
                await connection_opener(Clock(), BackendSettings())(wrong)
            self.assertIs(caught.exception.reason, MissingReason.CONNECT_FAILED)

    @trio_test_real_clock
    async def test_connection_with_a_doubled_reply_is_not_used_again(self):
        """A search fails although its server is well.

        The server sent the reply before it twice, in one piece. The second
        copy was read along and would be taken for the next reply.
        """
        clock = Clock()
        async with scripted_server(reply("ours") * 2) as address:
            connection = await connection_opener(clock, BackendSettings())(address)
            answered = await connection.exchange("search", sub_request("ours", clock))
            self.assertEqual(answered.body_json, BODY)
            self.assertEqual(answered.snapshots, ("old", "snapshot-1"))
            self.assertFalse(connection.is_usable())
            await connection.aclose()

    @trio_test_real_clock
    async def test_refusal_leaves_the_connection_usable(self):
        """An overloaded server has to accept a new connection for each refusal.

        Opening one costs it 6 ms. A refusal that came whole leaves nothing on
        the connection, which can be used again.
        """
        clock = Clock()
        refusal = reply(
            "ours",
            status=b"503 Busy",
            headers=b"X-Not-Run: shed\r\nRetry-After-Ms: 40\r\n",
        )
        async with scripted_server(refusal, reply("next")) as address:
            connection = await connection_opener(clock, BackendSettings())(address)
            with self.assertRaises(SubRequestError) as caught:
                await connection.exchange("search", sub_request("ours", clock))
            self.assertIs(caught.exception.reason, MissingReason.SHED)
            self.assertEqual(caught.exception.retry_after_ms, 40.0)
            self.assertTrue(
                caught.exception.not_run and caught.exception.complete_reply
            )
            self.assertTrue(connection.is_usable())
            await connection.exchange("search", sub_request("next", clock))
            await connection.aclose()

    @trio_test_real_clock
    async def test_request_is_sent_in_one_piece(self):
        """Processor time goes into half-filled packets, here and at the servers.

        The library writes the head and the body of a request apart, with a
        system call here and a wake-up of the server for each.
        """
        clock = Clock()
        received = []
        replies = reply("one"), reply("two")
        async with scripted_server(*replies, received=received) as address:
            connection = await connection_opener(clock, BackendSettings())(address)
            await connection.exchange("search", sub_request("one", clock))
            await connection.exchange("search", sub_request("two", clock))
            await connection.aclose()
        self.assertEqual(len(received), 2)
        self.assertTrue(all(b'{"service"' in request for request in received))

    @trio_test_real_clock
    async def test_probe_tells_whether_the_server_answers(self):
        clock = Clock()
        async with scripted_server(reply("")) as address:
            connection = await connection_opener(clock, BackendSettings())(address)
            self.assertTrue(await connection.probe())
            await connection.aclose()

    @trio_test_real_clock
    async def test_refused_connection_did_not_run(self):
        with self.assertRaises(SubRequestError) as caught:
            await connection_opener(Clock(), BackendSettings())(free_address())
        self.assertIs(caught.exception.reason, MissingReason.CONNECT_FAILED)
        self.assertTrue(caught.exception.not_run)
