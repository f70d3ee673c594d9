"""A connection to one backend server, and when a new one may be used."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Protocol, TypeAlias

if TYPE_CHECKING:
    from ibisfront.core.types import Address
    from ibisfront.gateway.servers.exchange import Exchange

__all__ = ["ConnectionUsage", "OpenServerConnection", "ServerConnection", "check_ms"]

_CHECK_CONNECTS = 1.0
_CHECK_MARGIN_MS = 2.0
"""How long a new connection is checked before it is used: a server at its limit resets
it within the time that connecting took, and the margin to accept it."""


class ServerConnection(Protocol):
    """An open connection that carries one exchange at a time."""

    def send(self, exchange: Exchange, now_ms: float) -> bool:
        """Send an exchange; return False if no byte could be sent."""

    @property
    def is_idle(self) -> bool:
        """Whether it can send an exchange now."""

    @property
    def expires_at_ms(self) -> float:
        """When the server closes it if it stays idle."""

    def close(self) -> None:
        """Close it immediately."""

    async def run(self, on_idle: Callable[[ServerConnection], None]) -> None:
        """Read replies until the connection ends."""


OpenServerConnection: TypeAlias = "Callable[[Address], Awaitable[ServerConnection]]"
"""Connects to a server; raises ``OSError`` if that fails."""


class ConnectionUsage:
    """Whether a connection is in use yet.

    Parameters
    ----------
    on_idle : callable
        Called when the connection can send an exchange, once it is in use.

    Attributes
    ----------
    is_begun : bool
        Whether it is in use.
    """

    __slots__ = ("_on_idle", "is_begun")

    def __init__(self, on_idle: Callable[[ServerConnection], None]) -> None:
        self._on_idle = on_idle
        self.is_begun = False

    def begin(self, connection: ServerConnection) -> None:
        """Use the connection from now on."""
        self.is_begun = True
        self._on_idle(connection)

    def on_idle(self, connection: ServerConnection) -> None:
        """Reuse the connection; a new one that is being checked waits."""
        if self.is_begun:
            self._on_idle(connection)


def check_ms(connect_ms: float) -> float:
    """Return how long a new connection is checked, given how long connecting took."""
    return _CHECK_CONNECTS * connect_ms + _CHECK_MARGIN_MS
