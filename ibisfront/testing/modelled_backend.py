"""The backend servers of one group as a model under mock time.

A fixed number of slots, a queue before them that sheds what does not fit, and
a log-normal service time. For tests of limits and fairness, where the network
would only add noise.
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
    """Runs requests on slots.

    Parameters
    ----------
    clock : Clock
        The test's clock.
    slots : int
        How many requests run at once; may be changed at any time.
    queue_limit : int
        How many may wait for a slot before more are shed.
    median_ms : float
        The median of the service time; may be changed at any time.
    sigma : float, optional
        The spread of its logarithm.
    seed : int, optional
        Decides the service times.
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
        self.sheds = 0
        self.finished = 0
        self._clock = clock
        self._sigma = sigma
        self._random = random.Random(seed)
        self._slots = trio.CapacityLimiter(slots)

    @property
    def slots(self) -> int:
        """How many requests run at once."""
        return int(self._slots.total_tokens)

    @slots.setter
    def slots(self, count: int) -> None:
        self._slots.total_tokens = count

    async def run(self) -> bool:
        """Run one request; return False, at once, if it is shed."""
        if self._slots.statistics().tasks_waiting >= self.queue_limit:
            self.sheds += 1
            return False
        async with self._slots:
            spread = math.exp(self._random.gauss(0.0, self._sigma))
            await self._clock.sleep_ms(self.median_ms * spread)
        self.finished += 1
        return True
