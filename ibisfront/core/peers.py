"""The interface for messages to other instances."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol, TypeAlias, TypeVar

import msgspec

__all__ = ["PeerHandler", "PeerMessage", "PeerReplyHandler", "Peers"]


class PeerMessage(msgspec.Struct, frozen=True, array_like=True):
    """The base of every message between instances.

    Each message class is declared with ``tag=`` and listed in
    ``ibisfront.adapters.peer_codec``, the one closed list. Messages are encoded
    as arrays: a new field goes last and has a default, so that two releases
    stay compatible during a rolling restart.
    """


MessageType = TypeVar("MessageType", bound=PeerMessage)
PeerHandler: TypeAlias = Callable[[str, MessageType], None]
"""Called with the sender's name and the message; must not block."""

PeerReplyHandler: TypeAlias = Callable[[str, MessageType], PeerMessage]
"""Called with the requester's name and the request; returns the reply at once."""


class Peers(Protocol):
    """Sends messages to other instances, without a guarantee of delivery."""

    def send(self, name: str, message: PeerMessage) -> bool:
        """Queue a message for one instance, which need not be a neighbour.

        Returns
        -------
        bool
            False if the message was certainly dropped.
        """
        ...

    def send_neighbours(self, message: PeerMessage) -> None:
        """Queue a message for every neighbour.

        To reach all instances, each receiver forwards an update if and only if
        the update was new to it.
        """
        ...

    async def request(
        self, name: str, message: PeerMessage, *, timeout_ms: float
    ) -> PeerMessage | None:
        """Send a request and return the reply, or None on timeout."""
        ...

    def handle(
        self, message_type: type[MessageType], handler: PeerHandler[MessageType]
    ) -> None:
        """Register the handler of a message type."""
        ...

    def respond(
        self, message_type: type[MessageType], handler: PeerReplyHandler[MessageType]
    ) -> None:
        """Register the function that replies to requests of a type."""
        ...
