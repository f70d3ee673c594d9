"""Processor time and memory of whole daemons without requests.

Run ``python -m benchmarks.daemons_at_rest``. Each instance is a separate
process. In a tier of up to 16, each has a stream to every other one, so that
the difference between two sizes is the cost of the streams. The processor time
is that reported by the system, which is imprecise on a busy machine.
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

__all__ = ["IdleCost", "main", "measure", "stream_percent"]

COUNTS = (3, 9, 16)
SETTLE_S = 5.0
IDLE_S = 10.0
PERCENT = 100.0


class IdleCost(msgspec.Struct, frozen=True):
    """Cost of one idle daemon in a tier of a given size.

    Attributes
    ----------
    instances, streams : int
        Size of the tier, and streams per instance.
    cpu_percent : float
        Processor time, user and system, of one core; mean over the instances.
    resident_bytes, private_bytes : float
        Mean resident memory, and mean memory shared with no other process.
    """

    instances: int
    streams: int
    cpu_percent: float
    resident_bytes: float
    private_bytes: float


async def measure(instances: int, *, idle_s: float = IDLE_S) -> IdleCost:
    """Measure the daemons of one deployment."""
    async with Deployment(register_shape(1, instances=instances)) as deployment:
        processes = [
            psutil.Process(instance.process.pid) for instance in deployment.instances
        ]
        await trio.sleep(SETTLE_S)
        before_s = sum(map(_cpu_s, processes))
        await trio.sleep(idle_s)
        spent_s = sum(map(_cpu_s, processes)) - before_s
        memory = [process.memory_full_info() for process in processes]
    return IdleCost(
        instances=instances,
        streams=instances - 1,
        cpu_percent=PERCENT * spent_s / idle_s / instances,
        resident_bytes=sum(item.rss for item in memory) / instances,
        private_bytes=sum(item.uss for item in memory) / instances,
    )


def _cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)


def stream_percent(first: IdleCost, last: IdleCost) -> float:
    """Return the processor time per stream, from two sizes, in percent of a core."""
    added_streams = last.streams - first.streams
    return (last.cpu_percent - first.cpu_percent) / added_streams


async def _measure_all(counts: Sequence[int]) -> list[IdleCost]:
    return [await measure(count) for count in counts]


def main() -> None:
    """Print the cost of a daemon at each size."""
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
