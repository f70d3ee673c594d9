"""The faults that the bench runs the deployments under."""

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
_FAULT_FOR_S = 2.0
_STOP_PAUSE_S = 0.3
_CRASH_MARKER = "crash-this-server"
_BASE_RATE_PER_S = 8.0
_FLOOD_FACTOR = 10.0
_OVERLOAD_RATE_PER_S = 60.0


class Scenario(msgspec.Struct, frozen=True):
    """One run: what is sent and what goes wrong.

    Attributes
    ----------
    name : str
        Its name in the report.
    classes : tuple of LoadClass
        What is sent.
    fault : callable
        Runs beside the load from the start of the run.
    duration_s : float
        How long requests are sent.
    relayed : bool
        Whether the deployment's zones can be cut off from each other.
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
    once = LoadClass(
        name="once",
        branch="branch-b",
        purpose="once",
        kind="perform",
        rate_per_s=4.0,
        copies=2,
        deadline_ms=2000,
    )
    return (*searches, once)


async def _no_fault(deployment: Deployment) -> None:
    """Let everything run well."""


def _on_servers(*servers: str, **faults: object) -> Fault:
    async def fault(deployment: Deployment) -> None:
        await trio.sleep(_FAULT_AT_S)
        for server in servers:
            await deployment.command_backend(server, "faults", **faults)

    return fault


async def _straggle(deployment: Deployment) -> None:
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
    await trio.sleep(_FAULT_FOR_S)
    await deployment.set_platform_faults(outage="none")


async def _zone_cut(deployment: Deployment) -> None:
    await trio.sleep(_FAULT_AT_S)
    await deployment.partition_zone(deployment.shape.zones[-1])
    await trio.sleep(_FAULT_FOR_S)
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
        await trio.sleep(_STOP_PAUSE_S)


async def _kill_instance(deployment: Deployment) -> None:
    await trio.sleep(_FAULT_AT_S)
    deployment.instances[0].process.send(signal.SIGKILL)


async def _freeze_instance(deployment: Deployment) -> None:
    await trio.sleep(_FAULT_AT_S)
    deployment.instances[0].process.send(signal.SIGSTOP)
    await trio.sleep(_FAULT_FOR_S)
    deployment.instances[0].process.send(signal.SIGCONT)


def _load_of(name: str, *, rate_per_s: float) -> LoadClass:
    return LoadClass(
        name=name,
        branch=FLOODED_BRANCH,
        purpose="bulk",
        rate_per_s=rate_per_s,
        start_s=_FAULT_AT_S,
        end_s=_FAULT_AT_S + _FAULT_FOR_S,
        deadline_ms=500,
    )


_CRASHING = LoadClass(
    name="crashing",
    branch="branch-c",
    purpose="bulk",
    rate_per_s=3.0,
    marker=_CRASH_MARKER,
)

_ORDINARY = _ordinary_load()

SCENARIOS = (
    Scenario("healthy", _ORDINARY, _no_fault),
    Scenario("stragglers", _ORDINARY, _straggle),
    Scenario("server killed", _ORDINARY, _kill_server),
    Scenario("server frozen", _ORDINARY, _on_servers("part-00-0", frozen=True)),
    Scenario("server silent", _ORDINARY, _silence_server),
    Scenario("server drained", _ORDINARY, _on_servers("part-00-0", draining=True)),
    Scenario(
        "service out",
        _ORDINARY,
        _on_servers("part-00-0", "part-00-1", frozen=True),
    ),
    Scenario("crashing request", (*_ORDINARY, _CRASHING), _crashing_request),
    Scenario("platform out", _ORDINARY, _platform_outage),
    Scenario("zone cut off", _ORDINARY, _zone_cut, relayed=True),
    Scenario("instance killed", _ORDINARY, _kill_instance),
    Scenario("instance frozen", _ORDINARY, _freeze_instance),
    Scenario("rolling restart", _ORDINARY, _rolling_restart, 12.0),
    Scenario(
        "branch floods",
        (*_ORDINARY, _load_of("flood", rate_per_s=_FLOOD_FACTOR * _BASE_RATE_PER_S)),
        _no_fault,
    ),
    Scenario(
        "overload and end",
        (*_ORDINARY, _load_of("overload", rate_per_s=_OVERLOAD_RATE_PER_S)),
        _on_servers(),
        8.0,
    ),
)


def scenario_named(name: str) -> Scenario:
    """Return the scenario of a name.

    Raises
    ------
    ValueError
        If there is none.
    """
    for scenario in SCENARIOS:
        if scenario.name == name:
            return scenario
    known = ", ".join(repr(scenario.name) for scenario in SCENARIOS)
    raise ValueError(f"no scenario {name!r}; there are {known}")
