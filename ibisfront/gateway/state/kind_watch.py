"""Keeping up with one kind of object in the platform's store."""

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
"""The wait before the first new try is drawn up to this part of the longest."""

_MAXIMUM_BACKOFF_MS = 800.0
"""Longest wait between tries while the store is away: within a second of its
return the instance is up to date again, at two or three calls a second."""

_COALESCE_MS = 200.0
"""Pause after a change before the next watch. Changes come in series (servers
that start, a new set of shards), and each call has its price; the bounds for
draining and for a new configuration are ten times longer."""


_SHARED_RETRY_TIMEOUT_MS = 3_000.0
"""How long the watches that do not try the store wait for the one that does: it may be
turned away for reasons of its own."""


class StoreOutage:
    """Lets one of several watches try a store that does not answer.

    Each call has its price, also a refused one, and the store that answers one watch of
    an instance answers the others too.

    Parameters
    ----------
    resume_delay_ms : float, optional
        How long the others wait once it is over.
    """

    __slots__ = ("_ended", "_resume_delay_ms", "_retrying")

    def __init__(self, resume_delay_ms: float = 0.0) -> None:
        self._resume_delay_ms = resume_delay_ms
        self._ended = trio.Event()
        self._retrying: str | None = None

    async def wait(self, name: str, wait_ms: float, *, clock: Clock) -> None:
        """Wait before a watch's next try.

        Parameters
        ----------
        name : str
            The kind.
        wait_ms : float
            How long it waits if it is the one that tries.
        clock : Clock
            The tier's clock.
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
        """Take in that the store answers."""
        self._retrying = None
        self._ended.set()
        self._ended = trio.Event()


class WatchOptions(msgspec.Struct, frozen=True):
    """How a kind is followed.

    Attributes
    ----------
    was_unavailable : bool
        Whether the first list counts as one after an outage already.
    maximum_backoff_ms : float
        Longest wait between tries while the store is away.
    resume_delay_ms : float
        Pause after an outage before all kinds are listed: an instance that others do
        not follow finds one to follow meanwhile, and needs no list.
    """

    was_unavailable: bool = False
    maximum_backoff_ms: float = _MAXIMUM_BACKOFF_MS
    resume_delay_ms: float = 0.0


DEFAULT_OPTIONS = WatchOptions()


def _ignore() -> None:
    """Stand in for a target that need not know."""


class WatchTarget(msgspec.Struct, frozen=True):
    """What takes in the objects of a kind.

    Attributes
    ----------
    name : str
        The kind, for the log.
    replace : callable
        Takes a full list, and whether the store had been away.
    apply_changes : callable
        Takes changes that came together, in order.
    on_unavailable : callable
        Told when the store does not answer.
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
) -> None:
    """List the objects of a kind, then watch them, until cancelled.

    After any failure but a forgotten history the list counts as one after an
    outage: what is missing from it may only have lapsed meanwhile.

    Parameters
    ----------
    client : KindClient
        Lists and watches the kind.
    target : WatchTarget
        Takes in what it brings.
    clock : Clock
        The tier's clock.
    options : WatchOptions
        How to begin, and how to go on in an outage.
    outage : StoreOutage, optional
        What the watches of an instance share; without it each tries for itself.
    """
    outage = StoreOutage() if outage is None else outage
    backoff = Backoff(
        first_ms=options.maximum_backoff_ms / _INITIAL_BACKOFF_DIVISOR,
        maximum_ms=options.maximum_backoff_ms,
        random=Random(),
    )
    was_unavailable = options.was_unavailable
    while True:
        try:
            listing = await client.list_all()
            outage.record_success()
            target.replace(listing, was_unavailable)
            if was_unavailable:
                _LOG.info("The store answers again for %s.", target.name)
            was_unavailable = False
            backoff.reset()
            await _watch(client, target, listing.revision, clock)
        except StoreError as error:
            if error.kind is StoreErrorKind.HISTORY_GONE:
                _LOG.info("The history of %s is gone: listed anew.", target.name)
                await clock.sleep_ms(_COALESCE_MS)
                continue
            if not was_unavailable:
                _LOG.warning("The store does not serve %s: %s.", target.name, error)
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
