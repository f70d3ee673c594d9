"""What the commands that edit the table share."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

from cleo.helpers import option

from ibisfront.adapters.admin import TableView
from ibisfront.cli.command import OperatorCommand
from ibisfront.cli.exits import CommandError, ExitCode, RefusedError
from ibisfront.cli.output import change_lines, conflict_lines, reach_lines
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
    from ibisfront.cli.table_edits import Reach
    from ibisfront.core.table import Table

__all__ = ["TableEditCommand", "WaitingCommand", "number_option"]

_DEFAULT_WAIT_S = "10"


def number_option(name: str, description: str, default: str | None = None) -> Option:
    """Return an option that takes a number."""
    return option(name, None, description, flag=False, default=default)


class WaitingCommand(OperatorCommand):
    """A command that waits until its edit is in force everywhere."""

    edit_options: ClassVar[list[Option]] = [
        number_option(
            "wait-s",
            "How long to wait until the edit is in force everywhere.",
            _DEFAULT_WAIT_S,
        ),
        *OperatorCommand.operator_options,
    ]
    options: ClassVar[list[Option]] = edit_options

    @property
    def wait_s(self) -> float:
        """How long to wait."""
        return self.number("wait-s") or 0.0

    def number(self, name: str) -> float | None:
        """Return the number that an option gives, or None if it is left out.

        Raises
        ------
        CommandError
            If it is no number.
        """
        given = self.option(name)
        if given is None:
            return None
        try:
            return float(given)
        except ValueError as error:
            raise CommandError(f"--{name} is {given!r}: give a number") from error

    def whole_number(self, name: str) -> int | None:
        """Return the whole number that an option gives, or None."""
        number = self.number(name)
        if number is None:
            return None
        if number != int(number):
            raise CommandError(f"--{name} is {number:g}: give a whole number")
        return int(number)

    def show_reach(self, reach: Reach) -> ExitCode:
        """Say where an edit is in force, and return what that amounts to."""
        if not self.wants_json:
            for line in reach_lines(reach):
                self.print_text(line)
        return ExitCode.DONE if reach.complete else ExitCode.IN_PART


class TableEditCommand(WaitingCommand):
    """A command that edits the table."""

    base_option: ClassVar[Option] = number_option(
        "base", "The version that the edit was made on; the one read now if left out."
    )
    options: ClassVar[list[Option]] = [base_option, *WaitingCommand.edit_options]

    def run_with(self, client: AdminClient) -> ExitCode:
        """Make the edit and wait."""
        base = self.base_view(client)
        changes = changes_between(base.table, self.edited(base.table))
        if not changes:
            self.say("nothing to change")
            return ExitCode.DONE
        self.say(f"on version {base.version}:")
        for line in change_lines(changes):
            self.say(f"  {line}")
        if not self.confirmed():
            raise CommandError("not applied", ExitCode.REFUSED)
        outcome = apply_edit(client, base, changes, wait_s=self.wait_s, say=self.say)
        return self.show_outcome(outcome)

    def edited(self, table: Table) -> Table:
        """Return the table as it shall be."""
        raise NotImplementedError

    def confirmed(self) -> bool:
        """Return whether to go on, now that the changes are shown."""
        return True

    def base_version(self) -> int | None:
        """Return the version that the operator names, if any."""
        return self.whole_number("base")

    def base_view(self, client: AdminClient) -> TableView:
        """Return the table at the version that the edit is made on."""
        current = fetch_table(client)
        version = self.base_version()
        if version is None or version == current.version:
            return current
        return TableView(version, fetch_base(client, current, version))

    def show_outcome(self, outcome: EditOutcome) -> ExitCode:
        """Print what came of the edit."""
        if self.wants_json:
            self.print_json(outcome)
        return self.show_reach(outcome.reach)

    def show_error(self, error: CommandError) -> None:
        """Say why the edit was not made; of a conflict, show both edits."""
        super().show_error(error)
        conflict = error.problem.conflict if isinstance(error, RefusedError) else None
        if conflict is not None and not self.wants_json:
            for line in conflict_lines(conflict):
                self.print_text(line)

    def say(self, text: str) -> None:
        """Print a step, unless the output is JSON."""
        if not self.wants_json:
            self.print_text(text)
