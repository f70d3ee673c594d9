"""The other instances: who they are, and how each learns of them."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING, Protocol

import msgspec

from ibisfront.core.logs import LogPart, part_logger
from ibisfront.core.types import Address
from ibisfront.gateway.servers.server_entry import ServerEntry
from ibisfront.gateway.state.store import StoreError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ibisfront.core.clock import Clock

__all__ = [
    "ASSUMED_INSTANCES",
    "Directory",
    "InstanceEntry",
    "peer_entry",
    "sync_instances",
]

_LOG = part_logger(LogPart.MEMBERS)

_STARTUP_POLL_INTERVAL_MS = 1_000.0
"""How often the list is read at the start, while the others register too."""

_STARTUP_POLLS = 4
"""Reads of the list that come at the pace of the start."""

_POLL_INTERVAL_MS = 5_000.0
"""How often the list is read. Instances that die are noticed by their silence,
and new ones are not missed for a few seconds; a stale read has a tenth of a
call's price."""

_RETRY_MS = 700.0
"""Pause, on average, before another try to register."""

_SETTLE_MS = 700.0
"""How long the first read waits where all instances start for the first time:
they do so within 0.3 s of each other, and a start takes as long again."""

ASSUMED_INSTANCES = 16
"""How many instances share allowances and connections until their list is
known: about twice the entry instances of a deployment of today."""


class InstanceEntry(msgspec.Struct, frozen=True):
    """What an instance says of itself in the store.

    Attributes
    ----------
    name : str
        Its name; a restart keeps it.
    zone : str
        Its availability zone.
    address : Address
        Where other instances reach it.
    capacity : float
        How many cores it has; the strongest gather for the others.
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
        """Return all entries, perhaps some seconds old; raises ``StoreError``."""


async def sync_instances(
    directory: Directory,
    own: InstanceEntry,
    *,
    on_list: Callable[[Sequence[InstanceEntry]], None],
    on_first_attempt: Callable[[], None],
    is_needed: Callable[[], bool],
    is_first_start: bool,
    clock: Clock,
) -> None:
    """Register this instance and keep up with the others, until cancelled.

    Parameters
    ----------
    directory : Directory
        The list in the store.
    own : InstanceEntry
        This instance.
    on_list : callable
        Told of all instances, this one included. Entries of instances that are
        gone make shares smaller, never too large.
    on_first_try : callable
        Told once when the list was read for the first time, or could not be.
    is_needed : callable
        Returns whether the list must be read here: an instance that follows
        another one gets it from there.
    is_first_start : bool
        Whether all instances start for the first time, so that the list is
        not complete yet.
    clock : Clock
        The tier's clock.
    """
    random = Random()
    is_registered = False
    if is_first_start:
        is_registered = await _register(directory, own)
        await clock.sleep_ms(_SETTLE_MS)
    polls = 0
    while True:
        if polls == 0 or is_needed():
            listed = await _read(directory)
            if listed is not None:
                # A restart finds its entry: writing it again has its price.
                is_registered = is_registered or own in listed
                on_list(listed)
        if polls == 0:
            on_first_attempt()
        is_registered = is_registered or await _register(directory, own)
        polls += 1
        wait_ms = (
            _STARTUP_POLL_INTERVAL_MS if polls < _STARTUP_POLLS else _POLL_INTERVAL_MS
        )
        if not is_registered:
            wait_ms = _RETRY_MS
        await clock.sleep_ms(wait_ms * random.uniform(0.8, 1.2))


async def _register(directory: Directory, own: InstanceEntry) -> bool:
    """Write this instance's entry; return whether it is written."""
    try:
        await directory.register(own)
    except StoreError as error:
        _LOG.warning("This instance cannot be registered yet: %s.", error)
        return False
    return True


async def _read(directory: Directory) -> Sequence[InstanceEntry] | None:
    """Return the list; None if it cannot be read now."""
    try:
        return await directory.instances()
    except StoreError as error:
        _LOG.warning("The list of instances cannot be read: %s.", error)
        return None


def peer_entry(entry: InstanceEntry) -> ServerEntry:
    """Return another instance as a server of the service of its zone."""
    return ServerEntry(entry.name, entry.zone, entry.address, entry.zone)
