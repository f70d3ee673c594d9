"""Cost of quotas: messages, refusals below the limit, processor time of a refusal.

Run ``python -m benchmarks.quota_costs``. The first table is in mock time: 74
workspaces, a few of them large, use 5/8 of their limits through all instances; then
one of them floods. Ways to divide a limit are compared. The second is the processor
time of a refused request and of one that is forwarded and answered by a fake server,
both in this process without sockets.
"""

from __future__ import annotations

import logging
import os
import sys
import time
from typing import TYPE_CHECKING
from unittest import mock

import msgspec
import trio
import trio.testing

from ibisfront.core.bounded_log import BoundedLogHandler
from ibisfront.core.clock import Clock
from ibisfront.core.counters import Counters
from ibisfront.core.logs import LOGGER_NAME
from ibisfront.gateway.instances.directory import InstanceEntry
from ibisfront.gateway.messages import InboundRequest
from ibisfront.gateway.quotas import quota_owners
from ibisfront.gateway.quotas.quota_messages import (
    QUOTA_TARGET,
    QuotaAsk,
    QuotaGrant,
)
from ibisfront.gateway.quotas.quota_parts import QuotaDivision, QuotaPart, divide_quota
from ibisfront.gateway.quotas.quotas import Quotas
from ibisfront.gateway.state.configuration import Workspace
from ibisfront.gateway.workspaces.keys import digest_key
from ibisfront.platform.headers import WIRE
from ibisfront.testing.gateway_fixture import GatewayFixture, forward_route
from ibisfront.testing.quota_cluster import SHEET_BOUNDS, QuotaCluster, workspace

if TYPE_CHECKING:
    from collections.abc import Callable

    from ibisfront.gateway.settings import Bounds

__all__ = ["main"]

INSTANCES = (3, 64, 300)
WORKSPACES = 74
SKEW = 1.2
REQUESTS_PER_S = 24.0
USED_SHARE = 0.625
CALM_MS = 60_000.0
FLOOD_MS = 20_000.0
FLOOD_FACTOR = 9.0
REQUESTS = 3_000
MICROSECONDS_PER_SECOND = 1e6
KEY = b"k3y"


class PlayedPolicy(msgspec.Struct, frozen=True):
    """What one way of dividing limits gave.

    Attributes
    ----------
    refused : float
        Share of the calm requests that were refused.
    messages, between_zones : float
        Messages sent per calm request, and those between zones.
    flood_used : float
        Requests let in under the flood, as a share of the limit's rate.
    flood_messages : float
        Messages per request let in under the flood.
    room_used : float
        The worst excess over a limit, as a share of the room above it.
    """

    refused: float
    messages: float
    between_zones: float
    flood_used: float
    flood_messages: float
    room_used: float


def _one_owner(
    item: Workspace, bounds: Bounds, *, zones: int, smallest_zone: int
) -> QuotaDivision:
    """Give the whole limit to one owner."""
    part = QuotaPart(item.limit_per_s, max(item.limit_burst, 1.0), 1.0)
    return QuotaDivision(part, None, 1, 1)


def _equal_shares(
    item: Workspace, bounds: Bounds, *, zones: int, smallest_zone: int
) -> QuotaDivision:
    """Divide the limit among all instances."""
    count = zones * smallest_zone
    burst = max(item.limit_burst / count, 1.0)
    part = QuotaPart(item.limit_per_s / count, burst, 0.0)
    return QuotaDivision(part, None, zones, smallest_zone)


POLICIES: dict[str, Callable[..., QuotaDivision]] = {
    "one owner": _one_owner,
    "all instances own a part": _equal_shares,
    "owners in each zone": divide_quota,
}


async def _play(instances: int) -> PlayedPolicy:
    """Play calm callers, then a flood of one workspace."""
    shares = [(number + 1) ** -SKEW for number in range(WORKSPACES)]
    rates = [REQUESTS_PER_S * share / sum(shares) for share in shares]
    items = [
        workspace(f"w{number}", rate / USED_SHARE, max(3.0, rate / USED_SHARE))
        for number, rate in enumerate(rates)
    ]
    async with trio.open_nursery() as nursery:
        tier = QuotaCluster(clock=Clock(), nursery=nursery, workspaces=items)
        tier.start(instances)

        async def send(name: str, rate_per_s: float) -> None:
            await tier.send_load(name, rate_per_s, for_ms=CALM_MS)

        async with trio.open_nursery() as senders:
            for item, rate in zip(items, rates, strict=True):
                senders.start_soon(send, item.name, rate)
        asked = sum(tally.asked for tally in tier.tallies.values())
        refused = sum(len(tally.refused_ms) for tally in tier.tallies.values())
        messages, between_zones = tier.messages, tier.messages_between_zones
        flooding = items[0]
        before = len(tier.tallies[flooding.name].let_in_ms)
        rate_per_s = FLOOD_FACTOR * flooding.limit_per_s
        await tier.send_load(flooding.name, rate_per_s, for_ms=FLOOD_MS)
        let_in = len(tier.tallies[flooding.name].let_in_ms) - before
        nursery.cancel_scope.cancel()
    owed = flooding.limit_per_s * FLOOD_MS / 1_000.0 + flooding.limit_burst
    return PlayedPolicy(
        refused=refused / asked,
        messages=messages / asked,
        between_zones=between_zones / asked,
        flood_used=let_in / owed,
        flood_messages=(tier.messages - messages) / max(let_in, 1),
        room_used=max(tier.room_used(item.name) for item in items),
    )


def play(policy: Callable[..., QuotaDivision], instances: int) -> PlayedPolicy:
    """Play one way of dividing limits in mock time."""
    clock = trio.testing.MockClock(autojump_threshold=0.0)
    with mock.patch.object(quota_owners, "divide_quota", policy):
        return trio.run(_play, instances, clock=clock)


class _StoppedClock(Clock):
    """A clock that can be read outside of trio."""

    def now_ms(self) -> float:
        """Return a time at which nothing is due."""
        return 0.0


class _NoMessages:
    """An instance without others."""

    def can_reach(self, name: str) -> bool:
        """Return whether an instance seems reachable."""
        return False

    def send(
        self, name: str, ask: QuotaAsk, on_grant: Callable[[QuotaGrant | None], None]
    ) -> Callable[[], None]:
        """Send nothing."""
        on_grant(None)
        return lambda: None


async def _measure(limit_per_s: float, burst: float) -> tuple[float, dict[int, int]]:
    """Return the processor time of a request in microseconds, and the statuses."""
    fixture = GatewayFixture(forward_route(), latency_ms=1.0)
    digest = digest_key(KEY)
    item = Workspace("w", (digest,), limit_per_s=limit_per_s, limit_burst=burst)
    fixture.workspaces = (item,)
    own = InstanceEntry("i0", "z0", "i0")
    quotas = Quotas(
        own=own,
        bounds=SHEET_BOUNDS,
        messages=_NoMessages(),
        request_id_header=WIRE.request_id,
        clock=fixture.clock,
        counters=Counters(),
        is_first_start=True,
    )
    quotas.set_instances([own])
    quotas.retain([item], 1)
    fixture.take_quota = quotas.take
    statuses: dict[int, int] = {}
    async with fixture.running():
        for number in range(2 * REQUESTS):
            if number == REQUESTS:
                statuses.clear()
                started_s = time.process_time()
            headers = [(b"X-Key", KEY)]
            reply = await fixture.send_request("/fetch/a", headers=headers)
            statuses[reply.status] = statuses.get(reply.status, 0) + 1
    took_s = time.process_time() - started_s
    return took_s / REQUESTS * MICROSECONDS_PER_SECOND, statuses


def measure(limit_per_s: float, burst: float) -> tuple[float, dict[int, int]]:
    """Measure requests of a workspace with a limit, in mock time."""
    clock = trio.testing.MockClock(autojump_threshold=0.0)
    log = logging.getLogger(LOGGER_NAME)
    sink = os.open(os.devnull, os.O_WRONLY)
    handler = BoundedLogHandler(sink, instance="i0", clock=_StoppedClock())
    log.setLevel(logging.INFO)
    log.addHandler(handler)
    try:
        return trio.run(_measure, limit_per_s, burst, clock=clock)
    finally:
        log.removeHandler(handler)
        os.close(sink)


def _message_bytes() -> tuple[int, int]:
    """Return the sizes of a message and of its reply, with their headers."""
    ask = msgspec.msgpack.encode(QuotaAsk("workspace-12", 1))
    grant = msgspec.msgpack.encode(QuotaGrant(2**61, 1_000, 1, 123.4))
    request = InboundRequest(
        method=b"POST",
        target=QUOTA_TARGET,
        host="10.0.0.1:9000",
        request_id="0123456789abcdef",
        deadline_ms=None,
        headers=[
            (b"Host", b"10.0.0.1:9000"),
            WIRE.request_id("0123456789abcdef"),
        ],
        body=ask,
        arrived_at_ms=0.0,
    )
    sent = len(WIRE.encode_request(request)("i0", 1_000.0))
    return sent, len(grant)


def main() -> None:
    """Print both tables."""
    out = sys.stdout
    out.write("| way | instances | refused | messages | between zones |")
    out.write(" flood: used | messages | room used |\n")
    for name, policy in POLICIES.items():
        for instances in INSTANCES:
            played = play(policy, instances)
            out.write(
                f"| {name} | {instances} | {played.refused:.4f}"
                f" | {played.messages:.2f} | {played.between_zones:.2f}"
                f" | {played.flood_used:.2f} | {played.flood_messages:.2f}"
                f" | {played.room_used:.2f} |\n"
            )
    sent, received = _message_bytes()
    out.write(f"message: {sent} bytes with headers; body of the reply: {received}\n")
    for name, limit in (("served", (1e6, 1e6)), ("refused", (1e-3, 1.0))):
        took_us, statuses = measure(*limit)
        out.write(f"{name}: {took_us:.0f} us of processor time, {statuses}\n")


if __name__ == "__main__":
    main()
