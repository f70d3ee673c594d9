"""Tests of the platform's stand-in."""

from __future__ import annotations

import unittest
from contextlib import asynccontextmanager

import httpcore
import msgspec
import trio

from ibisfront.testing.platform import PlatformServer
from ibisfront.testing.platform_state import FakePlatform
from ibisfront.tests import trio_test, trio_test_real_clock

LOOPBACK = "127.0.0.1"


class TestFakePlatform(unittest.TestCase):
    """The platform in-process, under the mock clock."""

    @trio_test
    async def test_put_get_list(self):
        platform = FakePlatform()
        version = await platform.put("service", "a", {"n": 1}, if_version=None)
        self.assertEqual(version, 1)
        found = await platform.get("service", "a")
        self.assertEqual((found.version, found.value), (1, {"n": 1}))
        listed = await platform.list(["service"])
        self.assertEqual(listed.revision, 1)
        self.assertEqual(listed.objects, [found])


@asynccontextmanager
async def open_platform():
    """Serve a platform and yield its face and a client."""
    face = PlatformServer(FakePlatform())
    async with trio.open_nursery() as nursery, httpcore.AsyncConnectionPool() as pool:
        await nursery.start(face.server.run, LOOPBACK, 0)
        await nursery.start(face.control.run, LOOPBACK, 0)
        yield face, pool
        nursery.cancel_scope.cancel()


class TestPlatformOverHttp(unittest.TestCase):
    """The platform over loopback sockets."""

    @trio_test_real_clock
    async def test_put_and_get(self):
        async with open_platform() as (face, pool):
            url = f"http://{face.server.address}/objects/service/a%20b"
            put = await pool.request(
                "PUT", url, headers={"If-None-Match": "*"}, content=b'{"n":1}'
            )
            self.assertEqual((put.status, put.content), (200, b'{"version":1}'))
            got = await pool.request("GET", url)
            self.assertEqual(
                msgspec.json.decode(got.content),
                {"kind": "service", "name": "a b", "version": 1, "value": {"n": 1}},
            )
