"""Fake platform: objects, changes and instances, without sockets.

All waits use :class:`ibisfront.core.clock.Clock`, so that tests run under
trio's mock clock.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import deque
from collections.abc import Collection
from http import HTTPStatus
from typing import Any

import msgspec
import trio

from ibisfront.core.clock import Clock
from ibisfront.testing.call_rate import CallRate
from ibisfront.testing.platform_types import (
    AnswerLost,
    ChangeList,
    InstanceList,
    ObjectList,
    Outage,
    PlatformFaults,
    PlatformRefused,
    PlatformState,
    StoredObject,
)

__all__ = ["FakePlatform"]

VALUE_LIMIT_BYTES = 1_000_000
LOG_LIMIT_OBJECTS = 10_000


class _ObjectKey(msgspec.Struct, frozen=True):
    kind: str
    name: str


class _Write(msgspec.Struct, frozen=True):
    """A write that takes effect immediately or later.

    An ``if_version`` of None requires that the object does not exist; a
    ``value`` of None deletes the object.
    """

    key: _ObjectKey
    value: Any
    if_version: int | None


class _LateWrite(msgspec.Struct, frozen=True, order=True):
    due_ms: float
    number: int
    write: _Write


class _InstanceSample(msgspec.Struct, frozen=True):
    at_ms: float
    instances: InstanceList


class FakePlatform:
    """The platform's object API, used in-process or over HTTP.

    Every call can raise :class:`PlatformRefused` (429 above the rate limit) and
    :class:`AnswerLost`. A call made during a ``hang`` outage waits until it is
    cancelled, even if the outage ends. Values must not be modified after they
    were passed in or returned.

    Parameters
    ----------
    clock : Clock, optional
        Time source.
    seed : int, optional
        Seed of the faults given as fractions.
    log_limit_objects : int, optional
        Number of changes kept for watches and stale reads.
    """

    __slots__ = (
        "_base",
        "_base_revision",
        "_changed",
        "_clock",
        "_faults",
        "_instance_samples",
        "_late_count",
        "_late_writes",
        "_log",
        "_log_limit",
        "_lost",
        "_objects",
        "_random",
        "_reads",
        "_revision",
        "_waiting",
        "_waiting_peak",
        "_watches",
        "_writes",
    )

    def __init__(
        self,
        *,
        clock: Clock | None = None,
        seed: int = 0,
        log_limit_objects: int = LOG_LIMIT_OBJECTS,
    ) -> None:
        self._clock = clock or Clock()
        self._random = random.Random(seed)
        self._faults = PlatformFaults()
        self._objects: dict[_ObjectKey, StoredObject] = {}
        self._revision = 0
        # The objects as of the revision before the oldest change in the log.
        self._base: dict[_ObjectKey, StoredObject] = {}
        self._base_revision = 0
        self._log: deque[StoredObject] = deque()
        self._log_limit = log_limit_objects
        self._changed = trio.Event()
        self._late_writes: list[_LateWrite] = []
        self._late_count = 0
        self._instance_samples = [_InstanceSample(-math.inf, InstanceList([]))]
        self._reads = CallRate(self._clock)
        self._writes = CallRate(self._clock)
        self._watches = 0
        self._waiting = 0
        self._waiting_peak = 0
        self._lost = 0

    @property
    def faults(self) -> PlatformFaults:
        """The active faults."""
        return self._faults

    def set_faults(self, faults: PlatformFaults) -> None:
        """Replace all faults; they also apply to calls that already wait."""
        self._faults = faults
        self._notify_watches()

    def set_instances(self, instances: InstanceList) -> None:
        """Replace the instance list; readers see it after the lag."""
        sample = _InstanceSample(self._clock.now_ms(), instances)
        self._instance_samples.append(sample)

    def compact(self) -> None:
        """Drop all past changes, so that older watches get 410."""
        self._trim_log(0)

    def state(self) -> PlatformState:
        """Return the state for a test to read."""
        self._apply_due_writes()
        return PlatformState(
            revision=self._revision,
            oldest_revision=self._base_revision,
            objects=len(self._objects),
            reads=self._reads.refresh(),
            writes=self._writes.refresh(),
            watches_total=self._watches,
            watches_waiting=self._waiting,
            watches_waiting_peak=self._waiting_peak,
            lost=self._lost,
            late_pending=len(self._late_writes),
            faults=self._faults,
        )

    async def get(self, kind: str, name: str) -> StoredObject:
        """Return an object.

        Raises
        ------
        PlatformRefused
            With 404 if there is none.
        """
        await self._begin_read()
        revision = self._read_revision()
        found = self._objects_at(revision).get(_ObjectKey(kind, name))
        await self._end_call()
        if found is None:
            raise PlatformRefused(HTTPStatus.NOT_FOUND, None, revision)
        return found

    async def list(self, kinds: Collection[str]) -> ObjectList:
        """Return all objects of the given kinds."""
        await self._begin_read()
        revision = self._read_revision()
        objects = self._objects_at(revision).values()
        found = [item for item in objects if item.kind in kinds]
        await self._end_call()
        return ObjectList(revision, found)

    async def put(
        self, kind: str, name: str, value: Any, *, if_version: int | None
    ) -> int:
        """Create or replace an object and return its new version.

        Parameters
        ----------
        kind, name : str
            The object.
        value : Any
            A JSON value other than null.
        if_version : int or None
            The version to replace; None to create.

        Raises
        ------
        PlatformRefused
            With 412 if the object has another version, or 413 if the value is
            over the limit.
        ValueError
            If the value is None.
        """
        if value is None:
            raise ValueError("a value cannot be null")
        return await self._write(_Write(_ObjectKey(kind, name), value, if_version))

    async def delete(self, kind: str, name: str, *, if_version: int) -> int:
        """Delete a version of an object and return the deletion's version.

        Raises
        ------
        PlatformRefused
            With 412 if the object has another version or does not exist.
        """
        return await self._write(_Write(_ObjectKey(kind, name), None, if_version))

    async def changes(
        self, kinds: Collection[str], *, after: int, wait_ms: float
    ) -> ChangeList:
        """Wait for changes after a revision; return each object's latest version.

        Raises
        ------
        PlatformRefused
            With 410 if the revision is older than the log.
        """
        await self._begin_read()
        self._watches += 1
        self._waiting += 1
        self._waiting_peak = max(self._waiting_peak, self._waiting)
        try:
            found = await self._wait_for_changes(kinds, after, wait_ms)
        finally:
            self._waiting -= 1
        await self._end_call()
        return found

    async def instances(self) -> InstanceList:
        """Return the instance list as of ``instance_lag_ms`` ago."""
        await self._begin_read()
        visible_ms = self._clock.now_ms() - self._faults.instance_lag_ms
        samples = self._instance_samples
        found = [item for item in samples if item.at_ms <= visible_ms][-1]
        await self._end_call()
        return found.instances

    async def _begin_read(self) -> None:
        await self._check_outage()
        if not self._reads.try_acquire(self._faults.reads_per_second_limit):
            raise self._rejection(HTTPStatus.TOO_MANY_REQUESTS)
        await self._delay()

    async def _end_call(self) -> None:
        await self._delay()
        await self._check_outage()

    async def _delay(self) -> None:
        await self._clock.sleep_ms(self._faults.slow_ms / 2)
        self._apply_due_writes()

    async def _check_outage(self) -> None:
        if self._faults.outage is Outage.REFUSE:
            raise self._lose_answer()
        if self._faults.outage is Outage.HANG:
            await trio.sleep_forever()

    async def _write(self, write: _Write) -> int:
        await self._check_outage()
        if not self._writes.try_acquire(self._faults.writes_per_second_limit):
            raise self._rejection(HTTPStatus.TOO_MANY_REQUESTS)
        if len(msgspec.json.encode(write.value)) > VALUE_LIMIT_BYTES:
            raise self._rejection(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        await self._delay()
        if self._fault_applies(self._faults.lose_requests_fraction):
            raise self._lose_answer()
        if self._fault_applies(self._faults.late_writes_fraction):
            self._schedule_late_write(write)
            raise self._lose_answer()
        lost = self._fault_applies(self._faults.lose_answers_fraction)
        try:
            version = self._apply(write)
        except PlatformRefused:
            if lost:
                raise self._lose_answer() from None
            raise
        await self._end_call()
        if lost:
            raise self._lose_answer()
        return version

    def _fault_applies(self, fraction: float) -> bool:
        return self._random.random() < fraction

    def _lose_answer(self) -> AnswerLost:
        self._lost += 1
        return AnswerLost()

    def _rejection(
        self, status: HTTPStatus, version: int | None = None
    ) -> PlatformRefused:
        return PlatformRefused(status, version, self._revision)

    def _schedule_late_write(self, write: _Write) -> None:
        due_ms = self._clock.now_ms() + self._faults.late_write_ms
        self._late_count += 1
        heapq.heappush(self._late_writes, _LateWrite(due_ms, self._late_count, write))
        self._notify_watches()  # watches now wait at most until this write

    def _apply_due_writes(self) -> None:
        now_ms = self._clock.now_ms()
        while self._late_writes and self._late_writes[0].due_ms <= now_ms:
            try:
                self._apply(heapq.heappop(self._late_writes).write)
            except PlatformRefused:
                continue  # no caller waits for the response

    def _apply(self, write: _Write) -> int:
        current = self._objects.get(write.key)
        current_version = None if current is None else current.version
        if current_version != write.if_version:
            raise self._rejection(HTTPStatus.PRECONDITION_FAILED, current_version)
        self._revision += 1
        key = write.key
        stored = StoredObject(key.kind, key.name, self._revision, write.value)
        _store(self._objects, stored)
        self._log.append(stored)
        self._trim_log(self._log_limit)
        self._notify_watches()
        return self._revision

    def _trim_log(self, limit: int) -> None:
        while len(self._log) > limit:
            oldest = self._log.popleft()
            _store(self._base, oldest)
            self._base_revision = oldest.version

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def _read_revision(self) -> int:
        return max(self._revision - self._faults.stale_revisions, self._base_revision)

    def _objects_at(self, revision: int) -> dict[_ObjectKey, StoredObject]:
        if revision == self._revision:
            return self._objects
        objects = dict(self._base)
        for stored in self._log:
            if stored.version <= revision:
                _store(objects, stored)
        return objects

    async def _wait_for_changes(
        self, kinds: Collection[str], after: int, wait_ms: float
    ) -> ChangeList:
        end_ms = self._clock.now_ms() + wait_ms
        while True:
            await self._check_outage()
            self._apply_due_writes()
            if after < self._base_revision:
                raise self._rejection(HTTPStatus.GONE)
            found = self._changes_after(kinds, after)
            remaining_ms = end_ms - self._clock.now_ms()
            if found.objects or remaining_ms <= 0:
                return found
            await self._wait_for_change(remaining_ms)

    async def _wait_for_change(self, duration_ms: float) -> None:
        if self._late_writes:
            due_ms = self._late_writes[0].due_ms
            duration_ms = min(duration_ms, due_ms - self._clock.now_ms())
        with self._clock.timeout_ms(duration_ms):
            await self._changed.wait()

    def _changes_after(self, kinds: Collection[str], after: int) -> ChangeList:
        newest: dict[_ObjectKey, StoredObject] = {}
        for stored in reversed(self._log):
            if stored.version <= after:
                break
            if stored.kind in kinds:
                newest.setdefault(_ObjectKey(stored.kind, stored.name), stored)
        found = sorted(newest.values(), key=lambda stored: stored.version)
        return ChangeList(self._revision, found)


def _store(objects: dict[_ObjectKey, StoredObject], stored: StoredObject) -> None:
    key = _ObjectKey(stored.kind, stored.name)
    if stored.value is None:
        objects.pop(key, None)
    else:
        objects[key] = stored
