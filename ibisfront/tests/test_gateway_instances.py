"""Tests of registering an instance and keeping up with the others."""

from __future__ import annotations

import unittest

import trio

from ibisfront.core.clock import Clock
from ibisfront.gateway.instances.directory import InstanceEntry, keep_instances
from ibisfront.gateway.state.store import StoreError, StoreErrorKind
from ibisfront.tests import trio_test

OWN = InstanceEntry("i1", "z0", "10.0.0.1:1")
OTHER = InstanceEntry("i2", "z0", "10.0.0.2:1")


class FakeDirectory:
    """The list of instances, without a store."""

    def __init__(self, *entries):
        self.entries = list(entries)
        self.is_away = False
        self.writes = 0
        self.reads = 0

    async def register(self, entry):
        self._check()
        self.writes += 1
        self.entries.append(entry)

    async def instances(self):
        self._check()
        self.reads += 1
        return list(self.entries)

    def _check(self):
        if self.is_away:
            raise StoreError(StoreErrorKind.UNREACHABLE, "away")


class KeepInstancesTest(unittest.TestCase):
    """What an instance reads and writes."""

    def setUp(self):
        self.listed = []
        self.first_try_at_s = None
        self.is_needed = True

    async def keep(self, directory, *, is_first_start=False):
        await keep_instances(
            directory,
            OWN,
            on_list=self.listed.append,
            on_first_try=self.record_first_try,
            is_needed=lambda: self.is_needed,
            is_first_start=is_first_start,
            clock=Clock(),
        )

    def record_first_try(self):
        self.first_try_at_s = trio.current_time() - self.started_s

    async def run_for(self, seconds, directory, **options):
        self.started_s = trio.current_time()
        with trio.move_on_after(seconds):
            await self.keep(directory, **options)

    @trio_test
    async def test_first_start_lists_once_the_others_are_there(self):
        directory = FakeDirectory(OTHER)
        await self.run_for(0.9, directory, is_first_start=True)
        self.assertEqual((directory.writes, directory.reads), (1, 1))
        self.assertEqual(self.listed, [[OTHER, OWN]])

    @trio_test
    async def test_restart_reads_first_and_does_not_write_again(self):
        directory = FakeDirectory(OTHER, OWN)
        await self.run_for(20.0, directory)
        self.assertEqual(directory.writes, 0)
        self.assertLess(self.first_try_at_s, 0.01)

    @trio_test
    async def test_new_instance_registers_after_its_first_read(self):
        directory = FakeDirectory(OTHER)
        await self.run_for(20.0, directory)
        self.assertEqual(directory.writes, 1)
        self.assertIn(OWN, self.listed[-1])

    @trio_test
    async def test_store_that_is_away_does_not_hold_up_the_start(self):
        """An instance serves nothing although the others know everything.

        The store turns it away at its first start. It must go on to ask the
        others, and register as soon as the store serves it.
        """
        directory = FakeDirectory(OTHER)
        directory.is_away = True
        await self.run_for(5.0, directory, is_first_start=True)
        self.assertLess(self.first_try_at_s, 1.0)
        directory.is_away = False
        await self.run_for(2.0, directory)
        self.assertEqual(directory.writes, 1)

    @trio_test
    async def test_list_is_read_once_where_another_passes_it_on(self):
        self.is_needed = False
        directory = FakeDirectory(OTHER, OWN)
        await self.run_for(30.0, directory)
        self.assertEqual(directory.reads, 1)
