"""Whether the servers have enough room for one more request.

Load pattern: of the many services of a query some are scarce. The query is done when
the last part that it needs has come, so neither the mean nor the worst service says
when it can start.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ibisfront.gateway.load.service_room import ServiceRoom

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["deciding_room", "has_room"]


def deciding_room(rooms: Iterable[ServiceRoom], needed: int) -> ServiceRoom:
    """Return the room of the service that decides when enough parts can start.

    Parameters
    ----------
    rooms : iterable of ServiceRoom
        The rooms of all services of a request.
    needed : int
        Number of services that it needs; the last of these decides, not the mean.
    """
    if needed <= 0:
        return ServiceRoom()
    ordered = sorted(rooms, key=lambda room: room.wait_ms)
    if needed > len(ordered):
        return ServiceRoom(wait_ms=math.inf)
    return ordered[needed - 1]


def has_room(room: ServiceRoom, turn_ms: float, *, starting: int = 0) -> bool:
    """Return whether one more request may go on to the servers.

    One turn of work, or the next start if these are rarer, waits at the servers'
    windows, so that none of them is idle while a query waits for its last service.

    Parameters
    ----------
    room : ServiceRoom
        Room of the service that decides.
    turn_ms : float
        Usual time for which a sub-request occupies a slot.
    starting : int
        Requests let in whose sub-requests the room does not show yet.
    """
    wait_ms = room.wait_ms + starting * room.interval_ms
    return wait_ms <= max(turn_ms, room.interval_ms)
