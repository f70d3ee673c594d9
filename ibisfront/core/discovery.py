"""Discovery of members: the platform's list, seeds and dead members.

The end of a network partition is not signalled, so dead members are contacted
periodically. The list is read only by the watchers of the platform and by
instances without other members, so the call rate does not grow with the fleet.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import trio

from ibisfront.core.backoff import Backoff
from ibisfront.core.errors import IbisfrontError
from ibisfront.core.members import Member
from ibisfront.core.membership import DEAD_RETRY_INTERVAL_MS

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from random import Random

    from ibisfront.core.clock import Clock
    from ibisfront.core.members import Members
    from ibisfront.core.membership import Membership
    from ibisfront.core.types import Address

__all__ = ["Discovery", "InstanceLister", "Introducer"]

LIST_INTERVAL_MS = 10_000.0
"""Interval at which a watcher reads the platform's list of instances."""

ALONE_INTERVAL_MS = 1000.0
"""Interval at which an instance without other members tries list and seeds."""


class Introducer(Protocol):
    """Exchanges introductions with the instance at an address."""

    def introduce(self, address: Address) -> None:
        """Exchange introductions with the instance at an address."""
        ...


class InstanceLister(Protocol):
    """The platform call that lists instances."""

    async def members(self) -> Sequence[Member]:
        """Return the instances that the platform lists as live."""
        ...


class Discovery:
    """Finds members that no peer has reported.

    Parameters
    ----------
    platform : InstanceLister
        Source of the list.
    introducer : Introducer
        Contacts an address.
    members : Members
        The view.
    membership : Membership
        Ingests the list.
    is_watcher : callable
        Returns whether this instance watches the platform for its zone.
    seeds : sequence of str
        Addresses from the settings.
    clock : Clock
        The tier's clock.
    random : random.Random
        Jitters the intervals.
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
        """Search for members until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._read_list)
            nursery.start_soon(self._contact_seeds)
            nursery.start_soon(self._contact_dead)

    async def _read_list(self) -> None:
        backoff = Backoff(
            first_ms=ALONE_INTERVAL_MS, maximum_ms=LIST_INTERVAL_MS, random=self._random
        )
        while True:
            if self._members.alone or self._is_watcher():
                try:
                    self._membership.ingest_instance_list(
                        await self._platform.members()
                    )
                    backoff.reset()
                except IbisfrontError:
                    await self._clock.sleep_ms(backoff.next_ms())
                    continue
            interval_ms = ALONE_INTERVAL_MS if self._members.alone else LIST_INTERVAL_MS
            await self._clock.sleep_ms(interval_ms * self._random.uniform(0.5, 1.5))

    async def _contact_seeds(self) -> None:
        while True:
            if self._members.alone:
                for address in self._seeds:
                    if address != self._members.own.peer_address:
                        self._introducer.introduce(address)
            await self._clock.sleep_ms(
                ALONE_INTERVAL_MS * self._random.uniform(0.5, 1.5)
            )

    async def _contact_dead(self) -> None:
        while True:
            wait_ms = DEAD_RETRY_INTERVAL_MS * self._random.uniform(0.5, 1.5)
            await self._clock.sleep_ms(wait_ms)
            dead = self._membership.dead_to_retry()
            if dead is not None:
                self._introducer.introduce(dead.peer_address)
