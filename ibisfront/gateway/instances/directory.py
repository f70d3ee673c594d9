"""The directory of instances in the store, and its synchronization."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING, Protocol

import msgspec

from ibisfront.core.logs import LogPart, part_logger
from ibisfront.core.types import Address
from ibisfront.gateway.servers.entry_fields import SocketAddress
from ibisfront.gateway.servers.server_entry import ServerEntry
from ibisfront.gateway.state.invalid_objects import InvalidObjects
from ibisfront.gateway.state.store import StoreError, StoreErrorKind
from ibisfront.gateway.state.store_answers import decode

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ibisfront.core.clock import Clock
    from ibisfront.gateway.state.store import ObjectStore, StoredObject

__all__ = [
    "ASSUMED_INSTANCES",
    "INSTANCES_KIND",
    "Directory",
    "InstanceEntry",
    "StoredDirectory",
    "peer_entry",
    "sync_instances",
]

_LOG = part_logger(LogPart.MEMBERS)

INSTANCES_KIND = "ibisfront-instances"
"""Kind of the store that has an object for each instance, under its name."""

_STARTUP_POLL_INTERVAL_MS = 1_000.0
"""Poll interval of the list at startup, while the other instances register too."""

_STARTUP_POLLS = 4
"""Number of polls at the startup interval."""

_POLL_INTERVAL_MS = 5_000.0
"""Poll interval of the list. Failed instances are detected by their silence, and new
ones are not needed for a few seconds; a read that may be stale costs a tenth of a
call."""

_RETRY_MS = 700.0
"""Mean delay before registration is retried."""

_SETTLE_MS = 700.0
"""Delay of the first read when all instances start for the first time: they start
within 0.3 s of each other, and a start takes about as long again."""

_LOST_ENTRY_MS = 10_000.0
"""How long this instance may be missing from the lists received before it registers
again: longer than a list is stale."""

ASSUMED_INSTANCES = 16
"""Number of instances assumed to share connections until the list is read: about twice
the entry instances of a typical deployment."""


class InstanceEntry(msgspec.Struct, frozen=True):
    """An instance's entry in the store.

    Attributes
    ----------
    name : str
        Its name, unchanged by a restart.
    zone : str
        Its availability zone.
    address : Address
        Its address for other instances.
    capacity : float
        Its number of cores; the largest instances become coordinators.
    """

    name: str
    zone: str
    address: Address
    capacity: float = 1.0


class Directory(Protocol):
    """The list of instances in the platform's store."""

    async def register(self, entry: InstanceEntry) -> None:
        """Write an instance's entry; raises ``StoreError``."""

    async def instances(self) -> Sequence[InstanceEntry]:
        """Return all entries, possibly a few seconds old; raises ``StoreError``."""


class StoredDirectory:
    """The list of instances, as objects of the store; see ``Directory``.

    Parameters
    ----------
    objects : ObjectStore
        The objects.
    """

    __slots__ = ("_invalid", "_objects")

    def __init__(self, objects: ObjectStore) -> None:
        self._objects = objects
        self._invalid = InvalidObjects()

    async def register(self, entry: InstanceEntry) -> None:
        """Write an instance's entry, replacing one from before a restart."""
        spec = msgspec.json.encode(entry)
        if await self._objects.create(entry.name, spec) is not None:
            return
        # It exists from before a restart; the address may have changed.
        if await self._objects.replace(entry.name, spec) is None:
            detail = f"{entry.name} was removed while it was replaced"
            raise StoreError(StoreErrorKind.REFUSED, detail)

    async def instances(self) -> Sequence[InstanceEntry]:
        """Return all valid entries; they may be a few seconds old."""
        listing = await self._objects.list_all(may_be_stale=True)
        entries = [self._decode(item) for item in listing.objects]
        return [entry for entry in entries if entry is not None]

    def _decode(self, item: StoredObject) -> InstanceEntry | None:
        """Return an instance's entry; None if another writer has put an invalid one."""
        try:
            entry = decode(item.spec, InstanceEntry)
            if entry.address:
                msgspec.convert(entry.address, SocketAddress)
        except (StoreError, msgspec.ValidationError) as error:
            if self._invalid.add(item):
                _LOG.error(
                    "Ignoring the invalid instance entry %.80s: %s.", item.name, error
                )
            return None
        return entry

    def close(self) -> None:
        """Close the connection."""
        self._objects.close()


async def sync_instances(
    directory: Directory,
    own: InstanceEntry,
    *,
    on_list: Callable[[Sequence[InstanceEntry]], None],
    on_first_poll: Callable[[], None],
    is_needed: Callable[[], bool],
    is_listed: Callable[[], bool],
    is_first_start: bool,
    clock: Clock,
) -> None:
    """Register this instance and poll the list of instances until cancelled.

    Parameters
    ----------
    directory : Directory
        The list in the store.
    own : InstanceEntry
        This instance.
    on_list : callable
        Called with all instances, this one included. Entries of instances that
        are gone make shares smaller, never too large.
    on_first_poll : callable
        Called once after the first read of the list, even if it failed.
    is_needed : callable
        Returns whether the list must be read here: a subscriber of another
        instance gets it from there.
    is_listed : callable
        Returns whether the last list received, from the store or from another
        instance, has this instance. The store may lose its entry.
    is_first_start : bool
        Whether all instances start for the first time, and the list is not
        complete yet.
    clock : Clock
        The clock.
    """
    random = Random()
    is_registered = False
    listed_at_ms = clock.now_ms()
    if is_first_start:
        is_registered = await _register(directory, own)
        await clock.sleep_ms(_SETTLE_MS)
    polls = 0
    while True:
        if polls == 0 or is_needed():
            listed = await _read(directory)
            if listed is not None:
                # After a restart the entry exists, and a write would be wasted.
                is_registered = is_registered or own in listed
                on_list(listed)
        if polls == 0:
            on_first_poll()
        now_ms = clock.now_ms()
        if is_listed() or not is_registered:
            listed_at_ms = now_ms
        elif now_ms >= listed_at_ms + _LOST_ENTRY_MS:
            _LOG.warning("This instance is no longer listed; registering again.")
            is_registered = False
            listed_at_ms = now_ms
        is_registered = is_registered or await _register(directory, own)
        polls += 1
        wait_ms = (
            _STARTUP_POLL_INTERVAL_MS if polls < _STARTUP_POLLS else _POLL_INTERVAL_MS
        )
        if not is_registered:
            wait_ms = _RETRY_MS
        await clock.sleep_ms(wait_ms * random.uniform(0.8, 1.2))


async def _register(directory: Directory, own: InstanceEntry) -> bool:
    """Write this instance's entry; return whether that succeeded."""
    try:
        await directory.register(own)
    except StoreError as error:
        _LOG.warning("This instance cannot be registered yet: %s.", error)
        return False
    return True


async def _read(directory: Directory) -> Sequence[InstanceEntry] | None:
    """Return the list, or None if it cannot be read."""
    try:
        return await directory.instances()
    except StoreError as error:
        _LOG.warning("The list of instances cannot be read: %s.", error)
        return None


def peer_entry(entry: InstanceEntry) -> ServerEntry:
    """Return another instance as a server of the service named after its zone."""
    return ServerEntry(entry.name, entry.zone, entry.address, entry.zone)
