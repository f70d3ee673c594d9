"""What the parts of an instance use to talk to the other instances."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol, TypeAlias, TypeVar

import msgspec

__all__ = ["PeerHandler", "PeerMessage", "PeerReplyHandler", "Peers"]


class PeerMessage(msgspec.Struct, frozen=True, array_like=True):
    """The base of every message between instances.

    Each message class is declared with ``tag=`` and listed in
    ``ibisfront.adapters.peer_codec``, the one closed list. Messages travel as
    arrays: a new field goes last and has a default, so that instances of two
    releases understand each other during a rolling restart.
    """


MessageType = TypeVar("MessageType", bound=PeerMessage)
PeerHandler: TypeAlias = Callable[[str, MessageType], None]
"""Called with the sender's name and the message; must not wait."""

PeerReplyHandler: TypeAlias = Callable[[str, MessageType], PeerMessage]
"""Called with the asker's name and the question; returns the reply at once."""


class Peers(Protocol):
    """Sends messages to other instances; none is certain to arrive."""

    def send(self, name: str, message: PeerMessage) -> bool:
        """Queue a message for one instance, neighbour or not.

        Returns
        -------
        bool
            False if it is certain that it was dropped.
        """
        ...

    def send_neighbours(self, message: PeerMessage) -> None:
        """Queue a message for every neighbour.

        A part that wants news to reach all instances sends it on when, and
        only when, it was news to itself.
        """
        ...

    async def ask(
        self, name: str, message: PeerMessage, *, timeout_ms: float
    ) -> PeerMessage | None:
        """Send a question and return its reply, or None if none came in time."""
        ...

    def handle(
        self, message_type: type[MessageType], handler: PeerHandler[MessageType]
    ) -> None:
        """Call a function for each message of a type."""
        ...

    def answer(
        self, message_type: type[MessageType], handler: PeerReplyHandler[MessageType]
    ) -> None:
        """Let a function reply to each question of a type."""
        ...
