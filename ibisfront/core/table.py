"""The table that operators edit: purposes, and one row per branch and purpose."""

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
"""Name of the only object of kind ``TABLE``."""


class Purpose(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A use case of the tier, such as a name check at the desk.

    Attributes
    ----------
    name : str
        Name, unique in the table.
    kind : {"search", "perform"}
        Whether requests search an index or run non-idempotent work.
    index : str, optional
        The index to search, across all of its services.
    service : str, optional
        The service that runs the non-idempotent work.
    prefers : {"latency", "coverage"}
        What a search preserves longest when a service is slow.
    urgent : bool
        Whether its requests take priority over others of the same branch.
    """

    name: str
    kind: Literal["search", "perform"]
    index: str | None = None
    service: str | None = None
    prefers: Literal["latency", "coverage"] = "latency"
    urgent: bool = False


class Row(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of one branch for one purpose.

    Attributes
    ----------
    branch : str
        Name of the branch.
    purpose : str
        Name of the purpose.
    weight : float
        Relative share of capacity when the tier is saturated; above zero.
    limit_per_s : float
        Requests per second that may start across the whole tier.
    max_in_flight : int
        Concurrent requests allowed across the whole tier.
    """

    branch: str
    purpose: str
    weight: float = 1.0
    limit_per_s: float = 100.0
    max_in_flight: int = 100


class RowChange(msgspec.Struct, frozen=True, tag="row", kw_only=True):
    """A row before and after an edit; None on the side where it does not exist."""

    before: Row | None = None
    after: Row | None = None

    @property
    def branch(self) -> str:
        """Name of the row's branch."""
        return self._row.branch

    @property
    def purpose(self) -> str:
        """Name of the row's purpose."""
        return self._row.purpose

    @property
    def _row(self) -> Row:
        present = self.before if self.after is None else self.after
        assert present is not None, "a change has a row before or after"
        return present


class PurposeChange(msgspec.Struct, frozen=True, tag="purpose", kw_only=True):
    """A purpose before and after an edit; None where it does not exist."""

    before: Purpose | None = None
    after: Purpose | None = None

    @property
    def name(self) -> str:
        """Name of the purpose."""
        present = self.before if self.after is None else self.after
        assert present is not None, "a change has a purpose before or after"
        return present.name


class EditSummary(msgspec.Struct, frozen=True):
    """An edit of the table, as recorded in its history.

    Attributes
    ----------
    edit_id : str
        Id of the edit.
    edited_by : str
        The operator who made the edit.
    edited_wall_ms : float
        Time of the edit, in milliseconds since the Unix epoch.
    base_version : int
        The version of the table that it replaced; 0 if it created the table.
        Writes are conditional, so at most one edit has a given base version.
    changes : tuple of RowChange or PurposeChange
        The changes made.
    whole : bool
        False if ``changes`` was too large and has been dropped.
    """

    edit_id: str
    edited_by: str
    edited_wall_ms: float
    base_version: Version
    changes: tuple[RowChange | PurposeChange, ...] = ()
    whole: bool = True


class Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The complete table at one version.

    Attributes
    ----------
    purposes : tuple of Purpose
        All purposes.
    rows : tuple of Row
        At most one row per branch and purpose.
    edit_id : str
        Id of the edit that produced this version; identifies an accepted edit
        whose response was lost.
    edited_by : str
        The operator who made the edit.
    edited_wall_ms : float
        Time of the edit, in milliseconds since the Unix epoch, by the operator's
        clock.
    history : tuple of EditSummary
        The latest edits, oldest first, including the one of this version.
    """

    purposes: tuple[Purpose, ...] = ()
    rows: tuple[Row, ...] = ()
    edit_id: str = ""
    edited_by: str = ""
    edited_wall_ms: float = 0.0
    history: tuple[EditSummary, ...] = ()

    def purpose(self, name: str) -> Purpose | None:
        """Return the purpose with the given name, or None."""
        return next((item for item in self.purposes if item.name == name), None)

    def row(self, branch: str, purpose: str) -> Row | None:
        """Return the row for a branch and purpose, or None."""
        matching = (
            item
            for item in self.rows
            if item.branch == branch and item.purpose == purpose
        )
        return next(matching, None)
