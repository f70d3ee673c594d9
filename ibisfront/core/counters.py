"""Counters of what this instance did and refused, by reason."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum

import msgspec

__all__ = ["COUNTER_HELP", "CounterKind", "CounterValue", "Counters"]


class CounterKind(StrEnum):
    """What is counted; each kind is split by reason."""

    ANSWERS = "answers"
    REFUSALS = "refusals"
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


COUNTER_HELP: dict[CounterKind, str] = {
    CounterKind.ANSWERS: "Requests, each once, by what the sender was told.",
    CounterKind.REFUSALS: "Requests that admission refused, by why.",
    CounterKind.SUB_REQUESTS: "Sub-requests sent to backend servers.",
    CounterKind.MISSING: "Services missing from an answer, by why.",
    CounterKind.RETRIES: "Sub-requests sent again, by why.",
    CounterKind.RETRIES_WITHHELD: "Retries not sent, by why.",
    CounterKind.HEDGES: "Hedged requests, by why.",
    CounterKind.HEDGES_WITHHELD: "Hedged requests not sent, by why.",
    CounterKind.CANCELLATIONS: "Work given up before its end, by why.",
    CounterKind.CONNECTIONS: "Connections to backend servers, by what happened.",
    CounterKind.EJECTIONS: "Backend servers taken out of use for a time, by why.",
    CounterKind.QUARANTINES: "Requests suspected of crashing backend servers.",
    CounterKind.PLATFORM_CALLS: "Calls of the platform, by what came of them.",
    CounterKind.PEER_MESSAGES: "Messages between instances, by what came of them.",
    CounterKind.PEER_BYTES: "Bytes between instances.",
    CounterKind.MEMBER_CHANGES: "Changes of the members as seen here.",
    CounterKind.TABLE_CHANGES: "Versions of the table put in force or refused here.",
    CounterKind.OBJECT_CHANGES: "Changed objects, by where they came from.",
    CounterKind.SERVER_ENTRIES: "Entries of backend servers that name none, by why.",
    CounterKind.SERVER_LOADS: "Loads that backend servers told, left aside, by why.",
    CounterKind.CLAIMS: "Claims of non-idempotent requests, by what came of them.",
    CounterKind.SHARES: "Shares of limits, by what happened to them.",
}
"""One line on each kind, for operators."""


class CounterValue(msgspec.Struct, frozen=True, order=True):
    """One counter as it stands."""

    kind: CounterKind
    reason: str
    value: int


class Counters:
    """Counts by kind and reason since the process started."""

    __slots__ = ("_values",)

    def __init__(self) -> None:
        self._values: Counter[tuple[CounterKind, str]] = Counter()

    def add(self, kind: CounterKind, reason: str, amount: int = 1) -> None:
        """Count something."""
        self._values[kind, reason] += amount

    def value(self, kind: CounterKind, reason: str) -> int:
        """Return one count; zero if it never happened."""
        return self._values[kind, reason]

    def values(self) -> list[CounterValue]:
        """Return every counter, in order."""
        return sorted(
            CounterValue(kind, reason, value)
            for (kind, reason), value in self._values.items()
        )
