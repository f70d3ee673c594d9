"""Group commit: one conditional write carries all pending changes."""

from __future__ import annotations

import random
from collections import OrderedDict
from contextlib import suppress
from typing import TYPE_CHECKING

import msgspec
import trio

from ibisfront.core.counters import CounterKind
from ibisfront.core.errors import ErrorKind, IbisfrontError
from ibisfront.core.ledger_bucket import (
    MAXIMUM_BATCH_CHANGES,
    Bucket,
    bucket_name,
    plan_changes,
)
from ibisfront.core.logs import LogPart, part_logger
from ibisfront.core.objects import ObjectKind, WriteConflict

if TYPE_CHECKING:
    from ibisfront.core.clock import Clock
    from ibisfront.core.conditional_platform import ConditionalPlatform
    from ibisfront.core.counters import Counters
    from ibisfront.core.ledger_bucket import Change

__all__ = ["BucketView", "LedgerWriter", "read_bucket"]

_LOG = part_logger(LogPart.LEDGER)

_MAXIMUM_CACHED_QUEUES = 64
_FIRST_BACKOFF_MS = 20.0
_MAXIMUM_BACKOFF_MS = 2_000.0
_MAXIMUM_WRITE_DELAY_MS = 400.0
_WRITE_DELAY_STEP_MS = 5.0
_SHARED_WRITE_DELAY_STEP_MS = 0.5
_OUTCOME_WRITE_DELAY_MS = 400.0
_OUTAGE_FAILURES = 3
_OUTAGE_SILENCE_MS = 1_000.0
_FIRST_PROBE_DELAY_MS = 500.0
_MAXIMUM_PROBE_DELAY_MS = 5_000.0
_PROBE_BUCKET_NAME = "000-00"


class BucketView(msgspec.Struct, frozen=True):
    """An object as last read or written by this process; it may be stale.

    Attributes
    ----------
    version : int or None
        Its version; None if the object does not exist.
    bucket : Bucket
        Its value.
    size_bytes : int
        The value's size.
    """

    version: int | None
    bucket: Bucket
    size_bytes: int


class _BucketQueue:
    """Pending changes of one object, and the object as last seen."""

    __slots__ = (
        "is_running",
        "name",
        "pending",
        "urgent_arrived",
        "view",
        "write_delay_ms",
    )

    def __init__(self, name: str) -> None:
        self.name = name
        self.pending: list[Change] = []
        self.view: BucketView | None = None
        self.is_running = False
        self.write_delay_ms = 0.0
        self.urgent_arrived = trio.Event()

    def add(self, change: Change) -> None:
        """Queue a change."""
        self.pending.append(change)
        if change.is_urgent:
            self.urgent_arrived.set()

    def has_urgent(self) -> bool:
        """Return whether a caller is waiting for a change; reset the event."""
        self.urgent_arrived = trio.Event()
        return any(change.is_urgent for change in self.pending)

    def drop_abandoned(self) -> bool:
        """Drop changes that are no longer needed; return whether any remain."""
        self.pending = [item for item in self.pending if not item.is_abandoned()]
        return bool(self.pending)


class LedgerWriter:
    """Writes changes to the ledger's objects, one write per object at a time.

    Parameters
    ----------
    platform : ConditionalPlatform
        Stores the objects.
    nursery : trio.Nursery
        Runs the writes.
    clock : Clock
        The tier's clock.
    counters : Counters
        Counts writes.
    seed : str
        Seed of the jitter of delays.

    Attributes
    ----------
    is_platform_unavailable : bool
        Whether the platform failed several calls in a row; new claims are
        then rejected at once instead of waiting for their deadlines.
    """

    __slots__ = (
        "_clock",
        "_counters",
        "_failures",
        "_last_response_at_ms",
        "_nursery",
        "_platform",
        "_queue_stopped",
        "_queues",
        "_random",
        "_shared_write_delay_ms",
        "is_platform_unavailable",
    )

    def __init__(
        self,
        platform: ConditionalPlatform,
        *,
        nursery: trio.Nursery,
        clock: Clock,
        counters: Counters,
        seed: str,
    ) -> None:
        self._platform = platform
        self._nursery = nursery
        self._clock = clock
        self._counters = counters
        self._random = random.Random(seed)
        self._queues: OrderedDict[str, _BucketQueue] = OrderedDict()
        self._failures = 0
        self._last_response_at_ms = clock.now_ms()
        self._shared_write_delay_ms = 0.0
        self._queue_stopped = trio.Event()
        self.is_platform_unavailable = False

    def submit(self, change: Change, *, fresh: bool = False) -> None:
        """Queue a change for the next write of its object.

        Parameters
        ----------
        change : Change
            The change; its ``resolve`` is called once it is in force.
        fresh : bool
            Whether to read the object again before the write.
        """
        queue = self._queue(bucket_name(change.key))
        if fresh:
            queue.view = None
        queue.add(change)
        if not queue.is_running:
            queue.is_running = True
            self._nursery.start_soon(self._run_queue, queue)

    async def flush(self) -> None:
        """Wait until no change is pending; write outcomes without delay."""
        for queue in self._queues.values():
            queue.urgent_arrived.set()
        while any(queue.is_running for queue in self._queues.values()):
            await self._queue_stopped.wait()

    def _queue(self, name: str) -> _BucketQueue:
        queue = self._queues.setdefault(name, _BucketQueue(name))
        self._queues.move_to_end(name)
        if len(self._queues) > _MAXIMUM_CACHED_QUEUES:
            idle = [item for item in self._queues.values() if not item.is_running]
            for item in idle[: len(self._queues) - _MAXIMUM_CACHED_QUEUES]:
                if item is not queue:
                    del self._queues[item.name]
        return queue

    async def _run_queue(self, queue: _BucketQueue) -> None:
        backoff_ms = _FIRST_BACKOFF_MS
        try:
            while queue.drop_abandoned():
                if await self._commit(queue):
                    backoff_ms = _FIRST_BACKOFF_MS
                    continue
                await self._clock.sleep_ms(self._jittered(backoff_ms))
                backoff_ms = min(2 * backoff_ms, _MAXIMUM_BACKOFF_MS)
        finally:
            queue.is_running = False
            self._queue_stopped.set()
            self._queue_stopped = trio.Event()

    async def _commit(self, queue: _BucketQueue) -> bool:
        """Write one batch; return False if the platform failed."""
        try:
            await self._wait_for_batch(queue)
            view = queue.view or await read_bucket(self._platform, queue.name)
            await self._write_batch(queue, view)
        except WriteConflict:
            self._record_conflict(queue)
        except IbisfrontError as error:
            self._record_failure(queue, error)
            return False
        return True

    async def _wait_for_batch(self, queue: _BucketQueue) -> None:
        """Let more changes join the next write.

        An outcome is not urgent: its instance reports it on request. It is
        written with the next claim, or alone after a delay, so that under load
        a request costs less than two writes.
        """
        if not queue.has_urgent():
            with self._clock.timeout_ms(self._jittered(_OUTCOME_WRITE_DELAY_MS)):
                await queue.urgent_arrived.wait()
        write_delay_ms = queue.write_delay_ms + self._shared_write_delay_ms
        if write_delay_ms > 0:
            await self._clock.sleep_ms(self._jittered(write_delay_ms))

    async def _write_batch(self, queue: _BucketQueue, view: BucketView) -> None:
        queue.view = view
        batch = queue.pending[:MAXIMUM_BATCH_CHANGES]
        plan = plan_changes(view.bucket, batch, size_bytes=view.size_bytes)
        if plan.value_json is not None:
            # If the response is lost, this raises and the batch stays queued.
            # The next round reads the object and evaluates each change again: a
            # claim that took effect is found by its attempt id; one that did
            # not, or not yet, is written again on the version read. Once that
            # succeeds, the lost write cannot take effect, since it was
            # conditional on an older version.
            version = await self._platform.put(
                ObjectKind.LEDGER,
                queue.name,
                plan.value_json,
                if_version=view.version,
            )
            self._record_success()
            queue.view = BucketView(version, plan.bucket, len(plan.value_json))
            queue.write_delay_ms = max(0.0, queue.write_delay_ms - _WRITE_DELAY_STEP_MS)
            self._shared_write_delay_ms = max(
                0.0, self._shared_write_delay_ms - _SHARED_WRITE_DELAY_STEP_MS
            )
            self._counters.add(CounterKind.CLAIMS, "group_writes")
            self._counters.add(CounterKind.CLAIMS, "changes_written", len(batch))
        del queue.pending[: len(batch)]
        for change, result in zip(batch, plan.results, strict=True):
            change.resolve(result)

    def _record_conflict(self, queue: _BucketQueue) -> None:
        # Another instance writes the same object. Writing less often lets
        # more changes join each write, so that two instances that share an
        # object do not keep failing each other's writes.
        self._record_success()
        queue.view = None
        queue.write_delay_ms = min(
            max(2 * queue.write_delay_ms, _WRITE_DELAY_STEP_MS), _MAXIMUM_WRITE_DELAY_MS
        )
        self._counters.add(CounterKind.CLAIMS, "write_conflicts")

    def _record_failure(self, queue: _BucketQueue, error: IbisfrontError) -> None:
        queue.view = None
        self._failures += 1
        # A platform over its rate limit rejects some writes and accepts others.
        # Fewer, larger writes relieve it; rejecting claims would not help.
        self._shared_write_delay_ms = min(
            max(2 * self._shared_write_delay_ms, _WRITE_DELAY_STEP_MS),
            _MAXIMUM_WRITE_DELAY_MS,
        )
        self._counters.add(CounterKind.CLAIMS, f"failed_{error.kind.value}")
        silent_ms = self._clock.now_ms() - self._last_response_at_ms
        is_unavailable = (
            self._failures >= _OUTAGE_FAILURES and silent_ms >= _OUTAGE_SILENCE_MS
        )
        if is_unavailable and not self.is_platform_unavailable:
            self.is_platform_unavailable = True
            _LOG.warning("The platform is unavailable; new claims are rejected.")
            self._nursery.start_soon(self._probe)

    def _record_success(self) -> None:
        self._failures = 0
        self._last_response_at_ms = self._clock.now_ms()
        if self.is_platform_unavailable:
            self.is_platform_unavailable = False
            _LOG.info("The platform is available again; claims are accepted.")

    async def _probe(self) -> None:
        """Poll the platform until it is available again."""
        wait_ms = _FIRST_PROBE_DELAY_MS
        while self.is_platform_unavailable:
            await self._clock.sleep_ms(self._jittered(wait_ms))
            wait_ms = min(2 * wait_ms, _MAXIMUM_PROBE_DELAY_MS)
            with suppress(IbisfrontError):
                await read_bucket(self._platform, _PROBE_BUCKET_NAME)
                self._record_success()

    def _jittered(self, duration_ms: float) -> float:
        return duration_ms * (0.5 + self._random.random())


async def read_bucket(platform: ConditionalPlatform, name: str) -> BucketView:
    """Return an object of the ledger, possibly a stale version.

    Raises
    ------
    IbisfrontError
        ``platform_unavailable``, also if the value cannot be decoded.
    """
    found = await platform.get(ObjectKind.LEDGER, name)
    if found is None or found.value_json is None:
        return BucketView(None, Bucket(), 0)
    try:
        bucket = msgspec.json.decode(found.value_json, type=Bucket)
    except msgspec.MsgspecError as error:
        raise IbisfrontError(
            ErrorKind.PLATFORM_UNAVAILABLE,
            f"{ObjectKind.LEDGER}/{name} cannot be decoded: {error}",
        ) from error
    return BucketView(found.version, bucket, len(found.value_json))
