"""Quotas of many instances in one process under mock time, with faults.

Messages are delayed, lost or held up; requests that get a token count as run at once.
Every instance has its own list of instances.
"""

from __future__ import annotations

import random
from bisect import bisect_left
from typing import TYPE_CHECKING

import trio

from ibisfront.core.counters import Counters
from ibisfront.gateway.instances.directory import InstanceEntry
from ibisfront.gateway.quotas.quota import QuotaRefusal
from ibisfront.gateway.quotas.quota_parts import quota_room
from ibisfront.gateway.quotas.quotas import Quotas
from ibisfront.gateway.settings import Bounds
from ibisfront.gateway.state.configuration import Workspace

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ibisfront.core.clock import Clock
    from ibisfront.gateway.quotas.quota import QuotaTicket
    from ibisfront.gateway.quotas.quota_messages import OnQuotaGrant, QuotaAsk

__all__ = ["SHEET_BOUNDS", "QuotaCluster", "QuotaNode", "TakeTally", "workspace"]

SHEET_BOUNDS = Bounds(quota_window_ms=5_000.0, quota_excess=0.1, quota_slack=20.0)
"""Bounds of a deployment that limits workspaces."""

_LOST_REPLY_MS = 1_000.0
"""Time until a connection without a reply is closed."""

_DEADLINE_MS = 300.0


def workspace(name: str, rate_per_s: float, burst: float) -> Workspace:
    """Return a workspace with a limit."""
    return Workspace(name, (), limit_per_s=rate_per_s, limit_burst=burst)


class TakeTally:
    """Requests of one workspace: those let in, and those refused."""

    def __init__(self) -> None:
        self.asked = 0
        self.let_in_ms: list[float] = []
        self.refused_ms: list[float] = []
        self.retry_after_ms: list[float] = []

    def refused_share(self) -> float:
        """Return the share of requests that were refused."""
        return len(self.refused_ms) / max(self.asked, 1)

    def busiest(self, window_ms: float, *, from_ms: float = 0.0) -> int:
        """Return the most requests let in within any window from a time on."""
        times = [at_ms for at_ms in sorted(self.let_in_ms) if at_ms >= from_ms]
        return max(
            (
                bisect_left(times, at_ms + window_ms) - index
                for index, at_ms in enumerate(times)
            ),
            default=0,
        )


class _Messages:
    """Messages of one process to the others."""

    def __init__(self, cluster: QuotaCluster, node: QuotaNode) -> None:
        self._cluster = cluster
        self._node = node

    def can_reach(self, name: str) -> bool:
        """Return whether an instance accepts connections."""
        return name in self._cluster.nodes

    def send(
        self, name: str, ask: QuotaAsk, on_grant: OnQuotaGrant
    ) -> Callable[[], None]:
        """Send a message to an instance."""
        self._cluster.start_message(self._node, name, ask, on_grant)
        return lambda: None


class QuotaNode:
    """One process of an instance."""

    def __init__(self, entry: InstanceEntry) -> None:
        self.entry = entry
        self.running = trio.Event()
        self.running.set()
        self.quotas: Quotas


class QuotaCluster:
    """Instances in zones that share the limits of workspaces.

    Parameters
    ----------
    clock : Clock
        The test's clock.
    nursery : trio.Nursery
        The nursery of all tasks.
    workspaces : iterable of Workspace
        The workspaces.
    bounds : Bounds, optional
        The deployment's bounds.
    seed : int, optional
        Seed of delays and arrivals.

    Attributes
    ----------
    nodes : dict of QuotaNode
        The processes that run, by the instance's name.
    messages, messages_between_zones : int
        Messages sent.
    tallies : dict of TakeTally
        Requests by workspace.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        nursery: trio.Nursery,
        workspaces: Iterable[Workspace],
        bounds: Bounds = SHEET_BOUNDS,
        seed: int = 1,
    ) -> None:
        self.clock = clock
        self.bounds = bounds
        self.nodes: dict[str, QuotaNode] = {}
        self.messages = 0
        self.messages_between_zones = 0
        self.workspaces = {item.name: item for item in workspaces}
        self.tallies = {name: TakeTally() for name in self.workspaces}
        self.random = random.Random(seed)
        self._nursery = nursery
        self._entries: dict[str, InstanceEntry] = {}
        self._cut: set[frozenset[str]] = set()

    def start(self, count: int, *, zones: int = 3, is_first_start: bool = True) -> None:
        """Start instances that all have the same list."""
        for number in range(count):
            name = f"i{number:03}"
            self._entries[name] = InstanceEntry(name, f"z{number % zones}", name)
        for name in list(self._entries):
            self.start_node(name, is_first_start=is_first_start)

    def add_entry(self) -> str:
        """Add an instance that is not started yet; return its name."""
        name = f"i{len(self._entries):03}"
        zones = sorted({item.zone for item in self._entries.values()})
        zone = zones[len(self._entries) % len(zones)]
        self._entries[name] = InstanceEntry(name, zone, name)
        return name

    def entry_names(self) -> list[str]:
        """Return the names of all instances."""
        return list(self._entries)

    def start_node(
        self,
        name: str,
        *,
        listed: Iterable[str] | None = None,
        is_first_start: bool = False,
    ) -> QuotaNode:
        """Start a process of an instance with a list, by default of all instances."""
        node = QuotaNode(self._entries[name])
        node.quotas = Quotas(
            own=node.entry,
            bounds=self.bounds,
            messages=_Messages(self, node),
            request_id_header=lambda value: (b"Id", value.encode()),
            clock=self.clock,
            counters=Counters(),
            is_first_start=is_first_start,
            zones=len({item.zone for item in self._entries.values()}),
        )
        self.nodes[name] = node
        node.quotas.retain(list(self.workspaces.values()))
        self.list_instances(name, self._entries if listed is None else listed)
        return node

    def list_instances(self, name: str, listed: Iterable[str]) -> None:
        """Apply a list of instances at one of them."""
        entries = [self._entries[item] for item in listed]
        self.nodes[name].quotas.set_instances(entries)

    def stop_node(self, name: str) -> None:
        """Kill the process of an instance."""
        self.nodes.pop(name, None)

    def set_limit(self, changed: Workspace) -> None:
        """Put a changed limit in force at all instances."""
        self.workspaces[changed.name] = changed
        for node in self.nodes.values():
            node.quotas.retain(list(self.workspaces.values()))

    def cut(self, side: Iterable[str]) -> None:
        """Lose all messages between some instances and the others."""
        names = set(side)
        self._cut = {
            frozenset((one, other))
            for one in names
            for other in self._entries.keys() - names
        }

    def heal(self) -> None:
        """Lose no more messages."""
        self._cut.clear()

    def freeze(self, name: str) -> None:
        """Suspend a process, as SIGSTOP does."""
        self.nodes[name].running = trio.Event()

    def wake(self, name: str) -> None:
        """Resume a process."""
        self.nodes[name].running.set()

    def zone(self, zone: str) -> list[str]:
        """Return the instances of a zone."""
        return [name for name, item in self._entries.items() if item.zone == zone]

    def request(self, name: str, workspace_name: str) -> None:
        """Start a request at an instance, if its process runs."""
        if name in self.nodes:
            self._nursery.start_soon(self.take, name, workspace_name)

    async def take(
        self, name: str, workspace_name: str
    ) -> QuotaTicket | QuotaRefusal | None:
        """Run a request at an instance; return the ticket or the refusal."""
        node = self.nodes[name]
        tally = self.tallies[workspace_name]
        await node.running.wait()
        tally.asked += 1
        now_ms = self.clock.now_ms()
        taken = await node.quotas.take(
            self.workspaces[workspace_name], now_ms + _DEADLINE_MS
        )
        if self.nodes.get(name) is not node:
            return None
        await node.running.wait()
        if isinstance(taken, QuotaRefusal):
            tally.refused_ms.append(self.clock.now_ms())
            tally.retry_after_ms.append(taken.retry_after_ms)
        else:
            tally.let_in_ms.append(self.clock.now_ms())
        return taken

    async def send_load(
        self,
        workspace_name: str,
        rate_per_s: float,
        *,
        for_ms: float,
        names: Iterable[str] | None = None,
    ) -> None:
        """Send requests with exponential gaps to instances at random."""
        targets = list(self._entries if names is None else names)
        until_ms = self.clock.now_ms() + for_ms
        while True:
            gap_ms = self.random.expovariate(rate_per_s / 1_000.0)
            if self.clock.now_ms() + gap_ms >= until_ms:
                break
            await self.clock.sleep_ms(gap_ms)
            self.request(self.random.choice(targets), workspace_name)
        await self.clock.sleep_ms(until_ms - self.clock.now_ms())

    def room_used(
        self,
        workspace_name: str,
        *,
        from_ms: float = 0.0,
        item: Workspace | None = None,
    ) -> float:
        """Return the worst excess over the limit, as a share of the room.

        Parameters
        ----------
        workspace_name : str
            The workspace.
        from_ms : float, optional
            Windows before it do not count.
        item : Workspace, optional
            Its limit, by default the one in force.
        """
        item = self.workspaces[workspace_name] if item is None else item
        window_ms = self.bounds.quota_window_ms
        busiest = self.tallies[workspace_name].busiest(window_ms, from_ms=from_ms)
        limit = item.limit_per_s * window_ms / 1_000.0 + item.limit_burst
        return (busiest - limit) / quota_room(item, self.bounds)

    def start_message(
        self, node: QuotaNode, name: str, ask: QuotaAsk, on_grant: OnQuotaGrant
    ) -> None:
        """Deliver a message and its reply after some time."""
        self.messages += 1
        if self._entries[name].zone != node.entry.zone:
            self.messages_between_zones += 1
        self._nursery.start_soon(self._deliver, node, name, ask, on_grant)

    async def _deliver(
        self, node: QuotaNode, name: str, ask: QuotaAsk, on_grant: OnQuotaGrant
    ) -> None:
        sender = node.entry.name
        grant = None
        is_delivered = await self._cross(sender, name)
        peer = self.nodes.get(name)
        if is_delivered and peer is not None:
            await peer.running.wait()
            grant = peer.quotas.answer_ask(ask)
            is_delivered = await self._cross(sender, name)
        if not is_delivered:
            await self.clock.sleep_ms(_LOST_REPLY_MS)
            grant = None
        await node.running.wait()
        on_grant(grant)

    async def _cross(self, one: str, other: str) -> bool:
        """Wait for the delay between two instances; return whether it arrives."""
        is_near = self._entries[one].zone == self._entries[other].zone
        delay_ms = 0.2 if is_near else 1.0
        await self.clock.sleep_ms(delay_ms * self.random.uniform(1.0, 2.0))
        return frozenset((one, other)) not in self._cut
