"""In-process streams between instances for tests, with network partitions."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio
import trio.testing

from ibisfront.core.clock import MILLISECONDS_PER_SECOND

if TYPE_CHECKING:
    from collections.abc import Callable

    from ibisfront.adapters.peer_transport import AcceptStream
    from ibisfront.core.types import Address

__all__ = ["MemoryNetwork", "MemoryTransport"]


class MemoryNetwork:
    """Carries the streams of one test between addresses.

    A partition is silent: bytes are lost, open streams stay open, and new ones
    are never accepted.

    Attributes
    ----------
    dial_ms : float
        Time to open a stream.
    opened : int
        Number of streams opened.
    """

    def __init__(self) -> None:
        self.dial_ms = 0.0
        self.opened = 0
        self.listeners: dict[Address, Callable[[trio.abc.Stream], None]] = {}
        self._sides: list[frozenset[Address]] = []
        self._blocked_paths: set[frozenset[Address]] = set()
        self._silent: set[_Link] = set()
        self.open_streams: set[_Link] = set()

    def transport(self, address: Address) -> MemoryTransport:
        """Return the transport of the instance at an address."""
        return MemoryTransport(address, self)

    def partition(self, *sides: frozenset[Address]) -> None:
        """Drop all bytes between addresses on different sides."""
        self._sides = list(sides)

    def block_path(self, first: Address, second: Address) -> None:
        """Drop all bytes between two addresses."""
        self._blocked_paths.add(frozenset((first, second)))

    def heal(self) -> None:
        """Heal all partitions; streams that were open across them stay silent."""
        for link in self.open_streams:
            if not self.is_reachable(*link.ends):
                self._silent.add(link)
        self._sides = []
        self._blocked_paths.clear()

    def silence_streams(self) -> None:
        """Make all open streams silent; new ones work."""
        self._silent |= self.open_streams

    def is_reachable(self, first: Address, second: Address) -> bool:
        """Return whether bytes are currently delivered between two addresses."""
        if frozenset((first, second)) in self._blocked_paths:
            return False
        return all((first in side) == (second in side) for side in self._sides)

    def is_delivering(self, link: _Link) -> bool:
        """Return whether bytes are currently delivered on an open stream."""
        return link not in self._silent and self.is_reachable(*link.ends)


class _Link:
    """One stream of a network, shared by its two ends."""

    __slots__ = ("ends", "network")

    def __init__(self, network: MemoryNetwork, ends: tuple[Address, Address]) -> None:
        self.network = network
        self.ends = ends


class _PartitionableStream(trio.abc.Stream):
    """One end of a stream, which drops bytes while its network is partitioned."""

    def __init__(self, link: _Link, inner: trio.abc.Stream) -> None:
        self._link = link
        self._inner = inner

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        if self._link.network.is_delivering(self._link):
            await self._inner.send_all(data)
        else:
            await trio.lowlevel.checkpoint()

    async def wait_send_all_might_not_block(self) -> None:
        await self._inner.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes: int | None = None) -> bytes | bytearray:
        received = await self._inner.receive_some(max_bytes)
        if not received and not self._link.network.is_delivering(self._link):
            await trio.sleep_forever()
        return received

    async def aclose(self) -> None:
        self._link.network.open_streams.discard(self._link)
        await self._inner.aclose()


class MemoryTransport:
    """The transport of one instance in a :class:`MemoryNetwork`."""

    __slots__ = ("_address", "_network")

    def __init__(self, address: Address, network: MemoryNetwork) -> None:
        self._address = address
        self._network = network

    async def dial(self, address: Address) -> trio.abc.Stream:
        """Return a new stream; raise ``OSError`` if there is no listener."""
        network = self._network
        if not network.is_reachable(self._address, address):
            await trio.sleep_forever()
        await trio.sleep(network.dial_ms / MILLISECONDS_PER_SECOND)
        accept = network.listeners.get(address)
        if accept is None:
            raise OSError(f"connection refused: no listener at {address}")
        link = _Link(network, (self._address, address))
        network.open_streams.add(link)
        network.opened += 1
        near, far = trio.testing.memory_stream_pair()
        accept(_PartitionableStream(link, far))
        return _PartitionableStream(link, near)

    async def listen(
        self,
        accept: AcceptStream,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept streams until cancelled."""
        listeners = self._network.listeners
        async with trio.open_nursery() as nursery:
            # The accepted streams end with their instance, as in a process.
            listeners[self._address] = lambda stream: nursery.start_soon(accept, stream)
            try:
                task_status.started()
                await trio.sleep_forever()
            finally:
                listeners.pop(self._address, None)
