"""Tests of planned stops of an instance that still gets requests."""

from __future__ import annotations

import unittest
from types import SimpleNamespace

import trio

from ibisfront.core.clock import Clock
from ibisfront.front.stopping import stop_gracefully
from ibisfront.gateway.messages import CallerReply
from ibisfront.gateway.settings import Bounds
from ibisfront.gateway.state.configuration import CallerLimits, RequestKind
from ibisfront.http1.caller_listener import CallerListener
from ibisfront.http1.listening import listening_socket
from ibisfront.platform.headers import WIRE
from ibisfront.testing.gateway_fixture import (
    GatewayFixture,
    forward_route,
    gather_route,
)
from ibisfront.tests import trio_test, trio_test_real_clock

GRACE_MS = 900.0
WORK_S = 0.3
REQUEST = b"GET /a HTTP/1.1\r\nHost: a\r\nX-Request-Id: r%d\r\n\r\n"


class LastRequestsTest(unittest.TestCase):
    """A balancer that sends callers to an instance until its end."""

    @trio_test_real_clock
    async def test_requests_of_the_last_moments_are_answered(self):
        """Guards against requests that reached servers and are cut at a stop's end."""
        sock = listening_socket("127.0.0.1:0")
        address = sock.getsockname()
        taken, answered = set(), set()
        clock, ends = Clock(), []

        async def answer(request):
            taken.add(request.request_id)
            if ends and clock.now_ms() >= ends[0]:
                return CallerReply(503, [], b"", "stopping")
            await trio.sleep(WORK_S)
            return CallerReply(200, [], b"done", "test")

        async def send(number):
            try:
                stream = await trio.open_tcp_stream(*address)
            except OSError:
                return
            async with stream:
                await stream.send_all(REQUEST % number)
                if await stream.receive_some(65536):
                    answered.add(f"r{number}")

        process = SimpleNamespace(
            settings=SimpleNamespace(bounds=Bounds(stop_grace_ms=GRACE_MS)),
            gateway=SimpleNamespace(end_at=ends.append),
            is_stopping=False,
        )
        async with trio.open_nursery() as callers, trio.open_nursery() as nursery:
            listener = CallerListener(
                sock, answer=answer, wire=WIRE, limits=CallerLimits, clock=clock
            )
            nursery.start_soon(listener.run)
            nursery.start_soon(_send_for_ever, send, callers)
            await stop_gracefully(process, listener, clock=clock)
            nursery.cancel_scope.cancel()
        self.assertGreater(len(taken), 2)
        self.assertEqual(taken - answered, set())
        self.assertEqual(len(ends), 1)


async def _send_for_ever(send, nursery):
    number = 0
    while True:
        number += 1
        nursery.start_soon(send, number)
        await trio.sleep(0.02)


class AdmissionTest(unittest.TestCase):
    """Requests that arrive while an instance stops, in mock time."""

    @trio_test
    async def test_request_that_cannot_end_in_time_is_refused_as_not_run(self):
        """Guards against an order that is sent to a server and cut off there."""
        for route, path in (
            (forward_route(kind=RequestKind.NON_IDEMPOTENT), "/fetch/a"),
            (gather_route(3, timeout_ms=9_000.0, objective_ms=400.0), "/search/a"),
        ):
            fixture = GatewayFixture(route, latency_ms=100.0)
            async with fixture.running():
                for _ in range(40):
                    await fixture.send_request(path)
                received = sum(len(item.received) for item in fixture.all_servers())
                fixture.gateway.end_at(fixture.clock.now_ms() + 150.0)
                reply = await fixture.send_request(path, deadline_ms=5_000.0)
                self.assertEqual(reply.status, 503)
                self.assertIn(b"Retry-After", dict(reply.headers))
                after = sum(len(item.received) for item in fixture.all_servers())
                self.assertEqual(after, received)

    @trio_test
    async def test_request_that_can_end_in_time_is_served(self):
        """Guards against a stop that refuses what it has the time for."""
        fixture = GatewayFixture(forward_route(), latency_ms=100.0)
        async with fixture.running():
            for _ in range(40):
                await fixture.send_request("/fetch/a")
            fixture.gateway.end_at(fixture.clock.now_ms() + 3_000.0)
            reply = await fixture.send_request("/fetch/a", deadline_ms=9_000.0)
            self.assertEqual(reply.status, 200)
            fixture.gateway.end_at(fixture.clock.now_ms() + 150.0)
            short = await fixture.send_request("/fetch/a", deadline_ms=140.0)
            self.assertEqual(short.status, 200)

    @trio_test
    async def test_admitted_request_is_answered_before_the_end(self):
        """Guards against a server that hangs beyond the end of a stop."""
        fixture = GatewayFixture(forward_route(), latency_ms=10.0)
        async with fixture.running():
            for _ in range(40):
                await fixture.send_request("/fetch/a")
            for server in fixture.all_servers():
                server.latency_ms = 5_000.0
            end_at_ms = fixture.clock.now_ms() + 1_000.0
            fixture.gateway.end_at(end_at_ms)
            reply = await fixture.send_request("/fetch/a", deadline_ms=9_000.0)
            self.assertEqual(reply.status, 504)
            self.assertLessEqual(fixture.clock.now_ms(), end_at_ms)
