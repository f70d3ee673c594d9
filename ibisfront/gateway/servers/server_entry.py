"""What the platform's store says of a backend server."""

from __future__ import annotations

import msgspec

from ibisfront.core.types import Address

__all__ = ["ServerEntry"]


class ServerEntry(msgspec.Struct, frozen=True, array_like=True):
    """What the platform's store says of one backend server.

    Attributes
    ----------
    server_id : str
        Its name. A restart may keep it, and is another server all the same.
    service : str
        The service it belongs to.
    address : Address
        Where it listens.
    zone : str
        Its availability zone.
    slots : int
        How many requests it runs at once.
    is_draining : bool
        Whether it asks for no new requests.
    warm_up_left_ms : float
        How much longer it is slow after its start, when the entry was written.
    born_ms : int
        When this incarnation started, in Unix milliseconds by its own clock;
        0 if the entry does not say.
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
        """Return whether both are of one incarnation of one server."""
        return (
            self.server_id == other.server_id
            and self.born_ms == other.born_ms
            and self.address == other.address
            and self.service == other.service
        )
