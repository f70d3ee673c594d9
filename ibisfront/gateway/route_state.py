"""Measurements per route, and the deadlines of its callers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, TypeVar

from ibisfront.gateway.load.baseline_latency import BaselineLatency

if TYPE_CHECKING:
    from collections.abc import Container

    from ibisfront.gateway.messages import InboundRequest
    from ibisfront.gateway.state.configuration import Route

__all__ = [
    "RouteState",
    "RouteStates",
    "caller_deadline_at_ms",
    "give_up_at_ms",
    "rank_of",
    "retain_routes",
]

_T = TypeVar("_T")

_DEFAULT_DEADLINE_MS = 10_000.0
"""Deadline of a caller that sends none; the route's timeout is shorter."""

_INITIAL_BASELINE_SHARE = 0.15
"""Initial baseline latency, as a share of the latency objective."""

_WORK_MARGIN_MS = 3.0
"""Time that this process needs from the last part to the last byte of an answer."""

_GIVE_UP_MARGIN_MS = 15.0
"""Time before its caller's deadline at which a request gets its final answer."""


def retain_routes(by_name: dict[str, _T], names: Container[str]) -> None:
    """Delete the entries of all routes except these.

    Routes are added and removed with each version; entries of removed routes would
    accumulate for the lifetime of the process.
    """
    for name in [name for name in by_name if name not in names]:
        del by_name[name]


class RouteState:
    """Measurements of one route.

    Parameters
    ----------
    route : Route
        The route.

    Attributes
    ----------
    baseline : BaselineLatency
        Baseline latency of its sub-requests.
    """

    __slots__ = ("_longest_deadline_ms", "baseline")

    def __init__(self, route: Route) -> None:
        self.baseline = BaselineLatency(route.objective_ms * _INITIAL_BASELINE_SHARE)
        self._longest_deadline_ms = 0.0

    def objective_at_ms(self, request: InboundRequest, route: Route) -> float:
        """Return the latest time at which an answer meets the latency objective.

        A caller's retry shows only in a shorter deadline: the difference from the
        longest one seen was spent on earlier attempts. If the objective can no
        longer be met, all answers have the same low value, and the time is infinite.
        """
        deadline_ms = request.deadline_ms
        spent_ms = 0.0
        if deadline_ms is not None:
            self._longest_deadline_ms = max(self._longest_deadline_ms, deadline_ms)
            spent_ms = self._longest_deadline_ms - deadline_ms
        left_ms = route.objective_ms - spent_ms - request.network_ms - _WORK_MARGIN_MS
        if left_ms < self.baseline.median_ms:
            return math.inf
        return request.arrived_at_ms + left_ms


class RouteStates:
    """States of all routes by name; measurements persist across versions."""

    __slots__ = ("_by_name",)

    def __init__(self) -> None:
        self._by_name: dict[str, RouteState] = {}

    def for_route(self, route: Route) -> RouteState:
        """Return the state of a route; create it if needed."""
        state = self._by_name.get(route.name)
        if state is None:
            state = self._by_name[route.name] = RouteState(route)
        return state

    def retain(self, names: Container[str]) -> None:
        """Drop the states of all routes except these."""
        retain_routes(self._by_name, names)


def rank_of(request: InboundRequest, route: Route) -> int:
    """Return the priority of a request: that of its workspace before its route's."""
    return route.rank if request.rank is None else request.rank


def caller_deadline_at_ms(request: InboundRequest, route: Route) -> float:
    """Return when the caller's deadline or the route's timeout expires.

    If this instance stops, it is not later than its end.
    """
    deadline_ms = request.deadline_ms
    if deadline_ms is None:
        deadline_ms = _DEFAULT_DEADLINE_MS
    at_ms = request.arrived_at_ms + min(deadline_ms, route.timeout_ms)
    return min(at_ms, request.ends_at_ms)


def give_up_at_ms(request: InboundRequest, route: Route) -> float:
    """Return when a request gets its final answer, so that it arrives in time."""
    return (
        caller_deadline_at_ms(request, route) - request.network_ms - _GIVE_UP_MARGIN_MS
    )
