"""The backend servers of every service, as the store lists them."""

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

__all__ = ["BIRTHS_KEPT", "STALE_ENTRY_GRACE_MS", "ServerRegistry"]

_LOG = part_logger(LogPart.BACKEND)

STALE_ENTRY_GRACE_MS = 2_600.0
"""How long a server whose entry lapsed while the store was away stays in use
after the store is back: live servers write theirs again within about two
seconds; what is missing then has gone."""

BIRTHS_KEPT = 1_000
"""Servers that are gone whose start is remembered, so that an entry that comes late
is told from that of a new one: one is seconds late, and a thousand leave in hours."""


class ServerRegistry:
    """Every backend server that may be asked.

    A server may start again under the id that it had. It knows nothing of
    before; an incarnation is therefore an id and the time of its start, and
    what was learnt of one says nothing of the next.

    Parameters
    ----------
    clock : Clock
        The tier's clock.
    make_pool : callable
        Makes the connections of a server.
    zone : str
        This instance's availability zone.
    paths : ZonePaths, optional
        The paths to other zones, which the registries of an instance share.
    event_log : ServerEventLog, optional
        Logs what befalls servers; without it nothing is told.
    evacuated : frozenset of str or None, optional
        The zones whose servers get nothing; None if that is yet to be learnt.
    """

    __slots__ = (
        "_by_id",
        "_by_service",
        "_clock",
        "_complete_at_ms",
        "_evacuated",
        "_event_log",
        "_gone_born_ms",
        "_is_listed",
        "_make_pool",
        "_paths",
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
        self._gone_born_ms: dict[str, int] = {}
        self._evacuated = evacuated
        self._is_listed = False

    @property
    def is_known(self) -> bool:
        """Whether the servers, and which of them get nothing, were learnt."""
        return self._is_listed and self._evacuated is not None

    @property
    def evacuated(self) -> frozenset[str] | None:
        """The zones whose servers get nothing; None until that is known."""
        return self._evacuated

    def evacuate(self, zones: frozenset[str]) -> list[Server]:
        """Send nothing more to the servers of these zones, and of no others.

        Returns
        -------
        list of Server
            The servers that may be asked again.
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
            _LOG.info("Zone %s is evacuated no more: %d servers.", zone, len(servers))
            released += servers
        return released

    def _of_zone(self, zone: str) -> list[Server]:
        return [item for item in self._by_id.values() if item.entry.zone == zone]

    def of_service(self, service: str) -> list[Server]:
        """Return the servers of a service that are not gone."""
        return self._by_service.get(service, [])

    def is_reachable(self, service: str) -> bool:
        """Return whether any server of a service seems to be there."""
        now_ms = self._clock.now_ms()
        return any(
            server.is_usable and server.is_reachable(now_ms)
            for server in self.of_service(service)
        )

    def probe_unreachable(self) -> None:
        """Connect to servers that seem cut off and have been left alone."""
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
        """Return all servers that are not gone."""
        return self._by_id.values()

    def stale(self) -> frozenset[str]:
        """Return the ids of those whose entries have lapsed and may come back."""
        return frozenset(self._stale)

    @property
    def may_lack_servers(self) -> bool:
        """Whether servers that live may not have written their entries again."""
        return self._complete_at_ms > -math.inf

    def put(self, entry: ServerEntry) -> None:
        """Take in a new or changed entry; one of an older incarnation is not."""
        self._is_listed = True
        server_id = entry.server_id
        if entry.born_ms < self._newest_born_ms(server_id):
            # A stale read, or an instance that is behind, still names the
            # incarnation before. Taken in, it would drop the server that lives
            # and send requests to one that is dead.
            _LOG.info("An entry of an earlier start of %s is left aside.", server_id)
            return
        known = self._by_id.get(server_id)
        if known is not None:
            self._stale.pop(server_id, None)
            known.is_stale = False
        if known is not None and known.entry.is_same_server(entry):
            if entry.is_draining and not known.entry.is_draining:
                self._event_log.record("Draining", server_id, entry.service)
            known.use_entry(entry, self._clock.now_ms())
            return
        if known is not None:
            is_reborn = entry.born_ms > known.entry.born_ms
            why = "it has started again" if is_reborn else "it has moved"
            self._remove(server_id, why, is_reborn=is_reborn)
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

    def _newest_born_ms(self, server_id: str) -> int:
        """Return the newest start of a server that is listed, or was; 0 for none."""
        known = self._by_id.get(server_id)
        if known is not None:
            return known.entry.born_ms
        return self._gone_born_ms.get(server_id, 0)

    def _record_gone(self, entry: ServerEntry) -> None:
        if not entry.born_ms:
            return
        self._gone_born_ms.pop(entry.server_id, None)
        self._gone_born_ms[entry.server_id] = entry.born_ms
        if len(self._gone_born_ms) > BIRTHS_KEPT:
            del self._gone_born_ms[next(iter(self._gone_born_ms))]

    def remove(self, server_id: str) -> None:
        """Take in that an entry was removed while the store was well."""
        self._remove(server_id, "its entry was removed")

    def replace(
        self,
        entries: Iterable[ServerEntry],
        *,
        after_outage: bool,
        unreadable: Collection[str] = (),
    ) -> None:
        """Take in a full list.

        Parameters
        ----------
        entries : iterable of ServerEntry
            All entries of the store.
        after_outage : bool
            Whether the store was away. Servers cannot renew their entries
            then; dropping those that are missing would leave whole services
            without a server although all of them live.
        unreadable : collection of str
            Ids whose entries are there and name no server. They have not
            lapsed, and go at once.
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
                self._remove(server_id, "it is not listed any more")

    def remove_stale(self) -> bool:
        """Drop servers whose entries did not come back in time.

        Returns
        -------
        bool
            Whether what may be passed on has changed.
        """
        now_ms = self._clock.now_ms()
        due = [name for name, at_ms in self._stale.items() if at_ms <= now_ms]
        for server_id in due:
            self._remove(server_id, "its entry lapsed and did not come back")
        is_complete_now = self.may_lack_servers and now_ms >= self._complete_at_ms
        if is_complete_now:
            self._complete_at_ms = -math.inf
        return bool(due) or is_complete_now

    def _remove(self, server_id: str, why: str, *, is_reborn: bool = False) -> None:
        self._stale.pop(server_id, None)
        server = self._by_id.pop(server_id, None)
        if server is None:
            return
        server.is_gone = True
        self._record_gone(server.entry)
        servers = self._by_service[server.entry.service]
        servers.remove(server)
        if not servers:
            del self._by_service[server.entry.service]
        if server.pool is not None and is_reborn:
            # Its process is dead: no reply comes any more. Behind a cut no
            # reset comes either, and requests would wait for their deadline.
            server.pool.retire()
        elif server.pool is not None:
            server.pool.close()
        self._event_log.record(f"Gone, {why}", server_id, server.entry.service)
