"""What the gateway asks of the platform's store."""

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
    "StoreError",
    "StoreErrorKind",
    "StoredObject",
]


class StoredObject(msgspec.Struct, frozen=True):
    """One object of the store.

    Attributes
    ----------
    name : str
        Its name within its kind.
    revision : int
        The store's revision at its last change.
    spec : bytes
        Its content, as JSON.
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
        From where to watch on.
    """

    objects: Sequence[StoredObject]
    revision: int


class Changes(msgspec.Struct, frozen=True):
    """What a watch brought; ``revision`` is from where to go on."""

    changes: Sequence[ObjectChange]
    revision: int


class StoreErrorKind(StrEnum):
    """Why a call of the store failed."""

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    HISTORY_GONE = "history_gone"
    BAD_ANSWER = "bad_answer"


class StoreError(Exception):
    """A call of the store that failed.

    Parameters
    ----------
    kind : StoreErrorKind
        Why.
    detail : str
        What was seen.
    """

    def __init__(self, kind: StoreErrorKind, detail: str) -> None:
        super().__init__(f"{kind.value}: {detail}")
        self.kind = kind


class KindClient(Protocol):
    """Reads the objects of one kind and their changes."""

    async def list_all(self) -> Listing:
        """Return all objects; raises ``StoreError``."""

    async def watch(self, revision: int) -> Changes:
        """Return the changes since a revision; raises ``StoreError``."""

    def close(self) -> None:
        """Close the connection."""
