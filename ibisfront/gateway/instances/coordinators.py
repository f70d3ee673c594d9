"""Selection of the instances that run scatter-gather for others."""

from __future__ import annotations

import hashlib
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ibisfront.gateway.instances.directory import InstanceEntry
    from ibisfront.gateway.state.configuration import RouteTable

__all__ = ["CONNECTIONS_SHARE", "Coordinators", "descending_capacity"]

_MIN_CONNECTIONS = 2
"""Connections to each server that an instance needs to run scatter-gather itself: one
for a query and one for requests that arrive meanwhile."""

_MAX_UNCOORDINATED_INSTANCES = 12
"""Largest number of instances that all run scatter-gather themselves, if the
connections allow it. With more, each sends to a server too rarely to keep a
connection to it warm or to track its health."""

_COORDINATOR_CONNECTIONS = 4
"""Connections to each server allotted to a coordinator."""

CONNECTIONS_SHARE = 0.9
"""Share of a server's connection limit that the instances use together; the rest
is for probes and for connections that are closing."""

_MIN_PER_ZONE = 2
"""Minimum number of coordinators in a zone, so that one remains when one is lost. A
small number keeps connections warm and observes each server more often."""

_INSTANCES_PER_COORDINATOR = 20
"""Instances of a zone per coordinator."""


class Coordinators:
    """The instances that run scatter-gather for the others of their zone.

    A server accepts a bounded number of connections from all instances together.
    With many instances there is less than one connection for each, and connections
    are continually reset and reopened; with far fewer, each is already used too
    rarely to stay open. A few instances of each zone then run scatter-gather for the
    others and keep their connections warm. Each instance computes them from the same
    list; a list that is a few seconds old shifts load but is otherwise harmless.

    Parameters
    ----------
    own : InstanceEntry
        This instance.

    Attributes
    ----------
    instances : sequence of InstanceEntry
        All instances, this one included.
    capacities : dict of str to float
        The number of cores of the coordinators by name.
    """

    __slots__ = ("_by_zone", "_connection_limit", "_own", "capacities", "instances")

    def __init__(self, own: InstanceEntry) -> None:
        self._own = own
        self._connection_limit = 0
        self._by_zone: dict[str, tuple[str, ...]] = {}
        self.instances: Sequence[InstanceEntry] = (own,)
        self.capacities: dict[str, float] = {}

    @property
    def uses_coordinators(self) -> bool:
        """Whether only the coordinators run scatter-gather."""
        return bool(self._by_zone)

    @property
    def is_coordinator(self) -> bool:
        """Whether this instance runs scatter-gather."""
        return not self._by_zone or self._own.name in self.of_zone(self._own.zone)

    @property
    def receives_delegated_queries(self) -> bool:
        """Whether other instances delegate queries to this one."""
        return self.uses_coordinators and self.is_coordinator

    @property
    def count(self) -> int:
        """The number of instances that share the connections of a gathered service."""
        if not self._by_zone:
            return max(len(self.instances), 1)
        return len(self.names)

    @property
    def own_name(self) -> str:
        """The name of this instance."""
        return self._own.name

    @property
    def names(self) -> list[str]:
        """The names of all coordinators; empty if none are used."""
        return [name for names in self._by_zone.values() for name in names]

    def of_zone(self, zone: str) -> tuple[str, ...]:
        """Return the names of a zone's coordinators in order of preference."""
        return self._by_zone.get(zone, ())

    def update(
        self, instances: Sequence[InstanceEntry], table: RouteTable | None
    ) -> None:
        """Recompute the coordinators.

        Parameters
        ----------
        instances : sequence of InstanceEntry
            All listed instances.
        table : RouteTable or None
            The active configuration, which contains the connection limits of the
            gathered services.
        """
        self.instances = instances
        if table is not None:
            self._connection_limit = _connection_limit(table)
        usable = self._connection_limit * CONNECTIONS_SHARE
        has_connections = len(instances) * _MIN_CONNECTIONS <= usable
        if not usable or (
            has_connections and len(instances) <= _MAX_UNCOORDINATED_INSTANCES
        ):
            self._by_zone = {}
            return
        zones = sorted({item.zone for item in instances})
        maximum = max(int(usable / (len(zones) * _COORDINATOR_CONNECTIONS)), 1)
        self._by_zone = {zone: self._select(zone, maximum) for zone in zones}
        names = frozenset(self.names)
        self.capacities = {
            item.name: item.capacity for item in instances if item.name in names
        }

    def _select(self, zone: str, maximum: int) -> tuple[str, ...]:
        """Return a zone's coordinators, at most ``maximum``."""
        listed = [item for item in self.instances if item.zone == zone]
        wanted = max(math.ceil(len(listed) / _INSTANCES_PER_COORDINATOR), _MIN_PER_ZONE)
        chosen = sorted(listed, key=descending_capacity)[: min(wanted, maximum)]
        return tuple(item.name for item in chosen)


def _connection_limit(table: RouteTable) -> int:
    """Return the lowest connection limit of the gathered services' servers."""
    services = table.configuration.services
    return min(
        (
            services[name].maximum_connections
            for name in table.gathered_services
            if name in services
        ),
        default=0,
    )


def descending_capacity(entry: InstanceEntry) -> tuple[float, bytes]:
    """Return a sort key: highest capacity first, ties by a hash of the name."""
    return -entry.capacity, hashlib.blake2b(entry.name.encode()).digest()
