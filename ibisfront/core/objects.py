"""Versioned objects of the platform, as this instance knows them."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import StrEnum
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from ibisfront.core.types import JsonBytes, Version

__all__ = [
    "SPREAD_KINDS",
    "ObjectKind",
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


class VersionedObject(msgspec.Struct, frozen=True):
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

    ``revision`` is the platform revision up to which everything is known:
    no object changed at or before it in a way not yet seen here.
    """

    __slots__ = ("_listeners", "_objects", "revision")

    def __init__(self) -> None:
        self._objects: dict[tuple[ObjectKind, str], VersionedObject] = {}
        self._listeners: list[Callable[[VersionedObject], None]] = []
        self.revision: Version = 0

    def subscribe(self, listener: Callable[[VersionedObject], None]) -> None:
        """Call a function for each object that changes from now on."""
        self._listeners.append(listener)

    def get(self, kind: ObjectKind, name: str) -> VersionedObject | None:
        """Return an object, or None if it is unknown or deleted."""
        found = self._objects.get((kind, name))
        if found is None or found.value_json is None:
            return None
        return found

    def of_kind(self, kind: ObjectKind) -> list[VersionedObject]:
        """Return the objects of one kind that are not deleted, by name."""
        found = [
            item
            for (item_kind, _), item in self._objects.items()
            if item_kind == kind and item.value_json is not None
        ]
        return sorted(found, key=lambda item: item.name)

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

    def _take(self, item: VersionedObject) -> bool:
        key = (item.kind, item.name)
        known = self._objects.get(key)
        if known is not None and known.version >= item.version:
            return False
        self._objects[key] = item
        return True
