"""Objects of the platform's store, and its answers that contain them."""

from __future__ import annotations

import re
from collections.abc import Callable
from itertools import pairwise
from typing import TypeVar

import msgspec

from ibisfront.core.decoding import decode_json
from ibisfront.core.json_scan import Container, scan_container, scan_object
from ibisfront.core.lenient_json import repair_json
from ibisfront.core.logs import LogPart, part_logger
from ibisfront.gateway.state.store import StoreError, StoreErrorKind

__all__ = ["Event", "Events", "Meta", "Object", "Page", "decode_events", "decode_page"]

_LOG = part_logger(LogPart.PLATFORM)

_OBJECT_START = re.compile(rb'\{\s*"meta"\s*:\s*\{')
_DELETED = re.compile(rb'\s*,\s*"deleted"\s*:\s*true')
_CURRENT_REVISION = re.compile(rb'"currentRev"\s*:\s*([0-9]{1,18})\b')
_MORE = re.compile(rb'"more"\s*:\s*true')

_UNREADABLE = msgspec.Raw(b"")
"""Content of an object that cannot be told from the bytes around it."""

_T = TypeVar("_T")


class Meta(msgspec.Struct, rename="camel"):
    """An object's metadata in the store."""

    name: str
    rev: int = 0


class Object(msgspec.Struct):
    """One object; ``spec`` is the writer's content."""

    meta: Meta
    spec: msgspec.Raw = msgspec.Raw(b"null")


class Page(msgspec.Struct, rename="camel"):
    """A page of a list; ``more`` is set if another follows."""

    items: list[Object]
    # The revision of the whole store, not of one of the items.
    current_rev: int
    more: bool = False


class Event(msgspec.Struct):
    """A change; a ``deleted`` object is in its last state."""

    object: Object
    deleted: bool = False


class Events(msgspec.Struct, rename="camel"):
    """Response to a watch."""

    events: list[Event]
    current_rev: int


def decode_page(raw: bytes) -> Page:
    """Decode a page of a list, whatever other writers have put into its objects.

    Raises
    ------
    StoreError
        If it is not a page.
    """
    return _decode(raw, Page, _recover_page)


def decode_events(raw: bytes) -> Events:
    """Decode the response to a watch; see `decode_page`."""
    return _decode(raw, Events, _recover_events)


def _decode(raw: bytes, body_type: type[_T], recover: Callable[[bytes], _T]) -> _T:
    try:
        return decode_json(raw, body_type)
    except msgspec.DecodeError as error:
        _LOG.warning("A reply from the store is not valid JSON: %s.", error)
    try:
        return recover(raw)
    except (msgspec.DecodeError, KeyError) as error:
        raise StoreError(StoreErrorKind.BAD_ANSWER, str(error)) from error


def _recover_page(raw: bytes) -> Page:
    """Decode a page object by object; one that has no name is left out."""
    reply = scan_container(raw)
    if reply.end is None:
        objects = [found for found, _ in _find_objects(raw)]
        return Page(objects, _last_revision(raw), _MORE.search(raw) is not None)
    members = scan_object(reply)
    found = [_recover_object(item) for item in _elements(members["items"])]
    return Page(
        items=[item for item in found if item is not None],
        current_rev=decode_json(members["currentRev"], int),
        more=decode_json(members.get("more", b"false"), bool),
    )


def _recover_events(raw: bytes) -> Events:
    reply = scan_container(raw)
    if reply.end is None:
        events = [Event(found, deleted) for found, deleted in _find_objects(raw)]
        return Events(events, _last_revision(raw))
    members = scan_object(reply)
    recovered = [_recover_event(item) for item in _elements(members["events"])]
    return Events(
        events=[event for event in recovered if event is not None],
        current_rev=decode_json(members["currentRev"], int),
    )


def _recover_event(raw: bytes) -> Event | None:
    members = scan_object(scan_container(raw))
    found = _recover_object(members.get("object", b""))
    if found is None:
        return None
    return Event(found, decode_json(members.get("deleted", b"false"), bool))


def _recover_object(raw: bytes) -> Object | None:
    """Return an object, with unreadable content if that cannot be repaired."""
    for text in (raw, repair_json(raw)):
        try:
            return decode_json(text, Object)
        except msgspec.DecodeError:
            # Its content is reported as invalid by whoever decodes that.
            continue
    members = scan_object(scan_container(raw))
    try:
        meta = decode_json(members.get("meta", b""), Meta)
    except msgspec.DecodeError as error:
        _LOG.error("Ignoring an object of the store without a name: %s.", error)
        return None
    return Object(meta, msgspec.Raw(members.get("spec", b"")) or _UNREADABLE)


def _elements(raw: bytes) -> list[bytes]:
    return scan_container(raw).parts


def _find_objects(raw: bytes) -> list[tuple[Object, bool]]:
    """Return the objects of a reply whose brackets or quotes are not balanced.

    Each object is searched for by its beginning, and also whether it was deleted.
    """
    found = []
    starts = [match.start() for match in _OBJECT_START.finditer(raw)]
    for start, end in pairwise([*starts, len(raw)]):
        text = raw[start:end]
        container: Container = scan_container(text)
        item = _recover_object(text if container.end is None else text[: container.end])
        if item is None:
            continue
        if container.end is None:
            item.spec = _UNREADABLE
        is_deleted = container.end and _DELETED.match(text, container.end)
        found.append((item, bool(is_deleted)))
    return found


def _last_revision(raw: bytes) -> int:
    """Return the store's revision, which follows the objects."""
    revisions = _CURRENT_REVISION.findall(raw)
    if not revisions:
        raise msgspec.DecodeError("the reply states no revision")
    return int(revisions[-1])
