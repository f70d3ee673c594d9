"""When a gathered query hedges, ends and gives up."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from ibisfront.gateway.load.baseline_latency import BaselineLatency

__all__ = ["GatherPlan", "gather_plan"]

_LATEST_HEDGE_SHARE = 0.45
"""Share of the time to a query's end by which late parts are hedged, so that
the second server has time to reply."""

_LOADED_HEDGE_FACTOR = 2.0
"""Baseline latencies for which late parts are waited for while there is time and
requests wait in queues at the servers. Most replies that are just late come a moment
later; what is left after this mostly stands still."""

_CALM_HEDGE_FACTOR = 1.5
"""The same while the servers have free slots: a second request costs them little, and
leaves time in case its server stands still too."""

_HEDGE_TIME_FACTOR = 2.5
"""Baseline latencies that a hedged request needs: a late reply, and a connection."""

_EARLIEST_HEDGE_FACTOR = 1.2
"""No part is hedged before this many baseline latencies: more than a third of all
replies still come in the next moment."""

_SILENCE_FACTOR = 2.2
"""A query of which no part has come after this many times the latency at which
one is late is cut off from all of its servers; its caller is told while there
is time to go elsewhere."""

_SILENCE_SHARE = 0.2
"""The least share of the objective that counts as silence."""

_SILENCE_LEAST_MS = 30.0
"""The least silence that counts: a busy process leaves replies of a fast route
unread for longer than the route usually takes."""

_REMOTE_GRACE_SHARE = 0.25
"""Share of the objective for which an instance's answer may be overdue: one
that is just late brings all of its parts."""


class GatherPlan(msgspec.Struct, frozen=True):
    """When a query acts.

    Attributes
    ----------
    hedge_at_ms : float
        When unanswered parts are asked of a second server.
    end_at_ms : float
        When the answer is sent with the parts that are in, if they suffice.
    give_up_at_ms : float
        When it is given up without enough parts.
    silent_at_ms : float
        When it is given up if no server has replied anything since it began.
    remote_silent_at_ms : float
        The same for another instance that is asked for parts.
    """

    hedge_at_ms: float
    end_at_ms: float
    give_up_at_ms: float
    silent_at_ms: float
    remote_silent_at_ms: float


def gather_plan(
    now_ms: float,
    *,
    end_at_ms: float,
    give_up_at_ms: float,
    baseline: BaselineLatency,
    objective_ms: float,
) -> GatherPlan:
    """Return when a query acts that ends at a given time."""
    return GatherPlan(
        hedge_at_ms=now_ms + _hedge_after_ms(end_at_ms - now_ms, baseline),
        end_at_ms=end_at_ms,
        give_up_at_ms=give_up_at_ms,
        silent_at_ms=now_ms
        + max(
            _SILENCE_FACTOR * baseline.late_ms,
            _SILENCE_SHARE * objective_ms,
            _SILENCE_LEAST_MS,
        ),
        remote_silent_at_ms=end_at_ms + _REMOTE_GRACE_SHARE * objective_ms,
    )


def _hedge_after_ms(left_ms: float, baseline: BaselineLatency) -> float:
    """Return when to hedge late parts, given the time until the query ends."""
    median_ms = baseline.median_ms
    factor = _LOADED_HEDGE_FACTOR if baseline.is_loaded else _CALM_HEDGE_FACTOR
    patient_ms = min(factor * median_ms, left_ms - _HEDGE_TIME_FACTOR * median_ms)
    hedge_ms = max(baseline.late_ms, patient_ms)
    hedge_ms = min(hedge_ms, _LATEST_HEDGE_SHARE * left_ms)
    return max(hedge_ms, _EARLIEST_HEDGE_FACTOR * median_ms)
