"""Part of the demo that runs front daemons against a fake object store."""

from __future__ import annotations

import tempfile
from pathlib import Path
from typing import TYPE_CHECKING

from ibisfront.testing.soak.faults import Fault, FaultKind
from ibisfront.testing.soak.world import SoakWorld

if TYPE_CHECKING:
    from ibisfront.testing.demo import Report

__all__ = ["show_front_daemon"]

_FRONTS = 2
_LENGTH_S = 2.0
_SETTLE_S = 0.5
_REPARTITION = Fault(1.0, 0.0, FaultKind.REPARTITION, 0, 0)


async def show_front_daemon(report: Report) -> None:
    """Serve searches, fetches and orders while the index is repartitioned."""
    report.print_heading("The front daemon under a stand-in of the users' platform")
    with tempfile.TemporaryDirectory() as folder:
        world = SoakWorld(
            0,
            Path(folder),
            fronts=_FRONTS,
            callers=_FRONTS,
            length_s=_LENGTH_S,
            faults=[_REPARTITION],
            settle_s=_SETTLE_S,
        )
        seen = await world.run()
    report.print_line(
        f"{_FRONTS} front processes; the index is repartitioned under load"
    )
    # The number served depends on the machine: all fakes run in this process
    # and stop responding together when it is not scheduled.
    report.print_line(
        f"{seen.requests} searches, fetches and orders, {seen.served} served"
    )
    failures = [f"{item.check}: {item.detail}" for item in seen.failures]
    report.check(
        not failures,
        f"answers not true, orders run twice, fronts that do not serve again:"
        f" {failures or 'none'}",
    )
