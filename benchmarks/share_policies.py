"""Comparison of policies for sharing a limit among instances, under mock time.

Run ``python -m benchmarks.share_policies``. Nine instances behind an uneven
load balancer share a row limited to 90 requests per second and 20 in flight, and
each policy is subjected to the same membership changes. The output is, relative
to the limit, the maximum number of requests started in one second and in five
seconds, the maximum number running, and the utilization over the whole run and
in its worst second.

The results do not depend on the speed of the machine, but vary by a few
hundredths, because trio runs tasks that are ready together in random order.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TypeAlias

import msgspec
import trio
import trio.testing

from ibisfront.core.clock import Clock
from ibisfront.core.counters import Counters
from ibisfront.core.members import Members
from ibisfront.core.peers import PeerMessage, Peers
from ibisfront.core.rendezvous import rendezvous_order
from ibisfront.core.share_messages import (
    Share,
    ShareTimes,
    bucket_of,
    row_key,
)
from ibisfront.core.shares import Shares
from ibisfront.core.table import Row, Table
from ibisfront.testing.share_cluster import Load, ShareCluster

__all__ = ["main"]

ROW = Row("vestry", "bulk", limit_per_s=90.0, max_in_flight=20)
LOADS_PER_S = [120.0, 40.0, 20.0, 10.0, 10.0, 10.0, 0.0, 0.0, 0.0]
RUN_MS = 120.0
SETTLE_MS = 4_000.0
MEASUREMENT_S = 10
DEMAND_LIFETIME_MS = 2_000.0

NewShares: TypeAlias = Callable[[ShareCluster, Members], Shares]
Change: TypeAlias = Callable[[ShareCluster], Awaitable[None]]


class _Demand(PeerMessage, frozen=True, tag="demand"):
    """Demand of one instance for the row."""

    wanted: Share


class _ReceivedDemand(msgspec.Struct):
    """Demand of another instance, and when it was received."""

    demand: Share
    at_ms: float


class EqualShares(Shares):
    """Each instance uses the limit divided by the number of instances."""

    __slots__ = ()

    async def run(self, peers: Peers | None = None) -> None:
        """Do nothing; see ``Shares.run``."""
        del peers
        await trio.sleep_forever()


class DemandShares(Shares):
    """Each instance uses a share in proportion to the demands that it received."""

    __slots__ = ("_received",)

    async def run(self, peers: Peers | None = None) -> None:
        """Send the demand to the neighbours periodically; see ``Shares.run``."""
        assert peers is not None
        self._received: dict[str, _ReceivedDemand] = {}
        peers.handle(_Demand, self._receive)
        while True:
            peers.send_neighbours(_Demand(self._own_demand()))
            await self._clock.sleep_ms(self._times.report_ms)

    def usable(self, row: Row) -> Share:
        """Return the share in proportion to demand; see ``Shares.usable``."""
        own = self._own_demand()
        oldest_ms = self._clock.now_ms() - DEMAND_LIFETIME_MS
        received = [
            item.demand
            for item in getattr(self, "_received", {}).values()
            if item.at_ms >= oldest_ms
        ]
        rate = own.rate_per_s + sum(item.rate_per_s for item in received)
        in_flight = own.in_flight + sum(item.in_flight for item in received)
        return Share(
            row.limit_per_s * own.rate_per_s / rate,
            round(row.max_in_flight * own.in_flight / in_flight),
        )

    def _own_demand(self) -> Share:
        key = row_key(ROW)
        return self._limit(key).demand(key, now_ms=self._clock.now_ms()).demand

    def _receive(self, name: str, message: _Demand) -> None:
        self._received[name] = _ReceivedDemand(message.wanted, self._clock.now_ms())


def _policy(shares_type: type[Shares], times: ShareTimes) -> NewShares:
    def new_shares(tier: ShareCluster, members: Members) -> Shares:
        return shares_type(
            members=members,
            clock=tier.clock,
            counters=Counters(),
            find_table=lambda: Table(rows=(ROW,)),
            times=times,
        )

    return new_shares


POLICIES: dict[str, NewShares] = {
    "equal split": _policy(EqualShares, ShareTimes(join_ms=0.0)),
    "by demand": _policy(DemandShares, ShareTimes(join_ms=0.0)),
    "lease, 1 s": _policy(Shares, ShareTimes()),
    "lease, 2 s": _policy(Shares, ShareTimes(lease_ms=2_000.0, join_ms=4_000.0)),
}


async def _no_change(tier: ShareCluster) -> None:
    del tier


async def _join_three(tier: ShareCluster) -> None:
    for number in range(3):
        tier.join(f"j{number}").load = Load(60.0, RUN_MS)
        await tier.clock.sleep_ms(500.0)


async def _kill_owner(tier: ShareCluster) -> None:
    tier.kill(_owner(tier))


async def _stop_owner(tier: ShareCluster) -> None:
    await tier.leave(_owner(tier))


async def _partition_and_heal(tier: ShareCluster) -> None:
    tier.partition({"i1", "i2", "i9"})
    await tier.clock.sleep_ms(6_000.0)
    tier.heal()


async def _freeze_instance(tier: ShareCluster) -> None:
    await tier.pause("i1", 3_000.0)


CHANGES: dict[str, Change] = {
    "none": _no_change,
    "3 join": _join_three,
    "owner dies": _kill_owner,
    "owner leaves": _stop_owner,
    "cut and mend": _partition_and_heal,
    "i1 frozen": _freeze_instance,
}


def _owner(tier: ShareCluster) -> str:
    bucket = bucket_of(row_key(ROW))
    return rendezvous_order(f"shares/{bucket}", list(tier.nodes))[0]


class Figures(msgspec.Struct, frozen=True):
    """Figures of one run, relative to the limit."""

    worst_second: float
    worst_five_seconds: float
    peak_running: float
    in_use: float
    minimum_in_use: float


async def _measure(new_shares: NewShares, change: Change) -> Figures:
    async with trio.open_nursery() as nursery:
        tier = ShareCluster(clock=Clock(), nursery=nursery, row=ROW)
        tier.new_shares = lambda members: new_shares(tier, members)
        tier.start(len(LOADS_PER_S))
        tier.set_loads(LOADS_PER_S, run_ms=RUN_MS)
        await tier.clock.sleep_ms(SETTLE_MS)
        from_ms = tier.clock.now_ms()
        nursery.start_soon(change, tier)
        await tier.clock.sleep_ms(MEASUREMENT_S * 1_000.0)
        seconds = [
            tier.count(from_ms + second * 1_000.0, from_ms + (second + 1) * 1_000.0)
            for second in range(MEASUREMENT_S)
        ]
        figures = Figures(
            worst_second=tier.peak_rate_ratio(1_000.0, from_ms=from_ms),
            worst_five_seconds=tier.peak_rate_ratio(5_000.0, from_ms=from_ms),
            peak_running=tier.max_running / ROW.max_in_flight,
            in_use=sum(seconds) / MEASUREMENT_S / ROW.limit_per_s,
            minimum_in_use=min(seconds) / ROW.limit_per_s,
        )
        nursery.cancel_scope.cancel()
    return figures


def main() -> None:
    """Print the table."""
    print(f"{'policy':12} {'change':13} most/1s most/5s running  in use  worst s")
    for policy, new_shares in POLICIES.items():
        for name, change in CHANGES.items():
            clock = trio.testing.MockClock(autojump_threshold=0.0)
            figures = trio.run(_measure, new_shares, change, clock=clock)
            print(
                f"{policy:12} {name:13} {figures.worst_second:7.2f}"
                f" {figures.worst_five_seconds:7.2f} {figures.peak_running:7.2f}"
                f" {figures.in_use:7.2f} {figures.minimum_in_use:8.2f}"
            )


if __name__ == "__main__":
    main()
