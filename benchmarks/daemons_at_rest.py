"""Processor time and memory of whole daemons that get no request.

Run ``python -m benchmarks.daemons_at_rest``. Each instance is a process of its
own; up to 16 instances each holds a stream to every other one, so that the
difference between two sizes is the cost of the streams. The processor time is
what the system counts for the processes; on a busy machine it is rough.
"""

from __future__ import annotations

import argparse
import sys
from functools import partial
from typing import TYPE_CHECKING

import msgspec
import psutil
import trio

from ibisfront.testing.deployment import Deployment, register_shape

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["AtRest", "main", "measure", "stream_percent"]

COUNTS = (3, 9, 16)
SETTLE_S = 5.0
REST_S = 10.0
PERCENT = 100.0


class AtRest(msgspec.Struct, frozen=True):
    """What one daemon costs in a tier of some instances.

    Attributes
    ----------
    instances, streams : int
        How many there are, and the streams that each holds.
    cpu_percent : float
        Processor time, user and system, of one core; the mean of all.
    resident_bytes, private_bytes : float
        The mean memory: as resident, and what no other process shares.
    """

    instances: int
    streams: int
    cpu_percent: float
    resident_bytes: float
    private_bytes: float


async def measure(instances: int, *, rest_s: float = REST_S) -> AtRest:
    """Measure daemons of one deployment."""
    async with Deployment(register_shape(1, instances=instances)) as deployment:
        processes = [
            psutil.Process(instance.process.pid) for instance in deployment.instances
        ]
        await trio.sleep(SETTLE_S)
        before_s = sum(map(_cpu_s, processes))
        await trio.sleep(rest_s)
        spent_s = sum(map(_cpu_s, processes)) - before_s
        memory = [process.memory_full_info() for process in processes]
    return AtRest(
        instances=instances,
        streams=instances - 1,
        cpu_percent=PERCENT * spent_s / rest_s / instances,
        resident_bytes=sum(item.rss for item in memory) / instances,
        private_bytes=sum(item.uss for item in memory) / instances,
    )


def _cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)


def stream_percent(first: AtRest, last: AtRest) -> float:
    """Return what one more stream costs, from two sizes."""
    more = last.streams - first.streams
    return (last.cpu_percent - first.cpu_percent) / more


async def _measure_all(counts: Sequence[int]) -> list[AtRest]:
    return [await measure(count) for count in counts]


def main() -> None:
    """Print what a daemon costs at each size."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.daemons_at_rest")
    parser.add_argument("--instances", type=int, nargs="+", default=list(COUNTS))
    figures = trio.run(partial(_measure_all, parser.parse_args().instances))
    write = sys.stdout.write
    write("instances  streams  cpu % of a core  resident MiB  private MiB\n")
    for item in figures:
        write(
            f"{item.instances:9}  {item.streams:7}  {item.cpu_percent:15.2f}  "
            f"{item.resident_bytes / 1024**2:12.1f}  "
            f"{item.private_bytes / 1024**2:11.1f}\n"
        )
    if len(figures) > 1:
        write(f"one stream: {stream_percent(figures[0], figures[-1]):.3f}%\n")


if __name__ == "__main__":
    main()
