"""The handshake message of a stream between instances."""

from __future__ import annotations

from ibisfront.core.members import Member
from ibisfront.core.peers import PeerMessage

__all__ = ["PROTOCOL_VERSION", "Hello"]

PROTOCOL_VERSION = 1
"""Incremented when a release is incompatible with the previous protocol."""


class Hello(PeerMessage, frozen=True, tag="hello"):
    """Identifies the sender at the start of a stream.

    Attributes
    ----------
    protocol_version : int
        The sender's :data:`PROTOCOL_VERSION`.
    member : Member
        The sender.
    neighbour : bool
        Whether the stream stays open and carries heartbeats; otherwise it is
        closed when idle. Decided by the dialling side alone.
    """

    protocol_version: int
    member: Member
    neighbour: bool
