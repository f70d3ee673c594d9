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
        """Return an object, possibly a stale version, or None.

        Raises
        ------
        IbisfrontError
            ``platform_unavailable``.
        """
        ...

    async def put(
        self,
        kind: ObjectKind,
        name: str,
        value_json: JsonBytes,
        *,
        if_version: Version | None,
    ) -> Version:
        """Replace one version of an object, or create it, and return the new one.

        Parameters
        ----------
        kind, name
            The object.
        value_json : bytes
            Its new value.
        if_version : int or None
            The version to replace; None to create the object.

        Raises
        ------
        WriteConflict
            If the object has another version; nothing was written.
        IbisfrontError
            ``write_unknown`` if the write may take effect now or later;
            ``bad_request`` if the platform rejected it.
        """
        ...
