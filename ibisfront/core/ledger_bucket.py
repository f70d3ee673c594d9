"""The ledger's objects: which one holds a key, and how each is changed.

The ledger is a ring of :data:`RING_SLOTS` time slots, each with :data:`BUCKETS`
buckets. A key's timestamp selects the slot, its hash the bucket. When the ring
wraps around, an object is reused for the newer slot: the conditional write that
raises its slot number also removes its old records. From then on the object
itself rejects keys of older slots, so that no clock decides whether an expired
key may run.
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

# Not settings: instances that disagree on these three would look for one key in
# different objects.
BUCKETS = 32
SLOT_MS = 30_000
RING_SLOTS = 128
assert RING_SLOTS * SLOT_MS >= KEY_LIFETIME_MS + 2 * MAXIMUM_KEY_SKEW_MS + 2 * SLOT_MS

# The platform accepts values of at most 1 MB. A write adds at most
# MAXIMUM_BATCH_CHANGES records or results, and an outcome adds about 25 bytes to
# each claim, so that an object below OBJECT_CLAIM_LIMIT_BYTES never reaches 1 MB.
OBJECT_CLAIM_LIMIT_BYTES = 800_000
"""Object size from which new claims are rejected."""

OBJECT_RESULT_LIMIT_BYTES = 600_000
"""Object size from which results are no longer stored."""

MAXIMUM_BATCH_CHANGES = 100
"""Maximum number of changes in one write."""

RecordUpdate: TypeAlias = Callable[[ClaimRecord | None], ClaimRecord | None]
"""Returns a key's next record; the current one itself means no change."""


class Bucket(msgspec.Struct, omit_defaults=True):
    """The value of one object of the ledger.

    Attributes
    ----------
    slot : int
        The time slot of its keys; it never decreases.
    records : dict of str to ClaimRecord
        The record of each key.
    """

    slot: int = 0
    records: dict[str, ClaimRecord] = {}

    def copy(self) -> Bucket:
        """Return a copy whose records can be replaced."""
        return Bucket(self.slot, dict(self.records))


class ChangeResult(msgspec.Struct, frozen=True):
    """Result of a change.

    Attributes
    ----------
    record : ClaimRecord or None
        The key's record after the change, known to be in force.
    expired : bool
        Whether the key is older than the object's time slot.
    full : bool
        Whether the object had no room for a new record.
    """

    record: ClaimRecord | None = None
    expired: bool = False
    full: bool = False


class Change(msgspec.Struct, frozen=True, eq=False):
    """A pending change of one key's record.

    Attributes
    ----------
    key : IdempotencyKey
        The key.
    update : callable
        Returns the next record.
    resolve : callable
        Called with the result once it is in force.
    is_abandoned : callable
        Returns whether it is no longer needed.
    is_urgent : bool
        Whether a caller is waiting for it.
    """

    key: IdempotencyKey
    update: RecordUpdate
    resolve: Callable[[ChangeResult], None]
    is_abandoned: Callable[[], bool]
    is_urgent: bool = True


class BucketPlan(msgspec.Struct, frozen=True):
    """A bucket with changes applied, not yet written.

    Attributes
    ----------
    bucket : Bucket
        The new value.
    value_json : bytes or None
        The encoded value; None if nothing changes.
    results : list of ChangeResult
        One per change, in the order given.
    """

    bucket: Bucket
    value_json: JsonBytes | None
    results: list[ChangeResult]


def key_slot(key: IdempotencyKey) -> int:
    """Return the number of the time slot that a key belongs to."""
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
    # A change of a newer slot clears the records of the older one. Clearing
    # comes first: an older key claimed before it in the same write would be
    # reported as in force although its claim was removed, and could run again.
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
    existing = bucket.records.get(change.key.text)
    if existing is None and size_bytes >= OBJECT_CLAIM_LIMIT_BYTES:
        return ChangeResult(full=True)
    updated = change.update(existing)
    if updated is not None and updated is not existing:
        if size_bytes >= OBJECT_RESULT_LIMIT_BYTES:
            updated = msgspec.structs.replace(updated, result_json=None)
        bucket.records[change.key.text] = updated
    return ChangeResult(updated)
