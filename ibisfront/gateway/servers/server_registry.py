"""The registry of the backend servers of every service."""

from __future__ import annotations

import math
from collections.abc import Callable, Collection
from typing import TYPE_CHECKING

from ibisfront.core.logs import LogPart, part_logger
from ibisfront.gateway.instances.zone_paths import ZonePaths
from ibisfront.gateway.servers.pool import ServerPool
from ibisfront.gateway.servers.server import Server
from ibisfront.gateway.servers.server_event_log import ServerEventLog

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ibisfront.core.clock import Clock
    from ibisfront.gateway.servers.server_entry import ServerEntry

__all__ = ["MAX_REMOVED_STARTS", "STALE_ENTRY_GRACE_MS", "ServerRegistry"]

_LOG = part_logger(LogPart.BACKEND)

STALE_ENTRY_GRACE_MS = 2_600.0
"""How long a server whose entry expired during a store outage stays in use after the
store recovers. Running servers renew their entries within about two seconds; one
whose entry is still missing then is gone."""

MAX_REMOVED_STARTS = 1_000
"""Removed servers whose start time is kept, to distinguish a late entry from one of a
new incarnation: entries are late by seconds, and a thousand removals take hours."""


class ServerRegistry:
    """All backend servers that may be sent requests.

    A server may restart under the same id, without any state of the previous
    process. An incarnation is therefore identified by an id and a start time, and
    observations of one incarnation do not apply to the next.

    Parameters
    ----------
    clock : Clock
        The clock.
    make_pool : callable
        Returns the connection pool of a server.
    zone : str
        This instance's availability zone.
    paths : ZonePaths, optional
        The network paths to other zones, shared by the registries of an instance.
    event_log : ServerEventLog, optional
        Logs events of servers; without it they are not logged.
    evacuated : frozenset of str or None, optional
        The evacuated zones, whose servers get no requests; None if not loaded yet.
    """

    __slots__ = (
        "_by_id",
        "_by_service",
        "_clock",
        "_complete_at_ms",
        "_evacuated",
        "_event_log",
        "_is_listed",
        "_make_pool",
        "_paths",
        "_removed_start_ms",
        "_stale",
        "_zone",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        make_pool: Callable[[Server], ServerPool],
        zone: str,
        paths: ZonePaths | None = None,
        event_log: ServerEventLog | None = None,
        evacuated: frozenset[str] | None = frozenset(),
    ) -> None:
        self._event_log = ServerEventLog(clock) if event_log is None else event_log
        self._paths = ZonePaths(zone) if paths is None else paths
        self._zone = zone
        self._clock = clock
        self._make_pool = make_pool
        self._by_id: dict[str, Server] = {}
        self._by_service: dict[str, list[Server]] = {}
        self._stale: dict[str, float] = {}
        self._complete_at_ms = -math.inf
        self._removed_start_ms: dict[str, int] = {}
        self._evacuated = evacuated
        self._is_listed = False

    @property
    def is_initialized(self) -> bool:
        """Whether the servers and the evacuated zones have been loaded."""
        return self._is_listed and self._evacuated is not None

    @property
    def evacuated(self) -> frozenset[str] | None:
        """The evacuated zones; None until they are loaded."""
        return self._evacuated

    def evacuate(self, zones: frozenset[str]) -> list[Server]:
        """Stop sending requests to the servers of exactly these zones.

        Returns
        -------
        list of Server
            The servers that may get requests again.
        """
        before = self._evacuated or frozenset()
        self._evacuated = zones
        for zone in sorted(zones - before):
            servers = self._of_zone(zone)
            for server in servers:
                server.evacuate()
            _LOG.warning("Zone %s is evacuated: %d servers.", zone, len(servers))
        released: list[Server] = []
        for zone in sorted(before - zones):
            servers = self._of_zone(zone)
            for server in servers:
                server.is_evacuated = False
            _LOG.info("Zone %s is no longer evacuated: %d servers.", zone, len(servers))
            released += servers
        return released

    def _of_zone(self, zone: str) -> list[Server]:
        return [item for item in self._by_id.values() if item.entry.zone == zone]

    def of_service(self, service: str) -> list[Server]:
        """Return the servers of a service that are not removed."""
        return self._by_service.get(service, [])

    def is_reachable(self, service: str) -> bool:
        """Return whether any usable server of a service seems reachable."""
        now_ms = self._clock.now_ms()
        return any(
            server.is_usable and server.is_reachable(now_ms)
            for server in self.of_service(service)
        )

    def probe_unreachable(self) -> None:
        """Connect to unreachable servers whose backoff has ended."""
        now_ms = self._clock.now_ms()
        for server in self._by_id.values():
            if (
                server.pool is None
                or not server.is_usable
                or server.is_behind_partition
            ):
                continue
            if not server.is_reachable(now_ms) and now_ms >= server.not_before_ms:
                server.pool.probe()

    def servers(self) -> Iterable[Server]:
        """Return all servers that are not removed."""
        return self._by_id.values()

    def stale(self) -> frozenset[str]:
        """Return the ids of servers with stale entries, which may be renewed."""
        return frozenset(self._stale)

    @property
    def may_lack_servers(self) -> bool:
        """Whether servers may be missing that have not renewed their entries yet."""
        return self._complete_at_ms > -math.inf

    def put(self, entry: ServerEntry) -> None:
        """Apply a new or changed entry; ignore one of an older incarnation."""
        self._is_listed = True
        server_id = entry.server_id
        if entry.born_ms < self._newest_start_ms(server_id):
            # An outdated read, or an instance that lags behind, may still list the
            # previous incarnation. Applying it would drop the running server and
            # send requests to a dead one.
            _LOG.info("Ignoring an entry of an earlier incarnation of %s.", server_id)
            return
        current = self._by_id.get(server_id)
        if current is not None:
            self._stale.pop(server_id, None)
            current.is_stale = False
        if current is not None and current.entry.is_same_server(entry):
            if entry.is_draining and not current.entry.is_draining:
                self._event_log.record("Draining", server_id, entry.service)
            current.update_entry(entry, self._clock.now_ms())
            return
        if current is not None:
            is_restart = entry.born_ms > current.entry.born_ms
            reason = "server restarted" if is_restart else "address or service changed"
            self._remove(server_id, reason, is_restart=is_restart)
        self._add(entry)

    def _add(self, entry: ServerEntry) -> None:
        is_near = entry.zone == self._zone
        server = Server(
            entry,
            now_ms=self._clock.now_ms(),
            is_near=is_near,
            path=self._paths.to(entry.zone),
        )
        server.pool = self._make_pool(server)
        server.is_evacuated = entry.zone in (self._evacuated or ())
        self._by_id[entry.server_id] = server
        self._by_service.setdefault(entry.service, []).append(server)
        self._event_log.record("Listed", entry.server_id, entry.service)

    def _newest_start_ms(self, server_id: str) -> int:
        """Return the latest known start of a present or removed server, or 0."""
        current = self._by_id.get(server_id)
        if current is not None:
            return current.entry.born_ms
        return self._removed_start_ms.get(server_id, 0)

    def _record_removed(self, entry: ServerEntry) -> None:
        if not entry.born_ms:
            return
        self._removed_start_ms.pop(entry.server_id, None)
        self._removed_start_ms[entry.server_id] = entry.born_ms
        if len(self._removed_start_ms) > MAX_REMOVED_STARTS:
            del self._removed_start_ms[next(iter(self._removed_start_ms))]

    def remove(self, server_id: str) -> None:
        """Apply the removal of an entry, made while the store was available."""
        self._remove(server_id, "entry deleted")

    def replace(
        self,
        entries: Iterable[ServerEntry],
        *,
        after_outage: bool,
        unreadable: Collection[str] = (),
    ) -> None:
        """Apply a full list.

        Parameters
        ----------
        entries : iterable of ServerEntry
            All entries of the store.
        after_outage : bool
            Whether the store was unavailable. Servers cannot renew their entries
            then; dropping those that are missing would leave whole services
            without a server although all of them are running.
        unreadable : collection of str
            Ids whose entries exist but cannot be decoded. They have not expired,
            and their servers are removed at once.
        """
        self._is_listed = True
        listed = {entry.server_id: entry for entry in entries}
        for entry in listed.values():
            self.put(entry)
        if after_outage:
            self._complete_at_ms = self._clock.now_ms() + STALE_ENTRY_GRACE_MS
        for server_id in [name for name in self._by_id if name not in listed]:
            if after_outage and server_id not in unreadable:
                self._stale.setdefault(server_id, self._complete_at_ms)
                self._by_id[server_id].is_stale = True
            else:
                self._remove(server_id, "no longer listed")

    def remove_stale(self) -> bool:
        """Drop servers whose entries were not renewed in time.

        Returns
        -------
        bool
            Whether the state passed on to subscribers has changed.
        """
        now_ms = self._clock.now_ms()
        due = [name for name, at_ms in self._stale.items() if at_ms <= now_ms]
        for server_id in due:
            self._remove(server_id, "entry expired and was not renewed")
        is_complete_now = self.may_lack_servers and now_ms >= self._complete_at_ms
        if is_complete_now:
            self._complete_at_ms = -math.inf
        return bool(due) or is_complete_now

    def _remove(self, server_id: str, reason: str, *, is_restart: bool = False) -> None:
        self._stale.pop(server_id, None)
        server = self._by_id.pop(server_id, None)
        if server is None:
            return
        server.is_removed = True
        self._record_removed(server.entry)
        servers = self._by_service[server.entry.service]
        servers.remove(server)
        if not servers:
            del self._by_service[server.entry.service]
        if server.pool is not None and is_restart:
            # Its process is dead and sends no more replies. Behind a partition no
            # reset arrives either, and requests would wait until their deadline.
            server.pool.retire()
        elif server.pool is not None:
            server.pool.close()
        self._event_log.record(f"Removed, {reason}", server_id, server.entry.service)
