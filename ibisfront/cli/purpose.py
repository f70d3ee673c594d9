"""``ibisfront purpose``: adds, changes and removes purposes."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

import msgspec
from cleo.helpers import argument, option

from ibisfront.cli.edit_command import TableEditCommand
from ibisfront.cli.exits import CommandError, ExitCode
from ibisfront.core.table import Purpose, Table

if TYPE_CHECKING:
    from cleo.io.inputs.argument import Argument
    from cleo.io.inputs.option import Option

__all__ = ["PurposeRemove", "PurposeSet"]

_NAME = argument("name", "The name of the purpose.")
_BOOLEANS = {"yes": True, "no": False}


class PurposeSet(TableEditCommand):
    """Adds or changes a purpose."""

    name = "purpose set"
    description = "Add or change a purpose; add its rows with table set."
    arguments: ClassVar[list[Argument]] = [_NAME]
    options: ClassVar[list[Option]] = [
        option("search", None, "Index that it searches.", flag=False),
        option(
            "perform", None, "Service that runs its non-idempotent work.", flag=False
        ),
        option("prefers", None, "latency or coverage.", flag=False),
        option("urgent", None, "yes or no.", flag=False),
        *TableEditCommand.options,
    ]

    def edit_table(self, table: Table) -> Table:
        """Return the table with the purpose added or changed."""
        name = self.argument("name")
        existing = table.purpose(name)
        fields = {} if existing is None else msgspec.to_builtins(existing)
        fields.update(name=name, **self._given_fields())
        if "kind" not in fields:
            raise CommandError(
                f"{name} is new: give --search INDEX or --perform SERVICE"
            )
        try:
            purpose = msgspec.convert(fields, Purpose)
        except msgspec.ValidationError as error:
            raise CommandError(f"purpose {name}: {error}") from error
        others = tuple(item for item in table.purposes if item.name != name)
        return msgspec.structs.replace(table, purposes=(*others, purpose))

    def _given_fields(self) -> dict[str, object]:
        given: dict[str, object] = {}
        if self.option("search") is not None:
            given.update(kind="search", index=self.option("search"), service=None)
        if self.option("perform") is not None:
            given.update(kind="perform", service=self.option("perform"), index=None)
        if self.option("prefers") is not None:
            given["prefers"] = self.option("prefers")
        if self.option("urgent") is not None:
            given["urgent"] = self._urgent()
        return given

    def _urgent(self) -> bool:
        text = self.option("urgent")
        if text not in _BOOLEANS:
            raise CommandError(f"--urgent is {text!r}: give yes or no")
        return _BOOLEANS[text]


class PurposeRemove(TableEditCommand):
    """Removes a purpose and its rows."""

    name = "purpose remove"
    description = "Remove a purpose and all its rows."
    arguments: ClassVar[list[Argument]] = [_NAME]

    def edit_table(self, table: Table) -> Table:
        """Return the table without the purpose."""
        name = self.argument("name")
        if table.purpose(name) is None:
            raise CommandError(f"there is no purpose {name}", ExitCode.REJECTED)
        return msgspec.structs.replace(
            table,
            purposes=tuple(item for item in table.purposes if item.name != name),
            rows=tuple(row for row in table.rows if row.purpose != name),
        )
