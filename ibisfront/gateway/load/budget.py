"""The budget of extra sub-requests of each service."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ibisfront.gateway.settings import Bounds

__all__ = ["ExtraBudget", "ExtraBudgets"]

_BUCKETS = 10
"""Parts of a window in which counts are kept together; one more is held, so
that a window is never counted shorter than it is."""

_SAFETY = 0.85
"""Share of the bound that is used: buckets are coarser than the sliding
window by a tenth."""


_STARTED_SHARE = 0.5
"""Share of its allowance that an instance uses in the first window after its start:
it does not know what it had spent before."""


class ExtraBudget:
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
        "_firsts",
        "extras",
        "firsts",
    )

    def __init__(self, bounds: Bounds) -> None:
        self._bounds = bounds
        self._bucket_ms = bounds.extra_window_ms / _BUCKETS
        self._bucket = 0
        self._firsts = [0] * (_BUCKETS + 1)
        self._extras = [0] * (_BUCKETS + 1)
        self.firsts = 0
        self.extras = 0

    def use(self, bounds: Bounds, now_ms: float) -> None:
        """Go by other bounds from now on.

        Counts of another window cannot be placed in the new one. What was
        spent counts as spent now, and what was earned is given up: a service
        may get too little for one window, and never too much.
        """
        if bounds.extra_window_ms != self._bounds.extra_window_ms:
            size = len(self._firsts)
            self._bucket_ms = bounds.extra_window_ms / _BUCKETS
            self._bucket = int(now_ms / self._bucket_ms)
            self._firsts = [0] * size
            self._extras = [0] * size
            self._extras[self._bucket % size] = self.extras
            self.firsts = 0
        self._bounds = bounds

    def note_first(self, now_ms: float) -> None:
        """Count the first sub-request of a request."""
        self._advance(now_ms)
        self._firsts[self._bucket % len(self._firsts)] += 1
        self.firsts += 1

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
        allowed = self._bounds.extra_ratio * self.firsts
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
        size = len(self._firsts)
        for number in range(1, min(steps, size) + 1):
            index = (self._bucket + number) % size
            self.firsts -= self._firsts[index]
            self.extras -= self._extras[index]
            self._firsts[index] = 0
            self._extras[index] = 0
        self._bucket = bucket


class ExtraBudgets:
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
        "_gathered",
        "_gatherers",
        "_started_ms",
        "instances",
    )

    def __init__(
        self, bounds: Bounds, *, instances: int, started_ms: float = -math.inf
    ) -> None:
        self._bounds = bounds
        self._budgets: dict[str, ExtraBudget] = {}
        self._started_ms = started_ms
        self._gathered: frozenset[str] = frozenset()
        self._gatherers = math.inf
        self.instances = instances

    def use_gatherers(self, count: float, services: frozenset[str]) -> None:
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
        self._gatherers = count
        self._gathered = services

    def use(self, bounds: Bounds, now_ms: float) -> None:
        """Go by other bounds from now on."""
        self._bounds = bounds
        for budget in self._budgets.values():
            budget.use(bounds, now_ms)

    def of_service(self, service: str) -> ExtraBudget:
        """Return the budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = ExtraBudget(self._bounds)
        return budget

    def try_spend(self, service: str, now_ms: float) -> bool:
        """Take one extra sub-request of a service, if one is left."""
        senders = self._gatherers if service in self._gathered else self.instances
        if now_ms < self._started_ms + self._bounds.extra_window_ms:
            senders /= _STARTED_SHARE
        return self.of_service(service).try_spend(now_ms, senders=senders)
