"""Running a load pattern in virtual time."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import numpy as np
import trio
import trio.testing

from ibisfront.core.clock import Clock
from ibisfront.lab.agenda import Agenda
from ibisfront.lab.callers import Callers, arrivals
from ibisfront.lab.deployment import Deployment
from ibisfront.lab.results import Recorder

if TYPE_CHECKING:
    from ibisfront.lab.pattern import Pattern
    from ibisfront.lab.results import RunResult

__all__ = ["run_pattern"]


def run_pattern(pattern: Pattern, *, seed: int) -> RunResult:
    """Run a pattern once; the same seed gives the same result.

    Parameters
    ----------
    pattern : Pattern
        What happens.
    seed : int
        Draws callers, work and which servers a fault hits. Callers and faults of one
        seed are the same whatever the tier decides.
    """
    # The product varies its choices at random, and trio the order of tasks.
    random.seed(seed)
    _fix_task_order(seed)
    clock = trio.testing.MockClock(autojump_threshold=0.0)
    return trio.run(_run, pattern, seed, clock=clock)


async def _run(pattern: Pattern, seed: int) -> RunResult:
    callers_random, servers_random = (
        np.random.default_rng(item) for item in np.random.SeedSequence(seed).spawn(2)
    )
    clock = Clock()
    agenda = Agenda()
    recorder = Recorder()
    async with trio.open_nursery() as nursery:
        deployment = Deployment(
            pattern, random=servers_random, agenda=agenda, clock=clock, nursery=nursery
        )
        nursery.start_soon(agenda.run)
        nursery.start_soon(deployment.keep_up)
        callers = Callers(
            pattern, gateways=deployment.gateways, recorder=recorder, clock=clock
        )
        coming = arrivals(pattern, callers_random)
        await callers.run(coming)
        nursery.cancel_scope.cancel()
    servers = deployment.servers
    return recorder.result(
        pattern.title,
        seed,
        primaries=len(coming) * pattern.shards,
        arrivals=sum(server.arrivals for server in servers),
        shed=sum(server.shed for server in servers),
    )


def _fix_task_order(seed: int) -> None:
    """Let trio run tasks that are ready together in an order that repeats.

    trio has this switch for property tests, and no public name for it.
    """
    scheduler = trio._core._run
    scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True  # type: ignore[misc]
    scheduler._r.seed(seed)
