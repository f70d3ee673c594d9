"""Which services a scatter-gather query leaves out.

Load pattern: a query needs most of its services, and several have hardly any servers
left. Asked of all of them, every query is late; yet the coverage allows each query to
do without a few. A query leaves out services that would be late, chosen by a hash of
its id, so that each of them serves some queries wholly instead of all of them late.
"""

from __future__ import annotations

import hashlib
import math
from typing import TYPE_CHECKING

from ibisfront.gateway.load.service_room import service_room

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from ibisfront.gateway.load.query_time import QueryTime
    from ibisfront.gateway.servers.server import Server

__all__ = ["any_scarce", "services_left_out"]

_WORK_FACTOR = 1.5
"""Time allowed for one part, in unloaded latencies: work varies by a third."""

_HASH_BYTES = 8

_RESERVE = 1
"""Parts beyond those needed that a query always asks for: one server may pause."""


def services_left_out(
    services: Sequence[str],
    servers_of: Callable[[str], list[Server]],
    *,
    query_id: bytes,
    needed: int,
    rank: int,
    now_ms: float,
    query_time: QueryTime,
    work_ms: float,
) -> list[str]:
    """Return the services that a query should not ask, the least scarce first.

    Parameters
    ----------
    services : sequence of str
        All services of the query.
    servers_of : callable
        Returns the servers of a service.
    query_id : bytes
        Selects among the services; the same for a query at every instance.
    needed : int
        Minimum number of parts of an answer.
    rank : int
        The query's rank.
    now_ms : float
        The time.
    query_time : QueryTime
        When the query has to end. Marked as late if it needs services that are.
    work_ms : float
        Unloaded latency of one part; infinite if unknown.
    """
    if math.isinf(work_ms) or not any_scarce(services, servers_of, now_ms):
        return []
    spare = len(services) - needed
    latest_wait_ms = query_time.end_at_ms - now_ms - _WORK_FACTOR * work_ms
    late: list[tuple[bytes, float, str]] = []
    for service in services:
        servers = servers_of(service)
        room = service_room(servers, now_ms=now_ms, rank=rank, work_ms=work_ms)
        if not room.is_usable:
            spare -= 1
        elif room.wait_ms > latest_wait_ms:
            late.append((_draw(query_id, service), room.wait_ms, service))
    query_time.is_late = len(late) > max(spare, 0)
    chosen = sorted(late)[: max(spare - _RESERVE, 0)]
    return [name for _, _, name in sorted(chosen, key=lambda item: item[1])]


def any_scarce(
    services: Sequence[str], servers_of: Callable[[str], list[Server]], now_ms: float
) -> bool:
    """Return whether any service has only servers to which the window is limited."""
    return any(_is_limited(servers_of(service), now_ms) for service in services)


def _is_limited(servers: list[Server], now_ms: float) -> bool:
    has_server = False
    for server in servers:
        if server.is_usable and server.is_reachable(now_ms):
            if server.window.is_open_at(now_ms):
                return False
            has_server = True
    return has_server


def _draw(query_id: bytes, service: str) -> bytes:
    """Return a number that orders the services differently for each query."""
    key = query_id + b"\n" + service.encode()
    return hashlib.blake2b(key, digest_size=_HASH_BYTES).digest()
