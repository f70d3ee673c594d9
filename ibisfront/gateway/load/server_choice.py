"""Choice of a server of a service for a request.

Load pattern: the servers of a service differ. Some are slow for seconds, some pause,
some share their machine with others, some are cold, some fail; and one is in the same
zone. The request goes to the server of least expected latency.
"""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from ibisfront.gateway.servers.server import Server

__all__ = ["choose_server", "server_cost"]

_REPORTED_HALF_LIFE_MS = 300.0
"""Half-life of a reported work factor: it changes many times a second, and a server
that is avoided because of it sends no new report."""

_OVERDUE_PENALTY = 4.0
"""Cost, in baseline latencies, of a server that appears stalled: the expected delay
of a request, as for the penalties below."""

_FAILURE_PENALTY = 6.0
"""Cost, in baseline latencies, of a server all of whose exchanges fail."""

_BACKOFF_PENALTY = 100.0
"""Cost of a server in backoff: more than all other penalties together."""

_STALE_PENALTY = 50.0
"""Cost of a server with a stale entry: used only if its service has no other."""

_IN_FLIGHT_PENALTY = 0.45
"""Relative increase of a server's latency per request of this instance in flight."""

_COLD_PENALTY = 0.6
"""Cost, in baseline latencies, of a server that has just started."""

_OTHER_ZONE_PENALTY = 0.7
"""Additional cost, in baseline latencies, of a server in another availability zone:
more than one request in flight at the local one, less than two."""

_COST_JITTER = 0.1
"""Relative random variation of costs, so that instances that see equal servers do not
all choose the same one; less than any of the penalties."""

_POOL_FULL_PENALTY = 1.0
"""Additional cost, in baseline latencies, if the request has to wait for a connection:
one baseline request that completes first."""

_MAX_REPORTED_DELAY = 5.0
"""Upper bound of the delay due to a reported work factor; more is not trusted."""


def server_cost(server: Server, now_ms: float, baseline_ms: float) -> float:
    """Return the expected latency in units of the baseline latency.

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
    cost += _FAILURE_PENALTY * server.failure_rate(now_ms)
    if server.is_overdue(now_ms, baseline_ms):
        cost += _OVERDUE_PENALTY
    if not server.is_near:
        cost += _OTHER_ZONE_PENALTY
    if server.is_cold(now_ms):
        cost += _COLD_PENALTY
    if now_ms < server.not_before_ms:
        cost += _BACKOFF_PENALTY
    if server.is_stale:
        cost += _STALE_PENALTY
    return cost


def _reported_delay(server: Server, now_ms: float) -> float:
    """Return the delay due to load on the server's machine, in baseline latencies.

    Load pattern: other processes on its machine slow its work fourfold for half a
    second. The first reply of that period reports it, before the next is slow.
    """
    load = server.load
    if load is None or load.work_factor is None or load.work_factor <= 1.0:
        return 0.0
    remaining = math.exp2(-(now_ms - server.load_at_ms) / _REPORTED_HALF_LIFE_MS)
    return min(load.work_factor - 1.0, _MAX_REPORTED_DELAY) * remaining


def choose_server(
    servers: list[Server],
    tried: list[Server],
    *,
    now_ms: float,
    baseline_ms: float,
    cost_factor: Callable[[Server], float] | None = None,
) -> Server | None:
    """Return the cheapest server that may be used and was not tried, or None.

    Parameters
    ----------
    servers : list of Server
        The service's servers.
    tried : list of Server
        The servers that have already been sent the request.
    now_ms : float
        The time.
    baseline_ms : float
        The route's baseline latency.
    cost_factor : callable, optional
        Returns a factor of a server's cost that this instance does not observe.
    """
    cheapest: Server | None = None
    least_cost = 0.0
    for server in servers:
        if not server.is_usable or server.is_behind_partition or server in tried:
            continue
        if not server.can_accept(now_ms):
            continue
        cost = server_cost(server, now_ms, baseline_ms)
        if server.pool is not None and not server.pool.has_room:
            cost += _POOL_FULL_PENALTY
        if cost_factor is not None:
            cost *= cost_factor(server)
        cost *= 1.0 + _COST_JITTER * random.random()
        if cheapest is None or cost < least_cost:
            cheapest, least_cost = server, cost
    return cheapest
