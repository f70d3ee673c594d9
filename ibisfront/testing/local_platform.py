"""The fake platform with the interface of ``PlatformClient``."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import msgspec
import trio

from ibisfront.adapters.platform import ObjectsRead
from ibisfront.core.errors import ErrorKind, IbisfrontError
from ibisfront.core.members import Member
from ibisfront.core.objects import ObjectKind, VersionedObject, WriteConflict
from ibisfront.testing.platform_types import (
    AnswerLost,
    InstanceState,
    PlatformRefused,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ibisfront.core.clock import Clock
    from ibisfront.core.types import JsonBytes, Version
    from ibisfront.testing.platform_state import FakePlatform
    from ibisfront.testing.platform_types import ChangeList, ObjectList, StoredObject

__all__ = ["LocalPlatform"]

_CALL_TIMEOUT_MS = 2000.0


class LocalPlatform:
    """Calls a fake platform in the same process, as one instance would.

    Parameters
    ----------
    platform : FakePlatform
        The fake platform.
    clock : Clock
        Clock of the test.

    Attributes
    ----------
    is_partitioned : bool
        While true, every call times out, as from a partitioned zone.
    """

    def __init__(self, platform: FakePlatform, *, clock: Clock) -> None:
        self.is_partitioned = False
        self._platform = platform
        self._clock = clock

    async def get(self, kind: ObjectKind, name: str) -> VersionedObject | None:
        """Return an object, or None if it does not exist."""
        with self._clock.timeout_ms(_CALL_TIMEOUT_MS):
            await self._hang_if_partitioned()
            try:
                return _to_versioned_object(await self._platform.get(kind, name))
            except PlatformRefused as refused:
                if refused.status == HTTPStatus.NOT_FOUND:
                    return None
                raise _unavailable_error() from refused
            except AnswerLost as lost:
                raise _unavailable_error() from lost
        raise _unavailable_error()

    async def list_objects(self, kinds: Sequence[ObjectKind]) -> ObjectsRead:
        """Return all objects of the given kinds."""
        with self._clock.timeout_ms(_CALL_TIMEOUT_MS):
            await self._hang_if_partitioned()
            try:
                return _to_objects_read(await self._platform.list(frozenset(kinds)))
            except (PlatformRefused, AnswerLost) as error:
                raise _unavailable_error() from error
        raise _unavailable_error()

    async def changes(
        self, kinds: Sequence[ObjectKind], *, after: Version, wait_ms: float
    ) -> ObjectsRead | None:
        """Wait for changes after a revision; return None if it is too old."""
        timeout_ms = wait_ms + _CALL_TIMEOUT_MS
        with self._clock.timeout_ms(timeout_ms):
            await self._hang_if_partitioned()
            try:
                changes = await self._platform.changes(
                    frozenset(kinds), after=after, wait_ms=wait_ms
                )
            except PlatformRefused as refused:
                if refused.status == HTTPStatus.GONE:
                    return None
                raise _unavailable_error() from refused
            except AnswerLost as lost:
                raise _unavailable_error() from lost
            if self.is_partitioned:
                raise _unavailable_error()
            return _to_objects_read(changes)
        raise _unavailable_error()

    async def put(
        self,
        kind: ObjectKind,
        name: str,
        value_json: JsonBytes,
        *,
        if_version: Version | None,
    ) -> Version:
        """Replace the given version of an object, or create the object."""
        value = msgspec.json.decode(value_json)
        with self._clock.timeout_ms(_CALL_TIMEOUT_MS):
            await self._hang_if_partitioned()
            try:
                return await self._platform.put(
                    kind, name, value, if_version=if_version
                )
            except PlatformRefused as refused:
                if refused.status == HTTPStatus.PRECONDITION_FAILED:
                    raise WriteConflict(f"{kind}/{name}") from refused
                raise _unknown_outcome_error() from refused
            except AnswerLost as lost:
                raise _unknown_outcome_error() from lost
        raise _unknown_outcome_error()

    async def members(self) -> list[Member]:
        """Return the listed live instances as initial contacts."""
        with self._clock.timeout_ms(_CALL_TIMEOUT_MS):
            await self._hang_if_partitioned()
            try:
                listed = await self._platform.instances()
            except (PlatformRefused, AnswerLost) as error:
                raise _unavailable_error() from error
            return [
                Member(item.name, item.zone, item.peer_address, item.admin_address)
                for item in listed.instances
                if item.state is InstanceState.LIVE
            ]
        raise _unavailable_error()

    async def _hang_if_partitioned(self) -> None:
        if self.is_partitioned:
            await trio.sleep_forever()


def _to_objects_read(result: ObjectList | ChangeList) -> ObjectsRead:
    return ObjectsRead(
        result.revision, tuple(_to_versioned_object(item) for item in result.objects)
    )


def _to_versioned_object(stored: StoredObject) -> VersionedObject:
    value_json = None if stored.value is None else msgspec.json.encode(stored.value)
    return VersionedObject(
        ObjectKind(stored.kind), stored.name, stored.version, value_json
    )


def _unavailable_error() -> IbisfrontError:
    return IbisfrontError(ErrorKind.PLATFORM_UNAVAILABLE, "the platform is unavailable")


def _unknown_outcome_error() -> IbisfrontError:
    return IbisfrontError(ErrorKind.WRITE_UNKNOWN, "the response was lost")
