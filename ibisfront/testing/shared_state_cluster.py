"""Shared states of several instances in one process, for tests and benchmarks."""

from __future__ import annotations

from contextlib import suppress
from functools import partial
from random import Random
from typing import TYPE_CHECKING

import msgspec
import trio

from ibisfront.adapters.peers import PeerStreams
from ibisfront.core.catalogue import Catalogue
from ibisfront.core.counters import Counters
from ibisfront.core.members import Member, Members
from ibisfront.core.objects import ObjectKind, ObjectStore
from ibisfront.shared_state import SharedState
from ibisfront.testing.local_platform import LocalPlatform
from ibisfront.testing.peer_streams import MemoryNetwork
from ibisfront.testing.platform_types import InstanceList, InstanceRecord

if TYPE_CHECKING:
    from collections.abc import Callable

    from ibisfront.core.clock import Clock
    from ibisfront.testing.platform_state import FakePlatform

__all__ = ["SharedStateCluster", "SharedStateNode"]

_POLL_MS = 20.0


class SharedStateNode:
    """The shared state of one instance.

    Parameters
    ----------
    own : Member
        The instance.
    cluster : SharedStateCluster
        The cluster that it belongs to.
    """

    def __init__(self, own: Member, cluster: SharedStateCluster) -> None:
        random = Random(f"{cluster.seed} {own.name} {own.incarnation}")
        self.counters = Counters()
        self.members = Members(own)
        self.store = ObjectStore()
        self.catalogue = Catalogue(self.store, self.counters)
        self.platform = LocalPlatform(cluster.platform, clock=cluster.clock)
        self.peers = PeerStreams(
            self.members,
            transport=cluster.network.transport(own.peer_address),
            clock=cluster.clock,
            counters=self.counters,
            random=random,
        )
        self.shared_state = SharedState(
            members=self.members,
            store=self.store,
            peers=self.peers,
            clock=cluster.clock,
            counters=self.counters,
            random=random,
        )
        self.scope = trio.CancelScope()
        self.stopped = trio.Event()

    async def run(self, *, wait_ms: float) -> None:
        """Run until the scope is cancelled."""
        try:
            with self.scope:
                await self.shared_state.run(self.platform, seeds=(), wait_ms=wait_ms)
        finally:
            self.stopped.set()


class SharedStateCluster:
    """Runs shared states against a test platform and an in-memory network.

    Parameters
    ----------
    platform : FakePlatform
        The platform.
    clock : Clock
        The test's clock.
    nursery : trio.Nursery
        The nursery of the instances.
    zones : int
        The number of zones, over which instances are distributed round-robin.
    wait_ms : float
        How long one watch call may wait.
    seed : int
        Seed of the random generators.

    Attributes
    ----------
    incarnations : int
        The incarnation of the last instance started; the next one adds 1.
    """

    def __init__(
        self,
        *,
        platform: FakePlatform,
        clock: Clock,
        nursery: trio.Nursery,
        zones: int = 3,
        wait_ms: float = 20_000.0,
        seed: int = 0,
    ) -> None:
        self.platform = platform
        self.clock = clock
        self.network = MemoryNetwork()
        self.nodes: dict[str, SharedStateNode] = {}
        self.seed = seed
        self._nursery = nursery
        self._zones = zones
        self._wait_ms = wait_ms
        self.incarnations = 0

    def start(self, *numbers: int) -> list[SharedStateNode]:
        """Start or restart instances by number."""
        started = [self._start(number) for number in numbers]
        self.publish_instances()
        return started

    def run(self, node: SharedStateNode) -> None:
        """Run one more instance, which may use the name of another."""
        self._nursery.start_soon(partial(node.run, wait_ms=self._wait_ms))

    async def kill(self, *names: str) -> None:
        """Stop instances abruptly."""
        for name in names:
            node = self.nodes.pop(name)
            node.scope.cancel()
            await node.stopped.wait()

    def publish_instances(self) -> None:
        """Publish the running instances as the platform's instance list."""
        records = [
            InstanceRecord(own.name, own.zone, own.peer_address, own.admin_address)
            for own in (node.members.own for node in self.nodes.values())
        ]
        self.platform.set_instances(InstanceList(records))

    def partition_zone(self, zone: str, *, from_platform: bool = True) -> None:
        """Partition one zone from the others, and by default from the platform."""
        inside = [n for n in self.nodes.values() if n.members.own.zone == zone]
        addresses = frozenset(node.members.own.peer_address for node in inside)
        self.network.partition(addresses)
        for node in inside:
            node.platform.is_partitioned = from_platform

    def heal(self) -> None:
        """End every partition."""
        self.network.heal()
        for node in self.nodes.values():
            node.platform.is_partitioned = False

    async def wait_until(
        self, condition: Callable[[], bool], *, within_ms: float = 60_000.0
    ) -> float:
        """Wait until a condition holds and return the elapsed milliseconds.

        Raises
        ------
        TimeoutError
            If the condition does not hold within ``within_ms``.
        """
        started_ms = self.clock.now_ms()
        while not condition():
            if self.clock.now_ms() - started_ms > within_ms:
                raise TimeoutError(f"condition not met within {within_ms:.0f} ms")
            await self.clock.sleep_ms(_POLL_MS)
        return self.clock.now_ms() - started_ms

    async def put(self, kind: ObjectKind, name: str, value: object) -> int:
        """Create or replace an object of the platform and return its version."""
        version = None
        with suppress(Exception):
            version = (await self.platform.get(kind, name)).version
        built = msgspec.to_builtins(value)
        return await self.platform.put(kind, name, built, if_version=version)

    def _start(self, number: int) -> SharedStateNode:
        self.incarnations += 1
        own = Member(
            name=f"i{number}",
            zone=f"z{number % self._zones}",
            peer_address=f"peer-{number}",
            admin_address=f"admin-{number}",
            incarnation=self.incarnations,
        )
        node = SharedStateNode(own, self)
        self.nodes[own.name] = node
        self.run(node)
        return node
