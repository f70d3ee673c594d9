"""State of the network paths to the other availability zones."""

from __future__ import annotations

import math
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["PathAction", "ZonePath", "ZonePaths"]

_SUSPECT_ENDPOINTS = 3
"""Servers or instances of a zone with an overdue reply, without any sign of life from
the zone, that make its path suspect. Fewer are an ordinary failure: a server that
pauses for 150 ms every 3.6 s is paused 1/24 of the time."""

_DUE_FACTOR = 1.5
"""A reply is overdue after this many times the latency beyond which it is late."""

_MIN_DUE_MS = 40.0
"""Minimum time before a reply is overdue: above the delay with which a busy process
reads replies."""

_PROBE_WAIT_MS = 60.0
"""Wait for the probes of a suspect zone: several times the round trip between zones
plus a server's accept."""

_PROBE_INTERVAL_MS = 150.0
"""Interval between probes of a partitioned zone: it is used again this long after the
path recovers, at the cost of seven connection attempts a second."""


class PathAction(Enum):
    """What the monitor must do for a zone."""

    PROBE = "probe"
    PARTITIONED = "cut"
    RESTORED = "opened"


class _State(Enum):
    OPEN = "open"
    SUSPECT = "suspect"
    PROBED = "probed"
    PARTITIONED = "cut"


class ZonePath:
    """The state of the network path to one other zone.

    Load pattern: a zone is partitioned. If each server is detected separately, each
    delays another query, and the zone's own callers wait for seconds; once all are
    detected nothing is sent, so none appears silent any longer, and rejections
    alternate with failures. The state therefore covers the whole zone. Any sign of
    life of a server or instance there updates it. It becomes partitioned only when
    probes have failed too, so that a few crashes or a pause do not change it, and
    stays so until the next sign of life.

    Parameters
    ----------
    zone : str
        The zone.
    """

    __slots__ = ("_decide_at_ms", "_due_ms", "_state", "_was_partitioned", "zone")

    def __init__(self, zone: str) -> None:
        self.zone = zone
        self._state = _State.OPEN
        self._was_partitioned = False
        self._decide_at_ms = math.inf
        # When the reply of each endpoint becomes overdue, for endpoints that were
        # sent a request since the last sign of life of the zone.
        self._due_ms: dict[str, float] = {}

    @property
    def is_partitioned(self) -> bool:
        """Whether the zone is unreachable from this instance."""
        return self._state is _State.PARTITIONED

    def record_request(self, endpoint: str, now_ms: float, *, late_ms: float) -> None:
        """Record a request to a server or an instance of the zone.

        Parameters
        ----------
        endpoint : str
            Its name.
        now_ms : float
            The current time.
        late_ms : float
            Latency beyond which its reply is late.
        """
        due_ms = now_ms + max(_DUE_FACTOR * late_ms, _MIN_DUE_MS)
        self._due_ms.setdefault(endpoint, due_ms)

    def record_liveness(self) -> None:
        """Record a reply or an opened connection."""
        if self._due_ms:
            self._due_ms.clear()
        if self._state is not _State.OPEN:
            self._was_partitioned = self._state is _State.PARTITIONED
            self._state = _State.OPEN

    def mark_suspect(self) -> None:
        """Request a probe of the zone, on other evidence of a partition.

        An instance with few requests would not detect a partition otherwise, and one
        that is itself partitioned would detect it zone by zone.
        """
        if self._state is _State.OPEN:
            self._state = _State.SUSPECT

    def record_probes(self, probes: int, now_ms: float) -> None:
        """Record how many connections to endpoints of the zone are being opened."""
        if self._state is _State.SUSPECT and probes:
            self._state = _State.PROBED
            self._decide_at_ms = now_ms + _PROBE_WAIT_MS

    def extend_deadlines(self, duration_ms: float) -> None:
        """Allow for time in which this process did not run and read no replies."""
        self._decide_at_ms += duration_ms
        self._due_ms = {
            endpoint: due_ms + duration_ms for endpoint, due_ms in self._due_ms.items()
        }

    def evaluate(self, now_ms: float) -> PathAction | None:
        """Return the action due now; must be called periodically."""
        match self._state:
            case _State.OPEN:
                return self._evaluate_open(now_ms)
            case _State.SUSPECT:
                return PathAction.PROBE
            case _State.PROBED if now_ms >= self._decide_at_ms:
                self._state = _State.PARTITIONED
                self._decide_at_ms = now_ms
                return PathAction.PARTITIONED
            case _State.PARTITIONED if now_ms >= self._decide_at_ms:
                self._decide_at_ms = now_ms + _PROBE_INTERVAL_MS
                return PathAction.PROBE
        return None

    def _evaluate_open(self, now_ms: float) -> PathAction | None:
        if self._was_partitioned:
            self._was_partitioned = False
            return PathAction.RESTORED
        if len(self._due_ms) < _SUSPECT_ENDPOINTS:
            return None
        overdue = sum(due_ms <= now_ms for due_ms in self._due_ms.values())
        if overdue < _SUSPECT_ENDPOINTS:
            return None
        self._state = _State.SUSPECT
        return PathAction.PROBE


class ZonePaths:
    """The network paths to all other zones.

    Parameters
    ----------
    own_zone : str
        This instance's availability zone.
    """

    __slots__ = ("_by_zone", "_own_zone")

    def __init__(self, own_zone: str) -> None:
        self._own_zone = own_zone
        self._by_zone: dict[str, ZonePath] = {}

    def to(self, zone: str) -> ZonePath | None:
        """Return the path to a zone; None for this instance's zone."""
        if zone == self._own_zone:
            return None
        path = self._by_zone.get(zone)
        if path is None:
            path = self._by_zone[zone] = ZonePath(zone)
        return path

    def all(self) -> Iterable[ZonePath]:
        """Return the paths to all other zones seen so far."""
        return self._by_zone.values()
