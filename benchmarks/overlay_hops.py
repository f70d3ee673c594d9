"""Propagation distance of a change in a large tier, and streams per instance.

Run ``python -m benchmarks.overlay_hops``. The production code selects the
neighbours of every instance, and a breadth-first search follows the streams from
one instance, or from all watchers of the platform at once. No instance runs, so
the figures are deterministic counts. It takes half a minute at full size.
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

__all__ = ["OverlayFigures", "main", "measure"]

INSTANCES = 5_800
ZONES = 19


class OverlayFigures(msgspec.Struct, frozen=True):
    """Streams of a tier, and propagation distance over them.

    Attributes
    ----------
    streams_mean, streams_most : float
        Streams per instance, opened by either end.
    watchers : int
        Instances that watch the platform.
    hops_from_one, hops_from_watchers : int
        Hops until a change has reached the last instance.
    reached : int
        Instances reachable from one instance.
    """

    streams_mean: float
    streams_most: int
    watchers: int
    hops_from_one: int
    hops_from_watchers: int
    reached: int


def measure(instances: int, zones: int) -> OverlayFigures:
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
    return OverlayFigures(
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
    pending = deque(hops)
    while pending:
        name = pending.popleft()
        for neighbour in streams[name]:
            if neighbour not in hops:
                hops[neighbour] = hops[name] + 1
                pending.append(neighbour)
    return hops


def main() -> None:
    """Print the counts."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.overlay_hops")
    parser.add_argument("--instances", type=int, default=INSTANCES)
    parser.add_argument("--zones", type=int, default=ZONES)
    options = parser.parse_args()
    figures = measure(options.instances, options.zones)
    for name, value in zip(
        OverlayFigures.__struct_fields__, msgspec.structs.astuple(figures), strict=True
    ):
        sys.stdout.write(f"{name:20}{value:10.1f}\n")


if __name__ == "__main__":
    main()
