"""The places of one group of services, and the queue before them."""

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

__all__ = ["GroupQueue", "Place"]

MAXIMUM_WAITERS = 512
_URGENT_EXTRA_SHARE = 8
_LEAST_RETRY_MS = 10


class Place:
    """What an admitted request holds, to say how it went.

    Attributes
    ----------
    shed : bool
        Set when a backend server refused part of the request's work.
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
        Where refusals are counted.
    maximum_waiters : int, optional
        How many requests may wait.
    limit : ConcurrencyLimit, optional
        How many may run; an adaptive one if left out.
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
    async def place(
        self, row: Row, purpose: Purpose, *, deadline_at_ms: float
    ) -> AsyncIterator[Place]:
        """Hold a place while the context is open.

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
        place = Place()
        started_at_ms = self._clock.now_ms()
        running = self.queue.running
        try:
            yield place
        finally:
            now_ms = self._clock.now_ms()
            self.limit.record(
                now_ms=now_ms,
                duration_ms=now_ms - started_at_ms,
                running=running,
                shed=place.shed,
            )
            self.queue.finish(waiter)
            self._start_waiters()

    async def _wait(self, waiter: Waiter, deadline_at_ms: float) -> None:
        self.queue.push(waiter)
        self._start_waiters()
        try:
            self._refuse_if_too_late(waiter, deadline_at_ms)
            self._keep_bound()
            remaining_ms = self._latest_start_ms(deadline_at_ms) - self._clock.now_ms()
            with self._clock.timeout_ms(remaining_ms):
                await waiter.settled.wait()
        except BaseException:
            # A caller that gives up here may have been started in the same
            # step; its place must not be lost, or the limit shrinks for good.
            self._give_up(waiter)
            raise
        if waiter.refusal is not None:
            raise waiter.refusal
        if not waiter.started:
            self._give_up(waiter)
            raise self._refusal(
                ErrorKind.DEADLINE_TOO_SHORT, "no place came free in time"
            )

    def _start_waiters(self) -> None:
        queue = self.queue
        places = self.limit.slots
        while queue.waiting and queue.running < places and queue.pop():
            pass
        # A flood of bulk work fills every place. Urgent requests of a branch
        # below its share go over the limit by a few places instead of waiting
        # for one of them to end; a branch above its share gains nothing.
        extra = max(1, places // _URGENT_EXTRA_SHARE)
        while queue.waiting and queue.running < places + extra:
            if queue.pop(lambda branch: queue.is_below_share(branch, places)) is None:
                break

    def _refuse_if_too_late(self, waiter: Waiter, deadline_at_ms: float) -> None:
        if waiter.started:
            return
        latest_ms = self._latest_start_ms(deadline_at_ms)
        wait_ms = self.queue.turns_before(waiter) * self.limit.interval_ms
        if self._clock.now_ms() + wait_ms > latest_ms:
            raise self._refusal(
                ErrorKind.DEADLINE_TOO_SHORT,
                f"the wait is about {wait_ms:.0f} ms",
            )

    def _keep_bound(self) -> None:
        if self.queue.waiting <= self._maximum_waiters:
            return
        # The queue is full. Refusing the newcomer would let a flooding branch
        # keep every other one out; the branch most over its share gives way.
        unlucky = self.queue.longest_over_share(self._maximum_waiters)
        if unlucky is not None:
            self.queue.remove(unlucky)
            unlucky.refuse(
                self._refusal(ErrorKind.OVERLOADED, "too many requests wait")
            )

    def _give_up(self, waiter: Waiter) -> None:
        if waiter.started:
            self.queue.finish(waiter)
            self._start_waiters()
        elif waiter.refusal is None:
            self.queue.remove(waiter)

    def _latest_start_ms(self, deadline_at_ms: float) -> float:
        return deadline_at_ms - self.limit.duration_ms

    def _refusal(self, kind: ErrorKind, detail: str) -> IbisfrontError:
        self._counters.add(CounterKind.REFUSALS, kind.value)
        drain_ms = self.queue.waiting * self.limit.interval_ms
        return IbisfrontError(
            kind, detail, retry_after_ms=max(_LEAST_RETRY_MS, math.ceil(drain_ms))
        )
