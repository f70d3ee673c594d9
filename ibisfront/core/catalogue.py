"""The decoded table, services and indexes that are in force here."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

import msgspec

from ibisfront.core.objects import ObjectKind
from ibisfront.core.service import Service
from ibisfront.core.snapshot import Index
from ibisfront.core.table import TABLE_NAME, Table

if TYPE_CHECKING:
    from ibisfront.core.objects import ObjectStore, VersionedObject
    from ibisfront.core.types import Version

__all__ = ["Catalogue"]

_Decoded = TypeVar("_Decoded")


class Catalogue:
    """Typed access to the objects of a store, each version decoded once.

    Parameters
    ----------
    store : ObjectStore
        Where the objects are; the catalogue follows its changes.
    """

    __slots__ = ("_decoded", "_store")

    def __init__(self, store: ObjectStore) -> None:
        self._store = store
        self._decoded: dict[tuple[ObjectKind, str], object] = {}
        store.subscribe(self._forget)

    @property
    def table(self) -> Table | None:
        """The table in force, or None if none is known."""
        return self._get(ObjectKind.TABLE, TABLE_NAME, Table)

    @property
    def table_version(self) -> Version:
        """The version of the table in force; 0 if none is known."""
        found = self._store.get(ObjectKind.TABLE, TABLE_NAME)
        return 0 if found is None else found.version

    def service(self, name: str) -> Service | None:
        """Return a service, or None if it is unknown."""
        return self._get(ObjectKind.SERVICE, name, Service)

    def service_names(self) -> list[str]:
        """Return the names of all services."""
        return [item.name for item in self._store.of_kind(ObjectKind.SERVICE)]

    def index(self, name: str) -> Index | None:
        """Return an index, or None if it is unknown."""
        return self._get(ObjectKind.INDEX, name, Index)

    def _get(
        self, kind: ObjectKind, name: str, decoded_type: type[_Decoded]
    ) -> _Decoded | None:
        known = self._decoded.get((kind, name))
        if isinstance(known, decoded_type):
            return known
        found = self._store.get(kind, name)
        if found is None or found.value_json is None:
            return None
        decoded = msgspec.json.decode(found.value_json, type=decoded_type)
        self._decoded[(kind, name)] = decoded
        return decoded

    def _forget(self, changed: VersionedObject) -> None:
        self._decoded.pop((changed.kind, changed.name), None)
