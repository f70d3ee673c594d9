"""Shares of the table's limits, and what instances say about them."""

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
    "kept_share",
    "lent_share",
    "row_key",
    "safe_share",
]

BUCKETS = 16
"""Rows are hashed into this many buckets; each bucket has one owner."""

_KEPT_HASHES = 4096
_KEPT_PART = 0.05
_KEEPS_A_PLACE = 4


class RowKey(msgspec.Struct, frozen=True, array_like=True):
    """The row of a branch and purpose."""

    branch: str
    purpose: str


class Share(msgspec.Struct, frozen=True, array_like=True):
    """A part of a row's limits, or a demand for one."""

    rate_per_s: float = 0.0
    in_flight: int = 0


NO_SHARE = Share()


class ShareTimes(msgspec.Struct, frozen=True):
    """The times by which shares are lent.

    Attributes
    ----------
    report_ms : float
        Between two reports of an instance to an owner.
    lease_ms : float
        How long a grant holds, from when it was asked for.
    join_ms : float
        How long a new process takes granted shares only.
    drain_ms : float
        How long requests may run on after the share that they started under
        has gone.
    """

    report_ms: float = 250.0
    lease_ms: float = 1_000.0
    join_ms: float = 2_000.0
    drain_ms: float = 1_000.0


class RowDemand(msgspec.Struct, frozen=True, array_like=True):
    """What one instance wants of one row, and has running."""

    row: RowKey
    demand: Share
    running: int


class BucketReport(msgspec.Struct, frozen=True, array_like=True):
    """What one instance wants of one bucket.

    Attributes
    ----------
    bucket : int
        The bucket; rows of it that are not listed are wanted by nobody there.
    acknowledged : int
        The sequence number of the last grants applied; 0 if there are none
        of this owner.
    lends : bool
        Whether the reporter lends its safe shares to the receiver; not while
        a former owner's loans may still rest on them.
    rows : tuple of RowDemand
        The rows that are wanted.
    """

    bucket: int
    acknowledged: int
    lends: bool
    rows: tuple[RowDemand, ...]


class ShareReport(PeerMessage, frozen=True, tag="share_report"):
    """Lends the reporter's safe shares to an owner, and asks for grants.

    Attributes
    ----------
    expected : int
        The number of instances that have not left, as the reporter knows it.
    position : int
        The reporter's place among them, by name.
    leaving : bool
        Whether the reporter hands everything back for good.
    buckets : tuple of BucketReport
        The buckets whose owner is asked.
    """

    expected: int
    position: int
    buckets: tuple[BucketReport, ...]
    leaving: bool = False


class RowGrant(msgspec.Struct, frozen=True, array_like=True):
    """What an instance may use of one row."""

    row: RowKey
    share: Share


class ShareGrants(PeerMessage, frozen=True, tag="share_grants"):
    """The reply to a report: the shares of the reported buckets.

    Attributes
    ----------
    process : int
        Differs between two processes of the same instance.
    sequence : int
        To be acknowledged in the next report; 0 if the owner knows no table
        yet and has granted nothing.
    rows : tuple of RowGrant
        The shares; none of a row that is not listed.
    released : tuple of int
        The buckets, out of those reported without lending, for which nothing
        granted here rests on the reporter's safe shares any more.
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


def safe_share(row: Row, *, expected: int, position: int) -> Share:
    """Return what one instance may use of a row without asking anybody.

    The safe shares of all expected instances add up to the limits exactly:
    places that do not divide go to some of the positions, other ones for
    each row.

    Parameters
    ----------
    row : Row
        The row of the table.
    expected : int
        How many instances have not left.
    position : int
        The instance's place among them.
    """
    places, remainder = divmod(row.max_in_flight, expected)
    turned = (position + _hash(row_key(row))) % expected
    return Share(row.limit_per_s / expected, places + (turned < remainder))


def add_shares(*parts: Share) -> Share:
    """Return the sum of some shares."""
    return Share(
        sum(part.rate_per_s for part in parts), sum(part.in_flight for part in parts)
    )


def kept_share(safe: Share) -> Share:
    """Return the part of a safe share that is never lent.

    It lets a row that nobody used lately start a request at once even while
    its safe share is still lent to an owner that has just died.
    """
    one_place = 1 if safe.in_flight >= _KEEPS_A_PLACE else 0
    places = max(one_place, int(safe.in_flight * _KEPT_PART))
    return Share(safe.rate_per_s * _KEPT_PART, places)


def lent_share(safe: Share) -> Share:
    """Return the part of a safe share that is lent to an owner."""
    kept = kept_share(safe)
    return Share(safe.rate_per_s - kept.rate_per_s, safe.in_flight - kept.in_flight)


@functools.lru_cache(maxsize=_KEPT_HASHES)
def _hash(key: RowKey) -> int:
    name = f"{key.branch}\0{key.purpose}".encode()
    return int.from_bytes(hashlib.blake2b(name, digest_size=8).digest())
