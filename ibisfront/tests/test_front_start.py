"""Tests of what a front process does before its longer imports."""

from __future__ import annotations

import socket
import unittest

import trio

from ibisfront.core.clock import Clock
from ibisfront.front.early_start import is_any_listening
from ibisfront.front.process import FrontProcess
from ibisfront.gateway.messages import InboundRequest
from ibisfront.gateway.settings import GatewaySettings
from ibisfront.gateway.state.configuration import (
    CallerLimits,
    Configuration,
    RoutedService,
)
from ibisfront.http1.listening import listening_socket
from ibisfront.testing.gateway_fixture import HOST, forward_route
from ibisfront.testing.processes import free_address
from ibisfront.tests import trio_test


class EarlyListeningTest(unittest.TestCase):
    """Whether callers are kept while the process starts.

    After a loss of power of all machines callers make their last try when the
    machines are up and nothing listens yet: refused there, they fail. After the
    loss of one machine a refused connection is better, as the next one reaches
    an instance that serves.
    """

    def test_nobody_is_up_if_all_refuse(self):
        self.assertFalse(is_any_listening([free_address(), free_address()]))
        self.assertFalse(is_any_listening([]))

    def test_one_that_listens_is_up(self):
        address = free_address()
        with listening_socket(address):
            self.assertTrue(is_any_listening([free_address(), address]))

    def test_silence_is_not_waited_for(self):
        """A machine without power answers nothing; the start goes on.

        A full queue of new connections drops the first packet of the next.
        """
        with socket.socket() as full:
            full.bind(("127.0.0.1", 0))
            full.listen(0)
            host, port = full.getsockname()
            pending = [socket.socket() for _ in range(3)]
            for sock in pending:
                sock.setblocking(False)
                sock.connect_ex((host, port))
            self.assertFalse(is_any_listening([f"{host}:{port}"]))
            for sock in pending:
                sock.close()


class EarlyRequestTest(unittest.TestCase):
    """Requests that come before what they need is known."""

    async def _reason_and_latency_s(
        self, *, configured_after_s, deadline_ms, sent_at_s=0.0
    ):
        """Return the status of a request, and how long it took."""
        async with trio.open_nursery() as nursery:
            settings = GatewaySettings(
                instance="i0",
                zone="z0",
                callers_address="",
                ready_address="",
                store_address="",
            )
            process = FrontProcess(settings, clock=Clock(), nursery=nursery)

            async def configure():
                await trio.sleep(configured_after_s)
                services = {"archive": RoutedService("archive", 25)}
                process.apply_configuration(
                    Configuration(1, (forward_route(),), services, CallerLimits())
                )
                process.replace_servers([], after_outage=False)

            nursery.start_soon(configure)
            await trio.sleep(sent_at_s)
            started_s = trio.current_time()
            request = InboundRequest(
                b"GET", b"/fetch/a", HOST, "r", deadline_ms, [], b"", 0.0
            )
            reply = await process.gateway.answer(request)
            took_s = trio.current_time() - started_s
            nursery.cancel_scope.cancel()
        return reply.reason, took_s

    @trio_test
    async def test_request_waits_a_moment_for_the_configuration(self):
        """Guards against refusing all callers of a restart who come too early."""
        reason, took_s = await self._reason_and_latency_s(
            configured_after_s=0.04, deadline_ms=400.0
        )
        self.assertEqual(reason, "out_of_reach")
        self.assertLess(took_s, 0.05)

    @trio_test
    async def test_request_does_not_wait_for_a_store_that_is_away(self):
        """Guards against holding callers for an outage."""
        for sent_at_s, max_wait_s in ((0.0, 0.1), (1.0, 0.0)):
            reason, took_s = await self._reason_and_latency_s(
                configured_after_s=9.0, deadline_ms=400.0, sent_at_s=sent_at_s
            )
            self.assertEqual(reason, "no_configuration")
            self.assertLessEqual(took_s, max_wait_s + 1e-6)
