"""Tests of the object store: versions never decrease."""

from __future__ import annotations

import unittest

from ibisfront.core.objects import (
    REPLICATED_KINDS,
    ObjectKind,
    ObjectName,
    ObjectStore,
    VersionedObject,
)


def _item(name: str, version: int, value: bytes | None = b"{}") -> VersionedObject:
    return VersionedObject(ObjectKind.SERVICE, name, version, value)


def _list(store: ObjectStore, revision: int, *objects: VersionedObject) -> None:
    store.merge(objects)
    present = {ObjectName(item.kind, item.name) for item in objects}
    store.delete_absent(present, kinds=REPLICATED_KINDS, revision=revision)
    store.complete_through(revision)


class StaleReadTest(unittest.TestCase):
    """Late, stale or reordered input never reverts an object."""

    def test_older_version_is_dropped(self) -> None:
        store = ObjectStore()
        store.merge([_item("a", 5, b"5")])
        self.assertEqual(store.merge([_item("a", 3, b"3")]), [])
        found = store.get(ObjectKind.SERVICE, "a")
        self.assertEqual(found and found.value_json, b"5")

    def test_stale_list_does_not_restore_a_deleted_service(self) -> None:
        """A service is deleted, then a reconnecting watch reads a stale list.

        The stale list still contains the service. Restoring it would route
        requests to servers that no longer exist.
        """
        store = ObjectStore()
        _list(store, 5, _item("a", 5))
        store.merge([_item("a", 8, None)])
        store.complete_through(8)
        _list(store, 6, _item("a", 5))
        self.assertIsNone(store.get(ObjectKind.SERVICE, "a"))

    def test_stale_list_does_not_restore_an_object_without_tombstone(self) -> None:
        """An instance starts after a deletion, then reads a stale list.

        It has no tombstone of the deleted service, since lists contain none.
        """
        store = ObjectStore()
        _list(store, 8, _item("b", 3))
        _list(store, 6, _item("a", 5), _item("b", 3))
        self.assertIsNone(store.get(ObjectKind.SERVICE, "a"))

    def test_stale_list_does_not_delete_newer_objects(self) -> None:
        """A service is created, then a list from before its creation is read.

        Deleting the service because it is missing from the list would make its
        servers unavailable until the next change.
        """
        store = ObjectStore()
        _list(store, 4, _item("a", 3))
        store.merge([_item("b", 9)])
        _list(store, 6, _item("a", 3))
        self.assertIsNotNone(store.get(ObjectKind.SERVICE, "b"))

    def test_list_deletes_objects_it_no_longer_contains(self) -> None:
        store = ObjectStore()
        _list(store, 4, _item("a", 3), _item("b", 4))
        _list(store, 9, _item("b", 4))
        self.assertIsNone(store.get(ObjectKind.SERVICE, "a"))
        self.assertIsNotNone(store.get(ObjectKind.SERVICE, "b"))

    def test_list_of_other_kinds_deletes_nothing(self) -> None:
        store = ObjectStore()
        _list(store, 4, _item("a", 3))
        store.delete_absent(frozenset(), kinds=(ObjectKind.INDEX,), revision=9)
        self.assertIsNotNone(store.get(ObjectKind.SERVICE, "a"))

    def test_object_recreated_after_its_deletion_is_kept(self) -> None:
        store = ObjectStore()
        _list(store, 4, _item("a", 3))
        _list(store, 9)
        store.merge([_item("a", 10, b"new")])
        found = store.get(ObjectKind.SERVICE, "a")
        self.assertEqual(found and found.value_json, b"new")
