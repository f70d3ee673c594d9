"""Where an instance gets the store's state from: the store or another one."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from enum import Enum
from typing import TYPE_CHECKING

import trio

from ibisfront.core.logs import LogPart, part_logger
from ibisfront.gateway.state_relay import FRESH_WAIT_MS, follow_state

if TYPE_CHECKING:
    from ibisfront.core.clock import Clock
    from ibisfront.core.types import Address
    from ibisfront.gateway.relays import Relays
    from ibisfront.gateway.state_relay import RelayedState, StateClient

__all__ = ["StateFeed"]

_LOG = part_logger(LogPart.PEERS)

_CHECK_MS = 250.0
"""How often an instance that watches the store looks whether it need not."""

_WATCH_LEAST_MS = 5_000.0
"""How long the store is watched at least once no other instance could be
followed, so that its state is read before another try."""

_SOURCE_PATIENCE_MS = 3_000.0
"""How long an instance that others may follow waits for the store before it
tries to follow: it is one of the few that should find the store first."""

_FOLLOWER_PATIENCE_MS = 700.0
"""The same for the others. All of them would otherwise call a store that is
away again and again, and each refused call has its price."""

_START_PATIENCE_MS = 1_000.0
"""How long a starting instance looks for one to follow: after a loss of power
they all start within about this time of each other."""

_START_PAUSE_MS = 100.0
"""Pause between two such looks."""


class _Mode(Enum):
    """What the instance does now."""

    SEEKING = "seeking"
    FOLLOWING = "following"
    WATCHING = "watching"


class StateFeed:
    """Keeps the configuration, the servers and the instances up to date.

    It follows one of the instances that watch the store. While none can be
    followed, because they are lost, silent or turned away by the store, it
    watches the store itself.

    Parameters
    ----------
    relays : Relays
        Whom to follow.
    connect : callable
        Returns a client that asks the instance at an address.
    watch : callable
        Watches the store for as long as the nursery runs.
    take : callable
        Takes in a state that another instance passed on.
    on_cut_off : callable
        Told when another instance of the zone cannot reach the servers.
    on_lost : callable
        Told the name of an instance that does not answer any more.
    knows_state : callable
        Returns whether a configuration is known.
    seeds : sequence of str
        Addresses of some other instances, for a start without the store.
    clock : Clock
        The tier's clock.

    Attributes
    ----------
    away : set of str
        The kinds for which the store does not answer, and those not read yet.
    """

    __slots__ = (
        "_clock",
        "_connect",
        "_knows_state",
        "_listed",
        "_mode",
        "_on_cut_off",
        "_on_lost",
        "_relays",
        "_seeds",
        "_take",
        "_watch",
        "_watch_started_ms",
        "away",
    )

    def __init__(
        self,
        *,
        relays: Relays,
        connect: Callable[[Address], StateClient],
        watch: Callable[[trio.Nursery], None],
        take: Callable[[RelayedState], None],
        on_cut_off: Callable[[], None],
        on_lost: Callable[[str], None],
        knows_state: Callable[[], bool],
        seeds: Sequence[Address],
        clock: Clock,
    ) -> None:
        self._relays = relays
        self._connect = connect
        self._watch = watch
        self._take = take
        self._on_cut_off = on_cut_off
        self._on_lost = on_lost
        self._knows_state = knows_state
        self._seeds = seeds
        self._clock = clock
        self._mode = _Mode.SEEKING
        self._listed = trio.Event()
        self._watch_started_ms = -math.inf
        self.away: set[str] = set()

    @property
    def is_fresh(self) -> bool:
        """Whether others may follow: only one that hears the store itself.

        Two instances that followed each other would both seem up to date for
        ever.
        """
        return self._mode is _Mode.WATCHING and not self.away

    @property
    def may_become_fresh(self) -> bool:
        """Whether it is worth to wait for this one.

        One that was turned away by the store, or has waited for its first
        answer for a while, must not hold up those that ask it: a change is
        due at them although it is not here.
        """
        if self._mode is _Mode.WATCHING:
            age_ms = self._clock.now_ms() - self._watch_started_ms
            return bool(self.away) and age_ms < FRESH_WAIT_MS
        return self._mode is _Mode.SEEKING

    @property
    def watches_store(self) -> bool:
        """Whether the list of instances must be read here too."""
        return self._mode is not _Mode.FOLLOWING

    def note_listed(self) -> None:
        """Note that the list of instances was read, or could not be."""
        self._listed.set()

    async def run(self) -> None:
        """Keep up to date until cancelled."""
        await self._listed.wait()
        if not self._relays.is_known:
            await self._ask_seeds()
        await self._start()
        while True:
            await self._watch_for_a_while()
            await self._follow_in_turn()

    async def _ask_seeds(self) -> None:
        """Take what other instances know while the store is away at the start.

        Without a configuration every caller would be refused until the store
        is back.
        """
        for address in self._seeds:
            await self._follow(address, address)
            if self._knows_state():
                return

    async def _start(self) -> None:
        """Follow another instance from the start, if that can be."""
        until_ms = self._clock.now_ms() + _START_PATIENCE_MS
        while self._relays.sources and self._clock.now_ms() < until_ms:
            if await self._follow_in_turn():
                return
            await self._clock.sleep_ms(_START_PAUSE_MS)

    async def _follow_in_turn(self) -> bool:
        """Follow the sources until none can be followed; return if any was."""
        was_followed = False
        while await self._follow_first():
            was_followed = True
        return was_followed

    async def _follow_first(self) -> bool:
        """Follow the first source that can be; return whether one was."""
        for source in self._relays.sources:
            if await self._follow(source.name, source.address):
                return True
        return False

    async def _follow(self, name: str, address: Address) -> bool:
        was_followed = False

        def take(state: RelayedState) -> None:
            nonlocal was_followed
            if state.is_fresh:
                was_followed = True
                self._mode = _Mode.FOLLOWING
                self._take(state)
            elif not self._knows_state():
                # Better than nothing while the store is away.
                self._take(state)

        def look(state: RelayedState) -> None:
            if state.is_cut_off:
                self._on_cut_off()

        answers = await follow_state(
            self._connect(address), name=name, take=take, on_answer=look
        )
        self._mode = _Mode.SEEKING
        if not answers:
            self._on_lost(name)
        return was_followed

    async def _watch_for_a_while(self) -> None:
        async with trio.open_nursery() as nursery:
            self._mode = _Mode.WATCHING
            is_source = self._relays.is_source
            self._watch_started_ms = self._clock.now_ms()
            _LOG.info("The store is watched from here from now on.")
            self._watch(nursery)
            while not self._is_enough():
                await self._clock.sleep_ms(_CHECK_MS)
                if self._relays.is_source is not is_source:
                    break  # others follow this instance now, or no more
            nursery.cancel_scope.cancel()
        self._mode = _Mode.SEEKING

    def _is_enough(self) -> bool:
        """Return whether to stop watching and to look for one to follow."""
        watched_ms = self._clock.now_ms() - self._watch_started_ms
        if not self._relays.sources:
            return False
        if not self.away:
            return watched_ms >= _WATCH_LEAST_MS
        if self._relays.is_source:
            return watched_ms >= _SOURCE_PATIENCE_MS
        return watched_ms >= _FOLLOWER_PATIENCE_MS
