"""Tests of watching the store, in mock time."""

from __future__ import annotations

import unittest

import trio

from ibisfront.core.clock import Clock
from ibisfront.gateway.state.kind_watch import StoreOutage, WatchTarget, watch_kind
from ibisfront.gateway.state.store import Changes, Listing, StoreError, StoreErrorKind
from ibisfront.tests import trio_test

_KINDS = ("configuration", "servers", "evacuations")
_OUTAGES = 60
"""Number of outages whose calls are counted, since backoff is random."""


class Store:
    """A fake store that may be unavailable; counts its calls."""

    def __init__(self):
        self.is_unavailable = True
        self.calls = 0

    async def list_all(self):
        self.calls += 1
        await trio.sleep(0.004)
        if self.is_unavailable:
            raise StoreError(StoreErrorKind.REFUSED, "busy")
        return Listing([], 1)

    async def watch(self, revision):
        await trio.sleep(3.0)
        return Changes([], revision)

    def close(self):
        pass


class OutageTest(unittest.TestCase):
    """Calls of an instance to an unavailable store."""

    async def _outage(self, kinds, *, for_s=6.0):
        """Return the calls in an outage, and the time until all kinds are listed."""
        store = Store()
        listed_at_s = []

        def replace(listing, after_outage):
            listed_at_s.append(trio.current_time())

        clock, outage = Clock(), StoreOutage()
        async with trio.open_nursery() as nursery:
            for kind in kinds:
                target = WatchTarget(kind, replace, lambda changes: None)

                async def run(target=target):
                    await watch_kind(store, target, clock=clock, outage=outage)

                nursery.start_soon(run)
            await trio.sleep(for_s)
            calls, store.is_unavailable = store.calls, False
            recovered_at_s = trio.current_time()
            await trio.sleep(4.0)
            nursery.cancel_scope.cancel()
        self.assertEqual(len(listed_at_s), len(kinds))
        return calls, max(listed_at_s) - recovered_at_s

    @trio_test
    async def test_only_one_watch_retries_an_unavailable_store(self):
        """Guards against calls in an outage that multiply with the number of kinds."""
        calls_of_all_kinds, calls_of_one_kind = 0, 0
        for _ in range(_OUTAGES):
            calls, recovery_s = await self._outage(_KINDS)
            self.assertLess(recovery_s, 1.0)
            calls_of_all_kinds += calls
            calls, _ = await self._outage(_KINDS[:1])
            calls_of_one_kind += calls
        self.assertLess(calls_of_all_kinds / calls_of_one_kind, 1.5)
