"""Submits table edits and waits until they are in force everywhere."""

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
    ProblemError,
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
    "Propagation",
    "apply_edit",
    "fetch_base",
    "fetch_table",
    "wait_until_in_force",
]

TABLE_PATH = "/v1/admin/table"
_STATUS_PATH = "/v1/admin/status"
_POLL_INTERVAL_S = 0.1
_MAX_ATTEMPTS = 5
_STABLE_POLLS = 3
_UNRESOLVED_CODES = ("write_unknown",)

ShowConflict: TypeAlias = "Callable[[ProblemError], None]"


class Propagation(msgspec.Struct, frozen=True):
    """Instances at which a version is in force.

    Attributes
    ----------
    in_force : tuple of str
        Instances at which this version or a newer one is in force.
    behind : tuple of str
        Instances that replied and still have an older version.
    unreachable : tuple of str
        Instances that did not reply.
    known : bool
        False if no instance returned the status.
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
    """Accepted edit, and where it is in force."""

    edit_id: str
    base_version: Version
    version: Version
    changes: tuple[TableChange, ...]
    reach: Propagation


def fetch_table(client: AdminClient) -> TableView:
    """Return the table stored on the platform."""
    return client.call("GET", TABLE_PATH, TableView)


def fetch_base(client: AdminClient, current: TableView, base: Version) -> Table:
    """Return the table at an earlier version.

    Raises
    ------
    CommandError
        If that version does not exist, or the history does not reach back to it.
    """
    if base == current.version:
        return current.table
    if base > current.version:
        raise CommandError(
            f"version {base} of the table does not exist: it is at {current.version}"
        )
    history = client.call("GET", f"{TABLE_PATH}/history", tuple[EditSummary, ...])
    since = tuple(edit for edit in history if edit.base_version >= base)
    is_traceable = bool(since) and since[0].base_version == base
    if not is_traceable or not all(edit.whole for edit in since):
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
    report_progress: Callable[[str], None],
) -> EditOutcome:
    """Submit changes to their base version, and wait until they are in force.

    If another edit was accepted first and touches other rows, the changes are
    resubmitted on top of it.

    Parameters
    ----------
    client : AdminClient
        Client of the instances.
    base : TableView
        Version that the changes are based on.
    changes : tuple of RowChange or PurposeChange
        The changes.
    wait_s : float
        Longest wait until the edit is in force everywhere, in seconds.
    report_progress : callable
        Receives a line of text for each step.

    Raises
    ------
    CommandError
        If the edit was not made, or its outcome is unknown.
    """
    edit_id = secrets.token_hex(8)
    for _ in range(_MAX_ATTEMPTS):
        proposal = _proposal(base, changes, edit_id)
        try:
            accepted = _send_proposal(client, proposal)
        except ProblemError as error:
            base = _rebase(client, error)
            report_progress(
                f"another edit of other rows came first: retrying on {base.version}"
            )
            continue
        report_progress(f"accepted as version {accepted.version} (edit {edit_id})")
        propagation = _wait_for_table(client, accepted.version, wait_s)
        return EditOutcome(
            edit_id, base.version, accepted.version, accepted.changes, propagation
        )
    raise CommandError(
        f"other edits came first {_MAX_ATTEMPTS} times: try again", ExitCode.CONFLICT
    )


def _wait_for_table(
    client: AdminClient, version: Version, wait_s: float
) -> Propagation:
    return wait_until_in_force(
        client, lambda reply: reply.table_version >= version, wait_s=wait_s
    )


def wait_until_in_force(
    client: AdminClient, is_applied: Callable[[InstanceStatus], bool], *, wait_s: float
) -> Propagation:
    """Poll the status until an edit is in force everywhere or ``wait_s`` has passed.

    Stops early if only unreachable instances are missing: they may be down, and
    each edit would otherwise wait the full time.

    Parameters
    ----------
    client : AdminClient
        Client of the instances.
    is_applied : callable
        Returns whether the edit is in force at an instance, given its status.
    wait_s : float
        Longest wait, in seconds.
    """
    deadline_s = time.monotonic() + wait_s
    stable_polls = 0
    while True:
        propagation = _poll_propagation(client, is_applied)
        stable_polls = (
            stable_polls + 1 if propagation.known and not propagation.behind else 0
        )
        is_timed_out = time.monotonic() >= deadline_s
        if propagation.complete or is_timed_out or stable_polls >= _STABLE_POLLS:
            return propagation
        time.sleep(_POLL_INTERVAL_S)


def _poll_propagation(
    client: AdminClient, is_applied: Callable[[InstanceStatus], bool]
) -> Propagation:
    # The edit is already accepted. A failed status request must not look like a
    # rejected edit, which the operator would repeat.
    try:
        report = client.call("GET", _STATUS_PATH, TierStatus)
    except CommandError:
        return Propagation((), (), (), known=False)
    return Propagation(
        in_force=tuple(reply.name for reply in report.instances if is_applied(reply)),
        behind=tuple(reply.name for reply in report.instances if not is_applied(reply)),
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


def _send_proposal(client: AdminClient, proposal: TableProposal) -> EditAccepted:
    # An instance reports when it could not resolve a lost platform reply in time.
    # Resending the edit with the same id and base version resolves the outcome.
    try:
        return client.call("PUT", TABLE_PATH, EditAccepted, proposal)
    except ProblemError as error:
        if error.problem.code not in _UNRESOLVED_CODES:
            raise
    except UnreachableError as error:
        if error.exit_code is ExitCode.UNKNOWN:
            raise _outcome_unknown(error, proposal) from error
        raise
    return client.call("PUT", TABLE_PATH, EditAccepted, proposal)


def _outcome_unknown(error: UnreachableError, proposal: TableProposal) -> CommandError:
    return CommandError(
        f"{error}; edit {proposal.edit_id} may have been made:"
        " check with ibisfront table history",
        ExitCode.UNKNOWN,
    )


def _rebase(client: AdminClient, error: ProblemError) -> TableView:
    conflict = error.problem.conflict
    if conflict is None or conflict.overlaps:
        raise error
    return fetch_table(client)
