"""Editing the table: conditional, settled when the answer is lost."""

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
    undo_changes,
)
from ibisfront.core.table_check import table_problems
from ibisfront.core.types import Version

if TYPE_CHECKING:
    from ibisfront.core.clock import Clock
    from ibisfront.core.conditional_platform import ConditionalPlatform

__all__ = [
    "EditAccepted",
    "EditedTable",
    "TableConflict",
    "TableConflictError",
    "TableProposal",
    "bounded_history",
    "edit_table",
    "read_table",
]

HISTORY_EDITS = 50
"""How many edits the history keeps at most."""

HISTORY_BYTES = 65_536
"""How large the history may grow, as JSON."""

SETTLE_MS = 10_000.0
"""How long an edit tries to settle a lost answer."""

_RETRY_MS = 100.0
_STALE_READS = 20
_VALUE_BYTES = 1_000_000


class TableProposal(msgspec.Struct, frozen=True, kw_only=True):
    """One edit as an operator hands it in.

    Attributes
    ----------
    table : Table
        The purposes and rows as they shall be; its other fields are ignored.
    base_version : int
        The version of the table that the operator saw; 0 if there was none.
    edit_id : str
        Chosen by the tool, unique; the same edit sent again has the same id.
    edited_by : str
        The operator.
    """

    table: Table
    base_version: Version
    edit_id: str
    edited_by: str


class EditAccepted(msgspec.Struct, frozen=True):
    """An edit that is known to be in the platform.

    Attributes
    ----------
    edit_id : str
        The edit.
    version : int
        The version that it made; a later one if others edited since.
    changes : tuple of RowChange or PurposeChange
        What it changed.
    """

    edit_id: str
    version: Version
    changes: tuple[TableChange, ...]


class TableConflict(msgspec.Struct, frozen=True):
    """Two edits made on one version of the table.

    Attributes
    ----------
    base_version, current_version : int
        The version that the refused edit was made on, and the one in place.
    yours : tuple of RowChange or PurposeChange or None
        What the refused edit would have changed; None if it cannot be told,
        because the history no longer reaches back to its base.
    theirs : tuple of EditSummary
        The edits made since, oldest first, as far as the history reaches.
    overlaps : bool
        Whether they touch the same row or purpose. If not, the refused edit
        can be made again on the current version.
    """

    base_version: Version
    current_version: Version
    yours: tuple[TableChange, ...] | None
    theirs: tuple[EditSummary, ...]
    overlaps: bool


class TableConflictError(IbisfrontError):
    """A ``table_conflict`` with both edits; nothing was written.

    Parameters
    ----------
    conflict : TableConflict
        Both edits.
    """

    def __init__(self, conflict: TableConflict) -> None:
        names = ", ".join(edit.edited_by for edit in conflict.theirs) or "unknown"
        advice = (
            "they touch the same rows: read the table and edit again"
            if conflict.overlaps
            else "they touch other rows: the edit can be made again on that version"
        )
        super().__init__(
            ErrorKind.TABLE_CONFLICT,
            f"the table is at version {conflict.current_version}, the edit was made "
            f"on {conflict.base_version}; edited since by {names}; {advice}",
        )
        self.conflict = conflict


class EditedTable(msgspec.Struct, frozen=True):
    """The table as the platform has it.

    Attributes
    ----------
    version : int
        Its version; 0 if there is none yet.
    table : Table
        Its value; empty if there is none yet.
    """

    version: Version
    table: Table


async def read_table(platform: ConditionalPlatform) -> EditedTable:
    """Return the table as the platform has it now.

    Raises
    ------
    IbisfrontError
        ``platform_unavailable``, or ``internal`` if the value is no table.
    """
    found = await platform.get(ObjectKind.TABLE, TABLE_NAME)
    if found is None or found.value_json is None:
        return EditedTable(0, Table())
    try:
        table = msgspec.json.decode(found.value_json, type=Table)
    except msgspec.MsgspecError as error:
        raise IbisfrontError(
            ErrorKind.INTERNAL,
            f"version {found.version} in the platform is no table: {error}",
            ran=Ran.NO,
        ) from error
    return EditedTable(found.version, table)


async def edit_table(
    platform: ConditionalPlatform,
    proposal: TableProposal,
    *,
    clock: Clock,
    settle_ms: float = SETTLE_MS,
) -> EditAccepted:
    """Make an edit, and return once it is known to be in the platform.

    The edit is one conditional write on the version that it was made on, so
    that it takes effect at most once however often it is sent.

    Raises
    ------
    TableConflictError
        Another edit was made on the same version; this one was not made.
    IbisfrontError
        ``bad_request`` if the table is wrong; ``platform_unavailable`` if
        nothing was written; ``write_unknown`` if the outcome could not be
        settled in ``settle_ms``: send the same edit id and base again.
    """
    _check(proposal)
    current = await _read_at_least(platform, proposal.base_version, clock)
    accepted = _accepted(proposal, current)
    if accepted is not None:
        return accepted
    if current.version != proposal.base_version:
        raise _conflict(proposal, current)
    table = _next_table(current.table, proposal, clock.wall_ms())
    value_json = msgspec.json.encode(table)
    if len(value_json) > _VALUE_BYTES:
        raise IbisfrontError(
            ErrorKind.BAD_REQUEST, f"the table is over {_VALUE_BYTES} bytes"
        )
    return await _write(platform, proposal, table, clock, settle_ms)


def _check(proposal: TableProposal) -> None:
    problems = table_problems(proposal.table)
    if not proposal.edit_id:
        problems.append("the edit has no id: choose a unique one.")
    if problems:
        raise IbisfrontError(ErrorKind.BAD_REQUEST, " ".join(problems))


async def _read_at_least(
    platform: ConditionalPlatform, version: Version, clock: Clock
) -> EditedTable:
    # A stale read shows an older version than the operator has seen already.
    # Taken for the newest, it would turn into a false conflict.
    for _ in range(_STALE_READS):
        current = await read_table(platform)
        if current.version >= version:
            return current
        await clock.sleep_ms(_RETRY_MS)
    raise IbisfrontError(
        ErrorKind.PLATFORM_UNAVAILABLE,
        f"the platform shows version {current.version} of the table, older than "
        f"{version}, on which the edit was made",
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
    """Return the newest edits that fit the bounds, the newest one always."""
    newest = edits[-1]
    if len(msgspec.json.encode(newest)) > HISTORY_BYTES // 2:
        newest = msgspec.structs.replace(newest, changes=(), whole=False)
    kept = [newest]
    size_bytes = len(msgspec.json.encode(newest))
    for edit in reversed(edits[:-1][-(HISTORY_EDITS - 1) :]):
        size_bytes += len(msgspec.json.encode(edit))
        if size_bytes > HISTORY_BYTES:
            break
        kept.append(edit)
    return tuple(reversed(kept))


async def _write(
    platform: ConditionalPlatform,
    proposal: TableProposal,
    table: Table,
    clock: Clock,
    settle_ms: float,
) -> EditAccepted:
    # The answer of a write can be lost, and the write may land later still.
    # Reading the old version back proves nothing then. The same conditional
    # write is sent again instead: if it is accepted, the earlier one can no
    # longer be, as the version that both replace is gone; if it is refused,
    # some write has replaced that version for good, and the history says
    # which one it was.
    value_json = msgspec.json.encode(table)
    if_version = proposal.base_version or None
    unknown = False
    with clock.timeout_ms(settle_ms):
        while True:
            try:
                version = await platform.put(
                    ObjectKind.TABLE, TABLE_NAME, value_json, if_version=if_version
                )
            except WriteConflict:
                current = await _read_past(platform, proposal.base_version, clock)
                return _settled(proposal, current, unknown=unknown)
            except IbisfrontError:
                unknown = True
                await clock.sleep_ms(_RETRY_MS)
            else:
                changes = table.history[-1].changes
                return EditAccepted(proposal.edit_id, version, changes)
    raise _unsettled(proposal)


async def _read_past(
    platform: ConditionalPlatform, version: Version, clock: Clock
) -> EditedTable:
    while True:
        try:
            current = await read_table(platform)
        except IbisfrontError:
            await clock.sleep_ms(_RETRY_MS)
            continue
        if current.version > version:
            return current
        await clock.sleep_ms(_RETRY_MS)


def _settled(
    proposal: TableProposal, current: EditedTable, *, unknown: bool
) -> EditAccepted:
    accepted = _accepted(proposal, current)
    if accepted is not None:
        return accepted
    replaced = any(
        edit.base_version == proposal.base_version for edit in current.table.history
    )
    if unknown and not replaced:
        raise _unsettled(proposal)
    raise _conflict(proposal, current)


def _accepted(proposal: TableProposal, current: EditedTable) -> EditAccepted | None:
    history = current.table.history
    for position, edit in enumerate(history):
        if edit.edit_id == proposal.edit_id:
            later = history[position + 1 :]
            version = later[0].base_version if later else current.version
            return EditAccepted(edit.edit_id, version, edit.changes)
    return None


def _conflict(proposal: TableProposal, current: EditedTable) -> TableConflictError:
    history = current.table.history
    theirs = tuple(
        edit for edit in history if edit.base_version >= proposal.base_version
    )
    traced = (
        bool(theirs)
        and theirs[0].base_version == proposal.base_version
        and all(edit.whole for edit in theirs)
    )
    yours = None
    if traced:
        base = undo_changes(current.table, theirs)
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


def _unsettled(proposal: TableProposal) -> IbisfrontError:
    return IbisfrontError(
        ErrorKind.WRITE_UNKNOWN,
        f"edit {proposal.edit_id} may or may not take effect: send it again with "
        f"the same id and base version {proposal.base_version}",
    )
