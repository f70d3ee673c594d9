"""In-process fake of the peers for tests, with network partitions."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from ibisfront.adapters.peer_codec import encode

if TYPE_CHECKING:
    from ibisfront.core.clock import Clock
    from ibisfront.core.peers import (
        MessageType,
        PeerHandler,
        PeerMessage,
        PeerReplyHandler,
    )

__all__ = ["FakePeers", "PeerNetwork"]


class PeerNetwork:
    """Delivers messages between the fake peers of one test.

    Parameters
    ----------
    clock : Clock
        The test's clock.
    nursery : trio.Nursery
        The nursery of the deliveries.
    delay_ms : float
        One-way delay of each message.

    Attributes
    ----------
    sent, bytes_sent, largest_bytes : int
        Number of messages sent, their total size and the largest size.
    """

    def __init__(
        self, *, clock: Clock, nursery: trio.Nursery, delay_ms: float = 1.0
    ) -> None:
        self.clock = clock
        self.nursery = nursery
        self.delay_ms = delay_ms
        self.peers: dict[str, FakePeers] = {}
        self._partitioned: set[frozenset[str]] = set()
        self.sent = 0
        self.bytes_sent = 0
        self.largest_bytes = 0

    def join(self, name: str) -> FakePeers:
        """Return the peers of a new instance, a neighbour of all others."""
        self.peers[name] = FakePeers(name, self)
        return self.peers[name]

    def leave(self, name: str) -> None:
        """Remove an instance from the network without notifying the others."""
        self.peers.pop(name, None)

    def partition(self, first: str, second: str) -> None:
        """Drop all messages between two instances until the partition heals."""
        self._partitioned.add(frozenset((first, second)))

    def heal(self) -> None:
        """Heal all partitions."""
        self._partitioned.clear()

    def count(self, message: PeerMessage) -> None:
        """Count a message and its encoded size."""
        size_bytes = len(encode(message))
        self.sent += 1
        self.bytes_sent += size_bytes
        self.largest_bytes = max(self.largest_bytes, size_bytes)

    def is_reachable(self, sender: str, receiver: str) -> bool:
        """Return whether a message would currently be delivered."""
        return (
            sender in self.peers
            and receiver in self.peers
            and frozenset((sender, receiver)) not in self._partitioned
        )


class FakePeers:
    """The peers of one instance in a :class:`PeerNetwork`."""

    def __init__(self, name: str, network: PeerNetwork) -> None:
        self.name = name
        self._network = network
        self._handlers: dict[type[PeerMessage], PeerHandler[PeerMessage]] = {}
        self._repliers: dict[type[PeerMessage], PeerReplyHandler[PeerMessage]] = {}

    def send(self, name: str, message: PeerMessage) -> bool:
        """Queue a message; see ``Peers``."""
        if name not in self._network.peers:
            return False
        self._network.count(message)
        self._network.nursery.start_soon(self._deliver, name, message)
        return True

    def send_neighbours(self, message: PeerMessage) -> None:
        """Queue a message for every other instance; see ``Peers``."""
        for name in sorted(self._network.peers):
            if name != self.name:
                self.send(name, message)

    async def request(
        self, name: str, message: PeerMessage, *, timeout_ms: float
    ) -> PeerMessage | None:
        """Send a request; see ``Peers``."""
        network = self._network
        with network.clock.timeout_ms(timeout_ms):
            await network.clock.sleep_ms(network.delay_ms)
            if not network.is_reachable(self.name, name):
                await trio.sleep_forever()
            reply = network.peers[name].reply(self.name, message)
            await network.clock.sleep_ms(network.delay_ms)
            if not network.is_reachable(name, self.name):
                await trio.sleep_forever()
            return reply
        return None

    def handle(
        self, message_type: type[MessageType], handler: PeerHandler[MessageType]
    ) -> None:
        """Register the handler of a message type; see ``Peers``."""
        self._handlers[message_type] = handler  # type: ignore[assignment]

    def respond(
        self, message_type: type[MessageType], handler: PeerReplyHandler[MessageType]
    ) -> None:
        """Register the function that replies to requests; see ``Peers``."""
        self._repliers[message_type] = handler  # type: ignore[assignment]

    def reply(self, requester: str, message: PeerMessage) -> PeerMessage:
        """Return the reply of this instance to a request."""
        return self._repliers[type(message)](requester, message)

    async def _deliver(self, name: str, message: PeerMessage) -> None:
        await self._network.clock.sleep_ms(self._network.delay_ms)
        if self._network.is_reachable(self.name, name):
            self._network.peers[name].receive(self.name, message)

    def receive(self, sender: str, message: PeerMessage) -> None:
        """Pass a message to its handler; without one, drop it."""
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(sender, message)
