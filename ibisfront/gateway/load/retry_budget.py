"""Budgets of extra sub-requests (retries and hedged requests) per service."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ibisfront.core.logs import LogPart, part_logger

if TYPE_CHECKING:
    from ibisfront.gateway.settings import Bounds

__all__ = ["RetryBudgets", "ServiceRetryBudget"]

_LOG = part_logger(LogPart.LIMITS)

_LOG_INTERVAL_MS = 1_000.0
"""Minimum interval between log lines about exhausted budgets."""

_BUCKETS = 10
"""Buckets of a sliding window; one more is held, so that the window counted is never
shorter than the configured one."""

_SAFETY_FACTOR = 0.85
"""Share of the bound that is used, as the buckets' granularity is a tenth of the
sliding window."""

_STARTUP_SHARE = 0.5
"""Share of its allowance that an instance uses in the first window after its start:
the extra sub-requests sent before a restart are not recorded."""


class ServiceRetryBudget:
    """Budget of extra sub-requests to one service over a sliding window.

    Every sub-request to a service after the first one of a request is extra:
    hedged requests and retries, including those that the server rejects. The
    ratio applies to this instance's own requests, which needs no coordination:
    if each instance keeps it, all do. The allowance is split over the instances.

    Parameters
    ----------
    bounds : Bounds
        The deployment's bounds.

    Attributes
    ----------
    primaries, extras : int
        Primary and extra sub-requests in the window.
    """

    __slots__ = (
        "_bounds",
        "_bucket",
        "_bucket_ms",
        "_extras_by_bucket",
        "_primaries_by_bucket",
        "extras",
        "primaries",
    )

    def __init__(self, bounds: Bounds) -> None:
        self._bounds = bounds
        self._bucket_ms = bounds.extra_window_ms / _BUCKETS
        self._bucket = 0
        self._primaries_by_bucket = [0] * (_BUCKETS + 1)
        self._extras_by_bucket = [0] * (_BUCKETS + 1)
        self.primaries = 0
        self.extras = 0

    def set_bounds(self, bounds: Bounds, now_ms: float) -> None:
        """Replace the bounds.

        Counts of the old window cannot be placed in one of another length. All
        extra attempts in it count as sent now, and the primary ones are dropped:
        a service may get too few extra attempts for one window, never too many.
        """
        if bounds.extra_window_ms != self._bounds.extra_window_ms:
            size = len(self._primaries_by_bucket)
            self._bucket_ms = bounds.extra_window_ms / _BUCKETS
            self._bucket = int(now_ms / self._bucket_ms)
            self._primaries_by_bucket = [0] * size
            self._extras_by_bucket = [0] * size
            self._extras_by_bucket[self._bucket % size] = self.extras
            self.primaries = 0
        self._bounds = bounds

    def record_primary(self, now_ms: float) -> None:
        """Count the primary sub-request of a request."""
        self._advance(now_ms)
        self._primaries_by_bucket[self._bucket % len(self._primaries_by_bucket)] += 1
        self.primaries += 1

    def try_spend(self, now_ms: float, *, senders: float) -> bool:
        """Spend one extra sub-request; return False if the budget is exhausted.

        Parameters
        ----------
        now_ms : float
            The current time.
        senders : float
            Number of instances that share the allowance, including this one;
            infinite if this one has no share.
        """
        self._advance(now_ms)
        allowed = self._bounds.extra_ratio * self.primaries
        allowed += self._bounds.extra_allowance / senders
        if self.extras + 1 > allowed * _SAFETY_FACTOR:
            return False
        self._extras_by_bucket[self._bucket % len(self._extras_by_bucket)] += 1
        self.extras += 1
        return True

    def _advance(self, now_ms: float) -> None:
        bucket = int(now_ms / self._bucket_ms)
        steps = bucket - self._bucket
        if steps <= 0:
            return
        size = len(self._primaries_by_bucket)
        for number in range(1, min(steps, size) + 1):
            index = (self._bucket + number) % size
            self.primaries -= self._primaries_by_bucket[index]
            self.extras -= self._extras_by_bucket[index]
            self._primaries_by_bucket[index] = 0
            self._extras_by_bucket[index] = 0
        self._bucket = bucket


class RetryBudgets:
    """Retry budgets of all services.

    Parameters
    ----------
    bounds : Bounds
        The deployment's bounds.
    instances : int
        Number of instances that share the allowances.
    started_ms : float, optional
        Start time of this instance.

    Attributes
    ----------
    instances : int
        Number of instances that share the allowances.
    listed_at_ms : float or None
        When the list of instances was last received; None before the first time.
    """

    __slots__ = (
        "_bounds",
        "_budgets",
        "_coordinated_services",
        "_coordinator_count",
        "_logged_at_ms",
        "_started_ms",
        "instances",
        "listed_at_ms",
    )

    def __init__(
        self, bounds: Bounds, *, instances: int, started_ms: float = -math.inf
    ) -> None:
        self._bounds = bounds
        self._budgets: dict[str, ServiceRetryBudget] = {}
        self._started_ms = started_ms
        self._coordinated_services: frozenset[str] = frozenset()
        self._coordinator_count = math.inf
        self._logged_at_ms = -math.inf
        self.instances = instances
        self.listed_at_ms: float | None = None

    def set_coordinator_count(self, count: float, services: frozenset[str]) -> None:
        """Split the allowances of scatter-gather services over the coordinators.

        Load pattern: a few instances coordinate for all. Split over all instances,
        the allowance is unused at those that send no sub-requests, and the
        coordinators lack it for hedged requests.

        Parameters
        ----------
        count : float
            Number of coordinators; infinite if this instance is not one of them.
        services : frozenset of str
            The services that only coordinators call; empty if there are none.
        """
        self._coordinator_count = count
        self._coordinated_services = services

    def set_bounds(self, bounds: Bounds, now_ms: float) -> None:
        """Replace the bounds of all services."""
        self._bounds = bounds
        for budget in self._budgets.values():
            budget.set_bounds(bounds, now_ms)

    def of_service(self, service: str) -> ServiceRetryBudget:
        """Return the retry budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = ServiceRetryBudget(self._bounds)
        return budget

    def try_spend(self, service: str, now_ms: float) -> bool:
        """Spend one extra sub-request to a service, if its budget allows it."""
        senders = (
            self._coordinator_count
            if service in self._coordinated_services
            else self.instances
        )
        if now_ms < self._started_ms + self._bounds.extra_window_ms:
            senders /= _STARTUP_SHARE
        budget = self.of_service(service)
        if budget.try_spend(now_ms, senders=senders):
            return True
        self._log_exhausted(service, budget, senders, now_ms)
        return False

    def _log_exhausted(
        self, service: str, budget: ServiceRetryBudget, senders: float, now_ms: float
    ) -> None:
        """Log the inputs of a refusal, at most once per interval."""
        if now_ms < self._logged_at_ms + _LOG_INTERVAL_MS:
            return
        self._logged_at_ms = now_ms
        listed_at_ms = self.listed_at_ms
        fields = {
            "service": service,
            "primaries": budget.primaries,
            "extras": budget.extras,
            "senders": senders if math.isfinite(senders) else None,
            "list_age_ms": None if listed_at_ms is None else now_ms - listed_at_ms,
            "uptime_ms": now_ms - self._started_ms
            if math.isfinite(self._started_ms)
            else None,
        }
        _LOG.info("The retry budget of %s is exhausted.", service, extra=fields)
