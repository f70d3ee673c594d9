"""The configuration that operators write: routes, services and limits."""

from __future__ import annotations

import functools
import hashlib
import math
from enum import StrEnum

import msgspec

__all__ = [
    "CallerLimits",
    "Configuration",
    "Gathering",
    "RequestKind",
    "Route",
    "RouteTable",
    "RoutedService",
    "WeightedService",
]


class RequestKind(StrEnum):
    """Whether a request may run more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"


class WeightedService(msgspec.Struct, frozen=True, array_like=True):
    """One of the services that share a route's requests.

    Attributes
    ----------
    service : str
        Its name.
    weight : float
        Its share, relative to the weights of the route's other services.
    """

    service: str
    weight: float


@functools.lru_cache(maxsize=64)
def _digest(services: tuple[str, ...], top_count: int) -> str:
    """Return a digest; kept, as hashing takes longer than a look-up."""
    data = msgspec.json.encode((services, top_count))
    return hashlib.blake2b(data, digest_size=8).hexdigest()


class Gathering(msgspec.Struct, frozen=True, array_like=True):
    """How a query over many services is put together.

    Attributes
    ----------
    services : tuple of str
        The services that each hold one part of the index.
    top_count : int
        How many of the greatest records the answer holds.
    minimum_coverage : float
        The least share of the parts that makes an answer, 0 to 1.
    """

    services: tuple[str, ...]
    top_count: int
    minimum_coverage: float

    @property
    def needed_parts(self) -> int:
        """How many parts make an answer; at least one.

        The bound is a share; a product such as 0.89 x 100 may come out a hair
        above the whole number that it stands for.
        """
        share = self.minimum_coverage * len(self.services)
        return max(math.ceil(share - 1e-9), 1)

    @property
    def digest(self) -> str:
        """Tell gatherings apart whose answers would not be interchangeable."""
        return _digest(self.services, self.top_count)


class Route(msgspec.Struct, frozen=True, array_like=True):
    """What becomes of the requests of one host and path prefix.

    Exactly one of ``services`` and ``gathering`` is given.

    Attributes
    ----------
    name : str
        Its name, for logs and counters.
    host : str
        The host that callers name, without a port, in lower case.
    path_prefix : str
        Begins and ends with a slash.
    kind : RequestKind
        Whether its requests may be repeated.
    timeout_ms : float
        The longest time that a caller is kept waiting.
    objective_ms : float
        The time within which an answer has its full worth.
    attempts : int
        To how many backend servers one request may be sent, for each service.
    rank : int
        0 is served first.
    services : tuple of WeightedService
        The services that share its requests.
    gathering : Gathering or None
        Set if each request goes to all of a list of services.
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

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RequestKind.IDEMPOTENT

    @property
    def service_names(self) -> tuple[str, ...]:
        """Every service that its requests may reach."""
        if self.gathering is not None:
            return self.gathering.services
        return tuple(item.service for item in self.services)


class RoutedService(msgspec.Struct, frozen=True, array_like=True):
    """What the configuration says of a service.

    Attributes
    ----------
    name : str
        Its name.
    maximum_connections : int
        How many connections one of its servers accepts from all callers.
    warm_up_ms : float
        How long one of its servers is slow after it has become cold.
    cold_per_s : float
        How many requests a second a cold server bears; 0 for no bound.
    """

    name: str
    maximum_connections: int
    warm_up_ms: float = 0.0
    cold_per_s: float = 0.0


class CallerLimits(msgspec.Struct, frozen=True):
    """What callers may send, and how long they may take.

    The defaults hold until a configuration is known.
    """

    maximum_header_bytes: int = 16_384
    maximum_body_bytes: int = 262_144
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class Configuration(msgspec.Struct, frozen=True):
    """One version of the configuration, in full."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, RoutedService]
    limits: CallerLimits


class RouteTable:
    """Finds the route of a request; built once for each version.

    Parameters
    ----------
    configuration : Configuration
        The version in force.

    Attributes
    ----------
    gathered_services : frozenset of str
        The services that are asked by gathered queries.
    service_names : frozenset of str
        Every service that a request may reach.
    route_names : frozenset of str
        Every route.
    distinct_routes : tuple of Route
        One route of each target; whether it can be served holds for all routes
        with that target, of which there may be thousands.
    """

    __slots__ = (
        "_by_host",
        "configuration",
        "distinct_routes",
        "gathered_services",
        "route_names",
        "service_names",
    )

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self._by_host: dict[str, dict[str, Route]] = {}
        by_target: dict[str | tuple[str, ...] | Gathering, Route] = {}
        # One pass of plain loops: built at each change, while queries wait.
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
        """Return the route with the longest prefix of a path, if any.

        The work grows with the depth of the path, not with the number of
        routes.
        """
        routes = self._by_host.get(host)
        if routes is None:
            return None
        end = path.rfind("/") + 1
        while end > 0:
            route = routes.get(path[:end])
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        return None


def _target(route: Route) -> str | tuple[str, ...] | Gathering:
    """Return what tells apart routes that can be served and others that cannot."""
    if route.gathering is not None:
        return route.gathering
    if len(route.services) == 1:
        return route.services[0].service
    return route.service_names
