"""What differs between two versions of the configuration."""

from __future__ import annotations

import msgspec

from ibisfront.gateway.state.configuration import (
    CallerLimits,
    Configuration,
    Route,
    RoutedService,
)

__all__ = [
    "ConfigurationChange",
    "ConfigurationHistory",
    "apply_change",
    "compute_change",
]

_MAXIMUM_EARLIER_VERSIONS = 8
"""Versions that are remembered: who follows is a version or two behind, in a quick
series of changes a few. They share the routes that did not change."""


class ConfigurationChange(msgspec.Struct, frozen=True):
    """What turns one version into a later one.

    Attributes
    ----------
    before : int
        The version that it applies to.
    version : int
        The version that it leads to.
    routes : tuple of Route
        Routes that are new or have changed.
    removed : tuple of str
        The names of routes that are gone.
    services : dict of str to RoutedService, or None
        All services, if one of them has changed.
    limits : CallerLimits or None
        What callers may send, if that has changed.
    """

    before: int
    version: int
    routes: tuple[Route, ...] = ()
    removed: tuple[str, ...] = ()
    services: dict[str, RoutedService] | None = None
    limits: CallerLimits | None = None


def apply_change(before: Configuration, change: ConfigurationChange) -> Configuration:
    """Return the later version; ``before`` must be the one that the change names."""
    routes = {route.name: route for route in before.routes}
    for name in change.removed:
        routes.pop(name, None)
    routes.update((route.name, route) for route in change.routes)
    services = change.services
    limits = change.limits
    return Configuration(
        version=change.version,
        routes=tuple(routes.values()),
        services=before.services if services is None else services,
        limits=before.limits if limits is None else limits,
    )


def compute_change(
    before: Configuration, after: Configuration
) -> ConfigurationChange | None:
    """Return what leads from one version to a later one.

    Returns
    -------
    ConfigurationChange or None
        None if it would not lead to exactly that version, as where routes were
        reordered or two have one name.
    """
    before_routes = {route.name: route for route in before.routes}
    names = {route.name for route in after.routes}
    change = ConfigurationChange(
        before=before.version,
        version=after.version,
        routes=tuple(
            item for item in after.routes if before_routes.get(item.name) != item
        ),
        removed=tuple(name for name in before_routes if name not in names),
        services=None if before.services == after.services else after.services,
        limits=None if before.limits == after.limits else after.limits,
    )
    return change if apply_change(before, change) == after else None


class ConfigurationHistory:
    """The last versions, for telling others what has changed since theirs.

    Sent whole to each follower, one route more of thousands would fill the links on
    which answers travel.

    Attributes
    ----------
    newest : Configuration or None
        The newest version.
    """

    __slots__ = ("_changes", "_earlier", "newest")

    def __init__(self) -> None:
        self.newest: Configuration | None = None
        self._earlier: dict[int, Configuration] = {}
        self._changes: dict[int, ConfigurationChange | None] = {}

    def add(self, configuration: Configuration) -> None:
        """Take in a newer version; the oldest is forgotten."""
        if self.newest is not None:
            self._earlier[self.newest.version] = self.newest
        if len(self._earlier) >= _MAXIMUM_EARLIER_VERSIONS:
            del self._earlier[next(iter(self._earlier))]
        self._changes.clear()
        self.newest = configuration

    def change_since(self, version: int) -> ConfigurationChange | None:
        """Return what has changed since a version; None if that is not known."""
        before = self._earlier.get(version)
        if before is None or self.newest is None:
            return None
        if version not in self._changes:
            self._changes[version] = compute_change(before, self.newest)
        return self._changes[version]
