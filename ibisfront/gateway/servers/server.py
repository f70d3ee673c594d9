"""A backend server as observed by this instance."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ibisfront.gateway.load.cold_start_limit import ColdStartLimit
from ibisfront.gateway.load.server_window import ServerWindow

if TYPE_CHECKING:
    from ibisfront.gateway.instances.zone_paths import ZonePath
    from ibisfront.gateway.load.server_load import ServerLoad
    from ibisfront.gateway.servers.exchange import Exchange
    from ibisfront.gateway.servers.pool import ServerPool
    from ibisfront.gateway.servers.server_entry import ServerEntry

__all__ = ["Server"]

_SLOWNESS_WEIGHT = 0.15
"""Weight of one reply in the smoothed slowness: a single pause does not make a server
cost more than one in another zone; two slow replies do."""

_MAX_LATENCY_RATIO = 5.0
"""Upper limit on the ratio of one reply to the route's baseline latency, so that a
single pause does not look like a slow server."""

_SLOWNESS_HALF_LIFE_MS = 2_500.0
"""Half-life of the slowness: a server that is avoided is no longer measured and
must be tried again."""

_FAILURE_WEIGHT = 0.25
"""Weight of one exchange in the smoothed failure rate: four consecutive failures make
a server cost more than one that is paused."""

_FAILURE_HALF_LIFE_MS = 1_500.0
"""Half-life of the failure rate: a little longer than the longest backoff."""

_INITIAL_BACKOFF_MS = 250.0
"""Initial backoff; doubled with each further lost connection."""

_MAX_BACKOFF_MS = 1_000.0
"""Longest backoff, so that a recovered server is used within a second."""

_LOSSES_BEFORE_BACKOFF = 2
"""Consecutive connections lost or refused that start the backoff."""

_UNREACHABLE_MS = 400.0
"""Minimum silence after which a server counts as unreachable: longer than a pause."""

_UNREACHABLE_FACTOR = 3.0
"""The same minimum as a multiple of the latency beyond which a reply is late: a
server that runs one long request sends no other reply meanwhile."""

_OVERDUE_FACTOR = 2.5
"""Silence of this many baseline latencies counts as a pause: twice the shortest time
after which a healthy reply would be hedged."""

_OVERDUE_MARGIN_MS = 8.0
"""Added to that silence: the time that a busy process takes to read a reply."""


class Server:
    """One incarnation of a backend server.

    Parameters
    ----------
    entry : ServerEntry
        Its entry in the store.
    now_ms : float
        The current time.
    is_near : bool
        Whether it is in this instance's availability zone.
    path : ZonePath, optional
        The network path to its zone; None for this instance's zone.

    Attributes
    ----------
    pool : ServerPool or None
        Its connections.
    is_removed : bool
        Whether it was removed or replaced and must not get any more requests.
    is_evacuated : bool
        Whether its zone is evacuated, so that it must not get any requests.
    is_stale : bool
        Whether its entry was missing from the first list after a store outage:
        it may be gone, or running without having renewed its entry yet.
    in_flight : dict of Exchange
        Exchanges submitted and not ended, oldest first.
    last_reply_at_ms : float
        When it last sent any reply.
    connected_at_ms : float
        When a connection to it was last opened.
    not_before_ms : float
        End of its backoff.
    load : ServerLoad or None
        Its last reported load.
    load_at_ms : float
        When that load was reported.
    warm_at_ms : float
        End of its warm-up.
    cold_start_limit : ColdStartLimit
        Limit on requests from this instance while it is cold.
    window : ServerWindow
        How many requests this instance keeps in flight there.
    """

    __slots__ = (
        "_consecutive_losses",
        "_failure_rate",
        "_failure_rate_at_ms",
        "_is_unreachable",
        "_slowness",
        "_slowness_at_ms",
        "cold_start_limit",
        "connected_at_ms",
        "entry",
        "in_flight",
        "is_evacuated",
        "is_near",
        "is_removed",
        "is_stale",
        "last_reply_at_ms",
        "load",
        "load_at_ms",
        "not_before_ms",
        "path",
        "pool",
        "warm_at_ms",
        "window",
    )

    def __init__(
        self,
        entry: ServerEntry,
        *,
        now_ms: float,
        is_near: bool,
        path: ZonePath | None = None,
    ) -> None:
        self.entry = entry
        self.path = path
        self.is_near = is_near
        self.pool: ServerPool | None = None
        self.is_removed = False
        self.is_evacuated = False
        self.is_stale = False
        self.in_flight: dict[Exchange, None] = {}
        self.last_reply_at_ms = -math.inf
        self.connected_at_ms = -math.inf
        self.not_before_ms = -math.inf
        self.warm_at_ms = now_ms + entry.warm_up_left_ms
        self.cold_start_limit = ColdStartLimit()
        self.window = ServerWindow(entry.slots)
        self.load: ServerLoad | None = None
        self.load_at_ms = -math.inf
        self._slowness = 1.0
        self._slowness_at_ms = now_ms
        self._failure_rate = 0.0
        self._failure_rate_at_ms = now_ms
        self._consecutive_losses = 0
        self._is_unreachable = False

    @property
    def is_usable(self) -> bool:
        """Whether it may be sent new requests."""
        return not (self.is_removed or self.is_evacuated or self.entry.is_draining)

    @property
    def is_behind_partition(self) -> bool:
        """Whether the path to its zone is partitioned."""
        return self.path is not None and self.path.is_partitioned

    def is_cold(self, now_ms: float) -> bool:
        """Return whether it has just started, or has become cold again."""
        return now_ms < self.warm_at_ms

    def can_accept(self, now_ms: float) -> bool:
        """Return whether this instance may send it one more request."""
        if not self.is_cold(now_ms):
            return True
        waiting = sum(item.sent_at_ms is None for item in self.in_flight)
        return self.cold_start_limit.has_room(now_ms, waiting=waiting)

    def record_sent(self, now_ms: float) -> None:
        """Record that a request was sent to it."""
        if self.is_cold(now_ms):
            self.cold_start_limit.record_sent(now_ms)

    @property
    def last_seen_at_ms(self) -> float:
        """When it last sent a reply or accepted a connection."""
        return max(self.last_reply_at_ms, self.connected_at_ms)

    def slowness(self, now_ms: float) -> float:
        """Return its smoothed latency, as a multiple of the baseline latency."""
        age_ms = now_ms - self._slowness_at_ms
        decay = math.exp2(-age_ms / _SLOWNESS_HALF_LIFE_MS)
        return 1.0 + (self._slowness - 1.0) * decay

    def failure_rate(self, now_ms: float) -> float:
        """Return the smoothed share of its exchanges that failed, from 0 to 1."""
        age_ms = now_ms - self._failure_rate_at_ms
        return self._failure_rate * math.exp2(-age_ms / _FAILURE_HALF_LIFE_MS)

    def silent_ms(self, now_ms: float) -> float:
        """Return how long it has sent no reply while one was pending."""
        if not self.in_flight:
            return 0.0
        oldest = next(iter(self.in_flight))
        return now_ms - max(oldest.waiting_since_ms, self.last_reply_at_ms)

    def is_reachable(self, now_ms: float) -> bool:
        """Return whether it seems reachable, even if slow."""
        if self._is_unreachable or self.is_behind_partition:
            return False
        if not self.in_flight:
            return True
        oldest = next(iter(self.in_flight))
        silent_ms = now_ms - max(oldest.waiting_since_ms, self.last_seen_at_ms)
        return silent_ms <= _silence_limit_ms(oldest)

    def is_overdue(self, now_ms: float, baseline_ms: float) -> bool:
        """Return whether it seems to be paused.

        A paused server and a crashed one both show first as an overdue reply.
        Until it arrives, the other servers of the service are the better choice.
        """
        limit_ms = _OVERDUE_FACTOR * baseline_ms + _OVERDUE_MARGIN_MS
        return self.silent_ms(now_ms) > limit_ms

    def update_entry(self, entry: ServerEntry, now_ms: float) -> None:
        """Apply a newer entry of this incarnation.

        What waits for a server that begins to drain goes to another one.

        A server may become cold while it runs. An entry that is read again with the
        same warm-up time is not a new cold start.
        """
        if entry.warm_up_left_ms != self.entry.warm_up_left_ms:
            self.warm_at_ms = now_ms + entry.warm_up_left_ms
        self.window.slots = entry.slots
        begins_draining = entry.is_draining and not self.entry.is_draining
        self.entry = entry
        if begins_draining and self.pool is not None:
            self.pool.release_waiting()

    def evacuate(self) -> None:
        """Stop sending it requests; fail those that wait for a connection."""
        self.is_evacuated = True
        if self.pool is not None:
            self.pool.release_waiting()

    def resume_after_evacuation(self, now_ms: float, *, warm_up_share: float) -> None:
        """Use it again after an evacuation, once a share of its warm-up has passed.

        Load pattern: all servers of a zone are cold and become usable at the same time.
        Each instance picks its own start time for each server, so that the load returns
        gradually over the warm-up.
        """
        warm_up_ms = self.cold_start_limit.warm_up_ms
        self.warm_at_ms = max(self.warm_at_ms, now_ms + warm_up_ms)
        start_at_ms = now_ms + warm_up_share * warm_up_ms
        self.not_before_ms = max(self.not_before_ms, start_at_ms)

    def record_submitted(self, exchange: Exchange, now_ms: float) -> None:
        """Record an exchange that is sent or waits for a connection."""
        self.in_flight[exchange] = None
        if self.path is not None:
            name = self.entry.server_id
            self.path.record_request(name, now_ms, late_ms=exchange.expected_ms)

    def fail_in_flight(self) -> int:
        """Fail the exchanges that may be sent again; return how many."""
        exchanges = [item for item in self.in_flight if item.may_fail_fast]
        for exchange in exchanges:
            exchange.fail_fast()
        return len(exchanges)

    def clear_failures(self) -> None:
        """Clear its failures, which were due to a partitioned path."""
        self._consecutive_losses = 0
        self._is_unreachable = False
        self._failure_rate = 0.0
        self.not_before_ms = -math.inf

    def record_load(self, now_ms: float, load: ServerLoad) -> None:
        """Record its reported load."""
        self.load = load
        self.load_at_ms = now_ms

    def record_reply(
        self, now_ms: float, *, took_ms: float, baseline_ms: float
    ) -> None:
        """Record a reply whose latency is representative."""
        self.record_alive(now_ms)
        self._consecutive_losses = 0
        self.not_before_ms = -math.inf
        ratio = min(took_ms / baseline_ms, _MAX_LATENCY_RATIO)
        self._record_latency_ratio(now_ms, ratio)
        self._failure_rate = self.failure_rate(now_ms) * (1.0 - _FAILURE_WEIGHT)
        self._failure_rate_at_ms = now_ms

    def record_cancelled(
        self, now_ms: float, *, waited_ms: float, baseline_ms: float
    ) -> None:
        """Record a reply that was abandoned, as a lower bound on its latency.

        Without it a slow server whose work is always cancelled would no longer be
        measured, would seem healthy again within seconds, and would get the next
        primary attempt.
        """
        ratio = min(waited_ms / baseline_ms, _MAX_LATENCY_RATIO)
        if ratio > self.slowness(now_ms):
            self._record_latency_ratio(now_ms, ratio)

    def record_refused(self, now_ms: float, retry_after_ms: float | None) -> None:
        """Record a reply which states that the request did not run."""
        self.record_alive(now_ms)
        self._consecutive_losses = 0
        self._record_failure(now_ms)
        if retry_after_ms is not None:
            wait_ms = min(retry_after_ms, _INITIAL_BACKOFF_MS)
            self.not_before_ms = max(self.not_before_ms, now_ms + wait_ms)

    def record_failed(self, now_ms: float) -> None:
        """Record an error reply."""
        self.record_alive(now_ms)
        self._record_failure(now_ms)

    def record_connected(self, now_ms: float) -> None:
        """Record that a connection to it was opened."""
        self.connected_at_ms = now_ms
        if self.path is not None:
            self.path.record_liveness()
        self._consecutive_losses = 0
        if self._is_unreachable and self.cold_start_limit.share_per_s is not None:
            # It may have restarted; the store reports that a moment later.
            warm_up_ms = self.cold_start_limit.warm_up_ms
            self.warm_at_ms = max(self.warm_at_ms, now_ms + warm_up_ms)
        self._is_unreachable = False
        self.not_before_ms = -math.inf

    def record_unreachable(self, now_ms: float) -> None:
        """Record that no connection to it could be opened."""
        self._is_unreachable = True
        self.record_lost(now_ms)

    def record_liveness_failure(self, now_ms: float) -> None:
        """Record that it did not answer a liveness probe."""
        self.record_unreachable(now_ms)
        if self.path is not None:
            self.path.mark_suspect()

    def record_silent(self, now_ms: float, exchange: Exchange) -> None:
        """Record that a reply did not arrive while it was needed."""
        if now_ms - self.last_seen_at_ms > _silence_limit_ms(exchange):
            self._is_unreachable = True
        self.record_lost(now_ms)

    def record_lost(self, now_ms: float) -> None:
        """Record a lost connection.

        A server that resets connections may only have too many of them. It is
        avoided during a backoff and still counts as reachable.
        """
        self._record_failure(now_ms)
        self._consecutive_losses += 1
        if self._consecutive_losses >= _LOSSES_BEFORE_BACKOFF:
            doublings = self._consecutive_losses - _LOSSES_BEFORE_BACKOFF
            wait_ms = min(_INITIAL_BACKOFF_MS * 2**doublings, _MAX_BACKOFF_MS)
            self.not_before_ms = max(self.not_before_ms, now_ms + wait_ms)

    def record_alive(self, now_ms: float) -> None:
        """Record a reply that shows only that it is running."""
        self.last_reply_at_ms = now_ms
        if self.path is not None:
            self.path.record_liveness()
        self._is_unreachable = False

    def _record_latency_ratio(self, now_ms: float, ratio: float) -> None:
        """Record a latency, as a multiple of the baseline latency."""
        slowness = self.slowness(now_ms)
        self._slowness = slowness + _SLOWNESS_WEIGHT * (ratio - slowness)
        self._slowness_at_ms = now_ms

    def _record_failure(self, now_ms: float) -> None:
        failure_rate = self.failure_rate(now_ms)
        self._failure_rate = failure_rate + _FAILURE_WEIGHT * (1.0 - failure_rate)
        self._failure_rate_at_ms = now_ms


def _silence_limit_ms(exchange: Exchange) -> float:
    """Return the silence after which an exchange's server counts as unreachable."""
    return max(_UNREACHABLE_MS, _UNREACHABLE_FACTOR * exchange.expected_ms)
