"""Streams between instances in one process, for tests: they can be cut."""

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

    A cut shows as a network without a word does: bytes vanish, streams stay
    open, new ones are not answered.

    Attributes
    ----------
    dial_ms : float
        How long it takes to open a stream.
    opened : int
        How many streams were opened.
    """

    def __init__(self) -> None:
        self.dial_ms = 0.0
        self.opened = 0
        self.listeners: dict[Address, Callable[[trio.abc.Stream], None]] = {}
        self._sides: list[frozenset[Address]] = []
        self._paths: set[frozenset[Address]] = set()
        self._silent: set[_Carrier] = set()
        self.open_streams: set[_Carrier] = set()

    def transport(self, address: Address) -> MemoryTransport:
        """Return the transport of the instance at an address."""
        return MemoryTransport(address, self)

    def cut(self, *sides: frozenset[Address]) -> None:
        """Lose all bytes between addresses on different sides, from now on."""
        self._sides = list(sides)

    def cut_path(self, first: Address, second: Address) -> None:
        """Lose all bytes between two addresses, from now on."""
        self._paths.add(frozenset((first, second)))

    def mend(self) -> None:
        """End the cut; what was lost stays lost, and its streams silent."""
        for carrier in self.open_streams:
            if not self.reaches(*carrier.ends):
                self._silent.add(carrier)
        self._sides = []
        self._paths.clear()

    def silence_streams(self) -> None:
        """Lose track of every open stream, while new ones work."""
        self._silent |= self.open_streams

    def reaches(self, first: Address, second: Address) -> bool:
        """Return whether bytes pass between two addresses now."""
        if frozenset((first, second)) in self._paths:
            return False
        return all((first in side) == (second in side) for side in self._sides)

    def carries(self, carrier: _Carrier) -> bool:
        """Return whether bytes pass on an open stream now."""
        return carrier not in self._silent and self.reaches(*carrier.ends)


class _Carrier:
    """One stream of a network; both its ends send through it."""

    __slots__ = ("ends", "network")

    def __init__(self, network: MemoryNetwork, ends: tuple[Address, Address]) -> None:
        self.network = network
        self.ends = ends


class _CuttableStream(trio.abc.Stream):
    """One end of a stream, which loses bytes while its network is cut."""

    def __init__(self, carrier: _Carrier, inner: trio.abc.Stream) -> None:
        self._carrier = carrier
        self._inner = inner

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        if self._carrier.network.carries(self._carrier):
            await self._inner.send_all(data)
        else:
            await trio.lowlevel.checkpoint()

    async def wait_send_all_might_not_block(self) -> None:
        await self._inner.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes: int | None = None) -> bytes | bytearray:
        received = await self._inner.receive_some(max_bytes)
        if not received and not self._carrier.network.carries(self._carrier):
            await trio.sleep_forever()
        return received

    async def aclose(self) -> None:
        self._carrier.network.open_streams.discard(self._carrier)
        await self._inner.aclose()


class MemoryTransport:
    """The transport of one instance in a :class:`MemoryNetwork`."""

    __slots__ = ("_address", "_network")

    def __init__(self, address: Address, network: MemoryNetwork) -> None:
        self._address = address
        self._network = network

    async def dial(self, address: Address) -> trio.abc.Stream:
        """Return a new stream; raise ``OSError`` if nobody listens."""
        network = self._network
        if not network.reaches(self._address, address):
            await trio.sleep_forever()
        await trio.sleep(network.dial_ms / MILLISECONDS_PER_SECOND)
        accept = network.listeners.get(address)
        if accept is None:
            raise OSError(f"nobody listens at {address}")
        carrier = _Carrier(network, (self._address, address))
        network.open_streams.add(carrier)
        network.opened += 1
        near, far = trio.testing.memory_stream_pair()
        accept(_CuttableStream(carrier, far))
        return _CuttableStream(carrier, near)

    async def listen(
        self,
        accept: AcceptStream,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept streams until cancelled."""
        listeners = self._network.listeners
        async with trio.open_nursery() as nursery:
            # The accepted streams of an instance end with it, as those of a
            # process do.
            listeners[self._address] = lambda stream: nursery.start_soon(accept, stream)
            try:
                task_status.started()
                await trio.sleep_forever()
            finally:
                listeners.pop(self._address, None)
