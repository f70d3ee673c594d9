"""Conditional edits of the table, with recovery from lost responses."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ibisfront.core.errors import ErrorKind, IbisfrontError, Ran
from ibisfront.core.objects import ObjectKind, WriteConflict
from ibisfront.core.table import TABLE_NAME, EditSummary, Table
from ibisfront.core.table_changes import (
    TableChange,
    changes_between,
    changes_overlap,
    undo_edits,
)
from ibisfront.core.table_check import table_problems
from ibisfront.core.types import Version

if TYPE_CHECKING:
    from ibisfront.core.clock import Clock
    from ibisfront.core.conditional_platform import ConditionalPlatform

__all__ = [
    "EditAccepted",
    "TableConflict",
    "TableConflictError",
    "TableProposal",
    "VersionedTable",
    "bounded_history",
    "edit_table",
    "read_table",
]

MAX_HISTORY_EDITS = 50
"""Maximum number of edits in the history."""

MAX_HISTORY_BYTES = 65_536
"""Maximum size of the history, encoded as JSON."""

OUTCOME_TIMEOUT_MS = 10_000.0
"""How long an edit tries to determine the outcome of its write."""

_RETRY_INTERVAL_MS = 100.0
_MAX_STALE_READS = 20
_MAX_VALUE_BYTES = 1_000_000


class TableProposal(msgspec.Struct, frozen=True, kw_only=True):
    """An edit as submitted by an operator.

    Attributes
    ----------
    table : Table
        The new purposes and rows; other fields are ignored.
    base_version : int
        The version of the table that was edited; 0 if there was none.
    edit_id : str
        Unique id chosen by the tool; a retry of the same edit reuses it.
    edited_by : str
        The operator.
    """

    table: Table
    base_version: Version
    edit_id: str
    edited_by: str


class EditAccepted(msgspec.Struct, frozen=True):
    """An edit that the platform has stored.

    Attributes
    ----------
    edit_id : str
        Id of the edit.
    version : int
        The version that the edit produced.
    changes : tuple of RowChange or PurposeChange
        The changes made.
    """

    edit_id: str
    version: Version
    changes: tuple[TableChange, ...]


class TableConflict(msgspec.Struct, frozen=True):
    """Two edits of the same version of the table.

    Attributes
    ----------
    base_version, current_version : int
        The version that the rejected edit was based on, and the current one.
    yours : tuple of RowChange or PurposeChange or None
        The changes of the rejected edit; None if the history no longer reaches
        back to its base version.
    theirs : tuple of EditSummary
        The edits since then that the history still holds, oldest first.
    overlaps : bool
        Whether they touch the same row or purpose. If not, the rejected edit
        can be reapplied to the current version.
    """

    base_version: Version
    current_version: Version
    yours: tuple[TableChange, ...] | None
    theirs: tuple[EditSummary, ...]
    overlaps: bool


class TableConflictError(IbisfrontError):
    """A ``table_conflict`` error with both edits; nothing was written.

    Parameters
    ----------
    conflict : TableConflict
        The conflicting edits.
    """

    def __init__(self, conflict: TableConflict) -> None:
        names = ", ".join(edit.edited_by for edit in conflict.theirs) or "unknown"
        advice = (
            "they change the same rows: read the table and edit again"
            if conflict.overlaps
            else "they change other rows: the edit can be reapplied to that version"
        )
        super().__init__(
            ErrorKind.TABLE_CONFLICT,
            f"the table is at version {conflict.current_version}, the edit is based "
            f"on {conflict.base_version}; edited since by {names}; {advice}",
        )
        self.conflict = conflict


class VersionedTable(msgspec.Struct, frozen=True):
    """The table as stored in the platform.

    Attributes
    ----------
    version : int
        Version of the table; 0 if there is none yet.
    table : Table
        The table; empty if there is none yet.
    """

    version: Version
    table: Table


async def read_table(platform: ConditionalPlatform) -> VersionedTable:
    """Return the table currently stored in the platform.

    Raises
    ------
    IbisfrontError
        ``platform_unavailable``, or ``internal`` if the value is not a
        valid table.
    """
    stored = await platform.get(ObjectKind.TABLE, TABLE_NAME)
    if stored is None or stored.value_json is None:
        return VersionedTable(0, Table())
    try:
        table = msgspec.json.decode(stored.value_json, type=Table)
    except msgspec.MsgspecError as error:
        raise IbisfrontError(
            ErrorKind.INTERNAL,
            f"version {stored.version} in the platform is not a valid table: {error}",
            ran=Ran.NO,
        ) from error
    return VersionedTable(stored.version, table)


async def edit_table(
    platform: ConditionalPlatform,
    proposal: TableProposal,
    *,
    clock: Clock,
    outcome_timeout_ms: float = OUTCOME_TIMEOUT_MS,
) -> EditAccepted:
    """Apply an edit and return once the platform has stored it.

    The edit is a conditional write on its base version, so it takes effect at
    most once no matter how often it is sent.

    Raises
    ------
    TableConflictError
        Another edit has replaced the base version; nothing was written.
    IbisfrontError
        ``bad_request`` if the table is invalid; ``platform_unavailable`` if
        nothing was written; ``write_unknown`` if the outcome could not be
        determined within ``outcome_timeout_ms``: retry with the same edit id
        and base version.
    """
    _check(proposal)
    current = await _read_at_least(platform, proposal.base_version, clock)
    accepted = _find_accepted(proposal, current)
    if accepted is not None:
        return accepted
    if current.version != proposal.base_version:
        raise _conflict(proposal, current)
    table = _next_table(current.table, proposal, clock.wall_ms())
    value_json = msgspec.json.encode(table)
    if len(value_json) > _MAX_VALUE_BYTES:
        raise IbisfrontError(
            ErrorKind.BAD_REQUEST, f"the table is over {_MAX_VALUE_BYTES} bytes"
        )
    return await _write(platform, proposal, table, clock, outcome_timeout_ms)


def _check(proposal: TableProposal) -> None:
    problems = table_problems(proposal.table)
    if not proposal.edit_id:
        problems.append("the edit has no id: choose a unique one.")
    if problems:
        raise IbisfrontError(ErrorKind.BAD_REQUEST, " ".join(problems))


async def _read_at_least(
    platform: ConditionalPlatform, version: Version, clock: Clock
) -> VersionedTable:
    # A stale read may return a version older than the one the operator edited,
    # which would be reported as a false conflict.
    for _ in range(_MAX_STALE_READS):
        current = await read_table(platform)
        if current.version >= version:
            return current
        await clock.sleep_ms(_RETRY_INTERVAL_MS)
    raise IbisfrontError(
        ErrorKind.PLATFORM_UNAVAILABLE,
        f"the platform returned version {current.version} of the table, older than "
        f"{version}, on which the edit is based",
    )


def _next_table(base: Table, proposal: TableProposal, wall_ms: float) -> Table:
    changes = changes_between(base, proposal.table)
    if not changes:
        raise IbisfrontError(ErrorKind.BAD_REQUEST, "the edit changes nothing")
    edit = EditSummary(
        proposal.edit_id, proposal.edited_by, wall_ms, proposal.base_version, changes
    )
    return msgspec.structs.replace(
        proposal.table,
        edit_id=edit.edit_id,
        edited_by=edit.edited_by,
        edited_wall_ms=wall_ms,
        history=bounded_history((*base.history, edit)),
    )


def bounded_history(edits: tuple[EditSummary, ...]) -> tuple[EditSummary, ...]:
    """Return the newest edits within the bounds; the newest is always included."""
    newest = edits[-1]
    if len(msgspec.json.encode(newest)) > MAX_HISTORY_BYTES // 2:
        newest = msgspec.structs.replace(newest, changes=(), whole=False)
    kept = [newest]
    size_bytes = len(msgspec.json.encode(newest))
    for edit in reversed(edits[:-1][-(MAX_HISTORY_EDITS - 1) :]):
        size_bytes += len(msgspec.json.encode(edit))
        if size_bytes > MAX_HISTORY_BYTES:
            break
        kept.append(edit)
    return tuple(reversed(kept))


async def _write(
    platform: ConditionalPlatform,
    proposal: TableProposal,
    table: Table,
    clock: Clock,
    outcome_timeout_ms: float,
) -> EditAccepted:
    # The response to a write can be lost while the write is still delayed in
    # the network, so reading back the old version proves nothing. Instead the
    # same conditional write is retried: if it succeeds, the earlier one can no
    # longer take effect, as its base version is replaced; if it conflicts, some
    # write has replaced that version, and the history shows which one.
    value_json = msgspec.json.encode(table)
    if_version = proposal.base_version or None
    is_outcome_unknown = False
    with clock.timeout_ms(outcome_timeout_ms):
        while True:
            try:
                version = await platform.put(
                    ObjectKind.TABLE, TABLE_NAME, value_json, if_version=if_version
                )
            except WriteConflict:
                current = await _read_newer_than(platform, proposal.base_version, clock)
                return _resolve_conflict(
                    proposal, current, is_outcome_unknown=is_outcome_unknown
                )
            except IbisfrontError:
                is_outcome_unknown = True
                await clock.sleep_ms(_RETRY_INTERVAL_MS)
            else:
                changes = table.history[-1].changes
                return EditAccepted(proposal.edit_id, version, changes)
    raise _unknown_outcome(proposal)


async def _read_newer_than(
    platform: ConditionalPlatform, version: Version, clock: Clock
) -> VersionedTable:
    while True:
        try:
            current = await read_table(platform)
        except IbisfrontError:
            await clock.sleep_ms(_RETRY_INTERVAL_MS)
            continue
        if current.version > version:
            return current
        await clock.sleep_ms(_RETRY_INTERVAL_MS)


def _resolve_conflict(
    proposal: TableProposal, current: VersionedTable, *, is_outcome_unknown: bool
) -> EditAccepted:
    accepted = _find_accepted(proposal, current)
    if accepted is not None:
        return accepted
    replaced = any(
        edit.base_version == proposal.base_version for edit in current.table.history
    )
    if is_outcome_unknown and not replaced:
        raise _unknown_outcome(proposal)
    raise _conflict(proposal, current)


def _find_accepted(
    proposal: TableProposal, current: VersionedTable
) -> EditAccepted | None:
    history = current.table.history
    for position, edit in enumerate(history):
        if edit.edit_id == proposal.edit_id:
            later = history[position + 1 :]
            version = later[0].base_version if later else current.version
            return EditAccepted(edit.edit_id, version, edit.changes)
    return None


def _conflict(proposal: TableProposal, current: VersionedTable) -> TableConflictError:
    history = current.table.history
    theirs = tuple(
        edit for edit in history if edit.base_version >= proposal.base_version
    )
    has_full_history = (
        bool(theirs)
        and theirs[0].base_version == proposal.base_version
        and all(edit.whole for edit in theirs)
    )
    yours = None
    if has_full_history:
        base = undo_edits(current.table, theirs)
        yours = changes_between(base, proposal.table)
    overlaps = yours is None or any(
        changes_overlap(yours, edit.changes) for edit in theirs
    )
    return TableConflictError(
        TableConflict(
            base_version=proposal.base_version,
            current_version=current.version,
            yours=yours,
            theirs=theirs,
            overlaps=overlaps,
        )
    )


def _unknown_outcome(proposal: TableProposal) -> IbisfrontError:
    return IbisfrontError(
        ErrorKind.WRITE_UNKNOWN,
        f"edit {proposal.edit_id} may or may not take effect: retry it with "
        f"the same id and base version {proposal.base_version}",
    )
