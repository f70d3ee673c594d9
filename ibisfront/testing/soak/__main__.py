"""Run the soak test: ``python -m ibisfront.testing.soak --seeds 1-50``."""

from __future__ import annotations

import argparse
import signal
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING

import trio

from ibisfront.testing.soak.world import SoakWorld

if TYPE_CHECKING:
    from ibisfront.testing.soak.report import SoakReport

_MAXIMUM_PRINTED_FAILURES = 5
_INTERRUPTED_EXIT_CODE = 130


def main() -> int:
    """Run the seeds in order; return 1 if any check failed."""
    options = _options()
    folder = Path(options.logs or tempfile.mkdtemp(prefix="ibisfront-soak-"))
    until_s = time.monotonic() + options.minutes * 60.0
    failed = 0
    first, _, last = options.seeds.partition("-")
    for seed in range(int(first), int(last or first) + 1):
        if options.minutes and time.monotonic() > until_s:
            break
        failed += not _run_seed(seed, folder / str(seed), options)
    return 1 if failed else 0


def _options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1", help="a seed, or a range A-B")
    parser.add_argument(
        "--minutes", type=float, default=0.0, help="start no seed after this time"
    )
    parser.add_argument("--fronts", type=int, default=4)
    parser.add_argument("--callers", type=int, default=8)
    parser.add_argument("--length-s", type=float, default=15.0)
    parser.add_argument(
        "--workspaces", action="store_true", help="callers need keys of workspaces"
    )
    parser.add_argument("--logs", help="directory for logs and settings")
    return parser.parse_args()


def _run_seed(seed: int, folder: Path, options: argparse.Namespace) -> bool:
    folder.mkdir(parents=True, exist_ok=True)
    world = SoakWorld(
        seed,
        folder,
        fronts=options.fronts,
        callers=options.callers,
        length_s=options.length_s,
        has_workspaces=options.workspaces,
    )
    report = trio.run(_run, world)
    if report is None:
        sys.stdout.write(f"seed {seed}: interrupted\n")
        raise SystemExit(_INTERRUPTED_EXIT_CODE)
    _print_report(report, folder, options)
    return not report.failures


async def _run(world: SoakWorld) -> SoakReport | None:
    """Return the report; None if a signal arrived. No process is left behind."""
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


def _print_report(
    report: SoakReport, folder: Path, options: argparse.Namespace
) -> None:
    kinds = ", ".join(f"{kind} {count}" for kind, count in report.faults.items())
    sys.stdout.write(
        f"seed {report.seed}: {report.requests} requests, {report.served} served,"
        f" {len(report.failures)} failures, fullest budget window"
        f" {report.fullest_window:.2f}, longest stall of the soak itself"
        f" {report.longest_stall_ms:.0f} ms; faults: {kinds}\n"
    )
    if options.workspaces:
        statuses = ", ".join(
            f"{status} {count}"
            for status, count in sorted(report.workspace_statuses.items())
        )
        sys.stdout.write(
            f"  workspaces: fullest window of a limit"
            f" {report.fullest_quota_window:.2f}; statuses: {statuses}\n"
        )
    for failure in report.failures[:_MAXIMUM_PRINTED_FAILURES]:
        sys.stdout.write(f"  {failure.check}: {failure.request_id} {failure.detail}\n")
    if report.failures:
        checks = Counter(failure.check for failure in report.failures)
        counts = ", ".join(f"{check} {count}" for check, count in checks.items())
        sys.stdout.write(f"  failures: {counts}\n")
        arguments = f"--seeds {report.seed} --fronts {options.fronts}"
        arguments += f" --callers {options.callers} --length-s {options.length_s}"
        if options.workspaces:
            arguments += " --workspaces"
        sys.stdout.write(
            f"  reproduce with: python -m ibisfront.testing.soak {arguments}\n"
        )
        sys.stdout.write(f"  logs: {folder}\n")
    sys.stdout.flush()


if __name__ == "__main__":
    sys.exit(main())
