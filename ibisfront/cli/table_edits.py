"""Making an edit of the table and seeing it into force everywhere."""

from __future__ import annotations

import getpass
import secrets
import time
from typing import TYPE_CHECKING, TypeAlias

import msgspec

from ibisfront.adapters.admin import TableView
from ibisfront.cli.exits import (
    CommandError,
    ExitCode,
    RefusedError,
    UnreachableError,
)
from ibisfront.core.status import InstanceStatus, TierStatus
from ibisfront.core.table import EditSummary, Table
from ibisfront.core.table_changes import TableChange, apply_changes, undo_edits
from ibisfront.core.table_edit import EditAccepted, TableProposal
from ibisfront.core.types import Version

if TYPE_CHECKING:
    from collections.abc import Callable

    from ibisfront.cli.client import AdminClient

__all__ = [
    "EditOutcome",
    "Reach",
    "apply_edit",
    "fetch_base",
    "fetch_table",
    "wait_in_force",
]

TABLE_PATH = "/v1/admin/table"
_STATUS_PATH = "/v1/admin/status"
_POLL_S = 0.1
_ATTEMPTS = 5
_SETTLED_POLLS = 3
_UNSETTLED = ("write_unknown",)

ShowConflict: TypeAlias = "Callable[[RefusedError], None]"


class Reach(msgspec.Struct, frozen=True):
    """Where a version is in force.

    Attributes
    ----------
    in_force : tuple of str
        The instances that have it, or a newer one, in force.
    behind : tuple of str
        Those that answer and do not have it yet.
    unreachable : tuple of str
        Those that did not answer.
    known : bool
        False if no instance could be asked.
    """

    in_force: tuple[str, ...]
    behind: tuple[str, ...]
    unreachable: tuple[str, ...]
    known: bool = True

    @property
    def complete(self) -> bool:
        """Whether the version is in force everywhere."""
        return self.known and not self.behind and not self.unreachable


class EditOutcome(msgspec.Struct, frozen=True):
    """An accepted edit, and where it is in force."""

    edit_id: str
    base_version: Version
    version: Version
    changes: tuple[TableChange, ...]
    reach: Reach


def fetch_table(client: AdminClient) -> TableView:
    """Return the table as the platform has it."""
    return client.call("GET", TABLE_PATH, TableView)


def fetch_base(client: AdminClient, current: TableView, base: Version) -> Table:
    """Return the table as it stood at an earlier version.

    Raises
    ------
    CommandError
        If the history does not reach back so far.
    """
    if base == current.version:
        return current.table
    if base > current.version:
        raise CommandError(
            f"there is no version {base} of the table yet: it is at {current.version}"
        )
    history = client.call("GET", f"{TABLE_PATH}/history", tuple[EditSummary, ...])
    since = tuple(edit for edit in history if edit.base_version >= base)
    traced = bool(since) and since[0].base_version == base
    if not traced or not all(edit.whole for edit in since):
        raise CommandError(
            f"the history of the table does not reach back to version {base}:"
            f" read version {current.version} and edit again",
            ExitCode.CONFLICT,
        )
    return undo_edits(current.table, since)


def apply_edit(
    client: AdminClient,
    base: TableView,
    changes: tuple[TableChange, ...],
    *,
    wait_s: float,
    say: Callable[[str], None],
) -> EditOutcome:
    """Make changes to the version that they were made on, and wait.

    If another edit came first and touches other rows, the changes are made
    again on the version that it left.

    Parameters
    ----------
    client : AdminClient
        Whom to call.
    base : TableView
        The version that the changes were made on.
    changes : tuple of RowChange or PurposeChange
        What to change.
    wait_s : float
        How long to wait until the edit is in force everywhere.
    say : callable
        Told of each step.

    Raises
    ------
    CommandError
        If the edit was not made, or it is not known whether it was.
    """
    edit_id = secrets.token_hex(8)
    for _ in range(_ATTEMPTS):
        proposal = _proposal(base, changes, edit_id)
        try:
            accepted = _send(client, proposal)
        except RefusedError as error:
            base = _next_base(client, error)
            say(f"another edit came first and touches other rows: on {base.version}")
            continue
        say(f"accepted as version {accepted.version} (edit {edit_id})")
        reach = _wait_for_table(client, accepted.version, wait_s)
        return EditOutcome(
            edit_id, base.version, accepted.version, accepted.changes, reach
        )
    raise CommandError(
        f"other edits came first {_ATTEMPTS} times: try again", ExitCode.CONFLICT
    )


def _wait_for_table(client: AdminClient, version: Version, wait_s: float) -> Reach:
    return wait_in_force(
        client, lambda reply: reply.table_version >= version, wait_s=wait_s
    )


def wait_in_force(
    client: AdminClient, has_it: Callable[[InstanceStatus], bool], *, wait_s: float
) -> Reach:
    """Ask for the status until every instance has a version, or time is up.

    An instance that cannot be reached is not waited for to the end: it may be
    dead, and each edit would take the whole time.
    """
    ends_at_s = time.monotonic() + wait_s
    settled = 0
    while True:
        reach = _ask_reach(client, has_it)
        settled = settled + 1 if reach.known and not reach.behind else 0
        out_of_time = time.monotonic() >= ends_at_s
        if reach.complete or out_of_time or settled >= _SETTLED_POLLS:
            return reach
        time.sleep(_POLL_S)


def _ask_reach(client: AdminClient, has_it: Callable[[InstanceStatus], bool]) -> Reach:
    # The edit is accepted by now. That no instance can tell where it is in
    # force must not look like a refused edit, which would be made again.
    try:
        report = client.call("GET", _STATUS_PATH, TierStatus)
    except CommandError:
        return Reach((), (), (), known=False)
    return Reach(
        in_force=tuple(reply.name for reply in report.instances if has_it(reply)),
        behind=tuple(reply.name for reply in report.instances if not has_it(reply)),
        unreachable=report.unreachable,
    )


def _proposal(
    base: TableView, changes: tuple[TableChange, ...], edit_id: str
) -> TableProposal:
    return TableProposal(
        table=apply_changes(base.table, changes),
        base_version=base.version,
        edit_id=edit_id,
        edited_by=getpass.getuser(),
    )


def _send(client: AdminClient, proposal: TableProposal) -> EditAccepted:
    # An instance that cannot settle a lost answer in its time says so. The
    # same edit, with its id and base, settles it when it is sent again.
    try:
        return client.call("PUT", TABLE_PATH, EditAccepted, proposal)
    except RefusedError as error:
        if error.problem.code not in _UNSETTLED:
            raise
    except UnreachableError as error:
        if error.exit_code is ExitCode.UNKNOWN:
            raise _unknown(error, proposal) from error
        raise
    return client.call("PUT", TABLE_PATH, EditAccepted, proposal)


def _unknown(error: UnreachableError, proposal: TableProposal) -> CommandError:
    return CommandError(
        f"{error}; edit {proposal.edit_id} may have been made:"
        " look with ibisfront table history",
        ExitCode.UNKNOWN,
    )


def _next_base(client: AdminClient, error: RefusedError) -> TableView:
    conflict = error.problem.conflict
    if conflict is None or conflict.overlaps:
        raise error
    return fetch_table(client)
