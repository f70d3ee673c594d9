"""Property test: no window holds more requests than a limit and its room."""

from __future__ import annotations

import unittest
from enum import StrEnum

import msgspec
import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from ibisfront.core.clock import Clock
from ibisfront.testing.quota_cluster import SHEET_BOUNDS, QuotaCluster, workspace

ITEMS = (
    workspace("small", 0.3, 2.0),
    workspace("middle", 3.0, 4.0),
    workspace("large", 15.0, 12.0),
)
INSTANCES = 12
JOIN_MS = 1_500.0
WINDOW_MS = SHEET_BOUNDS.quota_window_ms


class ChangeKind(StrEnum):
    """Kinds of changes."""

    RESTART = "restart"
    RESTART_ALL = "restart_all"
    LOSE = "lose"
    RETURN = "return"
    JOIN = "join"
    CUT = "cut"
    HEAL = "heal"
    FREEZE = "freeze"
    LIMIT = "limit"
    FLOOD = "flood"


class Change(msgspec.Struct, frozen=True):
    """One change, and the delay after it."""

    kind: ChangeKind
    which: int
    delay_ms: float


CHANGES = st.lists(
    st.builds(
        Change,
        kind=st.sampled_from(ChangeKind),
        which=st.integers(0, 50),
        delay_ms=st.sampled_from([50.0, 600.0, 2_500.0, 5_500.0]),
    ),
    min_size=2,
    max_size=8,
)


class History:
    """Applies changes to a cluster; no instance starts more than twice in a window."""

    def __init__(self, tier, nursery):
        self.tier = tier
        self.nursery = nursery
        self.lost = []
        self.frozen = []
        self.started_ms = {}
        self.lowered_at_ms = 0.0

    async def apply(self, change):
        """Apply one change."""
        tier = self.tier
        names = sorted(tier.nodes)
        if not names:
            # All were restarted three times in a window and are lost: one returns.
            names = [self.lost.pop()]
            tier.start_node(names[0])
        name = names[change.which % len(names)]
        match change.kind:
            case ChangeKind.CUT:
                zones = tier.zone("z0"), tier.zone("z1"), [name]
                tier.cut(zones[change.which % 3])
            case ChangeKind.HEAL:
                tier.heal()
            case ChangeKind.FREEZE:
                tier.freeze(name)
                self.nursery.start_soon(self.wake, tier.nodes[name], change.delay_ms)
            case ChangeKind.LIMIT:
                self.change_limits(0.5 if change.which % 2 else 1.0)
            case ChangeKind.FLOOD:
                zone = tier.zone(f"z{change.which % 3}")
                self.nursery.start_soon(flood, tier, [name], change.delay_ms)
                self.nursery.start_soon(flood, tier, zone, change.delay_ms)
            case _:
                self.change_instances(change.kind, names, name)
        await tier.clock.sleep_ms(change.delay_ms)

    def change_instances(self, kind, names, name):
        """Restart, lose or add instances."""
        match kind:
            case ChangeKind.RESTART:
                self.restart(name)
            case ChangeKind.RESTART_ALL:
                for each in names:
                    self.restart(each)
            case ChangeKind.LOSE if len(names) > 2:
                self.tier.stop_node(name)
                self.lost.append(name)
            case ChangeKind.RETURN if self.lost:
                self.restart(self.lost.pop())
            case ChangeKind.JOIN:
                self.nursery.start_soon(self.join)

    def restart(self, name):
        """Restart an instance, unless it has started twice within a window."""
        now_ms = self.tier.clock.now_ms()
        recent = [
            at_ms
            for at_ms in self.started_ms.get(name, [])
            if at_ms > now_ms - WINDOW_MS - 1_000.0
        ]
        self.tier.stop_node(name)
        if len(recent) < 2:
            self.started_ms[name] = [*recent, now_ms]
            self.tier.start_node(name)
        else:
            self.lost.append(name)

    async def join(self):
        """Add an instance, of which the others learn one after the other."""
        tier = self.tier
        name = tier.add_entry()
        others = sorted(tier.nodes)
        node = tier.start_node(name)
        node.quotas.hold_until(tier.clock.now_ms() + JOIN_MS)
        for other in others:
            await tier.clock.sleep_ms(JOIN_MS / (len(others) + 1))
            if other in tier.nodes:
                tier.list_instances(other, tier.entry_names())

    async def wake(self, node, after_ms):
        """Wake a frozen process."""
        await self.tier.clock.sleep_ms(after_ms)
        node.running.set()

    def change_limits(self, factor):
        """Put other limits in force."""
        if factor < 1.0:
            self.lowered_at_ms = self.tier.clock.now_ms()
        for item in ITEMS:
            changed = workspace(
                item.name, item.limit_per_s * factor, item.limit_burst * factor
            )
            self.tier.set_limit(changed)


async def flood(tier, names, for_ms):
    """Send far too many requests of all workspaces."""
    async with trio.open_nursery() as nursery:
        for item in ITEMS:
            rate_per_s = max(6.0 * item.limit_per_s, 8.0)
            nursery.start_soon(send, tier, item.name, rate_per_s, for_ms, names)


async def send(tier, name, rate_per_s, for_ms, names=None):
    """Send one workspace's requests."""
    await tier.send_load(name, rate_per_s, for_ms=for_ms, names=names)


async def run_history(changes, seed):
    """Run a history; return the worst share of the room that was used."""
    async with trio.open_nursery() as nursery:
        tier = QuotaCluster(clock=Clock(), nursery=nursery, workspaces=ITEMS, seed=seed)
        tier.start(INSTANCES)
        history = History(tier, nursery)
        for item in ITEMS:
            rate_per_s = max(3.0 * item.limit_per_s, 3.0)
            nursery.start_soon(send, tier, item.name, rate_per_s, 120_000.0)
        await tier.clock.sleep_ms(2_000.0)
        for change in changes:
            await history.apply(change)
        await tier.clock.sleep_ms(WINDOW_MS)
        nursery.cancel_scope.cancel()
    # The highest limit of a history bounds all of it, the last one what follows it.
    worst = max(tier.room_used(item.name, item=item) for item in ITEMS)
    last = max(
        tier.room_used(item.name, from_ms=history.lowered_at_ms) for item in ITEMS
    )
    is_last_lower = tier.workspaces["large"].limit_per_s < ITEMS[2].limit_per_s
    return max(worst, last) if is_last_lower else worst


class QuotaTest(unittest.TestCase):
    """Limits over any history."""

    @settings(deadline=None, max_examples=25)
    @given(CHANGES, st.integers(0, 1_000))
    def test_no_window_is_over_the_bound(self, changes, seed):
        """Guards against a fault, or two at once, that grants a part twice."""
        clock = trio.testing.MockClock(autojump_threshold=0.0)
        used = trio.run(run_history, changes, seed, clock=clock)
        self.assertLessEqual(used, 1.0)
