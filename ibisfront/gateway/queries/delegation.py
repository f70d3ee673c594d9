"""Delegation of parts of a query to an instance in their zone."""

from __future__ import annotations

from collections.abc import Callable, Container, Sequence
from typing import TYPE_CHECKING

import msgspec

from ibisfront.gateway.load.baseline_latency import BaselineLatency
from ibisfront.gateway.load.coordinator_load import CoordinatorChoice, QueryLoad
from ibisfront.gateway.load.coordinator_room import (
    CoordinatorRoom,
    preferred_peers,
)
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

_MIN_DELEGATED_PARTS = 3
"""Fewest parts worth delegating: one merged answer is about as large as two parts
with their headers."""

_PLACEMENT_TTL_MS = 100.0
"""How long a route's placement is cached: servers join and leave within seconds."""


class _Placement(msgspec.Struct, frozen=True):
    """Cached zones of the services of a query."""

    gathering: Gathering
    by_zone: dict[str, tuple[str, ...]]
    valid_until_ms: float


class Delegation:
    """Decides which services of a query to delegate to another instance.

    Each part requested from a server in another zone costs traffic between
    zones. An instance there queries the servers of its zone and sends one merged
    answer instead of all the parts.

    Parameters
    ----------
    registry : ServerRegistry
        The backend servers.
    peers : ServerRegistry
        The other instances, with their zone as the service.
    zone : str
        This instance's availability zone.
    coordinators : Coordinators
        The instances that run scatter-gather queries.
    clock : Clock
        The tier's clock.

    Attributes
    ----------
    load : QueryLoad
        Load of this instance due to queries that others delegate to it.
    """

    __slots__ = (
        "_baselines",
        "_choice",
        "_clock",
        "_coordinators",
        "_peers",
        "_placements",
        "_registry",
        "_room",
        "_zone",
        "load",
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
        self._room = CoordinatorRoom()
        self._placements: dict[str, _Placement] = {}
        self._baselines: dict[str, BaselineLatency] = {}
        self._choice = CoordinatorChoice(lambda: coordinators.capacities)
        self.load = QueryLoad()

    @property
    def uses_coordinators(self) -> bool:
        """Whether only some instances run scatter-gather."""
        return self._coordinators.uses_coordinators

    def plan(
        self, route: Route, gathering: Gathering, *, identity: Callable[[], bytes]
    ) -> RemotePlan | None:
        """Return what to delegate; None to query all services from here.

        Parameters
        ----------
        route : Route
            The route.
        gathering : Gathering
            The services and the minimum coverage.
        identity : callable
            Returns what the attempts of the caller have in common.
        """
        if not self._coordinators.is_coordinator:
            whole_plan = self.plan_whole_query(route, gathering, identity=identity)
            if whole_plan is not None:
                return whole_plan
        return self.plan_remote_zone(route, gathering)

    def plan_remote_zone(self, route: Route, gathering: Gathering) -> RemotePlan | None:
        """Return a plan for the services that exist in other zones only."""
        now_ms = self._clock.now_ms()
        by_zone = self._services_by_zone(route, gathering, now_ms)
        baseline = self._baseline(route)
        candidates = [peer for zone in by_zone for peer in self._available_peers(zone)]
        peer = choose_server(
            candidates, [], now_ms=now_ms, baseline_ms=baseline.median_ms
        )
        if peer is None or peer.is_overdue(now_ms, baseline.late_ms):
            return None
        return RemotePlan(peer, by_zone[peer.entry.zone], baseline)

    def may_retry(self, route: Route, gathering: Gathering) -> bool:
        """Return whether a query may be retried after its coordinator was lost.

        The two runs together could reach more servers of a service than the route
        allows attempts, unless the service has no more servers than that.
        """
        retryable = sum(
            len(self._registry.of_service(service)) <= route.attempts
            for service in gathering.services
        )
        return retryable >= gathering.needed_parts

    def record_no_room(self, peer: Server, room_at_ms: float) -> None:
        """Record that a coordinator has no room until a time."""
        now_ms = self._clock.now_ms()
        self._room.record_no_room(peer.entry.server_id, room_at_ms, now_ms)

    def plan_whole_query(
        self,
        route: Route,
        gathering: Gathering,
        tried: Sequence[Server] = (),
        *,
        identity: Callable[[], bytes] | None = None,
    ) -> RemotePlan | None:
        """Return a plan for a whole query, preferring coordinators of this zone.

        While coordinators refuse for lack of room, a caller is sent to the one that
        keeps its place, and from there only to those that may have room.
        """
        now_ms = self._clock.now_ms()
        baseline = self._baseline(route)
        zones = sorted(
            {item.zone for item in self._coordinators.instances},
            key=lambda zone: (zone != self._zone, zone),
        )
        for zone in zones:
            peer = self._choose_coordinator(zone, tried, baseline, now_ms, identity)
            if peer is not None:
                return RemotePlan(
                    peer,
                    gathering.services,
                    baseline,
                    is_whole=True,
                    choice=self._choice,
                )
        return None

    def _choose_coordinator(
        self,
        zone: str,
        tried: Sequence[Server],
        baseline: BaselineLatency,
        now_ms: float,
        identity: Callable[[], bytes] | None,
    ) -> Server | None:
        """Return the coordinator of a zone for a query, or None."""
        available = [
            peer
            for peer in self._available_peers(zone)
            if peer.is_usable
            and peer.can_accept(now_ms)
            and not peer.is_overdue(now_ms, baseline.late_ms)
        ]
        candidates = [peer for peer in self._coordinators_of(zone) if peer not in tried]
        if self._room.is_scarce(now_ms):
            if tried:
                candidates = self._room.with_room(candidates, now_ms)
            elif identity is not None:
                candidates = preferred_peers(available, identity())
        return self._choice.choose(
            candidates,
            is_available=available.__contains__,
            now_ms=now_ms,
            baseline=baseline,
        )

    def _available_peers(self, zone: str) -> list[Server]:
        """Return the available instances of a zone that run scatter-gather."""
        now_ms = self._clock.now_ms()
        return [
            peer
            for peer in self._coordinators_of(zone)
            if peer.is_reachable(now_ms) and now_ms >= peer.not_before_ms
        ]

    def _coordinators_of(self, zone: str) -> list[Server]:
        """Return the instances of a zone that run scatter-gather."""
        coordinator_ids = self._coordinators.of_zone(zone)
        return [
            peer
            for peer in self._peers.of_service(zone)
            if not coordinator_ids or peer.entry.server_id in coordinator_ids
        ]

    def retain(self, names: Container[str]) -> None:
        """Drop the state of all other routes."""
        retain_routes(self._baselines, names)
        self.load.retain(names)
        retain_routes(self._placements, names)

    def _baseline(self, route: Route) -> BaselineLatency:
        baseline = self._baselines.get(route.name)
        if baseline is None:
            baseline = self._baselines[route.name] = BaselineLatency(
                route.objective_ms / 2.0
            )
        return baseline

    def _services_by_zone(
        self, route: Route, gathering: Gathering, now_ms: float
    ) -> dict[str, tuple[str, ...]]:
        """Return services of other zones only, for the zones with the most of them."""
        placement = self._placements.get(route.name)
        # A new version may list other services for the same route; a placement used
        # beyond its version would mix parts of both in one answer.
        is_valid = (
            placement is not None
            and placement.gathering is gathering
            and now_ms < placement.valid_until_ms
        )
        if placement is None or not is_valid:
            by_zone = self._locate_services(gathering, now_ms)
            placement = _Placement(gathering, by_zone, now_ms + _PLACEMENT_TTL_MS)
            self._placements[route.name] = placement
        return placement.by_zone

    def _locate_services(
        self, gathering: Gathering, now_ms: float
    ) -> dict[str, tuple[str, ...]]:
        services_by_zone: dict[str, list[str]] = {}
        for service in gathering.services:
            zones = {
                server.entry.zone
                for server in self._registry.of_service(service)
                if server.is_usable and server.is_reachable(now_ms)
            }
            if self._zone in zones:
                continue
            for zone in zones:
                services_by_zone.setdefault(zone, []).append(service)
        max_parts = max(
            (len(services) for services in services_by_zone.values()), default=0
        )
        if max_parts < _MIN_DELEGATED_PARTS:
            return {}
        return {
            zone: tuple(services)
            for zone, services in services_by_zone.items()
            if len(services) == max_parts
        }
