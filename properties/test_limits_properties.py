"""Property test: shares never add up to more than the table's limit."""

from __future__ import annotations

import unittest
from enum import StrEnum

import msgspec
import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from ibisfront.core.clock import Clock
from ibisfront.core.table import Row
from ibisfront.testing.share_cluster import Load, ShareCluster

ROW = Row("vestry", "bulk", limit_per_s=60.0, max_in_flight=12)
INSTANCES = 5
STEP_MS = 40.0
RUN_MS = 150.0
SETTLE_MS = 3_200.0


class ChangeKind(StrEnum):
    """Kinds of changes to the membership or the load."""

    JOIN = "join"
    KILL = "kill"
    LEAVE = "leave"
    PARTITION = "cut"
    HEAL = "mend"
    PAUSE = "pause"
    LOAD = "load"


class Change(msgspec.Struct, frozen=True):
    """One change of one instance, and the delay after it."""

    kind: ChangeKind
    which: int
    rate_per_s: float
    delay_ms: float


CHANGES = st.lists(
    st.builds(
        Change,
        kind=st.sampled_from(ChangeKind),
        which=st.integers(0, 20),
        rate_per_s=st.sampled_from([0.0, 5.0, 80.0]),
        delay_ms=st.sampled_from([100.0, 700.0, 2_000.0]),
    ),
    min_size=2,
    max_size=7,
)


async def apply(tier, change):
    """Apply one change."""
    names = sorted(tier.nodes)
    name = names[change.which % len(names)]
    match change.kind:
        case ChangeKind.JOIN:
            newcomer = tier.join(f"j{len(tier.joined)}")
            tier.joined.append(newcomer.name)
            newcomer.load = Load(change.rate_per_s, RUN_MS)
        case ChangeKind.KILL if len(names) > 2:
            tier.kill(name)
        case ChangeKind.LEAVE if len(names) > 2:
            await tier.leave(name)
        case ChangeKind.PARTITION:
            tier.partition(set(names[: 1 + change.which % (len(names) - 1)]))
        case ChangeKind.HEAL:
            tier.heal()
        case ChangeKind.PAUSE:
            await tier.pause(name, change.delay_ms)
        case _:
            tier.nodes[name].load = Load(change.rate_per_s, RUN_MS)


async def max_usable(changes):
    """Return the maximum usable rate per second and the maximum in flight."""
    max_usable_per_s = 0.0
    async with trio.open_nursery() as nursery:
        tier = ShareCluster(clock=Clock(), nursery=nursery, row=ROW)
        tier.joined = []
        tier.start(INSTANCES)
        tier.set_loads([80.0, 20.0, 5.0, 0.0, 0.0], run_ms=RUN_MS)

        async def observe():
            nonlocal max_usable_per_s
            while True:
                usable = [node.shares.usable(ROW) for node in tier.nodes.values()]
                total = sum(share.rate_per_s for share in usable)
                max_usable_per_s = max(max_usable_per_s, total)
                await tier.clock.sleep_ms(STEP_MS)

        nursery.start_soon(observe)
        await tier.clock.sleep_ms(SETTLE_MS)
        for change in changes:
            await apply(tier, change)
            await tier.clock.sleep_ms(change.delay_ms)
        await tier.clock.sleep_ms(SETTLE_MS)
        nursery.cancel_scope.cancel()
    return max_usable_per_s, tier.max_running


class LimitsPropertyTest(unittest.TestCase):
    """Instances join, die, leave, pause and are partitioned in any order."""

    @settings(max_examples=12, deadline=None, derandomize=True)
    @given(changes=CHANGES)
    def test_shares_never_add_up_to_more_than_the_limit(self, changes):
        clock = trio.testing.MockClock(autojump_threshold=0.0)
        max_usable_per_s, max_running = trio.run(max_usable, changes, clock=clock)
        # Members learn of a new instance at different times, within 50 ms. Until
        # then, some of them divide the limit by one instance less.
        self.assertLessEqual(max_usable_per_s, ROW.limit_per_s * 1.01)
        self.assertLessEqual(max_running, ROW.max_in_flight)
