"""Dissemination of the platform's objects among the instances.

A new change is forwarded to all neighbours at once: in full if it is small, as
a version number if it is large, so that each instance receives a large value
only once. Heartbeats repeat the newest version, so that an instance that missed
a change detects this within one heartbeat and requests what it lacks.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisfront.core.counters import CounterKind
from ibisfront.core.logs import LogPart, part_logger
from ibisfront.core.objects import (
    REPLICATED_KINDS,
    ObjectKind,
    ObjectName,
    VersionedObject,
)
from ibisfront.core.peers import PeerMessage
from ibisfront.core.types import Version

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ibisfront.core.clock import Clock
    from ibisfront.core.counters import Counters
    from ibisfront.core.objects import ObjectStore
    from ibisfront.core.peers import Peers

__all__ = ["NewestKnown", "ObjectDissemination", "ObjectsChanged", "ObjectsWanted"]

PUSH_BYTES = 2048
"""Largest change that is pushed in full; a larger one is requested."""

REPLY_BYTES = 262_144
"""Size limit of the objects in one reply; the rest is requested separately."""

_RETRY_MS = 1_000.0
"""Delay before a request without a reply is retried, doubled for each retry.
With a fixed delay, copies of a large reply would queue on a slow link."""

_MAXIMUM_RETRY_MS = 8_000.0
"""Upper limit of the retry delay. A table of the largest size, 1 MB, takes 1.2 s
on a link of 7 Mbit/s, and several times that on a shared one."""

_LOG = part_logger(LogPart.TABLE)


class ObjectsChanged(PeerMessage, frozen=True, tag="objects_changed"):
    """All objects that changed after one revision, up to another.

    Attributes
    ----------
    after, revision : int
        The interval for which the objects are complete.
    newest : int
        The newest version that the sender holds; larger than ``revision`` if
        it has more to send.
    objects : tuple of VersionedObject
        The objects, including deleted ones.
    present : tuple of ObjectName or None
        All objects that exist at ``present_at``; set if the sender may lack
        tombstones of objects deleted after ``after``.
    present_at : int
        The revision of ``present``.
    """

    after: Version
    revision: Version
    newest: Version
    objects: tuple[VersionedObject, ...]
    present: tuple[ObjectName, ...] | None = None
    present_at: Version = 0


class ObjectsWanted(PeerMessage, frozen=True, tag="objects_wanted"):
    """Requests all changes after a revision."""

    after: Version


class NewestKnown(PeerMessage, frozen=True, tag="newest_known"):
    """The newest version that the sender holds."""

    newest: Version


class ObjectDissemination:
    """Merges objects from the platform and the peers, and forwards new ones.

    Parameters
    ----------
    store : ObjectStore
        Holds the objects.
    peers : Peers
        Messages to other instances.
    clock : Clock
        The tier's clock.
    counters : Counters
        Counts changes by their source.
    """

    __slots__ = (
        "_clock",
        "_counters",
        "_no_request_before_ms",
        "_peers",
        "_retry_ms",
        "_store",
    )

    def __init__(
        self, store: ObjectStore, *, peers: Peers, clock: Clock, counters: Counters
    ) -> None:
        self._store = store
        self._peers = peers
        self._clock = clock
        self._counters = counters
        self._retry_ms = _RETRY_MS
        self._no_request_before_ms = float("-inf")
        peers.handle(ObjectsChanged, self._objects_changed)
        peers.handle(ObjectsWanted, self._objects_wanted)
        peers.handle(NewestKnown, self._newest_known)

    @property
    def store(self) -> ObjectStore:
        """The objects held by this instance."""
        return self._store

    def ingest_changes(
        self, objects: Sequence[VersionedObject], *, after: Version, revision: Version
    ) -> None:
        """Ingest the platform's changes after one revision, up to another."""
        before = self._store.revision
        self._merge(objects, source="platform")
        if after <= before:
            self._store.complete_through(revision)
        self._forward(before)

    def ingest_list(
        self, objects: Sequence[VersionedObject], *, revision: Version
    ) -> None:
        """Ingest the platform's list of all objects at a revision."""
        before = self._store.revision
        self._merge(objects, source="platform")
        present = {ObjectName(item.kind, item.name) for item in objects}
        self._store.delete_absent(present, kinds=REPLICATED_KINDS, revision=revision)
        self._store.complete_through(revision)
        self._forward(before)

    def request_newer(self, sender: str, newest: Version) -> None:
        """Request the changes from a peer that holds a newer version."""
        now_ms = self._clock.now_ms()
        if newest <= self._store.revision or now_ms < self._no_request_before_ms:
            return
        # One request at a time: otherwise every neighbour that announces a large
        # value would send a copy. A lost reply delays the next request by one
        # retry interval only.
        self._no_request_before_ms = now_ms + self._retry_ms
        self._retry_ms = min(2.0 * self._retry_ms, _MAXIMUM_RETRY_MS)
        self._peers.send(sender, ObjectsWanted(self._store.revision))

    def _newest_known(self, sender: str, message: NewestKnown) -> None:
        self.request_newer(sender, message.newest)

    def _objects_changed(self, sender: str, message: ObjectsChanged) -> None:
        store = self._store
        before = store.revision
        self._no_request_before_ms = float("-inf")
        self._retry_ms = _RETRY_MS
        if message.present is not None:
            store.delete_absent(
                frozenset(message.present),
                kinds=REPLICATED_KINDS,
                revision=message.present_at,
            )
        self._merge(message.objects, source="peers")
        if message.after <= before:
            store.complete_through(message.revision)
        self._forward(before)
        self.request_newer(sender, message.newest)

    def _objects_wanted(self, sender: str, message: ObjectsWanted) -> None:
        store = self._store
        missing = store.changes_after(message.after)
        batch = _first_batch(missing)
        is_complete = len(batch) == len(missing)
        needs_list = message.after < store.floor
        self._peers.send(
            sender,
            ObjectsChanged(
                after=message.after,
                revision=store.revision if is_complete else batch[-1].version,
                newest=store.newest,
                objects=batch,
                present=store.present() if needs_list else None,
                present_at=store.revision if needs_list else 0,
            ),
        )

    def _forward(self, before: Version) -> None:
        store = self._store
        if store.newest <= before:
            return
        if store.revision <= before:
            return
        changed = tuple(store.changes_after(before))
        if before < store.floor or _size_bytes(changed) > PUSH_BYTES:
            self._peers.send_neighbours(NewestKnown(store.newest))
            return
        self._peers.send_neighbours(
            ObjectsChanged(before, store.revision, store.newest, changed)
        )

    def _merge(self, objects: Sequence[VersionedObject], *, source: str) -> None:
        for item in self._store.merge(objects):
            if item.kind is ObjectKind.TABLE:
                _LOG.info("Version %d was received from the %s.", item.version, source)
            self._counters.add(CounterKind.OBJECT_CHANGES, source)


def _first_batch(objects: Sequence[VersionedObject]) -> tuple[VersionedObject, ...]:
    size_bytes = 0
    for count, item in enumerate(objects):
        size_bytes += _size_bytes((item,))
        if count and size_bytes > REPLY_BYTES:
            return tuple(objects[:count])
    return tuple(objects)


def _size_bytes(objects: Sequence[VersionedObject]) -> int:
    return sum(len(item.name) + len(item.value_json or b"") for item in objects)
