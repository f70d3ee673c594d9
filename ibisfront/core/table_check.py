"""Checking a table before it is written, and before it is put in force."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ibisfront.core.table import Purpose, Row, Table

__all__ = ["table_problems"]


def table_problems(table: Table) -> list[str]:
    """Return what is wrong with a table, a sentence each; empty if nothing."""
    problems = [*_repeated("purpose", (item.name for item in table.purposes))]
    problems += _repeated(
        "row", (f"{item.branch}/{item.purpose}" for item in table.rows)
    )
    for purpose in table.purposes:
        problems += _purpose_problems(purpose)
    known = {purpose.name for purpose in table.purposes}
    for row in table.rows:
        problems += _row_problems(row, known)
    return problems


def _repeated(what: str, names: Iterable[str]) -> list[str]:
    seen = set()
    repeated = []
    for name in names:
        if name in seen:
            repeated.append(f"{what} {name} stands twice: keep one.")
        seen.add(name)
    return repeated


def _purpose_problems(purpose: Purpose) -> list[str]:
    name = purpose.name
    problems = []
    if not name:
        problems.append("a purpose has no name: give it one.")
    if purpose.kind == "search" and not purpose.index:
        problems.append(f"purpose {name} searches nothing: name its index.")
    if purpose.kind == "perform" and not purpose.service:
        problems.append(f"purpose {name} runs nowhere: name its service.")
    return problems


def _row_problems(row: Row, purposes: set[str]) -> list[str]:
    name = f"row {row.branch}/{row.purpose}"
    problems = []
    if not row.branch:
        problems.append(f"{name} has no branch: name it.")
    if row.purpose not in purposes:
        problems.append(f"{name} names no purpose of the table: create it first.")
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
