"""Rate limit of one instance for a server that is cold.

Load pattern: a zone's servers restart together and are cold. All instances see them
idle and send them their next requests; a cold server fails well above the rate that
it can sustain.
"""

from __future__ import annotations

import hashlib
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

__all__ = ["ColdStartLimit", "cold_share"]

_WINDOW_MS = 1_050.0
"""A sliding second plus a margin for requests that a busy process sends late."""

_USED_SHARE = 0.75
"""Share of the bound that is allotted: instances that do not agree yet on who sends
to a server allot some of it twice."""


def cold_share(
    server_id: str,
    *,
    own_name: str,
    senders: Collection[str],
    bound_per_s: float,
) -> int:
    """Return how many requests per second this instance may send to a cold server.

    The shares of all senders add up to no more than the bound. Where it allows less
    than one request for each, some have one and the others none. A hash of server and
    instance selects them, so no coordination is needed and the set varies by server.

    Parameters
    ----------
    server_id : str
        Id of the server.
    own_name : str
        Name of this instance.
    senders : collection of str
        Names of the instances that send to the server; others send nothing.
    bound_per_s : float
        Requests per second that the server may receive from all of them.
    """
    if own_name not in senders:
        return 0
    total = int(bound_per_s * _USED_SHARE)
    count = len(senders)
    if total >= count:
        return total // count

    def rank(name: str) -> bytes:
        return hashlib.blake2b(f"{server_id} {name}".encode()).digest()

    own_rank = rank(own_name)
    preceding = sum(rank(name) < own_rank for name in senders if name != own_name)
    return int(preceding < total)


class ColdStartLimit:
    """Sliding-window rate limit for the requests of this instance to one cold server.

    Attributes
    ----------
    share_per_s : int or None
        Requests per second that it may send; None for no limit.
    warm_up_ms : float
        How long the server is cold after a start.
    """

    __slots__ = ("_sent_ms", "share_per_s", "warm_up_ms")

    def __init__(self) -> None:
        self.share_per_s: int | None = None
        self.warm_up_ms = 0.0
        self._sent_ms: deque[float] = deque()

    def has_room(self, now_ms: float, *, waiting: int) -> bool:
        """Return whether one more request may be sent.

        Parameters
        ----------
        now_ms : float
            The current time.
        waiting : int
            Requests that wait for a connection to the server and are sent once there
            is one.
        """
        if self.share_per_s is None:
            return True
        while self._sent_ms and self._sent_ms[0] <= now_ms - _WINDOW_MS:
            self._sent_ms.popleft()
        return len(self._sent_ms) + waiting < self.share_per_s

    def record_sent(self, now_ms: float) -> None:
        """Record a request that was sent."""
        if self.share_per_s is not None:
            self._sent_ms.append(now_ms)
