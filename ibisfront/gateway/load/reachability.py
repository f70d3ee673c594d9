"""Detection of routes without enough reachable servers, and of partitions."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ibisfront.gateway.route_state import retain_routes

if TYPE_CHECKING:
    from collections.abc import Container

    from ibisfront.core.clock import Clock
    from ibisfront.gateway.servers.server_registry import ServerRegistry
    from ibisfront.gateway.state.configuration import Route, RouteTable

__all__ = ["Reachability"]

_CACHE_MS = 40.0
"""Lifetime of a cached result: evaluating forty servers for each request would cost
about as much as sending to two of them."""

_RECENT_MS = 500.0
"""Age up to which a reply or a new connection shows that the network path works."""

_MIN_UNREACHABLE_SERVERS = 3
"""With this many unreachable servers in other zones and none that responds, the
network path is taken to be partitioned, rather than the servers to have failed."""


class _CachedResult(msgspec.Struct, frozen=True):
    """Cached result of whether a route can be served."""

    route: Route
    can_serve: bool
    expiry_ms: float


class Reachability:
    """Detects routes that cannot be served and an instance that is partitioned.

    An instance in a zone that is partitioned from all servers would keep every
    caller waiting until its deadline. Refused at once, a caller can try
    another instance; and once this one fails the balancer's readiness check,
    callers are sent to other zones.

    Parameters
    ----------
    registry : ServerRegistry
        The backend servers.
    clock : Clock
        The tier's clock.
    """

    __slots__ = ("_cache", "_clock", "_registry")

    def __init__(self, *, registry: ServerRegistry, clock: Clock) -> None:
        self._registry = registry
        self._clock = clock
        self._cache: dict[str, _CachedResult] = {}

    def can_serve(self, route: Route) -> bool:
        """Return whether enough of a route's services are reachable."""
        now_ms = self._clock.now_ms()
        cached = self._cache.get(route.name)
        if cached is None or now_ms >= cached.expiry_ms or cached.route is not route:
            cached = _CachedResult(route, self._evaluate(route), now_ms + _CACHE_MS)
            self._cache[route.name] = cached
        return cached.can_serve

    def retain(self, names: Container[str]) -> None:
        """Drop the cached results of all routes except these."""
        retain_routes(self._cache, names)

    def is_partitioned(self, table: RouteTable) -> bool:
        """Return whether this instance is partitioned and cannot serve the routes.

        A service that is down everywhere must not count as a partition: every
        instance would report itself not ready at once.

        One route per target is evaluated, as there may be thousands of routes and
        the result is part of each answer to a subscriber.
        """
        if all(self.can_serve(route) for route in table.distinct_routes):
            return False
        if self._are_all_paths_partitioned():
            return True
        now_ms = self._clock.now_ms()
        unreachable = 0
        for server in self._registry.servers():
            if server.is_near or not server.is_usable:
                continue
            if now_ms - server.last_seen_at_ms < _RECENT_MS:
                return False
            unreachable += not server.is_reachable(now_ms)
        return unreachable >= _MIN_UNREACHABLE_SERVERS

    def _are_all_paths_partitioned(self) -> bool:
        """Return whether there are servers in other zones, all behind a partition."""
        has_remote = False
        for server in self._registry.servers():
            if server.is_near or not server.is_usable:
                continue
            if not server.is_behind_partition:
                return False
            has_remote = True
        return has_remote

    def _evaluate(self, route: Route) -> bool:
        names = route.service_names
        reachable = sum(self._registry.is_reachable(name) for name in names)
        if route.gathering is None:
            return reachable > 0
        return reachable >= route.gathering.minimum_coverage * len(names) - 1e-9
