"""Execution slots of one group of services, and the queue for them."""

from __future__ import annotations

import math
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from ibisfront.core.concurrency import ConcurrencyLimit
from ibisfront.core.counters import CounterKind
from ibisfront.core.errors import ErrorKind, IbisfrontError
from ibisfront.core.fair_queue import FairQueue, Waiter

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from ibisfront.core.clock import Clock
    from ibisfront.core.counters import Counters
    from ibisfront.core.table import Purpose, Row

__all__ = ["GroupQueue", "Slot"]

MAXIMUM_WAITERS = 512
_URGENT_OVERFLOW_DIVISOR = 8
_MIN_RETRY_AFTER_MS = 10


class Slot:
    """A permit to run, held by an admitted request; records its outcome.

    Attributes
    ----------
    shed : bool
        Set by the holder when a backend server shed part of the request's work.
    """

    __slots__ = ("shed",)

    def __init__(self) -> None:
        self.shed = False


class GroupQueue:
    """Admits requests to the services of one index, or to one service.

    Parameters
    ----------
    clock : Clock
        The tier's clock.
    counters : Counters
        Counts rejections.
    maximum_waiters : int, optional
        Maximum number of requests that wait.
    limit : ConcurrencyLimit, optional
        Limit on the requests that run at once; adaptive by default.
    """

    __slots__ = ("_clock", "_counters", "_maximum_waiters", "limit", "queue")

    def __init__(
        self,
        *,
        clock: Clock,
        counters: Counters,
        maximum_waiters: int = MAXIMUM_WAITERS,
        limit: ConcurrencyLimit | None = None,
    ) -> None:
        self._clock = clock
        self._counters = counters
        self._maximum_waiters = maximum_waiters
        self.limit = ConcurrencyLimit() if limit is None else limit
        self.queue = FairQueue()

    @asynccontextmanager
    async def acquire(
        self, row: Row, purpose: Purpose, *, deadline_at_ms: float
    ) -> AsyncIterator[Slot]:
        """Hold a slot while the context is open.

        Raises
        ------
        IbisfrontError
            ``overloaded`` or ``deadline_too_short``, as soon as it is known
            that the wait would be too long.
        """
        waiter = Waiter(
            row.branch, row.purpose, weight=row.weight, urgent=purpose.urgent
        )
        await self._wait(waiter, deadline_at_ms)
        slot = Slot()
        started_at_ms = self._clock.now_ms()
        running = self.queue.running
        try:
            yield slot
        finally:
            now_ms = self._clock.now_ms()
            self.limit.record(
                now_ms=now_ms,
                duration_ms=now_ms - started_at_ms,
                running=running,
                shed=slot.shed,
            )
            self.queue.finish(waiter)
            self._start_waiters()

    async def _wait(self, waiter: Waiter, deadline_at_ms: float) -> None:
        self.queue.push(waiter)
        self._start_waiters()
        try:
            self._reject_if_too_late(waiter, deadline_at_ms)
            self._enforce_queue_limit()
            remaining_ms = self._latest_start_ms(deadline_at_ms) - self._clock.now_ms()
            with self._clock.timeout_ms(remaining_ms):
                await waiter.settled.wait()
        except BaseException:
            # The request may have been started in the same scheduler step in which
            # it is cancelled. Its slot must be returned, or the limit stays reduced.
            self._abandon(waiter)
            raise
        if waiter.rejection is not None:
            raise waiter.rejection
        if not waiter.started:
            self._abandon(waiter)
            raise self._rejection(
                ErrorKind.DEADLINE_TOO_SHORT, "no slot became free in time"
            )

    def _start_waiters(self) -> None:
        queue = self.queue
        slots = self.limit.slots
        while queue.waiting and queue.running < slots and queue.pop():
            pass
        # Bulk work may occupy every slot. Urgent requests of a branch below its
        # share may exceed the limit by a few slots instead of waiting for a bulk
        # request to end; a branch above its share may not.
        overflow = max(1, slots // _URGENT_OVERFLOW_DIVISOR)
        while queue.waiting and queue.running < slots + overflow:
            if queue.pop(lambda branch: queue.is_below_share(branch, slots)) is None:
                break

    def _reject_if_too_late(self, waiter: Waiter, deadline_at_ms: float) -> None:
        if waiter.started:
            return
        latest_ms = self._latest_start_ms(deadline_at_ms)
        wait_ms = self.queue.requests_ahead(waiter) * self.limit.interval_ms
        if self._clock.now_ms() + wait_ms > latest_ms:
            raise self._rejection(
                ErrorKind.DEADLINE_TOO_SHORT,
                f"estimated wait is {wait_ms:.0f} ms",
            )

    def _enforce_queue_limit(self) -> None:
        if self.queue.waiting <= self._maximum_waiters:
            return
        # Rejecting the newest request would let one flooding branch lock out all
        # others, so a waiter of the branch that exceeds its share most is rejected.
        evicted = self.queue.eviction_candidate(self._maximum_waiters)
        if evicted is not None:
            self.queue.remove(evicted)
            evicted.reject(
                self._rejection(ErrorKind.OVERLOADED, "admission queue is full")
            )

    def _abandon(self, waiter: Waiter) -> None:
        if waiter.started:
            self.queue.finish(waiter)
            self._start_waiters()
        elif waiter.rejection is None:
            self.queue.remove(waiter)

    def _latest_start_ms(self, deadline_at_ms: float) -> float:
        return deadline_at_ms - self.limit.duration_ms

    def _rejection(self, kind: ErrorKind, detail: str) -> IbisfrontError:
        self._counters.add(CounterKind.REFUSALS, kind.value)
        drain_ms = self.queue.waiting * self.limit.interval_ms
        return IbisfrontError(
            kind, detail, retry_after_ms=max(_MIN_RETRY_AFTER_MS, math.ceil(drain_ms))
        )
