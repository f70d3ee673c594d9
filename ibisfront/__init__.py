"""A query tier between callers and sharded back ends."""

from __future__ import annotations

from ibisfront.core import (
    Answer,
    BackendServer,
    Coverage,
    ErrorKind,
    IbisfrontError,
    Index,
    MissingReason,
    MissingService,
    PerformAnswer,
    Purpose,
    Ran,
    Row,
    Service,
    Settings,
    Snapshot,
    Table,
    check_settings,
    read_settings,
)

__version__ = "0.1.0"

__all__ = [
    "Answer",
    "BackendServer",
    "Coverage",
    "ErrorKind",
    "IbisfrontError",
    "Index",
    "MissingReason",
    "MissingService",
    "PerformAnswer",
    "Purpose",
    "Ran",
    "Row",
    "Service",
    "Settings",
    "Snapshot",
    "Table",
    "__version__",
    "check_settings",
    "read_settings",
]
