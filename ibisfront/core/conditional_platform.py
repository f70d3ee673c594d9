"""The platform's conditional calls, as edits and claims use them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from ibisfront.core.objects import ObjectKind, VersionedObject
    from ibisfront.core.types import JsonBytes, Version

__all__ = ["ConditionalPlatform"]


class ConditionalPlatform(Protocol):
    """Reads an object, and writes it only over a known version."""

    async def get(self, kind: ObjectKind, name: str) -> VersionedObject | None:
        """Return an object, perhaps an older version of it."""
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
            If another version is there; nothing was written.
        IbisfrontError
            If the write may take effect, now or later.
        """
        ...
