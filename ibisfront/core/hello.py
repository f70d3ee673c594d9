"""The first message on a stream between instances."""

from __future__ import annotations

from ibisfront.core.members import Member
from ibisfront.core.peers import PeerMessage

__all__ = ["PROTOCOL_VERSION", "Hello"]

PROTOCOL_VERSION = 1
"""Raised when instances of two releases can no longer understand each other."""


class Hello(PeerMessage, frozen=True, tag="hello"):
    """Who is at this end of the stream.

    Attributes
    ----------
    protocol_version : int
        The sender's :data:`PROTOCOL_VERSION`.
    member : Member
        The sender.
    neighbour : bool
        Whether the stream stays open and carries heartbeats; else it closes
        when it is idle. Only the side that dialled decides.
    """

    protocol_version: int
    member: Member
    neighbour: bool
