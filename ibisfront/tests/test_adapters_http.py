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
    """The server's side of one ASGI exchange."""

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
        """Keep what the application sends."""
        self.sent.append(message)


class SlowWork:
    """A handler that holds one slot while it works."""

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


def make_application(work, **route_fields):
    """Return an application of one route."""
    route = Route("POST", re.compile(PATH), work.handle, **route_fields)
    return asgi_application(
        (route,), clock=Clock(), maximum_body_bytes=100, observe=[].append
    )


class DisconnectTest(unittest.TestCase):
    """A caller that goes away frees what its request holds."""

    @trio_test
    async def test_disconnect_frees_the_slot_of_a_search(self):
        """A secretary closes the page while a search waits.

        The request's body was read, the handler holds a slot, then the caller
        disconnects. Nobody read ``receive`` again, so the slot stayed taken
        until the search ended by itself.
        """
        work = SlowWork(duration_s=30.0)
        caller = FakeCaller()
        application = make_application(work, ends_with_caller=True)
        started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(application, caller.scope, caller.receive, caller.send)
            await work.started.wait()
            caller.disconnected.set()
        self.assertEqual(work.slots_held, 0)
        self.assertLess(trio.current_time() - started_at, 1.0)
        self.assertEqual(caller.sent, [])

    @trio_test
    async def test_work_that_must_not_be_dropped_goes_on(self):
        """A secretary's connection breaks while envelopes are printed.

        The work has been sent and cannot be called back. Cancelling it here
        would lose its outcome, so it runs on and its outcome is kept.
        """
        work = SlowWork(duration_s=30.0)
        caller = FakeCaller()
        caller.disconnected.set()
        await make_application(work)(caller.scope, caller.receive, caller.send)
        self.assertEqual(caller.sent[0]["status"], 200)

    @trio_test
    async def test_a_patient_caller_gets_its_answer(self):
        work = SlowWork(duration_s=1.0)
        caller = FakeCaller()
        application = make_application(work, ends_with_caller=True)
        await application(caller.scope, caller.receive, caller.send)
        self.assertEqual(caller.sent[0]["status"], 200)
