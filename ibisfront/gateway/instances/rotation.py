"""When the balancer sends callers elsewhere."""

from __future__ import annotations

import math
import random

__all__ = ["NOTICED_AFTER_MS", "Rotation"]

NOTICED_AFTER_MS = 2_000.0
"""How long the balancer may take to notice that an instance is not ready: it asks
once a second and needs two misses."""

_OUT_AFTER_MS = NOTICED_AFTER_MS + 200.0
"""When a new connection reaches another zone: the other instances of the zone know a
little later."""

_LEAST_WAIT_MS = 20.0
"""The shortest wait that is told: the caller's next connection goes elsewhere
already."""

_UNDECIDED_WAIT_MS = 150.0
"""What is told while the instance is still ready: the time in which a cut path is
found, or a server that has failed is tried again."""

_SPREAD_MS = 200.0
"""Over how long those are spread that would all come back at the same moment."""


class Rotation:
    """Tells refused callers when a new connection reaches another zone.

    Load pattern: a zone is cut off, and its instances cannot serve. Callers
    that are told to come back at once meet the same zone, as the balancer has
    not noticed yet; most have one more try only. Told when the balancer will
    have moved, they are served by another zone.
    """

    __slots__ = ("_unready_since_ms",)

    def __init__(self) -> None:
        self._unready_since_ms = math.inf

    def record(self, *, is_ready: bool, now_ms: float) -> None:
        """Take in whether the balancer may send callers here now."""
        if is_ready:
            self._unready_since_ms = math.inf
        else:
            self._unready_since_ms = min(self._unready_since_ms, now_ms)

    def wait_ms(self, now_ms: float) -> float:
        """Return in how many milliseconds a refused caller should come back."""
        if math.isinf(self._unready_since_ms):
            return _UNDECIDED_WAIT_MS
        left_ms = self._unready_since_ms + _OUT_AFTER_MS - now_ms
        if left_ms <= 0.0:
            return _LEAST_WAIT_MS
        return left_ms + random.uniform(0.0, _SPREAD_MS)
