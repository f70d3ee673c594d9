"""What a front process costs until it could serve: ``python -m benchmarks.start_cost``.

Callers find nobody while all instances start, so that this time is theirs. Two ways
to start are run in turn, each in a process of its own: as the deployment does, and
plainly. Processor time is that of the finished process, as the kernel counts it.
"""

from __future__ import annotations

import argparse
import os
import resource
import statistics
import subprocess
import sys
import tempfile

import msgspec

__all__ = ["StartCost", "measure"]

_MILLISECONDS = 1000.0
_IMPORT = "import ibisfront.front.daemon"
_RUNS = 11
"""Counted runs of each way: their medians differed by less than 5% between calls."""


class StartCost(msgspec.Struct, frozen=True):
    """Processor time of one way to start, over all runs, in milliseconds."""

    name: str
    least_ms: float
    median_ms: float
    most_ms: float


def measure(runs: int) -> list[StartCost]:
    """Return what the ways to start cost, run in turn."""
    with tempfile.TemporaryDirectory() as folder:
        ways = {
            "as deployed": [
                *("-S", "-OO", "-X", f"pycache_prefix={folder}/deployed", "-c"),
                f"import gc; gc.disable(); {_IMPORT}",
            ],
            "plain": ["-X", f"pycache_prefix={folder}/plain", "-c", _IMPORT],
        }
        took_ms: dict[str, list[float]] = {name: [] for name in ways}
        for _ in range(runs + 1):
            for name, options in ways.items():
                took_ms[name].append(_run_ms(options))
    # The first run of each way writes the byte code.
    return [
        StartCost(name, min(each[1:]), statistics.median(each[1:]), max(each[1:]))
        for name, each in took_ms.items()
    ]


def _run_ms(options: list[str]) -> float:
    """Run one process; return its processor time in milliseconds."""
    environment = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}
    environment.pop("PYTHONDONTWRITEBYTECODE", None)
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    subprocess.run([sys.executable, *options], check=True, env=environment)
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    user_s = after.ru_utime - before.ru_utime
    return (user_s + after.ru_stime - before.ru_stime) * _MILLISECONDS


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=_RUNS)
    for cost in measure(parser.parse_args().runs):
        print(
            f"{cost.name:12} {cost.median_ms:6.0f} ms"
            f" ({cost.least_ms:.0f} to {cost.most_ms:.0f})"
        )


if __name__ == "__main__":
    main()
