"""Run the soak: ``python -m ibisfront.testing.soak --seeds 1-50``."""

from __future__ import annotations

import argparse
import signal
import sys
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING

import trio

from ibisfront.testing.soak.world import SoakWorld

if TYPE_CHECKING:
    from ibisfront.testing.soak.report import SoakReport

_SHOWN_FAILURES = 5
_INTERRUPTED = 130


def main() -> int:
    """Play seeds one after another; return 1 if any broke a promise."""
    options = _options()
    folder = Path(options.logs or tempfile.mkdtemp(prefix="ibisfront-soak-"))
    until_s = time.monotonic() + options.minutes * 60.0
    broken = 0
    first, _, last = options.seeds.partition("-")
    for seed in range(int(first), int(last or first) + 1):
        if options.minutes and time.monotonic() > until_s:
            break
        broken += not _played(seed, folder / str(seed), options)
    return 1 if broken else 0


def _options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1", help="a seed, or a range A-B")
    parser.add_argument("--minutes", type=float, default=0.0, help="stop after so long")
    parser.add_argument("--fronts", type=int, default=4)
    parser.add_argument("--callers", type=int, default=8)
    parser.add_argument("--length-s", type=float, default=15.0)
    parser.add_argument("--logs", help="where logs and settings stay")
    return parser.parse_args()


def _played(seed: int, folder: Path, options: argparse.Namespace) -> bool:
    folder.mkdir(parents=True, exist_ok=True)
    world = SoakWorld(
        seed,
        folder,
        fronts=options.fronts,
        callers=options.callers,
        length_s=options.length_s,
    )
    report = trio.run(_run, world)
    if report is None:
        sys.stdout.write(f"seed {seed}: interrupted\n")
        raise SystemExit(_INTERRUPTED)
    _print(report, folder, options)
    return not report.failures


async def _run(world: SoakWorld) -> SoakReport | None:
    """Return the report; None if a signal came, with no process left behind."""
    report: SoakReport | None = None

    async def stop_at_signal(
        *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        with trio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
            task_status.started()
            async for _ in signals:
                nursery.cancel_scope.cancel()

    async with trio.open_nursery() as nursery:
        await nursery.start(stop_at_signal)
        report = await world.run()
        nursery.cancel_scope.cancel()
    return report


def _print(report: SoakReport, folder: Path, options: argparse.Namespace) -> None:
    kinds = ", ".join(f"{kind} {count}" for kind, count in report.faults.items())
    sys.stdout.write(
        f"seed {report.seed}: {report.requests} requests, {report.served} served,"
        f" {len(report.failures)} failures; faults: {kinds}\n"
    )
    for failure in report.failures[:_SHOWN_FAILURES]:
        sys.stdout.write(f"  {failure.check}: {failure.request_id} {failure.detail}\n")
    if report.failures:
        again = f"--seeds {report.seed} --fronts {options.fronts}"
        again += f" --callers {options.callers} --length-s {options.length_s}"
        sys.stdout.write(f"  again: python -m ibisfront.testing.soak {again}\n")
        sys.stdout.write(f"  logs: {folder}\n")
    sys.stdout.flush()


if __name__ == "__main__":
    sys.exit(main())
