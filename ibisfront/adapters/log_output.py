"""Log output as JSON lines on standard error."""

from __future__ import annotations

import logging
import sys
from typing import TYPE_CHECKING

from pythonjsonlogger.json import JsonFormatter

from ibisfront.core.logs import LOGGER_NAME

if TYPE_CHECKING:
    from ibisfront.core.settings import Settings

__all__ = ["configure_logging"]


def configure_logging(settings: Settings) -> None:
    """Configure the process's logging to write JSON lines.

    Each line is one JSON object with ``timestamp``, ``level``, ``message``
    (which starts with the prefix of its log part), ``instance`` and, for a
    line about a request, ``request_id``.
    """
    formatter = JsonFormatter(
        "%(levelname)s %(message)s",
        rename_fields={"levelname": "level"},
        static_fields={"instance": settings.instance.name},
        timestamp=True,
    )
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(formatter)
    log = logging.getLogger(LOGGER_NAME)
    log.addHandler(handler)
    log.setLevel(settings.logs.level.upper())
    log.propagate = False
