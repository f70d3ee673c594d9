"""Tests of the decoded objects in force."""

from __future__ import annotations

import unittest

import msgspec

from ibisfront.core.catalogue import Catalogue
from ibisfront.core.counters import CounterKind, Counters
from ibisfront.core.objects import ObjectKind, ObjectStore, VersionedObject
from ibisfront.core.table import TABLE_NAME, Purpose, Row, Table


def _table(version: int, value: bytes | None) -> VersionedObject:
    return VersionedObject(ObjectKind.TABLE, TABLE_NAME, version, value)


def _encoded(weight: float) -> bytes:
    return msgspec.json.encode(
        Table(
            purposes=(Purpose("name-check", "search", index="register"),),
            rows=(Row("vestry", "name-check", weight=weight),),
        )
    )


class LastValidValueTest(unittest.TestCase):
    """An invalid value never replaces a valid one."""

    def setUp(self) -> None:
        self.counters = Counters()
        self.store = ObjectStore()
        self.catalogue = Catalogue(self.store, self.counters)
        self.store.merge([_table(1, _encoded(2.0))])

    def _assert_first_in_force(self) -> None:
        self.assertEqual(self.catalogue.table_version, 1)
        table = self.catalogue.table
        self.assertEqual(table and table.rows[0].weight, 2.0)
        refused = self.counters.value(CounterKind.TABLE_CHANGES, "refused_table")
        self.assertEqual(refused, 1)

    def test_undecodable_table_is_not_put_in_force(self) -> None:
        """A manual write, or a tool of another release, stores an invalid table.

        If it came into force or crashed its readers, every request of every
        branch would be rejected.
        """
        with self.assertLogs("ibisfront", "ERROR"):
            self.store.merge([_table(2, b'{"rows": 7}')])
        self._assert_first_in_force()

    def test_table_with_zero_weight_is_not_put_in_force(self) -> None:
        with self.assertLogs("ibisfront", "ERROR"):
            self.store.merge([_table(2, _encoded(0.0))])
        self._assert_first_in_force()

    def test_deleted_table_stays_in_force(self) -> None:
        with self.assertLogs("ibisfront", "ERROR"):
            self.store.merge([_table(2, None)])
        self._assert_first_in_force()

    def test_next_valid_table_is_put_in_force(self) -> None:
        with self.assertLogs("ibisfront", "ERROR"):
            self.store.merge([_table(2, b"{")])
        self.store.merge([_table(3, _encoded(5.0))])
        self.assertEqual(self.catalogue.table_version, 3)

    def test_undecodable_service_keeps_its_servers(self) -> None:
        service = VersionedObject(
            ObjectKind.SERVICE,
            "register",
            4,
            b'{"backend_servers":[{"name":"a","address":"127.0.0.1:1","zone":"z1"}]}',
        )
        self.store.merge([service])
        with self.assertLogs("ibisfront", "ERROR"):
            self.store.merge(
                [msgspec.structs.replace(service, version=5, value_json=b"[]")]
            )
        found = self.catalogue.service("register")
        self.assertEqual(found and found.backend_servers[0].name, "a")
