"""What a front process costs until it could serve: ``python -m benchmarks.start_cost``.

Callers find nobody while all instances start, so that this time is theirs. Two ways
to start are run in turn, each in a process of its own: as the deployment does, and
plainly. Processor time and the peak of memory are those of the finished process, as
the kernel counts them.
"""

from __future__ import annotations

import argparse
import os
import statistics
import subprocess
import sys
import tempfile

import msgspec

__all__ = ["StartCost", "measure"]

_MILLISECONDS = 1000.0
_KIB_PER_MIB = 1024.0
_IMPORT = "import ibisfront.front.daemon"
_LEAN = (
    "import gc; gc.disable();"
    "from ibisfront.front.lean_imports import stub_out_tls; stub_out_tls()"
)
_RUNS = 11
"""Counted runs of each way: their medians differed by less than 5% between calls."""


class StartCost(msgspec.Struct, frozen=True):
    """What one way to start cost, over all runs.

    Attributes
    ----------
    name : str
        The way.
    least_ms, median_ms, most_ms : float
        Processor time.
    peak_mib : float
        The median of the peaks of memory.
    """

    name: str
    least_ms: float
    median_ms: float
    most_ms: float
    peak_mib: float


class _Run(msgspec.Struct, frozen=True):
    """What one process cost."""

    took_ms: float
    peak_mib: float


def measure(runs: int) -> list[StartCost]:
    """Return what the ways to start cost, run in turn."""
    with tempfile.TemporaryDirectory() as folder:
        ways = {
            "as deployed": [
                *("-S", "-OO", "-X", f"pycache_prefix={folder}/deployed", "-c"),
                f"{_LEAN}; {_IMPORT}",
            ],
            "plain": ["-X", f"pycache_prefix={folder}/plain", "-c", _IMPORT],
        }
        seen: dict[str, list[_Run]] = {name: [] for name in ways}
        for _ in range(runs + 1):
            for name, options in ways.items():
                seen[name].append(_run(options))
    # The first run of each way writes the byte code.
    return [_cost(name, each[1:]) for name, each in seen.items()]


def _cost(name: str, runs: list[_Run]) -> StartCost:
    took_ms = [run.took_ms for run in runs]
    return StartCost(
        name,
        least_ms=min(took_ms),
        median_ms=statistics.median(took_ms),
        most_ms=max(took_ms),
        peak_mib=statistics.median(run.peak_mib for run in runs),
    )


def _run(options: list[str]) -> _Run:
    """Run one process to its end."""
    environment = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}
    environment.pop("PYTHONDONTWRITEBYTECODE", None)
    process = subprocess.Popen([sys.executable, *options], env=environment)
    _, status, used = os.wait4(process.pid, 0)
    process.returncode = os.waitstatus_to_exitcode(status)
    if process.returncode:
        raise RuntimeError(f"the start failed with {process.returncode}: {options}")
    took_ms = (used.ru_utime + used.ru_stime) * _MILLISECONDS
    return _Run(took_ms, used.ru_maxrss / _KIB_PER_MIB)


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=_RUNS)
    for cost in measure(parser.parse_args().runs):
        print(
            f"{cost.name:12} {cost.median_ms:6.0f} ms"
            f" ({cost.least_ms:.0f} to {cost.most_ms:.0f}), {cost.peak_mib:.1f} MiB"
        )


if __name__ == "__main__":
    main()
