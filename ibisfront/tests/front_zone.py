"""Front processes of one zone on links of bounded rate, in mock time."""

from __future__ import annotations

import functools
import json

import trio

from ibisfront.core.clock import Clock
from ibisfront.front.process import FrontProcess
from ibisfront.front.targets import (
    configuration_target,
    evacuations_target,
    servers_target,
)
from ibisfront.gateway.settings import Bounds, GatewaySettings
from ibisfront.gateway.state.kind_watch import StoreOutage, watch_kind
from ibisfront.gateway.state.store import (
    Changes,
    Listing,
    ObjectChange,
    StoredObject,
    StoreError,
    StoreErrorKind,
)
from ibisfront.testing.large_configuration import configuration_spec
from ibisfront.testing.network_link import NetworkLink, transfer

FAST_LINK_BYTES_PER_S = 70e6 / 8
SLOW_LINK_BYTES_PER_S = 7e6 / 8
"""Links of 70 and 7 Mbit/s."""

FAST_INSTANCES = 2
SERVERS = 675
CALL_TIMEOUT_S = 1.2
WATCH_SLACK_S = 0.6
"""How long the store's client waits for a complete answer."""

BOUNDS = Bounds(contact_ms=5000.0, change_ms=5000.0, evacuation_ms=5000.0)


class Front:
    """One front process, its link and its clients."""

    def __init__(self, zone, number, nursery):
        self.zone = zone
        self.has_fast_link = number < FAST_INSTANCES
        self.is_partitioned = False
        self.link = NetworkLink(
            FAST_LINK_BYTES_PER_S if self.has_fast_link else SLOW_LINK_BYTES_PER_S
        )
        self.received_bytes = 0
        settings = GatewaySettings(
            instance=f"i{number}",
            zone="z0",
            callers_address="",
            ready_address="",
            store_address="",
            peers_address=f"i{number}",
            bounds=BOUNDS,
            zones=frozenset(("z0", "z1")),
            capacity=2.0 if self.has_fast_link else 0.5,
        )
        self.process = FrontProcess(settings, clock=zone.clock, nursery=nursery)
        # Their addresses are no socket addresses.
        self.process.peers._make_pool = lambda server: None
        self.process.state_sync._connect = functools.partial(FakeStateClient, self)
        self.process.state_sync._watch = self.watch

    @property
    def version(self):
        table = self.process.gateway.table
        return 0 if table is None else table.configuration.version

    async def remove_stale_servers(self):
        """Remove stale servers as ``run_maintenance`` does, without its probes."""
        while True:
            await self.zone.clock.sleep_ms(100.0)
            if self.process.registry.remove_stale():
                self.process.source.record_change()

    def watch(self, nursery, options):
        run = functools.partial(
            watch_kind,
            clock=self.zone.clock,
            options=options,
            outage=StoreOutage(options.resume_delay_ms),
        )
        for kind, target in (
            ("config", configuration_target(self.process)),
            ("servers", servers_target(self.process)),
            ("evacuations", evacuations_target(self.process)),
        ):
            nursery.start_soon(run, FakeKindClient(self, kind), target)


class FakeStateClient:
    """Requests state from another instance; the timeout is for the whole answer."""

    def __init__(self, client_front, address):
        self.client_front = client_front
        self.source_front = client_front.zone.front(address)

    async def request(self, request, *, timeout_ms):
        with trio.move_on_after(timeout_ms / 1000.0):
            if self.source_front.is_partitioned or self.client_front.is_partitioned:
                await trio.sleep_forever()
            data = await self.source_front.process.source.answer(request)
            if self.source_front.is_partitioned or self.client_front.is_partitioned:
                await trio.sleep_forever()
            self.client_front.received_bytes += len(data)
            await transfer(len(data), self.source_front.link, self.client_front.link)
            return data
        raise TimeoutError("incomplete answer")

    def close(self):
        pass


class FakeKindClient:
    """One kind in the store; the timeout is for the whole answer."""

    def __init__(self, front, kind):
        self.front = front
        self.zone = front.zone
        self.kind = kind

    async def list_all(self):
        objects, revision = self.zone.objects(self.kind)
        await self._receive(objects, CALL_TIMEOUT_S)
        return Listing(objects, revision)

    async def watch(self, revision):
        wait_s = BOUNDS.source_watch_wait_ms / 1000.0
        until_s = trio.current_time() + wait_s
        while self.zone.revisions[self.kind] <= revision:
            with trio.move_on_at(until_s) as scope:
                await self.zone.changed.wait()
            if scope.cancelled_caught:
                await self._receive([], WATCH_SLACK_S)
                return Changes([], revision)
        changes, revision = self.zone.changes(self.kind, revision)
        await self._receive([item.object for item in changes], WATCH_SLACK_S)
        return Changes(changes, revision)

    async def _receive(self, objects, timeout_s):
        size = sum(len(item.spec) for item in objects)
        with trio.move_on_after(timeout_s):
            if self.front.is_partitioned:
                await trio.sleep_forever()
            await transfer(size, self.front.link)
            return
        raise StoreError(StoreErrorKind.UNREACHABLE, "incomplete answer")

    def close(self):
        pass


def _server_spec(number, zone="z0"):
    return {
        "service": "elsewhere",
        "addr": f"10.0.{number // 250}.{number % 250}:8000",
        "zone": zone,
        "version": "v1",
        "slots": 2,
        "state": "ready",
        "warmupLeftMs": 0,
        "seq": 1,
    }


def two_zones_spec(number):
    """Return a server's entry; zones alternate."""
    return _server_spec(number, f"z{number % 2}")


class FrontZone:
    """Front processes, two of them on fast links, and the store."""

    def __init__(self, nursery, instances=20, *, servers=SERVERS, spec=_server_spec):
        self.clock = Clock()
        self.changed = trio.Event()
        self.revisions = {"config": 1, "servers": 1, "evacuations": 1}
        self.evacuated = []
        self.version = 1
        self.routes = 10
        self.spec = configuration_spec(1, self.routes)
        self.fronts = [Front(self, number, nursery) for number in range(instances)]
        self._servers = [_server(number, spec(number)) for number in range(servers)]
        self._removed = []
        self._evacuation_change = None

    def front(self, address):
        return self.fronts[int(address.removeprefix("i"))]

    def objects(self, kind):
        """Return the objects of a kind, and its revision."""
        revision = self.revisions[kind]
        if kind == "servers":
            return self._servers, revision
        if kind == "evacuations":
            return [StoredObject(name, 1, b"{}") for name in self.evacuated], revision
        return [StoredObject("main", revision, self.spec)], revision

    def changes(self, kind, revision):
        """Return the changes since a revision, and the current revision."""
        current_revision = self.revisions[kind]
        if kind == "servers":
            removed = [item for item in self._removed if item.revision > revision]
            return [ObjectChange(item, True) for item in removed], current_revision
        if kind == "evacuations":
            return [self._evacuation_change], current_revision
        objects, _ = self.objects(kind)
        return [ObjectChange(item, False) for item in objects], current_revision

    def remove_server(self):
        """Remove a server's entry; return the server's name."""
        self.revisions["servers"] += 1
        last_server = self._servers.pop()
        removed = StoredObject(
            last_server.name, self.revisions["servers"], last_server.spec
        )
        self._removed.append(removed)
        self._notify_watchers()
        return last_server.name

    def evacuate(self, zone):
        """Write the evacuation of a zone to the store."""
        self.evacuated.append(zone)
        self._change_evacuations(ObjectChange(StoredObject(zone, 1, b"{}"), False))

    def end_evacuation(self, zone):
        """Remove the evacuation of a zone from the store."""
        self.evacuated.remove(zone)
        self._change_evacuations(ObjectChange(StoredObject(zone, 1, b"{}"), True))

    def _change_evacuations(self, change):
        self.revisions["evacuations"] += 1
        self._evacuation_change = change
        self._notify_watchers()

    def instances_using(self, server_id):
        """Return the numbers of the instances that would use a server."""
        return [
            number
            for number, front in enumerate(self.fronts)
            for server in front.process.registry.servers()
            if server.entry.server_id == server_id and server.is_usable
        ]

    def start(self, nursery):
        listed = [item.process.own for item in self.fronts]
        for front in self.fronts:
            front.process.apply_instances(listed)
            front.process.state_sync.record_first_poll()
            nursery.start_soon(front.process.state_sync.run)
            nursery.start_soon(front.remove_stale_servers)

    def add_routes(self, count):
        """Write a version with more routes to the store."""
        self.version += 1
        self.routes += count
        self.spec = configuration_spec(self.version, self.routes)
        self.revisions["config"] += 1
        self._notify_watchers()

    def _notify_watchers(self):
        self.changed.set()
        self.changed = trio.Event()

    async def converged_after_s(self, *, at_most_s):
        """Wait until all have the newest version; return the time taken."""
        started_s = trio.current_time()
        while any(item.version != self.version for item in self.fronts):
            await trio.sleep(0.01)
            if trio.current_time() - started_s > at_most_s:
                break
        return trio.current_time() - started_s

    def pop_received_bytes(self):
        """Return and reset the bytes that each instance received from others."""
        sizes = [front.received_bytes for front in self.fronts]
        for front in self.fronts:
            front.received_bytes = 0
        return sizes


def _server(number, spec):
    return StoredObject(f"i-{number:010}", 1, json.dumps(spec).encode())
