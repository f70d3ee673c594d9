"""Fake backend server: slots, queue, snapshots and faults, without sockets.

All waits use :class:`ibisfront.core.clock.Clock`, so that tests run under
trio's mock clock. A caller cancels a request by cancelling the task that waits
for it.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from http import HTTPStatus

import msgspec
import trio

from ibisfront.core.clock import Clock
from ibisfront.testing.backend_records import RunLog, search_rows
from ibisfront.testing.backend_types import (
    BackendCounts,
    BackendFaults,
    BackendReply,
    BackendSettings,
    BackendState,
    ColdStart,
    ConnectionLost,
    CrashPoint,
    ErrorBody,
    LoadReport,
    LoadReportFault,
    NotRun,
    PerformResult,
    SearchResult,
    WorkRejected,
    WorkRequest,
)

__all__ = ["FakeBackend"]

FIRST_SNAPSHOT = "snapshot-1"


class FakeBackend:
    """One backend server of one service, used in-process or over HTTP.

    Parameters
    ----------
    service : str
        The service whose requests are run.
    name : str
        The server's name.
    settings : BackendSettings, optional
        Capacity and service times.
    clock : Clock, optional
        Time source.

    Attributes
    ----------
    on_crash : callable
        Called at each crash with the downtime in milliseconds.
    runs : RunLog
        The requests that were run.
    settings : BackendSettings
        Capacity and service times.
    """

    __slots__ = (
        "_clock",
        "_counts",
        "_crash_scopes",
        "_down_until_ms",
        "_faults",
        "_last_reply",
        "_load",
        "_load_at_ms",
        "_random",
        "_slots",
        "_snapshots",
        "_started_ms",
        "_unfrozen",
        "name",
        "on_crash",
        "runs",
        "service",
        "settings",
    )

    def __init__(
        self,
        service: str,
        name: str,
        *,
        settings: BackendSettings | None = None,
        clock: Clock | None = None,
    ) -> None:
        self.service = service
        self.name = name
        self.on_crash: Callable[[float], None] = lambda _down_ms: None
        self.settings = settings or BackendSettings()
        self._clock = clock or Clock()
        self._random = random.Random(f"{self.settings.seed}/{name}")
        self._faults = BackendFaults()
        self._snapshots: tuple[str, ...] = (FIRST_SNAPSHOT,)
        self._slots = trio.Semaphore(self.settings.slots)
        self._counts = BackendCounts()
        self.runs = RunLog()
        self._crash_scopes: set[trio.CancelScope] = set()
        self._started_ms = -math.inf
        self._down_until_ms = -math.inf
        self._unfrozen = trio.Event()
        self._unfrozen.set()
        self._last_reply: BackendReply | None = None
        self._load: LoadReport | None = None
        self._load_at_ms = -math.inf

    @property
    def faults(self) -> BackendFaults:
        """The active faults."""
        return self._faults

    @property
    def snapshots(self) -> tuple[str, ...]:
        """The snapshots held, newest last."""
        return self._snapshots

    def set_faults(self, faults: BackendFaults) -> None:
        """Replace all faults."""
        self._faults = faults
        if not faults.frozen:
            self._unfrozen.set()
        elif self._unfrozen.is_set():
            self._unfrozen = trio.Event()

    def set_snapshots(self, snapshots: tuple[str, ...]) -> None:
        """Replace the snapshots held, newest last."""
        self._snapshots = snapshots

    def state(self) -> BackendState:
        """Return the state for a test to read."""
        return BackendState(
            name=self.name,
            service=self.service,
            in_flight=self._in_flight(),
            queued=self._queued(),
            snapshots=self._snapshots,
            counts=self._counts,
            faults=self._faults,
        )

    async def wait_until_unfrozen(self) -> None:
        """Wait while the server is frozen."""
        await self._unfrozen.wait()

    def restart(self) -> None:
        """Restart the server; it is cold for ``faults.cold_ms``."""
        self._started_ms = self._clock.now_ms()

    def crash(self) -> None:
        """Drop all running and queued requests, and stay down for a time."""
        self._counts.crashes += 1
        down_ms = self._faults.crash_down_ms
        self._down_until_ms = self._clock.now_ms() + down_ms
        self._started_ms = self._down_until_ms
        for scope in self._crash_scopes:
            scope.cancel()
        self.on_crash(down_ms)

    async def load(self) -> LoadReport:
        """Return the load report, with its lag and its fault applied.

        Raises
        ------
        ConnectionLost
            If the server is down.
        """
        await self._check_up()
        now_ms = self._clock.now_ms()
        if self._load is None or now_ms - self._load_at_ms >= self._faults.load_lag_ms:
            self._load = self._actual_load()
            self._load_at_ms = now_ms
        match self._faults.load_lie:
            case LoadReportFault.IDLE:
                return msgspec.structs.replace(self._load, in_flight=0, draining=False)
            case LoadReportFault.BUSY:
                busy = self.settings.slots + self.settings.queue_limit
                return msgspec.structs.replace(self._load, in_flight=busy)
        return self._load

    async def healthz(self) -> None:
        """Return if the server is up.

        Raises
        ------
        ConnectionLost
            If the server is down.
        """
        await self._check_up()

    async def search(self, work: WorkRequest) -> BackendReply:
        """Run one search.

        Raises
        ------
        ConnectionLost
            If the server is down, crashes or drops the reply.
        """
        search_work = msgspec.structs.replace(work, snapshot=work.snapshot or "")
        return await self._serve(search_work, self._search)

    async def perform(self, work: WorkRequest) -> BackendReply:
        """Run one request that is not idempotent, and record the run.

        Raises
        ------
        ConnectionLost
            If the server is down, crashes or drops the reply.
        """
        return await self._serve(work, self._perform)

    def _search(self, work: WorkRequest) -> SearchResult:
        snapshot = work.snapshot or ""
        rows = search_rows(work.service, snapshot, work.request, self.settings.rows)
        return SearchResult(snapshot, rows)

    def _perform(self, work: WorkRequest) -> PerformResult:
        return PerformResult({"service": work.service, "request": work.request})

    async def _check_up(self) -> None:
        await self.wait_until_unfrozen()
        if self._clock.now_ms() < self._down_until_ms:
            raise ConnectionLost

    async def _serve(
        self,
        work: WorkRequest,
        execute: Callable[[WorkRequest], SearchResult | PerformResult],
    ) -> BackendReply:
        await self._check_up()
        reply: BackendReply | None = None
        with trio.CancelScope() as scope:
            self._crash_scopes.add(scope)
            try:
                reply = await self._serve_until_deadline(work, execute)
            except trio.Cancelled:
                self._counts.cancelled += not scope.cancel_called
                raise
            finally:
                self._crash_scopes.discard(scope)
        if reply is None:
            raise ConnectionLost
        return reply

    async def _serve_until_deadline(
        self,
        work: WorkRequest,
        execute: Callable[[WorkRequest], SearchResult | PerformResult],
    ) -> BackendReply:
        reply = self._reply(work, HTTPStatus.GATEWAY_TIMEOUT, ErrorBody("deadline"))
        budget_ms = math.inf if work.deadline_ms is None else work.deadline_ms
        with self._clock.timeout_ms(budget_ms) as scope:
            try:
                await self._run(work)
                reply = self._reply(work, HTTPStatus.OK, execute(work))
            except WorkRejected as rejected:
                reply = self._rejection(work, rejected)
        if scope.cancelled_caught:
            self._counts.deadline_exceeded += 1
        self._counts.answered += reply.status == HTTPStatus.OK
        return await self._apply_reply_faults(reply)

    async def _run(self, work: WorkRequest) -> None:
        crashes = self._has_crash_marker(work)
        self._check_can_run(work)
        await self._wait_for_slot()
        try:
            await self.wait_until_unfrozen()
            self._check_snapshot(work)
            if crashes and self._faults.crash_point is CrashPoint.BEFORE_RUNNING:
                await self._crash_and_wait()
            self._counts.runs += 1
            self.runs.add(work)
            await self._clock.sleep_ms(self._service_time_ms())
            await self.wait_until_unfrozen()
            if crashes:
                await self._crash_and_wait()
        finally:
            self._slots.release()
        if self._fault_applies(self._faults.fail_fraction):
            self._counts.failed += 1
            raise WorkRejected(HTTPStatus.INTERNAL_SERVER_ERROR, "failed")

    async def _crash_and_wait(self) -> None:
        self.crash()
        await trio.sleep_forever()  # cancelled by the crash

    def _check_can_run(self, work: WorkRequest) -> None:
        if work.service != self.service:
            self._counts.refused_bad += 1
            raise WorkRejected(HTTPStatus.BAD_REQUEST, f"not {work.service} here")
        if self._is_cold() and self._faults.cold_start is ColdStart.REFUSE:
            self._counts.refused_cold += 1
            raise WorkRejected(HTTPStatus.SERVICE_UNAVAILABLE, "cold", NotRun.COLD)
        if self._faults.draining:
            self._counts.refused_draining += 1
            raise WorkRejected(
                HTTPStatus.SERVICE_UNAVAILABLE, "draining", NotRun.DRAINING
            )
        self._check_snapshot(work)
        is_full = self._slots.value == 0 and self._queued() >= self.settings.queue_limit
        if self._faults.shedding or is_full:
            self._counts.shed += 1
            raise WorkRejected(HTTPStatus.SERVICE_UNAVAILABLE, "shed", NotRun.SHED)

    def _check_snapshot(self, work: WorkRequest) -> None:
        if work.snapshot is not None and work.snapshot not in self._snapshots:
            self._counts.refused_snapshot += 1
            raise WorkRejected(HTTPStatus.CONFLICT, f"does not hold {work.snapshot}")

    async def _wait_for_slot(self) -> None:
        if self._slots.value == 0:
            queued = self._queued() + 1
            self._counts.queued_peak = max(self._counts.queued_peak, queued)
        await self._slots.acquire()
        peak = max(self._counts.in_flight_peak, self._in_flight())
        self._counts.in_flight_peak = peak

    def _service_time_ms(self) -> float:
        settings = self.settings
        factor = math.exp(self._random.gauss(0.0, settings.service_sigma))
        duration_ms = settings.service_median_ms * factor
        if self._fault_applies(self._faults.straggle_fraction):
            duration_ms *= self._faults.straggle_factor
        if self._is_cold():
            duration_ms *= self._faults.cold_slow_factor
        return duration_ms

    async def _apply_reply_faults(self, reply: BackendReply) -> BackendReply:
        """Apply the reply faults."""
        faults = self._faults
        if self._fault_applies(faults.late_answer_fraction):
            await self._clock.sleep_ms(faults.late_answer_ms)
        await self.wait_until_unfrozen()
        if self._fault_applies(faults.lose_answer_fraction):
            raise ConnectionLost
        if self._fault_applies(faults.duplicate_answer_fraction):
            reply = msgspec.structs.replace(reply, copies=2)
        previous, self._last_reply = self._last_reply or reply, reply
        if self._fault_applies(faults.crossed_answer_fraction):
            return previous
        if self._fault_applies(faults.wrong_id_fraction):
            wrong_id = f"not-{reply.request_id}"
            return msgspec.structs.replace(reply, request_id=wrong_id)
        return reply

    def _reply(
        self,
        work: WorkRequest,
        status: HTTPStatus,
        body: SearchResult | PerformResult | ErrorBody,
    ) -> BackendReply:
        return BackendReply(
            status=status,
            body=body,
            request_id=work.request_id,
            snapshots=self._snapshots,
            draining=self._faults.draining,
        )

    def _rejection(self, work: WorkRequest, rejected: WorkRejected) -> BackendReply:
        reply = self._reply(work, rejected.status, ErrorBody(rejected.error))
        if rejected.not_run is None:
            return reply
        return msgspec.structs.replace(
            reply,
            not_run=rejected.not_run,
            retry_after_ms=self.settings.retry_after_ms,
        )

    def _has_crash_marker(self, work: WorkRequest) -> bool:
        marker = self._faults.crash_marker
        if marker is None:
            return False
        return marker in msgspec.json.encode(work.request).decode()

    def _fault_applies(self, fraction: float) -> bool:
        return self._random.random() < fraction

    def _is_cold(self) -> bool:
        return self._clock.now_ms() < self._started_ms + self._faults.cold_ms

    def _queued(self) -> int:
        return self._slots.statistics().tasks_waiting

    def _in_flight(self) -> int:
        return self.settings.slots - self._slots.value

    def _actual_load(self) -> LoadReport:
        return LoadReport(
            in_flight=self._in_flight() + self._queued(),
            slots=self.settings.slots,
            draining=self._faults.draining,
            snapshots=self._snapshots,
        )
