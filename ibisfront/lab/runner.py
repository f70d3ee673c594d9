"""Runs a load pattern in virtual time."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import numpy as np
import trio
import trio.testing

from ibisfront.core.clock import Clock
from ibisfront.lab.callers import Callers, draw_arrivals
from ibisfront.lab.deployment import Deployment
from ibisfront.lab.results import Recorder
from ibisfront.lab.scheduler import EventScheduler

if TYPE_CHECKING:
    from ibisfront.lab.pattern import Pattern
    from ibisfront.lab.results import RunResult

__all__ = ["run_pattern"]


def run_pattern(pattern: Pattern, *, seed: int) -> RunResult:
    """Run a pattern once; the same seed gives the same result.

    Parameters
    ----------
    pattern : Pattern
        The pattern.
    seed : int
        Seed for arrivals, service times and the servers that faults affect. Arrivals
        and faults depend on the seed alone, not on the tier's decisions.
    """
    # The gateway makes random choices, and trio randomizes the order of tasks.
    random.seed(seed)
    _make_task_order_deterministic(seed)
    clock = trio.testing.MockClock(autojump_threshold=0.0)
    return trio.run(_run, pattern, seed, clock=clock)


async def _run(pattern: Pattern, seed: int) -> RunResult:
    callers_random, servers_random = (
        np.random.default_rng(item) for item in np.random.SeedSequence(seed).spawn(2)
    )
    clock = Clock()
    scheduler = EventScheduler()
    recorder = Recorder()
    async with trio.open_nursery() as nursery:
        deployment = Deployment(
            pattern,
            random=servers_random,
            scheduler=scheduler,
            clock=clock,
            nursery=nursery,
        )
        nursery.start_soon(scheduler.run)
        nursery.start_soon(deployment.probe_servers)
        callers = Callers(
            pattern, gateways=deployment.gateways, recorder=recorder, clock=clock
        )
        arrivals = draw_arrivals(pattern, callers_random)
        await callers.run(arrivals)
        nursery.cancel_scope.cancel()
    servers = deployment.servers
    return recorder.result(
        pattern.title,
        seed,
        primaries=len(arrivals) * pattern.shards,
        received_requests=sum(server.received_requests for server in servers),
        shed=sum(server.shed for server in servers),
    )


def _make_task_order_deterministic(seed: int) -> None:
    """Make trio run tasks that are ready at the same time in a reproducible order.

    trio has this switch for property tests, without a public API.
    """
    trio_run = trio._core._run
    trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True  # type: ignore[misc]
    trio_run._r.seed(seed)
