"""Which server of a service gets a request.

Load pattern: the servers of a service are not alike. Some are slow for seconds, some
pause, some share their machine with others, some are cold, some fail; and one stands in
the same zone. The request goes where it is expected to be answered first.
"""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ibisfront.gateway.servers.server import Server

__all__ = ["choose_server", "server_cost"]

_REPORTED_HALF_LIFE_MS = 300.0
"""How fast what a server says of its machine loses half of its weight: it changes many
times a second, and a server that is avoided for it says nothing new."""

_OVERDUE_PENALTY = 4.0
"""Cost, in baseline latencies, of a server that seems to stand still: what a request
there loses, as the costs that follow."""

_FAILURE_PENALTY = 6.0
"""Cost, in baseline latencies, of a server all of whose exchanges fail."""

_AVOIDED_PENALTY = 100.0
"""Cost of a server that is left alone: more than all others together."""

_STALE_PENALTY = 50.0
"""Cost of a server that may be gone: it is asked where its service has no other."""

_IN_FLIGHT_PENALTY = 0.45
"""Share by which each request of ours at a server makes the next one slower."""

_COLD_PENALTY = 0.6
"""Cost, in baseline latencies, of a server that has just started."""

_OTHER_ZONE_PENALTY = 0.7
"""What a server of another availability zone costs more, in baseline latencies:
more than one request of ours at the near one, less than two."""

_COST_JITTER = 0.1
"""Share by which costs are varied at random, so that instances that see equal
servers do not all choose the same one; less than any of the penalties."""

_NO_ROOM_COST = 1.0
"""What a server costs more, in baseline latencies, if the request has to wait for
a connection to it: that of a usual request that ends first."""

_LARGEST_DELAY = 5.0
"""The most that a server's word of its machine adds: more is not believed."""


def server_cost(server: Server, now_ms: float, baseline_ms: float) -> float:
    """Return the expected latency in units of the usual one.

    Parameters
    ----------
    server : Server
        The server.
    now_ms : float
        The time.
    baseline_ms : float
        The route's baseline latency.
    """
    cost = server.slowness(now_ms) * (1.0 + _IN_FLIGHT_PENALTY * len(server.in_flight))
    cost += _reported_delay(server, now_ms)
    cost += _FAILURE_PENALTY * server.failing(now_ms)
    if server.is_overdue(now_ms, baseline_ms):
        cost += _OVERDUE_PENALTY
    if not server.is_near:
        cost += _OTHER_ZONE_PENALTY
    if server.is_cold(now_ms):
        cost += _COLD_PENALTY
    if now_ms < server.not_before_ms:
        cost += _AVOIDED_PENALTY
    if server.is_stale:
        cost += _STALE_PENALTY
    return cost


def _reported_delay(server: Server, now_ms: float) -> float:
    """Return how much longer work takes on its machine, in baseline latencies.

    Load pattern: others on its machine make its work four times as long for half
    a second. The first reply of the spell says so, before the next is slow.
    """
    load = server.load
    if load is None or load.work_factor is None or load.work_factor <= 1.0:
        return 0.0
    left = math.exp2(-(now_ms - server.load_at_ms) / _REPORTED_HALF_LIFE_MS)
    return min(load.work_factor - 1.0, _LARGEST_DELAY) * left


def choose_server(
    servers: list[Server], tried: list[Server], *, now_ms: float, baseline_ms: float
) -> Server | None:
    """Return the server of least expected cost that was not tried yet.

    Parameters
    ----------
    servers : list of Server
        The service's servers.
    tried : list of Server
        Those that had the request already.
    now_ms : float
        The time.
    baseline_ms : float
        The route's baseline latency.
    """
    best: Server | None = None
    best_cost = 0.0
    for server in servers:
        if not server.is_usable or server.is_behind_partition or server in tried:
            continue
        if not server.may_take(now_ms):
            continue
        cost = server_cost(server, now_ms, baseline_ms)
        if server.pool is not None and not server.pool.has_room:
            cost += _NO_ROOM_COST
        cost *= 1.0 + _COST_JITTER * random.random()
        if best is None or cost < best_cost:
            best, best_cost = server, cost
    return best
