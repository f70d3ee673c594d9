"""A query tier between callers and sharded back ends."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
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


def __getattr__(name: str) -> Any:
    # Imported lazily; see ibisfront.core.
    if name not in __all__:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    import ibisfront.core

    return getattr(ibisfront.core, name)
