"""Tests of the room of servers and services, in mock time."""

from __future__ import annotations

import itertools
import unittest
from collections import Counter, deque

import trio

from ibisfront.gateway.load.query_time import QueryTime
from ibisfront.gateway.load.scarce_services import services_left_out
from ibisfront.gateway.load.server_window import ServerWindow
from ibisfront.gateway.load.service_room import service_room
from ibisfront.gateway.messages import ExchangeErrorKind
from ibisfront.gateway.servers.exchange import Exchange
from ibisfront.lab import run_pattern
from ibisfront.lab.pattern import Burst, Fault, FaultKind, Pattern, QueryKind
from ibisfront.testing.gateway_fixture import GatewayFixture, gather_route
from ibisfront.tests import trio_test

_WORK_MS = 10.0
_QUEUE = 12

_IN_TIME = 0.25


class _Server:
    """A server with slots and a queue, and the instances that send to it."""

    def __init__(self, *, senders=6, slots=2):
        self.slots = slots
        self.now_ms = 0
        self.windows = [ServerWindow(slots) for _ in range(senders)]
        for window in self.windows:
            window.senders = senders
        self._waiting = [number / senders for number in range(senders)]
        self._sent = [0] * senders
        self._queue = deque()
        self._running = []
        self.busy = self.rejected = 0
        self.lengths = []

    def run(self, for_ms, load):
        """Offer a load, in multiples of what the slots can run; reset the counts."""
        self.busy = self.rejected = 0
        self.lengths = []
        for step in range(for_ms):
            rate = load(step) if callable(load) else load
            self.now_ms += 1
            self._complete()
            for sender in range(len(self.windows)):
                each = rate * self.slots / _WORK_MS / len(self.windows)
                self._waiting[sender] = min(self._waiting[sender] + each, 50.0)
                self._send(sender)
            self.busy += len(self._running)
            self.lengths.append(len(self._running) + len(self._queue))

    def _complete(self):
        for item in [item for item in self._running if item[2] <= self.now_ms]:
            self._running.remove(item)
            sender, sent_at_ms, _ = item
            window, sent = self.windows[sender], self._sent[sender]
            self._sent[sender] -= 1
            took_ms = self.now_ms - sent_at_ms
            window.record_reply(
                self.now_ms, took_ms=took_ms, unloaded_ms=_WORK_MS, sent=sent
            )
        while self._queue and len(self._running) < self.slots:
            self._start(*self._queue.popleft())

    def _send(self, sender):
        window = self.windows[sender]
        while self._waiting[sender] >= 1.0:
            if not window.has_room(self.now_ms, sent=self._sent[sender]):
                window.record_waiting(self.now_ms)
                return
            self._waiting[sender] -= 1.0
            if len(self._queue) >= _QUEUE:
                self.rejected += 1
                window.record_rejected(
                    self.now_ms, took_ms=0.0, sent=self._sent[sender] + 1
                )
                continue
            self._sent[sender] += 1
            if len(self._running) < self.slots:
                self._start(sender, self.now_ms)
            else:
                self._queue.append((sender, self.now_ms))

    def _start(self, sender, sent_at_ms):
        self._running.append((sender, sent_at_ms, self.now_ms + _WORK_MS))


class ServerWindowTest(unittest.TestCase):
    """Several instances that send to one server."""

    def test_step_to_three_times_the_room_is_neither_rejected_nor_idle(self):
        """Guards against a queue that rejects, and against slots left idle."""
        server = _Server()
        server.run(500, 0.5)
        server.run(300, 3.0)
        server.run(3_000, 3.0)
        self.assertEqual(server.rejected, 0)
        self.assertGreaterEqual(server.busy, 0.95 * 3_000 * server.slots)

    def test_windows_do_not_oscillate_under_lasting_overload(self):
        """Guards against windows that all open and all close at the same time."""
        server = _Server()
        server.run(1_000, 3.0)
        server.run(3_000, 3.0)
        self.assertGreaterEqual(min(server.lengths), server.slots)
        self.assertLessEqual(max(server.lengths), server.slots + _QUEUE)
        self.assertEqual(server.rejected, 0)

    def test_ramp_to_three_times_the_room_is_followed(self):
        """Guards against a window that closes only after many rejections."""
        server = _Server()
        server.run(5_000, lambda step: 0.5 + step / 2_000.0)
        self.assertLessEqual(server.rejected, 2 * len(server.windows))

    def test_all_room_is_back_a_second_after_a_burst(self):
        """Guards against a window that stays closed after the overload."""
        server = _Server()
        server.run(2_000, 3.0)
        server._waiting = [number / 6 for number in range(6)]
        server.run(1_000, 0.3)
        room = [window.has_room(server.now_ms, sent=9) for window in server.windows]
        self.assertTrue(all(room))

    def test_window_does_not_bind_below_capacity(self):
        """Guards against requests that wait here for a server that keeps up."""
        server = _Server()
        server.run(3_000, 0.8)
        self.assertTrue(all(window.is_open for window in server.windows))

    def test_server_that_rejects_all_but_one_request_recovers(self):
        """Guards against a window stuck at one."""
        window = ServerWindow(8)
        for step in range(10):
            window.record_rejected(100.0 * step, took_ms=1.0, sent=8)
        self.assertEqual(window.limit, 1.0)
        self.assertTrue(window.has_room(900.0, sent=0))
        self.assertFalse(window.has_room(900.0, sent=1))
        self.assertTrue(window.has_room(2_000.0, sent=50))


class WaitingRequestTest(unittest.TestCase):
    """Requests over the window."""

    def setUp(self):
        self._numbers = itertools.count()

    def _exchange(self, server, ended, *, rank=1, end_at_ms=1_000.0):
        def on_end(exchange):
            server.pool.record_ended(exchange)
            ended.append(exchange)

        return Exchange(
            server,
            request_id=b"r%d" % next(self._numbers),
            payload=lambda at_ms: b"GET / HTTP/1.1\r\nX-Deadline-Ms: 9\r\n\r\n",
            on_end=on_end,
            rank=rank,
            created_at_ms=server.pool._clock.now_ms(),
            expected_ms=10.0,
            query_time=QueryTime(end_at_ms),
        )

    async def _run(self, test):
        fixture = GatewayFixture(gather_route(1), servers=1, latency_ms=20.0)
        async with fixture.running():
            await fixture.send_request()
            (server,) = fixture.registry.of_service("part-0")
            server.window.record_rejected(fixture.clock.now_ms(), took_ms=0.0, sent=1)
            await test(fixture, server, fixture.servers["part-0"][0])

    @trio_test
    async def test_partition_releases_what_waits(self):
        """Guards against requests that wait for a server behind a partition."""

        async def test(fixture, server, fake):
            ended = []
            for _ in range(3):
                server.pool.submit(self._exchange(server, ended))
            received = len(fake.received)
            server.pool.release_waiting()
            self.assertEqual(len(fake.received), received)
            kinds = [item.error.kind for item in ended]
            self.assertEqual(kinds, [ExchangeErrorKind.SERVER_GONE] * 2)
            self.assertFalse(any(item.error.may_have_run for item in ended))

        await self._run(test)

    @trio_test
    async def test_urgent_first_and_late_ones_last(self):
        """Guards against queries that are all late, served as they arrived."""

        async def test(fixture, server, fake):
            ended = []
            now_ms = fixture.clock.now_ms()
            submitted = [
                self._exchange(server, ended, rank=rank, end_at_ms=now_ms + left_ms)
                for rank, left_ms in ((1, 900), (1, 5), (1, 900), (0, 900))
            ]
            for exchange in submitted:
                server.pool.submit(exchange)
            server.window.record_waiting(fixture.clock.now_ms())
            await trio.sleep(0.2)
            order = [submitted.index(item) for item in ended]
            self.assertEqual(order, [0, 3, 2, 1])

        await self._run(test)

    @trio_test
    async def test_room_is_the_wait_for_those_before(self):
        """Guards against a service that looks free while requests wait for it."""

        async def test(fixture, server, fake):
            def wait_ms(rank):
                now_ms = fixture.clock.now_ms()
                room = service_room([server], now_ms=now_ms, rank=rank, work_ms=20.0)
                return room.wait_ms

            self.assertEqual(wait_ms(1), 0.0)
            for _ in range(4):
                server.pool.submit(self._exchange(server, []))
            self.assertGreaterEqual(wait_ms(1), 60.0)
            self.assertLess(wait_ms(0), wait_ms(1))
            server.is_evacuated = True
            self.assertEqual(wait_ms(1), float("inf"))

        await self._run(test)


class UnsentPartTest(unittest.TestCase):
    """Parts that no server has received."""

    @trio_test
    async def test_refused_connections_use_up_the_retry_budget(self):
        """Guards against a budget spent on parts that never arrived anywhere."""
        fixture = GatewayFixture(gather_route(4, minimum=1.0), allowance=0.0)
        async with fixture.running():
            for servers in fixture.servers.values():
                servers[0].accepts_connections = False
            statuses = Counter()
            for _ in range(5):
                statuses[(await fixture.send_request()).status] += 1
            spent = fixture.budgets.of_service("part-0").extras
        self.assertEqual((statuses, spent), (Counter({200: 5}), 0))


class LeftOutServiceTest(unittest.TestCase):
    """Services that queries leave out."""

    async def _left_out(self, *, needed, queries=200, scarce=6, gone=0):
        fixture = GatewayFixture(gather_route(20), servers=1, latency_ms=20.0)
        counts = Counter()
        async with fixture.running():
            await fixture.send_request()
            now_ms = fixture.clock.now_ms()
            for number in range(20):
                (server,) = fixture.registry.of_service(f"part-{number}")
                server.is_evacuated = number >= 20 - gone
                if number < scarce:
                    server.window.record_rejected(now_ms, took_ms=0.0, sent=1)
                    server.window.reply_ms = 80.0
                    server.pool._sent.add(object())
            for number in range(queries):
                query_time = QueryTime(now_ms + 50.0)
                chosen = services_left_out(
                    [f"part-{number}" for number in range(20)],
                    fixture.registry.of_service,
                    query_id=b"%d" % number,
                    needed=needed,
                    rank=1,
                    now_ms=now_ms,
                    query_time=query_time,
                    work_ms=20.0,
                )
                counts.update(chosen)
                self.assertLessEqual(len(chosen), max(20 - needed - gone, 0))
                self.assertEqual(query_time.is_late, scarce > 20 - needed - gone)
        return counts

    @trio_test
    async def test_each_scarce_service_serves_some_queries(self):
        """Guards against queries that all leave out the same service."""
        counts = await self._left_out(needed=16)
        self.assertEqual(set(counts), {f"part-{number}" for number in range(6)})
        self.assertGreater(min(counts.values()), 60)
        self.assertEqual(counts.total(), 3 * 200)

    @trio_test
    async def test_coverage_is_kept_without_spare_parts(self):
        """Guards against an answer under the route's minimum coverage."""
        self.assertEqual(await self._left_out(needed=20), Counter())
        self.assertEqual(await self._left_out(needed=16, gone=4), Counter())

    @trio_test
    async def test_services_with_room_are_asked(self):
        """Guards against incomplete answers without load."""
        self.assertEqual(await self._left_out(needed=16, scarce=0), Counter())

    @trio_test
    async def test_left_out_part_is_requested_if_another_fails(self):
        """Guards against a failed query whose left-out part would have sufficed."""
        fixture = GatewayFixture(
            gather_route(10, minimum=0.8), servers=1, latency_ms=5.0
        )
        async with fixture.running():
            for _ in range(8):
                await fixture.send_request()
            now_ms = fixture.clock.now_ms()
            for number in (0, 1):
                (server,) = fixture.registry.of_service(f"part-{number}")
                server.window.record_rejected(now_ms, took_ms=0.0, sent=1)
                server.window.reply_ms = 500.0
                server.pool._sent.add(object())
            for number in (2, 3):
                fixture.servers[f"part-{number}"][0].status = 500

            async def make_room():
                await trio.sleep(0.05)
                received = [len(item.received) for item in fixture.all_servers()]
                self.assertEqual(received[:2], [8, 8])
                for number in (0, 1):
                    (server,) = fixture.registry.of_service(f"part-{number}")
                    server.pool._sent.clear()
                    server.pool.send_waiting()

            async with trio.open_nursery() as nursery:
                nursery.start_soon(make_room)
                reply = await fixture.send_request()
        self.assertEqual(reply.status, 200)


def _query_kind(**changes):
    fields = {"objective_ms": 100.0, "deadline_ms": 1000.0, "spread": 0.2, "tail": 0.0}
    return QueryKind("search", work_ms=_WORK_MS, **fields, **changes)


def _outcomes(result, *, from_s):
    """Return the callers by outcome from a second on."""
    outcomes = Counter()
    for item in result.seconds:
        if item.second >= from_s:
            outcomes.update(item.outcomes)
    return outcomes


class OverloadTest(unittest.TestCase):
    """Whole queries in the laboratory."""

    def test_rejected_parts_use_up_the_retry_budget(self):
        """Guards against a rush in which each part is rejected and sent again."""
        pattern = Pattern(
            "3 times what fits for 2 s",
            [_query_kind(per_s=40.0, minimum_coverage=1.0)],
            duration_s=3.0,
            shards=8,
            servers_per_shard=1,
            gatherers=3,
            zones=1,
            bursts=[Burst(1.0, 2.0, 15.0)],
        )
        result = run_pattern(pattern, seed=1)
        outcomes = _outcomes(result, from_s=1)
        fit = 2.0 * pattern.slots * 1000.0 / (1.02 * _WORK_MS)
        self.assertLess(result.extra, 0.02)
        self.assertGreaterEqual(outcomes["in_time"] + outcomes["late"], 0.95 * fit)

    def test_slow_services_make_every_query_late(self):
        """Guards against queries that all wait for the same overloaded services."""
        pattern = Pattern(
            "a fifth of the services 5 times slower",
            [_query_kind(per_s=100.0, minimum_coverage=0.9)],
            duration_s=5.0,
            shards=20,
            gatherers=4,
            zones=2,
            faults=[Fault(FaultKind.SLOW, 1.0, 4.0, shards=0.2, copies=2, factor=5.0)],
        )
        outcomes = _outcomes(run_pattern(pattern, seed=1), from_s=2)
        self.assertGreaterEqual(outcomes["in_time"], _IN_TIME * outcomes.total())
