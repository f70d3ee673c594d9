"""The domain: the things that the tier is about, without the outside."""

from __future__ import annotations

from ibisfront.core.catalogue import Catalogue
from ibisfront.core.clock import Clock
from ibisfront.core.counters import CounterKind, Counters, CounterValue
from ibisfront.core.coverage import Coverage, MissingReason, MissingService
from ibisfront.core.errors import ANSWERS, ErrorAnswer, ErrorKind, IbisfrontError, Ran
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
