"""Claims per second, and the latency that a claim adds, for three designs.

Run ``python -m benchmarks.ledger_throughput``. Time is trio's mock time and the
platform is an in-process fake: a write takes :data:`WRITE_MS`, and
:data:`WRITES_PER_S` are accepted per second. The results do not depend on the
load of the machine. "Routed" sends all keys of a bucket to one instance, as
routing among larger groups would; "unrouted" sends a key to any instance.
"""

from __future__ import annotations

import argparse
import random
from collections.abc import Awaitable, Callable
from functools import partial
from typing import TypeAlias

import msgspec
import trio
import trio.testing

from ibisfront.core.claimed_run import ClaimedRun
from ibisfront.core.clock import Clock
from ibisfront.core.counters import CounterKind, Counters
from ibisfront.core.errors import ErrorKind, IbisfrontError
from ibisfront.core.idempotency_key import make_key, parse_key
from ibisfront.core.ledger import Ledger
from ibisfront.core.ledger_bucket import bucket_name
from ibisfront.core.objects import ObjectKind, VersionedObject, WriteConflict
from ibisfront.core.query import CallerRequest, SubReply
from ibisfront.core.table import Purpose
from ibisfront.testing.platform_state import FakePlatform
from ibisfront.testing.platform_types import PlatformFaults, PlatformRefused

WRITE_MS = 5.0
WRITES_PER_S = 400
DURATION_S = 3.0
DEADLINE_MS = 2_000.0
WALL_START_MS = 1_764_700_000_000
PURPOSE = Purpose("print-envelopes", "perform", service="print-queue")
RATES_PER_S = (20, 100, 300, 1_200)

ClaimOne: TypeAlias = Callable[[str], Awaitable[None]]
"""Claims one key; raises ``IbisfrontError`` if it cannot in time."""


class Results(msgspec.Struct):
    """Results of one run."""

    design: str
    instances: int
    offered_per_s: int
    claimed_per_s: float
    refused_share: float
    p50_ms: float
    p99_ms: float
    writes_per_s: float
    claims_per_write: float
    conflicts: int


class DirectPlatform:
    """The fake platform with the errors of the platform client."""

    def __init__(self, platform: FakePlatform) -> None:
        self._platform = platform

    async def get(self, kind: ObjectKind, name: str) -> VersionedObject | None:
        """Return an object."""
        try:
            found = await self._platform.get(kind, name)
        except PlatformRefused:
            return None
        value_json = msgspec.json.encode(found.value)
        return VersionedObject(kind, name, found.version, value_json)

    async def put(
        self,
        kind: ObjectKind,
        name: str,
        value_json: bytes,
        *,
        if_version: int | None,
    ) -> int:
        """Write an object conditionally."""
        value = msgspec.json.decode(value_json)
        try:
            return await self._platform.put(kind, name, value, if_version=if_version)
        except PlatformRefused as refused:
            if refused.status == 429:
                raise IbisfrontError(
                    ErrorKind.WRITE_UNKNOWN, "over the rate limit"
                ) from None
            raise WriteConflict(name) from refused


async def reply_immediately(run: ClaimedRun) -> SubReply:
    """Reply like a backend server without processing time."""
    run.start_send()
    return SubReply(b'{"result":1}')


class BenchmarkRun:
    """One run: arrivals at a rate, for :data:`DURATION_S`."""

    def __init__(self, nursery: trio.Nursery, *, instances: int) -> None:
        self.clock = Clock(wall=self._wall_ms)
        self.nursery = nursery
        self.instances = instances
        self.random = random.Random(6)
        self.platform = FakePlatform(clock=self.clock)
        self.platform.set_faults(
            PlatformFaults(slow_ms=WRITE_MS, writes_per_second_limit=WRITES_PER_S)
        )
        self.direct = DirectPlatform(self.platform)
        self.counters = Counters()
        self.latencies_ms: list[float] = []
        self.rejected = 0
        self._start_ms = self.clock.now_ms()

    def _wall_ms(self) -> float:
        return WALL_START_MS + self.clock.now_ms() - self._start_ms

    async def start_ledgers(self) -> list[Ledger]:
        """Return a running ledger for each instance."""
        ledgers = [
            Ledger(
                instance=f"i{number}",
                send_once=reply_immediately,
                clock=self.clock,
                counters=self.counters,
                process=f"p{number}",
            )
            for number in range(self.instances)
        ]
        for ledger in ledgers:
            await self.nursery.start(partial(ledger.run, self.direct))
        return ledgers

    async def offer(self, rate_per_s: int, claim: ClaimOne) -> None:
        """Generate random arrivals of claims at a rate, and wait for all."""
        async with trio.open_nursery() as arrivals:
            end_ms = self.clock.now_ms() + DURATION_S * 1000.0
            while self.clock.now_ms() < end_ms:
                arrivals.start_soon(self._claim_once, claim)
                gap_ms = self.random.expovariate(rate_per_s) * 1000.0
                await self.clock.sleep_ms(gap_ms)

    async def _claim_once(self, claim: ClaimOne) -> None:
        key = make_key(
            wall_ms=self.clock.wall_ms(), random_bits=self.random.getrandbits(74)
        )
        started_at_ms = self.clock.now_ms()
        try:
            await claim(key)
        except IbisfrontError:
            self.rejected += 1
        else:
            self.latencies_ms.append(self.clock.now_ms() - started_at_ms)

    async def claim_each(self, key: str) -> None:
        """Claim with one object per key; retry when over the rate limit."""
        deadline_ms = self.clock.now_ms() + DEADLINE_MS
        while self.clock.now_ms() < deadline_ms:
            try:
                await self.direct.put(ObjectKind.LEDGER, key, b"{}", if_version=None)
            except IbisfrontError:
                await self.clock.sleep_ms(self.random.uniform(10.0, 60.0))
            else:
                return
        raise IbisfrontError(ErrorKind.CLAIM_UNAVAILABLE, "over the rate limit")

    def claim_by_ledger(self, ledgers: list[Ledger], *, routed: bool) -> ClaimOne:
        """Return a function that claims with the group-commit ledger."""

        async def claim(key: str) -> None:
            bucket = int(bucket_name(parse_key(key)).partition("-")[2])
            number = bucket if routed else self.random.randrange(len(ledgers))
            request = CallerRequest(
                request_id=key,
                branch="vestry",
                purpose=PURPOSE.name,
                body_json=b"{}",
                deadline_at_ms=self.clock.now_ms() + DEADLINE_MS,
            )
            await ledgers[number % len(ledgers)].perform(request, PURPOSE, key)

        return claim

    def results(self, design: str, rate_per_s: int) -> Results:
        """Return the results of the run."""
        sorted_ms = sorted(self.latencies_ms) or [0.0]
        writes = self.platform.state().writes.total
        return Results(
            design=design,
            instances=self.instances,
            offered_per_s=rate_per_s,
            claimed_per_s=round(len(self.latencies_ms) / DURATION_S, 1),
            refused_share=round(
                self.rejected / max(1, self.rejected + len(self.latencies_ms)), 3
            ),
            p50_ms=round(sorted_ms[len(sorted_ms) // 2], 1),
            p99_ms=round(sorted_ms[int(len(sorted_ms) * 0.99)], 1),
            writes_per_s=round(writes / DURATION_S, 1),
            claims_per_write=round(len(self.latencies_ms) / max(1, writes), 2),
            conflicts=self.counters.value(CounterKind.CLAIMS, "write_conflicts"),
        )


async def measure(design: str, *, instances: int, rate_per_s: int) -> Results:
    """Return the results of one design at one rate."""
    async with trio.open_nursery() as nursery:
        run = BenchmarkRun(nursery, instances=instances)
        claim: ClaimOne = run.claim_each
        if design != "claim each":
            ledgers = await run.start_ledgers()
            claim = run.claim_by_ledger(ledgers, routed=design == "ledger routed")
        await run.offer(rate_per_s, claim)
        results = run.results(design, rate_per_s)
        nursery.cancel_scope.cancel()
    return results


def main() -> None:
    """Print one line for each design, size and rate."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.ledger_throughput")
    parser.add_argument("--instances", type=int, nargs="+", default=[9, 32, 128])
    parser.add_argument("--rates", type=int, nargs="+", default=list(RATES_PER_S))
    options = parser.parse_args()
    print(" ".join(f"{name:>16}" for name in Results.__struct_fields__))
    for instances in options.instances:
        for design in ("claim each", "ledger unrouted", "ledger routed"):
            for rate_per_s in options.rates:
                results = trio.run(
                    partial(
                        measure, design, instances=instances, rate_per_s=rate_per_s
                    ),
                    clock=trio.testing.MockClock(autojump_threshold=0.0),
                )
                values = msgspec.structs.astuple(results)
                print(" ".join(f"{value!s:>16}" for value in values), flush=True)


if __name__ == "__main__":
    main()
