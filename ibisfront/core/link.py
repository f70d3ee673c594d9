"""A link to one backend server, and the connections that it owns."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Literal, Protocol, TypeAlias

import trio

if TYPE_CHECKING:
    from ibisfront.core.clock import Clock
    from ibisfront.core.query import SubReply, SubRequest
    from ibisfront.core.service import BackendServer
    from ibisfront.core.types import Address

__all__ = ["BackendConnection", "BackendLink", "OpenConnection", "Work"]

Work: TypeAlias = Literal["search", "perform"]


class BackendConnection(Protocol):
    """One open connection to a backend server; one exchange at a time."""

    async def exchange(self, work: Work, sub_request: SubRequest) -> SubReply:
        """Send a sub-request and return its reply.

        Raises
        ------
        SubRequestError
            If the server refused it, failed, or the connection broke.
        """
        ...

    def is_usable(self) -> bool:
        """Return whether another exchange may start."""
        ...

    async def aclose(self) -> None:
        """Close the connection at once."""
        ...


OpenConnection: TypeAlias = Callable[["Address"], Awaitable[BackendConnection]]
"""Opens a connection; raises ``SubRequestError`` (not run) if it cannot."""


class BackendLink:
    """What this instance knows and holds of one backend server.

    Parameters
    ----------
    server : BackendServer
        The server.
    open_connection : callable
        Opens a connection to an address.
    clock : Clock
        The tier's clock.
    maximum_connections : int
        How many connections this instance may hold to the server.
    """

    __slots__ = ("_clock", "_idle", "_open_connection", "_places", "server")

    def __init__(
        self,
        server: BackendServer,
        *,
        open_connection: OpenConnection,
        clock: Clock,
        maximum_connections: int,
    ) -> None:
        self.server = server
        self._open_connection = open_connection
        self._clock = clock
        self._places = trio.CapacityLimiter(maximum_connections)
        self._idle: list[BackendConnection] = []

    @property
    def in_flight(self) -> int:
        """The sub-requests that this instance has at the server now."""
        return self._places.borrowed_tokens

    async def call(self, work: Work, sub_request: SubRequest) -> SubReply:
        """Run one exchange on a connection of this link.

        A connection goes back to the idle ones only after a whole reply that
        belongs to the sub-request; after a cancellation, a time-out or a
        wrong reply it is closed, so that no late bytes reach another caller.

        Raises
        ------
        SubRequestError
            If there was no usable reply.
        """
        async with self._places:
            connection = await self._take_connection()
            try:
                reply = await connection.exchange(work, sub_request)
            except BaseException:
                with trio.CancelScope(shield=True):
                    await connection.aclose()
                raise
            self._idle.append(connection)
            return reply

    async def aclose(self) -> None:
        """Close every idle connection."""
        while self._idle:
            await self._idle.pop().aclose()

    async def _take_connection(self) -> BackendConnection:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_usable():
                return connection
            await connection.aclose()
        return await self._open_connection(self.server.address)
