"""Text output: columns, changes, conflicts and propagation of edits."""

from __future__ import annotations

import time
from collections.abc import Sequence
from typing import TYPE_CHECKING

import msgspec

from ibisfront.core.clock import MILLISECONDS_PER_SECOND
from ibisfront.core.table import RowChange

if TYPE_CHECKING:
    from ibisfront.cli.table_edits import Propagation
    from ibisfront.core.table import EditSummary
    from ibisfront.core.table_changes import TableChange
    from ibisfront.core.table_edit import TableConflict

__all__ = [
    "change_lines",
    "conflict_lines",
    "edit_heading",
    "format_columns",
    "propagation_lines",
]

_COLUMN_SEPARATOR = "  "


def format_columns(
    headings: Sequence[str], rows: Sequence[Sequence[object]]
) -> list[str]:
    """Return the headings and rows as lines with aligned columns."""
    cells = [list(headings), *([str(cell) for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return [
        _COLUMN_SEPARATOR.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in cells
    ]


def change_lines(changes: Sequence[TableChange]) -> list[str]:
    """Return a line for each change: added, changed or removed."""
    return [_change_line(change) for change in changes]


def conflict_lines(conflict: TableConflict) -> list[str]:
    """Return both edits of a conflict."""
    lines = [f"your edit, made on version {conflict.base_version}:"]
    if conflict.yours is None:
        lines.append("  (not available: the history does not reach back far enough)")
    lines += [f"  {line}" for line in change_lines(conflict.yours or ())]
    for edit in conflict.theirs:
        lines.append(f"made since: {edit_heading(edit)}")
        lines += [f"  {line}" for line in change_lines(edit.changes)]
    return lines


def edit_heading(edit: EditSummary) -> str:
    """Return who made an edit, when and on which version."""
    edited_at = time.gmtime(edit.edited_wall_ms / MILLISECONDS_PER_SECOND)
    when = time.strftime("%Y-%m-%d %H:%M:%S UTC", edited_at)
    return (
        f"{when} by {edit.edited_by or 'unknown'},"
        f" on version {edit.base_version}, edit {edit.edit_id}"
    )


def propagation_lines(propagation: Propagation) -> list[str]:
    """Return where an edit is in force, and the instances that lack it."""
    if not propagation.known:
        return ["no instance has replied since: where it is in force is unknown"]
    lines = [f"in force at {', '.join(propagation.in_force) or 'no instance'}"]
    if propagation.behind:
        lines.append(f"not yet in force at {', '.join(propagation.behind)}")
    if propagation.unreachable:
        lines.append(f"could not be reached: {', '.join(propagation.unreachable)}")
    return lines


def _change_line(change: TableChange) -> str:
    if isinstance(change, RowChange):
        subject = f"row {change.branch}/{change.purpose}"
    else:
        subject = f"purpose {change.name}"
    if change.before is None:
        return f"+ {subject}: {_format_fields(change.after)}"
    if change.after is None:
        return f"- {subject}: {_format_fields(change.before)}"
    return f"~ {subject}: {_format_differences(change.before, change.after)}"


def _format_fields(item: msgspec.Struct | None) -> str:
    values = {} if item is None else msgspec.structs.asdict(item)
    keys = ("name", "branch", "purpose")
    return ", ".join(
        f"{name} {_format_value(value)}"
        for name, value in values.items()
        if name not in keys
    )


def _format_differences(before: msgspec.Struct, after: msgspec.Struct) -> str:
    old = msgspec.structs.asdict(before)
    new = msgspec.structs.asdict(after)
    return ", ".join(
        f"{name} {_format_value(old[name])} -> {_format_value(value)}"
        for name, value in new.items()
        if old[name] != value
    )


def _format_value(value: object) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:g}"
    return "none" if value is None else str(value)
