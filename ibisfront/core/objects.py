"""Versioned objects of the platform, as held by this instance."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import StrEnum
from typing import TYPE_CHECKING

import msgspec

from ibisfront.core.types import JsonBytes, Version

if TYPE_CHECKING:
    from collections.abc import Collection


__all__ = [
    "REPLICATED_KINDS",
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


REPLICATED_KINDS = (ObjectKind.TABLE, ObjectKind.SERVICE, ObjectKind.INDEX)
"""The kinds that are replicated to every instance."""


class WriteConflict(Exception):
    """A conditional write found another version and had no effect."""


class ObjectName(msgspec.Struct, frozen=True, array_like=True):
    """The identity of one object: its kind, and its name within the kind."""

    kind: ObjectKind
    name: str


class VersionedObject(msgspec.Struct, frozen=True, array_like=True):
    """One object at one version.

    Attributes
    ----------
    kind : ObjectKind
        Kind of the object.
    name : str
        Name within the kind.
    version : int
        The platform's version.
    value_json : bytes or None
        The value; None for a deleted object.
    """

    kind: ObjectKind
    name: str
    version: Version
    value_json: JsonBytes | None


class ObjectStore:
    """The newest known version of each object; versions never decrease.

    Attributes
    ----------
    revision : int
        The platform revision up to which the store is complete: each change at
        or before it is either held here or superseded by a later change.
    floor : int
        The revision of the newest list ingested. Deletions at or before it may
        have no tombstone here.
    newest : int
        The largest version held, or the floor if that is larger. An instance
        that is complete through it lacks nothing held here.
    """

    __slots__ = ("_listeners", "_objects", "floor", "newest", "revision")

    def __init__(self) -> None:
        self._objects: dict[ObjectName, VersionedObject] = {}
        self._listeners: list[Callable[[VersionedObject], None]] = []
        self.revision: Version = 0
        self.floor: Version = 0
        self.newest: Version = 0

    def subscribe(self, listener: Callable[[VersionedObject], None]) -> None:
        """Register a function that is called with each changed object."""
        self._listeners.append(listener)

    def get(self, kind: ObjectKind, name: str) -> VersionedObject | None:
        """Return an object, or None if it is unknown or deleted."""
        found = self._objects.get(ObjectName(kind, name))
        if found is None or found.value_json is None:
            return None
        return found

    def of_kind(self, kind: ObjectKind) -> list[VersionedObject]:
        """Return the objects of one kind that are not deleted, sorted by name."""
        found = [
            item
            for item in self._objects.values()
            if item.kind == kind and item.value_json is not None
        ]
        return sorted(found, key=lambda item: item.name)

    def present(self) -> tuple[ObjectName, ...]:
        """Return the names of all objects that are not deleted."""
        return tuple(
            name for name, item in self._objects.items() if item.value_json is not None
        )

    def changes_after(self, revision: Version) -> list[VersionedObject]:
        """Return all objects newer than a revision, including deleted ones."""
        found = [item for item in self._objects.values() if item.version > revision]
        return sorted(found, key=lambda item: item.version)

    def merge(self, objects: Iterable[VersionedObject]) -> list[VersionedObject]:
        """Apply objects and return those that changed the store.

        A version that is not larger than the one held, such as from a stale
        read or a late message, is dropped.
        """
        changed = [item for item in objects if self._apply(item)]
        for item in changed:
            for listener in self._listeners:
                listener(item)
        return changed

    def complete_through(self, revision: Version) -> None:
        """Record that all changes up to a revision have been merged."""
        self.revision = max(self.revision, revision)

    def delete_absent(
        self,
        present: Collection[ObjectName],
        *,
        kinds: Collection[ObjectKind],
        revision: Version,
    ) -> list[VersionedObject]:
        """Delete the objects missing from a list read at a revision; return them.

        A list proves nothing about later changes: each deletion gets the list's
        revision as its version, so that newer objects are kept.

        Parameters
        ----------
        present : collection of ObjectName
            The objects on the list.
        kinds : collection of ObjectKind
            The kinds that the list covers.
        revision : int
            The revision at which it was read.
        """
        if revision > self.revision:
            self.floor = max(self.floor, revision)
            self.newest = max(self.newest, revision)
        deleted = [
            VersionedObject(item.kind, item.name, revision, None)
            for name, item in self._objects.items()
            if item.value_json is not None
            and item.kind in kinds
            and name not in present
        ]
        return self.merge(deleted)

    def _apply(self, item: VersionedObject) -> bool:
        key = ObjectName(item.kind, item.name)
        known = self._objects.get(key)
        if known is not None and known.version >= item.version:
            return False
        # A stale list can contain an object that was deleted before this store
        # was created and has no tombstone here. Objects that still existed at
        # the store's revision are known, so an unknown older one is dropped.
        if known is None and item.version <= self.revision:
            return False
        self._objects[key] = item
        self.newest = max(self.newest, item.version)
        return True
