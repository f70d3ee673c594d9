"""The documents in the platform's store: configuration and server entries."""

from __future__ import annotations

from typing import Literal

import msgspec

from ibisfront.core.clock import MILLISECONDS_PER_SECOND
from ibisfront.core.decoding import decode_json
from ibisfront.gateway.servers.entry_fields import (
    Count,
    NonEmptyText,
    ReadableText,
    RemainingMs,
    Slots,
    SocketAddress,
)
from ibisfront.gateway.servers.server_entry import ServerEntry
from ibisfront.gateway.state.configuration import (
    CallerLimits,
    Configuration,
    Gathering,
    RequestKind,
    Route,
    RoutedService,
    WeightedService,
    Workspace,
)
from ibisfront.gateway.state.route_cache import RouteCache
from ibisfront.gateway.workspaces.directory import check_workspaces
from ibisfront.gateway.workspaces.keys import digest_key

__all__ = ["CONFIGURATION_NAME", "configuration_from", "server_entry_from"]

CONFIGURATION_NAME = "main"
"""The name of the object that holds the configuration in force."""


class _Target(msgspec.Struct):
    """A service and its weight."""

    service: str
    weight: float


class _Route(msgspec.Struct, rename="camel"):
    """A route as stored."""

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    slo_ms: float
    attempts: int = 1
    priority: int = 0
    service: str | None = None
    targets: tuple[_Target, ...] = ()
    gather: tuple[str, ...] = ()
    # The number of records in an answer.
    top_k: int = 0
    min_coverage: float = 1.0
    public: bool = False


class _Workspace(msgspec.Struct, rename="camel"):
    """A workspace as stored."""

    name: str
    api_keys: tuple[str, ...]
    # Replaces the priority of the route.
    priority: int | None = None
    # Requests over all instances together; 0 for no limit.
    rate_per_s: float = 0.0
    burst: float = 0.0


class _Service(msgspec.Struct, rename="camel"):
    """A service as stored."""

    name: str
    # Limit of each backend server, over all instances together.
    max_conns: int
    # How long a server is cold, and the requests that it accepts in that time.
    warmup_s: float = 0.0
    warmup_per_s: float = 0.0


class _Limits(msgspec.Struct, rename="camel"):
    """Limits of callers' requests."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class _Configuration(msgspec.Struct):
    """The configuration as stored."""

    version: int
    routes: list[msgspec.Raw]
    services: tuple[_Service, ...]
    limits: _Limits
    tenants: list[msgspec.Raw] = []


class _Server(msgspec.Struct, rename="camel"):
    """A server's entry; its id is the name of the object.

    Any writer may have produced it; an entry with a missing field or an
    impossible value is invalid.
    """

    service: NonEmptyText
    addr: SocketAddress
    zone: NonEmptyText
    # Version of the server's software; validated but unused.
    version: ReadableText
    slots: Slots
    state: Literal["ready", "draining"]
    warmup_left_ms: RemainingMs
    # Rises with each write of one incarnation; validated but unused.
    seq: Count
    # When this incarnation started; entries written by older software lack it.
    born: Count = 0


def configuration_from(spec: bytes, cache: RouteCache) -> Configuration:
    """Decode a configuration; ``cache`` holds the routes of the previous one.

    Raises
    ------
    msgspec.DecodeError, ValueError
        If it is invalid.
    """
    raw = decode_json(spec, _Configuration)
    workspaces = cache.workspaces((bytes(item) for item in raw.tenants), _workspace)
    check_workspaces(workspaces)
    return Configuration(
        version=raw.version,
        routes=cache.routes((bytes(item) for item in raw.routes), _route),
        services={
            item.name: RoutedService(
                item.name,
                item.max_conns,
                warm_up_ms=item.warmup_s * MILLISECONDS_PER_SECOND,
                cold_per_s=item.warmup_per_s,
            )
            for item in raw.services
        },
        limits=CallerLimits(
            maximum_header_bytes=raw.limits.max_header_bytes,
            maximum_body_bytes=raw.limits.max_body_bytes,
            header_timeout_ms=raw.limits.header_timeout_ms,
            idle_timeout_ms=raw.limits.idle_timeout_ms,
        ),
        workspaces=workspaces,
    )


def _workspace(data: bytes) -> Workspace:
    raw = decode_json(data, _Workspace)
    return Workspace(
        name=raw.name,
        key_digests=tuple(digest_key(key.encode()) for key in raw.api_keys),
        rank=raw.priority,
        limit_per_s=raw.rate_per_s,
        limit_burst=raw.burst,
    )


def _route(data: bytes) -> Route:
    raw = decode_json(data, _Route)
    gathering = None
    services: tuple[WeightedService, ...] = ()
    if raw.gather:
        gathering = Gathering(raw.gather, raw.top_k, raw.min_coverage)
    elif raw.targets:
        services = tuple(WeightedService(t.service, t.weight) for t in raw.targets)
    elif raw.service is not None:
        services = (WeightedService(raw.service, 1.0),)
    return Route(
        name=raw.name,
        host=raw.host.lower(),
        path_prefix=raw.path_prefix,
        kind=RequestKind(raw.kind),
        timeout_ms=raw.timeout_ms,
        objective_ms=raw.slo_ms,
        attempts=raw.attempts,
        rank=raw.priority,
        services=services,
        gathering=gathering,
        is_public=raw.public,
    )


def server_entry_from(name: str, spec: bytes) -> ServerEntry:
    """Decode a backend server's entry.

    Raises
    ------
    msgspec.DecodeError
        If it is invalid.
    """
    raw = decode_json(spec, _Server)
    return ServerEntry(
        server_id=name,
        service=raw.service,
        address=raw.addr,
        zone=raw.zone,
        slots=raw.slots,
        is_draining=raw.state == "draining",
        warm_up_left_ms=raw.warmup_left_ms,
        born_ms=raw.born,
    )
