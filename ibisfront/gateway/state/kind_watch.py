"""List and watch one kind of object in the platform's store."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random
from typing import TYPE_CHECKING

import msgspec
import trio

from ibisfront.core.backoff import Backoff
from ibisfront.core.logs import LogPart, part_logger
from ibisfront.gateway.state.store import StoreError, StoreErrorKind

if TYPE_CHECKING:
    from ibisfront.core.clock import Clock
    from ibisfront.gateway.state.store import KindClient, Listing, ObjectChange

__all__ = [
    "DEFAULT_OPTIONS",
    "StoreOutage",
    "WatchOptions",
    "WatchTarget",
    "watch_kind",
]

_LOG = part_logger(LogPart.PLATFORM)

_INITIAL_BACKOFF_DIVISOR = 4
"""The first retry is delayed by at most the maximum backoff divided by this."""

_MAXIMUM_BACKOFF_MS = 800.0
"""Maximum backoff while the store is unavailable. The instance is up to date within a
second of the store's recovery, at a cost of two or three calls per second."""

_COALESCE_MS = 200.0
"""Pause after a change before the next watch call. Changes come in bursts (servers
starting, a new set of shards) and each call has a cost. The time limits for draining
and for a new configuration are ten times longer."""

_SHARED_RETRY_TIMEOUT_MS = 3_000.0
"""Maximum time that the other watches wait for the one that retries: the store may
reject that one for reasons that do not apply to them."""


class StoreOutage:
    """Lets only one of several watches retry an unavailable store.

    Each call has a cost, even a rejected one, and a store that answers one watch of an
    instance answers the others too.

    Parameters
    ----------
    resume_delay_ms : float, optional
        Delay after the outage before the other watches retry.
    """

    __slots__ = ("_ended", "_resume_delay_ms", "_retrying")

    def __init__(self, resume_delay_ms: float = 0.0) -> None:
        self._resume_delay_ms = resume_delay_ms
        self._ended = trio.Event()
        self._retrying: str | None = None

    async def wait(self, name: str, wait_ms: float, *, clock: Clock) -> None:
        """Wait before a watch's next retry.

        Parameters
        ----------
        name : str
            Kind that is watched.
        wait_ms : float
            Delay if this watch is the one that retries.
        clock : Clock
            Clock of the instance.
        """
        if self._retrying is None:
            self._retrying = name
        if self._retrying == name:
            await clock.sleep_ms(wait_ms)
            return
        with clock.timeout_ms(_SHARED_RETRY_TIMEOUT_MS):
            await self._ended.wait()
        await clock.sleep_ms(self._resume_delay_ms)

    def record_success(self) -> None:
        """Record that the store answers, which ends the outage."""
        self._retrying = None
        self._ended.set()
        self._ended = trio.Event()


class WatchOptions(msgspec.Struct, frozen=True):
    """Options for watching a kind.

    Attributes
    ----------
    was_unavailable : bool
        Whether the first listing counts as one after an outage.
    maximum_backoff_ms : float
        Maximum backoff while the store is unavailable.
    resume_delay_ms : float
        Pause after an outage before all kinds are listed. An instance that is not a
        source usually finds one during the pause and needs no listing.
    """

    was_unavailable: bool = False
    maximum_backoff_ms: float = _MAXIMUM_BACKOFF_MS
    resume_delay_ms: float = 0.0


DEFAULT_OPTIONS = WatchOptions()


def _ignore() -> None:
    """Do nothing; default for targets that ignore outages."""


class WatchTarget(msgspec.Struct, frozen=True):
    """Callbacks that receive the objects of a kind.

    Attributes
    ----------
    name : str
        Name of the kind, for the log.
    replace : callable
        Called with a full listing, and whether the store had been unavailable.
    apply_changes : callable
        Called with the changes of one watch reply, in order.
    on_unavailable : callable
        Called when the store does not answer.
    """

    name: str
    replace: Callable[[Listing, bool], None]
    apply_changes: Callable[[Sequence[ObjectChange]], None]
    on_unavailable: Callable[[], None] = _ignore


async def watch_kind(
    client: KindClient,
    target: WatchTarget,
    *,
    clock: Clock,
    options: WatchOptions = DEFAULT_OPTIONS,
    outage: StoreOutage | None = None,
    random: Random | None = None,
) -> None:
    """List the objects of a kind, then watch them, until cancelled.

    After any failure other than an expired history, the listing counts as one after
    an outage: entries missing from it may only have expired meanwhile. If the store
    came back from an older copy, their owners may write them again.

    Parameters
    ----------
    client : KindClient
        Client that lists and watches the kind.
    target : WatchTarget
        Receives listings and changes.
    clock : Clock
        Clock of the instance.
    options : WatchOptions
        Initial state, and behaviour in an outage.
    outage : StoreOutage, optional
        Shared by the watches of an instance; without it each retries on its own.
    random : random.Random, optional
        Source of randomness of the delays between retries.
    """
    outage = StoreOutage() if outage is None else outage
    backoff = Backoff(
        first_ms=options.maximum_backoff_ms / _INITIAL_BACKOFF_DIVISOR,
        maximum_ms=options.maximum_backoff_ms,
        random=random or Random(),
    )
    was_unavailable = options.was_unavailable
    while True:
        try:
            listing = await client.list_all()
            outage.record_success()
            target.replace(listing, was_unavailable)
            if was_unavailable:
                _LOG.info("The store is available again for %s.", target.name)
            was_unavailable = False
            backoff.reset()
            await _watch(client, target, listing.revision, clock)
        except StoreError as error:
            if error.kind is StoreErrorKind.HISTORY_GONE:
                _LOG.info("The history of %s has expired; listing again.", target.name)
                await clock.sleep_ms(_COALESCE_MS)
                continue
            if error.kind is StoreErrorKind.ERA_CHANGED:
                _LOG.warning("Listing %s again: %s.", target.name, error)
                was_unavailable = True
                await clock.sleep_ms(_COALESCE_MS)
                continue
            if not was_unavailable:
                _LOG.warning("The store is unavailable for %s: %s.", target.name, error)
            was_unavailable = True
            target.on_unavailable()
            client.close()
            await outage.wait(target.name, backoff.next_ms(), clock=clock)


async def _watch(
    client: KindClient, target: WatchTarget, revision: int, clock: Clock
) -> None:
    while True:
        answer = await client.watch(revision)
        revision = answer.revision
        if answer.changes:
            target.apply_changes(answer.changes)
            await clock.sleep_ms(_COALESCE_MS)
