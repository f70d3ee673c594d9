"""Many instances' shares in one process under mock time, with faults.

Used by the tests of shares and by the benchmark of share policies. Every
instance has its own members and gets its own load; requests only hold a place
for a time. What all of them start together is measured against the table.
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

SPREAD_MS = 50.0
"""How long news of a join or a leave takes."""

DETECT_MS = 1_500.0
"""How long it takes to believe that a silent member is dead."""


class Load(msgspec.Struct):
    """What callers send to one instance; may be changed at any time.

    Attributes
    ----------
    rate_per_s : float
        Arrivals, at random moments.
    run_ms : float
        How long a request runs on average.
    """

    rate_per_s: float = 0.0
    run_ms: float = 20.0


class Started(msgspec.Struct, frozen=True):
    """One request that was let in."""

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
        Where everything runs.
    row : Row
        The row whose limits are shared.
    times : ShareTimes, optional
        The times by which shares are lent.
    seed : int, optional
        Decides the arrivals.
    new_shares : callable, optional
        Makes the shares of an instance, to compare policies.
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
        self.most_running = 0
        self._nursery = nursery
        self._random = random.Random(seed)
        self.new_shares = new_shares or self._leased_shares
        self._cuts: set[frozenset[str]] = set()
        self._incarnation = 0

    def start(self, count: int) -> None:
        """Start instances that know of each other from the beginning."""
        names = [f"i{number + 1}" for number in range(count)]
        for name in names:
            self._add(name, known=[other for other in names if other != name])

    def join(self, name: str) -> ShareNode:
        """Start one more instance; the others hear of it a moment later."""
        live = [node.name for node in self.nodes.values()]
        node = self._add(name, known=live)
        self._tell_all(node.members.own, after_ms=SPREAD_MS)
        return node

    def kill(self, name: str) -> None:
        """End an instance without a word, and all that it runs."""
        node = self.nodes.pop(name)
        node.scope.cancel()
        self.network.leave(name)
        dead = msgspec.structs.replace(node.members.own, state=MemberState.DEAD)
        self._tell_all(dead, after_ms=DETECT_MS)

    async def leave(self, name: str) -> None:
        """Stop an instance in order."""
        node = self.nodes[name]
        node.load = Load()
        while node.running:
            await self.clock.sleep_ms(1.0)
        await node.shares.release_all()
        self.nodes.pop(name)
        node.scope.cancel()
        self.network.leave(name)
        left = msgspec.structs.replace(node.members.own, state=MemberState.LEFT)
        self._tell_all(left, after_ms=SPREAD_MS)

    def cut(self, side: set[str]) -> None:
        """Cut some instances off from the others, both ways."""
        for name in side:
            for other in set(self.nodes) - side:
                self.network.cut(name, other)
                self._cuts.add(frozenset((name, other)))
        self._nursery.start_soon(self._detect_cut)

    def mend(self) -> None:
        """End every cut; members come back to life a moment later."""
        self.network.mend()
        self._cuts.clear()
        for node in self.nodes.values():
            self._incarnation += 1
            alive = msgspec.structs.replace(
                node.members.own, incarnation=self._incarnation
            )
            node.members.merge(alive)
            self._tell_all(alive, after_ms=SPREAD_MS)

    async def pause(self, name: str, duration_ms: float) -> None:
        """Let an instance do nothing for a time, as under SIGSTOP."""
        node = self.nodes[name]
        node.reporting.cancel()
        load, node.load = node.load, Load()
        others = set(self.nodes) - {name}
        for other in others:
            self.network.cut(name, other)
        await self.clock.sleep_ms(duration_ms)
        self.network.mend()
        node.load = load
        self._nursery.start_soon(self._report, node)

    def set_loads(self, rates_per_s: list[float], *, run_ms: float = 20.0) -> None:
        """Give each instance, by name, its load."""
        for name, rate in zip(sorted(self.nodes), rates_per_s, strict=True):
            self.nodes[name].load = Load(rate, run_ms)

    def count(self, from_ms: float, to_ms: float) -> int:
        """Return how many requests started in a span of time."""
        times = [item.at_ms for item in self.started]
        return bisect_left(times, to_ms) - bisect_left(times, from_ms)

    def worst_rate(self, window_ms: float, *, from_ms: float = 0.0) -> float:
        """Return the most requests started in a window, over the limit's part."""
        times = [item.at_ms for item in self.started if item.at_ms >= from_ms]
        most = max(
            (
                bisect_left(times, at + window_ms) - index
                for index, at in enumerate(times)
            ),
            default=0,
        )
        return most / (self.row.limit_per_s * window_ms / 1000.0)

    @property
    def running(self) -> int:
        """How many requests run now at all instances."""
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
                self.most_running = max(self.most_running, self.running)
                try:
                    await self.clock.sleep_ms(
                        self._random.expovariate(1.0 / load.run_ms)
                    )
                finally:
                    node.running -= 1
        except IbisfrontError:
            self.refused += 1

    def _tell_all(self, member: Member, *, after_ms: float) -> None:
        for name in list(self.nodes):
            if name != member.name and frozenset((name, member.name)) not in self._cuts:
                self._nursery.start_soon(self._tell, name, member, after_ms)

    async def _tell(self, name: str, member: Member, after_ms: float) -> None:
        await self.clock.sleep_ms(after_ms)
        if name in self.nodes:
            self.nodes[name].members.merge(member)

    async def _detect_cut(self) -> None:
        cuts = set(self._cuts)
        await self.clock.sleep_ms(DETECT_MS)
        for pair in cuts & self._cuts:
            for name in pair & set(self.nodes):
                (other,) = pair - {name}
                known = self.nodes[name].members.get(other)
                if known is not None and known.state is MemberState.LIVE:
                    self.nodes[name].members.merge(
                        msgspec.structs.replace(known, state=MemberState.DEAD)
                    )
