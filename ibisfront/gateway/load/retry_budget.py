"""The budget of extra sub-requests of each service."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ibisfront.gateway.settings import Bounds

__all__ = ["RetryBudgets", "ServiceRetryBudget"]

_BUCKETS = 10
"""Parts of a window in which counts are kept together; one more is held, so
that a window is never counted shorter than it is."""

_SAFETY = 0.85
"""Share of the bound that is used: buckets are coarser than the sliding
window by a tenth."""


_STARTED_SHARE = 0.5
"""Share of its allowance that an instance uses in the first window after its start:
it does not know what it had spent before."""


class ServiceRetryBudget:
    """Extra sub-requests to one service over a sliding window.

    All that goes to a service beyond the first sub-request of a request is
    extra: hedged requests, retries, also those that the server rejects. The
    share of this instance's own requests needs no talk with the others, since
    the shares add up; the allowance is split over the instances.

    Parameters
    ----------
    bounds : Bounds
        The deployment's bounds.
    """

    __slots__ = (
        "_bounds",
        "_bucket",
        "_bucket_ms",
        "_extras",
        "_primaries",
        "extras",
        "primaries",
    )

    def __init__(self, bounds: Bounds) -> None:
        self._bounds = bounds
        self._bucket_ms = bounds.extra_window_ms / _BUCKETS
        self._bucket = 0
        self._primaries = [0] * (_BUCKETS + 1)
        self._extras = [0] * (_BUCKETS + 1)
        self.primaries = 0
        self.extras = 0

    def use(self, bounds: Bounds, now_ms: float) -> None:
        """Go by other bounds from now on.

        Counts of another window cannot be placed in the new one. What was
        spent counts as spent now, and what was earned is given up: a service
        may get too little for one window, and never too much.
        """
        if bounds.extra_window_ms != self._bounds.extra_window_ms:
            size = len(self._primaries)
            self._bucket_ms = bounds.extra_window_ms / _BUCKETS
            self._bucket = int(now_ms / self._bucket_ms)
            self._primaries = [0] * size
            self._extras = [0] * size
            self._extras[self._bucket % size] = self.extras
            self.primaries = 0
        self._bounds = bounds

    def record_primary(self, now_ms: float) -> None:
        """Count the first sub-request of a request."""
        self._advance(now_ms)
        self._primaries[self._bucket % len(self._primaries)] += 1
        self.primaries += 1

    def try_spend(self, now_ms: float, *, senders: float) -> bool:
        """Take one extra sub-request; return False if none is left.

        Parameters
        ----------
        now_ms : float
            The time.
        senders : float
            How many instances share the allowance, this one included; infinite if
            this one has no part in it.
        """
        self._advance(now_ms)
        allowed = self._bounds.extra_ratio * self.primaries
        allowed += self._bounds.extra_allowance / senders
        if self.extras + 1 > allowed * _SAFETY:
            return False
        self._extras[self._bucket % len(self._extras)] += 1
        self.extras += 1
        return True

    def _advance(self, now_ms: float) -> None:
        bucket = int(now_ms / self._bucket_ms)
        steps = bucket - self._bucket
        if steps <= 0:
            return
        size = len(self._primaries)
        for number in range(1, min(steps, size) + 1):
            index = (self._bucket + number) % size
            self.primaries -= self._primaries[index]
            self.extras -= self._extras[index]
            self._primaries[index] = 0
            self._extras[index] = 0
        self._bucket = bucket


class RetryBudgets:
    """The budgets of all services.

    Parameters
    ----------
    bounds : Bounds
        The deployment's bounds.

    instances : int
        How many instances share the allowances.
    started_ms : float, optional
        When this instance started.

    Attributes
    ----------
    instances : int
        How many instances share the allowances.
    """

    __slots__ = (
        "_bounds",
        "_budgets",
        "_coordinators",
        "_gathered",
        "_started_ms",
        "instances",
    )

    def __init__(
        self, bounds: Bounds, *, instances: int, started_ms: float = -math.inf
    ) -> None:
        self._bounds = bounds
        self._budgets: dict[str, ServiceRetryBudget] = {}
        self._started_ms = started_ms
        self._gathered: frozenset[str] = frozenset()
        self._coordinators = math.inf
        self.instances = instances

    def set_coordinator_count(self, count: float, services: frozenset[str]) -> None:
        """Share the allowances of gathered services out to those that gather.

        Load pattern: a few instances gather for all. Split over all, the allowance
        lies idle at those that ask no servers, and parts that are late at the others
        are not asked for again.

        Parameters
        ----------
        count : float
            How many instances gather; infinite if this one does not.
        services : frozenset of str
            The services of which that holds; none if all instances gather.
        """
        self._coordinators = count
        self._gathered = services

    def use(self, bounds: Bounds, now_ms: float) -> None:
        """Go by other bounds from now on."""
        self._bounds = bounds
        for budget in self._budgets.values():
            budget.use(bounds, now_ms)

    def of_service(self, service: str) -> ServiceRetryBudget:
        """Return the budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = ServiceRetryBudget(self._bounds)
        return budget

    def try_spend(self, service: str, now_ms: float) -> bool:
        """Take one extra sub-request of a service, if one is left."""
        senders = self._coordinators if service in self._gathered else self.instances
        if now_ms < self._started_ms + self._bounds.extra_window_ms:
            senders /= _STARTED_SHARE
        return self.of_service(service).try_spend(now_ms, senders=senders)
