"""Validation of a table before it is written and before it takes effect."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ibisfront.core.table import Purpose, Row, Table

__all__ = ["table_problems"]


def table_problems(table: Table) -> list[str]:
    """Return the problems of a table, one sentence each; empty if it is valid."""
    problems = [*_duplicates("purpose", (item.name for item in table.purposes))]
    problems += _duplicates(
        "row", (f"{item.branch}/{item.purpose}" for item in table.rows)
    )
    for purpose in table.purposes:
        problems += _purpose_problems(purpose)
    purpose_names = {purpose.name for purpose in table.purposes}
    for row in table.rows:
        problems += _row_problems(row, purpose_names)
    return problems


def _duplicates(kind: str, names: Iterable[str]) -> list[str]:
    seen = set()
    duplicates = []
    for name in names:
        if name in seen:
            duplicates.append(f"{kind} {name} is defined twice: remove one.")
        seen.add(name)
    return duplicates


def _purpose_problems(purpose: Purpose) -> list[str]:
    name = purpose.name
    problems = []
    if not name:
        problems.append("a purpose has no name: set one.")
    if purpose.kind == "search" and not purpose.index:
        problems.append(f"purpose {name} has no index: set one.")
    if purpose.kind == "perform" and not purpose.service:
        problems.append(f"purpose {name} has no service: set one.")
    return problems


def _row_problems(row: Row, purposes: set[str]) -> list[str]:
    name = f"row {row.branch}/{row.purpose}"
    problems = []
    if not row.branch:
        problems.append(f"{name} has no branch: set one.")
    if row.purpose not in purposes:
        problems.append(f"{name} refers to an unknown purpose: create it first.")
    if not (row.weight > 0 and math.isfinite(row.weight)):
        problems.append(f"{name} has weight {row.weight:g}: it must be above 0.")
    if not (row.limit_per_s > 0 and math.isfinite(row.limit_per_s)):
        problems.append(
            f"{name} has limit_per_s {row.limit_per_s:g}: it must be above 0."
        )
    if row.max_in_flight < 1:
        problems.append(
            f"{name} has max_in_flight {row.max_in_flight}: it must be at least 1."
        )
    return problems
