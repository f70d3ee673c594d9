"""Loggers with a fixed prefix for each part."""

from __future__ import annotations

import logging
from collections.abc import MutableMapping
from enum import StrEnum
from typing import Any

__all__ = ["LOGGER_NAME", "LOG_PART_HELP", "LogPart", "PartLogger", "part_logger"]

LOGGER_NAME = "ibisfront"


class LogPart(StrEnum):
    """The parts of an instance that log; the value is the prefix."""

    INSTANCE = "instance"
    CALLERS = "callers"
    ADMIN = "admin"
    QUERY = "query"
    BACKEND = "backend"
    PLATFORM = "platform"
    TABLE = "table"
    PEERS = "peers"
    MEMBERS = "members"
    LIMITS = "limits"
    LEDGER = "ledger"
    STOP = "stop"


LOG_PART_HELP: dict[LogPart, str] = {
    LogPart.INSTANCE: "the process as a whole: start, end, standstill, faults",
    LogPart.CALLERS: "callers' requests; those refused unrun only at `debug`",
    LogPart.ADMIN: "operators' requests",
    LogPart.QUERY: "searches: requests that crash backend servers",
    LogPart.BACKEND: "backend servers: which are left out, drain or come back",
    LogPart.PLATFORM: "the platform's object API: watches that fail and recover",
    LogPart.TABLE: "versions of the table: from where, in force, refused",
    LogPart.PEERS: "streams to the other instances",
    LogPart.MEMBERS: "instances that come, are suspected, die or leave",
    LogPart.LIMITS: "the table's limits and the shares of them",
    LogPart.LEDGER: "claims of non-idempotent requests",
    LogPart.STOP: "a planned stop, and each request that it cut off",
}
"""What each part's lines are about."""


class PartLogger(logging.LoggerAdapter[logging.Logger]):
    """Puts the prefix of a part before each message."""

    def process(
        self, msg: Any, kwargs: MutableMapping[str, Any]
    ) -> tuple[Any, MutableMapping[str, Any]]:
        """Return the message with its prefix; see ``logging.LoggerAdapter``."""
        part = "" if self.extra is None else self.extra["part"]
        return f"{part}: {msg}", kwargs


def part_logger(part: LogPart) -> PartLogger:
    """Return the logger of a part.

    Examples
    --------
    >>> part_logger(LogPart.TABLE).info("Version %d is in force.", 7)
    """
    return PartLogger(logging.getLogger(LOGGER_NAME), {"part": part.value})
