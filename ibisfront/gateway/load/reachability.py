"""Which routes can be served with the servers that seem to be there."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ibisfront.gateway.route_state import keep_routes

if TYPE_CHECKING:
    from collections.abc import Container

    from ibisfront.core.clock import Clock
    from ibisfront.gateway.servers.server_registry import ServerRegistry
    from ibisfront.gateway.state.configuration import Route, RouteTable

__all__ = ["Reachability"]

_KEPT_MS = 40.0
"""How long a finding holds: looking at forty servers for each request would
cost about as much as sending to two of them."""

_FRESH_MS = 500.0
"""A reply or a new connection this recent shows that the path is open."""

_CUT_SERVERS = 3
"""So many servers of other zones out of reach, and none that shows life, mean
that it is the path that is cut, and not the servers that have failed."""


class _Found(msgspec.Struct, frozen=True):
    """Whether a route can be served, until a moment."""

    route: Route
    can_serve: bool
    until_ms: float


class Reachability:
    """Tells routes that cannot be served, and an instance that is cut off.

    An instance in a zone that is cut off from all servers would keep every
    caller waiting until its time is up. Refused at once, a caller can go to
    another instance; and once the balancer hears that this one is not ready,
    it sends callers to other zones.

    Parameters
    ----------
    registry : ServerRegistry
        The servers.
    clock : Clock
        The tier's clock.
    """

    __slots__ = ("_clock", "_found", "_registry")

    def __init__(self, *, registry: ServerRegistry, clock: Clock) -> None:
        self._registry = registry
        self._clock = clock
        self._found: dict[str, _Found] = {}

    def can_serve(self, route: Route) -> bool:
        """Return whether enough of a route's services are within reach."""
        now_ms = self._clock.now_ms()
        found = self._found.get(route.name)
        if found is None or now_ms >= found.until_ms or found.route is not route:
            found = _Found(route, self._look(route), now_ms + _KEPT_MS)
            self._found[route.name] = found
        return found.can_serve

    def keep(self, names: Container[str]) -> None:
        """Forget what was found of all routes but these."""
        keep_routes(self._found, names)

    def is_isolated(self, table: RouteTable) -> bool:
        """Return whether this instance is cut off and cannot serve for it.

        A service that is down everywhere must not look like this: every
        instance would report itself not ready at once.

        One route of each target is looked at, as there may be thousands of routes and
        this is told with each answer to a follower.
        """
        if all(self.can_serve(route) for route in table.distinct_routes):
            return False
        if self._are_all_paths_partitioned():
            return True
        now_ms = self._clock.now_ms()
        cut = 0
        for server in self._registry.servers():
            if server.is_near or not server.is_usable:
                continue
            if now_ms - server.last_seen_ms < _FRESH_MS:
                return False
            cut += not server.is_reachable(now_ms)
        return cut >= _CUT_SERVERS

    def _are_all_paths_partitioned(self) -> bool:
        """Return whether there are servers in other zones, all behind a cut."""
        has_far = False
        for server in self._registry.servers():
            if server.is_near or not server.is_usable:
                continue
            if not server.is_behind_partition:
                return False
            has_far = True
        return has_far

    def _look(self, route: Route) -> bool:
        names = route.service_names
        reached = sum(self._registry.is_reachable(name) for name in names)
        if route.gathering is None:
            return reached > 0
        return reached >= route.gathering.minimum_coverage * len(names) - 1e-9
