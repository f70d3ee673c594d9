"""Recorded figures of an earlier version, reported next to those of a run."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import msgspec
from msgspec.structs import replace

from benchmarks.runner import OURS, Run

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["RECORDED", "RECORDED_PATH", "read_recorded", "record", "recorded_of"]

RECORDED = "recorded"
RECORDED_PATH = Path(__file__).with_name("recorded.json")


def read_recorded(path: Path = RECORDED_PATH) -> list[Run]:
    """Return the recorded runs; none if nothing was recorded."""
    if not path.exists():
        return []
    return msgspec.json.decode(path.read_bytes(), type=list[Run])


def recorded_of(runs: Sequence[Run], recorded: Sequence[Run]) -> list[Run]:
    """Return the recorded runs of the scenarios that were run."""
    chosen = {(run.user, run.scenario) for run in runs}
    return [run for run in recorded if (run.user, run.scenario) in chosen]


def record(runs: Sequence[Run], path: Path = RECORDED_PATH) -> None:
    """Save the figures of our policy, without the data for the charts."""
    kept = [
        replace(run, policy=RECORDED, figures=replace(run.figures, buckets=()))
        for run in runs
        if run.policy == OURS
    ]
    encoded = msgspec.json.format(msgspec.json.encode(kept), indent=1)
    path.write_bytes(encoded + b"\n")
