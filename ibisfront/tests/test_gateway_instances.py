"""Tests of registering an instance and polling the list of instances."""

from __future__ import annotations

import math
import unittest

import trio

from ibisfront.core.clock import Clock
from ibisfront.gateway.instances.directory import InstanceEntry, sync_instances
from ibisfront.gateway.state.store import StoreError, StoreErrorKind
from ibisfront.tests import trio_test

OWN = InstanceEntry("i1", "z0", "10.0.0.1:1")
OTHER = InstanceEntry("i2", "z0", "10.0.0.2:1")


class FakeDirectory:
    """A directory of instances without a store."""

    def __init__(self, *entries):
        self.entries = list(entries)
        self.is_unavailable = False
        self.writes = 0
        self.reads = 0
        self.stale_s = 0.0
        self.written_at_s = -math.inf

    async def register(self, entry):
        self._check()
        self.writes += 1
        self.written_at_s = trio.current_time()
        self.entries.append(entry)

    async def instances(self):
        self._check()
        self.reads += 1
        if trio.current_time() < self.written_at_s + self.stale_s:
            return self.entries[:-1]
        return list(self.entries)

    def _check(self):
        if self.is_unavailable:
            raise StoreError(StoreErrorKind.UNREACHABLE, "away")


class SyncInstancesTest(unittest.TestCase):
    """Reads and writes of the list by an instance."""

    def setUp(self):
        self.listed = []
        self.first_poll_at_s = None
        self.is_needed = True

    async def sync(self, directory, *, is_first_start=False):
        await sync_instances(
            directory,
            OWN,
            on_list=self.listed.append,
            on_first_poll=self.record_first_poll,
            is_needed=lambda: self.is_needed,
            is_listed=lambda: bool(self.listed) and OWN in self.listed[-1],
            is_first_start=is_first_start,
            clock=Clock(),
        )

    def record_first_poll(self):
        self.first_poll_at_s = trio.current_time() - self.started_s

    async def run_for(self, duration_s, directory, **options):
        self.started_s = trio.current_time()
        with trio.move_on_after(duration_s):
            await self.sync(directory, **options)

    @trio_test
    async def test_first_start_reads_the_list_after_the_others_register(self):
        directory = FakeDirectory(OTHER)
        await self.run_for(0.9, directory, is_first_start=True)
        self.assertEqual((directory.writes, directory.reads), (1, 1))
        self.assertEqual(self.listed, [[OTHER, OWN]])

    @trio_test
    async def test_entry_that_the_store_has_lost_is_written_again(self):
        """Guards against an instance that no other counts for the rest of its life."""
        directory = FakeDirectory(OTHER)

        async def lose_entry():
            await trio.sleep(10.0)
            directory.entries.remove(OWN)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(lose_entry)
            await self.run_for(40.0, directory, is_first_start=True)
        self.assertIn(OWN, directory.entries)
        self.assertEqual(directory.writes, 2)

    @trio_test
    async def test_stale_list_does_not_cause_another_write(self):
        """Guards against writes by all instances that start, as lists are stale."""
        directory = FakeDirectory(OTHER)
        directory.stale_s = 4.0
        await self.run_for(40.0, directory, is_first_start=True)
        self.assertEqual(directory.writes, 1)

    @trio_test
    async def test_restart_reads_first_and_does_not_write_again(self):
        directory = FakeDirectory(OTHER, OWN)
        await self.run_for(20.0, directory)
        self.assertEqual(directory.writes, 0)
        self.assertLess(self.first_poll_at_s, 0.01)

    @trio_test
    async def test_new_instance_registers_after_its_first_read(self):
        directory = FakeDirectory(OTHER)
        await self.run_for(20.0, directory)
        self.assertEqual(directory.writes, 1)
        self.assertIn(OWN, self.listed[-1])

    @trio_test
    async def test_unavailable_store_does_not_delay_the_start(self):
        """Guards against an instance that cannot serve until the store is available.

        The store rejects it at its first start. It must go on to get its state from
        other instances, and register as soon as the store accepts requests.
        """
        directory = FakeDirectory(OTHER)
        directory.is_unavailable = True
        await self.run_for(5.0, directory, is_first_start=True)
        self.assertLess(self.first_poll_at_s, 1.0)
        directory.is_unavailable = False
        await self.run_for(2.0, directory)
        self.assertEqual(directory.writes, 1)

    @trio_test
    async def test_list_is_read_once_if_another_instance_relays_it(self):
        self.is_needed = False
        directory = FakeDirectory(OTHER, OWN)
        await self.run_for(30.0, directory)
        self.assertEqual(directory.reads, 1)
