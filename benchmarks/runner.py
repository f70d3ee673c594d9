"""Runs one scenario: a deployment, the load process and the fault."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import trio

from benchmarks.figures import BackendTotals, Figures, figures_of
from benchmarks.plan import LoadPlan, LoadResult, Target
from benchmarks.shapes import shape_of
from ibisfront.testing.deployment import Deployment
from ibisfront.testing.processes import RunningProcess

if TYPE_CHECKING:
    from benchmarks.scenarios import Scenario

__all__ = ["BASELINE", "OURS", "Run", "run_scenario"]

OURS = "ours"
BASELINE = "baseline"

_RESULT_PREFIX = "{"
_LOAD_GRACE_S = 40.0
_POLICY_SETTINGS = {
    OURS: "",
    BASELINE: '[query]\npolicy = "baseline"\n',
}


class Run(msgspec.Struct, frozen=True):
    """One scenario under one policy, and its figures."""

    user: str
    scenario: str
    policy: str
    figures: Figures


async def run_scenario(scenario: Scenario, *, user: str, policy: str, seed: int) -> Run:
    """Run one scenario and return its figures.

    Parameters
    ----------
    scenario : Scenario
        Load and fault.
    user : {"mailing", "listing"}
        User whose deployment is run.
    policy : {"ours", "baseline"}
        Query policy of the instances.
    seed : int
        Seed of the random arrivals.
    """
    shape = shape_of(
        user, settings_text=_POLICY_SETTINGS[policy], relayed=scenario.relayed
    )
    async with Deployment(shape) as deployment:
        plan = LoadPlan(
            targets=tuple(
                Target(instance.name, instance.zone, instance.caller_address)
                for instance in deployment.instances
            ),
            classes=scenario.classes,
            duration_s=scenario.duration_s,
            seed=seed,
        )
        result = await _load(deployment, scenario, plan)
        totals = await _totals(deployment)
    return Run(user, scenario.name, policy, figures_of(result, totals))


async def _load(
    deployment: Deployment, scenario: Scenario, plan: LoadPlan
) -> LoadResult:
    path = deployment.folder / "plan.json"
    path.write_bytes(msgspec.json.encode(plan))
    arguments = ["-m", "benchmarks.load", str(path)]
    async with (
        RunningProcess(arguments, log_path=str(deployment.folder / "load.log")) as load,
        trio.open_nursery() as nursery,
    ):
        nursery.start_soon(scenario.fault, deployment)
        with trio.fail_after(scenario.duration_s + _LOAD_GRACE_S):
            printed = await load.read_prefixed(_RESULT_PREFIX)
    return msgspec.json.decode(_RESULT_PREFIX + printed, type=LoadResult)


async def _totals(deployment: Deployment) -> BackendTotals:
    searches = 0
    performed: list[str] = []
    for state in await deployment.backend_states():
        if state.service == "queue":
            runs = await deployment.performed(state.name)
            performed.extend(run.request["marker"] for run in runs)
            continue
        counts = state.counts
        searches += counts.runs + counts.shed + counts.refused_draining
        searches += counts.refused_cold + counts.refused_snapshot
    return BackendTotals(searches, tuple(performed))
