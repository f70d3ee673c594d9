"""Choice of the coordinator of a query among those of a zone.

Load pattern: few coordinators run the queries of many instances. One is slowed for
seconds, one restarts, and each entry instance sees too few replies of its own to
notice at once. Replies carry the coordinator's load, which counts for a moment.
"""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING

import msgspec

from ibisfront.gateway.load.baseline_latency import BaselineLatency
from ibisfront.gateway.load.server_choice import choose_server

if TYPE_CHECKING:
    from collections.abc import Callable, Container, Mapping, Sequence

    from ibisfront.gateway.servers.server import Server

__all__ = ["CoordinatorChoice", "LoadReport", "QueryLoad"]

_SLOWNESS_WEIGHT = 0.15
"""Weight of one query in a coordinator's own slowness."""

_SLOWNESS_HALF_LIFE_MS = 1_000.0
"""Half-life of that slowness without queries: a coordinator that is avoided because of
it must be tried again."""

_REPORT_TTL_MS = 400.0
"""Age at which a report counts for nothing; until then it fades linearly."""

_MAX_REPORTED_FACTOR = 5.0
"""Upper bound of the cost due to a report; more is not trusted."""

_NOTICEABLE_FACTOR = 1.25
"""Reported cost below which replies neither confirm nor contradict it."""

_CONFIRMED_SHARE = 0.25
"""Share of the reported delay that a reply must show to confirm it."""

_DOUBT = 0.7
"""Factor of the credibility after a reply that contradicts the report."""

_CONFIRMATION = 0.2
"""Increase of the credibility after a reply that confirms it."""

_USUAL_WEIGHT = 0.05
"""Weight of one report in the usual number of queries per core."""

_RETURN_STEP_MS = 250.0
"""Duration of one step of the return of a coordinator that was left."""

_RETURN_STEPS = 4
"""Number of these steps, each with an equal share more."""


class LoadReport(msgspec.Struct, frozen=True):
    """Load of a coordinator when it replied.

    Attributes
    ----------
    running : int
        Number of delegated queries that it runs.
    slowness : float
        How long they take, as a multiple of the usual time.
    """

    running: int
    slowness: float


class QueryLoad:
    """Load of this instance due to queries that others delegate to it."""

    __slots__ = ("_running", "_slowness", "_slowness_at_ms", "_usual")

    def __init__(self) -> None:
        self._running = 0
        self._slowness = 1.0
        self._slowness_at_ms = 0.0
        self._usual: dict[tuple[str, bool], BaselineLatency] = {}

    def begin(self) -> None:
        """Record that a query begins."""
        self._running += 1

    def end(self) -> None:
        """Record that a query has ended in any way."""
        self._running -= 1

    def record_answer(
        self, now_ms: float, *, route: str, is_whole: bool, began_at_ms: float
    ) -> None:
        """Record an answered query."""
        took_ms = now_ms - began_at_ms
        usual = self._usual.get((route, is_whole))
        if usual is None:
            usual = self._usual[route, is_whole] = BaselineLatency(took_ms)
        usual.record_ms(took_ms)
        if math.isfinite(usual.unloaded_ms):
            ratio = min(took_ms / usual.unloaded_ms, _MAX_REPORTED_FACTOR)
            slowness = self._decayed_slowness(now_ms)
            self._slowness = slowness + _SLOWNESS_WEIGHT * (ratio - slowness)
            self._slowness_at_ms = now_ms

    def report(self, now_ms: float) -> LoadReport:
        """Return the load."""
        return LoadReport(self._running, self._decayed_slowness(now_ms))

    def retain(self, names: Container[str]) -> None:
        """Drop the state of all other routes."""
        for key in [key for key in self._usual if key[0] not in names]:
            del self._usual[key]

    def _decayed_slowness(self, now_ms: float) -> float:
        age_ms = max(now_ms - self._slowness_at_ms, 0.0)
        decay = math.exp2(-age_ms / _SLOWNESS_HALF_LIFE_MS)
        return 1.0 + (self._slowness - 1.0) * decay


class _Peer:
    """What is known of one coordinator."""

    __slots__ = ("back_at_ms", "credibility", "factor", "has_left", "reported_at_ms")

    def __init__(self) -> None:
        self.factor = 1.0
        self.reported_at_ms = -math.inf
        self.credibility = 1.0
        self.has_left = False
        self.back_at_ms = -math.inf


class CoordinatorChoice:
    """Chooses coordinators by expected completion.

    A coordinator's cost is what this instance observes, increased by what the
    coordinator reports. A report can only increase it, is forgotten within a moment,
    and is trusted only as far as the replies bear it out: a report that is wrong or
    missing leads back to the instance's own observations.

    Each instance hears only from those that it asks, so that instances do not all move
    from one coordinator to the other together.

    Parameters
    ----------
    capacities : callable
        Returns the number of cores of the instances by name.
    """

    __slots__ = ("_capacities", "_peers", "_usual_load")

    def __init__(self, capacities: Callable[[], Mapping[str, float]]) -> None:
        self._capacities = capacities
        self._peers: dict[str, _Peer] = {}
        # Smoothed number of queries per core in the reports of all coordinators.
        self._usual_load: float | None = None

    def record_report(self, name: str, report: LoadReport, now_ms: float) -> None:
        """Record the load that a coordinator reports with a reply."""
        load = report.running / self._capacity(name)
        if self._usual_load is None:
            self._usual_load = load
        queue_factor = max((1.0 + load) / (1.0 + self._usual_load), 1.0)
        self._usual_load += _USUAL_WEIGHT * (load - self._usual_load)
        peer = self._peer(name)
        factor = max(report.slowness, 1.0) * queue_factor
        peer.factor = min(factor, _MAX_REPORTED_FACTOR)
        peer.reported_at_ms = now_ms

    def record_reply(self, name: str, latency_ratio: float) -> None:
        """Compare a reply's latency with the report before it.

        Parameters
        ----------
        name : str
            The coordinator.
        latency_ratio : float
            The latency as a multiple of the baseline latency.
        """
        peer = self._peer(name)
        if peer.factor < _NOTICEABLE_FACTOR:
            return
        if latency_ratio < 1.0 + _CONFIRMED_SHARE * (peer.factor - 1.0):
            peer.credibility *= _DOUBT
        else:
            peer.credibility = min(peer.credibility + _CONFIRMATION, 1.0)

    def reported_factor(self, name: str, now_ms: float) -> float:
        """Return by how much a coordinator's report increases its cost."""
        peer = self._peer(name)
        remaining = max(1.0 - (now_ms - peer.reported_at_ms) / _REPORT_TTL_MS, 0.0)
        return 1.0 + (peer.factor - 1.0) * remaining * peer.credibility

    def choose(
        self,
        peers: Sequence[Server],
        *,
        is_available: Callable[[Server], bool],
        now_ms: float,
        baseline: BaselineLatency,
    ) -> Server | None:
        """Return the coordinator for a query, or None if none is available.

        Parameters
        ----------
        peers : sequence of Server
            The coordinators of a zone.
        is_available : callable
            Whether one may be used now; one that may not is left at once and taken
            back in steps.
        now_ms : float
            The time.
        baseline : BaselineLatency
            Baseline latency of the route's delegated queries.
        """
        available = [
            server
            for server in peers
            if self._update_return(server, now_ms, is_available=is_available(server))
        ]
        if not available:
            return None
        back = [item for item in available if self._is_taken_back(item, now_ms)]
        return choose_server(
            back or available,
            [],
            now_ms=now_ms,
            baseline_ms=baseline.median_ms,
            cost_factor=lambda server: self._cost_factor(server, now_ms, baseline),
        )

    def _cost_factor(
        self, server: Server, now_ms: float, baseline: BaselineLatency
    ) -> float:
        """Return by how much a coordinator's load increases its observed cost."""
        silence = max(server.silent_ms(now_ms) / baseline.late_ms, 1.0)
        return silence * self.reported_factor(server.entry.server_id, now_ms)

    def _update_return(
        self, server: Server, now_ms: float, *, is_available: bool
    ) -> bool:
        peer = self._peer(server.entry.server_id)
        if is_available and peer.has_left:
            peer.back_at_ms = now_ms
        peer.has_left = not is_available
        return is_available

    def _is_taken_back(self, server: Server, now_ms: float) -> bool:
        """Return whether one that was left may have this query, at random."""
        peer = self._peer(server.entry.server_id)
        steps = math.floor(min((now_ms - peer.back_at_ms) / _RETURN_STEP_MS, 8.0)) + 1
        return random.random() * _RETURN_STEPS < steps

    def _capacity(self, name: str) -> float:
        return max(self._capacities().get(name, 1.0), 0.01)

    def _peer(self, name: str) -> _Peer:
        peer = self._peers.get(name)
        if peer is None:
            peer = self._peers[name] = _Peer()
        return peer
