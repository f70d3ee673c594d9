"""Shares of many instances in one process under mock time, with faults.

Used by the tests of shares and by the benchmark of share policies. Every
instance has its own member list and its own load. Requests only occupy a slot
for some time; the starts of all instances are compared with the table's limits.
"""

from __future__ import annotations

import random
from bisect import bisect_left
from typing import TYPE_CHECKING

import msgspec
import trio

from ibisfront.core.counters import Counters
from ibisfront.core.errors import IbisfrontError
from ibisfront.core.members import Member, Members, MemberState
from ibisfront.core.share_messages import ShareTimes
from ibisfront.core.shares import Shares
from ibisfront.core.table import Row, Table
from ibisfront.testing.peers import PeerNetwork

if TYPE_CHECKING:
    from collections.abc import Callable

    from ibisfront.core.clock import Clock
    from ibisfront.core.peers import Peers

__all__ = ["Load", "ShareCluster", "ShareNode", "Started"]

DISSEMINATION_MS = 50.0
"""Delay until the other instances learn of a join or a leave."""

FAILURE_DETECTION_MS = 1_500.0
"""Delay until an unreachable member is declared dead."""


class Load(msgspec.Struct):
    """Load of one instance; may be changed at any time.

    Attributes
    ----------
    rate_per_s : float
        Arrival rate, with exponential gaps.
    run_ms : float
        Mean duration of a request, exponentially distributed.
    """

    rate_per_s: float = 0.0
    run_ms: float = 20.0


class Started(msgspec.Struct, frozen=True):
    """One request that was started."""

    at_ms: float
    instance: str


class ShareNode:
    """One instance of the cluster."""

    def __init__(
        self, name: str, *, members: Members, shares: Shares, peers: Peers
    ) -> None:
        self.name = name
        self.members = members
        self.shares = shares
        self.peers = peers
        self.load = Load()
        self.running = 0
        self.scope = trio.CancelScope()
        self.reporting = trio.CancelScope()


class ShareCluster:
    """Instances that share one row.

    Parameters
    ----------
    clock : Clock
        The test's clock.
    nursery : trio.Nursery
        The nursery of all tasks.
    row : Row
        The row whose limits are shared.
    times : ShareTimes, optional
        Timing of reports and leases.
    seed : int, optional
        Seed of arrivals and durations.
    new_shares : callable, optional
        Creates the shares of an instance, to compare policies.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        nursery: trio.Nursery,
        row: Row,
        times: ShareTimes | None = None,
        seed: int = 1,
        new_shares: Callable[[Members], Shares] | None = None,
    ) -> None:
        self.clock = clock
        self.row = row
        self.times = ShareTimes() if times is None else times
        self.network = PeerNetwork(clock=clock, nursery=nursery)
        self.nodes: dict[str, ShareNode] = {}
        self.started: list[Started] = []
        self.refused = 0
        self.max_running = 0
        self._nursery = nursery
        self._random = random.Random(seed)
        self.new_shares = new_shares or self._leased_shares
        self._partitioned_pairs: set[frozenset[str]] = set()
        self._incarnation = 0

    def start(self, count: int) -> None:
        """Start instances that have each other in their member lists."""
        names = [f"i{number + 1}" for number in range(count)]
        for name in names:
            self._add(name, known=[other for other in names if other != name])

    def join(self, name: str) -> ShareNode:
        """Start one more instance, which the others learn of after a delay."""
        live = [node.name for node in self.nodes.values()]
        node = self._add(name, known=live)
        self._notify_all(node.members.own, after_ms=DISSEMINATION_MS)
        return node

    def kill(self, name: str) -> None:
        """Stop an instance and its requests abruptly."""
        node = self.nodes.pop(name)
        node.scope.cancel()
        self.network.leave(name)
        dead = msgspec.structs.replace(node.members.own, state=MemberState.DEAD)
        self._notify_all(dead, after_ms=FAILURE_DETECTION_MS)

    async def leave(self, name: str) -> None:
        """Shut an instance down gracefully."""
        node = self.nodes[name]
        node.load = Load()
        while node.running:
            await self.clock.sleep_ms(1.0)
        await node.shares.release_all()
        self.nodes.pop(name)
        node.scope.cancel()
        self.network.leave(name)
        left = msgspec.structs.replace(node.members.own, state=MemberState.LEFT)
        self._notify_all(left, after_ms=DISSEMINATION_MS)

    def partition(self, side: set[str]) -> None:
        """Partition some instances from the others, in both directions."""
        for name in side:
            for other in set(self.nodes) - side:
                self.network.partition(name, other)
                self._partitioned_pairs.add(frozenset((name, other)))
        self._nursery.start_soon(self._detect_partition)

    def heal(self) -> None:
        """End every partition; members become live again after a delay."""
        self.network.heal()
        self._partitioned_pairs.clear()
        for node in self.nodes.values():
            self._incarnation += 1
            alive = msgspec.structs.replace(
                node.members.own, incarnation=self._incarnation
            )
            node.members.merge(alive)
            self._notify_all(alive, after_ms=DISSEMINATION_MS)

    async def pause(self, name: str, duration_ms: float) -> None:
        """Suspend an instance for some time, as SIGSTOP does."""
        node = self.nodes[name]
        node.reporting.cancel()
        load, node.load = node.load, Load()
        others = set(self.nodes) - {name}
        for other in others:
            self.network.partition(name, other)
        await self.clock.sleep_ms(duration_ms)
        self.network.heal()
        node.load = load
        self._nursery.start_soon(self._report, node)

    def set_loads(self, rates_per_s: list[float], *, run_ms: float = 20.0) -> None:
        """Set the load of each instance, in the order of their names."""
        for name, rate in zip(sorted(self.nodes), rates_per_s, strict=True):
            self.nodes[name].load = Load(rate, run_ms)

    def count(self, from_ms: float, to_ms: float) -> int:
        """Return how many requests started in an interval."""
        times = [item.at_ms for item in self.started]
        return bisect_left(times, to_ms) - bisect_left(times, from_ms)

    def peak_rate_ratio(self, window_ms: float, *, from_ms: float = 0.0) -> float:
        """Return the highest start rate in any window, relative to the limit."""
        times = [item.at_ms for item in self.started if item.at_ms >= from_ms]
        max_started = max(
            (
                bisect_left(times, at + window_ms) - index
                for index, at in enumerate(times)
            ),
            default=0,
        )
        return max_started / (self.row.limit_per_s * window_ms / 1000.0)

    @property
    def running(self) -> int:
        """The number of requests that run at all instances."""
        return sum(node.running for node in self.nodes.values())

    def _add(self, name: str, *, known: list[str]) -> ShareNode:
        self._incarnation += 1
        members = Members(Member(name, "z1", "", "", incarnation=self._incarnation))
        for other in known:
            members.merge(Member(other, "z1", "", ""))
        shares = self.new_shares(members)
        peers = self.network.join(name)
        node = ShareNode(name, members=members, shares=shares, peers=peers)
        self.nodes[name] = node
        self._nursery.start_soon(self._run, node)
        return node

    def _leased_shares(self, members: Members) -> Shares:
        return Shares(
            members=members,
            clock=self.clock,
            counters=Counters(),
            find_table=lambda: Table(rows=(self.row,)),
            times=self.times,
        )

    async def _run(self, node: ShareNode) -> None:
        with node.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._report, node)
                await self._send_load(node, nursery)

    async def _report(self, node: ShareNode) -> None:
        node.reporting = trio.CancelScope()
        with node.reporting:
            await node.shares.run(node.peers)

    async def _send_load(self, node: ShareNode, nursery: trio.Nursery) -> None:
        idle_ms = 5.0
        while True:
            load = node.load
            if load.rate_per_s <= 0.0:
                await self.clock.sleep_ms(idle_ms)
                continue
            await self.clock.sleep_ms(
                self._random.expovariate(load.rate_per_s / 1000.0)
            )
            if node.load is load:
                nursery.start_soon(self._request, node, load)

    async def _request(self, node: ShareNode, load: Load) -> None:
        now_ms = self.clock.now_ms()
        try:
            async with node.shares.acquire(self.row, deadline_at_ms=now_ms + 2_000.0):
                self.started.append(Started(self.clock.now_ms(), node.name))
                node.running += 1
                self.max_running = max(self.max_running, self.running)
                try:
                    await self.clock.sleep_ms(
                        self._random.expovariate(1.0 / load.run_ms)
                    )
                finally:
                    node.running -= 1
        except IbisfrontError:
            self.refused += 1

    def _notify_all(self, member: Member, *, after_ms: float) -> None:
        for name in list(self.nodes):
            if (
                name != member.name
                and frozenset((name, member.name)) not in self._partitioned_pairs
            ):
                self._nursery.start_soon(self._notify, name, member, after_ms)

    async def _notify(self, name: str, member: Member, after_ms: float) -> None:
        await self.clock.sleep_ms(after_ms)
        if name in self.nodes:
            self.nodes[name].members.merge(member)

    async def _detect_partition(self) -> None:
        pairs = set(self._partitioned_pairs)
        await self.clock.sleep_ms(FAILURE_DETECTION_MS)
        for pair in pairs & self._partitioned_pairs:
            for name in pair & set(self.nodes):
                (other,) = pair - {name}
                known = self.nodes[name].members.get(other)
                if known is not None and known.state is MemberState.LIVE:
                    self.nodes[name].members.merge(
                        msgspec.structs.replace(known, state=MemberState.DEAD)
                    )
