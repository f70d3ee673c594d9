"""Asking an instance of another zone for the parts that stand there."""

from __future__ import annotations

from collections.abc import Container, Sequence
from typing import TYPE_CHECKING

import msgspec

from ibisfront.gateway.load.baseline_latency import BaselineLatency
from ibisfront.gateway.load.server_choice import choose_server
from ibisfront.gateway.queries.remote_call import RemotePlan
from ibisfront.gateway.route_state import retain_routes
from ibisfront.gateway.state.configuration import Gathering

if TYPE_CHECKING:
    from ibisfront.core.clock import Clock
    from ibisfront.gateway.instances.coordinators import Coordinators
    from ibisfront.gateway.servers.server import Server
    from ibisfront.gateway.servers.server_registry import ServerRegistry
    from ibisfront.gateway.state.configuration import Route

__all__ = ["Delegation"]

_LEAST_PARTS = 3
"""Parts for which another instance is asked: its one answer weighs about as
much as two parts with their headers."""

_KEPT_MS = 100.0
"""How long a finding on where a route's servers stand holds: servers come and
go in seconds."""


class _Found(msgspec.Struct, frozen=True):
    """Where the services of a query stand, until a moment."""

    gathering: Gathering
    by_zone: dict[str, tuple[str, ...]]
    until_ms: float


class Delegation:
    """Decides which services of a query to ask another instance for.

    Each part that is asked of a server in another zone costs bytes between
    zones. An instance there asks the servers next to it and sends one merged
    answer instead of all the parts.

    Parameters
    ----------
    registry : ServerRegistry
        The backend servers.
    peers : ServerRegistry
        The other instances, under their zone as the service.
    zone : str
        This instance's availability zone.
    coordinators : Coordinators
        Which instances gather.
    clock : Clock
        The tier's clock.
    """

    __slots__ = (
        "_clock",
        "_coordinators",
        "_found",
        "_latencies",
        "_peers",
        "_registry",
        "_zone",
    )

    def __init__(
        self,
        *,
        registry: ServerRegistry,
        peers: ServerRegistry,
        zone: str,
        coordinators: Coordinators,
        clock: Clock,
    ) -> None:
        self._coordinators = coordinators
        self._registry = registry
        self._peers = peers
        self._zone = zone
        self._clock = clock
        self._found: dict[str, _Found] = {}
        self._latencies: dict[str, BaselineLatency] = {}

    @property
    def uses_coordinators(self) -> bool:
        """Whether only some instances gather."""
        return self._coordinators.uses_coordinators

    def plan(self, route: Route, gathering: Gathering) -> RemotePlan | None:
        """Return whom to ask for which services; None to ask them all here."""
        if not self._coordinators.is_coordinator:
            whole = self.plan_whole(route, gathering)
            if whole is not None:
                return whole
        return self.plan_far(route, gathering)

    def plan_far(self, route: Route, gathering: Gathering) -> RemotePlan | None:
        """Return whom to ask for the services that stand elsewhere only."""
        now_ms = self._clock.now_ms()
        by_zone = self._services_by_zone(route, gathering, now_ms)
        baseline = self._baseline(route)
        candidates = [peer for zone in by_zone for peer in self._gathering_peers(zone)]
        peer = choose_server(
            candidates, [], now_ms=now_ms, baseline_ms=baseline.median_ms
        )
        if peer is None or peer.is_overdue(now_ms, baseline.late_ms):
            return None
        return RemotePlan(peer, by_zone[peer.entry.zone], baseline)

    def may_ask_twice(self, route: Route, gathering: Gathering) -> bool:
        """Return whether a query may be gathered again after an instance was lost.

        The two could together reach more servers of a service than the route allows
        attempts, unless it has no more of them.
        """
        askable = sum(
            len(self._registry.of_service(service)) <= route.attempts
            for service in gathering.services
        )
        return askable >= gathering.needed_parts

    def plan_whole(
        self, route: Route, gathering: Gathering, tried: Sequence[Server] = ()
    ) -> RemotePlan | None:
        """Return a coordinator for a whole query, of the own zone if there is one."""
        now_ms = self._clock.now_ms()
        baseline = self._baseline(route)
        zones = sorted(
            {item.zone for item in self._coordinators.instances},
            key=lambda zone: (zone != self._zone, zone),
        )
        for zone in zones:
            candidates = self._gathering_peers(zone)
            peer = choose_server(
                candidates, list(tried), now_ms=now_ms, baseline_ms=baseline.median_ms
            )
            if peer is not None and not peer.is_overdue(now_ms, baseline.late_ms):
                return RemotePlan(peer, gathering.services, baseline, is_whole=True)
        return None

    def _gathering_peers(self, zone: str) -> list[Server]:
        """Return the instances of a zone that gather and are within reach."""
        now_ms = self._clock.now_ms()
        chosen = self._coordinators.of_zone(zone)
        return [
            peer
            for peer in self._peers.of_service(zone)
            if (not chosen or peer.entry.server_id in chosen)
            and peer.is_reachable(now_ms)
            and now_ms >= peer.not_before_ms
        ]

    def keep(self, names: Container[str]) -> None:
        """Forget all routes but these."""
        retain_routes(self._latencies, names)
        retain_routes(self._found, names)

    def _baseline(self, route: Route) -> BaselineLatency:
        baseline = self._latencies.get(route.name)
        if baseline is None:
            baseline = self._latencies[route.name] = BaselineLatency(
                route.objective_ms / 2.0
            )
        return baseline

    def _services_by_zone(
        self, route: Route, gathering: Gathering, now_ms: float
    ) -> dict[str, tuple[str, ...]]:
        """Return the services that stand elsewhere only, by the best zones."""
        found = self._found.get(route.name)
        # A new version may name other services under the same route; parts of
        # both would stand in one answer if the finding outlived its version.
        is_kept = (
            found is not None
            and found.gathering is gathering
            and now_ms < found.until_ms
        )
        if found is None or not is_kept:
            by_zone = self._look(gathering, now_ms)
            found = _Found(gathering, by_zone, now_ms + _KEPT_MS)
            self._found[route.name] = found
        return found.by_zone

    def _look(self, gathering: Gathering, now_ms: float) -> dict[str, tuple[str, ...]]:
        held: dict[str, list[str]] = {}
        for service in gathering.services:
            zones = {
                server.entry.zone
                for server in self._registry.of_service(service)
                if server.is_usable and server.is_reachable(now_ms)
            }
            if self._zone in zones:
                continue
            for zone in zones:
                held.setdefault(zone, []).append(service)
        most = max((len(services) for services in held.values()), default=0)
        if most < _LEAST_PARTS:
            return {}
        return {
            zone: tuple(services)
            for zone, services in held.items()
            if len(services) == most
        }
