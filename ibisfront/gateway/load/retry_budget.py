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

_SAFETY_FACTOR = 0.85
"""Share of the bound that is used: sub-requests that wait for a connection, or in a
server's queue, arrive closer together than they were sent."""

_BURST_SHARE = 0.6
"""Part of an instance's share of the allowance that it may save up; the rest is
granted evenly over the window."""


class ServiceRetryBudget:
    """Token bucket of one instance for extra sub-requests to one service.

    Every sub-request to a service after the first one of a request is extra:
    hedged requests and retries, including those that the server rejects. Each
    primary sub-request adds a fraction of a token, and time adds the instance's
    share of the allowance; what can be saved up is part of that share.

    Over any window an instance grants at most the ratio of its primary sub-requests
    in that window plus its share, and all instances together stay within the bound
    if their shares add up to no more than the allowance. This holds across restarts,
    since a bucket starts empty and therefore never grants what a predecessor with the
    same share has granted.

    Parameters
    ----------
    bounds : Bounds
        The deployment's bounds.
    share : float
        This instance's share of the allowance, in sub-requests per window.
    started_ms : float, optional
        When the bucket was empty; by default so long ago that it is full.

    Attributes
    ----------
    primaries, extras : int
        Primary and extra sub-requests since the start.
    tokens : float
        Extra sub-requests that may be sent, as of the last call.
    """

    __slots__ = (
        "_capacity",
        "_deposit",
        "_rate_per_ms",
        "_refilled_at_ms",
        "extras",
        "primaries",
        "tokens",
    )

    def __init__(
        self, bounds: Bounds, *, share: float, started_ms: float = -math.inf
    ) -> None:
        self.primaries = 0
        self.extras = 0
        self.tokens = 0.0
        self._refilled_at_ms = started_ms
        self._set_limits(bounds, share)
        if math.isinf(started_ms):
            self.tokens = self._capacity

    def set_share(self, bounds: Bounds, share: float, now_ms: float) -> None:
        """Replace the bounds and the share; saved tokens above the new limit lapse."""
        self._refill(now_ms)
        self._set_limits(bounds, share)
        self.tokens = min(self.tokens, self._capacity)

    def record_primary(self, now_ms: float) -> None:
        """Count the primary sub-request of a request."""
        self.primaries += 1
        if now_ms >= self._refilled_at_ms:
            self._refill(now_ms)
            self.tokens = min(self._capacity, self.tokens + self._deposit)

    def try_spend(self, now_ms: float) -> bool:
        """Spend one extra sub-request; return False if the budget is exhausted."""
        self._refill(now_ms)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        self.extras += 1
        return True

    def next_grant_at_ms(self, now_ms: float) -> float:
        """Return when it grants one more by time alone; infinite if it never does."""
        self._refill(now_ms)
        missing = max(1.0 - self.tokens, 0.0)
        if not missing:
            return now_ms
        return now_ms + missing / self._rate_per_ms if self._rate_per_ms else math.inf

    def _set_limits(self, bounds: Bounds, share: float) -> None:
        share *= _SAFETY_FACTOR
        # Below one token nothing could ever be granted.
        self._capacity = max(share * _BURST_SHARE, 1.0) if share else 0.0
        saved = min(self._capacity, share)
        self._rate_per_ms = (share - saved) / bounds.extra_window_ms
        self._deposit = bounds.extra_ratio * _SAFETY_FACTOR

    def _refill(self, now_ms: float) -> None:
        elapsed_ms = now_ms - self._refilled_at_ms
        if elapsed_ms <= 0.0:
            return
        self._refilled_at_ms = now_ms
        if math.isfinite(elapsed_ms):
            self.tokens += self._rate_per_ms * elapsed_ms
            self.tokens = min(self._capacity, self.tokens)


class RetryBudgets:
    """Retry budgets of all services.

    Parameters
    ----------
    bounds : Bounds
        The deployment's bounds.
    instances : float
        Number of instances that share the allowances; infinite if unknown, which
        grants nothing.
    started_ms : float, optional
        Start time of this instance; by default long ago.

    Attributes
    ----------
    listed_at_ms : float or None
        When the list of instances was last received; None before the first time.
    """

    __slots__ = (
        "_accrues_from_ms",
        "_bounds",
        "_budgets",
        "_coordinated_services",
        "_coordinator_count",
        "_instances",
        "_logged_at_ms",
        "listed_at_ms",
    )

    def __init__(
        self,
        bounds: Bounds,
        *,
        instances: float = math.inf,
        started_ms: float = -math.inf,
    ) -> None:
        self._bounds = bounds
        self._budgets: dict[str, ServiceRetryBudget] = {}
        self._accrues_from_ms = started_ms
        self._coordinated_services: frozenset[str] = frozenset()
        self._coordinator_count = math.inf
        self._instances = instances
        self._logged_at_ms = -math.inf
        self.listed_at_ms: float | None = None

    def set_instance_count(self, count: float, now_ms: float) -> None:
        """Split the allowances over a number of instances.

        Parameters
        ----------
        count : float
            Number of instances; infinite if it is unknown, or if this instance is not
            one of them.
        now_ms : float
            The current time.
        """
        self.listed_at_ms = now_ms
        if count != self._instances:
            if math.isinf(self._instances):
                self._accrues_from_ms = max(self._accrues_from_ms, now_ms)
            self._instances = count
            self._update_shares(now_ms)

    def set_coordinator_count(
        self, count: float, services: frozenset[str], now_ms: float
    ) -> None:
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
        now_ms : float
            The current time.
        """
        if (count, services) != (self._coordinator_count, self._coordinated_services):
            self._coordinator_count = count
            self._coordinated_services = services
            self._update_shares(now_ms)

    def hold_until(self, at_ms: float) -> None:
        """Grant nothing before a time.

        The other instances split the allowances among those that they know of; an
        instance that has just joined has no share until they have read its entry.
        """
        self._accrues_from_ms = max(self._accrues_from_ms, at_ms)
        self._budgets.clear()

    def set_bounds(self, bounds: Bounds, now_ms: float) -> None:
        """Replace the bounds of all services."""
        self._bounds = bounds
        self._update_shares(now_ms)

    def of_service(self, service: str) -> ServiceRetryBudget:
        """Return the retry budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = ServiceRetryBudget(
                self._bounds,
                share=self._bounds.extra_allowance / self._senders(service),
                started_ms=self._accrues_from_ms,
            )
        return budget

    def try_spend(self, service: str, now_ms: float) -> bool:
        """Spend one extra sub-request to a service, if its budget allows it."""
        budget = self.of_service(service)
        if budget.try_spend(now_ms):
            return True
        self._log_exhausted(service, budget, now_ms)
        return False

    def next_grant_at_ms(self, service: str, now_ms: float) -> float:
        """Return when a service's budget grants one more extra sub-request."""
        return self.of_service(service).next_grant_at_ms(now_ms)

    def _senders(self, service: str) -> float:
        """Return how many instances share the allowance of a service."""
        if service in self._coordinated_services:
            return self._coordinator_count
        return self._instances

    def _update_shares(self, now_ms: float) -> None:
        for service, budget in self._budgets.items():
            share = self._bounds.extra_allowance / self._senders(service)
            budget.set_share(self._bounds, share, now_ms)

    def _log_exhausted(
        self, service: str, budget: ServiceRetryBudget, now_ms: float
    ) -> None:
        """Log the inputs of a refusal, at most once per interval."""
        if now_ms < self._logged_at_ms + _LOG_INTERVAL_MS:
            return
        self._logged_at_ms = now_ms
        senders = self._senders(service)
        listed_at_ms = self.listed_at_ms
        held_ms = self._accrues_from_ms - now_ms
        fields = {
            "service": service,
            "primaries": budget.primaries,
            "extras": budget.extras,
            "tokens": round(budget.tokens, 2),
            "senders": senders if math.isfinite(senders) else None,
            "list_age_ms": None if listed_at_ms is None else now_ms - listed_at_ms,
            "held_ms": held_ms if held_ms > 0.0 else 0.0,
        }
        _LOG.info("The retry budget of %s is exhausted.", service, extra=fields)
