"""Weighted round robin between the services that share a route."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisfront.gateway.route_state import retain_routes

if TYPE_CHECKING:
    from collections.abc import Container

    from ibisfront.gateway.state.configuration import Route

__all__ = ["WeightedRoundRobin"]


class WeightedRoundRobin:
    """Smooth weighted round robin for each route.

    Over any sequence of requests each service's count stays within one of its
    share; random selection would be off by several percent over the few
    requests that one instance receives.
    """

    __slots__ = ("_credits",)

    def __init__(self) -> None:
        self._credits: dict[str, dict[str, float]] = {}

    def next_service(self, route: Route) -> str:
        """Return the service that gets the next request."""
        if len(route.services) == 1:
            return route.services[0].service
        names = {item.service for item in route.services}
        credits = self._credits.get(route.name)
        if credits is None or credits.keys() != names:
            credits = self._credits[route.name] = dict.fromkeys(names, 0.0)
        total = 0.0
        for item in route.services:
            credits[item.service] += item.weight
            total += item.weight
        chosen = max(route.services, key=lambda item: credits[item.service]).service
        credits[chosen] -= total
        return chosen

    def retain(self, names: Container[str]) -> None:
        """Drop the credits of all routes except these."""
        retain_routes(self._credits, names)
