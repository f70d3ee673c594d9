"""Taking in what the platform's store lists: configuration and servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ibisfront.core.counters import CounterKind
from ibisfront.core.logs import LogPart, part_logger
from ibisfront.gateway.feed import FeedTarget
from ibisfront.platform.documents import (
    CONFIGURATION_NAME,
    configuration_from,
    server_entry_from,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from ibisfront.front.process import FrontProcess
    from ibisfront.gateway.server import ServerEntry
    from ibisfront.gateway.store import Listing, ObjectChange, StoredObject

__all__ = ["configuration_target", "servers_target"]

_TABLE_LOG = part_logger(LogPart.TABLE)
_BACKEND_LOG = part_logger(LogPart.BACKEND)


def configuration_target(process: FrontProcess) -> FeedTarget:
    """Return what takes in the configuration."""

    def take(item: StoredObject) -> None:
        if item.name == CONFIGURATION_NAME:
            _put_configuration(process, item.spec)

    def replace(listing: Listing, after_outage: bool) -> None:
        for item in listing.objects:
            take(item)

    def change(changes: Sequence[ObjectChange]) -> None:
        for item in changes:
            if not item.is_removed:
                take(item.object)

    return _target(process, "configuration", replace, change)


def servers_target(process: FrontProcess) -> FeedTarget:
    """Return what takes in the backend servers' entries."""

    def replace(listing: Listing, after_outage: bool) -> None:
        entries = [_entry(item) for item in listing.objects]
        known = [entry for entry in entries if entry is not None]
        process.book.replace(known, after_outage=after_outage)
        process.connections.warm_up(process.book)

    def change(changes: Sequence[ObjectChange]) -> None:
        for item in changes:
            entry = None if item.is_removed else _entry(item.object)
            if item.is_removed:
                process.book.remove(item.object.name)
            elif entry is not None:
                process.book.put(entry)
        process.connections.warm_up(process.book)

    return _target(process, "servers", replace, change)


def _target(
    process: FrontProcess,
    name: str,
    replace: Callable[[Listing, bool], None],
    change: Callable[[Sequence[ObjectChange]], None],
) -> FeedTarget:
    """Return a target that also tells the other instances of changes."""
    process.feed.away.add(name)

    def replace_and_tell(listing: Listing, after_outage: bool) -> None:
        process.feed.away.discard(name)
        replace(listing, after_outage)
        process.source.note_change()

    def change_and_tell(changes: Sequence[ObjectChange]) -> None:
        change(changes)
        process.source.note_change()

    def away() -> None:
        process.feed.away.add(name)
        process.source.note_away()

    return FeedTarget(name, replace_and_tell, change_and_tell, away)


def _put_configuration(process: FrontProcess, spec: bytes) -> None:
    counters = process.observer.counters
    try:
        configuration = configuration_from(spec)
    except (msgspec.DecodeError, ValueError) as error:
        counters.add(CounterKind.TABLE_CHANGES, "unreadable")
        _TABLE_LOG.error("The configuration cannot be read: %s.", error)
        return
    process.use_configuration(configuration)


def _entry(item: StoredObject) -> ServerEntry | None:
    """Return a server's entry; None if it cannot be read.

    One wrong entry must not keep the others from being taken in.
    """
    try:
        return server_entry_from(item.name, item.spec)
    except (msgspec.DecodeError, ValueError) as error:
        _BACKEND_LOG.error("The entry of %s cannot be read: %s.", item.name, error)
        return None
