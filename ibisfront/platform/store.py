"""The client of the platform's store."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING
from urllib.parse import quote

import msgspec

from ibisfront.gateway.state.store import (
    Changes,
    Listing,
    ObjectChange,
    StoredObject,
    StoreError,
    StoreErrorKind,
)
from ibisfront.gateway.state.store_answers import decode, decode_leniently
from ibisfront.gateway.state.store_era import WatchedEra, stated_era
from ibisfront.http1.client import HttpClient

if TYPE_CHECKING:
    from ibisfront.core.types import Address
    from ibisfront.http1.parser import RawMessage

__all__ = [
    "CONFIGURATION_KIND",
    "EVACUATIONS_KIND",
    "OBJECT_START",
    "SERVERS_KIND",
    "PlatformKindClient",
    "PlatformObjects",
    "StoreAnswer",
]

CONFIGURATION_KIND = "config"
"""The kind whose object ``main`` is the configuration in force."""

SERVERS_KIND = "servers"
"""The kind in which backend servers register."""

EVACUATIONS_KIND = "evacuations"
"""The kind that holds an object for each evacuated zone."""

_CALL_TIMEOUT_MS = 1_200.0
"""How long an answer may take: the store answers in milliseconds, or in 0.25 s
when it is slow."""

_WATCH_SLACK_MS = 600.0
"""How long the answer to a watch may take beyond the requested wait."""

_MAXIMUM_BODY_BYTES = 8 * 1024 * 1024
"""A larger answer is an error: lists are paged by the megabyte."""

_ERA_HEADER = b"store-era"
"""Rises by one each time that the store comes back from an older copy."""

OBJECT_START = re.compile(rb'(?:\{\s*"object"\s*:\s*)?\{\s*"meta"\s*:\s*(?=\{)')
"""The beginning of an object, or of a change of one."""

_OK = 200
_MULTIPLE_CHOICES = 300
_NOT_FOUND = 404
_CONFLICT = 409
_GONE = 410


class _Meta(msgspec.Struct, rename="camel"):
    """An object's metadata in the store."""

    name: str
    rev: int = 0


class _Object(msgspec.Struct):
    """One object; ``spec`` is the writer's content."""

    meta: _Meta
    spec: msgspec.Raw = msgspec.Raw(b"null")


class _Event(msgspec.Struct):
    """A change; a ``deleted`` object is in its last state."""

    object: _Object
    deleted: bool = False


class StoreAnswer(msgspec.Struct, rename="camel"):
    """A page of a list, which ``more`` may follow, or the changes of a watch."""

    # The revision of the whole store, not of one of the items.
    current_rev: int
    items: list[_Object] = []
    events: list[_Event] = []
    more: bool = False


class _WrittenMeta(msgspec.Struct, omit_defaults=True):
    """What a write states of its object; a revision makes it conditional."""

    name: str
    rev: int | None = None


class _WrittenObject(msgspec.Struct):
    """An object to be written."""

    meta: _WrittenMeta
    spec: msgspec.Raw


class _KindCalls:
    """Calls of the store for one kind, on one connection."""

    __slots__ = ("_client", "_era", "kind")

    def __init__(self, address: Address, kind: str) -> None:
        self._client = HttpClient(address, maximum_body_bytes=_MAXIMUM_BODY_BYTES)
        self.kind = kind
        self._era = WatchedEra()

    def close(self) -> None:
        """Close the connection."""
        self._client.close()

    async def call(
        self,
        method: str,
        suffix: str,
        body: bytes = b"",
        *,
        timeout_ms: float = _CALL_TIMEOUT_MS,
    ) -> RawMessage:
        """Make one call; raises ``StoreError`` if there is no answer."""
        target = f"/objects/{self.kind}{suffix}"
        try:
            return await self._client.call(method, target, body, timeout_ms=timeout_ms)
        except OSError as error:
            detail = f"{self.kind}: {error or type(error).__name__}"
            raise StoreError(StoreErrorKind.UNREACHABLE, detail) from error

    async def get(self, suffix: str, *, timeout_ms: float = _CALL_TIMEOUT_MS) -> bytes:
        """Return the body of a successful read; raises ``StoreError``."""
        message = await self.call("GET", suffix, timeout_ms=timeout_ms)
        self._era.check(stated_era(message.headers, _ERA_HEADER), self.kind)
        if message.status == _OK:
            return message.body
        raise _rejection(self.kind, message)

    async def list_all(self, options: str = "") -> Listing:
        """Return all objects of the kind; raises ``StoreError``."""
        self._era.start_listing()
        objects: list[StoredObject] = []
        revision: int | None = None
        query = options
        while True:
            raw = await self.get(f"?{query}" if query else "")
            page = decode_leniently(raw, StoreAnswer, OBJECT_START)
            objects += [_stored_object(item) for item in page.items]
            # The watch returns changes made between two pages only if it starts
            # at the first page's revision.
            revision = page.current_rev if revision is None else revision
            if not page.more or not page.items:
                self._era.record_listed()
                return Listing(objects, revision)
            after = f"after={quote(page.items[-1].meta.name, safe='')}"
            query = f"{options}&{after}" if options else after


class PlatformObjects:
    """Reads and writes one of the tier's own kinds of object; see ``ObjectStore``."""

    __slots__ = ("_calls",)

    def __init__(self, address: Address, kind: str) -> None:
        self._calls = _KindCalls(address, kind)

    async def list_all(self, *, may_be_stale: bool = False) -> Listing:
        """Return all objects, possibly a few seconds old."""
        return await self._calls.list_all("allowStale=1" if may_be_stale else "")

    async def read(self, name: str) -> StoredObject | None:
        """Return an object; None if there is none."""
        return await self._call("GET", f"/{quote(name, safe='')}")

    async def create(self, name: str, spec: bytes) -> StoredObject | None:
        """Write a new object and return it; None if it exists."""
        return await self._call("POST", "", _written(name, spec))

    async def replace(
        self, name: str, spec: bytes, revision: int | None = None
    ) -> StoredObject | None:
        """Replace an object and return it; None if it is gone or has changed."""
        body = _written(name, spec, revision)
        return await self._call("PUT", f"/{quote(name, safe='')}", body)

    async def remove(self, name: str, revision: int) -> None:
        """Remove an object, if it has not changed."""
        await self._call("DELETE", f"/{quote(name, safe='')}?rev={revision}")

    async def _call(
        self, method: str, suffix: str, body: bytes = b""
    ) -> StoredObject | None:
        message = await self._calls.call(method, suffix, body)
        if message.status in (_NOT_FOUND, _CONFLICT):
            return None
        if not _OK <= message.status < _MULTIPLE_CHOICES:
            raise _rejection(self._calls.kind, message)
        if method == "DELETE":
            return None
        return _stored_object(decode(message.body, _Object))

    def close(self) -> None:
        """Close the connection."""
        self._calls.close()


class PlatformKindClient:
    """Lists and watches one kind of object; see ``KindClient``.

    Parameters
    ----------
    address : Address
        The store.
    kind : str
        The kind.
    watch_wait_ms : float
        How long a watch waits for a change.
    """

    __slots__ = ("_calls", "_watch_wait_ms")

    def __init__(self, address: Address, kind: str, *, watch_wait_ms: float) -> None:
        self._watch_wait_ms = int(watch_wait_ms)
        self._calls = _KindCalls(address, kind)

    async def list_all(self) -> Listing:
        """Return all objects of the kind."""
        return await self._calls.list_all()

    async def watch(self, revision: int) -> Changes:
        """Return the changes since a revision, waiting for one if there is none."""
        raw = await self._calls.get(
            f"?watch={revision}&waitMs={self._watch_wait_ms}",
            timeout_ms=self._watch_wait_ms + _WATCH_SLACK_MS,
        )
        answer = decode_leniently(raw, StoreAnswer, OBJECT_START)
        changes = [
            ObjectChange(_stored_object(item.object), item.deleted)
            for item in answer.events
        ]
        return Changes(changes, answer.current_rev)

    def close(self) -> None:
        """Close the connection."""
        self._calls.close()


def _rejection(kind: str, message: RawMessage) -> StoreError:
    is_gone = message.status == _GONE
    error = StoreErrorKind.HISTORY_GONE if is_gone else StoreErrorKind.REFUSED
    return StoreError(error, f"{kind}: status {message.status}")


def _written(name: str, spec: bytes, revision: int | None = None) -> bytes:
    meta = _WrittenMeta(name, revision)
    return msgspec.json.encode(_WrittenObject(meta, msgspec.Raw(spec)))


def _stored_object(item: _Object) -> StoredObject:
    return StoredObject(item.meta.name, item.meta.rev, bytes(item.spec))
