"""Entries of backend servers in the platform's store."""

from __future__ import annotations

import msgspec

from ibisfront.core.types import Address

__all__ = ["ServerEntry"]


class ServerEntry(msgspec.Struct, frozen=True, array_like=True):
    """The platform store's entry for one backend server.

    Attributes
    ----------
    server_id : str
        Its id. A restart may keep it, but is a new incarnation.
    service : str
        The service it belongs to.
    address : Address
        Its listening address.
    zone : str
        Its availability zone.
    slots : int
        How many requests it runs concurrently.
    is_draining : bool
        Whether it accepts no new requests.
    warm_up_left_ms : float
        Remaining warm-up at the time the entry was written.
    born_ms : int
        When this incarnation started, in Unix milliseconds by its own clock;
        0 if unknown.
    """

    server_id: str
    service: str
    address: Address
    zone: str
    slots: int = 1
    is_draining: bool = False
    warm_up_left_ms: float = 0.0
    born_ms: int = 0

    def is_same_server(self, other: ServerEntry) -> bool:
        """Return whether both describe the same incarnation of a server."""
        return (
            self.server_id == other.server_id
            and self.born_ms == other.born_ms
            and self.address == other.address
            and self.service == other.service
        )
