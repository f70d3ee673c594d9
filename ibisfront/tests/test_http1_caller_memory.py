"""Tests of the limits on what callers use over all connections."""

from __future__ import annotations

import socket
import unittest

import trio

from ibisfront.core.clock import Clock
from ibisfront.core.counters import CounterKind, Counters
from ibisfront.gateway.messages import CallerReply
from ibisfront.gateway.state.configuration import CallerLimits
from ibisfront.http1.caller_listener import CallerListener
from ibisfront.http1.caller_memory import ALLOWANCE_BYTES, CallerMemory
from ibisfront.http1.listening import listening_socket
from ibisfront.platform.headers import WIRE
from ibisfront.tests import trio_test, trio_test_real_clock
from ibisfront.tests.test_http1_caller_listener import read_reply, wait_until

LIMITS = CallerLimits()
SMALL_MEMORY_BYTES = 5_000_000
LARGE_BODY_BYTES = 250_000


def request_bytes(name, *lines, body=b"", method=b"GET"):
    """Return the bytes of a request."""
    head = [method + b" /a HTTP/1.1", b"Host: a", b"X-Request-Id: " + name, *lines]
    return b"\r\n".join([*head, b"", b""]) + body


def unfinished_body(name):
    """Return the bytes of a request that lacks the last one of its body."""
    length = b"Content-Length: %d" % (LARGE_BODY_BYTES + 1)
    body = b"x" * LARGE_BODY_BYTES
    return request_bytes(name, length, body=body, method=b"POST")


class CountingClock(Clock):
    """Counts sleeps."""

    sleeps = 0

    async def sleep_ms(self, duration_ms):
        """Count, then sleep."""
        self.sleeps += 1
        await super().sleep_ms(duration_ms)


class ManualClock(Clock):
    """Its time passes only when a test says so."""

    at_ms = 0.0

    def now_ms(self):
        """Return the time that the test has set."""
        return self.at_ms


class MeteredFixture:
    """A listener with little memory, whose answers wait if they are told to."""

    def __init__(self, nursery, memory_bytes=SMALL_MEMORY_BYTES, *, clock=None):
        clock = clock or Clock()
        self.seen = []
        self.release = trio.Event()
        self.release.set()
        self.memory = CallerMemory(memory_bytes=memory_bytes, clock=clock)
        sock = listening_socket("127.0.0.1:0")
        self._address = sock.getsockname()
        self.listener = CallerListener(
            sock,
            answer=self._answer,
            wire=WIRE,
            limits=lambda: LIMITS,
            clock=clock,
            memory=self.memory,
        )
        nursery.start_soon(self.listener.run)

    async def _answer(self, request):
        self.seen.append(request.request_id)
        await self.release.wait()
        return CallerReply(200, [], b"done", "test")

    async def connect(self):
        return await trio.open_tcp_stream(*self._address)

    async def status(self, sent):
        """Return the status of the answer to bytes on a new connection."""
        async with await self.connect() as stream:
            await stream.send_all(sent)
            return int((await read_reply(stream)).split(b" ")[1])


class SharedPoolTest(unittest.TestCase):
    """Requests that together need more than the pool."""

    @trio_test_real_clock
    async def test_unfinished_requests_beyond_the_pool_are_refused_as_not_run(self):
        """Guards against a process that holds all the bodies that callers begin."""
        async with trio.open_nursery() as nursery:
            fixture = MeteredFixture(nursery)
            replies = []

            async def send(name):
                async with await fixture.connect() as stream:
                    await stream.send_all(unfinished_body(name))
                    replies.append(await read_reply(stream))

            for number in range(30):
                nursery.start_soon(send, b"r%d" % number)
            with trio.fail_after(20.0):
                await wait_until(lambda: len(replies) >= 15)
                status = await fixture.status(request_bytes(b"small"))
            pool_bytes = fixture.memory.pool_bytes(LIMITS)
            self.assertLessEqual(fixture.memory.drawn_bytes, pool_bytes)
            nursery.cancel_scope.cancel()
        self.assertEqual(status, 200)
        for reply in replies:
            self.assertIn(b" 503 ", reply.split(b"\r\n")[0])
            self.assertIn(b"Retry-After: ", reply)
        self.assertEqual(fixture.seen, ["small"])

    @trio_test_real_clock
    async def test_whole_requests_beyond_the_pool_are_refused_before_they_run(self):
        """Guards against any number of whole bodies that wait for a server."""
        async with trio.open_nursery() as nursery:
            fixture = MeteredFixture(nursery)
            fixture.release = trio.Event()
            refused = []

            async def send(name):
                whole = unfinished_body(name) + b"x"
                if await fixture.status(whole) == 503:
                    refused.append(name.decode())

            for number in range(30):
                nursery.start_soon(send, b"r%d" % number)
            with trio.fail_after(20.0):
                await wait_until(lambda: len(fixture.seen) + len(refused) == 30)
            self.assertTrue(fixture.seen)
            self.assertEqual(set(fixture.seen) & set(refused), set())
            nursery.start_soon(fixture.status, request_bytes(b"small"))
            with trio.fail_after(20.0):
                await wait_until(lambda: "small" in fixture.seen)
            nursery.cancel_scope.cancel()

    @trio_test_real_clock
    async def test_awaited_answer_precedes_the_refusal_of_requests_sent_ahead(self):
        """Guards against a forwarded request that is cut off with those behind it."""
        async with trio.open_nursery() as nursery:
            fixture = MeteredFixture(nursery)
            fixture.release = trio.Event()
            ahead = b"".join(request_bytes(b"r%d" % number) for number in range(1_000))
            async with await fixture.connect() as stream:
                with trio.fail_after(20.0):
                    await stream.send_all(ahead)
                    await wait_until(lambda: fixture.seen)
                    for connection in fixture.listener.metered:
                        connection.give_up()
                    fixture.release.set()
                    data = await read_reply(stream)
                    while rest := await stream.receive_some(65_536):
                        data += rest
            nursery.cancel_scope.cancel()
        statuses = [part[:3] for part in data.split(b"HTTP/1.1 ")[1:]]
        self.assertEqual(statuses, [b"200", b"503"])
        self.assertEqual(fixture.seen, ["r0"])

    @trio_test_real_clock
    async def test_connection_with_a_full_queue_is_not_polled(self):
        """Guards against callers that send ahead and use up the processor."""
        async with trio.open_nursery() as nursery:
            clock = CountingClock()
            fixture = MeteredFixture(nursery, 200_000_000, clock=clock)
            fixture.release = trio.Event()
            ahead = b"".join(request_bytes(b"r%d" % number) for number in range(100))
            async with await fixture.connect() as stream:
                await stream.send_all(ahead)
                with trio.fail_after(20.0):
                    await wait_until(lambda: fixture.seen)
                await trio.sleep(0.3)
                self.assertEqual(clock.sleeps, 0)
                fixture.release.set()
                with trio.fail_after(20.0):
                    await wait_until(lambda: len(fixture.seen) == 100)
            nursery.cancel_scope.cancel()

    @trio_test_real_clock
    async def test_largest_request_is_served_in_calm_at_any_size_of_the_memory(self):
        """Guards against a limit that a single request inside the limits meets."""
        length = b"Content-Length: %d" % LIMITS.maximum_body_bytes
        lines = [b"a:"] * (LIMITS.maximum_header_bytes // 4 - 100)
        body = b"x" * LIMITS.maximum_body_bytes
        request = request_bytes(b"r", length, *lines, body=body, method=b"POST")
        for memory_bytes in (3_000_000, 40_000_000, 552_000_000):
            with self.subTest(memory_bytes), trio.fail_after(20.0):
                async with trio.open_nursery() as nursery:
                    fixture = MeteredFixture(nursery, memory_bytes)
                    for _ in range(3):
                        self.assertEqual(await fixture.status(request), 200)
                    nursery.cancel_scope.cancel()

    @trio_test_real_clock
    async def test_kept_connection_draws_nothing_after_a_large_request(self):
        """Guards against a reader that stays as large as its last request."""
        async with trio.open_nursery() as nursery:
            fixture = MeteredFixture(nursery)
            async with await fixture.connect() as stream:
                with trio.fail_after(20.0):
                    await stream.send_all(unfinished_body(b"r"))
                    await wait_until(lambda: fixture.memory.drawn_bytes > 200_000)
                    await stream.send_all(b"x")
                    self.assertIn(b" 200 ", await read_reply(stream))
                self.assertEqual(fixture.memory.drawn_bytes, 0)
            async with await fixture.connect() as stream:
                await stream.send_all(unfinished_body(b"r"))
                with trio.fail_after(20.0):
                    await wait_until(lambda: fixture.memory.drawn_bytes > 200_000)
            with trio.fail_after(20.0):
                await wait_until(lambda: not fixture.listener.connections)
            self.assertEqual(fixture.memory.drawn_bytes, 0)
            nursery.cancel_scope.cancel()


ANSWER_BYTES = 4_000_000


class UnreadAnswerTest(unittest.TestCase):
    """Answers that their callers do not read, or read slowly."""

    async def _listen(self, nursery, *, idle_timeout_ms, memory_bytes, clock=None):
        clock = clock or Clock()

        async def answer(request):
            return CallerReply(200, [], b"x" * ANSWER_BYTES, "test")

        memory = CallerMemory(memory_bytes=memory_bytes, clock=clock)
        sock = listening_socket("127.0.0.1:0")
        address = sock.getsockname()
        listener = CallerListener(
            sock,
            answer=answer,
            wire=WIRE,
            limits=lambda: CallerLimits(idle_timeout_ms=idle_timeout_ms),
            clock=clock,
            memory=memory,
        )
        nursery.start_soon(listener.run)
        return listener, address

    async def _request(self, address):
        sock = trio.socket.socket()
        # Otherwise the kernel would take most of an answer.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        await sock.connect(address)
        stream = trio.SocketStream(sock)
        await stream.send_all(request_bytes(b"r"))
        return stream

    @trio_test_real_clock
    async def test_connection_of_a_caller_that_does_not_read_is_closed(self):
        """Guards against answers that are kept for as long as a caller likes."""
        async with trio.open_nursery() as nursery:
            listener, address = await self._listen(
                nursery, idle_timeout_ms=200.0, memory_bytes=200_000_000
            )
            async with await self._request(address):
                with trio.fail_after(20.0):
                    await wait_until(lambda: listener.memory.drawn_bytes)
                    await wait_until(lambda: not listener.connections)
                self.assertEqual(listener.memory.drawn_bytes, 0)
            nursery.cancel_scope.cancel()

    @trio_test_real_clock
    async def test_slow_reader_gets_its_whole_answer_beside_those_that_stall(self):
        """Guards against cutting off a caller that makes progress."""
        async with trio.open_nursery() as nursery:
            clock = ManualClock()
            listener, address = await self._listen(
                nursery, idle_timeout_ms=6e5, memory_bytes=50_000_000, clock=clock
            )
            stalled = [await self._request(address) for _ in range(2)]
            with trio.fail_after(20.0):
                await wait_until(lambda: listener.memory.drawn_bytes > ANSWER_BYTES)
            clock.at_ms += 5_000.0
            reader = await self._request(address)
            received = 0
            with trio.fail_after(30.0):
                async with reader:
                    while received < ANSWER_BYTES // 2:
                        data = await reader.receive_some(200_000)
                        self.assertTrue(data, f"cut off after {received} bytes")
                        received += len(data)
                    nursery.start_soon(self._stall_more, address)
                    await wait_until(lambda: listener.connections >= 4)
                    while data := await reader.receive_some(200_000):
                        received += len(data)
                        if received > ANSWER_BYTES:
                            break
                await wait_until(lambda: listener.memory.drawn_bytes <= 10_000_000)
            self.assertGreater(received, ANSWER_BYTES)
            for stream in stalled:
                await trio.aclose_forcefully(stream)
            nursery.cancel_scope.cancel()

    async def _stall_more(self, address):
        streams = [await self._request(address) for _ in range(6)]
        await trio.sleep_forever()
        del streams


class FakeConnection:
    """A connection that holds some bytes since some time."""

    def __init__(self, memory, *, since_ms, held_bytes=0, is_in_work=False):
        self.drawn_bytes = 0
        self.releasable_bytes = 0 if is_in_work else held_bytes
        self.is_in_work = is_in_work
        self.stalled_since_ms = since_ms
        self.has_given_up = self.is_closed = False
        self._memory = memory
        self._held_bytes = held_bytes

    def record(self):
        self._memory.record(self, self._held_bytes, LIMITS)

    def give_up(self):
        self.has_given_up = True
        self._held_bytes -= self.releasable_bytes
        self.releasable_bytes = 0
        self.record()

    def close(self):
        self.is_closed = True


class FakeListener:
    """A listener with these connections."""

    def __init__(self, memory, connections=()):
        self.metered = list(connections)
        memory.add_listener(self)


class OrderTest(unittest.TestCase):
    """Who gives up when there is too much."""

    @trio_test
    async def test_what_is_held_for_longest_is_given_up_first(self):
        """Guards against a crowd that keeps its place while newcomers are refused."""
        await trio.sleep(10.0)
        counters = Counters()
        memory = CallerMemory(memory_bytes=50_000_000, clock=Clock(), counters=counters)
        now_ms = Clock().now_ms()
        crowd = [
            FakeConnection(memory, since_ms=now_ms - 5_000, held_bytes=200_000)
            for _ in range(60)
        ]
        newcomer = FakeConnection(memory, since_ms=now_ms - 10, held_bytes=250_000)
        small = FakeConnection(memory, since_ms=0.0, held_bytes=ALLOWANCE_BYTES)
        FakeListener(memory, [small, *crowd, newcomer])
        for connection in (small, newcomer, *crowd):
            connection.record()
        given_up = sum(connection.has_given_up for connection in crowd)
        self.assertGreater(given_up, 10)
        self.assertFalse(newcomer.has_given_up)
        self.assertFalse(small.has_given_up)
        self.assertLessEqual(memory.drawn_bytes, memory.pool_bytes(LIMITS))
        counted = {item.reason: item.value for item in counters.values()}
        self.assertEqual(counted, {"callers_memory": given_up})
        self.assertEqual(
            {item.kind for item in counters.values()}, {CounterKind.REFUSALS}
        )

    @trio_test
    async def test_newcomer_gives_up_when_the_others_are_in_work(self):
        """Guards against cutting off requests that servers may have received."""
        memory = CallerMemory(memory_bytes=50_000_000, clock=Clock())
        working = [
            FakeConnection(memory, since_ms=0.0, held_bytes=500_000, is_in_work=True)
            for _ in range(19)
        ]
        newcomer = FakeConnection(memory, since_ms=0.0, held_bytes=1_200_000)
        FakeListener(memory, [*working, newcomer])
        for connection in (*working, newcomer):
            connection.record()
        self.assertTrue(newcomer.has_given_up)
        self.assertFalse(any(connection.has_given_up for connection in working))

    @trio_test
    async def test_no_more_give_up_than_have_to_when_the_others_are_in_work(self):
        """Guards against refusing every unfinished request for one that is too much."""
        await trio.sleep(1.0)
        memory = CallerMemory(memory_bytes=50_000_000, clock=Clock())
        working = [
            FakeConnection(memory, since_ms=0.0, held_bytes=500_000, is_in_work=True)
            for _ in range(19)
        ]
        now_ms = Clock().now_ms()
        young = [
            FakeConnection(memory, since_ms=now_ms, held_bytes=100_000)
            for _ in range(5)
        ]
        old = FakeConnection(memory, since_ms=0.0, held_bytes=300_000)
        FakeListener(memory, [*working, *young, old])
        for connection in (*working, *young, old):
            connection.record()
        self.assertTrue(old.has_given_up)
        self.assertFalse(any(connection.has_given_up for connection in young))


class ConnectionLimitTest(unittest.TestCase):
    """Who is closed when there are too many connections."""

    @trio_test
    async def test_connection_that_waits_for_longest_is_closed_first(self):
        """Guards against idle callers that use up the descriptors of the process."""
        memory = CallerMemory(maximum_descriptors=600, clock=Clock())
        maximum = memory.maximum_connections
        self.assertEqual(maximum, 300)
        peers = [FakeConnection(memory, since_ms=-1e6) for _ in range(10)]
        working = [
            FakeConnection(memory, since_ms=-1e6, is_in_work=True) for _ in range(10)
        ]
        idle = [FakeConnection(memory, since_ms=float(n)) for n in range(280)]
        FakeListener(memory, peers)
        callers = FakeListener(memory, [*working, *idle])
        self.assertTrue(memory.admit(idle[-1]))
        self.assertFalse(any(connection.is_closed for connection in callers.metered))
        newcomer = FakeConnection(memory, since_ms=300.0)
        callers.metered.append(newcomer)
        self.assertTrue(memory.admit(newcomer))
        closed = [connection.is_closed for connection in idle]
        count = closed.count(True)
        self.assertGreater(count, 0)
        self.assertEqual(closed, [True] * count + [False] * (280 - count))
        for connection in (*peers, *working, newcomer):
            self.assertFalse(connection.is_closed)

    @trio_test
    async def test_newcomer_is_closed_only_where_all_others_are_in_work(self):
        """Guards against connections without a limit that all wait for servers."""
        memory = CallerMemory(maximum_descriptors=600, clock=Clock())
        listener = FakeListener(memory)
        admitted = 0
        for _ in range(500):
            connection = FakeConnection(memory, since_ms=0.0, is_in_work=True)
            listener.metered.append(connection)
            if not memory.admit(connection):
                listener.metered.remove(connection)
                break
            admitted += 1
        self.assertEqual(admitted, 360)

    def test_connections_fit_into_the_memory_whatever_the_descriptors(self):
        """Guards against a limit of descriptors alone on a machine of little memory."""
        memory = CallerMemory(
            memory_bytes=40_000_000, maximum_descriptors=10_000, clock=Clock()
        )
        self.assertLess(memory.maximum_connections * 20_000, 10_000_000)
        memory.set_limits(memory_bytes=400_000_000, maximum_descriptors=10_000)
        self.assertGreater(memory.maximum_connections, 3_000)
        memory.set_limits(memory_bytes=400_000_000, maximum_descriptors=100)
        self.assertEqual(memory.maximum_connections, 37)
