"""Tests of the object store: versions only rise."""

from __future__ import annotations

import unittest

from ibisfront.core.objects import (
    SPREAD_KINDS,
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
    store.delete_absent(present, kinds=SPREAD_KINDS, revision=revision)
    store.complete_through(revision)


class StaleReadTest(unittest.TestCase):
    """Whatever comes late or out of order, nothing falls back."""

    def test_older_version_is_dropped(self) -> None:
        store = ObjectStore()
        store.merge([_item("a", 5, b"5")])
        self.assertEqual(store.merge([_item("a", 3, b"3")]), [])
        found = store.get(ObjectKind.SERVICE, "a")
        self.assertEqual(found and found.value_json, b"5")

    def test_stale_list_does_not_bring_a_deleted_server_back(self) -> None:
        """Operators delete a service; a reconnecting watch reads an old list.

        The old list still holds the service. Taken in, it would send work to
        servers that are gone.
        """
        store = ObjectStore()
        _list(store, 5, _item("a", 5))
        store.merge([_item("a", 8, None)])
        store.complete_through(8)
        _list(store, 6, _item("a", 5))
        self.assertIsNone(store.get(ObjectKind.SERVICE, "a"))

    def test_stale_list_does_not_bring_back_what_was_never_seen(self) -> None:
        """An instance starts after a deletion, and then meets an old list.

        It has no tombstone of the deleted service, as no list holds one.
        """
        store = ObjectStore()
        _list(store, 8, _item("b", 3))
        _list(store, 6, _item("a", 5), _item("b", 3))
        self.assertIsNone(store.get(ObjectKind.SERVICE, "a"))

    def test_stale_list_does_not_delete_what_is_newer(self) -> None:
        """A service is created; a list from before that is read afterwards.

        It is missing from the list because the list is old. Deleting it would
        take its servers away until the next change.
        """
        store = ObjectStore()
        _list(store, 4, _item("a", 3))
        store.merge([_item("b", 9)])
        _list(store, 6, _item("a", 3))
        self.assertIsNotNone(store.get(ObjectKind.SERVICE, "b"))

    def test_list_deletes_what_it_no_longer_holds(self) -> None:
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

    def test_object_made_anew_after_its_deletion_counts(self) -> None:
        store = ObjectStore()
        _list(store, 4, _item("a", 3))
        _list(store, 9)
        store.merge([_item("a", 10, b"new")])
        found = store.get(ObjectKind.SERVICE, "a")
        self.assertEqual(found and found.value_json, b"new")
