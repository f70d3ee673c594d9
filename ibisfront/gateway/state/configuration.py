"""Configuration written by operators: routes, services and limits."""

from __future__ import annotations

import functools
import hashlib
import math
from enum import StrEnum

import msgspec

from ibisfront.gateway.workspaces.directory import WorkspaceDirectory

__all__ = [
    "CallerLimits",
    "Configuration",
    "Gathering",
    "RequestKind",
    "Route",
    "RouteTable",
    "RoutedService",
    "WeightedService",
    "Workspace",
]


class RequestKind(StrEnum):
    """Whether a request may run more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"


class WeightedService(msgspec.Struct, frozen=True, array_like=True):
    """A service that receives a weighted share of a route's requests.

    Attributes
    ----------
    service : str
        Name of the service.
    weight : float
        Relative to the weights of the route's other services.
    """

    service: str
    weight: float


@functools.lru_cache(maxsize=64)
def _digest(services: tuple[str, ...], top_count: int) -> str:
    """Return their digest; cached because hashing takes longer than a lookup."""
    data = msgspec.json.encode((services, top_count))
    return hashlib.blake2b(data, digest_size=8).hexdigest()


class Gathering(msgspec.Struct, frozen=True, array_like=True):
    """Services and merge parameters of a scatter-gather route.

    Attributes
    ----------
    services : tuple of str
        Services that each hold one part of the index.
    top_count : int
        Number of top-ranked records in the merged reply.
    minimum_coverage : float
        Minimum fraction of parts required for a reply, 0 to 1.
    """

    services: tuple[str, ...]
    top_count: int
    minimum_coverage: float

    @property
    def needed_parts(self) -> int:
        """Minimum number of parts required for a reply, at least one.

        The tolerance absorbs rounding error: 0.89 * 100 is slightly greater than 89
        in floating point.
        """
        parts = self.minimum_coverage * len(self.services)
        return max(math.ceil(parts - 1e-9), 1)

    @property
    def digest(self) -> str:
        """Digest that is equal only where replies are interchangeable."""
        return _digest(self.services, self.top_count)


class Route(msgspec.Struct, frozen=True, array_like=True):
    """How requests for one host and path prefix are handled.

    Exactly one of ``services`` and ``gathering`` is given.

    Attributes
    ----------
    name : str
        Name used in logs and counters.
    host : str
        Host requested by callers, without a port, in lower case.
    path_prefix : str
        Begins and ends with a slash.
    kind : RequestKind
        Whether its requests are idempotent.
    timeout_ms : float
        Maximum time until a caller receives a reply.
    objective_ms : float
        Latency objective: a reply within this time has its full value.
    attempts : int
        Maximum number of backend servers that one request is sent to, per service.
    rank : int
        Priority; 0 is served first.
    services : tuple of WeightedService
        Services that share its requests.
    gathering : Gathering or None
        Set if each request is sent to all services of a list.
    is_public : bool
        Whether its requests need no key where there are workspaces.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    timeout_ms: float
    objective_ms: float
    attempts: int
    rank: int
    services: tuple[WeightedService, ...] = ()
    gathering: Gathering | None = None
    is_public: bool = False

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RequestKind.IDEMPOTENT

    @property
    def service_names(self) -> tuple[str, ...]:
        """All services that its requests may be sent to."""
        if self.gathering is not None:
            return self.gathering.services
        return tuple(item.service for item in self.services)


class RoutedService(msgspec.Struct, frozen=True, array_like=True):
    """Configuration of a service.

    Attributes
    ----------
    name : str
        Name of the service.
    maximum_connections : int
        Connections that one of its servers accepts from all callers together.
    warm_up_ms : float
        Time until a cold server reaches its normal latency.
    cold_per_s : float
        Requests per second that a cold server can handle; 0 for no limit.
    """

    name: str
    maximum_connections: int
    warm_up_ms: float = 0.0
    cold_per_s: float = 0.0


class Workspace(msgspec.Struct, frozen=True, array_like=True):
    """A group of callers with its own keys, priority and rate limit.

    Attributes
    ----------
    name : str
        Name of the workspace.
    key_digests : tuple of str
        Digests of the keys that its callers send; the keys themselves are not kept.
    rank : int or None
        Priority of its requests, which replaces that of their route; None to keep it.
    limit_per_s : float
        Requests per second that it may send to all instances together; 0 for no
        limit.
    limit_burst : float
        Requests that it may send in addition at any time.
    """

    name: str
    key_digests: tuple[str, ...]
    rank: int | None = None
    limit_per_s: float = 0.0
    limit_burst: float = 0.0

    @property
    def is_limited(self) -> bool:
        """Whether its requests are limited."""
        return self.limit_per_s > 0.0


class CallerLimits(msgspec.Struct, frozen=True):
    """Size limits and timeouts for requests of callers.

    The defaults apply until a configuration is loaded.
    """

    maximum_header_bytes: int = 16_384
    maximum_body_bytes: int = 262_144
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class Configuration(msgspec.Struct, frozen=True):
    """A complete version of the configuration.

    Without ``workspaces``, requests need no key and are not limited.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, RoutedService]
    limits: CallerLimits
    workspaces: tuple[Workspace, ...] = ()


class RouteTable:
    """Finds the route of a request; built once per configuration version.

    Parameters
    ----------
    configuration : Configuration
        The active version.
    previous : RouteTable, optional
        Table of the version before, whose unchanged parts are shared.

    Attributes
    ----------
    workspaces : WorkspaceDirectory
        The workspaces.
    gathered_services : frozenset of str
        Services of scatter-gather routes.
    service_names : frozenset of str
        All services that a request may be sent to.
    route_names : frozenset of str
        Names of all routes.
    distinct_routes : tuple of Route
        One route per target. Thousands of routes may have the same target, and all
        of them can be served if one can.
    """

    __slots__ = (
        "_by_host",
        "_longest_prefix",
        "configuration",
        "distinct_routes",
        "gathered_services",
        "route_names",
        "service_names",
        "workspaces",
    )

    def __init__(
        self, configuration: Configuration, *, previous: RouteTable | None = None
    ) -> None:
        self.configuration = configuration
        directory = WorkspaceDirectory() if previous is None else previous.workspaces
        self.workspaces: WorkspaceDirectory = directory.updated(
            configuration.workspaces
        )
        self._by_host: dict[str, dict[str, Route]] = {}
        self._longest_prefix = max(
            (len(route.path_prefix) for route in configuration.routes), default=0
        )
        by_target: dict[str | tuple[str, ...] | Gathering, Route] = {}
        # One pass of plain loops, since queries wait while the table is built.
        for route in configuration.routes:
            self._by_host.setdefault(route.host, {})[route.path_prefix] = route
            by_target.setdefault(_target(route), route)
        distinct = tuple(by_target.values())
        self.distinct_routes = distinct
        self.route_names = frozenset([route.name for route in configuration.routes])
        self.service_names = frozenset(
            name for route in distinct for name in route.service_names
        )
        self.gathered_services = frozenset(
            name
            for route in distinct
            if route.gathering is not None
            for name in route.gathering.services
        )

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, if any.

        The cost depends on the depth of the path, as far as prefixes reach, and not on
        the number of routes.
        """
        routes = self._by_host.get(host)
        if routes is None:
            return None
        end = path.rfind("/", 0, self._longest_prefix) + 1
        while end > 0:
            route = routes.get(path[:end])
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        return None


def _target(route: Route) -> str | tuple[str, ...] | Gathering:
    """Return the key shared by routes that are sent to the same services."""
    if route.gathering is not None:
        return route.gathering
    if len(route.services) == 1:
        return route.services[0].service
    return route.service_names
