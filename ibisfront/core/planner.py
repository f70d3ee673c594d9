"""Choosing the one snapshot that a search is pinned to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisfront.core.errors import ErrorKind, IbisfrontError

if TYPE_CHECKING:
    from ibisfront.core.catalogue import Catalogue
    from ibisfront.core.snapshot import Snapshot
    from ibisfront.core.table import Purpose

__all__ = ["pin_snapshot"]


def pin_snapshot(catalogue: Catalogue, purpose: Purpose) -> Snapshot:
    """Return the snapshot that a search of a purpose uses.

    Raises
    ------
    IbisfrontError
        ``no_snapshot`` if the index has none yet.
    """
    index = None if purpose.index is None else catalogue.index(purpose.index)
    if index is None or not index.snapshots:
        raise IbisfrontError(
            ErrorKind.NO_SNAPSHOT,
            f"index {purpose.index!r} has no snapshot yet: publish one",
        )
    return index.snapshots[-1]
