"""Loggers with a fixed prefix for each part of an instance."""

from __future__ import annotations

import logging
from collections.abc import MutableMapping
from enum import StrEnum
from typing import Any

__all__ = ["LOGGER_NAME", "LOG_PART_HELP", "LogPart", "PartLogger", "part_logger"]

LOGGER_NAME = "ibisfront"


class LogPart(StrEnum):
    """Parts of an instance that log; the value is the message prefix."""

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
    LogPart.INSTANCE: "the process as a whole: start, exit, pauses, internal errors",
    LogPart.CALLERS: "callers' requests; those that did not run only at `debug`",
    LogPart.ADMIN: "operators' requests",
    LogPart.QUERY: "searches: requests that crash backend servers",
    LogPart.BACKEND: "backend servers that are ejected, drain or are readmitted",
    LogPart.PLATFORM: "the platform's object API: failure and recovery of watches",
    LogPart.TABLE: "versions of the table: origin, applied or rejected",
    LogPart.PEERS: "streams to the other instances",
    LogPart.MEMBERS: "instances that join, are suspected, fail or leave",
    LogPart.LIMITS: "the table's limits and the shares of each instance",
    LogPart.LEDGER: "claims of non-idempotent requests",
    LogPart.STOP: "planned stops and the requests aborted by them",
}
"""Subjects of the log lines of each part."""


class PartLogger(logging.LoggerAdapter[logging.Logger]):
    """Adds the prefix of a part to each message."""

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
