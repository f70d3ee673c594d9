"""Instances of one zone that subscribe to each other or the store, in mock time."""

from __future__ import annotations

import functools
from random import Random

import trio

from ibisfront.core.clock import Clock
from ibisfront.gateway.instances.directory import InstanceEntry
from ibisfront.gateway.servers.server_entry import ServerEntry
from ibisfront.gateway.settings import Bounds
from ibisfront.gateway.state.configuration import CallerLimits, Configuration
from ibisfront.gateway.state.kind_watch import StoreOutage, WatchTarget, watch_kind
from ibisfront.gateway.state.relay_topology import RelayTopology
from ibisfront.gateway.state.state_relay import LocalState, StateSource
from ibisfront.gateway.state.state_sync import StateSync
from ibisfront.gateway.state.store import Changes, Listing, StoreError, StoreErrorKind
from ibisfront.tests import TEST_SEED, trio_test

KINDS = frozenset(("configuration", "servers"))

CALL_TIMEOUT_S = 1.2
CONNECT_TIMEOUT_S = 0.7
WATCH_SLACK_S = 0.6
"""Client timeouts for a silent store or machine."""


class Instance:
    """One instance of a zone, with a store that may reject it."""

    def __init__(self, zone, number):
        self.zone = zone
        self.entry = InstanceEntry(f"i{number}", "z0", f"i{number}", 100.0 - number)
        self.topology = RelayTopology(self.entry)
        self.version = 0
        self.calls = 0
        self.is_rejected = False
        # A rejected instance reaches servers only if this is set.
        self.reaches_servers = False
        self.is_down = False
        self.partitioned_at_s = -1e9
        self.is_reported_partitioned = False
        self.lists_after_outage = []
        self.state_sync = StateSync(
            topology=self.topology,
            connect=self.zone.client,
            watch=self.watch,
            apply=self.apply,
            on_partition_report=self.record_partition_report,
            on_unreachable=lambda name: None,
            known_version=lambda: self.version,
            seeds=("i1",),
            clock=zone.clock,
            random=Random(zone.random.random()),
        )
        self.source = StateSource(
            state=self.state,
            is_fresh=lambda: self.state_sync.is_fresh,
            may_become_fresh=lambda: self.state_sync.may_become_fresh,
            is_cut_off=lambda: self.is_rejected and not self.reaches_servers,
            clock=zone.clock,
        )

    def move_to(self, zone):
        """Move it to another zone before it starts."""
        self.entry = InstanceEntry(
            self.entry.name, zone, self.entry.address, self.entry.capacity
        )
        self.topology = self.state_sync._topology = RelayTopology(self.entry)

    def state(self):
        configuration = Configuration(self.version, (), {}, CallerLimits())
        servers = self.zone.servers if self.version else []
        return LocalState(configuration if self.version else None, servers, [])

    def apply(self, state):
        for configuration in (state.configuration, state.configuration_change):
            if configuration is not None:
                self.version = max(self.version, configuration.version)

    def record_partition_report(self, name, is_partitioned):
        self.is_reported_partitioned = is_partitioned
        if is_partitioned:
            self.partitioned_at_s = trio.current_time()

    def watch(self, nursery, options):
        run = functools.partial(
            watch_kind,
            clock=self.zone.clock,
            options=options,
            outage=StoreOutage(options.resume_delay_ms),
        )
        for kind in sorted(KINDS):
            client = FakeKindClient(self)
            random = Random(self.zone.random.random())
            nursery.start_soon(
                functools.partial(run, client, self.target(kind), random=random)
            )

    def target(self, kind):
        """Return the watch target of a kind, as in the front process."""
        self.state_sync.unavailable.add(kind)

        def replace(listing, after_outage):
            self.state_sync.unavailable.discard(kind)
            self.lists_after_outage.append(after_outage)
            self.apply_changes(())

        def on_unavailable():
            self.state_sync.unavailable.add(kind)
            self.source.notify_subscribers()

        return WatchTarget(kind, replace, self.apply_changes, on_unavailable)

    def apply_changes(self, changes):
        self.version = self.zone.version
        self.source.record_change()


class FakeKindClient:
    """One kind in a store that may not answer the instance."""

    def __init__(self, instance):
        self.instance = instance
        self.zone = instance.zone

    async def list_all(self):
        self.instance.calls += 1
        await trio.sleep(0.01)
        if self.zone.store_refuses:
            raise StoreError(StoreErrorKind.REFUSED, "busy")
        if self.instance.is_rejected:
            await trio.sleep(CALL_TIMEOUT_S)
            raise StoreError(StoreErrorKind.UNREACHABLE, "silent")
        return Listing([], 1)

    async def watch(self, revision):
        """Wait like a watch; a silent store is detected by the timeout."""
        self.instance.calls += 1
        wait_s = Bounds(change_ms=5000.0).source_watch_wait_ms / 1000.0
        changes = []
        with trio.move_on_after(wait_s):
            await self.zone.changed.wait()
            if self.instance.is_rejected:
                await trio.sleep_forever()
            changes = [None]
        if self.zone.store_refuses:
            raise StoreError(StoreErrorKind.REFUSED, "busy")
        if self.instance.is_rejected:
            await trio.sleep(WATCH_SLACK_S)
            raise StoreError(StoreErrorKind.UNREACHABLE, "overdue")
        return Changes(changes, 1)

    def close(self):
        pass


class FakeStateClient:
    """A client of an instance that uses no network."""

    def __init__(self, instance):
        self.instance = instance

    async def request(self, request, *, timeout_ms):
        if self.instance.is_down:
            # A machine without power does not refuse connections.
            await trio.sleep(CONNECT_TIMEOUT_S)
            raise TimeoutError
        data = await self.instance.source.answer(request)
        self.instance.zone.bytes_sent += len(data)
        return data

    def close(self):
        pass


class Zone:
    """A zone with twenty instances by default."""

    def __init__(self, instances=20):
        self.clock = Clock()
        self.random = Random(TEST_SEED)
        self.version = 1
        self.changed = trio.Event()
        self.bytes_sent = 0
        self.store_refuses = False
        self.servers = [
            ServerEntry(f"i{number}", "s", "10.0.0.1:80", "z0") for number in range(300)
        ]
        self.instances = [Instance(self, number) for number in range(instances)]

    def client(self, address):
        return FakeStateClient(
            next(i for i in self.instances if i.entry.address == address)
        )

    def start(self, nursery, *, is_listed=True, exclude=None):
        for instance in self.instances:
            if instance is exclude:
                continue
            if is_listed:
                instance.topology.update([item.entry for item in self.instances])
            instance.state_sync.record_first_poll()
            nursery.start_soon(instance.state_sync.run)

    def write_version(self, version):
        """Write a version to the store and notify its watchers."""
        self.version = version
        self.changed.set()
        self.changed = trio.Event()

    def pop_calls(self):
        """Return the number of store calls since the previous call, and reset it."""
        calls = sum(instance.calls for instance in self.instances)
        for instance in self.instances:
            instance.calls = 0
        return calls


def in_zone(test, *, instances=20):
    """Run a test with a zone and a nursery that is cancelled at its end."""

    # Without functools.wraps the test runner would see another method name.
    @functools.wraps(test)
    async def run(self):
        async with trio.open_nursery() as nursery:
            await test(self, Zone(instances), nursery)
            nursery.cancel_scope.cancel()

    return trio_test(run)


in_small_zone = functools.partial(in_zone, instances=8)
