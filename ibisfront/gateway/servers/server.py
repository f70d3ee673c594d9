"""A backend server as this instance sees it: what was learnt of it."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ibisfront.gateway.load.cold_start_limit import ColdStartLimit

if TYPE_CHECKING:
    from ibisfront.gateway.instances.zone_paths import ZonePath
    from ibisfront.gateway.load.server_load import ServerLoad
    from ibisfront.gateway.servers.exchange import Exchange
    from ibisfront.gateway.servers.pool import ServerPool
    from ibisfront.gateway.servers.server_entry import ServerEntry

__all__ = ["Server"]

_SLOWNESS_WEIGHT = 0.15
"""Weight of one reply in the smoothed slowness: one pause does not make a server cost
more than one of another zone, two slow replies do."""

_LARGEST_RATIO = 5.0
"""One reply counts as at most this many times the route's baseline latency, so
that a single pause does not look like a slow server."""

_SLOWNESS_HALF_LIFE_MS = 2_500.0
"""How fast an old measurement of slowness loses half of its weight: a server
that is avoided is measured no more and has to be tried again."""

_FAILURE_WEIGHT = 0.25
"""Weight of one exchange in the smoothed share of failures: four failures in a row
make a server cost more than one that is paused."""

_FAILURE_HALF_LIFE_MS = 1_500.0
"""How fast failures lose half of their weight: a little longer than the longest time
for which a server is left alone."""

_FIRST_BACK_OFF_MS = 250.0
"""How long a server is left alone at first; doubled with each loss."""

_LONGEST_BACK_OFF_MS = 1_000.0
"""How long at the most, so that a server that is back is used within a second."""

_DEAD_AFTER = 2
"""Connections lost or refused in a row after which a server is left alone."""

_UNREACHABLE_MS = 400.0
"""The least silence after which a server counts as cut off: longer than a pause."""

_UNREACHABLE_FACTOR = 3.0
"""The least silence in units of the time after which a reply is late: a server
at work on one long request replies to nothing meanwhile."""

_OVERDUE_FACTOR = 2.5
"""Silence of this many baseline latencies counts as a pause: twice the time after which
a healthy reply would already be hedged at the earliest."""

_OVERDUE_FLOOR_MS = 8.0
"""Added to that silence: what a busy process takes to read a reply."""


class Server:
    """One incarnation of a backend server.

    Parameters
    ----------
    entry : ServerEntry
        What the store says of it.
    now_ms : float
        The time.
    is_near : bool
        Whether it is in this instance's availability zone.
    path : ZonePath, optional
        The path to its zone; None for this instance's.

    Attributes
    ----------
    pool : ServerPool or None
        Its connections.
    is_gone : bool
        Whether it must get nothing more.
    is_evacuated : bool
        Whether its zone is evacuated, so that it must get nothing.
    is_stale : bool
        Whether its entry was missing from the first list after an outage of the
        store: it may be gone, or live and not have written its entry again.
    in_flight : dict of Exchange
        What was submitted and has not ended, oldest first.
    last_reply_at_ms : float
        When it last replied anything.
    connected_at_ms : float
        When a connection to it was last opened.
    not_before_ms : float
        Until when it is left alone.
    load : ServerLoad or None
        What it last said of its load.
    load_at_ms : float
        When it did.
    warm_at_ms : float
        Until when it is cold.
    cold_start_limit : ColdStartLimit
        What it may get from here while it is cold.
    """

    __slots__ = (
        "_failing",
        "_failing_at_ms",
        "_is_unreachable",
        "_lost_in_row",
        "_slowness",
        "_slowness_at_ms",
        "cold_start_limit",
        "connected_at_ms",
        "entry",
        "in_flight",
        "is_evacuated",
        "is_gone",
        "is_near",
        "is_stale",
        "last_reply_at_ms",
        "load",
        "load_at_ms",
        "not_before_ms",
        "path",
        "pool",
        "warm_at_ms",
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
        self.is_gone = False
        self.is_evacuated = False
        self.is_stale = False
        self.in_flight: dict[Exchange, None] = {}
        self.last_reply_at_ms = -math.inf
        self.connected_at_ms = -math.inf
        self.not_before_ms = -math.inf
        self.warm_at_ms = now_ms + entry.warm_up_left_ms
        self.cold_start_limit = ColdStartLimit()
        self.load: ServerLoad | None = None
        self.load_at_ms = -math.inf
        self._slowness = 1.0
        self._slowness_at_ms = now_ms
        self._failing = 0.0
        self._failing_at_ms = now_ms
        self._lost_in_row = 0
        self._is_unreachable = False

    @property
    def is_usable(self) -> bool:
        """Whether it may get new requests."""
        return not (self.is_gone or self.is_evacuated or self.entry.is_draining)

    @property
    def is_behind_partition(self) -> bool:
        """Whether the path to its zone is cut."""
        return self.path is not None and self.path.is_partitioned

    def is_cold(self, now_ms: float) -> bool:
        """Return whether it has just started, or has become cold again."""
        return now_ms < self.warm_at_ms

    def may_take(self, now_ms: float) -> bool:
        """Return whether it bears one more request from here."""
        if not self.is_cold(now_ms):
            return True
        waiting = sum(item.sent_at_ms is None for item in self.in_flight)
        return self.cold_start_limit.has_room(now_ms, waiting=waiting)

    def record_sent(self, now_ms: float) -> None:
        """Take in that a request was sent to it."""
        if self.is_cold(now_ms):
            self.cold_start_limit.record_sent(now_ms)

    @property
    def last_seen_ms(self) -> float:
        """When it last showed life: a reply or a new connection."""
        return max(self.last_reply_at_ms, self.connected_at_ms)

    def slowness(self, now_ms: float) -> float:
        """Return how many baseline latencies one of its replies takes."""
        age_ms = now_ms - self._slowness_at_ms
        left = math.exp2(-age_ms / _SLOWNESS_HALF_LIFE_MS)
        return 1.0 + (self._slowness - 1.0) * left

    def failing(self, now_ms: float) -> float:
        """Return the smoothed share of its exchanges that failed."""
        age_ms = now_ms - self._failing_at_ms
        return self._failing * math.exp2(-age_ms / _FAILURE_HALF_LIFE_MS)

    def silent_ms(self, now_ms: float) -> float:
        """Return for how long it has owed a reply without sending any."""
        if not self.in_flight:
            return 0.0
        oldest = next(iter(self.in_flight))
        return now_ms - max(oldest.waits_since_ms, self.last_reply_at_ms)

    def is_reachable(self, now_ms: float) -> bool:
        """Return whether it seems to be there at all, if perhaps slow."""
        if self._is_unreachable or self.is_behind_partition:
            return False
        if not self.in_flight:
            return True
        oldest = next(iter(self.in_flight))
        silent_ms = now_ms - max(oldest.waits_since_ms, self.last_seen_ms)
        return silent_ms <= _silence_limit_ms(oldest)

    def is_overdue(self, now_ms: float, baseline_ms: float) -> bool:
        """Return whether it seems to stand still.

        A server pauses now and then, and a dead one falls silent. Both show
        first as a reply that is overdue; until it comes, the other servers of
        the service are the better choice.
        """
        limit_ms = _OVERDUE_FACTOR * baseline_ms + _OVERDUE_FLOOR_MS
        return self.silent_ms(now_ms) > limit_ms

    def use_entry(self, entry: ServerEntry, now_ms: float) -> None:
        """Take in what the store says now of this incarnation.

        A server may become cold while it runs. An entry that is read again says what
        it said before, and is not a new cold start.
        """
        if entry.warm_up_left_ms != self.entry.warm_up_left_ms:
            self.warm_at_ms = now_ms + entry.warm_up_left_ms
        self.entry = entry

    def evacuate(self) -> None:
        """Send it nothing more; what waits for a connection is asked elsewhere."""
        self.is_evacuated = True
        if self.pool is not None:
            self.pool.release_waiting()

    def return_cold(self, now_ms: float, *, warm_up_share: float) -> None:
        """Use it again after an evacuation, from some share of its warm-up on.

        Load pattern: all servers of a zone are to be used again at once, and are cold.
        Each instance begins with each server at a moment of its own, so that the work
        comes back over the warm-up.
        """
        warm_up_ms = self.cold_start_limit.warm_up_ms
        self.warm_at_ms = max(self.warm_at_ms, now_ms + warm_up_ms)
        begins_ms = now_ms + warm_up_share * warm_up_ms
        self.not_before_ms = max(self.not_before_ms, begins_ms)

    def record_submitted(self, exchange: Exchange, now_ms: float) -> None:
        """Take in an exchange that is sent, or waits for a connection."""
        self.in_flight[exchange] = None
        if self.path is not None:
            name = self.entry.server_id
            self.path.record_asked(name, now_ms, late_ms=exchange.expected_ms)

    def break_off(self) -> int:
        """End what waits for its reply and may be sent again; return how many."""
        exchanges = [item for item in self.in_flight if item.may_break_off]
        for exchange in exchanges:
            exchange.break_off()
        return len(exchanges)

    def forget_losses(self) -> None:
        """Take it for reachable and sound: what it lost was lost on a cut path."""
        self._lost_in_row = 0
        self._is_unreachable = False
        self._failing = 0.0
        self.not_before_ms = -math.inf

    def record_load(self, now_ms: float, load: ServerLoad) -> None:
        """Take in what it says of its load."""
        self.load = load
        self.load_at_ms = now_ms

    def record_reply(
        self, now_ms: float, *, took_ms: float, baseline_ms: float
    ) -> None:
        """Take in a reply that shows how fast it works."""
        self.record_alive(now_ms)
        self._lost_in_row = 0
        self.not_before_ms = -math.inf
        ratio = min(took_ms / baseline_ms, _LARGEST_RATIO)
        self._record_ratio(now_ms, ratio)
        self._failing = self.failing(now_ms) * (1.0 - _FAILURE_WEIGHT)
        self._failing_at_ms = now_ms

    def record_cancelled(
        self, now_ms: float, *, waited_ms: float, baseline_ms: float
    ) -> None:
        """Take in a reply that was not waited for any longer.

        It says that the server takes at least this long. Without it a slow
        server whose work is always stopped would be measured no more, seem
        healthy again within seconds, and get the next first choice.
        """
        ratio = min(waited_ms / baseline_ms, _LARGEST_RATIO)
        if ratio > self.slowness(now_ms):
            self._record_ratio(now_ms, ratio)

    def record_refused(self, now_ms: float, retry_after_ms: float | None) -> None:
        """Take in a reply that says that the request did not run."""
        self.record_alive(now_ms)
        self._lost_in_row = 0
        self._record_failing(now_ms)
        if retry_after_ms is not None:
            wait_ms = min(retry_after_ms, _FIRST_BACK_OFF_MS)
            self.not_before_ms = max(self.not_before_ms, now_ms + wait_ms)

    def record_failed(self, now_ms: float) -> None:
        """Take in a reply that is a failure."""
        self.record_alive(now_ms)
        self._record_failing(now_ms)

    def record_connected(self, now_ms: float) -> None:
        """Take in that a connection to it could be opened."""
        self.connected_at_ms = now_ms
        if self.path is not None:
            self.path.record_liveness()
        self._lost_in_row = 0
        if self._is_unreachable and self.cold_start_limit.share_per_s is not None:
            # It may have started again, which the store says a moment later.
            warm_up_ms = self.cold_start_limit.warm_up_ms
            self.warm_at_ms = max(self.warm_at_ms, now_ms + warm_up_ms)
        self._is_unreachable = False
        self.not_before_ms = -math.inf

    def record_unreachable(self, now_ms: float) -> None:
        """Take in that no connection to it could be opened."""
        self._is_unreachable = True
        self.record_lost(now_ms)

    def record_liveness_failure(self, now_ms: float) -> None:
        """Take in that it did not even reply whether it is there."""
        self.record_unreachable(now_ms)
        if self.path is not None:
            self.path.suspect()

    def record_silent(self, now_ms: float, exchange: Exchange) -> None:
        """Take in that a reply was waited for in vain, long past its use."""
        if now_ms - self.last_seen_ms > _silence_limit_ms(exchange):
            self._is_unreachable = True
        self.record_lost(now_ms)

    def record_lost(self, now_ms: float) -> None:
        """Take in a connection that was lost.

        A server that resets connections may only have too many of them; it
        is left alone for a while, and still counts as there.
        """
        self._record_failing(now_ms)
        self._lost_in_row += 1
        if self._lost_in_row >= _DEAD_AFTER:
            doublings = self._lost_in_row - _DEAD_AFTER
            wait_ms = min(_FIRST_BACK_OFF_MS * 2**doublings, _LONGEST_BACK_OFF_MS)
            self.not_before_ms = max(self.not_before_ms, now_ms + wait_ms)

    def record_alive(self, now_ms: float) -> None:
        """Take in a reply that says only that it is there."""
        self.last_reply_at_ms = now_ms
        if self.path is not None:
            self.path.record_liveness()
        self._is_unreachable = False

    def _record_ratio(self, now_ms: float, ratio: float) -> None:
        """Take in how many baseline latencies a reply has taken."""
        slowness = self.slowness(now_ms)
        self._slowness = slowness + _SLOWNESS_WEIGHT * (ratio - slowness)
        self._slowness_at_ms = now_ms

    def _record_failing(self, now_ms: float) -> None:
        failing = self.failing(now_ms)
        self._failing = failing + _FAILURE_WEIGHT * (1.0 - failing)
        self._failing_at_ms = now_ms


def _silence_limit_ms(exchange: Exchange) -> float:
    """Return after how much silence an open exchange shows a cut path."""
    return max(_UNREACHABLE_MS, _UNREACHABLE_FACTOR * exchange.expected_ms)
