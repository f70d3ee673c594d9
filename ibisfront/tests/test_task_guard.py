"""Tests of tasks that fail unexpectedly, in mock time."""

from __future__ import annotations

import unittest
from unittest import mock

import trio
import trio.testing

from ibisfront.core.clock import Clock
from ibisfront.core.counters import CounterKind, Counters
from ibisfront.core.task_guard import TaskGuard
from ibisfront.front.process import FrontProcess
from ibisfront.front.store_watches import watch_store
from ibisfront.gateway.settings import GatewaySettings
from ibisfront.gateway.state.kind_watch import WatchOptions
from ibisfront.testing.object_store import FakeObjectStore
from ibisfront.tests import task_failures


async def fail():
    """Fail at once."""
    raise KeyError("unexpected")


async def fail_in_a_nursery():
    """Fail beside a task that is cancelled for it."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.sleep_forever)
        nursery.start_soon(fail)


def run(function, *args, clock=None):
    """Run a function; return the log lines of the tasks that failed."""
    with task_failures() as failures:
        trio.run(function, *args, clock=clock)
    return failures


class TaskGuardTest(unittest.TestCase):
    """A task that fails leaves the others alone."""

    def test_failing_task_does_not_end_the_others(self):
        """Guards against an error in one task that ends all requests of a process."""
        counters = Counters()

        async def main():
            async with trio.open_nursery() as nursery:
                tasks = TaskGuard(nursery, clock=Clock(), counters=counters)
                tasks.start_soon(fail)
                tasks.start_soon(fail_in_a_nursery)
                await trio.sleep(1.0)

        failures = run(main, clock=trio.testing.MockClock(autojump_threshold=0.0))
        self.assertEqual(len(failures), 2)
        self.assertEqual(counters.value(CounterKind.TASK_FAILURES, "fail"), 1)

    def test_failing_task_is_started_again_after_growing_pauses(self):
        """Guards against a kind that is never watched again, and against a hot loop."""
        starts_s = []

        async def fail_again():
            starts_s.append(trio.current_time())
            raise KeyError("unexpected")

        async def main():
            async with trio.open_nursery() as nursery:
                TaskGuard(nursery, clock=Clock()).keep_running(fail_again)
                await trio.sleep(60.0)
                nursery.cancel_scope.cancel()

        run(main, clock=trio.testing.MockClock(autojump_threshold=0.0))
        self.assertGreater(len(starts_s), 10)
        self.assertLess(len(starts_s), 100)

    def test_task_that_ends_is_not_started_again(self):
        starts = []

        async def end():
            starts.append(1)

        async def main():
            async with trio.open_nursery() as nursery:
                TaskGuard(nursery, clock=Clock()).keep_running(end)

        self.assertEqual(run(main), [])
        self.assertEqual(starts, [1])


class WatchedKindTest(unittest.TestCase):
    """A watch of the store that fails unexpectedly."""

    def test_failing_watch_leaves_the_process_and_begins_again(self):
        """Guards against an error in one watch that ends the front process."""
        failures = run(self._watch)
        self.assertEqual(len(failures), 1)
        self.assertIn("_watch_kind", failures[0])

    async def _watch(self):
        store, applied = FakeObjectStore(), []

        def replace_servers(process, entries, **options):
            applied.append(entries)
            if len(applied) == 1:
                raise KeyError("unexpected")

        async with store.running(), trio.open_nursery() as nursery:
            settings = GatewaySettings(
                instance="i1",
                zone="z1",
                callers_address="",
                ready_address="",
                store_address=store.address,
            )
            clock = Clock()
            process = FrontProcess(settings, clock=clock, nursery=nursery)
            watch_store(process, nursery, WatchOptions(), clock=clock)
            with (
                mock.patch.object(FrontProcess, "replace_servers", replace_servers),
                trio.fail_after(10.0),
            ):
                while len(applied) < 2 or process.state_sync.unavailable:  # noqa: ASYNC110
                    await trio.sleep(0.01)
            nursery.cancel_scope.cancel()
