"""Which instances own the parts of a workspace's limit."""

from __future__ import annotations

from collections import deque
from enum import StrEnum
from typing import TYPE_CHECKING

import msgspec

from ibisfront.core.rendezvous import rendezvous_order
from ibisfront.gateway.quotas.quota_parts import divide_quota

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ibisfront.gateway.instances.directory import InstanceEntry
    from ibisfront.gateway.quotas.quota_parts import QuotaDivision
    from ibisfront.gateway.settings import Bounds
    from ibisfront.gateway.state.configuration import Workspace

__all__ = ["OwnerGroup", "OwnerPlan", "OwnerRole", "QuotaOwners"]

_MAX_PLANS = 4_096
"""Workspaces whose owners are kept; with more, they are computed again."""


class OwnerGroup(msgspec.Struct, frozen=True):
    """Owners of one zone.

    Attributes
    ----------
    names : tuple of str
        The owners.
    is_near : bool
        Whether they are in this instance's zone.
    """

    names: tuple[str, ...]
    is_near: bool


class OwnerRole(StrEnum):
    """What an instance is to a workspace."""

    OWNER = "owner"
    RESERVE = "reserve"
    NONE = "none"


class OwnerPlan(msgspec.Struct, frozen=True):
    """The owners of one workspace.

    Attributes
    ----------
    division : QuotaDivision
        How its limit is divided.
    owners : tuple of OwnerGroup
        Its owners in the order in which this instance asks them.
    reserves : tuple of OwnerGroup
        Its reserve owners in that order.
    role : OwnerRole
        What this instance is to it.
    """

    division: QuotaDivision
    owners: tuple[OwnerGroup, ...]
    reserves: tuple[OwnerGroup, ...]
    role: OwnerRole


class QuotaOwners:
    """Computes the owners of each workspace from the list of instances.

    Each zone has the same number of owners, the first in rendezvous order of its
    instances. Every instance computes the same from the same list, and one that is no
    owner by its own list grants nothing.

    Parameters
    ----------
    own : InstanceEntry
        This instance.
    bounds : Bounds
        The deployment's bounds.
    zones : int
        Zones of the deployment; a list may lack all instances of one.
    started_ms : float
        When this process may first have had a predecessor's parts; minus infinity at
        the first start of all instances.
    """

    __slots__ = (
        "_bounds",
        "_by_zone",
        "_former",
        "_own",
        "_plans",
        "_started_ms",
        "_zones",
    )

    def __init__(
        self, own: InstanceEntry, *, bounds: Bounds, zones: int, started_ms: float
    ) -> None:
        self._zones = zones
        self._own = own
        self._bounds = bounds
        self._by_zone: dict[str, list[str]] = {}
        self._plans: dict[str, OwnerPlan] = {}
        self._started_ms = started_ms
        self._former: deque[tuple[float, dict[str, list[str]]]] = deque()

    @property
    def is_loaded(self) -> bool:
        """Whether a list of instances has been applied."""
        return bool(self._by_zone)

    def set_bounds(self, bounds: Bounds) -> None:
        """Replace the bounds."""
        self._bounds = bounds
        self._plans.clear()

    def forget(self, name: str) -> None:
        """Compute a workspace's owners anew."""
        self._plans.pop(name, None)

    def set_instances(self, entries: Sequence[InstanceEntry], now_ms: float) -> bool:
        """Apply a list of instances; return whether it differs."""
        by_zone: dict[str, list[str]] = {}
        for entry in sorted(entries, key=lambda item: item.name):
            by_zone.setdefault(entry.zone, []).append(entry.name)
        if by_zone == self._by_zone:
            return False
        if self._by_zone:
            self._former.append((now_ms, self._by_zone))
        self._by_zone = by_zone
        self._plans.clear()
        return True

    def plan(self, workspace: Workspace) -> OwnerPlan:
        """Return the owners of a workspace."""
        plan = self._plans.get(workspace.name)
        if plan is None:
            if len(self._plans) >= _MAX_PLANS:
                self._plans.clear()
            plan = self._plans[workspace.name] = self._new_plan(workspace)
        return plan

    def owner_since_ms(self, workspace: Workspace, now_ms: float) -> float:
        """Return since when this instance has had its role for a workspace."""
        horizon_ms = now_ms - self._bounds.quota_window_ms
        while self._former and self._former[0][0] < horizon_ms:
            self._former.popleft()
        current = self.plan(workspace)
        since_ms = self._started_ms
        for replaced_at_ms, by_zone in reversed(self._former):
            former = self._owners(workspace, by_zone)
            role = self._role(former[1], former[2])
            if role is not current.role:
                return max(since_ms, replaced_at_ms)
        return since_ms

    def _new_plan(self, workspace: Workspace) -> OwnerPlan:
        division, owners, reserves = self._owners(workspace, self._by_zone)
        return OwnerPlan(
            division=division,
            owners=self._groups(workspace, owners),
            reserves=self._groups(workspace, reserves),
            role=self._role(owners, reserves),
        )

    def _owners(
        self, workspace: Workspace, by_zone: dict[str, list[str]]
    ) -> tuple[QuotaDivision, dict[str, str], dict[str, str]]:
        """Return the division, and the owners and reserve owners with their zones."""
        division = divide_quota(
            workspace,
            self._bounds,
            zones=max(len(by_zone), self._zones, 1),
            smallest_zone=min(map(len, by_zone.values()), default=1),
        )
        count = division.owners_per_zone
        owners: dict[str, str] = {}
        reserves: dict[str, str] = {}
        for zone in rendezvous_order(workspace.name, by_zone)[: division.zones]:
            ordered = rendezvous_order(workspace.name, by_zone[zone])
            owners.update(dict.fromkeys(ordered[:count], zone))
            if division.reserve is not None:
                reserves.update(dict.fromkeys(ordered[count : count + 1], zone))
        return division, owners, reserves

    def _role(self, owners: dict[str, str], reserves: dict[str, str]) -> OwnerRole:
        if self._own.name in owners:
            return OwnerRole.OWNER
        if self._own.name in reserves:
            return OwnerRole.RESERVE
        return OwnerRole.NONE

    def _groups(
        self, workspace: Workspace, zone_of: dict[str, str]
    ) -> tuple[OwnerGroup, ...]:
        """Group owners: this instance, the others of its zone, then the other zones.

        Instances ask the owners of a zone, and the other zones, in different orders,
        so that these are asked about equally often.
        """
        own = self._own
        by_zone: dict[str, list[str]] = {"": [], own.zone: []}
        for name in rendezvous_order(f"{workspace.name}\0{own.name}", zone_of):
            zone = "" if name == own.name else zone_of[name]
            by_zone.setdefault(zone, []).append(name)
        return tuple(
            OwnerGroup(tuple(names), zone in ("", own.zone))
            for zone, names in by_zone.items()
            if names
        )
