"""How much one instance may send to a server that is cold.

Load pattern: a zone's servers come back together and are cold. All instances find them
idle and send them their next requests; a cold server breaks down well above the rate
that it bears.
"""

from __future__ import annotations

import hashlib
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

__all__ = ["ColdStartLimit", "cold_share"]

_WINDOW_MS = 1_050.0
"""The sliding second, and what a busy process may send late."""

_USED_SHARE = 0.75
"""Share of the bound that is given out: instances that do not agree yet on who sends
to a server give out some of it twice."""


def cold_share(
    server_id: str,
    *,
    own: str,
    senders: Collection[str],
    bound_per_s: float,
) -> int:
    """Return how many requests a second this instance may send to a cold server.

    The shares of all senders add up to no more than the bound. Where it has less than
    one request for each, some of them have one and the others none: which ones follows
    from the names, so that no talk is needed, and is another set for each server.

    Parameters
    ----------
    server_id : str
        The server.
    own : str
        This instance.
    senders : collection of str
        The instances that send to the server; others send nothing.
    bound_per_s : float
        What the server may get in a second from all of them.
    """
    if own not in senders:
        return 0
    total = int(bound_per_s * _USED_SHARE)
    count = len(senders)
    if total >= count:
        return total // count

    def place(name: str) -> bytes:
        return hashlib.blake2b(f"{server_id} {name}".encode()).digest()

    own_place = place(own)
    before = sum(place(name) < own_place for name in senders if name != own)
    return int(before < total)


class ColdStartLimit:
    """What this instance has sent to one cold server in the last second.

    Attributes
    ----------
    share : int or None
        How many requests a second it may send; None for any number.
    warm_up_ms : float
        How long the server is cold after a start.
    """

    __slots__ = ("_sent_ms", "share", "warm_up_ms")

    def __init__(self) -> None:
        self.share: int | None = None
        self.warm_up_ms = 0.0
        self._sent_ms: deque[float] = deque()

    def has_room(self, now_ms: float, *, waiting: int) -> bool:
        """Return whether one more may be sent.

        Parameters
        ----------
        now_ms : float
            The time.
        waiting : int
            Requests that wait for a connection to the server, and are sent as soon as
            there is one.
        """
        if self.share is None:
            return True
        while self._sent_ms and self._sent_ms[0] <= now_ms - _WINDOW_MS:
            self._sent_ms.popleft()
        return len(self._sent_ms) + waiting < self.share

    def record_sent(self, now_ms: float) -> None:
        """Take in a request that was sent."""
        if self.share is not None:
            self._sent_ms.append(now_ms)
