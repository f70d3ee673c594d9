"""Callers of a soak run that send keys of several workspaces."""

from __future__ import annotations

import itertools
from random import Random
from typing import TYPE_CHECKING

import trio

from ibisfront.testing.soak.callers import RequestPath, SoakCaller
from ibisfront.testing.soak.workspaces import (
    FLOODED,
    STEADY,
    SoakWorkspaces,
    draw_changes,
    key_of,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from ibisfront.core.clock import Clock
    from ibisfront.testing.soak.callers import Outcome
    from ibisfront.testing.soak.fronts import SoakFront

__all__ = ["WorkspaceLoad"]

_FLOOD_CALLERS = 8
_FLOOD_PAUSE_S = 0.2
"""Pause of one flooding caller: all together send some 40 requests a second."""

_KEY_PAUSE_S = 0.05
_RETIRED_KEYS = 4
"""Revoked keys, the latest ones, that are still sent."""

_FLOOD_PATHS = (RequestPath.FETCH, RequestPath.FETCH, RequestPath.SEARCH)
_KEY_PATHS = (
    RequestPath.FETCH,
    RequestPath.SEARCH,
    RequestPath.ORDER,
    RequestPath.OPEN,
)


class WorkspaceLoad:
    """Changes the workspaces of a run and sends requests with their keys.

    Parameters
    ----------
    seed : int
        Seed of the run.
    fronts : sequence of SoakFront
        The front processes.
    put_configuration : callable
        Writes a new version, which has the workspaces.
    clock : Clock
        Clock of the soak run.

    Attributes
    ----------
    workspaces : SoakWorkspaces
        The workspaces.
    outcomes : list of Outcome
        The requests that were sent.
    """

    def __init__(
        self,
        seed: int,
        *,
        fronts: Sequence[SoakFront],
        put_configuration: Callable[[], None],
        clock: Clock,
    ) -> None:
        self._seed = seed
        self._fronts = fronts
        self._put_configuration = put_configuration
        self._clock = clock
        self.workspaces = SoakWorkspaces()
        self.outcomes: list[Outcome] = []

    async def run(self, length_s: float, settle_s: float) -> None:
        """Send requests until cancelled."""
        async with trio.open_nursery() as nursery:
            for number in range(_FLOOD_CALLERS):
                nursery.start_soon(self._flood, number)
            for front in self._fronts:
                nursery.start_soon(self._send_keys, front)
            nursery.start_soon(self._change, length_s, settle_s)

    async def _change(self, length_s: float, settle_s: float) -> None:
        started_s = trio.current_time()
        for change in draw_changes(self._seed, length_s=length_s, settle_s=settle_s):
            await trio.sleep_until(started_s + change.at_s)
            self.workspaces.apply(change)
            self._put_configuration()

    async def _flood(self, number: int) -> None:
        """Send requests of the flooded workspace to all fronts in turn."""
        caller = SoakCaller(
            f"flood{self._seed}n{number}", clock=self._clock, key=key_of(FLOODED)
        )
        for count in itertools.count(number):
            front = self._fronts[count // 4 % len(self._fronts)]
            path = _FLOOD_PATHS[count % len(_FLOOD_PATHS)]
            await self._send(caller, path, front)
            await trio.sleep(_FLOOD_PAUSE_S)

    async def _send_keys(self, front: SoakFront) -> None:
        """Send live, revoked, unknown and no keys to one front."""
        name = f"keys{self._seed}{front.name}"
        random = Random(name)
        caller = SoakCaller(name, clock=self._clock)
        while True:
            caller.key = random.choice(
                [
                    *self.workspaces.changing_keys,
                    *self.workspaces.retired_keys[-_RETIRED_KEYS:],
                    key_of("unknown", random.randrange(1_000)),
                    "",
                ]
            )
            caller.claimed_workspace = random.choice(["", STEADY, FLOODED])
            await self._send(caller, random.choice(_KEY_PATHS), front)
            await trio.sleep(_KEY_PAUSE_S)

    async def _send(
        self, caller: SoakCaller, path: RequestPath, front: SoakFront
    ) -> None:
        outcome = await caller.send_request(path, front.label, front.callers_proxy)
        self.outcomes.append(outcome)
