"""The interface of a connection to a backend server."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Literal, Protocol, TypeAlias

if TYPE_CHECKING:
    from ibisfront.core.query import SubReply, SubRequest
    from ibisfront.core.types import Address

__all__ = ["BackendConnection", "OpenConnection", "Work"]

Work: TypeAlias = Literal["search", "perform"]


class BackendConnection(Protocol):
    """An open connection to a backend server; one exchange at a time."""

    async def exchange(self, work: Work, sub_request: SubRequest) -> SubReply:
        """Send a sub-request and return its reply.

        Raises
        ------
        SubRequestError
            If the server rejected it or failed, or the connection broke.
        """
        ...

    async def probe(self) -> bool:
        """Return whether the server answers on this connection."""
        ...

    def is_usable(self) -> bool:
        """Return whether another exchange may start."""
        ...

    async def aclose(self) -> None:
        """Close the connection immediately."""
        ...


OpenConnection: TypeAlias = Callable[["Address"], Awaitable[BackendConnection]]
"""Opens a connection; raises ``SubRequestError`` (not run) if it cannot."""
