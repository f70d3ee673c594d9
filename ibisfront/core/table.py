"""The table that operators edit: purposes, and a row per branch and purpose."""

from __future__ import annotations

from typing import Literal

import msgspec

from ibisfront.core.types import Version

__all__ = [
    "TABLE_NAME",
    "EditSummary",
    "Purpose",
    "PurposeChange",
    "Row",
    "RowChange",
    "Table",
]

TABLE_NAME = "main"
"""The name of the one table object."""


class Purpose(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One use of the tier, such as a name check at the desk.

    Attributes
    ----------
    name : str
        Its name, unique in the table.
    kind : {"search", "perform"}
        Whether it searches an index or runs non-idempotent work.
    index : str, optional
        The index that a search covers, service by service.
    service : str, optional
        The service that runs non-idempotent work.
    prefers : {"latency", "coverage"}
        What a search gives up last when a service is slow.
    urgent : bool
        Whether its requests go before the others of the same branch.
    """

    name: str
    kind: Literal["search", "perform"]
    index: str | None = None
    service: str | None = None
    prefers: Literal["latency", "coverage"] = "latency"
    urgent: bool = False


class Row(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What one branch may use of one purpose.

    Attributes
    ----------
    branch : str
        The branch.
    purpose : str
        The name of the purpose.
    weight : float
        Its share against the other rows when the tier is full; above zero.
    limit_per_s : float
        Requests a second that it may start, over the tier as a whole.
    max_in_flight : int
        Requests that it may have running, over the tier as a whole.
    """

    branch: str
    purpose: str
    weight: float = 1.0
    limit_per_s: float = 100.0
    max_in_flight: int = 100


class RowChange(msgspec.Struct, frozen=True, tag="row", kw_only=True):
    """One row before and after an edit; None where there is no such row."""

    before: Row | None = None
    after: Row | None = None

    @property
    def branch(self) -> str:
        """The branch of the row."""
        return self._row.branch

    @property
    def purpose(self) -> str:
        """The purpose of the row."""
        return self._row.purpose

    @property
    def _row(self) -> Row:
        found = self.before if self.after is None else self.after
        assert found is not None, "a change has a row before or after"
        return found


class PurposeChange(msgspec.Struct, frozen=True, tag="purpose", kw_only=True):
    """One purpose before and after an edit; None where there is none."""

    before: Purpose | None = None
    after: Purpose | None = None

    @property
    def name(self) -> str:
        """The name of the purpose."""
        found = self.before if self.after is None else self.after
        assert found is not None, "a change has a purpose before or after"
        return found.name


class EditSummary(msgspec.Struct, frozen=True):
    """One edit of the table, as its history keeps it.

    Attributes
    ----------
    edit_id : str
        The id of the edit.
    edited_by : str
        The operator who made it.
    edited_wall_ms : float
        When, in milliseconds since 1970.
    base_version : int
        The version of the table that it replaced; 0 if it created the table.
        As every write is conditional, one edit at most has a given base.
    changes : tuple of RowChange or PurposeChange
        What it changed.
    whole : bool
        False if the changes were too many to keep here.
    """

    edit_id: str
    edited_by: str
    edited_wall_ms: float
    base_version: Version
    changes: tuple[RowChange | PurposeChange, ...] = ()
    whole: bool = True


class Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole table at one version.

    Attributes
    ----------
    purposes : tuple of Purpose
        Every purpose.
    rows : tuple of Row
        At most one row per branch and purpose.
    edit_id : str
        The id of the edit that made this version, to settle a lost answer.
    edited_by : str
        The operator who made the edit.
    edited_wall_ms : float
        When, in milliseconds since 1970, by that operator's clock.
    history : tuple of EditSummary
        The last edits, oldest first, the one that made this version included.
    """

    purposes: tuple[Purpose, ...] = ()
    rows: tuple[Row, ...] = ()
    edit_id: str = ""
    edited_by: str = ""
    edited_wall_ms: float = 0.0
    history: tuple[EditSummary, ...] = ()

    def purpose(self, name: str) -> Purpose | None:
        """Return the purpose of a name, or None."""
        return next((item for item in self.purposes if item.name == name), None)

    def row(self, branch: str, purpose: str) -> Row | None:
        """Return the row of a branch and purpose, or None."""
        matching = (
            item
            for item in self.rows
            if item.branch == branch and item.purpose == purpose
        )
        return next(matching, None)
