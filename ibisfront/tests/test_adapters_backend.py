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
    """Run a server that sends one of the replies for each request received."""
    remaining_replies = list(replies)

    async def serve(stream):
        async for request in stream:
            if received is not None:
                received.append(request)
            if b"\r\n\r\n" in request and remaining_replies:
                await stream.send_all(remaining_replies.pop(0))

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        yield f"127.0.0.1:{port}"
        nursery.cancel_scope.cancel()


def sub_request(sub_request_id, clock):
    """Return a search sub-request with a distant deadline."""
    return SubRequest(
        sub_request_id=sub_request_id,
        service="s",
        body_json=b"{}",
        deadline_at_ms=clock.now_ms() + LONG_MS,
        snapshot="snapshot-1",
    )


class ExchangeTest(unittest.TestCase):
    """A reply is accepted only for its own sub-request."""

    @trio_test_real_clock
    async def test_a_warm_connection_that_was_never_used_is_usable(self):
        """Guards against closing warm connections before their first use.

        httpcore reports a connection as idle only after its first exchange.
        If that alone decides, most connections opened in advance are closed by
        the search that takes them, which waits 6 ms for the next accept.
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
        """Guards against sending a search on a connection that was closed.

        The server closes a connection before its first use. A search sent on
        it fails, although a new connection would work.
        """
        clock = Clock()
        closed = trio.Event()

        async def close_connection(stream):
            await stream.aclose()
            closed.set()

        async with trio.open_nursery() as nursery:
            (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, close_connection, [listener])
            port = listener.socket.getsockname()[1]
            opener = connection_opener(clock, BackendSettings())
            connection = await opener(f"127.0.0.1:{port}")
            await closed.wait()
            self.assertFalse(connection.is_usable())
            await connection.aclose()
            nursery.cancel_scope.cancel()

    @trio_test_real_clock
    async def test_reply_to_another_sub_request_is_rejected(self):
        """Guards against giving a caller the reply to another's sub-request.

        The reply to an abandoned sub-request arrives on the connection where
        the next one waits. Only the echoed id distinguishes them.
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
    async def test_a_malformed_address_counts_as_a_failed_connection(self):
        """Guards against failing whole searches over one malformed address.

        The platform lists a server without a valid port. An unexpected
        exception in its sub-request fails every search of its service.
        """
        for address in ("127.0.0.1", "127.0.0.1:x", "127.0.0.1:99999", ""):
            with self.subTest(address=address):
                with self.assertRaises(SubRequestError) as caught:
                    await connection_opener(Clock(), BackendSettings())(address)
                self.assertIs(caught.exception.reason, MissingReason.CONNECT_FAILED)
                self.assertTrue(caught.exception.not_run)

    @trio_test_real_clock
    async def test_a_port_out_of_range_does_not_reach_another_server(self):
        """Guards against sending a search to another process's port.

        The platform lists a server at port 99999. The resolver takes it
        modulo 65536, so the connection opens if anything listens on 34463.
        """
        async with scripted_server() as address:
            host, _, port = address.rpartition(":")
            invalid_address = f"{host}:{int(port) + 65_536}"
            with self.assertRaises(SubRequestError) as caught:
                await connection_opener(Clock(), BackendSettings())(invalid_address)
            self.assertIs(caught.exception.reason, MissingReason.CONNECT_FAILED)

    @trio_test_real_clock
    async def test_connection_with_a_duplicated_reply_is_not_reused(self):
        """Guards against taking a duplicated reply for the next one.

        The server sends a reply twice in one packet. The second copy is read
        along with the first, and would fail the next search.
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
    async def test_rejection_leaves_the_connection_usable(self):
        """Guards against a new connection for each rejection under overload.

        Accepting one costs the server 6 ms. A complete rejection leaves no
        unread bytes on the connection, which can be reused.
        """
        clock = Clock()
        rejection = reply(
            "ours",
            status=b"503 Busy",
            headers=b"X-Not-Run: shed\r\nRetry-After-Ms: 40\r\n",
        )
        async with scripted_server(rejection, reply("next")) as address:
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
    async def test_request_is_sent_in_a_single_write(self):
        """Guards against processor time lost to partial writes.

        httpcore writes the head and the body of a request separately, each of
        which costs a system call here and a wake-up of the server.
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
    async def test_probe_reports_whether_the_server_responds(self):
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
