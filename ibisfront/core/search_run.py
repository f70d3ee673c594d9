"""One search over the services of one pinned snapshot."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec
import trio

from ibisfront.core.counters import CounterKind
from ibisfront.core.coverage import MissingReason
from ibisfront.core.policies import Progress, QueryPolicy
from ibisfront.core.query import CallerRequest, SubRequest, SubRequestError
from ibisfront.core.replies import checked_rows
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

_MOST_REQUESTS = 3
_WATCH_MS = 50.0
_SHORTEST_WATCH_MS = 1.0


class SearchTask(msgspec.Struct, frozen=True):
    """What one run is to do.

    Attributes
    ----------
    request : CallerRequest
        The caller's request.
    purpose : Purpose
        Its purpose.
    snapshot : Snapshot
        The pinned snapshot; its services are the partition map.
    fingerprint : str
        The same for every copy of the request.
    deadline_at_ms : float
        When the answer must be ready to be sent back.
    trial_service : str or None
        The service that must answer before any other is asked.
    """

    request: CallerRequest
    purpose: Purpose
    snapshot: Snapshot
    fingerprint: str
    deadline_at_ms: float
    trial_service: str | None = None


class SearchRun:
    """One search while it runs; used once.

    Parameters
    ----------
    task : SearchTask
        What to do.
    pools : BackendPools
        The servers.
    state_of : callable
        Returns what was measured of a service.
    next_id : callable
        Returns an id that no other sub-request has.
    hedge_budget : RetryBudget
        Hedged requests of all services together; each of them also counts
        against its service's own budget of extra sub-requests.
    quarantine : Quarantine
        Where lost servers are noted.
    policy : QueryPolicy
        The decisions.
    zone : str
        This instance's availability zone.
    clock : Clock
        The tier's clock.
    counters : Counters
        Where retries, hedges and cancellations are counted.
    wants_restart : callable
        Told of a service that does not hold the snapshot; returns whether to
        give the run up for another snapshot.
    """

    __slots__ = (
        "_answered",
        "_clock",
        "_counters",
        "_hedge_budget",
        "_loss_is_harmless",
        "_lost_turn",
        "_next_id",
        "_nursery",
        "_open",
        "_policy",
        "_pools",
        "_quarantine",
        "_started_ms",
        "_state_of",
        "_straggler_at_ms",
        "_task",
        "_trial_passed",
        "_wants_restart",
        "_zone",
        "parts",
        "restart",
    )

    def __init__(
        self,
        task: SearchTask,
        *,
        pools: BackendPools,
        state_of: Callable[[str], ServiceState],
        next_id: Callable[[], str],
        hedge_budget: RetryBudget,
        quarantine: Quarantine,
        policy: QueryPolicy,
        zone: str,
        clock: Clock,
        counters: Counters,
        wants_restart: Callable[[SearchRun], bool],
    ) -> None:
        self._task = task
        self._pools = pools
        self._state_of = state_of
        self._next_id = next_id
        self._hedge_budget = hedge_budget
        self._quarantine = quarantine
        self._policy = policy
        self._zone = zone
        self._clock = clock
        self._counters = counters
        self._wants_restart = wants_restart
        self._loss_is_harmless = False
        self._lost_turn = trio.Lock()
        self._trial_passed: trio.Event | None = None
        self._straggler_at_ms = math.inf
        self._answered = 0
        self._open = 0
        self._started_ms = 0.0
        self.parts: list[SearchPart] = []
        self.restart = False

    @property
    def reachable(self) -> float:
        """The share of the services that have answered or still may."""
        missing = sum(part.missing is not None for part in self.parts)
        return 1.0 - missing / max(1, len(self.parts))

    @property
    def elapsed_ms(self) -> float:
        """How long the run has taken so far."""
        return self._clock.now_ms() - self._started_ms

    async def run(self) -> None:
        """Ask every service; on return each part is answered or missing."""
        self._started_ms = self._clock.now_ms()
        self.parts = [
            SearchPart(service, self._state_of(service))
            for service in self._task.snapshot.services
        ]
        self._open = len(self.parts)
        if self._task.trial_service is not None:
            self._trial_passed = trio.Event()
        remaining_ms = self._task.deadline_at_ms - self._started_ms
        with self._clock.timeout_ms(remaining_ms):
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                for part in self.parts:
                    nursery.start_soon(self._ask_first, part)
                await self._watch()
                nursery.cancel_scope.cancel()
        refused = self._trial_passed is not None and not self._trial_passed.is_set()
        rest = MissingReason.QUARANTINED if refused else MissingReason.TIMED_OUT
        for part in self.parts:
            if not part.is_settled:
                part.missing = rest

    async def _ask_first(self, part: SearchPart) -> None:
        if self._trial_passed is not None and part.service != self._task.trial_service:
            await self._trial_passed.wait()
        part.state.retry_budget.earn()
        self._hedge_budget.earn()
        await self._attempt(part)

    async def _attempt(self, part: SearchPart) -> None:
        """Try to get a part until it is answered or not to be had."""
        attempt = Attempt()
        part.attempts.append(attempt)
        with attempt.scope:
            while not part.is_settled:
                try:
                    rows = await self._ask(part, attempt)
                except SubRequestError as error:
                    if len(part.attempts) > 1:
                        break
                    if not await self._may_go_on(part, attempt, error):
                        self._settle_missing(part, self._why_missing(error))
                else:
                    self._settle_answered(part, attempt, rows)
        part.attempts.remove(attempt)

    async def _ask(self, part: SearchPart, attempt: Attempt) -> SearchRows:
        """Send one sub-request and return its rows."""
        pool = await self._choose(part)
        task = self._task
        now_ms = self._clock.now_ms()
        # Work that cannot be answered in time takes a slot from work that can.
        if now_ms + part.state.low_percentile_ms >= task.deadline_at_ms:
            raise SubRequestError(MissingReason.NO_BUDGET, not_run=True)
        attempt.pool = pool
        attempt.sent_at_ms = now_ms
        part.tried += (pool,)
        part.requests += 1
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
            rows = checked_rows(reply, task.snapshot.name)
        except SubRequestError as error:
            if error.reason is MissingReason.CONNECTION_LOST:
                self._note_lost(part, pool)
            raise
        now_ms = self._clock.now_ms()
        part.state.record_ms(now_ms - attempt.sent_at_ms, now_ms)
        self._note_answered(part)
        return rows

    async def _choose(self, part: SearchPart) -> BackendPool:
        now_ms = self._clock.now_ms()
        choice = ChoiceContext(self._zone, now_ms, self._task.snapshot.name, part.tried)
        pools = self._pools.of_service(part.service)
        pool = self._policy.choose(pools, choice)
        if pool is None:
            raise SubRequestError(self._why_none(pools), not_run=True)
        wait_ms = pool.health.not_before_ms - now_ms
        if self._policy.sheds_load and wait_ms > 0.0:
            await self._back_off(part, wait_ms)
        return pool

    def _why_none(self, pools: tuple[BackendPool, ...]) -> MissingReason:
        if not pools:
            return MissingReason.NO_SERVER
        if all(pool.is_draining for pool in pools):
            return MissingReason.DRAINING
        return MissingReason.SNAPSHOT_GONE

    async def _back_off(self, part: SearchPart, wait_ms: float) -> None:
        """Wait until a server that shed may be asked again.

        Every server of the service has asked to be left alone. Asking now
        would only be shed again and feed the overload; a sub-request that
        cannot wait that long is not sent.
        """
        wait_ms += self._policy.retry_delay_ms(True)
        now_ms = self._clock.now_ms()
        if now_ms + wait_ms + part.state.low_percentile_ms >= self._task.deadline_at_ms:
            raise SubRequestError(MissingReason.SHED, not_run=True)
        await self._clock.sleep_ms(wait_ms)

    async def _may_go_on(
        self, part: SearchPart, attempt: Attempt, error: SubRequestError
    ) -> bool:
        """Return whether to ask again, after the wait before it."""
        if part.requests >= _MOST_REQUESTS or not part.tried:
            return False
        if error.reason is MissingReason.SNAPSHOT_GONE and not self._has_holder(part):
            return False
        if not self._policy.allow_retry(part.state, error):
            self._counters.add(CounterKind.RETRIES_WITHHELD, error.reason.value)
            return False
        if error.reason is MissingReason.CONNECTION_LOST and self._policy.sheds_load:
            return await self._retry_lost(part, attempt)
        self._counters.add(CounterKind.RETRIES, error.reason.value)
        pools = self._pools.of_service(part.service)
        same_server = all(pool in part.tried for pool in pools)
        await self._clock.sleep_ms(self._policy.retry_delay_ms(same_server))
        return True

    async def _retry_lost(self, part: SearchPart, attempt: Attempt) -> bool:
        """Return whether to ask again after a lost connection.

        A request that crashes servers shows as connections lost, at several
        services at once. Retrying all of them together would crash the
        second server of each; so one part goes first, and the others wait
        for what becomes of it.
        """
        async with self._lost_turn:
            if self._loss_is_harmless:
                return True
            if self._quarantine.is_refused(self._task.fingerprint):
                return False
            self._counters.add(CounterKind.RETRIES, "connection_lost")
            try:
                rows = await self._ask(part, attempt)
            except SubRequestError:
                return False
            self._loss_is_harmless = True
            self._settle_answered(part, attempt, rows)
        return True

    def _why_missing(self, error: SubRequestError) -> MissingReason:
        lost = error.reason is MissingReason.CONNECTION_LOST
        if lost and self._quarantine.is_refused(self._task.fingerprint):
            return MissingReason.QUARANTINED
        return error.reason

    def _has_holder(self, part: SearchPart) -> bool:
        now_ms = self._clock.now_ms()
        return any(
            pool.health.may_hold_snapshot(self._task.snapshot.name, now_ms)
            and not pool.is_draining
            for pool in self._pools.of_service(part.service)
        )

    def _note_lost(self, part: SearchPart, pool: BackendPool) -> None:
        if self._policy.sheds_load:
            self._quarantine.note_lost(
                self._task.fingerprint, part.service, pool.server.name
            )

    def _note_answered(self, part: SearchPart) -> None:
        self._quarantine.note_answered(self._task.fingerprint, part.service)
        if self._trial_passed is not None:
            self._trial_passed.set()

    def _settle_answered(
        self, part: SearchPart, winner: Attempt, rows: SearchRows
    ) -> None:
        if part.is_settled:
            return
        part.rows = rows
        self._answered += 1
        for attempt in part.attempts:
            if attempt is not winner:
                self._counters.add(CounterKind.CANCELLATIONS, "hedge_lost")
                attempt.scope.cancel()
        self._settled(part)
        progress = Progress(len(self.parts), self._answered, self.elapsed_ms)
        if self._straggler_at_ms == math.inf:
            limit_ms = self._policy.straggler_limit_ms(self._task.purpose, progress)
            self._straggler_at_ms = self._started_ms + limit_ms

    def _settle_missing(self, part: SearchPart, reason: MissingReason) -> None:
        part.missing = reason
        self._settled(part)
        gone = reason is MissingReason.SNAPSHOT_GONE
        if gone and self._wants_restart(self):
            self.restart = True
            self._nursery.cancel_scope.cancel()
        if self._trial_passed is not None and not self._trial_passed.is_set():
            self._nursery.cancel_scope.cancel()

    def _settled(self, part: SearchPart) -> None:
        self._open -= 1
        if not self._open:
            self._nursery.cancel_scope.cancel()

    async def _watch(self) -> None:
        """Hedge slow parts, free stranded ones and cut off stragglers."""
        waits = self._hedge_times()
        while self._open:
            now_ms = self._clock.now_ms()
            if now_ms >= self._straggler_at_ms:
                self._counters.add(CounterKind.CANCELLATIONS, "straggler", self._open)
                return
            while waits and waits[-1].at_ms <= now_ms:
                self._hedge(waits.pop().part)
            if waits and waits[-1].part.is_settled:
                waits.pop()
                continue
            if self._policy.sheds_load:
                self._give_up_unreachable(now_ms)
                self._free_stranded()
            wake_at_ms = min(now_ms + _WATCH_MS, self._straggler_at_ms)
            if waits:
                wake_at_ms = min(wake_at_ms, waits[-1].at_ms)
            await self._clock.sleep_ms(max(wake_at_ms - now_ms, _SHORTEST_WATCH_MS))

    def _hedge_times(self) -> list[_HedgeTime]:
        """Return when each part is to be hedged, the soonest last."""
        times = [
            _HedgeTime(self._started_ms + delay_ms, part)
            for part in self.parts
            if (delay_ms := self._policy.hedge_delay_ms(part.state)) != math.inf
        ]
        times.sort(key=_hedge_at_ms, reverse=True)
        return times

    def _hedge(self, part: SearchPart) -> None:
        if part.is_settled or not part.attempts or part.hedged:
            return
        part.hedged = True
        if not self._has_other(part):
            return
        if not self._try_hedge(part):
            self._counters.add(CounterKind.HEDGES_WITHHELD, "budget")
            return
        self._counters.add(CounterKind.HEDGES, "slow")
        self._nursery.start_soon(self._attempt, part)

    def _try_hedge(self, part: SearchPart) -> bool:
        """Take a hedged request from both budgets, or from none."""
        retry_budget = part.state.retry_budget
        if retry_budget.tokens < 1.0 or not self._hedge_budget.try_spend():
            return False
        return retry_budget.try_spend()

    def _has_other(self, part: SearchPart) -> bool:
        """Return whether a server that was not tried can take a hedged request."""
        now_ms = self._clock.now_ms()
        return any(
            pool not in part.tried
            and not pool.health.ejected
            and not pool.is_draining
            and pool.health.not_before_ms <= now_ms
            and pool.health.may_hold_snapshot(self._task.snapshot.name, now_ms)
            for pool in self._pools.of_service(part.service)
        )

    def _give_up_unreachable(self, now_ms: float) -> None:
        """Report services as missing none of whose servers answers.

        When a zone is cut off, or all replicas freeze, every search of the
        service would wait for its deadline, and the rest of its answer with
        it. Ejected servers are still asked when there is no other, so that
        the first search after the fault is answered, but no longer than it
        takes to suspect a silence. A server that answers anything meanwhile
        is slow and not gone, and is waited for.
        """
        for part in self.parts:
            if part.is_settled or not part.is_unreachable(now_ms):
                continue
            if self._has_server_in_use(part):
                continue
            self._counters.add(CounterKind.CANCELLATIONS, "unreachable")
            for attempt in part.attempts:
                attempt.scope.cancel()
            self._settle_missing(part, MissingReason.TIMED_OUT)

    def _has_server_in_use(self, part: SearchPart) -> bool:
        return any(
            not pool.health.ejected and not pool.is_draining
            for pool in self._pools.of_service(part.service)
        )

    def _free_stranded(self) -> None:
        """Ask again for parts whose server or connection was given up.

        A connection that went silent, or a server that froze, brings neither
        an answer nor an error; what waits there would wait for its deadline.
        The first try goes on beside, in case its answer still comes.
        """
        for part in self.parts:
            if part.is_settled or part.freed or not part.is_stranded:
                continue
            part.freed = True
            if part.state.retry_budget.try_spend():
                self._counters.add(CounterKind.RETRIES, "silent")
                self._nursery.start_soon(self._attempt, part)
            else:
                self._counters.add(CounterKind.RETRIES_WITHHELD, "silent")


class _HedgeTime:
    """When a part is to be hedged."""

    __slots__ = ("at_ms", "part")

    def __init__(self, at_ms: float, part: SearchPart) -> None:
        self.at_ms = at_ms
        self.part = part


def _hedge_at_ms(time: _HedgeTime) -> float:
    return time.at_ms
