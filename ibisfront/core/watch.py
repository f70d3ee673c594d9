"""Following the platform's objects."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from ibisfront.core.errors import IbisfrontError
from ibisfront.core.objects import SPREAD_KINDS

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ibisfront.core.clock import Clock
    from ibisfront.core.objects import ObjectKind, ObjectStore, VersionedObject
    from ibisfront.core.types import Version

__all__ = ["ObjectsReadLike", "WatchedPlatform", "follow_platform"]

_RETRY_MS = 500.0


class ObjectsReadLike(Protocol):
    """Objects as read at one revision."""

    @property
    def revision(self) -> Version:
        """The revision read at."""
        ...

    @property
    def objects(self) -> Sequence[VersionedObject]:
        """The objects."""
        ...


class WatchedPlatform(Protocol):
    """The calls of the platform that a watch needs."""

    async def list_objects(self, kinds: Sequence[ObjectKind]) -> ObjectsReadLike:
        """Return every object of some kinds."""
        ...

    async def changes(
        self, kinds: Sequence[ObjectKind], *, after: Version, wait_ms: float
    ) -> ObjectsReadLike | None:
        """Wait for changes after a revision; None if it is too old."""
        ...


async def follow_platform(
    platform: WatchedPlatform, store: ObjectStore, clock: Clock, *, wait_ms: float
) -> None:
    """Keep a store up to date with the platform, for ever."""
    listed = False
    while True:
        try:
            read = (
                await platform.changes(
                    SPREAD_KINDS, after=store.revision, wait_ms=wait_ms
                )
                if listed
                else await platform.list_objects(SPREAD_KINDS)
            )
        except IbisfrontError:
            await clock.sleep_ms(_RETRY_MS)
            continue
        listed = read is not None
        if read is not None:
            store.merge(read.objects)
            store.complete_through(read.revision)
