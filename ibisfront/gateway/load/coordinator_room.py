"""Which coordinators have room, as far as their refusals tell.

Load pattern: all coordinators are full. Each query is offered to one after another, so
that every coordinator refuses the load of all others too; and a caller that comes back
when it was told to reaches a coordinator that does not know it.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ibisfront.gateway.servers.server import Server

__all__ = ["CoordinatorRoom", "preferred_peers"]

_LONGEST_FULL_MS = 1_000.0
"""How long a refusal counts at most: room may come back sooner than was expected."""

_SCARCE_MS = 3_000.0
"""How long after a refusal callers are sent where their place is kept: longer than a
caller waits before it comes back."""


class _Refused(msgspec.Struct, frozen=True):
    """A refusal for lack of room."""

    at_ms: float
    room_at_ms: float


class CoordinatorRoom:
    """The refusals of coordinators for lack of room."""

    __slots__ = ("_refused", "_scarce_until_ms")

    def __init__(self) -> None:
        self._refused: dict[str, _Refused] = {}
        self._scarce_until_ms = 0.0

    def record_no_room(self, peer_id: str, room_at_ms: float, now_ms: float) -> None:
        """Record that a coordinator refused until a time."""
        self._refused = {
            name: refused
            for name, refused in self._refused.items()
            if now_ms < refused.room_at_ms
        }
        self._refused[peer_id] = _Refused(now_ms, room_at_ms)
        self._scarce_until_ms = now_ms + _SCARCE_MS

    def is_scarce(self, now_ms: float) -> bool:
        """Return whether any coordinator refused recently."""
        return now_ms < self._scarce_until_ms

    def with_room(self, peers: Sequence[Server], now_ms: float) -> list[Server]:
        """Return the coordinators that may have room."""
        return [item for item in peers if self._may_have_room(item, now_ms)]

    def _may_have_room(self, peer: Server, now_ms: float) -> bool:
        refused = self._refused.get(peer.entry.server_id)
        if refused is None:
            return True
        until_ms = min(refused.room_at_ms, refused.at_ms + _LONGEST_FULL_MS)
        return now_ms >= until_ms


def preferred_peers(peers: Sequence[Server], identity: bytes) -> list[Server]:
    """Return the coordinator that keeps a caller's place, by rendezvous hashing."""

    def weight(peer: Server) -> bytes:
        name = peer.entry.server_id.encode()
        return hashlib.blake2b(identity + name, digest_size=8).digest()

    return [max(peers, key=weight)] if peers else []
