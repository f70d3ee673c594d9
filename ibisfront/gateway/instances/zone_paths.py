"""Whether the paths to the other availability zones are open."""

from __future__ import annotations

import math
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["PathAction", "ZonePath", "ZonePaths"]

_SUSPECT_ENDPOINTS = 3
"""So many servers or instances of a zone that owe a reply past its time, while
nobody there has shown life, make its path suspect. Fewer are an ordinary failure:
a server that pauses for 150 ms every 3.6 s does so one moment in 24."""

_DUE_FACTOR = 1.5
"""A reply owed for this many times the latency at which one is late is past its
time."""

_DUE_LEAST_MS = 40.0
"""The least time that a reply is given: above the lateness with which a busy process
reads replies."""

_PROBE_MS = 60.0
"""How long probes of a suspect zone may take: several times what the paths between
zones and a server's accepting take."""

_PROBE_AGAIN_MS = 150.0
"""Pause between probes of a zone that is cut off: it is in use again this long
after the path heals, at seven connection attempts a second."""


class PathAction(Enum):
    """What is to be done about a zone."""

    PROBE = "probe"
    CUT = "cut"
    OPENED = "opened"


class _State(Enum):
    OPEN = "open"
    SUSPECT = "suspect"
    PROBED = "probed"
    CUT = "cut"


class ZonePath:
    """What this instance believes of the path to one other zone.

    Load pattern: a zone is cut off. Found silent one by one, its servers cost
    each query another wait, and the zone's own callers seconds; once all are
    known to be silent nothing is sent, so nothing is silent any more, and
    refusals and failures take turns. The belief is one for the zone. It is fed
    by every sign of life of any server or instance there, turns only when
    probes have failed too, so that a few crashes or a pause do not turn it, and
    holds until life is shown.

    Parameters
    ----------
    zone : str
        The zone.
    """

    __slots__ = ("_decide_at_ms", "_due_ms", "_state", "_was_cut", "zone")

    def __init__(self, zone: str) -> None:
        self.zone = zone
        self._state = _State.OPEN
        self._was_cut = False
        self._decide_at_ms = math.inf
        # When a reply of each endpoint is past its time, of those that were
        # asked since the zone last showed life.
        self._due_ms: dict[str, float] = {}

    @property
    def is_partitioned(self) -> bool:
        """Whether nothing there can be reached."""
        return self._state is _State.CUT

    def record_asked(self, endpoint: str, now_ms: float, *, late_ms: float) -> None:
        """Take in that a server or an instance of the zone was sent a request.

        Parameters
        ----------
        endpoint : str
            Its name.
        now_ms : float
            The time.
        late_ms : float
            After how long its reply is late.
        """
        due_ms = now_ms + max(_DUE_FACTOR * late_ms, _DUE_LEAST_MS)
        self._due_ms.setdefault(endpoint, due_ms)

    def record_liveness(self) -> None:
        """Take in a reply, or a connection that was opened."""
        if self._due_ms:
            self._due_ms.clear()
        if self._state is not _State.OPEN:
            self._was_cut = self._state is _State.CUT
            self._state = _State.OPEN

    def suspect(self) -> None:
        """Have the zone probed, on a sign from elsewhere that its path may be cut.

        An instance that asks rarely would find a cut by nothing else, and one that
        is itself cut off would find it zone by zone.
        """
        if self._state is _State.OPEN:
            self._state = _State.SUSPECT

    def record_probed(self, probes: int, now_ms: float) -> None:
        """Take in that connections were begun to endpoints of the zone."""
        if self._state is _State.SUSPECT and probes:
            self._state = _State.PROBED
            self._decide_at_ms = now_ms + _PROBE_MS

    def postpone(self, duration_ms: float) -> None:
        """Give more time: this process did not run, and may have unread replies."""
        self._decide_at_ms += duration_ms
        self._due_ms = {
            endpoint: due_ms + duration_ms for endpoint, due_ms in self._due_ms.items()
        }

    def step(self, now_ms: float) -> PathAction | None:
        """Return what is to be done now; to be called every few milliseconds."""
        match self._state:
            case _State.OPEN:
                return self._step_open(now_ms)
            case _State.SUSPECT:
                return PathAction.PROBE
            case _State.PROBED if now_ms >= self._decide_at_ms:
                self._state = _State.CUT
                self._decide_at_ms = now_ms
                return PathAction.CUT
            case _State.CUT if now_ms >= self._decide_at_ms:
                self._decide_at_ms = now_ms + _PROBE_AGAIN_MS
                return PathAction.PROBE
        return None

    def _step_open(self, now_ms: float) -> PathAction | None:
        if self._was_cut:
            self._was_cut = False
            return PathAction.OPENED
        if len(self._due_ms) < _SUSPECT_ENDPOINTS:
            return None
        overdue = sum(due_ms <= now_ms for due_ms in self._due_ms.values())
        if overdue < _SUSPECT_ENDPOINTS:
            return None
        self._state = _State.SUSPECT
        return PathAction.PROBE


class ZonePaths:
    """The paths to all other zones.

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
        """Return the path to a zone; None for the own one."""
        if zone == self._own_zone:
            return None
        path = self._by_zone.get(zone)
        if path is None:
            path = self._by_zone[zone] = ZonePath(zone)
        return path

    def all(self) -> Iterable[ZonePath]:
        """Return the paths to all other zones that were heard of."""
        return self._by_zone.values()
