"""Base classes of the commands that edit the table or services."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

from cleo.helpers import option

from ibisfront.adapters.admin import TableView
from ibisfront.cli.command import OperatorCommand
from ibisfront.cli.exits import CommandError, ExitCode, ProblemError
from ibisfront.cli.output import change_lines, conflict_lines, propagation_lines
from ibisfront.cli.table_edits import (
    EditOutcome,
    apply_edit,
    fetch_base,
    fetch_table,
)
from ibisfront.core.table_changes import changes_between

if TYPE_CHECKING:
    from cleo.io.inputs.option import Option

    from ibisfront.cli.client import AdminClient
    from ibisfront.cli.table_edits import Propagation
    from ibisfront.core.table import Table

__all__ = ["EditCommand", "TableEditCommand", "number_option"]

_DEFAULT_WAIT_S = "10"


def number_option(name: str, description: str, default: str | None = None) -> Option:
    """Return an option that takes a number."""
    return option(name, None, description, flag=False, default=default)


class EditCommand(OperatorCommand):
    """Command that waits until its edit is in force everywhere."""

    edit_options: ClassVar[list[Option]] = [
        number_option(
            "wait-s",
            "Longest wait until the edit is in force everywhere, in seconds.",
            _DEFAULT_WAIT_S,
        ),
        *OperatorCommand.operator_options,
    ]
    options: ClassVar[list[Option]] = edit_options

    @property
    def wait_s(self) -> float:
        """Longest wait until the edit is in force everywhere, in seconds."""
        return self.number("wait-s") or 0.0

    def number(self, name: str) -> float | None:
        """Return the value of a numeric option, or None if it is omitted.

        Raises
        ------
        CommandError
            If the value is not a number.
        """
        value = self.option(name)
        if value is None:
            return None
        try:
            return float(value)
        except ValueError as error:
            raise CommandError(f"--{name} is {value!r}: give a number") from error

    def integer(self, name: str) -> int | None:
        """Return the value of an integer option, or None if it is omitted.

        Raises
        ------
        CommandError
            If the value is not an integer.
        """
        number = self.number(name)
        if number is None:
            return None
        if number != int(number):
            raise CommandError(f"--{name} is {number:g}: give a whole number")
        return int(number)

    def show_propagation(self, propagation: Propagation) -> ExitCode:
        """Print where an edit is in force, and return the matching exit code."""
        if not self.wants_json:
            for line in propagation_lines(propagation):
                self.print_text(line)
        return ExitCode.DONE if propagation.complete else ExitCode.PARTIAL


class TableEditCommand(EditCommand):
    """Command that edits the table."""

    base_option: ClassVar[Option] = number_option(
        "base", "Version that the edit is based on; the current one if omitted."
    )
    options: ClassVar[list[Option]] = [base_option, *EditCommand.edit_options]

    def run_with(self, client: AdminClient) -> ExitCode:
        """Make the edit and wait until it is in force."""
        base = self.base_view(client)
        changes = changes_between(base.table, self.edit_table(base.table))
        if not changes:
            self.print_progress("nothing to change")
            return ExitCode.DONE
        self.print_progress(f"on version {base.version}:")
        for line in change_lines(changes):
            self.print_progress(f"  {line}")
        if not self.confirmed():
            raise CommandError("not applied", ExitCode.REJECTED)
        outcome = apply_edit(
            client,
            base,
            changes,
            wait_s=self.wait_s,
            report_progress=self.print_progress,
        )
        return self.show_outcome(outcome)

    def edit_table(self, table: Table) -> Table:
        """Return the edited table."""
        raise NotImplementedError

    def confirmed(self) -> bool:
        """Return whether to apply the changes, which have been shown."""
        return True

    def base_version(self) -> int | None:
        """Return the base version given by the operator, if any."""
        return self.integer("base")

    def base_view(self, client: AdminClient) -> TableView:
        """Return the table at the base version of the edit."""
        current = fetch_table(client)
        version = self.base_version()
        if version is None or version == current.version:
            return current
        return TableView(version, fetch_base(client, current, version))

    def show_outcome(self, outcome: EditOutcome) -> ExitCode:
        """Print the outcome of the edit."""
        if self.wants_json:
            self.print_json(outcome)
        return self.show_propagation(outcome.reach)

    def show_error(self, error: CommandError) -> None:
        """Print why the edit was not made; for a conflict, print both edits."""
        super().show_error(error)
        conflict = error.problem.conflict if isinstance(error, ProblemError) else None
        if conflict is not None and not self.wants_json:
            for line in conflict_lines(conflict):
                self.print_text(line)

    def print_progress(self, text: str) -> None:
        """Print a progress line, unless the output is JSON."""
        if not self.wants_json:
            self.print_text(text)
