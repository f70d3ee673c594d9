"""Benchmark scenarios: the load on a deployment and its faults."""

from __future__ import annotations

import signal
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, TypeAlias

import msgspec
import trio

from benchmarks.plan import LoadClass
from benchmarks.shapes import FLOODED_BRANCH

if TYPE_CHECKING:
    from ibisfront.testing.deployment import Deployment

__all__ = ["SCENARIOS", "Scenario", "scenario_named"]

Fault: TypeAlias = Callable[["Deployment"], Awaitable[None]]

_FAULT_AT_S = 2.0
_FAULT_DURATION_S = 2.0
_RESTART_PAUSE_S = 0.3
_CRASH_MARKER = "crash-this-server"
_BASE_RATE_PER_S = 8.0
_FLOOD_RATE_FACTOR = 10.0
_OVERLOAD_RATE_PER_S = 60.0


class Scenario(msgspec.Struct, frozen=True):
    """Load and fault of one run.

    Attributes
    ----------
    name : str
        Name in the report.
    classes : tuple of LoadClass
        Classes of requests to send.
    fault : callable
        Task that runs concurrently with the load from the start of the run.
    duration_s : float
        Duration of the load.
    relayed : bool
        Whether the zones of the deployment can be partitioned.
    """

    name: str
    classes: tuple[LoadClass, ...]
    fault: Fault
    duration_s: float = 6.0
    relayed: bool = False


def _ordinary_load() -> tuple[LoadClass, ...]:
    searches = tuple(
        LoadClass(
            name=f"{branch}-{purpose}",
            branch=branch,
            purpose=purpose,
            rate_per_s=_BASE_RATE_PER_S,
        )
        for branch in (FLOODED_BRANCH, "branch-b", "branch-c")
        for purpose in ("urgent", "bulk")
    )
    performs = LoadClass(
        name="once",
        branch="branch-b",
        purpose="once",
        kind="perform",
        rate_per_s=4.0,
        copies=2,
        deadline_ms=2000,
    )
    return (*searches, performs)


async def _no_fault(deployment: Deployment) -> None:
    """Inject no fault."""


def _fault_on_servers(*servers: str, **faults: object) -> Fault:
    async def fault(deployment: Deployment) -> None:
        await trio.sleep(_FAULT_AT_S)
        for server in servers:
            await deployment.command_backend(server, "faults", **faults)

    return fault


async def _slow_requests(deployment: Deployment) -> None:
    for servers in deployment.backend_servers.values():
        for server in servers:
            await deployment.command_backend(
                server.name, "faults", straggle_fraction=0.01, straggle_factor=10.0
            )


async def _kill_server(deployment: Deployment) -> None:
    await trio.sleep(_FAULT_AT_S)
    await deployment.command_backend("part-00-0", "faults", crash_down_ms=60_000.0)
    await deployment.command_backend("part-00-0", "crash")


async def _silence_server(deployment: Deployment) -> None:
    await trio.sleep(_FAULT_AT_S)
    await deployment.command_backend("part-00-0", "silence")


async def _platform_outage(deployment: Deployment) -> None:
    await trio.sleep(_FAULT_AT_S)
    await deployment.set_platform_faults(outage="hang")
    await trio.sleep(_FAULT_DURATION_S)
    await deployment.set_platform_faults(outage="none")


async def _partition_zone(deployment: Deployment) -> None:
    await trio.sleep(_FAULT_AT_S)
    await deployment.partition_zone(deployment.shape.zones[-1])
    await trio.sleep(_FAULT_DURATION_S)
    await deployment.heal_partitions()


async def _crashing_request(deployment: Deployment) -> None:
    for servers in deployment.backend_servers.values():
        for server in servers:
            await deployment.command_backend(
                server.name, "faults", crash_marker=_CRASH_MARKER, crash_down_ms=500.0
            )


async def _rolling_restart(deployment: Deployment) -> None:
    await trio.sleep(1.0)
    for instance in list(deployment.instances):
        await deployment.replace_instance(instance)
        await trio.sleep(_RESTART_PAUSE_S)


async def _kill_instance(deployment: Deployment) -> None:
    await trio.sleep(_FAULT_AT_S)
    deployment.instances[0].process.send(signal.SIGKILL)


async def _freeze_instance(deployment: Deployment) -> None:
    await trio.sleep(_FAULT_AT_S)
    deployment.instances[0].process.send(signal.SIGSTOP)
    await trio.sleep(_FAULT_DURATION_S)
    deployment.instances[0].process.send(signal.SIGCONT)


def _burst_load(name: str, *, rate_per_s: float) -> LoadClass:
    return LoadClass(
        name=name,
        branch=FLOODED_BRANCH,
        purpose="bulk",
        rate_per_s=rate_per_s,
        start_s=_FAULT_AT_S,
        end_s=_FAULT_AT_S + _FAULT_DURATION_S,
        deadline_ms=500,
    )


_CRASHING_LOAD = LoadClass(
    name="crashing",
    branch="branch-c",
    purpose="bulk",
    rate_per_s=3.0,
    marker=_CRASH_MARKER,
)

_ORDINARY_LOAD = _ordinary_load()

SCENARIOS = (
    Scenario("healthy", _ORDINARY_LOAD, _no_fault),
    Scenario("stragglers", _ORDINARY_LOAD, _slow_requests),
    Scenario("server killed", _ORDINARY_LOAD, _kill_server),
    Scenario(
        "server frozen", _ORDINARY_LOAD, _fault_on_servers("part-00-0", frozen=True)
    ),
    Scenario("server silent", _ORDINARY_LOAD, _silence_server),
    Scenario(
        "server drained", _ORDINARY_LOAD, _fault_on_servers("part-00-0", draining=True)
    ),
    Scenario(
        "service out",
        _ORDINARY_LOAD,
        _fault_on_servers("part-00-0", "part-00-1", frozen=True),
    ),
    Scenario("crashing request", (*_ORDINARY_LOAD, _CRASHING_LOAD), _crashing_request),
    Scenario("platform out", _ORDINARY_LOAD, _platform_outage),
    Scenario("zone cut off", _ORDINARY_LOAD, _partition_zone, relayed=True),
    Scenario("instance killed", _ORDINARY_LOAD, _kill_instance),
    Scenario("instance frozen", _ORDINARY_LOAD, _freeze_instance),
    Scenario("rolling restart", _ORDINARY_LOAD, _rolling_restart, 12.0),
    Scenario(
        "branch floods",
        (
            *_ORDINARY_LOAD,
            _burst_load("flood", rate_per_s=_FLOOD_RATE_FACTOR * _BASE_RATE_PER_S),
        ),
        _no_fault,
    ),
    Scenario(
        "overload and end",
        (*_ORDINARY_LOAD, _burst_load("overload", rate_per_s=_OVERLOAD_RATE_PER_S)),
        _fault_on_servers(),
        8.0,
    ),
)


def scenario_named(name: str) -> Scenario:
    """Return the scenario with a name.

    Raises
    ------
    ValueError
        If there is no such scenario.
    """
    for scenario in SCENARIOS:
        if scenario.name == name:
            return scenario
    names = ", ".join(repr(scenario.name) for scenario in SCENARIOS)
    raise ValueError(f"unknown scenario {name!r}; the scenarios are {names}")
