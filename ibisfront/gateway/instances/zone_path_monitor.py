"""Acting on what is believed of the paths to other zones."""

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

_CHECK_MS = 25.0
"""How often the paths are looked at: a fifth of the time that a suspicion and its
probes take. Waking for it costs more than the look, however many paths there are."""

_PROBED_INSTANCES = 3
"""Instances of a zone that are probed: their connections cost servers nothing."""

_PROBED_SERVERS = 2
"""Backend servers that are probed besides, in case all instances are lost."""

_PROBE_TIMEOUT_MS = 300.0
"""How long a probe's connection may take to open. A lost first packet is sent
again after a second; a new probe is quicker."""


class ZonePathMonitor:
    """Probes zones that are suspect, and lets go of what waits on cut ones.

    Parameters
    ----------
    paths : ZonePaths
        What is believed.
    servers, peers : ServerRegistry
        The backend servers, and the other instances under their zone.
    counters : Counters
        Where changes are counted.
    on_change : callable
        Told when a zone is found to be cut off, or within reach again.
    clock : Clock
        The tier's clock.
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
        """Look at the paths until cancelled."""
        while True:
            due_ms = self._clock.now_ms() + _CHECK_MS
            await self._clock.sleep_ms(_CHECK_MS)
            now_ms = self._clock.now_ms()
            late_ms = now_ms - due_ms
            for path in self._paths.all():
                if late_ms > LATE_WAKE_UP_MS:
                    path.postpone(late_ms)
                else:
                    self._take_step(path, path.step(now_ms), now_ms)

    def _take_step(
        self, path: ZonePath, step: PathAction | None, now_ms: float
    ) -> None:
        match step:
            case PathAction.PROBE:
                path.record_probed(self._probe(path.zone), now_ms)
            case PathAction.CUT:
                self._let_go(path.zone)
                # Perhaps it is this zone that is cut off.
                for other in self._paths.all():
                    other.suspect()
                self._on_change()
            case PathAction.OPENED:
                self._take_back(path.zone)
                self._on_change()

    def _probe(self, zone: str) -> int:
        """Connect to some endpoints of a zone; return to how many."""
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

    def _let_go(self, zone: str) -> None:
        """End the exchanges that wait for a reply from a zone that is cut off.

        Their requests are then asked of servers elsewhere while there is time,
        or fail while their callers have time to come again.
        """
        self._counters.add(CounterKind.MEMBER_CHANGES, "zone_cut")
        ended = 0
        for registry in (self._servers, self._peers):
            for endpoint in self._endpoints(registry, zone):
                ended += endpoint.break_off()
        _LOG.warning("Zone %s is cut off from here; %d requests end.", zone, ended)

    def _take_back(self, zone: str) -> None:
        """Use a zone's endpoints again, whatever befell them during the cut."""
        self._counters.add(CounterKind.MEMBER_CHANGES, "zone_back")
        for registry in (self._servers, self._peers):
            for endpoint in self._endpoints(registry, zone):
                endpoint.forget_losses()
        _LOG.info("Zone %s is within reach again.", zone)

    def _endpoints(self, registry: ServerRegistry, zone: str) -> list[Server]:
        return [server for server in registry.servers() if server.entry.zone == zone]
