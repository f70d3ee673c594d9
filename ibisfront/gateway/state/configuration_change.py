"""Differences between two versions of the configuration."""

from __future__ import annotations

import msgspec

from ibisfront.gateway.state.configuration import (
    CallerLimits,
    Configuration,
    Route,
    RoutedService,
    Workspace,
)

__all__ = [
    "ConfigurationChange",
    "ConfigurationHistory",
    "apply_change",
    "compute_change",
]

_MAXIMUM_EARLIER_VERSIONS = 8
"""Earlier versions that changes can be computed from. Subscribers are one or two
versions behind, or a few during a rapid series of changes. Versions share unchanged
routes."""


class ConfigurationChange(msgspec.Struct, frozen=True):
    """Difference between one version and a later one.

    Attributes
    ----------
    before : int
        Version that it applies to.
    version : int
        Version that results.
    routes : tuple of Route
        Routes that were added or changed.
    removed : tuple of str
        Names of removed routes.
    services : dict of str to RoutedService, or None
        All services, if one of them has changed.
    limits : CallerLimits or None
        Limits for callers, if changed.
    workspaces : tuple of Workspace
        Workspaces that were added or changed.
    removed_workspaces : tuple of str
        Names of removed workspaces.
    """

    before: int
    version: int
    routes: tuple[Route, ...] = ()
    removed: tuple[str, ...] = ()
    services: dict[str, RoutedService] | None = None
    limits: CallerLimits | None = None
    workspaces: tuple[Workspace, ...] = ()
    removed_workspaces: tuple[str, ...] = ()


def apply_change(before: Configuration, change: ConfigurationChange) -> Configuration:
    """Return the later version; ``before`` must be the version named by the change."""
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
        workspaces=_changed_workspaces(before.workspaces, change),
    )


def _changed_workspaces(
    before: tuple[Workspace, ...], change: ConfigurationChange
) -> tuple[Workspace, ...]:
    """Return the later workspaces; the same object if none has changed."""
    if not change.workspaces and not change.removed_workspaces:
        return before
    workspaces = {item.name: item for item in before}
    for name in change.removed_workspaces:
        workspaces.pop(name, None)
    workspaces.update((item.name, item) for item in change.workspaces)
    return tuple(workspaces.values())


def compute_change(
    before: Configuration, after: Configuration
) -> ConfigurationChange | None:
    """Return the difference between one version and a later one.

    Returns
    -------
    ConfigurationChange or None
        None if applying it would not reproduce ``after`` exactly, for instance if
        routes were reordered or two routes have the same name.
    """
    before_routes = {route.name: route for route in before.routes}
    names = {route.name for route in after.routes}
    before_workspaces = {item.name: item for item in before.workspaces}
    workspace_names = {item.name for item in after.workspaces}
    change = ConfigurationChange(
        before=before.version,
        version=after.version,
        routes=tuple(
            item for item in after.routes if before_routes.get(item.name) != item
        ),
        removed=tuple(name for name in before_routes if name not in names),
        services=None if before.services == after.services else after.services,
        limits=None if before.limits == after.limits else after.limits,
        workspaces=tuple(
            item
            for item in after.workspaces
            if before_workspaces.get(item.name) != item
        ),
        removed_workspaces=tuple(
            name for name in before_workspaces if name not in workspace_names
        ),
    )
    return change if apply_change(before, change) == after else None


class ConfigurationHistory:
    """Recent versions, from which changes for subscribers are computed.

    Sending thousands of routes to each subscriber when one was added would saturate
    the links that also carry replies.

    Attributes
    ----------
    newest : Configuration or None
        Newest version.
    """

    __slots__ = ("_changes", "_earlier", "newest")

    def __init__(self) -> None:
        self.newest: Configuration | None = None
        self._earlier: dict[int, Configuration] = {}
        self._changes: dict[int, ConfigurationChange | None] = {}

    def add(self, configuration: Configuration) -> None:
        """Add a newer version and drop the oldest one beyond the limit."""
        if self.newest is not None:
            self._earlier[self.newest.version] = self.newest
        if len(self._earlier) >= _MAXIMUM_EARLIER_VERSIONS:
            del self._earlier[next(iter(self._earlier))]
        self._changes.clear()
        self.newest = configuration

    def change_since(self, version: int) -> ConfigurationChange | None:
        """Return the change since a version; None if that version was not kept."""
        before = self._earlier.get(version)
        if before is None or self.newest is None:
            return None
        if version not in self._changes:
            self._changes[version] = compute_change(before, self.newest)
        return self._changes[version]
