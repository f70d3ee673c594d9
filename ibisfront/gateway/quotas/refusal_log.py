"""Log lines about refused requests of workspaces, bounded under a flood."""

from __future__ import annotations

import math
from collections import Counter

from ibisfront.core.logs import LogPart, part_logger

__all__ = ["QuotaRefusalLog"]

_LOG = part_logger(LogPart.LIMITS)

_INTERVAL_MS = 1_000.0
"""Minimum interval between two lines about one workspace."""

_MAX_WORKSPACES = 256
"""Workspaces with a line in one interval."""


class QuotaRefusalLog:
    """Logs a first refusal of a workspace, and how many more followed it."""

    __slots__ = ("_counts", "_from_ms")

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()
        self._from_ms = -math.inf

    def record(self, workspace: str, now_ms: float) -> bool:
        """Count a refusal; return whether it should be logged with its inputs."""
        if now_ms >= self._from_ms + _INTERVAL_MS:
            self._log_counts()
            self._from_ms = now_ms
        if workspace in self._counts:
            self._counts[workspace] += 1
            return False
        if len(self._counts) >= _MAX_WORKSPACES:
            return False
        self._counts[workspace] = 1
        return True

    def _log_counts(self) -> None:
        for workspace, count in self._counts.items():
            if count > 1:
                fields = {"workspace": workspace, "refused": count}
                _LOG.info("More requests of %s were refused.", workspace, extra=fields)
        self._counts.clear()
