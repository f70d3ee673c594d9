"""Workspaces of a soak run: their keys, limits and versions."""

from __future__ import annotations

from enum import StrEnum
from random import Random
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = [
    "FLOODED",
    "KEY_PREFIX",
    "STEADY",
    "Limit",
    "SoakWorkspaces",
    "WorkspaceChange",
    "WorkspaceChangeKind",
    "WorkspaceVersion",
    "draw_changes",
    "key_of",
    "versions_between",
]

KEY_PREFIX = "soakkey-"
STEADY = "harbour"
"""Workspace of the ordinary callers, which has no limit and keeps its key."""

FLOODED = "orchard"
"""Workspace whose callers ask for several times its limit."""

_CHANGING = ("meadow", "quarry")
_FIRST_KEYS = 2
_RANK = 3
_CHANGES_PER_S = 1.0
_LOWERED_WITHIN = (0.2, 0.6)


class Limit(msgspec.Struct, frozen=True):
    """Limit of a workspace's requests; a rate of 0 is none."""

    rate_per_s: float = 0.0
    burst: float = 0.0


_FIRST_LIMIT = Limit(8.0, 4.0)
_LOWER_LIMIT = Limit(4.0, 2.0)


class WorkspaceVersion(msgspec.Struct, frozen=True):
    """The workspaces of one version of the configuration.

    Attributes
    ----------
    at_ms : float
        When the store acknowledged it.
    holders : dict of str to str
        Workspace of each key.
    limits : dict of str to Limit
        Limit of each workspace.
    """

    at_ms: float
    holders: dict[str, str]
    limits: dict[str, Limit] = {}


def versions_between(
    history: list[WorkspaceVersion], from_ms: float, until_ms: float
) -> list[WorkspaceVersion]:
    """Return the versions that were the latest at some time of a span."""
    earlier = [version for version in history if version.at_ms <= from_ms]
    return [
        *earlier[-1:],
        *(version for version in history if from_ms < version.at_ms <= until_ms),
    ]


class WorkspaceChangeKind(StrEnum):
    """Kind of change between two versions."""

    ADD_KEY = "add_key"
    REVOKE_KEY = "revoke_key"
    MOVE_KEY = "move_key"
    LOWER_LIMIT = "lower_limit"


class WorkspaceChange(msgspec.Struct, frozen=True):
    """One change of the workspaces; ``target`` selects a key, modulo their number."""

    at_s: float
    kind: WorkspaceChangeKind
    target: int


def draw_changes(
    seed: int, *, length_s: float, settle_s: float
) -> list[WorkspaceChange]:
    """Return the changes of a run in order of time; deterministic for a seed.

    Keys change until the end; the limit is lowered while there are faults.
    """
    random = Random(f"workspaces {seed}")
    lowered_s = length_s * random.uniform(*_LOWERED_WITHIN)
    changes = [WorkspaceChange(lowered_s, WorkspaceChangeKind.LOWER_LIMIT, 0)]
    kinds = [
        kind
        for kind in WorkspaceChangeKind
        if kind is not WorkspaceChangeKind.LOWER_LIMIT
    ]
    at_s = 0.0
    while (at_s := at_s + random.expovariate(_CHANGES_PER_S)) < length_s + settle_s:
        changes.append(
            WorkspaceChange(at_s, random.choice(kinds), random.randrange(1_000))
        )
    return sorted(changes, key=lambda change: change.at_s)


def key_of(workspace: str, number: int = 0) -> str:
    """Return a key of a workspace."""
    return f"{KEY_PREFIX}{workspace}-{number}"


class SoakWorkspaces:
    """The workspaces of a run, as an operator changes them.

    Attributes
    ----------
    history : list of WorkspaceVersion
        The versions that the store acknowledged, in order.
    retired_keys : list of str
        Keys that were revoked, in order.
    """

    def __init__(self) -> None:
        self._holders = {key_of(STEADY): STEADY, key_of(FLOODED): FLOODED}
        for name in _CHANGING:
            for number in range(_FIRST_KEYS):
                self._holders[key_of(name, number)] = name
        self._limit = _FIRST_LIMIT
        self._added_count = _FIRST_KEYS
        self.history: list[WorkspaceVersion] = []
        self.retired_keys: list[str] = []

    @property
    def changing_keys(self) -> list[str]:
        """Keys of the latest version that changes may revoke or move."""
        return [key for key, name in self._holders.items() if name in _CHANGING]

    def apply(self, change: WorkspaceChange) -> None:
        """Apply a change; the next version has it."""
        if change.kind is WorkspaceChangeKind.LOWER_LIMIT:
            self._limit = _LOWER_LIMIT
            return
        keys = self.changing_keys
        if change.kind is WorkspaceChangeKind.ADD_KEY or len(keys) <= 1:
            name = _CHANGING[change.target % len(_CHANGING)]
            self._holders[key_of(name, self._added_count)] = name
            self._added_count += 1
            return
        key = keys[change.target % len(keys)]
        if change.kind is WorkspaceChangeKind.REVOKE_KEY:
            del self._holders[key]
            self.retired_keys.append(key)
        else:
            others = [name for name in _CHANGING if name != self._holders[key]]
            self._holders[key] = others[0]

    def document(self) -> list[Mapping[str, object]]:
        """Return the workspaces as an operator writes them."""
        items: list[Mapping[str, object]] = []
        for name in (STEADY, FLOODED, *_CHANGING):
            keys = [key for key, holder in self._holders.items() if holder == name]
            item: dict[str, object] = {"name": name, "apiKeys": keys}
            if name == FLOODED:
                item["ratePerS"] = self._limit.rate_per_s
                item["burst"] = self._limit.burst
            elif name == _CHANGING[0]:
                item["priority"] = _RANK
            items.append(item)
        return items

    def record_version(self, at_ms: float) -> None:
        """Record that the store acknowledged a version."""
        limits = {FLOODED: self._limit}
        self.history.append(WorkspaceVersion(at_ms, dict(self._holders), limits))
