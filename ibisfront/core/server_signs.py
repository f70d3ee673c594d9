"""Which backend servers said that they are leaving, wherever it was heard.

The first instance that a backend server tells that it drains tells all the
others, also those that are cut off from the platform. A sign ends when
operators set the server live again in a newer version of its service, when it
serves again by its own word, or when nothing renewed it for
:data:`SIGN_LASTS_MS`.

Refused connections are no sign here: an instance whose own network is cut
meets them at every server, and would take all of them from the others too.
Each instance keeps what it sees of those to itself.
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

__all__ = ["ServerSign", "ServerSignNews", "ServerSigns"]

SIGN_LASTS_MS = 60_000.0
"""How long a sign holds that nothing renews."""

RENEW_AFTER_MS = 10_000.0
"""How old a sign must be before the same word again is told to all."""

_LOG = part_logger(LogPart.BACKEND)


class ServerSign(msgspec.Struct, frozen=True, array_like=True):
    """The newest word of one backend server about itself.

    Attributes
    ----------
    server : str
        Its name.
    address : str
        Its address: a server started anew under the name has another.
    generation : int
        Rises with each word; the larger wins, whatever the order of arrival.
    draining : bool
        Whether it drains; at one generation, draining wins.
    """

    server: str
    address: Address
    generation: int
    draining: bool


class ServerSignNews(PeerMessage, frozen=True, tag="server_sign"):
    """A sign that was news to the sender."""

    sign: ServerSign


class _Held(msgspec.Struct, frozen=True):
    sign: ServerSign
    at_ms: float


class ServerSigns:
    """The signs known here.

    Parameters
    ----------
    store : ObjectStore
        The services, whose changes can end a sign.
    peers : Peers
        The other instances.
    clock : Clock
        The tier's clock.
    """

    __slots__ = ("_clock", "_entries", "_held", "_peers")

    def __init__(self, store: ObjectStore, *, peers: Peers, clock: Clock) -> None:
        self._peers = peers
        self._clock = clock
        self._held: dict[str, _Held] = {}
        self._entries: dict[str, dict[str, BackendServer]] = {}
        store.subscribe(self._object_changed)
        peers.handle(ServerSignNews, self._sign_heard)

    def is_leaving(self, server: BackendServer) -> bool:
        """Return whether a server is to get no new work."""
        held = self._held.get(server.name)
        if held is None or held.sign.address != server.address:
            return False
        fresh = self._clock.now_ms() - held.at_ms < SIGN_LASTS_MS
        return held.sign.draining and fresh

    def note_draining(self, server: BackendServer) -> None:
        """Note that a server's own reply says that it drains."""
        held = self._held.get(server.name)
        if held is not None and self.is_leaving(server):
            age_ms = self._clock.now_ms() - held.at_ms
            if age_ms < RENEW_AFTER_MS:
                return
        self._say(server, draining=True)

    def note_serving(self, server: BackendServer) -> None:
        """Note that a server's own reply says that it no longer drains."""
        if self.is_leaving(server):
            self._say(server, draining=False)

    def _say(self, server: BackendServer, *, draining: bool) -> None:
        held = self._held.get(server.name)
        generation = 1 if held is None else held.sign.generation + 1
        sign = ServerSign(server.name, server.address, generation, draining)
        self._take(sign)

    def _sign_heard(self, sender: str, message: ServerSignNews) -> None:
        self._take(message.sign)

    def _take(self, sign: ServerSign) -> None:
        held = self._held.get(sign.server)
        if held is not None and _rank(held.sign) >= _rank(sign):
            return
        self._held[sign.server] = _Held(sign, self._clock.now_ms())
        said = "drains" if sign.draining else "serves again"
        _LOG.info("Server %s %s.", sign.server, said)
        self._peers.send_neighbours(ServerSignNews(sign))

    def _object_changed(self, changed: VersionedObject) -> None:
        if changed.kind is not ObjectKind.SERVICE:
            return
        before = self._entries.get(changed.name, {})
        after = _servers(changed)
        self._entries[changed.name] = after
        for name, server in after.items():
            known = before.get(name)
            set_live = known is None or known.state != "live"
            # Only an entry that an operator set live ends a sign. Another
            # server of the service changes its version too, and would bring
            # this one back while it drains.
            if before and set_live and server.state == "live":
                self.note_serving(server)


def _servers(changed: VersionedObject) -> dict[str, BackendServer]:
    if changed.value_json is None:
        return {}
    try:
        service = msgspec.json.decode(changed.value_json, type=Service)
    except msgspec.MsgspecError:
        return {}
    return {server.name: server for server in service.backend_servers}


def _rank(sign: ServerSign) -> tuple[int, bool]:
    return sign.generation, sign.draining
