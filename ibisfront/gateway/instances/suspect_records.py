"""Records of suspected requests in the store, which grants their trials."""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum
from functools import partial
from random import Random
from typing import TYPE_CHECKING

import msgspec
import trio

from ibisfront.core.backoff import Backoff
from ibisfront.core.counters import CounterKind
from ibisfront.core.logs import LogPart, part_logger
from ibisfront.gateway.load.crash_suspects import FailedRuns
from ibisfront.gateway.state.store import StoreError, StoreErrorKind
from ibisfront.gateway.state.store_answers import decode

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from ibisfront.core.clock import Clock
    from ibisfront.core.counters import Counters
    from ibisfront.gateway.state.store import ObjectStore

__all__ = ["SUSPECTS_KIND", "Claim", "ClaimOutcome", "SuspectRecords"]

_LOG = part_logger(LogPart.PLATFORM)

SUSPECTS_KIND = "ibisfront-suspects"
"""Kind of the store that has an object for each suspect, under its fingerprint."""

_FIRST_BACKOFF_MS = 200.0
_MAXIMUM_BACKOFF_MS = 3_000.0
"""Bounds of the pause before a write is retried; no caller waits for it."""

_MAX_PENDING_WRITES = 64
"""More requests than this are suspected only while servers fail."""

_READ_SHARE = 0.5
"""Share of a claim's time after whose use by the read the write is not sent: a trial
granted after its caller has left would be lost."""


class ClaimOutcome(Enum):
    """Result of a claim of a trial.

    ``EXHAUSTED`` is for good. ``LIFTED`` means that an operator has removed the record
    of an exhausted request.
    """

    GRANTED = "trial"
    TAKEN = "trial_taken"
    EXHAUSTED = "trials_exhausted"
    LIFTED = "lifted"
    UNAVAILABLE = "store_unavailable"


class Claim(msgspec.Struct, frozen=True):
    """An answered claim; ``record`` is what the store keeps, if it was read."""

    outcome: ClaimOutcome
    record: FailedRuns | None = None


class SuspectRecords:
    """Keeps what is known about suspected requests beyond the life of a process.

    The store decides which instance may try a suspected request: each trial raises the
    count in the record, by a write that fails if the record has changed.

    Parameters
    ----------
    objects : ObjectStore
        The records.
    clock : Clock
        The clock.
    counters : Counters
        Counts claims.
    """

    __slots__ = ("_clock", "_counters", "_lock", "_objects", "_pending", "_woken")

    def __init__(
        self, objects: ObjectStore, *, clock: Clock, counters: Counters
    ) -> None:
        self._objects = objects
        self._clock = clock
        self._counters = counters
        self._lock = trio.Lock()
        self._pending: OrderedDict[str, Callable[[], Awaitable[None]]] = OrderedDict()
        self._woken = trio.Event()

    def save(self, report: FailedRuns) -> None:
        """Record a suspect, unless it is recorded already."""
        self._add(report.fingerprint, partial(self._create, report))

    def forget(self, fingerprint: str) -> None:
        """Remove the record of a request that is sound after all."""
        self._add(fingerprint, partial(self._remove, fingerprint))

    def give_back(self, report: FailedRuns) -> None:
        """Record that a trial reached no server."""
        self._add(report.fingerprint, partial(self._update, report))

    async def claim_trial(self, known: FailedRuns, *, timeout_ms: float) -> Claim:
        """Claim the next trial of a request.

        Parameters
        ----------
        known : FailedRuns
            What this instance knows about it.
        timeout_ms : float
            How long the caller may wait.
        """
        claim = Claim(ClaimOutcome.UNAVAILABLE)
        with self._clock.timeout_ms(timeout_ms):
            try:
                async with self._lock:
                    claim = await self._claim(known, timeout_ms)
            except StoreError as error:
                _LOG.warning("No trial can be claimed: %s.", error)
        self._counters.add(CounterKind.QUARANTINES, claim.outcome.value)
        return claim

    async def load(self, apply: Callable[[FailedRuns], None]) -> None:
        """Read all records after a start, retried until the store answers."""
        backoff = _new_backoff()
        while True:
            try:
                async with self._lock:
                    listing = await self._objects.list_all()
                break
            except StoreError as error:
                _LOG.warning("The suspects cannot be read yet: %s.", error)
                await self._clock.sleep_ms(backoff.next_ms())
        for item in listing.objects:
            try:
                apply(decode(item.spec, FailedRuns))
            except StoreError as error:
                _LOG.error("Ignoring the invalid suspect %.80s: %s.", item.name, error)

    async def run(self) -> None:
        """Write the records in the background, until cancelled."""
        backoff = _new_backoff()
        while True:
            while self._pending:
                fingerprint, write = next(iter(self._pending.items()))
                try:
                    async with self._lock:
                        await write()
                except StoreError as error:
                    _LOG.warning("A suspect cannot be recorded: %s.", error)
                    if error.kind is not StoreErrorKind.BAD_ANSWER:
                        await self._clock.sleep_ms(backoff.next_ms())
                        continue
                backoff.reset()
                if self._pending.get(fingerprint) is write:
                    del self._pending[fingerprint]
            self._woken = trio.Event()
            await self._woken.wait()

    def close(self) -> None:
        """Close the connection to the store."""
        self._objects.close()

    def _add(self, fingerprint: str, write: Callable[[], Awaitable[None]]) -> None:
        self._pending[fingerprint] = write
        if len(self._pending) > _MAX_PENDING_WRITES:
            self._pending.popitem(last=False)
            self._counters.add(CounterKind.QUARANTINES, "not_recorded")
        self._woken.set()

    async def _claim(self, known: FailedRuns, timeout_ms: float) -> Claim:
        started_ms = self._clock.now_ms()
        stored = await self._objects.read(known.fingerprint)
        if stored is None:
            if not known.has_trials_left:
                return Claim(ClaimOutcome.LIFTED)
            granted = _with_trial(known)
            written = await self._objects.create(known.fingerprint, _encode(granted))
        else:
            record = decode(stored.spec, FailedRuns)
            if record.trials > known.trials:
                return Claim(ClaimOutcome.TAKEN, record)
            known = _with_unused(known, record.unused_trials)
            granted = _with_trial(known)
            if not known.has_trials_left:
                return Claim(ClaimOutcome.EXHAUSTED, record)
            if self._clock.now_ms() > started_ms + _READ_SHARE * timeout_ms:
                return Claim(ClaimOutcome.UNAVAILABLE, record)
            written = await self._objects.replace(
                known.fingerprint, _encode(granted), stored.revision
            )
        if written is None:
            return Claim(ClaimOutcome.TAKEN)
        return Claim(ClaimOutcome.GRANTED, granted)

    async def _create(self, report: FailedRuns) -> None:
        await self._objects.create(report.fingerprint, _encode(report))

    async def _remove(self, fingerprint: str) -> None:
        stored = await self._objects.read(fingerprint)
        if stored is not None:
            await self._objects.remove(fingerprint, stored.revision)

    async def _update(self, report: FailedRuns) -> None:
        stored = await self._objects.read(report.fingerprint)
        if stored is None:
            return
        record = decode(stored.spec, FailedRuns)
        if record.unused_trials < report.unused_trials:
            spec = _encode(_with_unused(record, report.unused_trials))
            await self._objects.replace(report.fingerprint, spec, stored.revision)


def _new_backoff() -> Backoff:
    return Backoff(
        first_ms=_FIRST_BACKOFF_MS, maximum_ms=_MAXIMUM_BACKOFF_MS, random=Random()
    )


def _with_unused(record: FailedRuns, unused_trials: int) -> FailedRuns:
    unused_trials = max(record.unused_trials, unused_trials)
    return msgspec.structs.replace(record, unused_trials=unused_trials)


def _with_trial(known: FailedRuns) -> FailedRuns:
    return msgspec.structs.replace(known, trials=known.trials + 1)


def _encode(record: FailedRuns) -> bytes:
    return msgspec.json.encode(record)
