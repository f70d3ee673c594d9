"""One soak run: a deployment on this machine, its faults and its checks."""

from __future__ import annotations

import itertools
import signal
from collections import Counter
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import trio

from ibisfront.core.clock import Clock
from ibisfront.testing.object_store import FakeObjectStore
from ibisfront.testing.soak.backends import SoakBackends
from ibisfront.testing.soak.callers import Outcome, RequestPath, SoakCaller
from ibisfront.testing.soak.checks import (
    Failure,
    Shape,
    check_budget,
    check_crashes,
    check_drained,
    check_errors,
    check_late_copies,
    check_orders,
    check_responses,
    check_stops,
    check_versions,
    extra_windows,
)
from ibisfront.testing.soak.contact import Troubles
from ibisfront.testing.soak.documents import configuration_document
from ibisfront.testing.soak.faults import (
    Fault,
    FaultKind,
    draw_faults,
    draw_overload,
)
from ibisfront.testing.soak.fronts import (
    CONTACT_MS,
    EXTRA_ALLOWANCE,
    EXTRA_RATIO,
    EXTRA_WINDOW_MS,
    SoakFront,
)
from ibisfront.testing.soak.injection import FaultInjector
from ibisfront.testing.soak.report import SoakReport
from ibisfront.testing.soak.workspace_load import WorkspaceLoad
from ibisfront.testing.soak.workspace_report import add_workspaces
from ibisfront.testing.soak.workspaces import STEADY, key_of

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence
    from pathlib import Path

__all__ = ["SoakWorld", "require_unique_ids"]

_GENERATIONS = 3
_SHARDS = 6
_COPIES = 2
_CALLER_PAUSE_S = 0.02
_CRASH_PAUSE_S = 0.25
_CRASH_CALLERS = 3
_STALL_POLL_S = 0.05
_EXIT_CODES = (0, -signal.SIGKILL, -signal.SIGTERM, -signal.SIGHUP)
"""Exit codes after the signals that are sent; the last two before the interpreter runs
the daemon."""

_SETTLE_S = 9.0
"""After all faults: the contact bound, the drain bound and 2 s more."""

_WORKSPACES_SETTLE_S = 12.0
"""With workspaces: the contact bound, a window of their limits and 3 s more."""

_RECOVERY_TIMEOUT_S = 30.0
"""Time for every front to serve again; far beyond its bound, so that the result
does not depend on the load of the machine."""


class SoakWorld:
    """A deployment under injected faults.

    Parameters
    ----------
    seed : int
        Seed from which the faults are drawn.
    folder : Path
        Directory for settings and logs.
    fronts, callers : int
        Number of front processes and of concurrent callers.
    length_s : float
        Duration of the fault phase.
    faults : sequence of Fault, optional
        Faults to inject instead of those drawn from the seed.
    settle_s : float, optional
        Pause between the last fault and the final requests.
    has_crashing_requests : bool
        Whether copies of a request that crashes servers are sent all the time.
    has_workspaces : bool
        Whether callers need keys of workspaces, which change.

    Attributes
    ----------
    fronts : list of SoakFront
        The front processes.
    """

    def __init__(
        self,
        seed: int,
        folder: Path,
        *,
        fronts: int,
        callers: int,
        length_s: float,
        faults: Sequence[Fault] | None = None,
        settle_s: float | None = None,
        has_crashing_requests: bool = True,
        has_workspaces: bool = False,
    ) -> None:
        if faults is None:
            faults = [
                *draw_faults(seed, length_s=length_s),
                *draw_overload(seed, length_s=length_s),
            ]
            faults.sort(key=lambda fault: fault.at_s)
        self._planned_faults = faults
        if settle_s is None:
            settle_s = _WORKSPACES_SETTLE_S if has_workspaces else _SETTLE_S
        self._settle_s = settle_s
        self._seed = seed
        self._length_s = length_s
        self._clock = Clock()
        self._store = FakeObjectStore()
        self._folder = folder
        self.fronts = [SoakFront(number, folder) for number in range(fronts)]
        self._load: WorkspaceLoad | None = None
        self._key = ""
        if has_workspaces:
            self._key = key_of(STEADY)
            self._load = WorkspaceLoad(
                seed,
                fronts=self.fronts,
                put_configuration=self._put_configuration,
                clock=self._clock,
            )
        self._callers = [self._caller(f"s{seed}c{n}") for n in range(callers)]
        self._backends = SoakBackends(self._store, clock=self._clock)
        self._troubles = Troubles(contact_ms=CONTACT_MS)
        self._injector = FaultInjector(
            fronts=self.fronts,
            backends=self._backends,
            store=self._store,
            change_configuration=self._change_configuration,
            troubles=self._troubles,
            clock=self._clock,
        )
        self._outcomes: list[Outcome] = []
        self._crash_outcomes: list[Outcome] = []
        self._has_crashing_requests = has_crashing_requests
        self._faults_ended_ms = 0.0
        self._longest_stall_ms = 0.0
        self._bad_exits: list[str] = []
        self._version = 0
        self._generation = 0
        self._timeout_ms = 1_200
        self._fault_counts: Counter[str] = Counter()
        names = tuple(
            tuple(f"g{generation}-part-{shard}" for shard in range(_SHARDS))
            for generation in range(_GENERATIONS)
        )
        self._shape = Shape(names)

    def _caller(self, name: str) -> SoakCaller:
        return SoakCaller(name, clock=self._clock, key=self._key)

    async def run(self) -> SoakReport:
        """Run the deployment under faults and check the results."""
        async with self._running() as nursery:
            first = await self._wait_until_served("first")
            nursery.start_soon(self._send_crashing_requests)
            nursery.start_soon(self._measure_stalls)
            if self._load is not None:
                nursery.start_soon(self._load.run, self._length_s, self._settle_s)
            async with trio.open_nursery() as load:
                for caller in self._callers:
                    load.start_soon(self._run_caller, caller)
                await self._inject_faults(nursery)
                load.cancel_scope.cancel()
            self._faults_ended_ms = self._clock.now_ms()
            await trio.sleep(self._settle_s)
            last = await self._wait_until_served("last")
        return self._report(first, last)

    @asynccontextmanager
    async def _running(self) -> AsyncIterator[trio.Nursery]:
        async with trio.open_nursery() as nursery, self._store.running():
            services = [name for names in self._shape.generations for name in names]
            for service in (*services, self._shape.fetch, self._shape.order):
                for copy in range(_COPIES):
                    await self._backends.add(nursery, service, f"z{copy}")
            self._put_configuration()
            seeds = [front.control_address for front in self.fronts[:3]]
            for front in self.fronts:
                front.store_proxy.target = self._store.address
                await nursery.start(front.store_proxy.run)
                await nursery.start(front.callers_proxy.run)
                front.write_settings(seeds)
                with self._troubles.recording(self._clock, front=front.name):
                    await front.start()
                nursery.start_soon(self._restart_ended, front)
            try:
                yield nursery
            finally:
                with trio.CancelScope(shield=True):
                    for front in self.fronts:
                        await front.close()
                nursery.cancel_scope.cancel()

    async def _restart_ended(self, front: SoakFront) -> None:
        """Start a front again whenever it ends, as the platform does."""
        while True:
            exit_code = await front.wait()
            if front.is_closed:
                return
            if exit_code not in _EXIT_CODES:
                self._bad_exits.append(f"{front.label} ended with {exit_code}")
            with self._troubles.recording(self._clock, front=front.name):
                await front.start()

    def _put_configuration(self) -> None:
        self._version += 3
        workspaces = None if self._load is None else self._load.workspaces
        document = configuration_document(
            self._shape,
            version=self._version,
            generation=self._generation,
            timeout_ms=self._timeout_ms,
            workspaces=[] if workspaces is None else workspaces.document(),
        )
        self._store.put("config", "main", document)
        if workspaces is not None:
            workspaces.record_version(self._clock.now_ms())

    async def _run_caller(self, caller: SoakCaller) -> None:
        """Send requests until cancelled, eight in a row to each front."""
        paths = [RequestPath.SEARCH, RequestPath.FETCH, RequestPath.ORDER]
        number = 0
        while True:
            number += 1
            front = self.fronts[number // 8 % len(self.fronts)]
            outcome = await caller.send_request(
                paths[number % len(paths)], front.label, front.callers_proxy
            )
            self._outcomes.append(outcome)
            await trio.sleep(_CALLER_PAUSE_S)

    async def _send_crashing_requests(self) -> None:
        """Send copies of a request that crashes servers, three at the same moment.

        Each goes to another front, all fronts in turn.
        """
        callers = [
            self._caller(f"crash{self._seed}-{number}")
            for number in range(_CRASH_CALLERS)
        ]
        fronts = itertools.cycle(self.fronts)
        while self._has_crashing_requests:
            async with trio.open_nursery() as nursery:
                for caller in callers:
                    nursery.start_soon(self._send_copy, caller, next(fronts))
            await trio.sleep(_CRASH_PAUSE_S)

    async def _send_copy(self, caller: SoakCaller, front: SoakFront) -> None:
        outcome = await caller.send_request(
            RequestPath.CRASH, front.label, front.callers_proxy
        )
        self._crash_outcomes.append(outcome)

    async def _wait_until_served(self, phase: str) -> list[Outcome]:
        """Wait until each front serves a search; return the requests sent."""
        outcomes: list[Outcome] = []
        with trio.move_on_after(_RECOVERY_TIMEOUT_S):
            for front in self.fronts:
                caller = self._caller(f"{phase}{self._seed}{front.label}")
                while (
                    not outcomes
                    or outcomes[-1].status != 200
                    or (outcomes[-1].front != front.label)
                ):
                    outcomes.append(
                        await caller.send_request(
                            RequestPath.SEARCH, front.label, front.callers_proxy
                        )
                    )
                    await trio.sleep(_CALLER_PAUSE_S)
            return outcomes
        self._fault_counts["unserved"] += 1
        return outcomes

    async def _measure_stalls(self) -> None:
        """Measure how long this process, which runs the store and servers, stalled."""
        while True:
            before_ms = self._clock.now_ms()
            await trio.sleep(_STALL_POLL_S)
            stall_ms = self._clock.now_ms() - before_ms - _STALL_POLL_S * 1000.0
            self._longest_stall_ms = max(self._longest_stall_ms, stall_ms)

    async def _inject_faults(self, nursery: trio.Nursery) -> None:
        started_s = trio.current_time()
        async with trio.open_nursery() as injections:
            for fault in self._planned_faults:
                await trio.sleep_until(started_s + fault.at_s)
                self._fault_counts[fault.kind.value] += 1
                injections.start_soon(self._injector.inject, fault, nursery)
            await trio.sleep_until(started_s + self._length_s)

    def _change_configuration(self, fault: Fault) -> None:
        if fault.kind is FaultKind.TIMEOUTS:
            self._timeout_ms = 900 + fault.variant
        elif self._generation + 1 < _GENERATIONS:
            self._generation += 1
        self._put_configuration()

    def _report(self, first: list[Outcome], last: list[Outcome]) -> SoakReport:
        outcomes = [*first, *self._outcomes, *self._crash_outcomes, *last]
        load = self._load
        if load is not None:
            outcomes += load.outcomes
        require_unique_ids(outcomes)
        records = self._backends.records
        windows = extra_windows(
            records.arrivals,
            self._shape.requested_ms(outcomes),
            window_ms=EXTRA_WINDOW_MS,
            ratio=EXTRA_RATIO,
            allowance=EXTRA_ALLOWANCE,
        )
        failures = [
            *check_responses(outcomes, self._shape),
            *check_orders(outcomes, records.executions),
            *check_versions(outcomes, self._shape),
            *check_stops(
                outcomes,
                records.executions,
                stops=self._injector.stops,
                disruptions=self._injector.disruptions,
            ),
            *check_drained(records.executions, last, self._backends.retired),
            *check_budget(windows),
            *check_crashes(
                records.executions,
                outcomes,
                quiet_from_ms=self._faults_ended_ms + CONTACT_MS,
            ),
            *check_late_copies(
                records,
                outcomes,
                contact_ms=CONTACT_MS,
                in_touch=self._troubles.in_touch,
            ),
        ]
        failures += check_errors({front.name: front.log for front in self.fronts})
        failures += [Failure("exit", "", detail) for detail in self._bad_exits]
        if self._fault_counts.pop("unserved", 0):
            failures.append(Failure("recovery", "", "a front did not recover"))
        served = sum(outcome.status == 200 for outcome in self._outcomes)
        report = SoakReport(
            seed=self._seed,
            requests=len(self._outcomes),
            served=served,
            faults=dict(self._fault_counts),
            failures=failures,
            longest_stall_ms=self._longest_stall_ms,
            fullest_window=max(
                (window.extras / window.allowed for window in windows), default=0.0
            ),
        )
        if load is not None:
            add_workspaces(
                report,
                load,
                outcomes,
                records.arrivals,
                fronts=[front.name for front in self.fronts],
                troubles=self._troubles,
                folder=self._folder,
            )
        return report


def require_unique_ids(outcomes: Sequence[Outcome]) -> None:
    """Raise ``RuntimeError`` if two requests of the soak share an id.

    The checks would attribute executions of the first to the second.
    """
    counts = Counter(outcome.request_id for outcome in outcomes)
    duplicates = [request_id for request_id, count in counts.items() if count > 1]
    if duplicates:
        raise RuntimeError(f"the soak used request ids twice: {duplicates[:5]}")
