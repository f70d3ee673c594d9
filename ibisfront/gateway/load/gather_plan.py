"""Times at which a scatter-gather query hedges, completes and is abandoned."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from ibisfront.gateway.load.baseline_latency import BaselineLatency

__all__ = ["GatherPlan", "gather_plan"]

_LATEST_HEDGE_SHARE = 0.45
"""Latest hedge as a share of the time to a query's end, so that the second server
has time to reply."""

_LOADED_HEDGE_FACTOR = 2.0
"""Hedge delay, in baseline latencies, while there is time and requests queue at the
servers. Most late replies arrive shortly after the threshold; those still missing
after this delay are mostly from stalled servers."""

_UNLOADED_HEDGE_FACTOR = 1.5
"""Hedge delay, in baseline latencies, while the servers have free slots: a second
request is cheap, and leaves time in case its server stalls too."""

_HEDGE_TIME_FACTOR = 2.5
"""Time for a hedged request, in baseline latencies: a late reply and a connect."""

_EARLIEST_HEDGE_FACTOR = 1.2
"""Earliest hedge, in baseline latencies: more than a third of all replies arrive
shortly after the median."""

_SILENCE_FACTOR = 2.2
"""Silence, in late thresholds, after which a query without any reply is taken to be
partitioned from all of its servers; its caller still has time to try another
instance."""

_SILENCE_SHARE = 0.2
"""Lower bound of the silence, as a share of the latency objective."""

_MIN_SILENCE_MS = 30.0
"""Lower bound of the silence: a busy process may leave replies unread for longer than
a fast route's baseline latency."""

_REMOTE_GRACE_SHARE = 0.25
"""Grace period for an instance's answer, as a share of the latency objective: a
slightly late answer still contains all of its parts."""


class GatherPlan(msgspec.Struct, frozen=True):
    """Times at which a query acts.

    Attributes
    ----------
    hedge_at_ms : float
        When unanswered parts are requested from a second server.
    end_at_ms : float
        When the answer is sent with the parts received, if they suffice.
    give_up_at_ms : float
        When the query is abandoned without enough parts.
    silent_at_ms : float
        When the query is abandoned if no server has replied since its start.
    remote_silent_at_ms : float
        The same for the instance to which parts are delegated.
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
    """Return the times at which a query started at ``now_ms`` acts."""
    return GatherPlan(
        hedge_at_ms=now_ms + _hedge_after_ms(end_at_ms - now_ms, baseline),
        end_at_ms=end_at_ms,
        give_up_at_ms=give_up_at_ms,
        silent_at_ms=now_ms
        + max(
            _SILENCE_FACTOR * baseline.late_ms,
            _SILENCE_SHARE * objective_ms,
            _MIN_SILENCE_MS,
        ),
        remote_silent_at_ms=end_at_ms + _REMOTE_GRACE_SHARE * objective_ms,
    )


def _hedge_after_ms(left_ms: float, baseline: BaselineLatency) -> float:
    """Return the hedge delay, given the time until the query ends."""
    median_ms = baseline.median_ms
    factor = _LOADED_HEDGE_FACTOR if baseline.is_loaded else _UNLOADED_HEDGE_FACTOR
    delay_ms = min(factor * median_ms, left_ms - _HEDGE_TIME_FACTOR * median_ms)
    hedge_after_ms = max(baseline.late_ms, delay_ms)
    hedge_after_ms = min(hedge_after_ms, _LATEST_HEDGE_SHARE * left_ms)
    return max(hedge_after_ms, _EARLIEST_HEDGE_FACTOR * median_ms)
