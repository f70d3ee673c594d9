"""The transport of streams between instances: TCP, or in-memory in tests."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from functools import partial
from typing import TYPE_CHECKING, Protocol, TypeAlias

import trio

from ibisfront.adapters.listener import listen_error

if TYPE_CHECKING:
    from ibisfront.core.types import Address

__all__ = ["AcceptStream", "PeerTransport", "TcpTransport"]

AcceptStream: TypeAlias = Callable[[trio.abc.Stream], Awaitable[None]]
"""Serves one stream that a peer has opened, until it ends."""


class PeerTransport(Protocol):
    """Opens and accepts streams."""

    async def dial(self, address: Address) -> trio.abc.Stream:
        """Return a new stream; raise ``OSError`` if it cannot be opened."""
        ...

    async def listen(
        self,
        accept: AcceptStream,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept streams until cancelled; reports started once peers can dial."""
        ...


class TcpTransport:
    """Streams over TCP.

    Parameters
    ----------
    own_address : str
        The ``IP:PORT`` to listen on.
    outgoing_ip : str, optional
        The local IP of outgoing streams; chosen by the system if omitted.
    """

    __slots__ = ("_outgoing_ip", "_own_address")

    def __init__(self, own_address: Address, *, outgoing_ip: str | None = None) -> None:
        self._own_address = own_address
        self._outgoing_ip = outgoing_ip

    async def dial(self, address: Address) -> trio.abc.Stream:
        """Return a new stream; raise ``OSError`` if it cannot be opened."""
        # The address may come from the platform's list or from a peer. A
        # malformed one must raise the same error as a refused connection.
        host, _, port = address.rpartition(":")
        if not port.isdecimal():
            raise OSError(f"{address!r} is not a valid address")
        return await trio.open_tcp_stream(
            host.strip("[]"), int(port), local_address=self._outgoing_ip
        )

    async def listen(
        self,
        accept: AcceptStream,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept streams until cancelled; reports started once peers can dial."""
        host, _, port = self._own_address.rpartition(":")
        try:
            listeners = await trio.open_tcp_listeners(int(port), host=host.strip("[]"))
        except OSError as error:
            raise listen_error(self._own_address, error) from error
        async with trio.open_nursery() as nursery:
            serve = partial(trio.serve_listeners, accept, listeners)
            await nursery.start(serve)
            task_status.started()
