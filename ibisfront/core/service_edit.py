"""Editing the backend servers of a service: add, drain or remove one."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ibisfront.core.errors import ErrorKind, IbisfrontError
from ibisfront.core.objects import ObjectKind, WriteConflict
from ibisfront.core.service import BackendServer, Service
from ibisfront.core.table_edit import OUTCOME_TIMEOUT_MS
from ibisfront.core.types import Version

if TYPE_CHECKING:
    from collections.abc import Callable

    from ibisfront.core.clock import Clock
    from ibisfront.core.conditional_platform import ConditionalPlatform

__all__ = ["ServiceEdited", "add_server", "drain_server", "remove_server"]

_RETRY_MS = 100.0


class ServiceEdited(msgspec.Struct, frozen=True):
    """The result of an edit of a service.

    Attributes
    ----------
    name : str
        The service.
    version : int
        Its version after the edit.
    service : Service
        Its value after the edit.
    """

    name: str
    version: Version
    service: Service


async def add_server(
    platform: ConditionalPlatform, service: str, server: BackendServer, *, clock: Clock
) -> ServiceEdited:
    """Add a server to a service, or replace the entry with the same name.

    Raises
    ------
    IbisfrontError
        ``write_unknown`` if the outcome of a write is unknown,
        ``platform_unavailable`` if the edit did not succeed in time.
    """

    def change(current: Service) -> Service:
        other_servers = _without(current, server.name)
        return Service((*other_servers, server))

    return await _edit(platform, service, change, clock)


async def drain_server(
    platform: ConditionalPlatform, service: str, name: str, *, clock: Clock
) -> ServiceEdited:
    """Stop sending new work to a server.

    Raises
    ------
    IbisfrontError
        ``not_found`` if the service has no such server, ``write_unknown`` if
        the outcome of a write is unknown, ``platform_unavailable`` if the edit
        did not succeed in time.
    """

    def change(current: Service) -> Service:
        found = next((s for s in current.backend_servers if s.name == name), None)
        if found is None:
            raise IbisfrontError(
                ErrorKind.NOT_FOUND, f"service {service!r} has no server {name!r}"
            )
        drained = msgspec.structs.replace(found, state="draining")
        return Service((*_without(current, name), drained))

    return await _edit(platform, service, change, clock)


async def remove_server(
    platform: ConditionalPlatform, service: str, name: str, *, clock: Clock
) -> ServiceEdited:
    """Remove a server from a service; do nothing if it is not registered.

    Raises
    ------
    IbisfrontError
        ``write_unknown`` if the outcome of a write is unknown,
        ``platform_unavailable`` if the edit did not succeed in time.
    """
    return await _edit(
        platform, service, lambda current: Service(_without(current, name)), clock
    )


async def _edit(
    platform: ConditionalPlatform,
    service: str,
    change: Callable[[Service], Service],
    clock: Clock,
) -> ServiceEdited:
    # An edit sets the state of a single server, so it is idempotent. After a
    # lost answer or a conflict the service is read again: if the desired state is
    # there, the edit is done; otherwise it is written conditionally on the
    # version just read. A delayed write of an earlier round then conflicts.
    unknown = False
    with clock.timeout_ms(OUTCOME_TIMEOUT_MS):
        while True:
            try:
                current = await _read(platform, service)
                desired = change(current.service)
                if _same_servers(desired, current.service):
                    return current
                version = await platform.put(
                    ObjectKind.SERVICE,
                    service,
                    msgspec.json.encode(desired),
                    if_version=current.version or None,
                )
            except WriteConflict:
                await clock.sleep_ms(_RETRY_MS)
            except IbisfrontError as error:
                if error.kind is ErrorKind.NOT_FOUND:
                    raise
                unknown = unknown or error.kind is ErrorKind.WRITE_UNKNOWN
                await clock.sleep_ms(_RETRY_MS)
            else:
                return ServiceEdited(service, version, desired)
    if unknown:
        raise IbisfrontError(
            ErrorKind.WRITE_UNKNOWN, f"the edit of service {service!r} may take effect"
        )
    raise IbisfrontError(
        ErrorKind.PLATFORM_UNAVAILABLE, f"service {service!r} was not edited"
    )


async def _read(platform: ConditionalPlatform, service: str) -> ServiceEdited:
    found = await platform.get(ObjectKind.SERVICE, service)
    if found is None or found.value_json is None:
        return ServiceEdited(service, 0, Service())
    value = msgspec.json.decode(found.value_json, type=Service)
    return ServiceEdited(service, found.version, value)


def _without(service: Service, name: str) -> tuple[BackendServer, ...]:
    return tuple(server for server in service.backend_servers if server.name != name)


def _same_servers(first: Service, second: Service) -> bool:
    return set(first.backend_servers) == set(second.backend_servers)
