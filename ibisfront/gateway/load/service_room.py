"""Room that a service's servers have for one more request.

Load pattern: one service of many has few servers left, and every query needs it. Its
room decides whether a query can be in time, long before any of its parts is late.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ibisfront.gateway.servers.server import Server

__all__ = ["ServiceRoom", "service_room"]

_PART_ENDED = 0.5
"""Mean share of a full window's interval until its next request ends."""


class ServiceRoom(msgspec.Struct, frozen=True):
    """What this instance expects of a service, from its own exchanges.

    Attributes
    ----------
    wait_ms : float
        Expected time until a server starts one more request of the given rank; 0 with
        a free slot, infinite without a usable server.
    interval_ms : float
        Mean time between two starts by this instance while all its slots are in use.
    waiting : int
        Requests of this instance that wait for a slot.
    """

    wait_ms: float = 0.0
    interval_ms: float = 0.0
    waiting: int = 0

    @property
    def is_usable(self) -> bool:
        """Whether any server can start the request."""
        return math.isfinite(self.wait_ms)


_FREE = ServiceRoom()
_NO_ROOM = ServiceRoom(wait_ms=math.inf)


def service_room(
    servers: Sequence[Server], *, now_ms: float, rank: int, work_ms: float
) -> ServiceRoom:
    """Return the room of a service: the least wait, and the starts of all servers.

    Parameters
    ----------
    servers : sequence of Server
        Its servers.
    now_ms : float
        The time.
    rank : int
        The rank of the request.
    work_ms : float
        How long a server runs one request, where no reply has shown it yet.
    """
    least = _NO_ROOM
    starts_per_ms = 0.0
    waiting = 0
    for server in servers:
        room = _server_room(server, now_ms, rank, work_ms)
        if room is _FREE:
            return room
        if not room.is_usable:
            continue
        starts_per_ms += 1.0 / room.interval_ms
        waiting += room.waiting
        if room.wait_ms < least.wait_ms:
            least = room
    if least is _NO_ROOM:
        return least
    return ServiceRoom(least.wait_ms, 1.0 / starts_per_ms, waiting)


def _server_room(
    server: Server, now_ms: float, rank: int, work_ms: float
) -> ServiceRoom:
    """Return the room of one server."""
    pool = server.pool
    if pool is None or not (server.is_usable and server.is_reachable(now_ms)):
        return _NO_ROOM
    window = server.window
    backoff_ms = server.not_before_ms - now_ms
    wait_ms = max(window.delay_ms(now_ms), backoff_ms, 0.0)
    has_room = window.has_room(now_ms, sent=pool.sent)
    if has_room and wait_ms < work_ms:
        return _FREE
    interval_ms = window.interval_ms or work_ms
    waiting = pool.waiting_before(rank, now_ms)
    if not has_room:
        wait_ms += (waiting + _PART_ENDED) * interval_ms
    return ServiceRoom(wait_ms, interval_ms, waiting)
