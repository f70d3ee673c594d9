"""Ways of sharing a limit over the instances, compared under mock time.

Run ``python -m benchmarks.share_policies``. Nine instances behind an uneven
balancer, a row of 90 requests a second and 20 places, and the same changes of
membership for each way. For each it prints the most started in a second and
in five, and the most running, over the limit (1.00 is the limit itself), and
the part of the limit in use, over the whole run and in its worst second.

Nothing here depends on the machine's speed. trio runs tasks that are ready
together in random order, so that figures move by a few hundredths.
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
MEASURED_S = 10
FRESH_MS = 2_000.0

NewShares: TypeAlias = Callable[[ShareCluster, Members], Shares]
Change: TypeAlias = Callable[[ShareCluster], Awaitable[None]]


class _Demand(PeerMessage, frozen=True, tag="demand"):
    """What one instance wants of the one row."""

    wanted: Share


class _Heard(msgspec.Struct):
    """The demand of another instance, and when it was heard."""

    wanted: Share
    at_ms: float


class EqualShares(Shares):
    """Each instance keeps the limit over the number of instances."""

    __slots__ = ()

    async def run(self, peers: Peers | None = None) -> None:
        """Do nothing; see ``Shares.run``."""
        del peers
        await trio.sleep_forever()


class DemandShares(Shares):
    """Each instance takes its part of the demand that it has heard of."""

    __slots__ = ("_heard",)

    async def run(self, peers: Peers | None = None) -> None:
        """Tell everybody the demand; see ``Shares.run``."""
        assert peers is not None
        self._heard: dict[str, _Heard] = {}
        peers.handle(_Demand, self._hear)
        while True:
            peers.send_neighbours(_Demand(self._wanted()))
            await self._clock.sleep_ms(self._times.report_ms)

    def usable(self, row: Row) -> Share:
        """Return the part that the demand gives; see ``Shares.usable``."""
        own = self._wanted()
        fresh_from_ms = self._clock.now_ms() - FRESH_MS
        heard = [
            item.wanted
            for item in getattr(self, "_heard", {}).values()
            if item.at_ms >= fresh_from_ms
        ]
        rate = own.rate_per_s + sum(item.rate_per_s for item in heard)
        places = own.in_flight + sum(item.in_flight for item in heard)
        return Share(
            row.limit_per_s * own.rate_per_s / rate,
            round(row.max_in_flight * own.in_flight / places),
        )

    def _wanted(self) -> Share:
        key = row_key(ROW)
        return self._limit(key).demand(key, now_ms=self._clock.now_ms()).demand

    def _hear(self, name: str, message: _Demand) -> None:
        self._heard[name] = _Heard(message.wanted, self._clock.now_ms())


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


async def _nothing(tier: ShareCluster) -> None:
    del tier


async def _join(tier: ShareCluster) -> None:
    for number in range(3):
        tier.join(f"j{number}").load = Load(60.0, RUN_MS)
        await tier.clock.sleep_ms(500.0)


async def _die(tier: ShareCluster) -> None:
    tier.kill(_owner(tier))


async def _leave(tier: ShareCluster) -> None:
    await tier.leave(_owner(tier))


async def _cut(tier: ShareCluster) -> None:
    tier.partition({"i1", "i2", "i9"})
    await tier.clock.sleep_ms(6_000.0)
    tier.heal()


async def _pause(tier: ShareCluster) -> None:
    await tier.pause("i1", 3_000.0)


CHANGES: dict[str, Change] = {
    "none": _nothing,
    "3 join": _join,
    "owner dies": _die,
    "owner leaves": _leave,
    "cut and mend": _cut,
    "i1 frozen": _pause,
}


def _owner(tier: ShareCluster) -> str:
    bucket = bucket_of(row_key(ROW))
    return rendezvous_order(f"shares/{bucket}", list(tier.nodes))[0]


class Figures(msgspec.Struct, frozen=True):
    """What one run gave; all over the limit."""

    worst_second: float
    worst_five_seconds: float
    most_running: float
    in_use: float
    least_in_use: float


async def _measure(new_shares: NewShares, change: Change) -> Figures:
    async with trio.open_nursery() as nursery:
        tier = ShareCluster(clock=Clock(), nursery=nursery, row=ROW)
        tier.new_shares = lambda members: new_shares(tier, members)
        tier.start(len(LOADS_PER_S))
        tier.set_loads(LOADS_PER_S, run_ms=RUN_MS)
        await tier.clock.sleep_ms(SETTLE_MS)
        from_ms = tier.clock.now_ms()
        nursery.start_soon(change, tier)
        await tier.clock.sleep_ms(MEASURED_S * 1_000.0)
        seconds = [
            tier.count(from_ms + second * 1_000.0, from_ms + (second + 1) * 1_000.0)
            for second in range(MEASURED_S)
        ]
        figures = Figures(
            worst_second=tier.peak_rate_ratio(1_000.0, from_ms=from_ms),
            worst_five_seconds=tier.peak_rate_ratio(5_000.0, from_ms=from_ms),
            most_running=tier.max_running / ROW.max_in_flight,
            in_use=sum(seconds) / MEASURED_S / ROW.limit_per_s,
            least_in_use=min(seconds) / ROW.limit_per_s,
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
                f" {figures.worst_five_seconds:7.2f} {figures.most_running:7.2f}"
                f" {figures.in_use:7.2f} {figures.least_in_use:8.2f}"
            )


if __name__ == "__main__":
    main()
