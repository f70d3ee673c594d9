"""Look-up of workspaces by their keys and names."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from typing import TYPE_CHECKING

from ibisfront.gateway.workspaces.keys import EMPTY_KEY_DIGEST

if TYPE_CHECKING:
    from ibisfront.gateway.state.configuration import Workspace

__all__ = ["WorkspaceDirectory", "check_workspaces"]

_MAX_NAME_BYTES = 256
"""Instances send the name to each other in a header of limited size."""


class WorkspaceDirectory:
    """The workspaces of one configuration version.

    A look-up takes one dictionary access, whatever the number of keys.

    Parameters
    ----------
    workspaces : tuple of Workspace
        The workspaces, checked by :func:`check_workspaces`.
    """

    __slots__ = ("_by_digest", "_by_name", "workspaces")

    def __init__(self, workspaces: tuple[Workspace, ...] = ()) -> None:
        self.workspaces = workspaces
        self._by_name = {item.name: item for item in workspaces}
        self._by_digest: dict[str, Workspace] = {}
        self._add_keys(workspaces)

    def __bool__(self) -> bool:
        """Return whether there are any workspaces."""
        return bool(self.workspaces)

    def find(self, key_digest: str) -> Workspace | None:
        """Return the workspace of a key, if any."""
        return self._by_digest.get(key_digest)

    def named(self, name: str) -> Workspace | None:
        """Return the workspace of a name, if any."""
        return self._by_name.get(name)

    def updated(self, workspaces: tuple[Workspace, ...]) -> WorkspaceDirectory:
        """Return the directory of these workspaces; this one if they are the same.

        Only the keys of changed workspaces are looked at, since requests wait.
        """
        if workspaces == self.workspaces:
            return self
        after = WorkspaceDirectory()
        after.workspaces = workspaces
        after._by_name = {item.name: item for item in workspaces}
        after._by_digest = self._by_digest.copy()
        for item in self.workspaces:
            if after._by_name.get(item.name) != item:
                for digest in item.key_digests:
                    del after._by_digest[digest]
        after._add_keys(
            item for item in workspaces if self._by_name.get(item.name) != item
        )
        return after

    def _add_keys(self, workspaces: Iterable[Workspace]) -> None:
        for item in workspaces:
            self._by_digest.update(dict.fromkeys(item.key_digests, item))


def check_workspaces(workspaces: Collection[Workspace]) -> None:
    """Check that each request belongs to at most one workspace.

    Raises
    ------
    ValueError
        If one is invalid; names the workspace and the field, and never a key.
    """
    names: set[str] = set()
    digests: set[str] = set()
    for position, item in enumerate(workspaces):
        _check_name(item.name, position)
        if item.name in names:
            raise ValueError(f"workspace {item.name!r}: name: used twice")
        names.add(item.name)
        _check_limits(item)
        if EMPTY_KEY_DIGEST in item.key_digests:
            raise ValueError(f"workspace {item.name!r}: keys: one is empty")
        known = len(digests)
        digests.update(item.key_digests)
        if len(digests) < known + len(item.key_digests):
            _reject_repeated_key(item, workspaces)


def _reject_repeated_key(repeating: Workspace, workspaces: Iterable[Workspace]) -> None:
    """Raise the error of a workspace with a key that was listed before."""
    digests = set(repeating.key_digests)
    for item in workspaces:
        if item is not repeating and not digests.isdisjoint(item.key_digests):
            raise ValueError(
                f"workspace {repeating.name!r}: keys: one also belongs to {item.name!r}"
            )
    raise ValueError(f"workspace {repeating.name!r}: keys: one is listed twice")


def _check_name(name: str, position: int) -> None:
    """Check that a name can be sent in a header."""
    if not name:
        raise ValueError(f"workspace {position + 1} of the list: name: empty")
    if not name.isprintable() or name != name.strip():
        raise ValueError(f"workspace {name!r}: name: not fit for a header")
    if len(name.encode(errors="replace")) > _MAX_NAME_BYTES:
        raise ValueError(
            f"workspace {name[:40]!r}...: name: over {_MAX_NAME_BYTES} bytes"
        )


def _check_limits(workspace: Workspace) -> None:
    limits = {"rate": workspace.limit_per_s, "burst": workspace.limit_burst}
    for field, value in limits.items():
        if value < 0.0:
            raise ValueError(f"workspace {workspace.name!r}: {field}: negative")
