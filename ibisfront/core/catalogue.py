"""The decoded table, services and indexes in force at this instance."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

import msgspec

from ibisfront.core.counters import CounterKind, Counters
from ibisfront.core.logs import LogPart, part_logger
from ibisfront.core.objects import ObjectKind, ObjectName
from ibisfront.core.service import Service
from ibisfront.core.snapshot import Index
from ibisfront.core.table import TABLE_NAME, Table
from ibisfront.core.table_check import table_problems

if TYPE_CHECKING:
    from ibisfront.core.objects import ObjectStore, VersionedObject
    from ibisfront.core.types import Version

__all__ = ["Catalogue"]

_Decoded = TypeVar("_Decoded")

_VALUE_TYPES: dict[ObjectKind, type] = {
    ObjectKind.TABLE: Table,
    ObjectKind.SERVICE: Service,
    ObjectKind.INDEX: Index,
    ObjectKind.LEDGER: object,
}
_LOG = part_logger(LogPart.TABLE)


class _ValidValue(msgspec.Struct, frozen=True):
    """The newest valid value of an object, and its version."""

    version: Version
    value: object


class Catalogue:
    """Typed access to the objects of a store, each version decoded once.

    An invalid value never replaces a valid one: the last valid value stays in
    force until a newer valid one arrives.

    Parameters
    ----------
    store : ObjectStore
        Holds the objects; the catalogue subscribes to its changes.
    counters : Counters, optional
        Counts changes of the table by outcome.
    """

    __slots__ = ("_counters", "_store", "_valid_values")

    def __init__(self, store: ObjectStore, counters: Counters | None = None) -> None:
        self._store = store
        self._counters = Counters() if counters is None else counters
        self._valid_values: dict[ObjectName, _ValidValue] = {}
        store.subscribe(self._object_changed)

    @property
    def table(self) -> Table | None:
        """The table in force, or None if none is known."""
        return self._get(ObjectKind.TABLE, TABLE_NAME, Table)

    @property
    def table_version(self) -> Version:
        """The version of the table in force; 0 if none is known."""
        found = self._valid_values.get(ObjectName(ObjectKind.TABLE, TABLE_NAME))
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
        valid = self._valid_values.get(ObjectName(kind, name))
        if valid is None or not isinstance(valid.value, decoded_type):
            return None
        return valid.value

    def _object_changed(self, changed: VersionedObject) -> None:
        name = ObjectName(changed.kind, changed.name)
        if changed.value_json is None:
            self._handle_deletion(name, changed.version)
            return
        # An operator's tool of another release, or a manual write, can store an
        # invalid table. Putting it in force would reject every request of every
        # branch, so the last valid one stays in force.
        try:
            value = _decode(changed)
        except msgspec.MsgspecError as error:
            self._reject(name, changed.version, str(error))
            return
        problems = table_problems(value) if isinstance(value, Table) else []
        if problems:
            self._reject(name, changed.version, " ".join(problems))
            return
        self._valid_values[name] = _ValidValue(changed.version, value)
        if changed.kind is ObjectKind.TABLE:
            self._counters.add(CounterKind.TABLE_CHANGES, "in_force")
            _LOG.info("Version %d is in force.", changed.version)

    def _handle_deletion(self, name: ObjectName, version: Version) -> None:
        if name.kind is ObjectKind.TABLE:
            self._reject(name, version, "deleted; the last version stays in force")
            return
        self._valid_values.pop(name, None)

    def _reject(self, name: ObjectName, version: Version, reason: str) -> None:
        self._counters.add(CounterKind.TABLE_CHANGES, f"refused_{name.kind}")
        _LOG.error(
            "Version %d of %s %s was rejected: %s",
            version,
            name.kind,
            name.name,
            reason,
        )


def _decode(changed: VersionedObject) -> object:
    return msgspec.json.decode(
        changed.value_json or b"null", type=_VALUE_TYPES[changed.kind]
    )
