"""Versioned objects of the platform, as this instance knows them."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import StrEnum
from typing import TYPE_CHECKING

import msgspec

from ibisfront.core.types import JsonBytes, Version

if TYPE_CHECKING:
    from collections.abc import Collection


__all__ = [
    "SPREAD_KINDS",
    "ObjectKind",
    "ObjectName",
    "ObjectStore",
    "VersionedObject",
    "WriteConflict",
]


class ObjectKind(StrEnum):
    """The kinds of objects that the tier keeps in the platform."""

    TABLE = "table"
    SERVICE = "service"
    INDEX = "index"
    LEDGER = "ledger"


SPREAD_KINDS = (ObjectKind.TABLE, ObjectKind.SERVICE, ObjectKind.INDEX)
"""The kinds that every instance holds a copy of."""


class WriteConflict(Exception):
    """A conditional write met another version; it took no effect."""


class ObjectName(msgspec.Struct, frozen=True, array_like=True):
    """The identity of one object: its kind, and its name within the kind."""

    kind: ObjectKind
    name: str


class VersionedObject(msgspec.Struct, frozen=True, array_like=True):
    """One object at one version.

    Attributes
    ----------
    kind : ObjectKind
        What it is.
    name : str
        Its name within its kind.
    version : int
        The platform's version.
    value_json : bytes or None
        Its value; None once it was deleted.
    """

    kind: ObjectKind
    name: str
    version: Version
    value_json: JsonBytes | None


class ObjectStore:
    """The newest version known of each object; versions only rise.

    Attributes
    ----------
    revision : int
        The platform revision up to which everything is known: no object
        changed at or before it in a way that is neither seen here nor
        superseded by a change after it.
    floor : int
        The revision of the newest list taken in. Deletions at or before it may
        have left no tombstone here.
    newest : int
        The largest version held, or the floor if that is larger. Whoever is
        complete through it misses nothing that is held here.
    """

    __slots__ = ("_listeners", "_objects", "floor", "newest", "revision")

    def __init__(self) -> None:
        self._objects: dict[ObjectName, VersionedObject] = {}
        self._listeners: list[Callable[[VersionedObject], None]] = []
        self.revision: Version = 0
        self.floor: Version = 0
        self.newest: Version = 0

    def subscribe(self, listener: Callable[[VersionedObject], None]) -> None:
        """Call a function for each object that changes from now on."""
        self._listeners.append(listener)

    def get(self, kind: ObjectKind, name: str) -> VersionedObject | None:
        """Return an object, or None if it is unknown or deleted."""
        found = self._objects.get(ObjectName(kind, name))
        if found is None or found.value_json is None:
            return None
        return found

    def of_kind(self, kind: ObjectKind) -> list[VersionedObject]:
        """Return the objects of one kind that are not deleted, by name."""
        found = [
            item
            for item in self._objects.values()
            if item.kind == kind and item.value_json is not None
        ]
        return sorted(found, key=lambda item: item.name)

    def present(self) -> tuple[ObjectName, ...]:
        """Return the names of every object that is not deleted."""
        return tuple(
            name for name, item in self._objects.items() if item.value_json is not None
        )

    def changes_after(self, revision: Version) -> list[VersionedObject]:
        """Return every object, deleted ones too, newer than a revision."""
        found = [item for item in self._objects.values() if item.version > revision]
        return sorted(found, key=lambda item: item.version)

    def merge(self, objects: Iterable[VersionedObject]) -> list[VersionedObject]:
        """Take in objects and return those that were news.

        An older version never replaces a newer one: a stale read or a late
        message shows as a version that is not larger, and is dropped.
        """
        news = [item for item in objects if self._take(item)]
        for item in news:
            for listener in self._listeners:
                listener(item)
        return news

    def complete_through(self, revision: Version) -> None:
        """Note that all changes up to a revision have been merged."""
        self.revision = max(self.revision, revision)

    def delete_absent(
        self,
        present: Collection[ObjectName],
        *,
        kinds: Collection[ObjectKind],
        revision: Version,
    ) -> list[VersionedObject]:
        """Delete what a list read at a revision no longer holds; return it.

        A stale list says nothing of what changed after it. The deletions have
        the list's revision as their version, so that newer objects stay.

        Parameters
        ----------
        present : collection of ObjectName
            What the list holds.
        kinds : collection of ObjectKind
            The kinds that the list covers.
        revision : int
            The revision at which it was read.
        """
        if revision > self.revision:
            self.floor = max(self.floor, revision)
            self.newest = max(self.newest, revision)
        gone = [
            VersionedObject(item.kind, item.name, revision, None)
            for name, item in self._objects.items()
            if item.value_json is not None
            and item.kind in kinds
            and name not in present
        ]
        return self.merge(gone)

    def _take(self, item: VersionedObject) -> bool:
        key = ObjectName(item.kind, item.name)
        known = self._objects.get(key)
        if known is not None and known.version >= item.version:
            return False
        # A stale list can hold an object that was deleted before this store
        # began and so left no tombstone here. It shows as an unknown object
        # at or before the revision that the store is complete through; what
        # still existed then would be known.
        if known is None and item.version <= self.revision:
            return False
        self._objects[key] = item
        self.newest = max(self.newest, item.version)
        return True
