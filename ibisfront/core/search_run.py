"""One search over the services of one pinned snapshot."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec
import trio

from ibisfront.core.counters import CounterKind
from ibisfront.core.coverage import MissingReason
from ibisfront.core.policies import QueryPolicy, SearchProgress
from ibisfront.core.query import CallerRequest, SubRequest, SubRequestError
from ibisfront.core.replies import decode_rows
from ibisfront.core.search_part import Attempt, SearchPart
from ibisfront.core.server_choice import ChoiceContext
from ibisfront.core.snapshot import Snapshot
from ibisfront.core.table import Purpose

if TYPE_CHECKING:
    from ibisfront.core.backend_pool import BackendPool
    from ibisfront.core.backend_pools import BackendPools
    from ibisfront.core.clock import Clock
    from ibisfront.core.counters import Counters
    from ibisfront.core.quarantine import Quarantine
    from ibisfront.core.replies import SearchRows
    from ibisfront.core.retry_budget import RetryBudget
    from ibisfront.core.service_state import ServiceState

__all__ = ["SearchRun", "SearchTask"]

_MAX_SUB_REQUESTS = 3
_POLL_INTERVAL_MS = 50.0
_MIN_POLL_INTERVAL_MS = 1.0


class SearchTask(msgspec.Struct, frozen=True):
    """The search that one run executes.

    Attributes
    ----------
    request : CallerRequest
        The caller's request.
    purpose : Purpose
        The purpose of the request.
    snapshot : Snapshot
        The pinned snapshot; its services are the partition map.
    fingerprint : str
        Identical for every copy of the request.
    deadline_at_ms : float
        When the answer must be complete, on the tier's clock; earlier than the
        caller's deadline by the time to send it back.
    trial_service : str or None
        The service that must answer before any other service is queried.
    """

    request: CallerRequest
    purpose: Purpose
    snapshot: Snapshot
    fingerprint: str
    deadline_at_ms: float
    trial_service: str | None = None


class SearchRun:
    """The execution of one search; not reusable.

    Parameters
    ----------
    task : SearchTask
        The search.
    pools : BackendPools
        The connections to the backend servers.
    service_state : callable
        Returns the measured state of a service.
    next_id : callable
        Returns a unique sub-request id.
    hedge_budget : RetryBudget
        Budget for hedged requests to all services; each of them also counts
        against the retry budget of its service.
    quarantine : Quarantine
        Records the servers lost while they ran the request.
    policy : QueryPolicy
        The policy for server choice, hedging, retries and stragglers.
    zone : str
        This instance's availability zone.
    clock : Clock
        The tier's clock.
    counters : Counters
        Counts retries, hedged requests and cancellations.
    should_restart : callable
        Called when no server of a service holds the snapshot; returns whether
        to abandon the run and restart on another snapshot.

    Attributes
    ----------
    parts : list of SearchPart
        One part for each service; empty until the run starts.
    restart_requested : bool
        Whether the run was abandoned for a restart on another snapshot.
    """

    __slots__ = (
        "_answered_count",
        "_clock",
        "_connection_loss_lock",
        "_counters",
        "_hedge_budget",
        "_next_id",
        "_nursery",
        "_pending_count",
        "_policy",
        "_pools",
        "_quarantine",
        "_retry_after_loss_succeeded",
        "_service_state",
        "_should_restart",
        "_started_ms",
        "_straggler_cutoff_at_ms",
        "_task",
        "_trial_passed",
        "_zone",
        "parts",
        "restart_requested",
    )

    def __init__(
        self,
        task: SearchTask,
        *,
        pools: BackendPools,
        service_state: Callable[[str], ServiceState],
        next_id: Callable[[], str],
        hedge_budget: RetryBudget,
        quarantine: Quarantine,
        policy: QueryPolicy,
        zone: str,
        clock: Clock,
        counters: Counters,
        should_restart: Callable[[SearchRun], bool],
    ) -> None:
        self._task = task
        self._pools = pools
        self._service_state = service_state
        self._next_id = next_id
        self._hedge_budget = hedge_budget
        self._quarantine = quarantine
        self._policy = policy
        self._zone = zone
        self._clock = clock
        self._counters = counters
        self._should_restart = should_restart
        self._retry_after_loss_succeeded = False
        self._connection_loss_lock = trio.Lock()
        self._trial_passed: trio.Event | None = None
        self._straggler_cutoff_at_ms = math.inf
        self._answered_count = 0
        self._pending_count = 0
        self._started_ms = 0.0
        self.parts: list[SearchPart] = []
        self.restart_requested = False

    @property
    def attainable_coverage(self) -> float:
        """The fraction of the services that have answered or still may."""
        missing = sum(part.missing is not None for part in self.parts)
        return 1.0 - missing / max(1, len(self.parts))

    @property
    def elapsed_ms(self) -> float:
        """The time since the run started."""
        return self._clock.now_ms() - self._started_ms

    async def run(self) -> None:
        """Query every service; on return each part is answered or missing."""
        self._started_ms = self._clock.now_ms()
        self.parts = [
            SearchPart(service, self._service_state(service))
            for service in self._task.snapshot.services
        ]
        self._pending_count = len(self.parts)
        if self._task.trial_service is not None:
            self._trial_passed = trio.Event()
        remaining_ms = self._task.deadline_at_ms - self._started_ms
        with self._clock.timeout_ms(remaining_ms):
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                for part in self.parts:
                    nursery.start_soon(self._send_primary, part)
                await self._monitor_parts()
                nursery.cancel_scope.cancel()
        trial_failed = (
            self._trial_passed is not None and not self._trial_passed.is_set()
        )
        default_reason = (
            MissingReason.QUARANTINED if trial_failed else MissingReason.TIMED_OUT
        )
        for part in self.parts:
            if not part.is_settled:
                part.missing = default_reason

    async def _send_primary(self, part: SearchPart) -> None:
        if self._trial_passed is not None and part.service != self._task.trial_service:
            await self._trial_passed.wait()
        part.state.retry_budget.deposit()
        self._hedge_budget.deposit()
        await self._attempt(part)

    async def _attempt(self, part: SearchPart) -> None:
        """Send sub-requests for a part until it is answered or marked as missing."""
        attempt = Attempt()
        part.attempts.append(attempt)
        with attempt.scope:
            while not part.is_settled:
                try:
                    rows = await self._send_sub_request(part, attempt)
                except SubRequestError as error:
                    if len(part.attempts) > 1:
                        break
                    if not await self._should_retry(part, attempt, error):
                        self._settle_missing(part, self._missing_reason(error))
                else:
                    self._settle_answered(part, attempt, rows)
        part.attempts.remove(attempt)

    async def _send_sub_request(self, part: SearchPart, attempt: Attempt) -> SearchRows:
        """Send one sub-request and return its rows."""
        pool = await self._choose_pool(part)
        task = self._task
        now_ms = self._clock.now_ms()
        # Work that cannot finish in time would occupy a slot that other work needs.
        if now_ms + part.state.low_percentile_ms >= task.deadline_at_ms:
            raise SubRequestError(MissingReason.NO_BUDGET, not_run=True)
        attempt.pool = pool
        attempt.sent_at_ms = now_ms
        part.tried += (pool,)
        part.sub_request_count += 1
        sub_request = SubRequest(
            sub_request_id=self._next_id(),
            service=part.service,
            body_json=task.request.body_json,
            deadline_at_ms=task.deadline_at_ms,
            snapshot=task.snapshot.name,
            branch=task.request.branch,
            urgent=task.purpose.urgent,
            fingerprint=task.fingerprint,
        )
        try:
            reply = await pool.call(sub_request)
            rows = decode_rows(reply, task.snapshot.name)
        except SubRequestError as error:
            if error.reason is MissingReason.CONNECTION_LOST:
                self._record_connection_loss(part, pool)
            raise
        now_ms = self._clock.now_ms()
        part.state.record_ms(now_ms - attempt.sent_at_ms, now_ms)
        self._record_answer(part)
        return rows

    async def _choose_pool(self, part: SearchPart) -> BackendPool:
        now_ms = self._clock.now_ms()
        choice = ChoiceContext(self._zone, now_ms, self._task.snapshot.name, part.tried)
        pools = self._pools.of_service(part.service)
        pool = self._policy.choose_server(pools, choice)
        if pool is None:
            raise SubRequestError(self._no_pool_reason(pools), not_run=True)
        wait_ms = pool.health.not_before_ms - now_ms
        if self._policy.is_adaptive and wait_ms > 0.0:
            await self._wait_for_backoff(part, wait_ms)
        return pool

    def _no_pool_reason(self, pools: tuple[BackendPool, ...]) -> MissingReason:
        if not pools:
            return MissingReason.NO_SERVER
        if all(pool.is_draining for pool in pools):
            return MissingReason.DRAINING
        return MissingReason.SNAPSHOT_GONE

    async def _wait_for_backoff(self, part: SearchPart, wait_ms: float) -> None:
        """Wait until a server that shed load accepts requests again.

        Every server of the service has asked for backoff. A request sent now
        would be shed again and add to the overload. A sub-request whose
        deadline does not allow the wait is not sent.
        """
        wait_ms += self._policy.retry_delay_ms(True)
        now_ms = self._clock.now_ms()
        if now_ms + wait_ms + part.state.low_percentile_ms >= self._task.deadline_at_ms:
            raise SubRequestError(MissingReason.SHED, not_run=True)
        await self._clock.sleep_ms(wait_ms)

    async def _should_retry(
        self, part: SearchPart, attempt: Attempt, error: SubRequestError
    ) -> bool:
        """Return whether to retry, after waiting for the retry delay."""
        if part.sub_request_count >= _MAX_SUB_REQUESTS or not part.tried:
            return False
        if (
            error.reason is MissingReason.SNAPSHOT_GONE
            and not self._has_snapshot_holder(part)
        ):
            return False
        if not self._policy.allow_retry(part.state, error):
            self._counters.add(CounterKind.RETRIES_WITHHELD, error.reason.value)
            return False
        if error.reason is MissingReason.CONNECTION_LOST and self._policy.is_adaptive:
            return await self._retry_after_connection_loss(part, attempt)
        self._counters.add(CounterKind.RETRIES, error.reason.value)
        pools = self._pools.of_service(part.service)
        same_server = all(pool in part.tried for pool in pools)
        await self._clock.sleep_ms(self._policy.retry_delay_ms(same_server))
        return True

    async def _retry_after_connection_loss(
        self, part: SearchPart, attempt: Attempt
    ) -> bool:
        """Return whether to continue after a lost connection.

        A request that crashes servers loses its connections to several
        services at once. Retrying all of them together would crash a second
        server of each service, so one part retries first and the others wait
        for the result.
        """
        async with self._connection_loss_lock:
            if self._retry_after_loss_succeeded:
                return True
            if self._quarantine.is_quarantined(self._task.fingerprint):
                return False
            self._counters.add(CounterKind.RETRIES, "connection_lost")
            try:
                rows = await self._send_sub_request(part, attempt)
            except SubRequestError:
                return False
            self._retry_after_loss_succeeded = True
            self._settle_answered(part, attempt, rows)
        return True

    def _missing_reason(self, error: SubRequestError) -> MissingReason:
        lost = error.reason is MissingReason.CONNECTION_LOST
        if lost and self._quarantine.is_quarantined(self._task.fingerprint):
            return MissingReason.QUARANTINED
        return error.reason

    def _has_snapshot_holder(self, part: SearchPart) -> bool:
        now_ms = self._clock.now_ms()
        return any(
            pool.health.may_hold_snapshot(self._task.snapshot.name, now_ms)
            and not pool.is_draining
            for pool in self._pools.of_service(part.service)
        )

    def _record_connection_loss(self, part: SearchPart, pool: BackendPool) -> None:
        if self._policy.is_adaptive:
            self._quarantine.record_loss(
                self._task.fingerprint, part.service, pool.server.name
            )

    def _record_answer(self, part: SearchPart) -> None:
        self._quarantine.record_answer(self._task.fingerprint, part.service)
        if self._trial_passed is not None:
            self._trial_passed.set()

    def _settle_answered(
        self, part: SearchPart, winner: Attempt, rows: SearchRows
    ) -> None:
        if part.is_settled:
            return
        part.rows = rows
        self._answered_count += 1
        for attempt in part.attempts:
            if attempt is not winner:
                self._counters.add(CounterKind.CANCELLATIONS, "hedge_lost")
                attempt.scope.cancel()
        self._on_part_settled(part)
        progress = SearchProgress(
            len(self.parts), self._answered_count, self.elapsed_ms
        )
        if self._straggler_cutoff_at_ms == math.inf:
            limit_ms = self._policy.straggler_limit_ms(self._task.purpose, progress)
            self._straggler_cutoff_at_ms = self._started_ms + limit_ms

    def _settle_missing(self, part: SearchPart, reason: MissingReason) -> None:
        part.missing = reason
        self._on_part_settled(part)
        snapshot_gone = reason is MissingReason.SNAPSHOT_GONE
        if snapshot_gone and self._should_restart(self):
            self.restart_requested = True
            self._nursery.cancel_scope.cancel()
        if self._trial_passed is not None and not self._trial_passed.is_set():
            self._nursery.cancel_scope.cancel()

    def _on_part_settled(self, part: SearchPart) -> None:
        self._pending_count -= 1
        if not self._pending_count:
            self._nursery.cancel_scope.cancel()

    async def _monitor_parts(self) -> None:
        """Hedge slow parts, retry stalled ones and stop waiting for stragglers."""
        scheduled = self._hedge_schedule()
        while self._pending_count:
            now_ms = self._clock.now_ms()
            if now_ms >= self._straggler_cutoff_at_ms:
                self._counters.add(
                    CounterKind.CANCELLATIONS, "straggler", self._pending_count
                )
                return
            while scheduled and scheduled[-1].at_ms <= now_ms:
                self._hedge(scheduled.pop().part)
            if scheduled and scheduled[-1].part.is_settled:
                scheduled.pop()
                continue
            if self._policy.is_adaptive:
                self._abandon_unreachable_parts(now_ms)
                self._retry_stalled_parts()
            wake_at_ms = min(now_ms + _POLL_INTERVAL_MS, self._straggler_cutoff_at_ms)
            if scheduled:
                wake_at_ms = min(wake_at_ms, scheduled[-1].at_ms)
            await self._clock.sleep_ms(max(wake_at_ms - now_ms, _MIN_POLL_INTERVAL_MS))

    def _hedge_schedule(self) -> list[_ScheduledHedge]:
        """Return when each part is hedged, the earliest last."""
        schedule = [
            _ScheduledHedge(self._started_ms + delay_ms, part)
            for part in self.parts
            if (delay_ms := self._policy.hedge_delay_ms(part.state)) != math.inf
        ]
        schedule.sort(key=_hedge_at_ms, reverse=True)
        return schedule

    def _hedge(self, part: SearchPart) -> None:
        if part.is_settled or not part.attempts or part.hedge_considered:
            return
        part.hedge_considered = True
        if not self._has_hedge_target(part):
            return
        if not self._try_withdraw_hedge(part):
            self._counters.add(CounterKind.HEDGES_WITHHELD, "budget")
            return
        self._counters.add(CounterKind.HEDGES, "slow")
        self._nursery.start_soon(self._attempt, part)

    def _try_withdraw_hedge(self, part: SearchPart) -> bool:
        """Withdraw a hedged request from both budgets, or from neither."""
        retry_budget = part.state.retry_budget
        if retry_budget.balance < 1.0 or not self._hedge_budget.try_withdraw():
            return False
        return retry_budget.try_withdraw()

    def _has_hedge_target(self, part: SearchPart) -> bool:
        """Return whether an untried server can receive a hedged request."""
        now_ms = self._clock.now_ms()
        return any(
            pool not in part.tried
            and not pool.health.ejected
            and not pool.is_draining
            and pool.health.not_before_ms <= now_ms
            and pool.health.may_hold_snapshot(self._task.snapshot.name, now_ms)
            for pool in self._pools.of_service(part.service)
        )

    def _abandon_unreachable_parts(self, now_ms: float) -> None:
        """Mark a service as missing if none of its servers responds.

        When a zone is partitioned or all replicas freeze, every search of the
        service would otherwise wait until its deadline before it returns its
        other parts. Ejected servers still receive requests if there is no
        other server, so that the first search after the fault is answered,
        but are waited for only up to the silence bound. A server that answers
        anything meanwhile is slow rather than unreachable and is waited for.
        """
        for part in self.parts:
            if part.is_settled or not part.is_unreachable(now_ms):
                continue
            if self._has_available_server(part):
                continue
            self._counters.add(CounterKind.CANCELLATIONS, "unreachable")
            for attempt in part.attempts:
                attempt.scope.cancel()
            self._settle_missing(part, MissingReason.TIMED_OUT)

    def _has_available_server(self, part: SearchPart) -> bool:
        return any(
            not pool.health.ejected and not pool.is_draining
            for pool in self._pools.of_service(part.service)
        )

    def _retry_stalled_parts(self) -> None:
        """Retry parts that wait at a failed server or a retired connection.

        A silent connection or a frozen server returns neither an answer nor
        an error, so the attempt would wait until its deadline. The first
        attempt continues in parallel, in case its answer still arrives.
        """
        for part in self.parts:
            if part.is_settled or part.stall_retry_considered or not part.is_stalled:
                continue
            part.stall_retry_considered = True
            if part.state.retry_budget.try_withdraw():
                self._counters.add(CounterKind.RETRIES, "silent")
                self._nursery.start_soon(self._attempt, part)
            else:
                self._counters.add(CounterKind.RETRIES_WITHHELD, "silent")


class _ScheduledHedge:
    """The time at which a part is hedged."""

    __slots__ = ("at_ms", "part")

    def __init__(self, at_ms: float, part: SearchPart) -> None:
        self.at_ms = at_ms
        self.part = part


def _hedge_at_ms(hedge: _ScheduledHedge) -> float:
    return hedge.at_ms
