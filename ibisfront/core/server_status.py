"""The draining status of backend servers, disseminated among the instances.

The first instance that learns from a backend server that it is draining
notifies all others, including those partitioned from the platform. The status
ends when operators set the server live in a newer version of its service, when
the server reports that it serves again, or when it has not been renewed for
:data:`STATUS_TTL_MS`.

Refused connections are not disseminated: an instance whose own network is
partitioned sees them at every server, and would make all other instances stop
using those servers. Each instance keeps these observations local.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ibisfront.core.logs import LogPart, part_logger
from ibisfront.core.objects import ObjectKind
from ibisfront.core.peers import PeerMessage
from ibisfront.core.service import BackendServer, Service
from ibisfront.core.types import Address

if TYPE_CHECKING:
    from ibisfront.core.clock import Clock
    from ibisfront.core.objects import ObjectStore, VersionedObject
    from ibisfront.core.peers import Peers

__all__ = ["ServerStatus", "ServerStatusUpdate", "ServerStatuses"]

STATUS_TTL_MS = 60_000.0
"""How long a status remains valid without renewal."""

REBROADCAST_INTERVAL_MS = 10_000.0
"""The minimum age of a status before the same status is broadcast again."""

_LOG = part_logger(LogPart.BACKEND)


class ServerStatus(msgspec.Struct, frozen=True, array_like=True):
    """The latest status that a backend server has reported.

    Attributes
    ----------
    server : str
        The server's name.
    address : str
        The server's address; a new server of the same name has another one.
    generation : int
        Increases with each status; the larger one takes precedence, regardless
        of the order of arrival.
    draining : bool
        Whether the server is draining; True takes precedence within one
        generation.
    """

    server: str
    address: Address
    generation: int
    draining: bool


class ServerStatusUpdate(PeerMessage, frozen=True, tag="server_sign"):
    """A status that was new to the sender."""

    status: ServerStatus


class _ReceivedStatus(msgspec.Struct, frozen=True):
    status: ServerStatus
    received_at_ms: float


class ServerStatuses:
    """The server statuses received by this instance.

    Parameters
    ----------
    store : ObjectStore
        The services, whose changes can end a status.
    peers : Peers
        The other instances.
    clock : Clock
        The tier's clock.
    """

    __slots__ = ("_clock", "_entries", "_peers", "_statuses")

    def __init__(self, store: ObjectStore, *, peers: Peers, clock: Clock) -> None:
        self._peers = peers
        self._clock = clock
        self._statuses: dict[str, _ReceivedStatus] = {}
        self._entries: dict[str, dict[str, BackendServer]] = {}
        store.subscribe(self._object_changed)
        peers.handle(ServerStatusUpdate, self._update_received)

    def is_draining(self, server: BackendServer) -> bool:
        """Return whether a server is draining and must receive no new work."""
        current = self._statuses.get(server.name)
        if current is None or current.status.address != server.address:
            return False
        is_fresh = self._clock.now_ms() - current.received_at_ms < STATUS_TTL_MS
        return current.status.draining and is_fresh

    def record_draining(self, server: BackendServer) -> None:
        """Record that a reply of the server reports draining."""
        current = self._statuses.get(server.name)
        if current is not None and self.is_draining(server):
            age_ms = self._clock.now_ms() - current.received_at_ms
            if age_ms < REBROADCAST_INTERVAL_MS:
                return
        self._publish(server, draining=True)

    def record_serving(self, server: BackendServer) -> None:
        """Record that a reply of the server reports that it no longer drains."""
        if self.is_draining(server):
            self._publish(server, draining=False)

    def _publish(self, server: BackendServer, *, draining: bool) -> None:
        current = self._statuses.get(server.name)
        generation = 1 if current is None else current.status.generation + 1
        status = ServerStatus(server.name, server.address, generation, draining)
        self._apply(status)

    def _update_received(self, sender: str, message: ServerStatusUpdate) -> None:
        self._apply(message.status)

    def _apply(self, status: ServerStatus) -> None:
        current = self._statuses.get(status.server)
        if current is not None and _precedence(current.status) >= _precedence(status):
            return
        self._statuses[status.server] = _ReceivedStatus(status, self._clock.now_ms())
        new_state = "drains" if status.draining else "serves again"
        _LOG.info("Server %s %s.", status.server, new_state)
        self._peers.send_neighbours(ServerStatusUpdate(status))

    def _object_changed(self, changed: VersionedObject) -> None:
        if changed.kind is not ObjectKind.SERVICE:
            return
        before = self._entries.get(changed.name, {})
        after = _servers(changed)
        self._entries[changed.name] = after
        for name, server in after.items():
            previous = before.get(name)
            set_live = previous is None or previous.state != "live"
            # Only an entry that an operator set live ends the status. A change
            # of another server also creates a new version of the service, and
            # must not return this server to use while it drains.
            if before and set_live and server.state == "live":
                self.record_serving(server)


def _servers(changed: VersionedObject) -> dict[str, BackendServer]:
    if changed.value_json is None:
        return {}
    try:
        service = msgspec.json.decode(changed.value_json, type=Service)
    except msgspec.MsgspecError:
        return {}
    return {server.name: server for server in service.backend_servers}


def _precedence(status: ServerStatus) -> tuple[int, bool]:
    return status.generation, status.draining
