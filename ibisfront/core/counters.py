"""Counters of what this instance did and refused, by reason."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum

import msgspec

__all__ = ["CounterKind", "CounterValue", "Counters"]


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
    CLAIMS = "claims"
    SHARES = "shares"


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
