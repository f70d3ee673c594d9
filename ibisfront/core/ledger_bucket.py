"""The ledger's objects: which one holds a key, and how each is changed.

The ledger is a ring of :data:`RING_SLOTS` slots of time, each with
:data:`BUCKETS` buckets. A key's time gives its slot, its hash its bucket. When
the ring has come round, an object is taken over by the newer slot: its old
records go in the same conditional write that raises its slot number. A key of
an older slot is refused by the object itself from then on, so that no clock
decides whether an expired key may run.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, TypeAlias

import msgspec

from ibisfront.core.claim import ClaimRecord
from ibisfront.core.idempotency_key import KEY_LIFETIME_MS, MAXIMUM_KEY_SKEW_MS

if TYPE_CHECKING:
    from ibisfront.core.idempotency_key import IdempotencyKey
    from ibisfront.core.types import JsonBytes

__all__ = [
    "BUCKETS",
    "MAXIMUM_BATCH_CHANGES",
    "OBJECT_CLAIM_LIMIT_BYTES",
    "OBJECT_RESULT_LIMIT_BYTES",
    "RING_SLOTS",
    "SLOT_MS",
    "Bucket",
    "BucketPlan",
    "Change",
    "ChangeResult",
    "RecordUpdate",
    "bucket_name",
    "key_slot",
    "plan_changes",
]

# All instances must agree on these three, or two of them would look for one
# key in two objects; so they are no settings.
BUCKETS = 32
SLOT_MS = 30_000
RING_SLOTS = 128
assert RING_SLOTS * SLOT_MS >= KEY_LIFETIME_MS + 2 * MAXIMUM_KEY_SKEW_MS + 2 * SLOT_MS

# The platform takes values of at most 1 MB. A write adds at most
# BATCH_LIMIT records or results, and an outcome adds some 25 bytes to each
# claim, so that an object below FULL_BYTES stays below 1 MB to its end.
OBJECT_CLAIM_LIMIT_BYTES = 800_000
"""An object this large takes no more claims."""

OBJECT_RESULT_LIMIT_BYTES = 600_000
"""An object this large keeps no more results."""

MAXIMUM_BATCH_CHANGES = 100
"""How many changes go into one write."""

RecordUpdate: TypeAlias = Callable[[ClaimRecord | None], ClaimRecord | None]
"""Returns a key's next record, given the one there is; the same for no change."""


class Bucket(msgspec.Struct, omit_defaults=True):
    """The value of one object of the ledger.

    Attributes
    ----------
    slot : int
        The slot of time whose keys it holds; it only rises.
    records : dict of str to ClaimRecord
        The record of each key.
    """

    slot: int = 0
    records: dict[str, ClaimRecord] = {}

    def copy(self) -> Bucket:
        """Return a copy whose records can be replaced."""
        return Bucket(self.slot, dict(self.records))


class ChangeResult(msgspec.Struct, frozen=True):
    """What became of a change.

    Attributes
    ----------
    record : ClaimRecord or None
        The key's record afterwards, known to be in force.
    expired : bool
        Whether the key is older than the object's memory.
    full : bool
        Whether the object had no room.
    """

    record: ClaimRecord | None = None
    expired: bool = False
    full: bool = False


class Change(msgspec.Struct, frozen=True, eq=False):
    """A change of one key's record that waits for a write.

    Attributes
    ----------
    key : IdempotencyKey
        The key.
    update : callable
        Gives the next record.
    resolve : callable
        Called with the result once it is in force.
    is_abandoned : callable
        Returns whether nobody needs it any more.
    is_urgent : bool
        Whether a caller waits for it.
    """

    key: IdempotencyKey
    update: RecordUpdate
    resolve: Callable[[ChangeResult], None]
    is_abandoned: Callable[[], bool]
    is_urgent: bool = True


class BucketPlan(msgspec.Struct, frozen=True):
    """A bucket after some changes, not yet written.

    Attributes
    ----------
    bucket : Bucket
        The new value.
    value_json : bytes or None
        The same, encoded; None if nothing changes.
    results : list of ChangeResult
        Of each change, in the order given.
    """

    bucket: Bucket
    value_json: JsonBytes | None
    results: list[ChangeResult]


def key_slot(key: IdempotencyKey) -> int:
    """Return the number of the slot of time that a key belongs to."""
    return key.time_ms // SLOT_MS


def bucket_name(key: IdempotencyKey) -> str:
    """Return the name of the object that holds a key."""
    digest = hashlib.blake2b(key.text.encode(), digest_size=4).digest()
    bucket = int.from_bytes(digest, "big") % BUCKETS
    return f"{key_slot(key) % RING_SLOTS:03d}-{bucket:02d}"


def plan_changes(
    found: Bucket, changes: Iterable[Change], *, size_bytes: int
) -> BucketPlan:
    """Apply changes to a bucket.

    Parameters
    ----------
    found : Bucket
        The value as read; not changed.
    changes : iterable of Change
        The changes.
    size_bytes : int
        The size of the value as read.
    """
    ordered = list(changes)
    planned = found.copy()
    # A change of a newer slot clears the records of the older one. It goes
    # first: were an older key claimed before it in the same write, its claim
    # would be reported as in force, yet be gone, and the key could run again.
    planned.slot = max([found.slot, *(key_slot(change.key) for change in ordered)])
    if planned.slot > found.slot:
        planned.records.clear()
        size_bytes = 0
    results = [_apply(planned, change, size_bytes) for change in ordered]
    if planned == found:
        return BucketPlan(planned, None, results)
    return BucketPlan(planned, msgspec.json.encode(planned), results)


def _apply(bucket: Bucket, change: Change, size_bytes: int) -> ChangeResult:
    if key_slot(change.key) < bucket.slot:
        return ChangeResult(expired=True)
    known = bucket.records.get(change.key.text)
    if known is None and size_bytes >= OBJECT_CLAIM_LIMIT_BYTES:
        return ChangeResult(full=True)
    updated = change.update(known)
    if updated is not None and updated is not known:
        if size_bytes >= OBJECT_RESULT_LIMIT_BYTES:
            updated = msgspec.structs.replace(updated, result_json=None)
        bucket.records[change.key.text] = updated
    return ChangeResult(updated)
