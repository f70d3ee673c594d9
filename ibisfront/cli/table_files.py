"""Reads and writes the table as a TOML or CSV file."""

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

__all__ = ["FileFormat", "TableFile", "read_table_file", "resolve_format", "table_text"]

_ROW_FIELDS = tuple(field.name for field in msgspec.structs.fields(Row))


class FileFormat(StrEnum):
    """File format of a table."""

    TOML = "toml"
    CSV = "csv"


class TableFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Contents of a table file.

    Attributes
    ----------
    version : int or None
        Version that the file is based on; None for a CSV file.
    purposes : tuple of Purpose or None
        All purposes; None for a CSV file, which leaves them unchanged.
    rows : tuple of Row
        All rows.
    """

    version: int | None = None
    purposes: tuple[Purpose, ...] | None = None
    rows: tuple[Row, ...] = ()

    def apply_to(self, base: Table) -> Table:
        """Return the base table with the contents of the file applied."""
        purposes = base.purposes if self.purposes is None else self.purposes
        return msgspec.structs.replace(base, purposes=purposes, rows=self.rows)


def resolve_format(path: Path | None, named: str | None) -> FileFormat:
    """Return the named format, or the one given by the file's suffix.

    Raises
    ------
    CommandError
        If the format is unknown.
    """
    format_name = named or ("toml" if path is None else path.suffix.removeprefix("."))
    try:
        return FileFormat(format_name.lower())
    except ValueError as error:
        raise CommandError(
            f"{format_name!r} is not a known format: name the file .toml or .csv"
        ) from error


def table_text(view: TableView, file_format: FileFormat) -> str:
    """Return the table as the text of a file."""
    if file_format is FileFormat.CSV:
        return _csv_text(view.table)
    contents = TableFile(view.version, view.table.purposes, view.table.rows)
    return tomli_w.dumps(_without_none(msgspec.to_builtins(contents)))


def read_table_file(path: Path, file_format: FileFormat) -> TableFile:
    """Read a table file.

    Raises
    ------
    CommandError
        If the file cannot be read or is invalid; names the place and the error.
    """
    try:
        text = path.read_text(encoding="utf-8-sig")
        if file_format is FileFormat.CSV:
            return TableFile(rows=_csv_rows(text))
        return msgspec.toml.decode(text, type=TableFile)
    except (OSError, ValueError) as error:
        raise CommandError(f"{path}: {error}") from error


def _csv_text(table: Table) -> str:
    buffer = io.StringIO()
    writer = csv.DictWriter(buffer, _ROW_FIELDS, lineterminator="\n")
    writer.writeheader()
    writer.writerows(msgspec.to_builtins(row) for row in table.rows)
    return buffer.getvalue()


def _csv_rows(text: str) -> tuple[Row, ...]:
    # In many locales, spreadsheets separate cells with semicolons.
    first_line = text.partition("\n")[0]
    delimiter = ";" if first_line.count(";") > first_line.count(",") else ","
    reader = csv.DictReader(io.StringIO(text), delimiter=delimiter)
    missing = {"branch", "purpose"} - set(reader.fieldnames or ())
    if missing:
        raise ValueError(f"the header lacks {', '.join(sorted(missing))}")
    return tuple(_csv_row(cells, reader.line_num) for cells in reader)


def _csv_row(cells: dict[str, str], line: int) -> Row:
    if None in cells:
        raise ValueError(f"line {line} has more cells than the header")
    given = {name: text for name, text in cells.items() if text not in ("", None)}
    try:
        return msgspec.convert(given, Row, strict=False)
    except msgspec.ValidationError as error:
        raise ValueError(f"line {line}: {error}") from error


def _without_none(value: object) -> dict[str, object]:
    cleaned = _drop_none(value)
    assert isinstance(cleaned, dict)
    return cleaned


def _drop_none(value: object) -> object:
    """Return a value without None entries, which TOML cannot represent."""
    if isinstance(value, dict):
        return {
            name: _drop_none(item) for name, item in value.items() if item is not None
        }
    if isinstance(value, list | tuple):
        return [_drop_none(item) for item in value]
    return value
