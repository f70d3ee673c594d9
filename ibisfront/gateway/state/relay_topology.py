"""Which instances watch the store for the others of their zone."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisfront.gateway.instances.coordinators import strongest_first

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ibisfront.gateway.instances.directory import InstanceEntry

__all__ = ["RelayTopology"]

_MAXIMUM_DIRECT_WATCHERS = 12
"""Up to so many instances each watch the store: a change then takes one way
less, and two watches of three seconds cost each of them 0.7 calls a second."""

_SOURCES_PER_ZONE = 3
"""How many instances of a zone may be followed, in this order: a third stands
in while one is lost and another is turned away by the store."""


class RelayTopology:
    """The instances that pass the store's state on to the others.

    Each call of the store has a price, and its rates grow more slowly than the
    number of instances. The first instance of each zone watches the store; the
    next ones stand in for it, in turn. Each instance works the order out by
    itself from the same list; a list that is some seconds old costs calls, and
    breaks nothing, since only those that watch the store are followed.

    Parameters
    ----------
    own : InstanceEntry
        This instance.

    Attributes
    ----------
    sources : sequence of InstanceEntry
        The instances to follow, the first choice first; empty for one that
        watches the store.
    neighbours : sequence of InstanceEntry
        Whom to follow for a while if the store serves neither this instance nor
        those of its zone that it may follow: all others where each watches the
        store, else those that may be followed in other zones.
    is_source : bool
        Whether others may follow this instance.
    is_loaded : bool
        Whether the list of instances was read.
    """

    __slots__ = ("_own", "is_loaded", "is_source", "neighbours", "sources")

    def __init__(self, own: InstanceEntry) -> None:
        self._own = own
        self.sources: Sequence[InstanceEntry] = ()
        self.neighbours: Sequence[InstanceEntry] = ()
        self.is_source = False
        self.is_loaded = False

    def is_same_zone(self, entry: InstanceEntry) -> bool:
        """Return whether an instance is in the zone of this one."""
        return entry.zone == self._own.zone

    def update(self, instances: Sequence[InstanceEntry]) -> None:
        """Work them out anew from all instances that are listed."""
        self.is_loaded = True
        self.sources = ()
        self.neighbours = ()
        self.is_source = False
        if len(instances) <= _MAXIMUM_DIRECT_WATCHERS:
            self.neighbours = [
                item for item in instances if item.name != self._own.name
            ]
            return
        by_zone: dict[str, list[InstanceEntry]] = {}
        for item in sorted(instances, key=strongest_first):
            by_zone.setdefault(item.zone, []).append(item)
        local = by_zone.pop(self._own.zone, [])[:_SOURCES_PER_ZONE]
        self.neighbours = [
            item for others in by_zone.values() for item in others[:_SOURCES_PER_ZONE]
        ]
        names = [item.name for item in local]
        self.is_source = self._own.name in names
        self.sources = local
        if self.is_source:
            self.sources = local[: names.index(self._own.name)]
