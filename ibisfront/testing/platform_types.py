"""Objects, faults, counts and errors of the fake platform."""

from __future__ import annotations

from enum import StrEnum
from typing import Any

import msgspec

from ibisfront.testing.call_rate import RateCount

__all__ = [
    "AnswerLost",
    "ChangeList",
    "InstanceList",
    "InstanceRecord",
    "InstanceState",
    "ObjectList",
    "Outage",
    "PlatformFaults",
    "PlatformRefused",
    "PlatformState",
    "StoredObject",
]


class Outage(StrEnum):
    """Kind of platform outage."""

    NONE = "none"
    REFUSE = "refuse"
    HANG = "hang"


class InstanceState(StrEnum):
    """State of an instance in the instance list."""

    LIVE = "live"
    LEAVING = "leaving"


class InstanceRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One row of the instance list.

    Attributes
    ----------
    name, zone : str
        The instance and its availability zone.
    peer_address, admin_address : str
        Listening addresses as ``HOST:PORT``.
    state : InstanceState
        Whether the instance is leaving.
    """

    name: str
    zone: str
    peer_address: str
    admin_address: str
    state: InstanceState = InstanceState.LIVE


class InstanceList(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of ``/instances`` and of ``/control/instances``.

    Attributes
    ----------
    instances : list of InstanceRecord
        The live and the leaving instances.
    """

    instances: list[InstanceRecord]


class StoredObject(msgspec.Struct, frozen=True):
    """One version of one object; the value is None if it was deleted."""

    kind: str
    name: str
    version: int
    value: Any


class ObjectList(msgspec.Struct, frozen=True):
    """All objects of the requested kinds, as of one revision."""

    revision: int
    objects: list[StoredObject]


class ChangeList(msgspec.Struct, frozen=True):
    """The latest version of each changed object, and the latest revision."""

    revision: int
    objects: list[StoredObject]


class PlatformFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The faults of the platform, all off by default.

    Attributes
    ----------
    outage : Outage
        ``refuse`` resets connections and refuses new ones; under ``hang``
        calls get no response.
    slow_ms : float
        Delay added to each call, half before its effect and half after.
    lose_requests_fraction : float
        The fraction of writes that are lost before they take effect.
    lose_answers_fraction : float
        The fraction of writes that take effect but whose responses are lost.
    late_writes_fraction : float
        The fraction of writes that take effect later; their responses are lost
        immediately.
    late_write_ms : float
        Delay of the late writes.
    stale_revisions : int
        Number of revisions by which a get or list is behind.
    instance_lag_ms : float
        Age of the instance list.
    reads_per_second_limit, writes_per_second_limit : int or None
        Rate limits above which calls are rejected.
    """

    outage: Outage = Outage.NONE
    slow_ms: float = 0.0
    lose_requests_fraction: float = 0.0
    lose_answers_fraction: float = 0.0
    late_writes_fraction: float = 0.0
    late_write_ms: float = 0.0
    stale_revisions: int = 0
    instance_lag_ms: float = 0.0
    reads_per_second_limit: int | None = None
    writes_per_second_limit: int | None = None


class PlatformState(msgspec.Struct, frozen=True):
    """State of the platform for a test to read.

    Attributes
    ----------
    revision, oldest_revision : int
        The latest revision, and the oldest that a watch may start after.
    objects : int
        Number of objects.
    reads, writes : RateCount
        The calls; a watch counts as one read.
    watches_total, watches_waiting, watches_waiting_peak : int
        Watches since the start, and waiting watches: current and peak.
    lost : int
        Calls whose responses were lost.
    late_pending : int
        Late writes that have not taken effect yet.
    faults : PlatformFaults
        The active faults.
    """

    revision: int
    oldest_revision: int
    objects: int
    reads: RateCount
    writes: RateCount
    watches_total: int
    watches_waiting: int
    watches_waiting_peak: int
    lost: int
    late_pending: int
    faults: PlatformFaults


class PlatformRefused(Exception):
    """The platform rejected a call, which had no effect.

    Parameters
    ----------
    status : int
        The HTTP status.
    version : int or None
        For a failed condition, the object's version; None if there is none.
    revision : int
        The revision at the time.
    """

    def __init__(self, status: int, version: int | None, revision: int) -> None:
        super().__init__(f"refused with {status}")
        self.status = status
        self.version = version
        self.revision = revision


class AnswerLost(Exception):
    """The response to a call was lost; a write may have taken effect."""
