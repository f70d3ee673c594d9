"""Startup cost of a front process: ``python -m benchmarks.start_cost``.

The tier is unavailable to callers while all instances start. Two variants run
alternately, each in a separate process: with the options of the deployment, and
without. Processor time and peak memory are those of the finished process as reported
by the kernel.
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
_LEAN_IMPORTS = (
    "import gc; gc.disable();"
    "from ibisfront.front.lean_imports import stub_out_tls; stub_out_tls()"
)
_RUNS = 11
"""Runs per variant; with 11, medians vary by less than 5% between invocations."""


class StartCost(msgspec.Struct, frozen=True):
    """Cost of one variant over all runs.

    Attributes
    ----------
    name : str
        Name of the variant.
    min_ms, median_ms, max_ms : float
        Processor time.
    peak_mib : float
        Median of the peak memory.
    """

    name: str
    min_ms: float
    median_ms: float
    max_ms: float
    peak_mib: float


class _Run(msgspec.Struct, frozen=True):
    """Cost of one process."""

    cpu_ms: float
    peak_mib: float


def measure(runs: int) -> list[StartCost]:
    """Return the cost of the variants, run alternately."""
    with tempfile.TemporaryDirectory() as folder:
        variants = {
            "as deployed": [
                *("-S", "-OO", "-X", f"pycache_prefix={folder}/deployed", "-c"),
                f"{_LEAN_IMPORTS}; {_IMPORT}",
            ],
            "plain": ["-X", f"pycache_prefix={folder}/plain", "-c", _IMPORT],
        }
        results: dict[str, list[_Run]] = {name: [] for name in variants}
        for _ in range(runs + 1):
            for name, options in variants.items():
                results[name].append(_run(options))
    # The first run of each variant writes the bytecode cache.
    return [_cost(name, variant_runs[1:]) for name, variant_runs in results.items()]


def _cost(name: str, runs: list[_Run]) -> StartCost:
    cpu_ms = [run.cpu_ms for run in runs]
    return StartCost(
        name,
        min_ms=min(cpu_ms),
        median_ms=statistics.median(cpu_ms),
        max_ms=max(cpu_ms),
        peak_mib=statistics.median(run.peak_mib for run in runs),
    )


def _run(options: list[str]) -> _Run:
    """Run one process until it exits."""
    environment = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}
    environment.pop("PYTHONDONTWRITEBYTECODE", None)
    process = subprocess.Popen([sys.executable, *options], env=environment)
    _, status, usage = os.wait4(process.pid, 0)
    process.returncode = os.waitstatus_to_exitcode(status)
    if process.returncode:
        raise RuntimeError(
            f"startup failed with exit code {process.returncode}: {options}"
        )
    cpu_ms = (usage.ru_utime + usage.ru_stime) * _MILLISECONDS
    return _Run(cpu_ms, usage.ru_maxrss / _KIB_PER_MIB)


def main() -> None:
    """Measure and print the costs."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=_RUNS)
    for cost in measure(parser.parse_args().runs):
        print(
            f"{cost.name:12} {cost.median_ms:6.0f} ms"
            f" ({cost.min_ms:.0f} to {cost.max_ms:.0f}), {cost.peak_mib:.1f} MiB"
        )


if __name__ == "__main__":
    main()
