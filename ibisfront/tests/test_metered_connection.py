"""Tests of what requests at the project's own interface may hold."""

from __future__ import annotations

import re
import unittest

import msgspec
import trio

from ibisfront.adapters.asgi import asgi_application
from ibisfront.adapters.http import Route, json_response
from ibisfront.adapters.metered_connection import METER_KEY, MeteredHttpConnection
from ibisfront.core.clock import Clock
from ibisfront.gateway.state.configuration import CallerLimits
from ibisfront.http1.caller_memory import CallerMemory
from ibisfront.tests import trio_test
from ibisfront.tests.raw_http import ProblemBody
from ibisfront.tests.test_http1_caller_memory import FakeListener

BODY_BYTES = 100_000
LIMITS = CallerLimits(maximum_body_bytes=BODY_BYTES)


class Caller:
    """Sends a body in two pieces, the second one only when it is told to."""

    def __init__(self, memory, clock):
        self.connection = MeteredHttpConnection(memory, LIMITS, clock)
        self.ends = trio.Event()
        self.sent = []
        self._pieces = iter((b"x" * (BODY_BYTES - 1), b"x"))
        self.scope = {
            "type": "http",
            "method": "POST",
            "path": "/work",
            "headers": [],
            "state": {METER_KEY: self.connection},
        }

    async def receive(self):
        """Return a piece."""
        piece = next(self._pieces, b"")
        if len(piece) == 1:
            await self.ends.wait()
        return {"type": "http.request", "body": piece, "more_body": len(piece) > 1}

    async def send(self, message):
        """Record a message."""
        self.sent.append(message)

    @property
    def status(self):
        """Status of its response; None before that."""
        return self.sent[0]["status"] if self.sent else None


class BodiesTest(unittest.TestCase):
    """Bodies that together need more than the pool."""

    @trio_test
    async def test_bodies_beyond_the_pool_are_refused_as_not_run(self):
        """Guards against a process that holds all the bodies that callers begin."""
        clock, ran = Clock(), []

        async def handle(request):
            ran.append(request)
            return json_response({"done": True})

        route = Route("POST", re.compile("/work"), handle)
        application = asgi_application(
            (route,), clock=clock, maximum_body_bytes=BODY_BYTES, observe=[].append
        )
        memory = CallerMemory(memory_bytes=20_000_000, clock=clock)
        callers = [Caller(memory, clock) for _ in range(30)]
        FakeListener(memory, [caller.connection for caller in callers])
        async with trio.open_nursery() as nursery:
            for caller in callers:
                nursery.start_soon(
                    application, caller.scope, caller.receive, caller.send
                )
            await trio.sleep(0.5)
            refused = [caller for caller in callers if caller.status]
            self.assertLessEqual(memory.drawn_bytes, memory.pool_bytes(LIMITS))
            for caller in callers:
                caller.ends.set()
        self.assertEqual({caller.status for caller in refused}, {503})
        problem = msgspec.json.decode(refused[0].sent[1]["body"], type=ProblemBody)
        self.assertEqual((problem.code, problem.ran), ("overloaded", "no"))
        served = [caller for caller in callers if caller.status == 200]
        self.assertEqual((len(served), len(ran)), (30 - len(refused),) * 2)
        self.assertGreater(len(served), 5)
        self.assertEqual(memory.drawn_bytes, 0)
