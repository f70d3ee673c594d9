"""Asking an instance of another zone for the parts that stand there."""

from __future__ import annotations

from collections.abc import Container, Sequence
from typing import TYPE_CHECKING

import msgspec

from ibisfront.gateway.load.server_choice import choose_server
from ibisfront.gateway.load.usual_latency import UsualLatency
from ibisfront.gateway.queries.remote_call import RemotePlan
from ibisfront.gateway.route_state import keep_routes
from ibisfront.gateway.state.configuration import Gathering

if TYPE_CHECKING:
    from ibisfront.core.clock import Clock
    from ibisfront.gateway.instances.gatherers import Gatherers
    from ibisfront.gateway.servers.server import Server
    from ibisfront.gateway.servers.server_book import ServerBook
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
    book : ServerBook
        The backend servers.
    peers : ServerBook
        The other instances, under their zone as the service.
    zone : str
        This instance's availability zone.
    gatherers : Gatherers
        Which instances gather.
    clock : Clock
        The tier's clock.
    """

    __slots__ = (
        "_book",
        "_clock",
        "_found",
        "_gatherers",
        "_latencies",
        "_peers",
        "_zone",
    )

    def __init__(
        self,
        *,
        book: ServerBook,
        peers: ServerBook,
        zone: str,
        gatherers: Gatherers,
        clock: Clock,
    ) -> None:
        self._gatherers = gatherers
        self._book = book
        self._peers = peers
        self._zone = zone
        self._clock = clock
        self._found: dict[str, _Found] = {}
        self._latencies: dict[str, UsualLatency] = {}

    @property
    def is_concentrated(self) -> bool:
        """Whether only some instances gather."""
        return self._gatherers.is_concentrated

    def plan(self, route: Route, gathering: Gathering) -> RemotePlan | None:
        """Return whom to ask for which services; None to ask them all here."""
        if not self._gatherers.is_gatherer:
            whole = self.plan_whole(route, gathering)
            if whole is not None:
                return whole
        return self.plan_far(route, gathering)

    def plan_far(self, route: Route, gathering: Gathering) -> RemotePlan | None:
        """Return whom to ask for the services that stand elsewhere only."""
        now_ms = self._clock.now_ms()
        by_zone = self._services_by_zone(route, gathering, now_ms)
        usual = self._usual(route)
        candidates = [peer for zone in by_zone for peer in self._gathering_peers(zone)]
        peer = choose_server(candidates, [], now_ms=now_ms, usual_ms=usual.median_ms)
        if peer is None or peer.is_overdue(now_ms, usual.late_ms):
            return None
        return RemotePlan(peer, by_zone[peer.entry.zone], usual)

    def may_ask_twice(self, route: Route, gathering: Gathering) -> bool:
        """Return whether a query may be gathered again after an instance was lost.

        The two could together reach more servers of a service than the route allows
        attempts, unless it has no more of them.
        """
        askable = sum(
            len(self._book.of_service(service)) <= route.attempts
            for service in gathering.services
        )
        return askable >= gathering.needed_parts

    def plan_whole(
        self, route: Route, gathering: Gathering, tried: Sequence[Server] = ()
    ) -> RemotePlan | None:
        """Return a gatherer for a whole query, of the own zone if there is one."""
        now_ms = self._clock.now_ms()
        usual = self._usual(route)
        zones = sorted(
            {item.zone for item in self._gatherers.instances},
            key=lambda zone: (zone != self._zone, zone),
        )
        for zone in zones:
            candidates = self._gathering_peers(zone)
            peer = choose_server(
                candidates, list(tried), now_ms=now_ms, usual_ms=usual.median_ms
            )
            if peer is not None and not peer.is_overdue(now_ms, usual.late_ms):
                return RemotePlan(peer, gathering.services, usual, is_whole=True)
        return None

    def _gathering_peers(self, zone: str) -> list[Server]:
        """Return the instances of a zone that gather and are within reach."""
        now_ms = self._clock.now_ms()
        chosen = self._gatherers.of_zone(zone)
        return [
            peer
            for peer in self._peers.of_service(zone)
            if (not chosen or peer.entry.server_id in chosen)
            and peer.is_reachable(now_ms)
            and now_ms >= peer.not_before_ms
        ]

    def keep(self, names: Container[str]) -> None:
        """Forget all routes but these."""
        keep_routes(self._latencies, names)
        keep_routes(self._found, names)

    def _usual(self, route: Route) -> UsualLatency:
        usual = self._latencies.get(route.name)
        if usual is None:
            usual = self._latencies[route.name] = UsualLatency(route.objective_ms / 2.0)
        return usual

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
                for server in self._book.of_service(service)
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
