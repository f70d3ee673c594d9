"""Counters of completed and rejected operations, by reason."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum

import msgspec

__all__ = ["COUNTER_HELP", "CounterKind", "CounterValue", "Counters"]


class CounterKind(StrEnum):
    """Kinds of counted events; each kind is split by reason."""

    ANSWERS = "answers"
    REFUSALS = "refusals"
    ADMISSIONS = "admissions"
    SUB_REQUESTS = "sub_requests"
    MISSING = "missing"
    RETRIES = "retries"
    RETRIES_WITHHELD = "retries_withheld"
    HEDGES = "hedges"
    HEDGES_WITHHELD = "hedges_withheld"
    CANCELLATIONS = "cancellations"
    CONNECTIONS = "connections"
    EJECTIONS = "ejections"
    QUARANTINES = "quarantines"
    OTHER_ZONE_REQUESTS = "other_zone_requests"
    OTHER_ZONE_BYTES = "other_zone_bytes"
    PLATFORM_CALLS = "platform_calls"
    PEER_MESSAGES = "peer_messages"
    PEER_BYTES = "peer_bytes"
    MEMBER_CHANGES = "member_changes"
    TABLE_CHANGES = "table_changes"
    OBJECT_CHANGES = "object_changes"
    SERVER_ENTRIES = "server_entries"
    SERVER_LOADS = "server_loads"
    CLAIMS = "claims"
    SHARES = "shares"
    QUOTAS = "quotas"
    TASK_FAILURES = "task_failures"


COUNTER_HELP: dict[CounterKind, str] = {
    CounterKind.ANSWERS: "Requests, each counted once, by the outcome returned.",
    CounterKind.REFUSALS: "Requests rejected by admission control, by reason.",
    CounterKind.ADMISSIONS: "Requests that waited for room or were refused, by rank.",
    CounterKind.SUB_REQUESTS: "Sub-requests sent to backend servers.",
    CounterKind.MISSING: "Services missing from an answer, by reason.",
    CounterKind.RETRIES: "Retried sub-requests, by reason.",
    CounterKind.RETRIES_WITHHELD: "Retries not sent, by reason.",
    CounterKind.HEDGES: "Hedged requests, by reason.",
    CounterKind.HEDGES_WITHHELD: "Hedged requests not sent, by reason.",
    CounterKind.CANCELLATIONS: "Work cancelled before completion, by reason.",
    CounterKind.CONNECTIONS: "Connections to backend servers, by event.",
    CounterKind.EJECTIONS: "Ejections of backend servers, by reason.",
    CounterKind.QUARANTINES: "Requests suspected of crashing backend servers.",
    CounterKind.OTHER_ZONE_REQUESTS: "Requests sent to another zone, by reason.",
    CounterKind.OTHER_ZONE_BYTES: "Bytes of requests to and replies of other zones.",
    CounterKind.PLATFORM_CALLS: "Calls to the platform, by outcome.",
    CounterKind.PEER_MESSAGES: "Messages between instances, by outcome.",
    CounterKind.PEER_BYTES: "Bytes exchanged between instances.",
    CounterKind.MEMBER_CHANGES: "Membership changes observed by this instance.",
    CounterKind.TABLE_CHANGES: "Table versions applied or rejected by this instance.",
    CounterKind.OBJECT_CHANGES: "Changed objects, by source.",
    CounterKind.SERVER_ENTRIES: "Entries that define no backend server, by reason.",
    CounterKind.SERVER_LOADS: "Ignored load reports of backend servers, by reason.",
    CounterKind.CLAIMS: "Claims of non-idempotent requests, by outcome.",
    CounterKind.SHARES: "Shares of limits, by event.",
    CounterKind.QUOTAS: "Requests counted against workspaces' limits, by event.",
    CounterKind.TASK_FAILURES: "Tasks ended by an unexpected error, by task.",
}
"""Description of each kind, for operators."""


class CounterValue(msgspec.Struct, frozen=True, order=True):
    """Current value of one counter."""

    kind: CounterKind
    reason: str
    value: int


class Counters:
    """Event counts by kind and reason since the process started."""

    __slots__ = ("_values",)

    def __init__(self) -> None:
        self._values: Counter[tuple[CounterKind, str]] = Counter()

    def add(self, kind: CounterKind, reason: str, amount: int = 1) -> None:
        """Increment a counter."""
        self._values[kind, reason] += amount

    def value(self, kind: CounterKind, reason: str) -> int:
        """Return the value of one counter; zero if there was no event."""
        return self._values[kind, reason]

    def values(self) -> list[CounterValue]:
        """Return all counters, sorted."""
        return sorted(
            CounterValue(kind, reason, value)
            for (kind, reason), value in self._values.items()
        )
