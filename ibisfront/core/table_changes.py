"""Differences between versions of the table, by row and purpose."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias, TypeVar

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable, Hashable, Iterable, Sequence

    from ibisfront.core.table import Table

from ibisfront.core.table import EditSummary, PurposeChange, RowChange

__all__ = [
    "TableChange",
    "apply_changes",
    "changes_between",
    "changes_overlap",
    "undo_edits",
]

TableChange: TypeAlias = RowChange | PurposeChange

_Item = TypeVar("_Item")


def changes_between(old: Table, new: Table) -> tuple[TableChange, ...]:
    """Return the changes from one table to another, purposes first."""
    purposes = _changed_pairs(old.purposes, new.purposes, lambda item: item.name)
    rows = _changed_pairs(old.rows, new.rows, lambda item: (item.branch, item.purpose))
    return (
        *(PurposeChange(before=before, after=after) for before, after in purposes),
        *(RowChange(before=before, after=after) for before, after in rows),
    )


def apply_changes(table: Table, changes: Iterable[TableChange]) -> Table:
    """Return a table with changes applied, regardless of their ``before`` values."""
    purposes = {item.name: item for item in table.purposes}
    rows = {(item.branch, item.purpose): item for item in table.rows}
    for change in changes:
        if isinstance(change, PurposeChange):
            _set_or_remove(purposes, change.name, change.after)
        else:
            _set_or_remove(rows, (change.branch, change.purpose), change.after)
    return msgspec.structs.replace(
        table, purposes=tuple(purposes.values()), rows=tuple(rows.values())
    )


def undo_edits(table: Table, edits: Sequence[EditSummary]) -> Table:
    """Return the table as it was before ``edits``, which are ordered oldest first."""
    for edit in reversed(edits):
        table = apply_changes(table, (_inverted(change) for change in edit.changes))
    return table


def changes_overlap(
    first: Iterable[TableChange], second: Iterable[TableChange]
) -> bool:
    """Return whether two edits touch the same row or purpose.

    A change of a purpose touches every row of that purpose: one operator may
    remove a purpose while another adds a row for it.
    """
    second = tuple(second)
    return any(_overlap(change, other) for change in first for other in second)


def _overlap(change: TableChange, other: TableChange) -> bool:
    if isinstance(change, RowChange) and isinstance(other, RowChange):
        return (change.branch, change.purpose) == (other.branch, other.purpose)
    return _purpose_name(change) == _purpose_name(other)


def _purpose_name(change: TableChange) -> str:
    return change.name if isinstance(change, PurposeChange) else change.purpose


def _inverted(change: TableChange) -> TableChange:
    return type(change)(before=change.after, after=change.before)  # type: ignore[arg-type]


def _changed_pairs(
    old: Iterable[_Item], new: Iterable[_Item], key: Callable[[_Item], Hashable]
) -> list[tuple[_Item | None, _Item | None]]:
    before = {key(item): item for item in old}
    after = {key(item): item for item in new}
    return [
        (before.get(name), after.get(name))
        for name in (*before, *(name for name in after if name not in before))
        if before.get(name) != after.get(name)
    ]


_Key = TypeVar("_Key")


def _set_or_remove(items: dict[_Key, _Item], key: _Key, item: _Item | None) -> None:
    if item is None:
        items.pop(key, None)
    else:
        items[key] = item
