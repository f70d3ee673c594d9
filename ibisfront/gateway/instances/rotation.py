"""Load balancer rotation, and when rejected callers should retry."""

from __future__ import annotations

import math
import random

__all__ = ["BALANCER_DETECTION_MS", "Rotation"]

BALANCER_DETECTION_MS = 2_000.0
"""Longest time the balancer takes to detect that an instance is not ready: it polls
once a second and requires two failures."""

_REROUTED_AFTER_MS = BALANCER_DETECTION_MS + 200.0
"""When a new connection reaches another zone: the other instances of the zone become
unready a little later."""

_MIN_WAIT_MS = 20.0
"""Shortest wait, once the caller's next connection goes to another zone."""

_READY_WAIT_MS = 150.0
"""Wait while the instance is still ready: the time in which a partition is detected,
or a failed server is retried."""

_JITTER_MS = 200.0
"""Jitter added to waits that would otherwise end at the same moment."""


class Rotation:
    """Computes when a rejected caller's new connection will reach another zone.

    Load pattern: a zone is partitioned, and its instances cannot serve. Callers that
    retry immediately reach the same zone, since the balancer has not reacted yet, and
    most have only one retry. With a wait until the balancer has reacted, another zone
    serves them.
    """

    __slots__ = ("_unready_since_ms",)

    def __init__(self) -> None:
        self._unready_since_ms = math.inf

    def record(self, *, is_ready: bool, now_ms: float) -> None:
        """Record whether this instance is ready for traffic from the balancer."""
        if is_ready:
            self._unready_since_ms = math.inf
        else:
            self._unready_since_ms = min(self._unready_since_ms, now_ms)

    def wait_ms(self, now_ms: float) -> float:
        """Return the delay after which a rejected caller should retry."""
        if math.isinf(self._unready_since_ms):
            return _READY_WAIT_MS
        left_ms = self._unready_since_ms + _REROUTED_AFTER_MS - now_ms
        if left_ms <= 0.0:
            return _MIN_WAIT_MS
        return left_ms + random.uniform(0.0, _JITTER_MS)
