"""Interface of the platform's store, as the gateway uses it."""

from __future__ import annotations

from collections.abc import Sequence
from enum import StrEnum
from typing import Protocol

import msgspec

__all__ = [
    "Changes",
    "KindClient",
    "Listing",
    "ObjectChange",
    "ObjectStore",
    "StoreError",
    "StoreErrorKind",
    "StoredObject",
]


class StoredObject(msgspec.Struct, frozen=True):
    """An object in the store.

    Attributes
    ----------
    name : str
        Name, unique within the kind.
    revision : int
        Store revision at its last change.
    spec : bytes
        Content, as JSON.
    """

    name: str
    revision: int
    spec: bytes


class ObjectChange(msgspec.Struct, frozen=True):
    """An object that was written or removed."""

    object: StoredObject
    is_removed: bool


class Listing(msgspec.Struct, frozen=True):
    """All objects of a kind.

    Attributes
    ----------
    objects : sequence of StoredObject
        The objects.
    revision : int
        Revision from which to watch.
    """

    objects: Sequence[StoredObject]
    revision: int


class Changes(msgspec.Struct, frozen=True):
    """Changes returned by a watch; ``revision`` is where the next watch starts."""

    changes: Sequence[ObjectChange]
    revision: int


class StoreErrorKind(StrEnum):
    """Reason why a call to the store failed.

    After ``ERA_CHANGED`` the store has come back from an older copy: what was
    acknowledged in between is lost, and its revisions are given out again.
    """

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    HISTORY_GONE = "history_gone"
    ERA_CHANGED = "era_changed"
    BAD_ANSWER = "bad_answer"


class StoreError(Exception):
    """Raised when a call to the store fails.

    Parameters
    ----------
    kind : StoreErrorKind
        Reason of the failure.
    detail : str
        Error message of the underlying failure.
    """

    def __init__(self, kind: StoreErrorKind, detail: str) -> None:
        # The arguments of an exception are those with which it is unpickled.
        super().__init__(kind, detail)
        self.kind = kind
        self.detail = detail

    def __str__(self) -> str:
        """Return the message."""
        return f"{self.kind.value}: {self.detail}"


class KindClient(Protocol):
    """Lists and watches the objects of one kind.

    Calls raise ``StoreError`` if the store does not answer or rejects them.
    """

    async def list_all(self) -> Listing:
        """Return all objects."""

    async def watch(self, revision: int) -> Changes:
        """Return the changes since a revision, waiting for one if there is none.

        The error is ``history_gone`` if the revision is too old.
        """

    def close(self) -> None:
        """Close the connection."""


class ObjectStore(Protocol):
    """Reads and writes the objects of one of the tier's own kinds.

    All calls raise ``StoreError`` on failure. A write that fails may have been done.
    """

    async def list_all(self, *, may_be_stale: bool = False) -> Listing:
        """Return all objects, possibly a few seconds old."""

    async def read(self, name: str) -> StoredObject | None:
        """Return an object; None if there is none."""

    async def create(self, name: str, spec: bytes) -> StoredObject | None:
        """Write a new object and return it; None if it exists."""

    async def replace(
        self, name: str, spec: bytes, revision: int | None = None
    ) -> StoredObject | None:
        """Replace an object and return it; None if it is gone or has changed.

        Without a revision it is replaced whatever it contains.
        """

    async def remove(self, name: str, revision: int) -> None:
        """Remove an object, if it has not changed."""

    def close(self) -> None:
        """Close the connection."""
