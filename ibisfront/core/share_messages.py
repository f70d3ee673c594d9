"""Shares of the table's limits, and the messages that allocate them."""

from __future__ import annotations

import functools
import hashlib
from typing import TYPE_CHECKING

import msgspec

from ibisfront.core.peers import PeerMessage

if TYPE_CHECKING:
    from ibisfront.core.table import Row

__all__ = [
    "BUCKETS",
    "NO_SHARE",
    "BucketReport",
    "RowDemand",
    "RowGrant",
    "RowKey",
    "Share",
    "ShareGrants",
    "ShareReport",
    "ShareTimes",
    "add_shares",
    "bucket_of",
    "lendable_share",
    "reserved_share",
    "row_key",
    "static_share",
]

BUCKETS = 16
"""Number of buckets that rows are hashed into; each bucket has one owner."""

_HASH_CACHE_SIZE = 4096
_RESERVED_FRACTION = 0.05
_MIN_SLOTS_TO_RESERVE = 4


class RowKey(msgspec.Struct, frozen=True, array_like=True):
    """The row of a branch and purpose."""

    branch: str
    purpose: str


class Share(msgspec.Struct, frozen=True, array_like=True):
    """A share of a row's limits, or a demand for one."""

    rate_per_s: float = 0.0
    in_flight: int = 0


NO_SHARE = Share()


class ShareTimes(msgspec.Struct, frozen=True):
    """Timing of reports and leases.

    Attributes
    ----------
    report_ms : float
        Interval between two reports of an instance to an owner.
    lease_ms : float
        Validity of a grant, counted from when the report that requested it was sent.
    join_ms : float
        Period after its start in which a process uses only granted shares.
    drain_ms : float
        How long requests may keep running after the share under which they
        started has expired.
    """

    report_ms: float = 250.0
    lease_ms: float = 1_000.0
    join_ms: float = 2_000.0
    drain_ms: float = 1_000.0


class RowDemand(msgspec.Struct, frozen=True, array_like=True):
    """Demand of one instance for one row, and the requests that it runs."""

    row: RowKey
    demand: Share
    running: int


class BucketReport(msgspec.Struct, frozen=True, array_like=True):
    """Demand of one instance for the rows of one bucket.

    Attributes
    ----------
    bucket : int
        The bucket; the reporter has no demand for rows of it that are not listed.
    acknowledged : int
        The sequence number of the last grants applied; 0 if none of this
        owner were applied.
    lends : bool
        Whether the reporter lends its static shares to the receiver; false while
        grants of a former owner may still be based on them.
    rows : tuple of RowDemand
        The rows with demand.
    """

    bucket: int
    acknowledged: int
    lends: bool
    rows: tuple[RowDemand, ...]


class ShareReport(PeerMessage, frozen=True, tag="share_report"):
    """Lends the reporter's static shares to an owner and requests grants.

    Attributes
    ----------
    expected : int
        The number of instances that have not left, in the reporter's view.
    position : int
        The reporter's index among them, ordered by name.
    leaving : bool
        Whether the reporter shuts down and releases all its shares.
    buckets : tuple of BucketReport
        The buckets that the receiver owns.
    """

    expected: int
    position: int
    buckets: tuple[BucketReport, ...]
    leaving: bool = False


class RowGrant(msgspec.Struct, frozen=True, array_like=True):
    """The share of one row that an instance may use."""

    row: RowKey
    share: Share


class ShareGrants(PeerMessage, frozen=True, tag="share_grants"):
    """The reply to a report: the shares of the reported buckets.

    Attributes
    ----------
    process : int
        Identifies the owner's process; it changes with every restart.
    sequence : int
        Acknowledged in the next report; 0 if the owner has no table yet and
        has granted nothing.
    rows : tuple of RowGrant
        The shares; rows that are not listed have none.
    released : tuple of int
        The buckets, out of those reported without lending, for which no grant of
        this owner is based on the reporter's static shares any longer.
    """

    process: int
    sequence: int
    rows: tuple[RowGrant, ...]
    released: tuple[int, ...] = ()


def row_key(row: Row) -> RowKey:
    """Return the key of a row."""
    return RowKey(row.branch, row.purpose)


def bucket_of(key: RowKey) -> int:
    """Return the bucket of a row, the same at every instance."""
    return _hash(key) % BUCKETS


def static_share(row: Row, *, expected: int, position: int) -> Share:
    """Return the share of a row that one instance may use without coordination.

    The static shares of all expected instances add up to exactly the limits. The
    remainder of the slots goes to some of the positions, which differ by row.

    Parameters
    ----------
    row : Row
        The row of the table.
    expected : int
        The number of instances that have not left.
    position : int
        The instance's index among them, ordered by name.
    """
    slots, remainder = divmod(row.max_in_flight, expected)
    rotated_position = (position + _hash(row_key(row))) % expected
    return Share(row.limit_per_s / expected, slots + (rotated_position < remainder))


def add_shares(*parts: Share) -> Share:
    """Return the sum of some shares."""
    return Share(
        sum(part.rate_per_s for part in parts), sum(part.in_flight for part in parts)
    )


def reserved_share(static: Share) -> Share:
    """Return the part of a static share that is never lent.

    It lets an idle row start a request immediately even while its static share
    is still lent to an owner that has just failed.
    """
    min_slots = 1 if static.in_flight >= _MIN_SLOTS_TO_RESERVE else 0
    slots = max(min_slots, int(static.in_flight * _RESERVED_FRACTION))
    return Share(static.rate_per_s * _RESERVED_FRACTION, slots)


def lendable_share(static: Share) -> Share:
    """Return the part of a static share that is lent to an owner."""
    reserved = reserved_share(static)
    return Share(
        static.rate_per_s - reserved.rate_per_s, static.in_flight - reserved.in_flight
    )


@functools.lru_cache(maxsize=_HASH_CACHE_SIZE)
def _hash(key: RowKey) -> int:
    name = f"{key.branch}\0{key.purpose}".encode()
    return int.from_bytes(hashlib.blake2b(name, digest_size=8).digest())
