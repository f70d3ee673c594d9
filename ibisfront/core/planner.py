"""Selection of the snapshot that a search is pinned to."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, TypeAlias

from ibisfront.core.errors import ErrorKind, IbisfrontError

if TYPE_CHECKING:
    from ibisfront.core.catalogue import Catalogue
    from ibisfront.core.snapshot import Snapshot
    from ibisfront.core.table import Purpose

__all__ = [
    "MayHoldSnapshot",
    "expected_coverage",
    "pin_snapshot",
    "published_snapshots",
]

MayHoldSnapshot: TypeAlias = Callable[[str, str], bool]
"""Takes the names of a service and a snapshot; whether a server may hold it."""


def published_snapshots(catalogue: Catalogue, purpose: Purpose) -> tuple[Snapshot, ...]:
    """Return the published snapshots of a purpose's index, oldest first.

    Raises
    ------
    IbisfrontError
        ``no_snapshot`` if none is published yet.
    """
    index = None if purpose.index is None else catalogue.index(purpose.index)
    if index is None or not index.snapshots:
        raise IbisfrontError(
            ErrorKind.NO_SNAPSHOT,
            f"index {purpose.index!r} has no snapshot yet: publish one",
        )
    return index.snapshots


def pin_snapshot(
    snapshots: tuple[Snapshot, ...], *, may_hold: MayHoldSnapshot
) -> Snapshot:
    """Return the snapshot with the highest expected coverage, preferring new ones.

    The newest snapshot is published before every server has loaded it, and
    the oldest is dropped by some servers before others, so neither is always
    held by all services.

    Parameters
    ----------
    snapshots : tuple of Snapshot
        Oldest first; not empty.
    may_hold : callable
        Whether a server of a service may hold a snapshot.
    """
    best = snapshots[-1]
    best_coverage = -1.0
    for snapshot in reversed(snapshots):
        coverage = expected_coverage(snapshot, may_hold=may_hold)
        if coverage > best_coverage:
            best, best_coverage = snapshot, coverage
        if best_coverage >= 1.0:
            break
    return best


def expected_coverage(snapshot: Snapshot, *, may_hold: MayHoldSnapshot) -> float:
    """Return the fraction of a snapshot's services that may hold it."""
    if not snapshot.services:
        return 0.0
    held = sum(may_hold(service, snapshot.name) for service in snapshot.services)
    return held / len(snapshot.services)
