"""Tests of the fake platform."""

from __future__ import annotations

import unittest
from contextlib import asynccontextmanager

import httpcore
import msgspec
import trio
import trio.testing

from ibisfront.testing.platform import PlatformServer
from ibisfront.testing.platform_state import VALUE_LIMIT_BYTES, FakePlatform
from ibisfront.testing.platform_types import (
    AnswerLost,
    InstanceList,
    InstanceRecord,
    Outage,
    PlatformFaults,
    PlatformRefused,
)
from ibisfront.tests import trio_test, trio_test_real_clock

LOOPBACK = "127.0.0.1"
SILENCE_SECONDS = 0.05
INSTANCES = InstanceList([InstanceRecord("i1", "z1", "10.0.0.1:1", "10.0.0.1:2")])


class PlatformCase(unittest.TestCase):
    """Assertions on rejections."""

    async def assert_rejected(self, status, call):
        """Await a call that must be rejected, and return the rejection."""
        with self.assertRaises(PlatformRefused) as caught:
            await call
        self.assertEqual(caught.exception.status, status)
        return caught.exception


class TestObjects(PlatformCase):
    """Objects, versions and conditions, in-process."""

    @trio_test
    async def test_put_get_list(self):
        platform = FakePlatform()
        version = await platform.put("service", "a", {"n": 1}, if_version=None)
        self.assertEqual(version, 1)
        found = await platform.get("service", "a")
        self.assertEqual((found.version, found.value), (1, {"n": 1}))
        listed = await platform.list(["service"])
        self.assertEqual((listed.revision, listed.objects), (1, [found]))

    @trio_test
    async def test_versions_come_from_one_counter(self):
        platform = FakePlatform()
        await platform.put("table", "main", 1, if_version=None)
        await platform.put("service", "a", 1, if_version=None)
        self.assertEqual(await platform.put("table", "main", 2, if_version=1), 3)

    @trio_test
    async def test_failed_conditions_change_nothing(self):
        platform = FakePlatform()
        await platform.put("table", "main", 1, if_version=None)
        rejection = await self.assert_rejected(
            412, platform.put("table", "main", 2, if_version=None)
        )
        self.assertEqual(rejection.version, 1)
        rejection = await self.assert_rejected(
            412, platform.delete("table", "other", if_version=1)
        )
        self.assertIsNone(rejection.version)
        self.assertEqual((await platform.get("table", "main")).value, 1)
        self.assertEqual(platform.state().revision, 1)

    @trio_test
    async def test_delete_then_create(self):
        platform = FakePlatform()
        await platform.put("table", "main", 1, if_version=None)
        self.assertEqual(await platform.delete("table", "main", if_version=1), 2)
        rejection = await self.assert_rejected(404, platform.get("table", "main"))
        self.assertEqual(rejection.revision, 2)
        self.assertEqual(await platform.put("table", "main", 2, if_version=None), 3)

    @trio_test
    async def test_value_limit(self):
        platform = FakePlatform()
        fits = "x" * (VALUE_LIMIT_BYTES - 2)  # two quotation marks
        await platform.put("ledger", "a", fits, if_version=None)
        await self.assert_rejected(
            413, platform.put("ledger", "b", fits + "x", if_version=None)
        )


class TestChanges(PlatformCase):
    """Watches, in-process."""

    @trio_test
    async def test_newest_version_of_each_and_tombstones(self):
        platform = FakePlatform()
        await platform.put("service", "a", 1, if_version=None)
        await platform.put("service", "b", 1, if_version=None)
        await platform.put("service", "a", 2, if_version=1)
        await platform.delete("service", "b", if_version=2)
        await platform.put("index", "c", 1, if_version=None)
        changes = await platform.changes(["service"], after=1, wait_ms=0)
        self.assertEqual(changes.revision, 5)
        found = [(item.name, item.version, item.value) for item in changes.objects]
        self.assertEqual(found, [("a", 3, 2), ("b", 4, None)])

    @trio_test
    async def test_wait_ends_with_a_change(self):
        platform = FakePlatform()
        async with trio.open_nursery() as nursery:

            async def write_later():
                await trio.sleep(3)
                await platform.put("index", "other", 1, if_version=None)
                await trio.sleep(2)
                await platform.put("service", "a", 1, if_version=None)

            nursery.start_soon(write_later)
            changes = await platform.changes(["service"], after=0, wait_ms=60_000)
        self.assertEqual([item.name for item in changes.objects], ["a"])
        self.assertEqual(trio.current_time(), 5)

    @trio_test
    async def test_wait_ends_empty_and_counts_as_one_read(self):
        platform = FakePlatform()
        changes = await platform.changes(["service"], after=0, wait_ms=60_000)
        self.assertEqual((changes.revision, changes.objects), (0, []))
        state = platform.state()
        self.assertEqual((state.reads.total, state.watches_total), (1, 1))
        self.assertEqual((state.watches_waiting, state.watches_waiting_peak), (0, 1))

    @trio_test
    async def test_compacted_revision_is_gone(self):
        platform = FakePlatform(log_limit_objects=2)
        for name in ("a", "b", "c"):
            await platform.put("service", name, 1, if_version=None)
        await self.assert_rejected(410, platform.changes("service", after=0, wait_ms=0))
        changes = await platform.changes(["service"], after=1, wait_ms=0)
        self.assertEqual([item.name for item in changes.objects], ["b", "c"])
        platform.compact()
        await self.assert_rejected(410, platform.changes("service", after=2, wait_ms=0))


class TestPlatformFaults(PlatformCase):
    """Each fault, in-process."""

    @trio_test
    async def test_rate_limit(self):
        platform = FakePlatform()
        platform.set_faults(PlatformFaults(writes_per_second_limit=1))
        await platform.put("service", "a", 1, if_version=None)
        await self.assert_rejected(
            429, platform.put("service", "b", 1, if_version=None)
        )
        await trio.sleep(1)
        self.assertEqual(await platform.put("service", "b", 1, if_version=None), 2)
        writes = platform.state().writes
        self.assertEqual((writes.total, writes.refused), (2, 1))
        self.assertEqual((writes.per_second, writes.peak_per_second), (1, 1))

    @trio_test
    async def test_refusing_outage_ends_a_waiting_watch(self):
        platform = FakePlatform()
        async with trio.open_nursery() as nursery:

            async def watch():
                with self.assertRaises(AnswerLost):
                    await platform.changes(["service"], after=0, wait_ms=60_000)

            nursery.start_soon(watch)
            await trio.testing.wait_all_tasks_blocked()
            platform.set_faults(PlatformFaults(outage=Outage.REFUSE))
        with self.assertRaises(AnswerLost):
            await platform.get("service", "a")
        platform.set_faults(PlatformFaults())
        await self.assert_rejected(404, platform.get("service", "a"))

    @trio_test
    async def test_hanging_outage(self):
        platform = FakePlatform()
        platform.set_faults(PlatformFaults(outage=Outage.HANG))
        with trio.move_on_after(3600) as scope:
            await platform.put("service", "a", 1, if_version=None)
        self.assertTrue(scope.cancelled_caught)
        self.assertEqual(platform.state().revision, 0)

    @trio_test
    async def test_slow_call_cancelled_after_its_effect(self):
        platform = FakePlatform()
        platform.set_faults(PlatformFaults(slow_ms=1000))
        with trio.move_on_after(0.75) as scope:
            await platform.put("service", "a", 1, if_version=None)
        self.assertTrue(scope.cancelled_caught)
        self.assertEqual(platform.state().revision, 1)

    @trio_test
    async def test_lost_request_and_lost_response(self):
        platform = FakePlatform()
        platform.set_faults(PlatformFaults(lose_requests_fraction=1))
        with self.assertRaises(AnswerLost):
            await platform.put("service", "a", 1, if_version=None)
        self.assertEqual(platform.state().revision, 0)
        platform.set_faults(PlatformFaults(lose_answers_fraction=1))
        with self.assertRaises(AnswerLost):
            await platform.put("service", "a", 1, if_version=None)
        with self.assertRaises(AnswerLost):
            await platform.put("service", "a", 2, if_version=None)
        self.assertEqual((await platform.get("service", "a")).value, 1)
        self.assertEqual(platform.state().lost, 3)

    @trio_test
    async def test_late_write_reaches_a_watch(self):
        platform = FakePlatform()
        platform.set_faults(PlatformFaults(late_writes_fraction=1, late_write_ms=2000))
        with self.assertRaises(AnswerLost):
            await platform.put("service", "a", 1, if_version=None)
        await self.assert_rejected(404, platform.get("service", "a"))
        self.assertEqual(platform.state().late_pending, 1)
        changes = await platform.changes(["service"], after=0, wait_ms=60_000)
        self.assertEqual([item.name for item in changes.objects], ["a"])
        self.assertEqual(trio.current_time(), 2)

    @trio_test
    async def test_late_write_conflicts_with_newer_write(self):
        platform = FakePlatform()
        platform.set_faults(PlatformFaults(late_writes_fraction=1, late_write_ms=2000))
        with self.assertRaises(AnswerLost):
            await platform.put("service", "a", "late", if_version=None)
        platform.set_faults(PlatformFaults())
        await platform.put("service", "a", "newer", if_version=None)
        await trio.sleep(5)
        self.assertEqual((await platform.get("service", "a")).value, "newer")
        self.assertEqual(platform.state().late_pending, 0)

    @trio_test
    async def test_stale_reads(self):
        platform = FakePlatform()
        await platform.put("service", "a", "old", if_version=None)
        await platform.put("service", "a", "new", if_version=1)
        await platform.delete("service", "a", if_version=2)
        platform.set_faults(PlatformFaults(stale_revisions=2))
        self.assertEqual((await platform.get("service", "a")).value, "old")
        listed = await platform.list(["service"])
        self.assertEqual((listed.revision, listed.objects[0].version), (1, 1))
        changes = await platform.changes(["service"], after=1, wait_ms=0)
        self.assertIsNone(changes.objects[0].value)

    @trio_test
    async def test_instance_list_lags(self):
        platform = FakePlatform()
        platform.set_faults(PlatformFaults(instance_lag_ms=2000))
        platform.set_instances(INSTANCES)
        self.assertEqual((await platform.instances()).instances, [])
        await trio.sleep(2)
        self.assertEqual(await platform.instances(), INSTANCES)


@asynccontextmanager
async def open_platform():
    """Serve a fake platform and yield it and a client."""
    platform_server = PlatformServer(FakePlatform())
    async with trio.open_nursery() as nursery, httpcore.AsyncConnectionPool() as pool:
        await nursery.start(platform_server.server.run, LOOPBACK, 0)
        await nursery.start(platform_server.control.run, LOOPBACK, 0)
        yield platform_server, pool
        nursery.cancel_scope.cancel()


async def put(platform_server, pool, name, value, **headers):
    """Put a service object over HTTP and return the response."""
    fields = {key.replace("_", "-"): field for key, field in headers.items()}
    url = f"http://{platform_server.server.address}/objects/service/{name}"
    content = msgspec.json.encode(value)
    return await pool.request("PUT", url, headers=fields, content=content)


async def get(platform_server, pool, target):
    """Get from the object API and return the response."""
    return await pool.request(
        "GET", f"http://{platform_server.server.address}/{target}"
    )


async def control(platform_server, pool, command, content):
    """Post to the control API and return the response."""
    url = f"http://{platform_server.control.address}/control/{command}"
    return await pool.request("POST", url, content=msgspec.json.encode(content))


class TestPlatformOverHttp(unittest.TestCase):
    """The platform over loopback sockets."""

    def assert_response(self, response, status, body):
        self.assertEqual(response.status, status)
        self.assertEqual(msgspec.json.decode(response.content), body)

    @trio_test_real_clock
    async def test_put_and_get(self):
        async with open_platform() as (platform_server, pool):
            response = await put(
                platform_server, pool, "a%20b", {"n": 1}, if_none_match="*"
            )
            self.assert_response(response, 200, {"version": 1})
            response = await get(platform_server, pool, "objects/service/a%20b")
            stored = {"kind": "service", "name": "a b", "version": 1, "value": {"n": 1}}
            self.assert_response(response, 200, stored)
            response = await get(platform_server, pool, "objects?kinds=table,service")
            self.assert_response(response, 200, {"revision": 1, "objects": [stored]})
            response = await get(
                platform_server, pool, "changes?kinds=service&after=0&wait_ms=9"
            )
            self.assert_response(response, 200, {"revision": 1, "objects": [stored]})
            self.assertEqual(platform_server.server.counts.accepted, 1)

    @trio_test_real_clock
    async def test_rejections(self):
        async with open_platform() as (platform_server, pool):
            response = await get(platform_server, pool, "objects/service/a")
            self.assert_response(response, 404, {"revision": 0})
            response = await put(platform_server, pool, "a", 1)
            self.assertEqual(response.status, 428)
            response = await put(platform_server, pool, "a", 1, if_match='"7"')
            self.assert_response(response, 412, {"version": None})
            large = "x" * VALUE_LIMIT_BYTES
            response = await put(platform_server, pool, "a", large, if_none_match="*")
            self.assertEqual(response.status, 413)
            response = await put(platform_server, pool, "a", None, if_none_match="*")
            self.assertEqual(response.status, 400)
            await put(platform_server, pool, "a", 1, if_none_match="*")
            await control(platform_server, pool, "compact", {})
            response = await get(
                platform_server, pool, "changes?kinds=service&after=0&wait_ms=0"
            )
            self.assertEqual(response.status, 410)

    @trio_test_real_clock
    async def test_delete(self):
        async with open_platform() as (platform_server, pool):
            await put(platform_server, pool, "a", 1, if_none_match="*")
            url = f"http://{platform_server.server.address}/objects/service/a"
            response = await pool.request("DELETE", url)
            self.assertEqual(response.status, 428)
            response = await pool.request("DELETE", url, headers={"If-Match": '"1"'})
            self.assert_response(response, 200, {"version": 2})

    @trio_test_real_clock
    async def test_lost_response_closes_the_connection(self):
        async with open_platform() as (platform_server, pool):
            await control(
                platform_server, pool, "faults", {"lose_answers_fraction": 1.0}
            )
            with self.assertRaises(httpcore.RemoteProtocolError):
                await put(platform_server, pool, "a", 1, if_none_match="*")
            response = await get(platform_server, pool, "objects/service/a")
            self.assertEqual(response.status, 200)

    @trio_test_real_clock
    async def test_refusing_outage_and_recovery(self):
        async with open_platform() as (platform_server, pool):
            await get(platform_server, pool, "instances")
            await control(platform_server, pool, "faults", {"outage": "refuse"})
            with self.assertRaises(httpcore.NetworkError):
                while True:  # the reset of the idle connection may be delayed
                    await get(platform_server, pool, "instances")
            with self.assertRaises(httpcore.ConnectError):
                await get(platform_server, pool, "instances")
            await control(platform_server, pool, "faults", {"outage": "none"})
            while True:
                try:
                    response = await get(platform_server, pool, "instances")
                except httpcore.ConnectError:
                    continue  # not listening again yet
                break
            self.assertEqual(response.status, 200)

    @trio_test_real_clock
    async def test_hanging_outage_and_recovery(self):
        async with open_platform() as (platform_server, pool):
            await control(platform_server, pool, "faults", {"outage": "hang"})
            with trio.move_on_after(SILENCE_SECONDS) as scope:
                await get(platform_server, pool, "instances")
            self.assertTrue(scope.cancelled_caught)
            await control(platform_server, pool, "faults", {"outage": "none"})
            self.assertEqual(
                (await get(platform_server, pool, "instances")).status, 200
            )

    @trio_test_real_clock
    async def test_control(self):
        async with open_platform() as (platform_server, pool):
            listed = msgspec.to_builtins(INSTANCES)
            await control(platform_server, pool, "instances", listed)
            self.assert_response(
                await get(platform_server, pool, "instances"), 200, listed
            )
            await control(platform_server, pool, "faults", {"slow_ms": 1.0})
            response = await control(
                platform_server, pool, "faults", {"stale_revisions": 1}
            )
            faults = msgspec.json.decode(response.content)["faults"]
            self.assertEqual((faults["slow_ms"], faults["stale_revisions"]), (1.0, 1))
            response = await control(platform_server, pool, "faults", {"slow": 1.0})
            self.assertEqual(response.status, 400)
