"""Decision to which workspace a request belongs, or that it is refused.

Load pattern: callers use keys that were just added or just revoked, while some
instances do not have the newest configuration. A caller does not repeat a request that
was refused with 401; an instance that may not know the newest keys asks it to retry.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from enum import StrEnum
from typing import TYPE_CHECKING

from ibisfront.gateway.workspaces.keys import EMPTY_KEY_DIGEST

if TYPE_CHECKING:
    from ibisfront.gateway.state.configuration import Workspace
    from ibisfront.gateway.workspaces.directory import WorkspaceDirectory

__all__ = ["KeyRefusal", "accepts_delegated", "authenticate"]


class KeyRefusal(StrEnum):
    """Why a request is refused for its key."""

    NO_KEY = "no_key"
    SEVERAL_KEYS = "several_keys"
    UNKNOWN_KEY = "unknown_key"
    NOT_KNOWN_YET = "key_not_known_yet"

    @property
    def is_final(self) -> bool:
        """Whether the same request will also be refused later."""
        return self is not KeyRefusal.NOT_KNOWN_YET


def authenticate(
    directory: WorkspaceDirectory,
    key_digests: Sequence[str],
    *,
    is_public: bool,
    is_fresh: Callable[[], bool],
) -> Workspace | KeyRefusal | None:
    """Return the workspace of a request, or why it is refused.

    Parameters
    ----------
    directory : WorkspaceDirectory
        The workspaces of the configuration in force; not empty.
    key_digests : sequence of str
        Digests of all keys that the request carries.
    is_public : bool
        Whether the route needs no key.
    is_fresh : callable
        Returns whether this instance knows the newest configuration.

    Returns
    -------
    Workspace, KeyRefusal or None
        None for a request of a public route without a known key.
    """
    is_single = len(key_digests) == 1 and key_digests[0] != EMPTY_KEY_DIGEST
    workspace = directory.find(key_digests[0]) if is_single else None
    if workspace is not None or is_public:
        return workspace
    if len(key_digests) > 1:
        return KeyRefusal.SEVERAL_KEYS
    if not is_single:
        return KeyRefusal.NO_KEY
    return KeyRefusal.UNKNOWN_KEY if is_fresh() else KeyRefusal.NOT_KNOWN_YET


def accepts_delegated(
    directory: WorkspaceDirectory, workspace: str, *, is_public: bool
) -> bool:
    """Return whether to run a query that another instance has authenticated.

    One of these instances may have another version, without that workspace or without
    any.

    Parameters
    ----------
    directory : WorkspaceDirectory
        The workspaces of the configuration in force here; may be empty.
    workspace : str
        Name of the query's workspace; empty for none.
    is_public : bool
        Whether the route needs no key.
    """
    if workspace:
        return directory.named(workspace) is not None
    return is_public or not directory
