"""Room that a service's servers have for one more request."""

from __future__ import annotations

import math

import msgspec

__all__ = ["ServiceRoom"]


class ServiceRoom(msgspec.Struct, frozen=True):
    """What this instance expects of a service, from its own exchanges.

    Attributes
    ----------
    wait_ms : float
        Expected time until a server starts one more request of the given rank; 0 with
        a free slot, infinite without a usable server.
    interval_ms : float
        Mean time between two starts by this instance while all its slots are in use.
    waiting : int
        Requests of this instance that wait for a slot.
    """

    wait_ms: float = 0.0
    interval_ms: float = 0.0
    waiting: int = 0

    @property
    def is_usable(self) -> bool:
        """Whether any server can start the request."""
        return math.isfinite(self.wait_ms)
