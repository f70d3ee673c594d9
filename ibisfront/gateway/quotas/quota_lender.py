"""Lends the tokens of the parts that this instance owns."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ibisfront.gateway.quotas.quota_bucket import QuotaBucket
from ibisfront.gateway.quotas.quota_messages import QuotaGrant
from ibisfront.gateway.quotas.quota_owners import OwnerRole

if TYPE_CHECKING:
    from ibisfront.gateway.quotas.quota_messages import QuotaReturn
    from ibisfront.gateway.quotas.quota_owners import QuotaOwners
    from ibisfront.gateway.quotas.quota_parts import QuotaPart
    from ibisfront.gateway.settings import Bounds
    from ibisfront.gateway.state.configuration import Workspace

__all__ = ["QuotaLender", "lease_ms"]

_LEASES_PER_WINDOW = 10.0

_NOT_OWNER_MS = 1_000.0
"""How long a borrower does not ask again an instance that is no owner."""

_SWEEP_MS = 5_000.0
"""Interval at which buckets that are full are dropped."""


def lease_ms(bounds: Bounds) -> float:
    """Return how long a lent token may be used, or returned."""
    return bounds.quota_window_ms / _LEASES_PER_WINDOW


class QuotaLender:
    """The buckets of the workspaces of which this instance owns a part.

    Parameters
    ----------
    owners : QuotaOwners
        Who owns the parts.
    bounds : Bounds
        The deployment's bounds.
    process : int
        Identifies this process.
    """

    __slots__ = (
        "_bounds",
        "_buckets",
        "_hold_until_ms",
        "_owners",
        "_process",
        "_swept_at_ms",
    )

    def __init__(self, *, owners: QuotaOwners, bounds: Bounds, process: int) -> None:
        self._owners = owners
        self._bounds = bounds
        self._process = process
        self._buckets: dict[str, tuple[OwnerRole, QuotaBucket]] = {}
        self._hold_until_ms = -math.inf
        self._swept_at_ms = -math.inf

    def set_bounds(self, bounds: Bounds) -> None:
        """Replace the bounds; buckets keep their window until they are dropped."""
        self._bounds = bounds

    def hold_until(self, at_ms: float) -> None:
        """Grant nothing before a time: the others may not know of this instance."""
        self._hold_until_ms = max(self._hold_until_ms, at_ms)

    def lent(self, now_ms: float) -> int:
        """Return how many tokens are lent."""
        self._sweep(now_ms)
        return sum(bucket.lent for _, bucket in self._buckets.values())

    @property
    def workspace_count(self) -> int:
        """Number of workspaces with a bucket here."""
        return len(self._buckets)

    def grant(self, workspace: Workspace, wanted: int, now_ms: float) -> QuotaGrant:
        """Lend tokens of a workspace, or tell when the next one is due."""
        bucket = self._find(workspace, now_ms)
        if bucket is None:
            return QuotaGrant(self._process, 0, 0, _NOT_OWNER_MS, is_owner=False)
        loan_id, tokens = bucket.take(wanted, now_ms)
        if tokens:
            due_ms = bucket.due_ms(now_ms)
            return QuotaGrant(self._process, loan_id, tokens, due_ms)
        due_ms, is_crowded = bucket.next_turn_ms(now_ms)
        return QuotaGrant(self._process, 0, 0, due_ms, is_crowded=is_crowded)

    def give_back(self, name: str, returned: QuotaReturn, now_ms: float) -> bool:
        """Take an unused token back; return whether it was accepted."""
        found = self._buckets.get(name)
        if found is None or returned.process != self._process:
            return False
        return found[1].give_back(returned.loan, returned.index, now_ms)

    def update(self, workspaces: dict[str, Workspace], now_ms: float) -> None:
        """Apply changed limits and owners to the buckets."""
        for name in list(self._buckets):
            role, bucket = self._buckets[name]
            workspace = workspaces.get(name)
            part = None
            if workspace is not None and self._role(workspace) is role:
                part = self._part(workspace)
            if part is None:
                del self._buckets[name]
            elif part != bucket.part:
                bucket.set_part(part, now_ms)

    def _find(self, workspace: Workspace, now_ms: float) -> QuotaBucket | None:
        if now_ms < self._hold_until_ms:
            return None
        found = self._buckets.get(workspace.name)
        if found is not None:
            return found[1]
        part = self._part(workspace)
        if part is None:
            return None
        self._sweep(now_ms)
        since_ms = self._owners.owner_since_ms(workspace, now_ms)
        if math.isfinite(since_ms):
            since_ms = max(since_ms, self._hold_until_ms)
        bucket = QuotaBucket(
            part,
            window_ms=self._bounds.quota_window_ms,
            lease_ms=lease_ms(self._bounds),
            since_ms=since_ms,
            now_ms=now_ms,
        )
        self._buckets[workspace.name] = self._role(workspace), bucket
        return bucket

    def _role(self, workspace: Workspace) -> OwnerRole:
        return self._owners.plan(workspace).role

    def _part(self, workspace: Workspace) -> QuotaPart | None:
        """Return the part that this instance owns, if any."""
        plan = self._owners.plan(workspace)
        if plan.role is OwnerRole.OWNER:
            return plan.division.part
        if plan.role is OwnerRole.RESERVE:
            return plan.division.reserve
        return None

    def _sweep(self, now_ms: float) -> None:
        """Drop the buckets that are as new ones would be."""
        if now_ms < self._swept_at_ms + _SWEEP_MS:
            return
        self._swept_at_ms = now_ms
        for name, (_, bucket) in list(self._buckets.items()):
            if bucket.is_idle(now_ms):
                del self._buckets[name]
