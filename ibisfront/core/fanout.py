"""Asking every service of a snapshot and putting one answer together."""

from __future__ import annotations

import itertools
import uuid
from functools import partial
from typing import TYPE_CHECKING

import msgspec

from ibisfront.core.counters import CounterKind
from ibisfront.core.coverage import Coverage, MissingReason, MissingService
from ibisfront.core.errors import ErrorKind, IbisfrontError
from ibisfront.core.planner import expected_coverage, pin_snapshot, snapshots_of
from ibisfront.core.policies import policy_of
from ibisfront.core.quarantine import fingerprint_of
from ibisfront.core.query import Answer
from ibisfront.core.replies import merged_rows
from ibisfront.core.retry_budget import RetryBudget
from ibisfront.core.search_run import SearchRun, SearchTask
from ibisfront.core.service_state import RecentLatency, ServiceState

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ibisfront.core.backend_pools import BackendPools
    from ibisfront.core.catalogue import Catalogue
    from ibisfront.core.clock import Clock
    from ibisfront.core.counters import Counters
    from ibisfront.core.quarantine import Quarantine
    from ibisfront.core.query import CallerRequest
    from ibisfront.core.settings import QuerySettings
    from ibisfront.core.snapshot import Snapshot
    from ibisfront.core.table import Purpose

__all__ = ["HEDGE_BURST", "Fanout"]

HEDGE_BURST = 20.0
"""Hedged requests at once after a quiet time, over all services."""

_MOST_RESTARTS = 2
_RESTART_SHARE = 0.1
_RESTART_BURST = 10.0
_NAME_LENGTH = 8


class Fanout:
    """Runs searches over the services of a snapshot.

    Parameters
    ----------
    catalogue : Catalogue
        The table, services and indexes in force.
    pools : BackendPools
        The backend servers.
    quarantine : Quarantine
        The requests that crash servers.
    clock : Clock
        The tier's clock.
    counters : Counters
        Where sub-requests and missing services are counted.
    zone : str
        This instance's availability zone; its backend servers go first.
    settings : QuerySettings
        The policy.
    seed : int, optional
        Makes the policy's random choices repeatable.
    """

    __slots__ = (
        "_catalogue",
        "_clock",
        "_counters",
        "_hedges",
        "_ids",
        "_index_latencies",
        "_name",
        "_policy",
        "_pools",
        "_quarantine",
        "_restarts",
        "_settings",
        "_states",
        "_zone",
    )

    def __init__(
        self,
        *,
        catalogue: Catalogue,
        pools: BackendPools,
        quarantine: Quarantine,
        clock: Clock,
        counters: Counters,
        zone: str,
        settings: QuerySettings,
        seed: int | None = None,
    ) -> None:
        self._catalogue = catalogue
        self._pools = pools
        self._quarantine = quarantine
        self._clock = clock
        self._counters = counters
        self._zone = zone
        self._settings = settings
        self._policy = policy_of(settings, seed=seed)
        self._states: dict[str, ServiceState] = {}
        self._index_latencies: dict[str, RecentLatency] = {}
        self._hedges = RetryBudget(share=settings.hedge_fraction, burst=HEDGE_BURST)
        self._restarts = RetryBudget(share=_RESTART_SHARE, burst=_RESTART_BURST)
        self._ids = itertools.count(1)
        # Callers choose request ids and may use one twice, also at two
        # instances; a late reply would then pass for the reply to the copy.
        self._name = uuid.uuid4().hex[:_NAME_LENGTH]

    async def search(self, request: CallerRequest, purpose: Purpose) -> Answer:
        """Return one whole answer from one snapshot.

        Raises
        ------
        IbisfrontError
            If no snapshot is known, no service answered, or the request is
            refused because it crashes servers.
        """
        fingerprint = fingerprint_of(purpose.name, request.body_json)
        trial_service = None
        if self._policy.sheds_load:
            trial_service = self._quarantine.trial_service(fingerprint)
        try:
            run = await self._run(request, purpose, fingerprint, trial_service)
        finally:
            if trial_service is not None:
                self._quarantine.end_trial(fingerprint)
        return self._answer(request, run)

    async def _run(
        self,
        request: CallerRequest,
        purpose: Purpose,
        fingerprint: str,
        trial_service: str | None,
    ) -> _FinishedRun:
        """Run a search, and again on another snapshot if that covers more."""
        deadline_at_ms = request.deadline_at_ms - self._settings.way_back_ms
        self._restarts.earn()
        given_up: list[str] = []
        while True:
            snapshot = self._pin(purpose, given_up)
            task = SearchTask(
                request=request,
                purpose=purpose,
                snapshot=snapshot,
                fingerprint=fingerprint,
                deadline_at_ms=deadline_at_ms,
                trial_service=(
                    trial_service if trial_service in snapshot.services else None
                ),
            )
            may_restart = len(given_up) < _MOST_RESTARTS
            run = self._start(task, given_up, may_restart=may_restart)
            await run.run()
            self._count_requests(run)
            if not run.restart:
                self._count_missing(run)
                return _FinishedRun(snapshot, run)
            given_up.append(snapshot.name)
            self._counters.add(CounterKind.RETRIES, "snapshot_restart")

    def _start(
        self, task: SearchTask, given_up: Sequence[str], *, may_restart: bool
    ) -> SearchRun:
        def wants_restart(run: SearchRun) -> bool:
            return may_restart and self._is_restart_better(task, run, given_up)

        return SearchRun(
            task,
            pools=self._pools,
            state_of=partial(self._state_of, task.purpose.index or ""),
            next_id=self._next_id,
            hedge_budget=self._hedges,
            quarantine=self._quarantine,
            policy=self._policy,
            zone=self._zone,
            clock=self._clock,
            counters=self._counters,
            wants_restart=wants_restart,
        )

    def _pin(self, purpose: Purpose, given_up: Sequence[str]) -> Snapshot:
        snapshots = snapshots_of(self._catalogue, purpose)
        if not self._policy.sheds_load:
            return snapshots[-1]
        fresh = tuple(item for item in snapshots if item.name not in given_up)
        return pin_snapshot(fresh or snapshots, holds=self._holds)

    def _is_restart_better(
        self, task: SearchTask, run: SearchRun, given_up: Sequence[str]
    ) -> bool:
        """Return whether to start again on another snapshot.

        Only if that may cover more than the run still can, if as much time is
        left as the run has taken, and inside a budget: when a snapshot is
        dropped everywhere at once, each search in flight would double.
        """
        if not self._policy.sheds_load:
            return False
        excluded = (*given_up, task.snapshot.name)
        others = [
            item
            for item in snapshots_of(self._catalogue, task.purpose)
            if item.name not in excluded
        ]
        coverage = max(
            (expected_coverage(item, holds=self._holds) for item in others),
            default=0.0,
        )
        remaining_ms = task.deadline_at_ms - self._clock.now_ms()
        if coverage <= run.reachable or remaining_ms <= run.elapsed_ms:
            return False
        return self._restarts.try_spend()

    def _holds(self, service: str, snapshot: str) -> bool:
        now_ms = self._clock.now_ms()
        return any(
            pool.health.may_hold_snapshot(snapshot, now_ms) and not pool.is_draining
            for pool in self._pools.of_service(service)
        )

    def _state_of(self, index: str, service: str) -> ServiceState:
        state = self._states.get(service)
        if state is None:
            index_latency = self._index_latencies.get(index)
            if index_latency is None:
                index_latency = RecentLatency(self._settings)
                self._index_latencies[index] = index_latency
            state = ServiceState(self._settings, index_latency=index_latency)
            self._states[service] = state
        return state

    def _next_id(self) -> str:
        return f"{self._name}-{next(self._ids)}"

    def _count_requests(self, run: SearchRun) -> None:
        requests = sum(part.requests for part in run.parts)
        self._counters.add(CounterKind.SUB_REQUESTS, "search", requests)

    def _count_missing(self, run: SearchRun) -> None:
        for part in run.parts:
            if part.missing is not None:
                self._counters.add(CounterKind.MISSING, part.missing.value)

    def _answer(self, request: CallerRequest, finished: _FinishedRun) -> Answer:
        """Put one answer together, counting only what the pinned map names."""
        parts = finished.run.parts
        replies = [part.rows for part in parts if part.rows is not None]
        missing = tuple(
            MissingService(part.service, part.missing)
            for part in parts
            if part.missing is not None
        )
        if not replies:
            raise _no_answer(missing)
        coverage = Coverage(len(replies), len(parts), missing)
        rows = merged_rows(replies)
        return Answer(request.request_id, finished.snapshot.name, coverage, rows)


class _FinishedRun(msgspec.Struct, frozen=True):
    """A run that was not given up, and its snapshot."""

    snapshot: Snapshot
    run: SearchRun


def _no_answer(missing: Sequence[MissingService]) -> IbisfrontError:
    reasons = sorted({item.reason.value for item in missing})
    detail = f"none of {len(missing)} services answered: {', '.join(reasons)}"
    if MissingReason.QUARANTINED.value in reasons:
        return IbisfrontError(ErrorKind.QUARANTINED, detail)
    if reasons == [MissingReason.TIMED_OUT.value]:
        return IbisfrontError(ErrorKind.DEADLINE_EXCEEDED, detail)
    return IbisfrontError(ErrorKind.NO_COVERAGE, detail)
