"""Handing the platform's objects on among the instances.

A change goes to all neighbours as soon as it was news here: whole if it is
small, as the bare version if it is large, so that a large value reaches each
instance once. Heartbeats repeat the newest version, so that whoever missed a
change notices within a heartbeat and asks for what it lacks.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisfront.core.counters import CounterKind
from ibisfront.core.logs import LogPart, part_logger
from ibisfront.core.objects import (
    SPREAD_KINDS,
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

__all__ = ["NewestKnown", "ObjectSpread", "ObjectsChanged", "ObjectsWanted"]

PUSH_BYTES = 2048
"""Up to which size a change is pushed whole; a larger one is asked for."""

REPLY_BYTES = 262_144
"""Up to which size objects are put into one reply; the rest is asked for."""

_ASK_AGAIN_MS = 1_000.0
"""After how long a question without a reply is asked again; each time it takes
twice as long. A large reply on a slow link would be asked for, and queue on that
link, once a second."""

_LONGEST_ASK_AGAIN_MS = 8_000.0
"""The longest such wait: a table of the largest size, 1 MB, takes 1.2 s on a link
of 7 Mbit/s, and several times that on a shared one."""

_LOG = part_logger(LogPart.TABLE)


class ObjectsChanged(PeerMessage, frozen=True, tag="objects_changed"):
    """Every object that changed after one revision and up to another.

    Attributes
    ----------
    after, revision : int
        The interval that the objects are complete for.
    newest : int
        The newest version that the sender holds; larger than ``revision`` if
        it has more to send.
    objects : tuple of VersionedObject
        The objects, deleted ones too.
    present : tuple of ObjectName or None
        All objects there are at ``present_at``; given when the sender may
        lack tombstones of what was deleted after ``after``.
    present_at : int
        The revision that ``present`` is for.
    """

    after: Version
    revision: Version
    newest: Version
    objects: tuple[VersionedObject, ...]
    present: tuple[ObjectName, ...] | None = None
    present_at: Version = 0


class ObjectsWanted(PeerMessage, frozen=True, tag="objects_wanted"):
    """A request for everything that changed after a revision."""

    after: Version


class NewestKnown(PeerMessage, frozen=True, tag="newest_known"):
    """The newest version that the sender holds."""

    newest: Version


class ObjectSpread:
    """Takes objects from the platform and the peers, and hands on what is news.

    Parameters
    ----------
    store : ObjectStore
        Where the objects go.
    peers : Peers
        The other instances.
    clock : Clock
        The tier's clock.
    counters : Counters
        Where changes are counted by where they came from.
    """

    __slots__ = (
        "_ask_again_ms",
        "_clock",
        "_counters",
        "_peers",
        "_store",
        "_wait_until_ms",
    )

    def __init__(
        self, store: ObjectStore, *, peers: Peers, clock: Clock, counters: Counters
    ) -> None:
        self._store = store
        self._peers = peers
        self._clock = clock
        self._counters = counters
        self._ask_again_ms = _ASK_AGAIN_MS
        self._wait_until_ms = float("-inf")
        peers.handle(ObjectsChanged, self._changed)
        peers.handle(ObjectsWanted, self._wanted)
        peers.handle(NewestKnown, self._newest_known)

    @property
    def store(self) -> ObjectStore:
        """The objects known here."""
        return self._store

    def take_changes(
        self, objects: Sequence[VersionedObject], *, after: Version, revision: Version
    ) -> None:
        """Take in the platform's changes after one revision up to another."""
        before = self._store.revision
        self._merge(objects, source="platform")
        if after <= before:
            self._store.complete_through(revision)
        self._pass_on(before)

    def take_list(
        self, objects: Sequence[VersionedObject], *, revision: Version
    ) -> None:
        """Take in the platform's list of all objects at a revision."""
        before = self._store.revision
        self._merge(objects, source="platform")
        present = {ObjectName(item.kind, item.name) for item in objects}
        self._store.delete_absent(present, kinds=SPREAD_KINDS, revision=revision)
        self._store.complete_through(revision)
        self._pass_on(before)

    def heard_newest(self, sender: str, newest: Version) -> None:
        """Ask a peer for what it has, if it holds anything newer."""
        now_ms = self._clock.now_ms()
        if newest <= self._store.revision or now_ms < self._wait_until_ms:
            return
        # One question at a time: a large value asked of every neighbour that
        # announces it would arrive as often as there are neighbours. A lost
        # reply holds the next question up for one wait only.
        self._wait_until_ms = now_ms + self._ask_again_ms
        self._ask_again_ms = min(2.0 * self._ask_again_ms, _LONGEST_ASK_AGAIN_MS)
        self._peers.send(sender, ObjectsWanted(self._store.revision))

    def _newest_known(self, sender: str, message: NewestKnown) -> None:
        self.heard_newest(sender, message.newest)

    def _changed(self, sender: str, message: ObjectsChanged) -> None:
        store = self._store
        before = store.revision
        self._wait_until_ms = float("-inf")
        self._ask_again_ms = _ASK_AGAIN_MS
        if message.present is not None:
            store.delete_absent(
                frozenset(message.present),
                kinds=SPREAD_KINDS,
                revision=message.present_at,
            )
        self._merge(message.objects, source="peers")
        if message.after <= before:
            store.complete_through(message.revision)
        self._pass_on(before)
        self.heard_newest(sender, message.newest)

    def _wanted(self, sender: str, message: ObjectsWanted) -> None:
        store = self._store
        missing = store.changes_after(message.after)
        part = _first_part(missing)
        whole = len(part) == len(missing)
        listed = message.after < store.floor
        self._peers.send(
            sender,
            ObjectsChanged(
                after=message.after,
                revision=store.revision if whole else part[-1].version,
                newest=store.newest,
                objects=part,
                present=store.present() if listed else None,
                present_at=store.revision if listed else 0,
            ),
        )

    def _pass_on(self, before: Version) -> None:
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
                _LOG.info("Version %d came from the %s.", item.version, source)
            self._counters.add(CounterKind.OBJECT_CHANGES, source)


def _first_part(objects: Sequence[VersionedObject]) -> tuple[VersionedObject, ...]:
    size_bytes = 0
    for count, item in enumerate(objects):
        size_bytes += _size_bytes((item,))
        if count and size_bytes > REPLY_BYTES:
            return tuple(objects[:count])
    return tuple(objects)


def _size_bytes(objects: Sequence[VersionedObject]) -> int:
    return sum(len(item.name) + len(item.value_json or b"") for item in objects)
