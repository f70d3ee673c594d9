"""First contacts: the platform's list of instances, seeds, and the dead.

A cut ends without a word, so that members believed dead are greeted now and
then. The list is read by the instances that watch the platform and by those
that know nobody, so that its calls do not grow with the fleet.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import trio

from ibisfront.core.backoff import Backoff
from ibisfront.core.errors import IbisfrontError
from ibisfront.core.members import Member
from ibisfront.core.membership import RETRY_DEAD_MS

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from random import Random

    from ibisfront.core.clock import Clock
    from ibisfront.core.members import Members
    from ibisfront.core.membership import Membership
    from ibisfront.core.types import Address

__all__ = ["Discovery", "InstanceLister", "Introducer"]

LIST_EVERY_MS = 10_000.0
"""How often a watcher reads the platform's list of instances."""

ALONE_EVERY_MS = 1000.0
"""How often an instance that knows nobody tries the list and the seeds."""


class Introducer(Protocol):
    """Greets whoever is at an address."""

    def introduce(self, address: Address) -> None:
        """Greet whoever is at an address, to learn of each other."""
        ...


class InstanceLister(Protocol):
    """The call of the platform that first contacts come from."""

    async def members(self) -> Sequence[Member]:
        """Return the instances that the platform lists as live."""
        ...


class Discovery:
    """Finds the members that nobody has told of.

    Parameters
    ----------
    platform : InstanceLister
        Where the list is.
    introducer : Introducer
        Greets an address.
    members : Members
        The view.
    membership : Membership
        Told of the list.
    is_watcher : callable
        Whether this instance watches the platform for its zone.
    seeds : sequence of str
        Addresses from the settings.
    clock : Clock
        The tier's clock.
    random : random.Random
        Spreads the calls over time.
    """

    __slots__ = (
        "_clock",
        "_introducer",
        "_is_watcher",
        "_members",
        "_membership",
        "_platform",
        "_random",
        "_seeds",
    )

    def __init__(
        self,
        *,
        platform: InstanceLister,
        introducer: Introducer,
        members: Members,
        membership: Membership,
        is_watcher: Callable[[], bool],
        seeds: Sequence[Address],
        clock: Clock,
        random: Random,
    ) -> None:
        self._platform = platform
        self._introducer = introducer
        self._members = members
        self._membership = membership
        self._is_watcher = is_watcher
        self._seeds = tuple(seeds)
        self._clock = clock
        self._random = random

    async def run(self) -> None:
        """Look for members until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._read_list)
            nursery.start_soon(self._greet_seeds)
            nursery.start_soon(self._greet_dead)

    async def _read_list(self) -> None:
        backoff = Backoff(
            first_ms=ALONE_EVERY_MS, maximum_ms=LIST_EVERY_MS, random=self._random
        )
        while True:
            if self._members.alone or self._is_watcher():
                try:
                    self._membership.list_read(await self._platform.members())
                    backoff.reset()
                except IbisfrontError:
                    await self._clock.sleep_ms(backoff.next_ms())
                    continue
            every_ms = ALONE_EVERY_MS if self._members.alone else LIST_EVERY_MS
            await self._clock.sleep_ms(every_ms * self._random.uniform(0.5, 1.5))

    async def _greet_seeds(self) -> None:
        while True:
            if self._members.alone:
                for address in self._seeds:
                    if address != self._members.own.peer_address:
                        self._introducer.introduce(address)
            await self._clock.sleep_ms(ALONE_EVERY_MS * self._random.uniform(0.5, 1.5))

    async def _greet_dead(self) -> None:
        while True:
            wait_ms = RETRY_DEAD_MS * self._random.uniform(0.5, 1.5)
            await self._clock.sleep_ms(wait_ms)
            dead = self._membership.dead_to_retry()
            if dead is not None:
                self._introducer.introduce(dead.peer_address)
