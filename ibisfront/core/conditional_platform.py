"""Conditional reads and writes of the platform, for edits and claims."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from ibisfront.core.objects import ObjectKind, VersionedObject
    from ibisfront.core.types import JsonBytes, Version

__all__ = ["ConditionalPlatform"]


class ConditionalPlatform(Protocol):
    """Reads objects, and writes them conditionally on their version."""

    async def get(self, kind: ObjectKind, name: str) -> VersionedObject | None:
        """Return an object, possibly a stale version."""
        ...

    async def put(
        self,
        kind: ObjectKind,
        name: str,
        value_json: JsonBytes,
        *,
        if_version: Version | None,
    ) -> Version:
        """Replace one version of an object and return the new one.

        Raises
        ------
        WriteConflict
            If the object has another version; nothing was written.
        IbisfrontError
            If the write may take effect now or later.
        """
        ...
