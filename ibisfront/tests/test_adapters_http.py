"""Tests of the ASGI application that both listeners share."""

from __future__ import annotations

import re
import unittest

import trio

from ibisfront.adapters.asgi import asgi_application
from ibisfront.adapters.http import Route, json_response
from ibisfront.core.clock import Clock
from ibisfront.tests import trio_test

PATH = "/work"


class FakeCaller:
    """Fakes the ASGI server's side of one request."""

    def __init__(self):
        self.disconnected = trio.Event()
        self.sent = []
        self._body_read = False
        self.scope = {"type": "http", "method": "POST", "path": PATH, "headers": []}

    async def receive(self):
        """Return the body, then nothing until the caller disconnects."""
        if not self._body_read:
            self._body_read = True
            return {"type": "http.request", "body": b"{}", "more_body": False}
        await self.disconnected.wait()
        return {"type": "http.disconnect"}

    async def send(self, message):
        """Record a message that the application sends."""
        self.sent.append(message)


class SlowHandler:
    """A handler that holds one slot while it runs."""

    def __init__(self, duration_s):
        self.duration_s = duration_s
        self.started = trio.Event()
        self.slots_held = 0

    async def handle(self, request):
        """Hold a slot for the duration."""
        self.slots_held += 1
        self.started.set()
        try:
            await trio.sleep(self.duration_s)
        finally:
            self.slots_held -= 1
        return json_response({"done": True})


def make_application(handler, **route_fields):
    """Return an application with a single route."""
    route = Route("POST", re.compile(PATH), handler.handle, **route_fields)
    return asgi_application(
        (route,), clock=Clock(), maximum_body_bytes=100, observe=[].append
    )


class DisconnectTest(unittest.TestCase):
    """A caller's disconnect releases what its request holds."""

    @trio_test
    async def test_disconnect_releases_the_slot_of_a_search(self):
        """Guards against slots held for callers that have disconnected.

        The caller disconnects after its body was read, while the handler holds
        a slot. If ``receive`` is not awaited again, the disconnect goes
        unnoticed and the slot stays in use until the search ends.
        """
        handler = SlowHandler(duration_s=30.0)
        caller = FakeCaller()
        application = make_application(handler, ends_with_caller=True)
        started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(application, caller.scope, caller.receive, caller.send)
            await handler.started.wait()
            caller.disconnected.set()
        self.assertEqual(handler.slots_held, 0)
        self.assertLess(trio.current_time() - started_at, 1.0)
        self.assertEqual(caller.sent, [])

    @trio_test
    async def test_non_idempotent_work_is_not_cancelled_on_disconnect(self):
        """Guards against losing the outcome of non-idempotent work.

        The caller disconnects after the work was sent. It cannot be undone, so
        the handler is not cancelled and its outcome is stored.
        """
        handler = SlowHandler(duration_s=30.0)
        caller = FakeCaller()
        caller.disconnected.set()
        await make_application(handler)(caller.scope, caller.receive, caller.send)
        self.assertEqual(caller.sent[0]["status"], 200)

    @trio_test
    async def test_a_connected_caller_gets_its_response(self):
        handler = SlowHandler(duration_s=1.0)
        caller = FakeCaller()
        application = make_application(handler, ends_with_caller=True)
        await application(caller.scope, caller.receive, caller.send)
        self.assertEqual(caller.sent[0]["status"], 200)
