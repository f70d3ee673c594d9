"""The memory and the connections that callers use in a process, and their limits.

Whoever fills a limit that all callers share would shut the others out. So each
connection may use a small allowance of its own, which holds an ordinary request, and
draws on a common pool for more. When the pool is used up, the connections that have
held most of it for longest give up what no server has received.
"""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING, Protocol

from ibisfront.core.counters import CounterKind
from ibisfront.core.logs import LogPart, part_logger
from ibisfront.http1.parser import HEADER_BYTES

if TYPE_CHECKING:
    from collections.abc import Collection

    from ibisfront.core.clock import Clock
    from ibisfront.core.counters import Counters
    from ibisfront.gateway.state.configuration import CallerLimits

__all__ = [
    "ALLOWANCE_BYTES",
    "DEFAULT_DESCRIPTORS",
    "DEFAULT_MEMORY_BYTES",
    "CallerMemory",
    "MeteredConnection",
    "MeteredListener",
]

_LOG = part_logger(LogPart.CALLERS)

ALLOWANCE_BYTES = 8 * 1024
"""What a connection may use before it draws on the pool."""

_CONNECTION_BYTES = 12 * 1024
"""Memory of a connection that carries nothing, with its task."""

_POOL_SHARE = 0.2
"""Share of the memory of the process that connections draw on together."""

_CONNECTIONS_SHARE = 0.2
"""Share of its memory for all connections and their allowances."""

_LARGEST_POOL_SHARE = 0.5
"""Share of its memory to which the pool grows if a single request needs that."""

DEFAULT_MEMORY_BYTES = 200_000_000
DEFAULT_DESCRIPTORS = 4_100
"""Limits of a process of which none are known: those of the smallest machines."""

_FILE_DESCRIPTORS = 200
"""Descriptors that are reserved for files; the others are for sockets."""

_SOCKETS_SHARE = 0.75
"""Share of its sockets for callers; servers, the store and other instances need some
too."""

_LARGEST_SOCKETS_SHARE = 0.9
"""The same if none of the connections can be closed."""

_REFILL_SHARE = 0.9
"""Share of a limit down to which room is made, so that it is not made for each byte."""

_SHORTEST_HEADER_BYTES = 4
"""A header on the wire: a name of one byte, a colon and the end of the line."""

_SMALLEST_AGE_MS = 100.0
"""A caller that has been waited for less has not stalled: up to there sizes decide."""

_LOG_INTERVAL_MS = 1_000.0


class MeteredConnection(Protocol):
    """A caller's connection as its memory is counted.

    Attributes
    ----------
    drawn_bytes : int
        What it draws on the pool; only :class:`CallerMemory` sets it.
    """

    drawn_bytes: int

    @property
    def releasable_bytes(self) -> int:
        """Memory that :meth:`give_up` frees, less what the caller has taken of it."""

    @property
    def is_in_work(self) -> bool:
        """Whether a request is answered, or its answer sent."""

    @property
    def stalled_since_ms(self) -> float:
        """When it began to wait for its caller."""

    def give_up(self) -> None:
        """Drop the requests that were not forwarded, and an answer that stalls."""

    def close(self) -> None:
        """Close it at once."""


class MeteredListener(Protocol):
    """A listener whose connections are counted."""

    @property
    def metered(self) -> Collection[MeteredConnection]:
        """Its open connections."""


class CallerMemory:
    """Limits what callers use over all connections and listeners of a process.

    Parameters
    ----------
    memory_bytes : int
        Memory of the process.
    maximum_descriptors : int
        Descriptors that the process may open, for files and sockets.
    clock : Clock
        The clock.
    counters : Counters, optional
        Counts what was refused or closed.
    connection_bytes : int
        Memory of a connection that carries nothing.

    Attributes
    ----------
    drawn_bytes : int
        What all connections draw on the pool.
    """

    __slots__ = (
        "_clock",
        "_connection_bytes",
        "_counters",
        "_is_making_room",
        "_listeners",
        "_logged_at_ms",
        "_maximum_descriptors",
        "_memory_bytes",
        "_refused",
        "drawn_bytes",
    )

    def __init__(
        self,
        *,
        memory_bytes: int = DEFAULT_MEMORY_BYTES,
        maximum_descriptors: int = DEFAULT_DESCRIPTORS,
        clock: Clock,
        counters: Counters | None = None,
        connection_bytes: int = _CONNECTION_BYTES,
    ) -> None:
        self._connection_bytes = connection_bytes
        self._memory_bytes = memory_bytes
        self._maximum_descriptors = maximum_descriptors
        self._clock = clock
        self._counters = counters
        self._listeners: list[MeteredListener] = []
        self._is_making_room = False
        self._logged_at_ms = -_LOG_INTERVAL_MS
        self._refused = 0
        self.drawn_bytes = 0

    def set_limits(self, *, memory_bytes: int, maximum_descriptors: int) -> None:
        """Apply changed limits of the process."""
        self._memory_bytes = memory_bytes
        self._maximum_descriptors = maximum_descriptors

    @property
    def maximum_connections(self) -> int:
        """Connections above which some are closed."""
        each_bytes = self._connection_bytes + ALLOWANCE_BYTES
        by_memory = self._memory_bytes * _CONNECTIONS_SHARE / each_bytes
        descriptors = self._maximum_descriptors
        sockets = max(descriptors - _FILE_DESCRIPTORS, descriptors // 2)
        return max(int(min(by_memory, sockets * _SOCKETS_SHARE)), 1)

    def pool_bytes(self, limits: CallerLimits) -> int:
        """Return the size of the pool, which holds two requests of the largest size."""
        largest_bytes = 2 * limits.maximum_body_bytes + limits.maximum_header_bytes * (
            HEADER_BYTES // _SHORTEST_HEADER_BYTES
        )
        pool_bytes = max(self._memory_bytes * _POOL_SHARE, 2.0 * largest_bytes)
        return int(min(pool_bytes, self._memory_bytes * _LARGEST_POOL_SHARE))

    def add_listener(self, listener: MeteredListener) -> None:
        """Count the connections of a listener from now on."""
        self._listeners.append(listener)

    def remove_listener(self, listener: MeteredListener) -> None:
        """Stop counting the connections of a listener that has ended."""
        self._listeners.remove(listener)

    def admit(self, connection: MeteredConnection) -> bool:
        """Return whether to serve a connection that was just accepted.

        If there are too many, those that have waited for their callers for longest
        are closed, at the listener that has most.
        """
        count = sum(len(listener.metered) for listener in self._listeners)
        maximum = self.maximum_connections
        if count <= maximum:
            return True
        crowded = max(self._listeners, key=lambda listener: len(listener.metered))
        waiting = [
            item
            for item in crowded.metered
            if item is not connection and not item.is_in_work
        ]
        excess = count - int(maximum * _REFILL_SHARE)
        for item in heapq.nsmallest(excess, waiting, key=_stalled_since_ms):
            self._record("connections")
            item.close()
        if waiting:
            return True
        return count <= maximum * _LARGEST_SOCKETS_SHARE / _SOCKETS_SHARE

    def record(
        self, connection: MeteredConnection, held_bytes: int, limits: CallerLimits
    ) -> None:
        """Record what a connection uses; make room if the pool is used up.

        Parameters
        ----------
        connection : MeteredConnection
            The connection; it may be told to give up.
        held_bytes : int
            Memory of its requests and of the answer that is sent.
        limits : CallerLimits
            Limits of a single request.
        """
        drawn_bytes = max(held_bytes - ALLOWANCE_BYTES, 0)
        if drawn_bytes == connection.drawn_bytes:
            return
        self.drawn_bytes += drawn_bytes - connection.drawn_bytes
        connection.drawn_bytes = drawn_bytes
        if self._is_making_room or not drawn_bytes:
            return
        pool_bytes = self.pool_bytes(limits)
        if self.drawn_bytes > pool_bytes:
            self._is_making_room = True
            try:
                self._make_room(pool_bytes)
            finally:
                self._is_making_room = False

    def _make_room(self, pool_bytes: int) -> None:
        """Let connections give up, those first that have held most for longest.

        Room is left for what comes next, unless requests in work have taken it: then
        no more give up than have to.
        """
        now_ms = self._clock.now_ms()
        candidates = []
        releasable_bytes = 0
        for listener in self._listeners:
            for connection in listener.metered:
                size = connection.releasable_bytes
                if size > ALLOWANCE_BYTES:
                    age_ms = now_ms - connection.stalled_since_ms
                    weight = size * max(age_ms, _SMALLEST_AGE_MS)
                    candidates.append((weight, connection))
                    releasable_bytes += size
        candidates.sort(key=lambda item: item[0], reverse=True)
        target_bytes = int(pool_bytes * _REFILL_SHARE)
        if self.drawn_bytes - releasable_bytes > target_bytes:
            target_bytes = pool_bytes
        for _, connection in candidates:
            if self.drawn_bytes <= target_bytes:
                return
            connection.give_up()
            self._record("memory")

    def _record(self, reason: str) -> None:
        """Count what was refused, and log the count once in a while."""
        self._refused += 1
        if self._counters is not None:
            self._counters.add(CounterKind.REFUSALS, f"callers_{reason}")
        now_ms = self._clock.now_ms()
        if now_ms - self._logged_at_ms < _LOG_INTERVAL_MS:
            return
        _LOG.warning(
            "Callers' %s used up: %d connections refused or closed so far.",
            reason,
            self._refused,
            extra={"drawn_bytes": self.drawn_bytes},
        )
        self._logged_at_ms = now_ms


def _stalled_since_ms(connection: MeteredConnection) -> float:
    return connection.stalled_since_ms
