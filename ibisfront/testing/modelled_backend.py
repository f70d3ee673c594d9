"""Model of the backend servers of one group, under mock time.

It has a number of slots, a bounded queue that sheds excess requests, and a
log-normal service time. For tests of limits and fairness, where real network
latency would only add noise.
"""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from ibisfront.core.clock import Clock

__all__ = ["ModelledBackend"]


class ModelledBackend:
    """Runs requests on a limited number of slots.

    Parameters
    ----------
    clock : Clock
        The test's clock.
    slots : int
        Number of requests that run concurrently; may be changed at any time.
    queue_limit : int
        Queued requests above which further ones are shed.
    median_ms : float
        Median of the service time; may be changed at any time.
    sigma : float, optional
        Standard deviation of the service time's logarithm.
    seed : int, optional
        Seed of the service times.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        slots: int,
        queue_limit: int,
        median_ms: float,
        sigma: float = 0.3,
        seed: int = 1,
    ) -> None:
        self.median_ms = median_ms
        self.queue_limit = queue_limit
        self.shed_count = 0
        self.finished_count = 0
        self._clock = clock
        self._sigma = sigma
        self._random = random.Random(seed)
        self._slots = trio.CapacityLimiter(slots)

    @property
    def slots(self) -> int:
        """Number of requests that run concurrently."""
        return int(self._slots.total_tokens)

    @slots.setter
    def slots(self, count: int) -> None:
        self._slots.total_tokens = count

    async def run(self) -> bool:
        """Run one request; return False immediately if it is shed."""
        if self._slots.statistics().tasks_waiting >= self.queue_limit:
            self.shed_count += 1
            return False
        async with self._slots:
            factor = math.exp(self._random.gauss(0.0, self._sigma))
            await self._clock.sleep_ms(self.median_ms * factor)
        self.finished_count += 1
        return True
