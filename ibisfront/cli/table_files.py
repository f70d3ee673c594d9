"""The table as a TOML or CSV file."""

from __future__ import annotations

import csv
import io
from enum import StrEnum
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec
import tomli_w

from ibisfront.cli.exits import CommandError
from ibisfront.core.table import Purpose, Row, Table

if TYPE_CHECKING:
    from ibisfront.adapters.admin import TableView

__all__ = ["FileFormat", "TableFile", "format_of", "read_table_file", "table_text"]

_ROW_FIELDS = tuple(field.name for field in msgspec.structs.fields(Row))


class FileFormat(StrEnum):
    """How a table is written."""

    TOML = "toml"
    CSV = "csv"


class TableFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a file says.

    Attributes
    ----------
    version : int or None
        The version that the file was made from; a CSV file does not say.
    purposes : tuple of Purpose or None
        Every purpose; a CSV file has rows only and leaves them as they are.
    rows : tuple of Row
        Every row.
    """

    version: int | None = None
    purposes: tuple[Purpose, ...] | None = None
    rows: tuple[Row, ...] = ()

    def table_on(self, base: Table) -> Table:
        """Return the table that the file makes of the one that it was made on."""
        purposes = base.purposes if self.purposes is None else self.purposes
        return msgspec.structs.replace(base, purposes=purposes, rows=self.rows)


def format_of(path: Path | None, named: str | None) -> FileFormat:
    """Return the format that is named, or that the file's name ends with.

    Raises
    ------
    CommandError
        If it is no known format.
    """
    wanted = named or ("toml" if path is None else path.suffix.removeprefix("."))
    try:
        return FileFormat(wanted.lower())
    except ValueError as error:
        raise CommandError(
            f"{wanted!r} is no known format: name the file .toml or .csv"
        ) from error


def table_text(view: TableView, file_format: FileFormat) -> str:
    """Return a table as the text of a file."""
    if file_format is FileFormat.CSV:
        return _csv_text(view.table)
    contents = TableFile(view.version, view.table.purposes, view.table.rows)
    return tomli_w.dumps(_without_none(msgspec.to_builtins(contents)))


def read_table_file(path: Path, file_format: FileFormat) -> TableFile:
    """Return what a file says.

    Raises
    ------
    CommandError
        Naming the place and what is wrong there.
    """
    try:
        text = path.read_text(encoding="utf-8-sig")
        if file_format is FileFormat.CSV:
            return TableFile(rows=_csv_rows(text))
        return msgspec.toml.decode(text, type=TableFile)
    except (OSError, ValueError) as error:
        raise CommandError(f"{path}: {error}") from error


def _csv_text(table: Table) -> str:
    written = io.StringIO()
    writer = csv.DictWriter(written, _ROW_FIELDS, lineterminator="\n")
    writer.writeheader()
    writer.writerows(msgspec.to_builtins(row) for row in table.rows)
    return written.getvalue()


def _csv_rows(text: str) -> tuple[Row, ...]:
    # A spreadsheet in many locales saves with semicolons between the cells.
    first_line = text.partition("\n")[0]
    delimiter = ";" if first_line.count(";") > first_line.count(",") else ","
    reader = csv.DictReader(io.StringIO(text), delimiter=delimiter)
    missing = {"branch", "purpose"} - set(reader.fieldnames or ())
    if missing:
        raise ValueError(f"the first line lacks {', '.join(sorted(missing))}")
    return tuple(_csv_row(cells, reader.line_num) for cells in reader)


def _csv_row(cells: dict[str, str], line: int) -> Row:
    if None in cells:
        raise ValueError(f"line {line} has more cells than the first line")
    given = {name: text for name, text in cells.items() if text not in ("", None)}
    try:
        return msgspec.convert(given, Row, strict=False)
    except msgspec.ValidationError as error:
        raise ValueError(f"line {line}: {error}") from error


def _without_none(value: object) -> dict[str, object]:
    cleaned = _cleaned(value)
    assert isinstance(cleaned, dict)
    return cleaned


def _cleaned(value: object) -> object:
    """Return a value without the entries that TOML cannot hold."""
    if isinstance(value, dict):
        return {
            name: _cleaned(item) for name, item in value.items() if item is not None
        }
    if isinstance(value, list | tuple):
        return [_cleaned(item) for item in value]
    return value
