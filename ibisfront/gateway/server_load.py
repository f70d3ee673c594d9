"""What a backend server says of its load."""

from __future__ import annotations

import msgspec

__all__ = ["ServerLoad"]


class ServerLoad(msgspec.Struct, frozen=True):
    """A server's load when it wrote a reply.

    Attributes
    ----------
    running, waiting : int
        Requests that it works on, and that wait for a slot.
    slots : int
        How many it runs at once.
    work_factor : float or None
        How long work takes there, as a multiple of what is usual; None if not said.
    """

    running: int
    waiting: int
    slots: int
    work_factor: float | None = None
