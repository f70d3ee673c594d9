"""Tests of adding, draining and removing backend servers."""

from __future__ import annotations

import unittest

import trio

from ibisfront.core.clock import Clock
from ibisfront.core.errors import ErrorKind, IbisfrontError
from ibisfront.core.service import BackendServer
from ibisfront.core.service_edit import add_server, drain_server, remove_server
from ibisfront.testing.local_platform import LocalPlatform
from ibisfront.testing.platform_state import FakePlatform
from ibisfront.testing.platform_types import PlatformFaults
from ibisfront.tests import trio_test


def _server(name: str) -> BackendServer:
    return BackendServer(name, f"127.0.0.1:{len(name)}", "z1")


class ServiceEditTest(unittest.TestCase):
    """Servers are added and removed by conditional writes."""

    @trio_test
    async def test_add_drain_remove(self) -> None:
        clock = Clock()
        platform = LocalPlatform(FakePlatform(clock=clock), clock=clock)
        await add_server(platform, "register", _server("a"), clock=clock)
        await add_server(platform, "register", _server("bb"), clock=clock)
        drained = await drain_server(platform, "register", "a", clock=clock)
        states = {item.name: item.state for item in drained.service.backend_servers}
        self.assertEqual(states, {"a": "draining", "bb": "live"})
        removed = await remove_server(platform, "register", "a", clock=clock)
        self.assertEqual([s.name for s in removed.service.backend_servers], ["bb"])

    @trio_test
    async def test_two_operators_at_once_lose_no_server(self) -> None:
        """Concurrent edits of one service silently lose a server.

        Several operators read the same version and each adds a server. If one
        write replaced another, a server would be missing without any error.
        """
        clock = Clock()
        fake = FakePlatform(clock=clock)
        fake.set_faults(PlatformFaults(slow_ms=20.0))
        platform = LocalPlatform(fake, clock=clock)
        async with trio.open_nursery() as nursery:
            for name in ("a", "bb", "ccc"):
                nursery.start_soon(_add, platform, name, clock)
        found = await remove_server(platform, "register", "none", clock=clock)
        names = {item.name for item in found.service.backend_servers}
        self.assertEqual(names, {"a", "bb", "ccc"})

    @trio_test
    async def test_lost_answers_add_a_server_once(self) -> None:
        clock = Clock()
        fake = FakePlatform(clock=clock, seed=3)
        platform = LocalPlatform(fake, clock=clock)
        fake.set_faults(
            PlatformFaults(lose_answers_fraction=0.5, lose_requests_fraction=0.3)
        )
        for name in ("a", "bb", "ccc"):
            await add_server(platform, "register", _server(name), clock=clock)
        found = await remove_server(platform, "register", "none", clock=clock)
        names = [item.name for item in found.service.backend_servers]
        self.assertEqual(names, ["a", "bb", "ccc"])

    @trio_test
    async def test_draining_an_unknown_server_is_refused(self) -> None:
        clock = Clock()
        platform = LocalPlatform(FakePlatform(clock=clock), clock=clock)
        with self.assertRaises(IbisfrontError) as raised:
            await drain_server(platform, "register", "a", clock=clock)
        self.assertIs(raised.exception.kind, ErrorKind.NOT_FOUND)


async def _add(platform: LocalPlatform, name: str, clock: Clock) -> None:
    await add_server(platform, "register", _server(name), clock=clock)
