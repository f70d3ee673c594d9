"""Which requests an instance that stops can still answer before its end."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ibisfront.gateway.route_state import give_up_at_ms

if TYPE_CHECKING:
    from ibisfront.gateway.load.baseline_latency import BaselineLatency
    from ibisfront.gateway.messages import InboundRequest
    from ibisfront.gateway.state.configuration import Route

__all__ = ["StopBound"]

_LONGEST_WORK_FACTOR = 4.0
"""Time that a request may take, in late latencies of its route. A late latency is 1.4
to 2.5 medians, and one request in twelve takes longer."""


class StopBound:
    """Decides which requests are admitted while an instance stops.

    Load pattern: instances are restarted in turn, and those that stop get new
    connections until their end, because too few others are in rotation. A request that
    is cut off at the end may have run; one that is rejected is served elsewhere.

    Attributes
    ----------
    at_ms : float
        When the last answer must have been sent; infinite unless the instance stops.
    """

    __slots__ = ("at_ms",)

    def __init__(self) -> None:
        self.at_ms = math.inf

    def admits(
        self,
        request: InboundRequest,
        route: Route,
        baseline: BaselineLatency,
        now_ms: float,
    ) -> bool:
        """Return whether a request can be answered in time; limit its time to that."""
        if math.isinf(self.at_ms):
            return True
        longest_ms = _LONGEST_WORK_FACTOR * baseline.late_ms
        ends_at_ms = min(give_up_at_ms(request, route), now_ms + longest_ms)
        request.ends_at_ms = self.at_ms
        return ends_at_ms <= self.at_ms
