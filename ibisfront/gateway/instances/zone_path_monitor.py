"""Monitoring of the network paths to other zones."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import TYPE_CHECKING

from ibisfront.core.clock import LATE_WAKE_UP_MS
from ibisfront.core.counters import CounterKind
from ibisfront.core.logs import LogPart, part_logger
from ibisfront.gateway.instances.zone_paths import PathAction

if TYPE_CHECKING:
    from ibisfront.core.clock import Clock
    from ibisfront.core.counters import Counters
    from ibisfront.gateway.instances.zone_paths import ZonePath, ZonePaths
    from ibisfront.gateway.servers.server import Server
    from ibisfront.gateway.servers.server_registry import ServerRegistry

__all__ = ["ZonePathMonitor"]

_LOG = part_logger(LogPart.MEMBERS)

_EVALUATION_INTERVAL_MS = 25.0
"""Interval between evaluations: a fifth of the time from a suspicion to the result of
its probes. The wake-up costs more than the evaluation of all paths."""

_PROBED_INSTANCES = 3
"""Instances of a zone that are probed, at no cost to backend servers."""

_PROBED_SERVERS = 2
"""Backend servers that are also probed, in case all instances have failed."""

_PROBE_TIMEOUT_MS = 300.0
"""Connect timeout of a probe. A lost SYN is retransmitted after a second; a new probe
is faster."""


class ZonePathMonitor:
    """Probes suspect zones, and fails requests in flight to partitioned ones.

    Parameters
    ----------
    paths : ZonePaths
        The state of the paths.
    servers, peers : ServerRegistry
        The backend servers, and the other instances as servers of their zone.
    counters : Counters
        Counts changes of state.
    on_change : callable
        Called when a zone becomes partitioned or reachable again.
    clock : Clock
        The clock.
    """

    __slots__ = ("_clock", "_counters", "_on_change", "_paths", "_peers", "_servers")

    def __init__(
        self,
        *,
        paths: ZonePaths,
        servers: ServerRegistry,
        peers: ServerRegistry,
        counters: Counters,
        on_change: Callable[[], None],
        clock: Clock,
    ) -> None:
        self._paths = paths
        self._servers = servers
        self._peers = peers
        self._counters = counters
        self._on_change = on_change
        self._clock = clock

    async def run(self) -> None:
        """Evaluate the paths until cancelled."""
        while True:
            due_ms = self._clock.now_ms() + _EVALUATION_INTERVAL_MS
            await self._clock.sleep_ms(_EVALUATION_INTERVAL_MS)
            now_ms = self._clock.now_ms()
            late_ms = now_ms - due_ms
            for path in self._paths.all():
                if late_ms > LATE_WAKE_UP_MS:
                    path.extend_deadlines(late_ms)
                else:
                    self._apply_action(path, path.evaluate(now_ms), now_ms)

    def _apply_action(
        self, path: ZonePath, action: PathAction | None, now_ms: float
    ) -> None:
        match action:
            case PathAction.PROBE:
                path.record_probes(self._probe(path.zone), now_ms)
            case PathAction.PARTITIONED:
                self._fail_requests(path.zone)
                # The partitioned zone may be this one.
                for other in self._paths.all():
                    other.mark_suspect()
                self._on_change()
            case PathAction.RESTORED:
                self._restore(path.zone)
                self._on_change()

    def _probe(self, zone: str) -> int:
        """Open connections to some endpoints of a zone; return how many."""
        peers = self._endpoints(self._peers, zone)
        servers = self._endpoints(self._servers, zone)
        random.shuffle(peers)
        random.shuffle(servers)
        probed = peers[:_PROBED_INSTANCES] + servers[:_PROBED_SERVERS]
        return sum(
            endpoint.pool.probe(timeout_ms=_PROBE_TIMEOUT_MS)
            for endpoint in probed
            if endpoint.pool is not None
        )

    def _fail_requests(self, zone: str) -> None:
        """Fail the exchanges in flight to a partitioned zone.

        Their requests are then retried in other zones while there is time, or fail
        while their callers still have time to retry.
        """
        self._counters.add(CounterKind.MEMBER_CHANGES, "zone_cut")
        ended = 0
        for registry in (self._servers, self._peers):
            for endpoint in self._endpoints(registry, zone):
                ended += endpoint.fail_in_flight()
        _LOG.warning(
            "Zone %s is unreachable; failing %d requests in flight.", zone, ended
        )

    def _restore(self, zone: str) -> None:
        """Use a zone's endpoints again, ignoring failures during the partition."""
        self._counters.add(CounterKind.MEMBER_CHANGES, "zone_back")
        for registry in (self._servers, self._peers):
            for endpoint in self._endpoints(registry, zone):
                endpoint.clear_failures()
        _LOG.info("Zone %s is reachable again.", zone)

    def _endpoints(self, registry: ServerRegistry, zone: str) -> list[Server]:
        return [server for server in registry.servers() if server.entry.zone == zone]
