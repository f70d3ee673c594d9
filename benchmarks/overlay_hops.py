"""How far a change travels among many instances, and who holds how many streams.

Run ``python -m benchmarks.overlay_hops``. Everybody's neighbours are chosen by
the code in use, and the streams between them are walked outwards from one
instance, or from all watchers of the platform at once. Nothing runs, so the
figures are counts and the same in each run; half a minute at the full size.
"""

from __future__ import annotations

import argparse
import sys
from collections import deque
from typing import TYPE_CHECKING

import msgspec

from ibisfront.core.members import Member, Members
from ibisfront.core.overlay import neighbour_names
from ibisfront.core.watch import watcher_names

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["Reach", "main", "measure"]

INSTANCES = 5_800
ZONES = 19


class Reach(msgspec.Struct, frozen=True):
    """The streams of a tier, and how far they carry a change.

    Attributes
    ----------
    streams_mean, streams_most : float
        The streams of one instance, dialled by either end.
    watchers : int
        The instances that watch the platform.
    hops_from_one, hops_from_watchers : int
        The streams in line until the last instance has heard of a change.
    reached : int
        How many instances one of them reaches.
    """

    streams_mean: float
    streams_most: int
    watchers: int
    hops_from_one: int
    hops_from_watchers: int
    reached: int


def measure(instances: int, zones: int) -> Reach:
    """Count the streams and hops of a tier."""
    members = [_member(number, zones) for number in range(instances)]
    streams = _streams(members)
    view = Members(members[0])
    for member in members[1:]:
        view.merge(member)
    watchers = {
        name
        for zone in {member.zone for member in members}
        for name in watcher_names(view, zone)
    }
    counts = [len(neighbours) for neighbours in streams.values()]
    from_one = _hops(streams, {members[0].name})
    return Reach(
        streams_mean=sum(counts) / instances,
        streams_most=max(counts),
        watchers=len(watchers),
        hops_from_one=max(from_one.values()),
        hops_from_watchers=max(_hops(streams, watchers).values()),
        reached=len(from_one),
    )


def _member(number: int, zones: int) -> Member:
    return Member(
        name=f"instance-{number:05d}",
        zone=f"zone-{number % zones:02d}",
        peer_address=f"10.{number % 250}.{number // 250}.7:7001",
        admin_address=f"10.{number % 250}.{number // 250}.7:7002",
        incarnation=1,
    )


def _streams(members: list[Member]) -> dict[str, set[str]]:
    streams: dict[str, set[str]] = {member.name: set() for member in members}
    for member in members:
        for name in neighbour_names(member, members):
            streams[member.name].add(name)
            streams[name].add(member.name)
    return streams


def _hops(streams: dict[str, set[str]], first: Iterable[str]) -> dict[str, int]:
    hops = dict.fromkeys(first, 0)
    waiting = deque(hops)
    while waiting:
        name = waiting.popleft()
        for neighbour in streams[name]:
            if neighbour not in hops:
                hops[neighbour] = hops[name] + 1
                waiting.append(neighbour)
    return hops


def main() -> None:
    """Print the counts."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.overlay_hops")
    parser.add_argument("--instances", type=int, default=INSTANCES)
    parser.add_argument("--zones", type=int, default=ZONES)
    options = parser.parse_args()
    reach = measure(options.instances, options.zones)
    for name, value in zip(
        Reach.__struct_fields__, msgspec.structs.astuple(reach), strict=True
    ):
        sys.stdout.write(f"{name:20}{value:10.1f}\n")


if __name__ == "__main__":
    main()
