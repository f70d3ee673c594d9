"""The two search policies: adaptive, and a baseline for comparison."""

from __future__ import annotations

import math
import random
from collections.abc import Callable

import msgspec

from ibisfront.core.coverage import MissingReason
from ibisfront.core.query import SubRequestError
from ibisfront.core.server_choice import ChooseServer, power_of_two_choices, round_robin
from ibisfront.core.service_state import ServiceState
from ibisfront.core.settings import QuerySettings
from ibisfront.core.table import Purpose

__all__ = ["QueryPolicy", "SearchProgress", "make_policy"]

_OTHER_SERVER_MAX_DELAY_MS = 1.0
_SAME_SERVER_MAX_DELAY_MS = 10.0
_STRAGGLER_FACTOR = 4.0
_NEVER_RETRIED = frozenset(
    (
        MissingReason.REFUSED,
        MissingReason.NO_SERVER,
        MissingReason.NO_BUDGET,
        MissingReason.TIMED_OUT,
        MissingReason.QUARANTINED,
    )
)


class SearchProgress(msgspec.Struct):
    """The progress of a running search.

    Attributes
    ----------
    total : int
        Services queried.
    answered : int
        Services that have answered.
    elapsed_ms : float
        Time since the search started.
    """

    total: int
    answered: int
    elapsed_ms: float


class QueryPolicy(msgspec.Struct, frozen=True):
    """The decisions of a search, each a plain function.

    Attributes
    ----------
    choose_server : callable
        Picks the server of a sub-request.
    hedge_delay_ms : callable
        The time after which a sub-request to a service is hedged.
    allow_retry : callable
        Whether a service may be retried after an error; withdraws the retry
        from the service's budget.
    retry_delay_ms : callable
        The delay before a retry; takes whether the same server is retried.
    straggler_limit_ms : callable
        The time after which a search returns without its stragglers.
    is_adaptive : bool
        Whether crash quarantine, backoff from servers, the choice among
        snapshots and the handling of unreachable servers are enabled.
    """

    choose_server: ChooseServer
    hedge_delay_ms: Callable[[ServiceState], float]
    allow_retry: Callable[[ServiceState, SubRequestError], bool]
    retry_delay_ms: Callable[[bool], float]
    straggler_limit_ms: Callable[[Purpose, SearchProgress], float]
    is_adaptive: bool


def make_policy(settings: QuerySettings, *, seed: int | None = None) -> QueryPolicy:
    """Return the policy selected in the settings.

    Parameters
    ----------
    settings : QuerySettings
        The settings.
    seed : int, optional
        Seed of the random choices.
    """
    if settings.policy == "baseline":
        return _baseline_policy()
    return _adaptive_policy(settings, seed)


def _baseline_policy() -> QueryPolicy:
    return QueryPolicy(
        choose_server=round_robin(),
        hedge_delay_ms=lambda _service: math.inf,
        allow_retry=lambda _service, error: error.reason not in _NEVER_RETRIED,
        retry_delay_ms=lambda _same_server: 0.0,
        straggler_limit_ms=lambda _purpose, _progress: math.inf,
        is_adaptive=False,
    )


def _adaptive_policy(settings: QuerySettings, seed: int | None) -> QueryPolicy:
    generator = random.Random(seed)

    def allow_retry(service: ServiceState, error: SubRequestError) -> bool:
        if error.reason in _NEVER_RETRIED:
            return False
        return service.retry_budget.try_withdraw()

    def retry_delay_ms(same_server: bool) -> float:
        max_delay_ms = (
            _SAME_SERVER_MAX_DELAY_MS if same_server else _OTHER_SERVER_MAX_DELAY_MS
        )
        return generator.uniform(0.0, max_delay_ms)

    def straggler_limit_ms(purpose: Purpose, progress: SearchProgress) -> float:
        quorum = math.ceil(settings.straggler_quorum_fraction * progress.total)
        if purpose.prefers == "coverage" or progress.answered < quorum:
            return math.inf
        limit_ms = _STRAGGLER_FACTOR * progress.elapsed_ms
        return max(limit_ms, settings.straggler_floor_ms)

    return QueryPolicy(
        choose_server=power_of_two_choices(
            cross_zone_ms=settings.cross_zone_ms,
            slots_per_server=settings.slots_per_server,
            seed=seed,
        ),
        hedge_delay_ms=lambda service: service.hedge_delay_ms,
        allow_retry=allow_retry,
        retry_delay_ms=retry_delay_ms,
        straggler_limit_ms=straggler_limit_ms,
        is_adaptive=True,
    )
