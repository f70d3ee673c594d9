"""Selection of the instances that watch the store for others of their zone."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisfront.gateway.instances.coordinators import descending_capacity

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ibisfront.gateway.instances.directory import InstanceEntry

__all__ = ["RelayTopology"]

_MAXIMUM_DIRECT_WATCHERS = 12
"""Up to this many instances all watch the store directly: a change then takes one
hop less, and two watches of 3 s cost each instance 0.7 calls per second."""

_SOURCES_PER_ZONE = 3
"""State sources per zone, in order of preference: the third is the standby while one
is lost and another is rejected by the store."""


class RelayTopology:
    """State sources that relay the store's state to other instances.

    Each call to the store has a cost, and the permitted call rate grows more slowly
    than the number of instances. The first instance of each zone watches the store;
    the next ones are its standbys, in order. Each instance computes the order on its
    own from the same list. An outdated list costs extra calls but is harmless, since
    instances subscribe only to those that watch the store.

    Parameters
    ----------
    own : InstanceEntry
        Entry of this instance.

    Attributes
    ----------
    sources : sequence of InstanceEntry
        Instances to subscribe to, in order of preference; empty for an instance
        that watches the store.
    neighbours : sequence of InstanceEntry
        Instances to subscribe to temporarily if the store serves neither this
        instance nor the sources of its zone: all others where each instance watches
        the store, otherwise the sources of other zones.
    is_source : bool
        Whether other instances may subscribe to this one.
    is_loaded : bool
        Whether the list of instances has been read.
    """

    __slots__ = ("_own", "is_loaded", "is_source", "neighbours", "sources")

    def __init__(self, own: InstanceEntry) -> None:
        self._own = own
        self.sources: Sequence[InstanceEntry] = ()
        self.neighbours: Sequence[InstanceEntry] = ()
        self.is_source = False
        self.is_loaded = False

    def is_same_zone(self, entry: InstanceEntry) -> bool:
        """Return whether an instance is in the same zone as this one."""
        return entry.zone == self._own.zone

    def update(self, instances: Sequence[InstanceEntry]) -> None:
        """Recompute the topology from all listed instances."""
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
        for item in sorted(instances, key=descending_capacity):
            by_zone.setdefault(item.zone, []).append(item)
        local = by_zone.pop(self._own.zone, [])[:_SOURCES_PER_ZONE]
        self.neighbours = [
            item for remote in by_zone.values() for item in remote[:_SOURCES_PER_ZONE]
        ]
        names = [item.name for item in local]
        self.is_source = self._own.name in names
        self.sources = local
        if self.is_source:
            self.sources = local[: names.index(self._own.name)]
