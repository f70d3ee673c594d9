"""Choosing the one snapshot that a search is pinned to."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, TypeAlias

from ibisfront.core.errors import ErrorKind, IbisfrontError

if TYPE_CHECKING:
    from ibisfront.core.catalogue import Catalogue
    from ibisfront.core.snapshot import Snapshot
    from ibisfront.core.table import Purpose

__all__ = ["HoldsSnapshot", "expected_coverage", "pin_snapshot", "snapshots_of"]

HoldsSnapshot: TypeAlias = Callable[[str, str], bool]
"""Whether some server of a service may hold a snapshot, by their names."""


def snapshots_of(catalogue: Catalogue, purpose: Purpose) -> tuple[Snapshot, ...]:
    """Return the published snapshots of what a purpose searches, oldest first.

    Raises
    ------
    IbisfrontError
        ``no_snapshot`` if there is none yet.
    """
    index = None if purpose.index is None else catalogue.index(purpose.index)
    if index is None or not index.snapshots:
        raise IbisfrontError(
            ErrorKind.NO_SNAPSHOT,
            f"index {purpose.index!r} has no snapshot yet: publish one",
        )
    return index.snapshots


def pin_snapshot(snapshots: tuple[Snapshot, ...], *, holds: HoldsSnapshot) -> Snapshot:
    """Return the snapshot that covers most, the newest one among equals.

    The newest snapshot is published before every server has loaded it, and
    the oldest is dropped by some servers before others, so neither end of the
    list is always the one that all can answer.

    Parameters
    ----------
    snapshots : tuple of Snapshot
        Oldest first; not empty.
    holds : callable
        Whether a service may hold a snapshot.
    """
    best = snapshots[-1]
    best_coverage = -1.0
    for snapshot in reversed(snapshots):
        coverage = expected_coverage(snapshot, holds=holds)
        if coverage > best_coverage:
            best, best_coverage = snapshot, coverage
        if best_coverage >= 1.0:
            break
    return best


def expected_coverage(snapshot: Snapshot, *, holds: HoldsSnapshot) -> float:
    """Return the share of a snapshot's services that may answer for it."""
    if not snapshot.services:
        return 0.0
    held = sum(holds(service, snapshot.name) for service in snapshot.services)
    return held / len(snapshot.services)
