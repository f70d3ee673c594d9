"""The objects, faults, counts and errors of the platform's stand-in."""

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
    """How the platform is down, if it is."""

    NONE = "none"
    REFUSE = "refuse"
    HANG = "hang"


class InstanceState(StrEnum):
    """What the platform says of an instance."""

    LIVE = "live"
    LEAVING = "leaving"


class InstanceRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One row of the instance list.

    Attributes
    ----------
    name, zone : str
        The instance and its availability zone.
    peer_address, admin_address : str
        Where it listens, as ``HOST:PORT``.
    state : InstanceState
        Whether it is leaving.
    """

    name: str
    zone: str
    peer_address: str
    admin_address: str
    state: InstanceState = InstanceState.LIVE


class InstanceList(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of ``/instances``, read and steered.

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
    """All objects of some kinds, as of one revision."""

    revision: int
    objects: list[StoredObject]


class ChangeList(msgspec.Struct, frozen=True):
    """The newest version of each changed object, and the revision reached."""

    revision: int
    objects: list[StoredObject]


class PlatformFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The faults of the platform, all off by default.

    Attributes
    ----------
    outage : Outage
        ``refuse`` resets connections and refuses new ones; ``hang`` never
        answers.
    slow_ms : float
        Added to each call, half before its effect and half after.
    lose_requests_fraction : float
        The share of writes that are lost before they take effect.
    lose_answers_fraction : float
        The share of writes that take effect and whose answers are lost.
    late_writes_fraction : float
        The share of writes that take effect later, their answers lost at once.
    late_write_ms : float
        How much later they do.
    stale_revisions : int
        How many revisions behind a get or list is served.
    instance_lag_ms : float
        How old the instance list is.
    reads_per_second_limit, writes_per_second_limit : int or None
        The rates over which calls are refused.
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
    """What a test can read of the platform.

    Attributes
    ----------
    revision, oldest_revision : int
        The newest revision, and the oldest that a watch may start after.
    objects : int
        The objects that exist.
    reads, writes : RateCount
        The calls; a watch counts as one read.
    watches_total, watches_waiting, watches_waiting_peak : int
        The watches since the start, and those that wait, now and at most.
    lost : int
        The calls whose answers were lost.
    late_pending : int
        The late writes that have not taken effect yet.
    faults : PlatformFaults
        The faults as set.
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
    """The platform refused a call, which had no effect.

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
    """The call's answer was lost; a write may have taken effect."""
