"""What was measured of each route, and how long its callers wait."""

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
    "caller_until_ms",
    "give_up_at_ms",
    "keep_routes",
]

_T = TypeVar("_T")

_DEFAULT_DEADLINE_MS = 10_000.0
"""How long a caller waits that does not say; the route's timeout is less."""

_FIRST_GUESS_SHARE = 0.15
"""The baseline latency before any reply was seen, as a share of the objective."""

_WORK_MARGIN_MS = 3.0
"""What this process needs from the last part to the last byte of an answer."""

_GIVE_UP_MARGIN_MS = 15.0
"""How long before its caller's time is up a request gets its final answer."""


def keep_routes(by_name: dict[str, _T], names: Container[str]) -> None:
    """Forget what is kept of all routes but these.

    Routes come and go with each version; what is kept of those that are gone
    would add up for as long as the process lives.
    """
    for name in [name for name in by_name if name not in names]:
        del by_name[name]


class RouteState:
    """What was measured of one route.

    Parameters
    ----------
    route : Route
        The route.

    Attributes
    ----------
    baseline : BaselineLatency
        The baseline latency of its sub-requests.
    """

    __slots__ = ("_longest_deadline_ms", "baseline")

    def __init__(self, route: Route) -> None:
        self.baseline = BaselineLatency(route.objective_ms * _FIRST_GUESS_SHARE)
        self._longest_deadline_ms = 0.0

    def objective_at_ms(self, request: InboundRequest, route: Route) -> float:
        """Return until when an answer has its full worth.

        A caller that comes again says so only by a shorter deadline: what it
        has lost of the longest one seen was spent on earlier attempts. Past
        the objective any answer has the same small worth, and the time is
        infinite.
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
    """The states of all routes, by name: a new version keeps what was measured."""

    __slots__ = ("_by_name",)

    def __init__(self) -> None:
        self._by_name: dict[str, RouteState] = {}

    def of(self, route: Route) -> RouteState:
        """Return the state of a route."""
        state = self._by_name.get(route.name)
        if state is None:
            state = self._by_name[route.name] = RouteState(route)
        return state

    def keep(self, names: Container[str]) -> None:
        """Forget all routes but these."""
        keep_routes(self._by_name, names)


def caller_until_ms(request: InboundRequest, route: Route) -> float:
    """Return until when the caller waits, or may be kept waiting."""
    deadline_ms = request.deadline_ms
    if deadline_ms is None:
        deadline_ms = _DEFAULT_DEADLINE_MS
    return request.arrived_at_ms + min(deadline_ms, route.timeout_ms)


def give_up_at_ms(request: InboundRequest, route: Route) -> float:
    """Return when a request gets its final answer, so that it arrives in time."""
    return caller_until_ms(request, route) - request.network_ms - _GIVE_UP_MARGIN_MS
