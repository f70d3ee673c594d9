"""The client of the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar
from urllib.parse import quote

import msgspec

from ibisfront.core.lenient_json import repair_json
from ibisfront.core.logs import LogPart, part_logger
from ibisfront.gateway.instances.directory import InstanceEntry
from ibisfront.gateway.state.store import (
    Changes,
    Listing,
    ObjectChange,
    StoredObject,
    StoreError,
    StoreErrorKind,
)
from ibisfront.http1.client import HttpClient

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ibisfront.core.types import Address
    from ibisfront.http1.parser import RawMessage

__all__ = [
    "CONFIGURATION_KIND",
    "EVACUATIONS_KIND",
    "SERVERS_KIND",
    "PlatformDirectory",
    "PlatformKindClient",
]

_LOG = part_logger(LogPart.PLATFORM)

CONFIGURATION_KIND = "config"
"""The kind whose object ``main`` is the configuration in force."""

SERVERS_KIND = "servers"
"""The kind in which backend servers register."""

EVACUATIONS_KIND = "evacuations"
"""The kind in which an object stands for each zone that is evacuated."""

_INSTANCES_KIND = "ibisfront-instances"
"""A kind of our own: an object for each instance, under its name."""

_CALL_TIMEOUT_MS = 1_200.0
"""How long an answer may take: the store answers in milliseconds, and in a
quarter of a second when it is slow."""

_WATCH_SLACK_MS = 600.0
"""What the answer to a watch may take beyond the wait that it was given."""

_MAXIMUM_BODY_BYTES = 8 * 1024 * 1024
"""A larger answer is an error: a list comes in pages of a megabyte."""

_OK = 200
_MULTIPLE_CHOICES = 300
_CONFLICT = 409
_GONE = 410

_T = TypeVar("_T")


class _Meta(msgspec.Struct, rename="camel"):
    """What the store says of an object."""

    name: str
    rev: int = 0


class _Object(msgspec.Struct):
    """One object; ``spec`` is its writer's."""

    meta: _Meta
    spec: msgspec.Raw = msgspec.Raw(b"null")


class _Page(msgspec.Struct, rename="camel"):
    """A part of a list; ``more`` says that another follows."""

    items: list[_Object]
    # The revision of the whole store, not of one of the items.
    current_rev: int
    more: bool = False


class _Event(msgspec.Struct):
    """A change; the object is as it was last if it is ``deleted``."""

    object: _Object
    deleted: bool = False


class _Events(msgspec.Struct, rename="camel"):
    """What a watch returns."""

    events: list[_Event]
    current_rev: int


class _WrittenMeta(msgspec.Struct):
    """The name alone: a revision would make the write a conditional one."""

    name: str


class _Written(msgspec.Struct):
    """An object as it is written."""

    meta: _WrittenMeta
    spec: InstanceEntry


class _Calls:
    """Calls of the store about one kind, on one connection."""

    __slots__ = ("_client", "_kind")

    def __init__(self, address: Address, kind: str) -> None:
        self._client = HttpClient(address, maximum_body_bytes=_MAXIMUM_BODY_BYTES)
        self._kind = kind

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
        target = f"/objects/{self._kind}{suffix}"
        try:
            return await self._client.call(method, target, body, timeout_ms=timeout_ms)
        except OSError as error:
            detail = f"{self._kind}: {error or type(error).__name__}"
            raise StoreError(StoreErrorKind.UNREACHABLE, detail) from error

    async def get(self, suffix: str, *, timeout_ms: float = _CALL_TIMEOUT_MS) -> bytes:
        """Return the body of a successful read; raises ``StoreError``."""
        message = await self.call("GET", suffix, timeout_ms=timeout_ms)
        if message.status == _OK:
            return message.body
        raise _refused(self._kind, message)

    async def list_all(self, options: str = "") -> Listing:
        """Return all objects of the kind; raises ``StoreError``."""
        objects: list[StoredObject] = []
        revision: int | None = None
        query = options
        while True:
            page = _decoded_page(await self.get(f"?{query}" if query else ""), _Page)
            objects += [_stored(item) for item in page.items]
            # Changes between two pages are seen again by the watch only if it
            # begins at the first page's revision.
            revision = page.current_rev if revision is None else revision
            if not page.more or not page.items:
                return Listing(objects, revision)
            after = f"after={quote(page.items[-1].meta.name, safe='')}"
            query = f"{options}&{after}" if options else after


class PlatformDirectory:
    """The list of instances in the store; see ``Directory``.

    Parameters
    ----------
    address : Address
        The store.
    """

    __slots__ = ("_calls",)

    def __init__(self, address: Address) -> None:
        self._calls = _Calls(address, _INSTANCES_KIND)

    async def register(self, entry: InstanceEntry) -> None:
        """Write an instance's entry, over one from before a restart."""
        body = msgspec.json.encode(_Written(_WrittenMeta(entry.name), entry))
        message = await self._calls.call("POST", "", body)
        if message.status == _CONFLICT:
            # There from before a restart; the address may be another now.
            name = quote(entry.name, safe="")
            message = await self._calls.call("PUT", f"/{name}", body)
        if not _OK <= message.status < _MULTIPLE_CHOICES:
            raise _refused(_INSTANCES_KIND, message)

    async def instances(self) -> Sequence[InstanceEntry]:
        """Return all entries; they may be some seconds old."""
        listing = await self._calls.list_all("allowStale=1")
        return [_decoded(item.spec, InstanceEntry) for item in listing.objects]

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
        self._calls = _Calls(address, kind)

    async def list_all(self) -> Listing:
        """Return all objects of the kind.

        Raises
        ------
        StoreError
            If the store does not answer, or refuses.
        """
        return await self._calls.list_all()

    async def watch(self, revision: int) -> Changes:
        """Return the changes since a revision, waiting a while for one.

        Raises
        ------
        StoreError
            ``history_gone`` if the revision is too old; else as a list.
        """
        raw = await self._calls.get(
            f"?watch={revision}&waitMs={self._watch_wait_ms}",
            timeout_ms=self._watch_wait_ms + _WATCH_SLACK_MS,
        )
        answer = _decoded_page(raw, _Events)
        changes = [
            ObjectChange(_stored(item.object), item.deleted) for item in answer.events
        ]
        return Changes(changes, answer.current_rev)

    def close(self) -> None:
        """Close the connection."""
        self._calls.close()


def _refused(kind: str, message: RawMessage) -> StoreError:
    error = StoreErrorKind.REFUSED
    if message.status == _GONE:
        error = StoreErrorKind.HISTORY_GONE
    return StoreError(error, f"{kind}: status {message.status}")


def _decoded(raw: bytes, kind: type[_T]) -> _T:
    try:
        return msgspec.json.decode(raw, type=kind)
    except msgspec.DecodeError as error:
        raise StoreError(StoreErrorKind.BAD_ANSWER, str(error)) from error


def _decoded_page(raw: bytes, kind: type[_T]) -> _T:
    """Decode an answer that holds what others have written.

    One object with content that is no proper JSON makes the whole answer none:
    no server would be known any more. Read leniently, that object alone is odd.
    """
    try:
        return msgspec.json.decode(raw, type=kind)
    except msgspec.DecodeError as error:
        _LOG.warning("An answer of the store is no proper JSON: %s.", error)
    return _decoded(repair_json(raw), kind)


def _stored(item: _Object) -> StoredObject:
    return StoredObject(item.meta.name, item.meta.rev, bytes(item.spec))
