"""Watch targets that apply the configuration, the servers and the evacuations."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ibisfront.core.counters import CounterKind
from ibisfront.core.logs import LogPart, part_logger
from ibisfront.gateway.state.invalid_objects import InvalidObjects
from ibisfront.gateway.state.kind_watch import WatchTarget
from ibisfront.gateway.state.route_cache import RouteCache
from ibisfront.platform.documents import (
    CONFIGURATION_NAME,
    configuration_from,
    server_entry_from,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from ibisfront.front.process import FrontProcess
    from ibisfront.gateway.servers.server_entry import ServerEntry
    from ibisfront.gateway.state.store import Listing, ObjectChange, StoredObject

__all__ = ["configuration_target", "evacuations_target", "servers_target"]

_TABLE_LOG = part_logger(LogPart.TABLE)
_BACKEND_LOG = part_logger(LogPart.BACKEND)


def configuration_target(process: FrontProcess) -> WatchTarget:
    """Return the target that applies the configuration."""
    cache = RouteCache()

    def apply(item: StoredObject) -> None:
        if item.name == CONFIGURATION_NAME:
            _put_configuration(process, cache, item.spec)

    def replace(listing: Listing, after_outage: bool) -> None:
        for item in listing.objects:
            apply(item)

    def apply_changes(changes: Sequence[ObjectChange]) -> None:
        for item in changes:
            if not item.is_removed:
                apply(item.object)

    return _target(process, "configuration", replace, apply_changes)


def servers_target(process: FrontProcess) -> WatchTarget:
    """Return the target that applies the backend servers' entries."""
    invalid = InvalidObjects()

    def decode_entry(item: StoredObject) -> ServerEntry | None:
        """Return a server's entry; None if it is invalid.

        One invalid entry must not prevent the others from being applied. It is
        logged once per change, as each list repeats it.
        """
        try:
            return server_entry_from(item.name, item.spec)
        except (msgspec.DecodeError, ValueError) as error:
            process.observer.counters.add(CounterKind.SERVER_ENTRIES, "unreadable")
            if invalid.add(item):
                _BACKEND_LOG.error(
                    "Ignoring the invalid server entry %.80s: %s.", item.name, error
                )
            return None

    def replace(listing: Listing, after_outage: bool) -> None:
        entries = {item.name: decode_entry(item) for item in listing.objects}
        process.replace_servers(
            [entry for entry in entries.values() if entry is not None],
            after_outage=after_outage,
            unreadable={name for name, entry in entries.items() if entry is None},
        )

    def apply_changes(changes: Sequence[ObjectChange]) -> None:
        for item in changes:
            entry = None if item.is_removed else decode_entry(item.object)
            if entry is not None:
                process.registry.put(entry)
            else:
                process.registry.remove(item.object.name)
        process.connections.warm_up(process.registry)

    return _target(process, "servers", replace, apply_changes)


def evacuations_target(process: FrontProcess) -> WatchTarget:
    """Return the target that applies which zones are evacuated.

    An object's name is the zone; its content is ignored.
    """
    zones: set[str] = set()

    def add(item: StoredObject) -> None:
        if item.name in process.settings.zones:
            zones.add(item.name)
            return
        _BACKEND_LOG.error("Ignoring the evacuation of unknown zone %.80s.", item.name)

    def replace(listing: Listing, after_outage: bool) -> None:
        zones.clear()
        for item in listing.objects:
            add(item)
        process.apply_evacuations(frozenset(zones))

    def apply_changes(changes: Sequence[ObjectChange]) -> None:
        for item in changes:
            if item.is_removed:
                zones.discard(item.object.name)
            else:
                add(item.object)
        process.apply_evacuations(frozenset(zones))

    return _target(process, "evacuations", replace, apply_changes)


def _target(
    process: FrontProcess,
    name: str,
    replace: Callable[[Listing, bool], None],
    apply_changes: Callable[[Sequence[ObjectChange]], None],
) -> WatchTarget:
    """Return a target that also notifies other instances of changes."""
    process.state_sync.unavailable.add(name)

    def replace_and_notify(listing: Listing, after_outage: bool) -> None:
        process.state_sync.unavailable.discard(name)
        replace(listing, after_outage)
        process.source.record_change()

    def apply_changes_and_notify(changes: Sequence[ObjectChange]) -> None:
        apply_changes(changes)
        process.source.record_change()

    def mark_unavailable() -> None:
        process.state_sync.unavailable.add(name)
        process.source.notify_subscribers()

    return WatchTarget(
        name, replace_and_notify, apply_changes_and_notify, mark_unavailable
    )


def _put_configuration(process: FrontProcess, cache: RouteCache, spec: bytes) -> None:
    counters = process.observer.counters
    try:
        configuration = configuration_from(spec, cache)
    except (msgspec.DecodeError, ValueError) as error:
        counters.add(CounterKind.TABLE_CHANGES, "unreadable")
        _TABLE_LOG.error("The configuration cannot be read: %s.", error)
        return
    process.apply_configuration(configuration)
