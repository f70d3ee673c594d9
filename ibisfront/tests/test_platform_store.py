"""Tests of the store's client, and of watches, over real sockets."""

from __future__ import annotations

import functools
import unittest

import trio

from ibisfront.core.clock import Clock
from ibisfront.gateway.instances.directory import (
    INSTANCES_KIND,
    InstanceEntry,
    StoredDirectory,
)
from ibisfront.gateway.state.kind_watch import WatchTarget, watch_kind
from ibisfront.gateway.state.route_cache import RouteCache
from ibisfront.gateway.state.store import StoreError, StoreErrorKind
from ibisfront.platform.documents import configuration_from, server_entry_from
from ibisfront.platform.store import PlatformKindClient, PlatformObjects
from ibisfront.testing.object_store import FakeObjectStore
from ibisfront.tests import trio_test_real_clock


def client_of(store, kind="servers", wait_ms=300.0):
    """Return a client of a fake store."""
    return PlatformKindClient(store.address, kind, watch_wait_ms=wait_ms)


def directory_of(store):
    """Return the list of instances in a fake store."""
    return StoredDirectory(PlatformObjects(store.address, INSTANCES_KIND))


class RecordingTarget:
    """Records the updates that a watch delivers for a kind."""

    def __init__(self):
        self.names = set()
        self.lists = []

    def target(self):
        return WatchTarget("things", self.replace, self.change)

    def replace(self, listing, after_outage):
        self.names = {item.name for item in listing.objects}
        self.lists.append(after_outage)

    def change(self, changes):
        for change in changes:
            if change.is_removed:
                self.names.discard(change.object.name)
            else:
                self.names.add(change.object.name)

    async def until(self, names):
        with trio.fail_after(10.0):
            while self.names != set(names):  # noqa: ASYNC110
                await trio.sleep(0.005)


class KindClientTest(unittest.TestCase):
    """Lists and watches of one kind."""

    @trio_test_real_clock
    async def test_list_reads_all_pages(self):
        store = FakeObjectStore()
        store.page = 3
        for number in range(8):
            store.put("servers", f"s/{number}", {"n": number})
        async with store.running():
            listing = await client_of(store).list_all()
        self.assertEqual(len({item.name for item in listing.objects}), 8)

    @trio_test_real_clock
    async def test_watch_returns_changes_and_removals(self):
        store = FakeObjectStore()
        store.put("servers", "a", 1)
        async with store.running():
            client = client_of(store)
            listing = await client.list_all()
            store.put("servers", "b", 2)
            store.remove("servers", "a")
            answer = await client.watch(listing.revision)
            idle = await client.watch(answer.revision)
        received = [(item.object.name, item.is_removed) for item in answer.changes]
        self.assertEqual(received, [("b", False), ("a", True)])
        self.assertEqual(idle.changes, [])

    @trio_test_real_clock
    async def test_invalid_json_does_not_affect_other_objects(self):
        """Guards against instances that receive no new servers until a restart.

        Another writer has put lone surrogates and not-a-number into three entries.
        The list of all servers is decoded as one answer, which is then not valid
        JSON.
        """
        store = FakeObjectStore()
        store.put("servers", "a", {"n": 1})
        for number, value in enumerate((float("nan"), "\udc00", "\ud800")):
            store.put("servers", f"odd-{number}", {"n": value})
        async with store.running():
            client = client_of(store)
            listing = await client.list_all()
            store.put("servers", "odd-3", {"n": float("nan")})
            store.put("servers", "b", {"n": 2})
            answer = await client.watch(listing.revision)
        specs = {item.name: item.spec for item in listing.objects}
        self.assertEqual(specs.pop("a"), b'{"n": 1}')
        unreadable = '{"n": "\ufffd"}'.encode()
        self.assertEqual(set(specs.values()), {b'{"n": null}', unreadable})
        self.assertEqual(
            [change.object.spec for change in answer.changes],
            [b'{"n": null}', b'{"n": 2}'],
        )

    @trio_test_real_clock
    async def test_dropped_history_is_a_distinct_error(self):
        store = FakeObjectStore()
        store.put("servers", "a", 1)
        async with store.running():
            client = client_of(store)
            listing = await client.list_all()
            store.put("servers", "b", 1)
            store.compact()
            with self.assertRaises(StoreError) as caught:
                await client.watch(listing.revision - 1)
        self.assertIs(caught.exception.kind, StoreErrorKind.HISTORY_GONE)


class WatchKindTest(unittest.TestCase):
    """Watches across failures of the store."""

    @trio_test_real_clock
    async def test_changes_before_a_dropped_history_are_not_missed(self):
        """Guards against requests to a removed server.

        The watch does not report the removal of the server's entry before the
        history is dropped and the watch fails. A new list must show it, and must
        not be marked as following an outage.
        """
        store, recorder = FakeObjectStore(), RecordingTarget()
        store.put("servers", "a", 1)
        store.put("servers", "b", 1)
        async with store.running(), trio.open_nursery() as nursery:
            client = client_of(store)
            nursery.start_soon(
                lambda: watch_kind(client, recorder.target(), clock=Clock())
            )
            await recorder.until({"a", "b"})
            store._objects["servers"].pop("b")
            store._revision += 1
            store.compact()
            await recorder.until({"a"})
            nursery.cancel_scope.cancel()
        self.assertEqual(recorder.lists, [False, False])

    @trio_test_real_clock
    async def test_list_after_an_outage_is_marked(self):
        store, recorder = FakeObjectStore(), RecordingTarget()
        store.put("servers", "a", 1)
        async with store.running(), trio.open_nursery() as nursery:
            client = client_of(store)
            nursery.start_soon(
                lambda: watch_kind(client, recorder.target(), clock=Clock())
            )
            await recorder.until({"a"})
            store.error_status = 503
            await trio.sleep(0.5)
            store.put("servers", "b", 1)
            store.error_status = 0
            await recorder.until({"a", "b"})
            nursery.cancel_scope.cancel()
        self.assertEqual(recorder.lists, [False, True])


class OlderCopyTest(unittest.TestCase):
    """A store that comes back from a copy some seconds old."""

    async def watched_store(self, nursery, store):
        """Watch a store whose copy lacks the last two of four things."""
        store.era = 1
        for name in ("a", "b"):
            store.put("things", name, 1)
        copy = store.copy()
        for name in ("c", "d"):
            store.put("things", name, 1)
        target = RecordingTarget()
        client = client_of(store, "things", wait_ms=200.0)
        nursery.start_soon(
            functools.partial(watch_kind, client, target.target(), clock=Clock())
        )
        await target.until("abcd")
        return copy, target

    @trio_test_real_clock
    async def test_change_under_a_reused_revision_is_not_missed(self):
        """Guards against a watch that goes on from a revision given out again."""
        store = FakeObjectStore()
        async with store.running(), trio.open_nursery() as nursery:
            copy, target = await self.watched_store(nursery, store)
            store.come_back_from(copy)
            for name in ("e", "f", "g"):
                store.put("things", name, 1)
            await target.until("abefg")
            nursery.cancel_scope.cancel()

    @trio_test_real_clock
    async def test_list_of_another_era_counts_as_one_after_an_outage(self):
        """Guards against dropping servers that have not been written again yet."""
        store = FakeObjectStore()
        async with store.running(), trio.open_nursery() as nursery:
            copy, target = await self.watched_store(nursery, store)
            store.come_back_from(copy)
            await target.until("ab")
            nursery.cancel_scope.cancel()
        self.assertEqual(target.lists, [False, True])

    @trio_test_real_clock
    async def test_answer_of_an_older_era_is_not_used(self):
        """Guards against state that goes back with a late answer."""
        store = FakeObjectStore()
        store.era = 3
        async with store.running():
            client = client_of(store, "things")
            await client.list_all()
            store.era = 2
            with self.assertRaises(StoreError) as caught:
                await client.list_all()
        self.assertIs(caught.exception.kind, StoreErrorKind.ERA_CHANGED)

    @trio_test_real_clock
    async def test_refusals_state_the_era_too(self):
        store = FakeObjectStore()
        store.era = 1
        async with store.running():
            client = client_of(store, "things")
            listing = await client.list_all()
            store.era, store.error_status = 2, 503
            with self.assertRaises(StoreError) as caught:
                await client.watch(listing.revision)
        self.assertIs(caught.exception.kind, StoreErrorKind.ERA_CHANGED)

    @trio_test_real_clock
    async def test_store_without_an_era_works_as_before(self):
        store = FakeObjectStore()
        store.put("things", "a", 1)
        async with store.running():
            client = client_of(store, "things")
            listing = await client.list_all()
            store.put("things", "b", 1)
            changes = await client.watch(listing.revision)
        self.assertEqual(len(changes.changes), 1)


class DirectoryTest(unittest.TestCase):
    """The list of instances."""

    @trio_test_real_clock
    async def test_restarted_instance_replaces_its_entry_with_one_write(self):
        """Guards against an instance that repeats its write forever after a restart.

        Its previous entry still exists. A write with a revision is conditional,
        and would be rejected each time.
        """
        store = FakeObjectStore()
        async with store.running():
            directory = directory_of(store)
            await directory.register(InstanceEntry("i1", "z1", "10.0.0.1:1"))
            await directory.register(InstanceEntry("i1", "z1", "10.0.0.2:1"))
            listed = await directory.instances()
        self.assertEqual(listed, [InstanceEntry("i1", "z1", "10.0.0.2:1")])
        self.assertEqual(len(store.calls), 4)

    @trio_test_real_clock
    async def test_lost_answer_is_an_error_and_the_retry_succeeds(self):
        store = FakeObjectStore()
        store.lost_write_responses = 1
        async with store.running():
            directory = directory_of(store)
            entry = InstanceEntry("i1", "z1", "10.0.0.1:1")
            with self.assertRaises(StoreError):
                await directory.register(entry)
            await directory.register(entry)
            self.assertEqual(store.names("ibisfront-instances"), ["i1"])

    @trio_test_real_clock
    async def test_invalid_entry_does_not_hide_the_other_instances(self):
        """Guards against one foreign entry that leaves an instance without others."""
        store = FakeObjectStore()
        valid = InstanceEntry("a", "z", "10.0.0.1:80")
        async with store.running():
            directory = directory_of(store)
            await directory.register(valid)
            store.put_as_written(INSTANCES_KIND, "b", b"[" * 2000 + b"]" * 2000)
            store.put(INSTANCES_KIND, "c", {"name": "c"})
            store.put(INSTANCES_KIND, "d", {"name": "d", "zone": "z", "address": ":x"})
            with self.assertLogs("ibisfront", "ERROR") as logged:
                for _ in range(2):
                    self.assertEqual(await directory.instances(), [valid])
            self.assertEqual(len(logged.output), 3)
            directory.close()


class ObjectsTest(unittest.TestCase):
    """Reads and conditional writes of one kind of object."""

    @trio_test_real_clock
    async def test_write_with_an_old_revision_changes_nothing(self):
        store = FakeObjectStore()
        async with store.running():
            objects = PlatformObjects(store.address, "things")
            first = await objects.create("a/b", b'{"n": 1}')
            self.assertIsNone(await objects.create("a/b", b'{"n":2}'))
            second = await objects.replace("a/b", b'{"n":3}', first.revision)
            self.assertIsNone(await objects.replace("a/b", b'{"n":4}', first.revision))
            await objects.remove("a/b", first.revision)
            self.assertEqual(await objects.read("a/b"), second)
            await objects.remove("a/b", second.revision)
            self.assertIsNone(await objects.read("a/b"))
            self.assertIsNone(await objects.replace("a/b", b'{"n":5}'))

    @trio_test_real_clock
    async def test_refused_write_is_an_error(self):
        store = FakeObjectStore()
        store.error_status = 429
        async with store.running():
            objects = PlatformObjects(store.address, "things")
            with self.assertRaises(StoreError):
                await objects.create("a", b"1")


class DocumentsTest(unittest.TestCase):
    """Decoding of the store's documents."""

    def test_route_shapes(self):
        spec = b"""{"version":7,"services":[{"name":"s","maxConns":25}],
        "limits":{"maxHeaderBytes":1,"maxBodyBytes":2,"headerTimeoutMs":3,
        "idleTimeoutMs":4},"routes":[
        {"name":"g","host":"H.example","pathPrefix":"/g/","kind":"idempotent",
         "timeoutMs":800,"sloMs":95,"priority":2,"gather":["a","b"],"attempts":2,
         "topK":5,"minCoverage":0.75},
        {"name":"w","host":"h","pathPrefix":"/w/","kind":"non_idempotent",
         "timeoutMs":800,"sloMs":95,"priority":0,"attempts":1,
         "targets":[{"service":"a","weight":3},{"service":"b","weight":1}]},
        {"name":"s","host":"h","pathPrefix":"/","kind":"idempotent",
         "timeoutMs":800,"sloMs":95,"priority":0,"attempts":1,"service":"a"}]}"""
        configuration = configuration_from(spec, RouteCache())
        gathered, weighted, single = configuration.routes
        self.assertEqual(gathered.gathering.services, ("a", "b"))
        self.assertEqual(gathered.host, "h.example")
        self.assertFalse(weighted.is_idempotent)
        self.assertEqual([item.weight for item in weighted.services], [3, 1])
        self.assertEqual(single.service_names, ("a",))
        self.assertEqual(configuration.limits.maximum_body_bytes, 2)

    def test_server_entry(self):
        spec = (
            b'{"service":"s","addr":"10.0.0.1:80","zone":"z","version":"v1",'
            b'"slots":2,"state":"draining","warmupLeftMs":120,"seq":4}'
        )
        entry = server_entry_from("i-1", spec)
        self.assertTrue(entry.is_draining)
        self.assertEqual((entry.server_id, entry.warm_up_left_ms), ("i-1", 120.0))
