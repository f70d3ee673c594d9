"""The instances among which limits are divided."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ibisfront.gateway.instances.directory import InstanceEntry

__all__ = ["RecentInstances"]

_RETENTION_MS = 30_000.0
"""How long an instance that is no longer listed still counts: longer than the window of
the retry budgets, and than a list takes to become complete again."""


class RecentInstances:
    """Instances that are listed, or were a short time ago.

    A list may lack live instances for some seconds: it may be stale, or from a store
    that has lost entries. Limits divided among those listed alone would then add up
    to more than the whole.

    Parameters
    ----------
    own_name : str
        Name of this instance.
    is_first_start : bool
        Whether all instances start for the first time, so that none was listed before.

    Attributes
    ----------
    is_member : bool
        Whether this instance is one of them.
    joined_at_ms : float or None
        When this instance was first listed, unless it was listed before its start;
        the others may not know of it yet.
    """

    __slots__ = (
        "_entries",
        "_listed_names",
        "_listed_until_ms",
        "_own_name",
        "_was_unlisted",
        "is_member",
        "joined_at_ms",
    )

    def __init__(self, own_name: str, *, is_first_start: bool) -> None:
        self._own_name = own_name
        self._was_unlisted = is_first_start
        self._entries: dict[str, InstanceEntry] = {}
        self._listed_names: list[str] = []
        self._listed_until_ms: dict[str, float] = {}
        self.is_member = False
        self.joined_at_ms: float | None = None

    def update(
        self, listed: Sequence[InstanceEntry], now_ms: float
    ) -> list[InstanceEntry]:
        """Return the instances that count, given a list just received."""
        for name in self._listed_names:
            self._listed_until_ms[name] = now_ms
        for entry in listed:
            self._entries[entry.name] = entry
            self._listed_until_ms[entry.name] = now_ms
        self._listed_names = [entry.name for entry in listed]
        self._remove_expired(now_ms)
        self._update_membership(now_ms)
        return [self._entries[name] for name in sorted(self._entries)]

    def _remove_expired(self, now_ms: float) -> None:
        expired = [
            name
            for name, listed_until_ms in self._listed_until_ms.items()
            if listed_until_ms <= now_ms - _RETENTION_MS
        ]
        for name in expired:
            del self._entries[name], self._listed_until_ms[name]

    def _update_membership(self, now_ms: float) -> None:
        was_member = self.is_member
        self.is_member = self._own_name in self._entries
        if self.is_member and not was_member and self._was_unlisted:
            self.joined_at_ms = now_ms
        self._was_unlisted = not self.is_member
