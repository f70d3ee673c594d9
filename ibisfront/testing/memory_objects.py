"""Objects of the store in memory, shared by the instances of a test."""

from __future__ import annotations

import trio

from ibisfront.gateway.state.store import (
    Listing,
    StoredObject,
    StoreError,
    StoreErrorKind,
)

__all__ = ["MemoryObjects"]


class MemoryObjects:
    """Linearizable objects of one kind; see ``ObjectStore``.

    Attributes
    ----------
    latency_ms : float
        Time that each call takes.
    is_available : bool
        Whether calls are answered.
    """

    def __init__(self, *, latency_ms: float = 4.0) -> None:
        self._objects: dict[str, StoredObject] = {}
        self._revision = 0
        self.latency_ms = latency_ms
        self.is_available = True

    @property
    def names(self) -> list[str]:
        """The names of all objects."""
        return sorted(self._objects)

    async def list_all(self, *, may_be_stale: bool = False) -> Listing:
        """Return all objects."""
        await self._answer()
        return Listing(list(self._objects.values()), self._revision)

    async def read(self, name: str) -> StoredObject | None:
        """Return an object; None if there is none."""
        await self._answer()
        return self._objects.get(name)

    async def create(self, name: str, spec: bytes) -> StoredObject | None:
        """Write a new object and return it; None if it exists."""
        await self._answer()
        return None if name in self._objects else self._put(name, spec)

    async def replace(
        self, name: str, spec: bytes, revision: int | None = None
    ) -> StoredObject | None:
        """Replace an object and return it; None if it is gone or has changed."""
        await self._answer()
        return self._put(name, spec) if self._matches(name, revision) else None

    async def remove(self, name: str, revision: int) -> None:
        """Remove an object, if it has not changed."""
        await self._answer()
        if self._matches(name, revision):
            del self._objects[name]

    def close(self) -> None:
        """Do nothing; there is no connection."""

    async def _answer(self) -> None:
        await trio.sleep(self.latency_ms / 1000.0)
        if not self.is_available:
            raise StoreError(StoreErrorKind.UNREACHABLE, "no answer")

    def _matches(self, name: str, revision: int | None) -> bool:
        found = self._objects.get(name)
        return found is not None and revision in (None, found.revision)

    def _put(self, name: str, spec: bytes) -> StoredObject:
        self._revision += 1
        stored = StoredObject(name, self._revision, spec)
        self._objects[name] = stored
        return stored
