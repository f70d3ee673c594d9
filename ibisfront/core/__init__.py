"""Domain model of the query tier, independent of transport and storage.

Exported names are imported lazily to shorten start-up, during which callers wait:
of the 26 modules that an eager import loads into the front daemon, 14 serve only
the other interface.
"""

from __future__ import annotations

from importlib import import_module
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from ibisfront.core.catalogue import Catalogue
    from ibisfront.core.clock import Clock
    from ibisfront.core.counters import CounterKind, Counters, CounterValue
    from ibisfront.core.coverage import Coverage, MissingReason, MissingService
    from ibisfront.core.errors import (
        ANSWERS,
        ErrorAnswer,
        ErrorKind,
        IbisfrontError,
        Ran,
    )
    from ibisfront.core.latencies import Latencies, LatencyValue
    from ibisfront.core.logs import LogPart, part_logger
    from ibisfront.core.members import Member, Members, MemberState
    from ibisfront.core.objects import ObjectKind, ObjectStore, VersionedObject
    from ibisfront.core.query import (
        Answer,
        CallerRequest,
        PerformAnswer,
        SubReply,
        SubRequest,
        SubRequestError,
    )
    from ibisfront.core.service import BackendServer, Service
    from ibisfront.core.settings import (
        Settings,
        SettingsError,
        check_settings,
        read_settings,
    )
    from ibisfront.core.snapshot import Index, Snapshot
    from ibisfront.core.table import Purpose, Row, Table
    from ibisfront.core.table_edit import TableConflict, TableProposal

__all__ = [
    "ANSWERS",
    "Answer",
    "BackendServer",
    "CallerRequest",
    "Catalogue",
    "Clock",
    "CounterKind",
    "CounterValue",
    "Counters",
    "Coverage",
    "ErrorAnswer",
    "ErrorKind",
    "IbisfrontError",
    "Index",
    "Latencies",
    "LatencyValue",
    "LogPart",
    "Member",
    "MemberState",
    "Members",
    "MissingReason",
    "MissingService",
    "ObjectKind",
    "ObjectStore",
    "PerformAnswer",
    "Purpose",
    "Ran",
    "Row",
    "Service",
    "Settings",
    "SettingsError",
    "Snapshot",
    "SubReply",
    "SubRequest",
    "SubRequestError",
    "Table",
    "TableConflict",
    "TableProposal",
    "VersionedObject",
    "check_settings",
    "part_logger",
    "read_settings",
]

_MODULES = {
    "ANSWERS": "errors",
    "Answer": "query",
    "BackendServer": "service",
    "CallerRequest": "query",
    "Catalogue": "catalogue",
    "Clock": "clock",
    "CounterKind": "counters",
    "CounterValue": "counters",
    "Counters": "counters",
    "Coverage": "coverage",
    "ErrorAnswer": "errors",
    "ErrorKind": "errors",
    "IbisfrontError": "errors",
    "Index": "snapshot",
    "Latencies": "latencies",
    "LatencyValue": "latencies",
    "LogPart": "logs",
    "Member": "members",
    "MemberState": "members",
    "Members": "members",
    "MissingReason": "coverage",
    "MissingService": "coverage",
    "ObjectKind": "objects",
    "ObjectStore": "objects",
    "PerformAnswer": "query",
    "Purpose": "table",
    "Ran": "errors",
    "Row": "table",
    "Service": "service",
    "Settings": "settings",
    "SettingsError": "settings",
    "Snapshot": "snapshot",
    "SubReply": "query",
    "SubRequest": "query",
    "SubRequestError": "query",
    "Table": "table",
    "TableConflict": "table_edit",
    "TableProposal": "table_edit",
    "VersionedObject": "objects",
    "check_settings": "settings",
    "part_logger": "logs",
    "read_settings": "settings",
}
"""Submodule that defines each exported name."""


def __getattr__(name: str) -> Any:
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(f"{__name__}.{_MODULES[name]}"), name)
