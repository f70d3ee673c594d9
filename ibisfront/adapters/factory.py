"""The factory of the adapters that do an instance's input and output."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisfront.adapters.backend import connection_opener
from ibisfront.adapters.peer_transport import TcpTransport
from ibisfront.adapters.peers import PeerStreams
from ibisfront.adapters.platform import PlatformClient

if TYPE_CHECKING:
    from random import Random

    from ibisfront.adapters.peer_transport import PeerTransport
    from ibisfront.core.backend_connection import OpenConnection
    from ibisfront.core.clock import Clock
    from ibisfront.core.counters import Counters
    from ibisfront.core.members import Members
    from ibisfront.core.settings import Settings

__all__ = ["AdapterFactory"]


class AdapterFactory:
    """Creates the adapters of one instance.

    Tests and embedding programs substitute other adapters by subclassing.

    Parameters
    ----------
    settings : Settings
        The addresses and time limits.
    clock : Clock
        The tier's clock.
    """

    __slots__ = ("_clock", "_settings")

    def __init__(self, settings: Settings, *, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock

    def open_platform(self) -> PlatformClient:
        """Return a client of the platform."""
        return PlatformClient(
            self._settings.platform.address,
            outgoing_ip=self._settings.instance.outgoing_ip,
        )

    def open_peers(
        self, members: Members, *, counters: Counters, random: Random
    ) -> PeerStreams:
        """Return the streams to the other instances, not yet started."""
        return PeerStreams(
            members,
            transport=self.peer_transport(),
            clock=self._clock,
            counters=counters,
            random=random,
        )

    def peer_transport(self) -> PeerTransport:
        """Return the transport for streams between instances."""
        return TcpTransport(
            self._settings.peers.address,
            outgoing_ip=self._settings.instance.outgoing_ip,
        )

    def connection_opener(self) -> OpenConnection:
        """Return a function that opens connections to backend servers."""
        return connection_opener(
            self._clock,
            self._settings.backend,
            outgoing_ip=self._settings.instance.outgoing_ip,
        )
