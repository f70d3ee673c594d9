"""Scatter-gather search over the services of one snapshot."""

from __future__ import annotations

import itertools
import uuid
from functools import partial
from typing import TYPE_CHECKING

import msgspec

from ibisfront.core.counters import CounterKind
from ibisfront.core.coverage import Coverage, MissingReason, MissingService
from ibisfront.core.errors import ErrorKind, IbisfrontError
from ibisfront.core.planner import expected_coverage, pin_snapshot, published_snapshots
from ibisfront.core.policies import make_policy
from ibisfront.core.quarantine import fingerprint_of
from ibisfront.core.query import Answer
from ibisfront.core.replies import merge_rows
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
"""Maximum burst of hedged requests, over all services."""

_MAX_RESTARTS = 2
_RESTART_RATIO = 0.1
_RESTART_BURST = 10.0
_ID_PREFIX_LENGTH = 8


class Fanout:
    """Runs searches over the services of a snapshot.

    Parameters
    ----------
    catalogue : Catalogue
        The table, services and indexes in force.
    pools : BackendPools
        The connections to the backend servers.
    quarantine : Quarantine
        The requests that crash servers.
    clock : Clock
        The tier's clock.
    counters : Counters
        Counts sub-requests and missing services.
    zone : str
        This instance's availability zone; its backend servers are preferred.
    settings : QuerySettings
        The settings of the policy.
    seed : int, optional
        Seed of the policy's random choices.
    """

    __slots__ = (
        "_catalogue",
        "_clock",
        "_counters",
        "_hedge_budget",
        "_id_prefix",
        "_ids",
        "_index_latencies",
        "_policy",
        "_pools",
        "_quarantine",
        "_restart_budget",
        "_service_states",
        "_settings",
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
        self._policy = make_policy(settings, seed=seed)
        self._service_states: dict[str, ServiceState] = {}
        self._index_latencies: dict[str, RecentLatency] = {}
        self._hedge_budget = RetryBudget(
            ratio=settings.hedge_fraction, burst=HEDGE_BURST
        )
        self._restart_budget = RetryBudget(ratio=_RESTART_RATIO, burst=_RESTART_BURST)
        self._ids = itertools.count(1)
        # Callers choose request ids and may reuse one, even on two instances;
        # a late reply could then be mistaken for the reply to the copy.
        self._id_prefix = uuid.uuid4().hex[:_ID_PREFIX_LENGTH]

    async def search(self, request: CallerRequest, purpose: Purpose) -> Answer:
        """Return the merged answer of all services for one snapshot.

        Raises
        ------
        IbisfrontError
            If no snapshot is known, no service answered, or the request is
            quarantined because it crashes servers.
        """
        fingerprint = fingerprint_of(purpose.name, request.body_json)
        trial_service = None
        if self._policy.is_adaptive:
            trial_service = self._quarantine.begin_trial(fingerprint)
        try:
            run = await self._run(request, purpose, fingerprint, trial_service)
        finally:
            if trial_service is not None:
                self._quarantine.end_trial(fingerprint)
        return self._build_answer(request, run)

    async def _run(
        self,
        request: CallerRequest,
        purpose: Purpose,
        fingerprint: str,
        trial_service: str | None,
    ) -> _CompletedRun:
        """Run a search; restart it on another snapshot if that covers more."""
        deadline_at_ms = request.deadline_at_ms - self._settings.way_back_ms
        self._restart_budget.deposit()
        abandoned: list[str] = []
        while True:
            snapshot = self._pin_snapshot(purpose, abandoned)
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
            may_restart = len(abandoned) < _MAX_RESTARTS
            run = self._make_run(task, abandoned, may_restart=may_restart)
            await run.run()
            self._count_requests(run)
            if not run.restart_requested:
                self._count_missing(run)
                return _CompletedRun(snapshot, run)
            abandoned.append(snapshot.name)
            self._counters.add(CounterKind.RETRIES, "snapshot_restart")

    def _make_run(
        self, task: SearchTask, abandoned: Sequence[str], *, may_restart: bool
    ) -> SearchRun:
        def should_restart(run: SearchRun) -> bool:
            return may_restart and self._is_restart_better(task, run, abandoned)

        return SearchRun(
            task,
            pools=self._pools,
            service_state=partial(self._service_state, task.purpose.index or ""),
            next_id=self._next_id,
            hedge_budget=self._hedge_budget,
            quarantine=self._quarantine,
            policy=self._policy,
            zone=self._zone,
            clock=self._clock,
            counters=self._counters,
            should_restart=should_restart,
        )

    def _pin_snapshot(self, purpose: Purpose, abandoned: Sequence[str]) -> Snapshot:
        snapshots = published_snapshots(self._catalogue, purpose)
        if not self._policy.is_adaptive:
            return snapshots[-1]
        remaining = tuple(item for item in snapshots if item.name not in abandoned)
        return pin_snapshot(remaining or snapshots, may_hold=self._may_hold)

    def _is_restart_better(
        self, task: SearchTask, run: SearchRun, abandoned: Sequence[str]
    ) -> bool:
        """Return whether to restart on another snapshot.

        True if the other snapshot may cover more than the run still can, more
        time remains than the run has taken, and the restart budget allows it.
        Without a budget, a snapshot that is dropped everywhere at once would
        double every search in flight.
        """
        if not self._policy.is_adaptive:
            return False
        excluded = (*abandoned, task.snapshot.name)
        others = [
            item
            for item in published_snapshots(self._catalogue, task.purpose)
            if item.name not in excluded
        ]
        coverage = max(
            (expected_coverage(item, may_hold=self._may_hold) for item in others),
            default=0.0,
        )
        remaining_ms = task.deadline_at_ms - self._clock.now_ms()
        if coverage <= run.attainable_coverage or remaining_ms <= run.elapsed_ms:
            return False
        return self._restart_budget.try_withdraw()

    def _may_hold(self, service: str, snapshot: str) -> bool:
        now_ms = self._clock.now_ms()
        return any(
            pool.health.may_hold_snapshot(snapshot, now_ms) and not pool.is_draining
            for pool in self._pools.of_service(service)
        )

    def _service_state(self, index: str, service: str) -> ServiceState:
        state = self._service_states.get(service)
        if state is None:
            index_latency = self._index_latencies.get(index)
            if index_latency is None:
                index_latency = RecentLatency(self._settings)
                self._index_latencies[index] = index_latency
            state = ServiceState(self._settings, index_latency=index_latency)
            self._service_states[service] = state
        return state

    def _next_id(self) -> str:
        return f"{self._id_prefix}-{next(self._ids)}"

    def _count_requests(self, run: SearchRun) -> None:
        sub_request_count = sum(part.sub_request_count for part in run.parts)
        self._counters.add(CounterKind.SUB_REQUESTS, "search", sub_request_count)

    def _count_missing(self, run: SearchRun) -> None:
        for part in run.parts:
            if part.missing is not None:
                self._counters.add(CounterKind.MISSING, part.missing.value)

    def _build_answer(self, request: CallerRequest, completed: _CompletedRun) -> Answer:
        """Merge the parts; coverage counts only the pinned map's services."""
        parts = completed.run.parts
        replies = [part.rows for part in parts if part.rows is not None]
        missing = tuple(
            MissingService(part.service, part.missing)
            for part in parts
            if part.missing is not None
        )
        if not replies:
            raise _no_answer_error(missing)
        coverage = Coverage(len(replies), len(parts), missing)
        rows = merge_rows(replies)
        return Answer(request.request_id, completed.snapshot.name, coverage, rows)


class _CompletedRun(msgspec.Struct, frozen=True):
    """A run that was not restarted, and its snapshot."""

    snapshot: Snapshot
    run: SearchRun


def _no_answer_error(missing: Sequence[MissingService]) -> IbisfrontError:
    reasons = sorted({item.reason.value for item in missing})
    detail = f"none of {len(missing)} services answered: {', '.join(reasons)}"
    if MissingReason.QUARANTINED.value in reasons:
        return IbisfrontError(ErrorKind.QUARANTINED, detail)
    if reasons == [MissingReason.TIMED_OUT.value]:
        return IbisfrontError(ErrorKind.DEADLINE_EXCEEDED, detail)
    return IbisfrontError(ErrorKind.NO_COVERAGE, detail)
