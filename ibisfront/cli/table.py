"""``ibisfront table``: shows and edits the table."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, ClassVar

import msgspec
from cleo.helpers import argument, option

from ibisfront.adapters.admin import TableView
from ibisfront.cli.command import OperatorCommand
from ibisfront.cli.edit_command import TableEditCommand, number_option
from ibisfront.cli.exits import CommandError, ExitCode
from ibisfront.cli.output import change_lines, edit_heading, format_columns
from ibisfront.cli.table_edits import TABLE_PATH, fetch_table
from ibisfront.cli.table_files import read_table_file, resolve_format, table_text
from ibisfront.core.table import EditSummary, Row, Table

if TYPE_CHECKING:
    from cleo.io.inputs.argument import Argument
    from cleo.io.inputs.option import Option

    from ibisfront.cli.client import AdminClient
    from ibisfront.cli.table_files import TableFile

__all__ = [
    "TableApply",
    "TableExport",
    "TableHistory",
    "TableRemove",
    "TableSet",
    "TableShow",
]

_ROW_ARGUMENTS = [
    argument("branch", "The branch of the row."),
    argument("purpose", "The purpose of the row."),
]
_FORMAT_OPTION = option(
    "format", None, "toml or csv; taken from the file's suffix if omitted.", flag=False
)


class TableShow(OperatorCommand):
    """Shows the table."""

    name = "table show"
    description = "Show the table: its version, purposes and rows."
    options: ClassVar[list[Option]] = [
        option(
            "in-force", None, "Show the version in force at the instance that replies."
        ),
        *OperatorCommand.operator_options,
    ]

    def run_with(self, client: AdminClient) -> ExitCode:
        """Print the table."""
        path = f"{TABLE_PATH}/in-force" if self.option("in-force") else TABLE_PATH
        view = client.call("GET", path, TableView)
        if self.wants_json:
            self.print_json(view)
            return ExitCode.DONE
        self.print_text(
            f"version {view.version}, edited by {view.table.edited_by or 'unknown'}"
        )
        for lines in (_purpose_lines(view.table), _row_lines(view.table)):
            self.print_text("")
            for line in lines:
                self.print_text(line)
        return ExitCode.DONE


class TableSet(TableEditCommand):
    """Adds or changes a row."""

    name = "table set"
    description = "Add or change the row of a branch and purpose."
    arguments: ClassVar[list[Argument]] = _ROW_ARGUMENTS
    options: ClassVar[list[Option]] = [
        number_option(
            "weight", "Weight against the other rows when the tier is at capacity."
        ),
        number_option("limit-per-s", "Rate limit, in requests per second."),
        number_option("max-in-flight", "Limit on concurrent requests."),
        *TableEditCommand.options,
    ]

    def edit_table(self, table: Table) -> Table:
        """Return the table with the row added or changed."""
        branch, purpose = self.argument("branch"), self.argument("purpose")
        given = {
            "weight": self.number("weight"),
            "limit_per_s": self.number("limit-per-s"),
            "max_in_flight": self.integer("max-in-flight"),
        }
        row = msgspec.structs.replace(
            table.row(branch, purpose) or Row(branch, purpose),
            **{name: value for name, value in given.items() if value is not None},
        )
        return _with_row(table, row)


class TableRemove(TableEditCommand):
    """Removes a row."""

    name = "table remove"
    description = (
        "Remove the row of a branch and purpose; its requests are then rejected."
    )
    arguments: ClassVar[list[Argument]] = _ROW_ARGUMENTS

    def edit_table(self, table: Table) -> Table:
        """Return the table without the row."""
        branch, purpose = self.argument("branch"), self.argument("purpose")
        if table.row(branch, purpose) is None:
            raise CommandError(f"there is no row {branch}/{purpose}", ExitCode.REJECTED)
        rows = tuple(
            row for row in table.rows if (row.branch, row.purpose) != (branch, purpose)
        )
        return msgspec.structs.replace(table, rows=rows)


class TableHistory(OperatorCommand):
    """Shows the last edits."""

    name = "table history"
    description = "Show the last edits of the table, newest first."

    def run_with(self, client: AdminClient) -> ExitCode:
        """Print the edits."""
        edits = client.call("GET", f"{TABLE_PATH}/history", tuple[EditSummary, ...])
        if self.wants_json:
            self.print_json(edits)
            return ExitCode.DONE
        for edit in reversed(edits):
            self.print_text(edit_heading(edit))
            for line in change_lines(edit.changes):
                self.print_text(f"  {line}")
        return ExitCode.DONE


class TableExport(OperatorCommand):
    """Writes the table to a file."""

    name = "table export"
    description = "Write the table as TOML, or its rows as CSV for a spreadsheet."
    arguments: ClassVar[list[Argument]] = [
        argument("file", "The file; standard output if omitted.", optional=True)
    ]
    options: ClassVar[list[Option]] = [
        _FORMAT_OPTION,
        *OperatorCommand.operator_options,
    ]

    def run_with(self, client: AdminClient) -> ExitCode:
        """Write the table."""
        given = self.argument("file")
        path = None if given is None else Path(given)
        file_format = resolve_format(path, self.option("format"))
        view = fetch_table(client)
        text = table_text(view, file_format)
        if path is None:
            self.print_text(text.rstrip("\n"))
            return ExitCode.DONE
        try:
            path.write_text(text, encoding="utf-8")
        except OSError as error:
            raise CommandError(f"{path} cannot be written ({error})") from error
        if self.wants_json:
            self.print_json(_ExportResult(str(path), view.version))
        else:
            self.print_text(
                f"{path} holds version {view.version}; apply it with"
                f" ibisfront table apply {path} --base {view.version}"
            )
        return ExitCode.DONE


class TableApply(TableEditCommand):
    """Replaces the table by the contents of a file."""

    name = "table apply"
    description = "Replace the table by a file's contents; the changes are shown first."
    arguments: ClassVar[list[Argument]] = [argument("file", "A TOML or CSV file.")]
    options: ClassVar[list[Option]] = [
        option("yes", "y", "Apply without confirmation."),
        _FORMAT_OPTION,
        *TableEditCommand.options,
    ]

    def edit_table(self, table: Table) -> Table:
        """Return the table defined by the file."""
        return self._read_file().apply_to(table)

    def base_version(self) -> int | None:
        """Return the version that the file is based on.

        Raises
        ------
        CommandError
            If neither the file nor the operator gives it; edits made since then
            would be reverted unnoticed.
        """
        given = super().base_version()
        version = self._read_file().version if given is None else given
        if version is None:
            raise CommandError(
                "the file does not give the version that it is based on:"
                " give --base VERSION, as printed by table export"
            )
        return version

    def confirmed(self) -> bool:
        """Ask for confirmation, unless ``--yes`` is given."""
        if self.option("yes"):
            return True
        if self.wants_json:
            raise CommandError("--json allows no confirmation prompt: give --yes")
        return bool(self.confirm("Apply these changes?", default=False))

    def _read_file(self) -> TableFile:
        path = Path(self.argument("file"))
        return read_table_file(path, resolve_format(path, self.option("format")))


class _ExportResult(msgspec.Struct, frozen=True):
    file: str
    version: int


def _with_row(table: Table, row: Row) -> Table:
    key = (row.branch, row.purpose)
    if table.row(*key) is None:
        return msgspec.structs.replace(table, rows=(*table.rows, row))
    rows = tuple(
        row if (item.branch, item.purpose) == key else item for item in table.rows
    )
    return msgspec.structs.replace(table, rows=rows)


def _purpose_lines(table: Table) -> list[str]:
    headings = ("PURPOSE", "KIND", "SEARCHES OR RUNS AT", "PREFERS", "URGENT")
    return format_columns(
        headings,
        [
            (
                item.name,
                item.kind,
                item.index or item.service or "",
                item.prefers,
                "yes" if item.urgent else "no",
            )
            for item in table.purposes
        ],
    )


def _row_lines(table: Table) -> list[str]:
    headings = ("BRANCH", "PURPOSE", "WEIGHT", "LIMIT PER S", "MAX IN FLIGHT")
    return format_columns(
        headings,
        [
            (
                row.branch,
                row.purpose,
                f"{row.weight:g}",
                f"{row.limit_per_s:g}",
                row.max_in_flight,
            )
            for row in table.rows
        ],
    )
