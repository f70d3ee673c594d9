"""Tests of objects of other writers in the platform's store, over real sockets."""

from __future__ import annotations

import functools
import json
import unittest

import trio

from ibisfront.core.clock import Clock
from ibisfront.gateway.state.kind_watch import WatchTarget, watch_kind
from ibisfront.gateway.state.store import StoreError, StoreErrorKind
from ibisfront.gateway.state.store_answers import decode_leniently
from ibisfront.platform.documents import server_entry_from
from ibisfront.platform.store import OBJECT_START, PlatformKindClient, StoreAnswer
from ibisfront.testing.object_store import FakeObjectStore
from ibisfront.tests import trio_test_real_clock
from ibisfront.tests.test_platform_documents import VALID

FOREIGN_CONTENTS = {
    "deep list": b'{"slots": ' + b"[" * 1500 + b"]" * 1500 + b"}",
    "deep objects": b'{"a":' * 5000 + b"1" + b"}" * 5000,
    "beyond a double": b'{"slots": 1e400, "addr": "\\ud800"}',
    "long integer": b'{"slots": ' + b"9" * 5000 + b', "addr": "\\ud800"}',
    "undecodable": b'{"addr": "\xff\xfe"}',
    "not JSON": b"{5}",
    "unbalanced quote": b'{"addr": "1.2.3.4:5',
    "unbalanced brackets": b'{"slots": [[1, 2}',
    "closing brackets": b"]}]}",
}


def decode_answer(raw):
    """Decode an answer of the store."""
    return decode_leniently(raw, StoreAnswer, OBJECT_START)


class WatchedNames:
    """Names of the sound servers that a watch has delivered."""

    def __init__(self):
        self.names = set()

    def target(self):
        return WatchTarget("servers", self.replace, self.change)

    def replace(self, listing, after_outage):
        for item in listing.objects:
            self.add(item)

    def change(self, changes):
        for change in changes:
            self.add(change.object)

    def add(self, item):
        try:
            server_entry_from(item.name, item.spec)
        except ValueError:
            return
        self.names.add(item.name)

    async def until(self, *names):
        with trio.fail_after(10.0):
            while not self.names >= set(names):  # noqa: ASYNC110
                await trio.sleep(0.005)


class ForeignObjectTest(unittest.TestCase):
    """One object of another writer among those of sound servers."""

    @trio_test_real_clock
    async def test_no_foreign_entry_ends_the_watch_or_hides_other_servers(self):
        """Guards against an entry of another writer that ends every front process."""
        for name, content in FOREIGN_CONTENTS.items():
            with self.subTest(name):
                await self._watch_beside(content)

    async def _watch_beside(self, content):
        store, seen = FakeObjectStore(), WatchedNames()
        store.put("servers", "a", VALID)
        store.put_as_written("servers", "foreign-1", content)
        store.put("servers", "z", VALID)
        async with store.running(), trio.open_nursery() as nursery:
            client = PlatformKindClient(store.address, "servers", watch_wait_ms=300.0)
            run = functools.partial(watch_kind, clock=Clock())
            nursery.start_soon(run, client, seen.target())
            await seen.until("a", "z")
            store.put_as_written("servers", "foreign-2", content)
            store.put("servers", "later", VALID)
            await seen.until("later")
            self.assertEqual(seen.names, {"a", "z", "later"})
            nursery.cancel_scope.cancel()

    def test_removal_is_read_beside_an_unbalanced_entry(self):
        """Guards against a server that is used after its entry was removed."""
        removed = json.dumps({"object": {"meta": {"name": "a"}}, "deleted": True})
        foreign = '{"object": {"meta": {"name": "b"}, "spec": {"x": "}}'
        answer = decode_answer(
            f'{{"events": [{foreign}, {removed}], "currentRev": 7}}'.encode()
        )
        read = [(item.object.meta.name, item.deleted) for item in answer.events]
        self.assertEqual(read, [("b", False), ("a", True)])
        self.assertEqual(answer.current_rev, 7)

    def test_reply_without_objects_is_a_bad_answer(self):
        for raw in (b"", b"[]", b"{", b'{"items": [{"meta": {}]', b"\xff" * 9):
            with self.subTest(raw), self.assertRaises(StoreError) as caught:
                decode_answer(raw)
            self.assertIs(caught.exception.kind, StoreErrorKind.BAD_ANSWER)


if __name__ == "__main__":
    unittest.main()
