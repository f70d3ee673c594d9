"""Which instances ask the backend servers when there are many instances."""

from __future__ import annotations

import hashlib
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ibisfront.gateway.instances.directory import InstanceEntry
    from ibisfront.gateway.state.configuration import RouteTable

__all__ = ["CONNECTIONS_SHARE", "Coordinators", "strongest_first"]

_LEAST_CONNECTIONS = 2
"""Connections to each server that an instance needs to gather by itself: one
for a query and one for what comes meanwhile."""

_MOST_ALONE = 12
"""Up to so many instances each gather for themselves, if the connections allow
it. Beyond, each meets a server too rarely to keep a connection to it warm or to
know how it does."""

_CONNECTIONS = 4
"""Connections to each server that a coordinator is given."""

CONNECTIONS_SHARE = 0.9
"""Share of the connections that a server accepts which the instances use
together; the rest is for probes and for connections that are closing."""

_LEAST_PER_ZONE = 2
"""Coordinators of a zone, so that one is left when one is lost. Few keep their
connections warm and know more of each server."""

_INSTANCES_PER_COORDINATOR = 20
"""Instances for which one more coordinator is there."""


class Coordinators:
    """The instances that gather for the others of their zone.

    A server accepts a bounded number of connections from all instances
    together. Beyond some number of instances there is less than one for each:
    connections are reset and opened anew all the time; and long before, each is
    used too rarely to stay open. A few instances of each zone then gather for
    the others and keep their connections warm. Each
    instance works them out by itself from the same list; a list that is some
    seconds old shifts work, and breaks nothing.

    Parameters
    ----------
    own : InstanceEntry
        This instance.

    Attributes
    ----------
    instances : sequence of InstanceEntry
        All instances, this one included.
    """

    __slots__ = ("_accepted", "_by_zone", "_own", "instances")

    def __init__(self, own: InstanceEntry) -> None:
        self._own = own
        self._accepted = 0
        self._by_zone: dict[str, tuple[str, ...]] = {}
        self.instances: Sequence[InstanceEntry] = (own,)

    @property
    def uses_coordinators(self) -> bool:
        """Whether only some instances gather."""
        return bool(self._by_zone)

    @property
    def is_coordinator(self) -> bool:
        """Whether this instance gathers."""
        return not self._by_zone or self._own.name in self.of_zone(self._own.zone)

    @property
    def is_followed(self) -> bool:
        """Whether other instances follow this one."""
        return self.uses_coordinators and self.is_coordinator

    @property
    def count(self) -> int:
        """How many instances share the connections of a gathered service."""
        if not self._by_zone:
            return max(len(self.instances), 1)
        return len(self.names)

    @property
    def own_name(self) -> str:
        """The name of this instance."""
        return self._own.name

    @property
    def names(self) -> list[str]:
        """The names of all that gather, if only some do."""
        return [name for names in self._by_zone.values() for name in names]

    def of_zone(self, zone: str) -> tuple[str, ...]:
        """Return the names of a zone's coordinators, the first choice first."""
        return self._by_zone.get(zone, ())

    def update(
        self, instances: Sequence[InstanceEntry], table: RouteTable | None
    ) -> None:
        """Work them out anew.

        Parameters
        ----------
        instances : sequence of InstanceEntry
            All instances that are listed.
        table : RouteTable or None
            The configuration in force, which says how many connections the
            gathered services accept.
        """
        self.instances = instances
        if table is not None:
            self._accepted = _accepted(table)
        usable = self._accepted * CONNECTIONS_SHARE
        has_connections = len(instances) * _LEAST_CONNECTIONS <= usable
        if not usable or (has_connections and len(instances) <= _MOST_ALONE):
            self._by_zone = {}
            return
        zones = sorted({item.zone for item in instances})
        share = max(int(usable / (len(zones) * _CONNECTIONS)), 1)
        self._by_zone = {zone: self._chosen(zone, share) for zone in zones}

    def _chosen(self, zone: str, share: int) -> tuple[str, ...]:
        """Return a zone's coordinators, given how many the connections allow."""
        listed = [item for item in self.instances if item.zone == zone]
        wanted = max(
            math.ceil(len(listed) / _INSTANCES_PER_COORDINATOR), _LEAST_PER_ZONE
        )
        chosen = sorted(listed, key=strongest_first)[: min(wanted, share)]
        return tuple(item.name for item in chosen)


def _accepted(table: RouteTable) -> int:
    """Return the fewest connections that a gathered service's server accepts."""
    services = table.configuration.services
    return min(
        (
            services[name].maximum_connections
            for name in table.gathered_services
            if name in services
        ),
        default=0,
    )


def strongest_first(entry: InstanceEntry) -> tuple[float, bytes]:
    """Order instances: the strongest first, equals by a hash of the name."""
    return -entry.capacity, hashlib.blake2b(entry.name.encode()).digest()
