"""Load patterns: queries of callers, deployment, faults and bursts."""

from __future__ import annotations

import tomllib
from enum import StrEnum
from pathlib import Path
from typing import Annotated

import msgspec

__all__ = ["Fault", "FaultKind", "Pattern", "PatternError", "QueryKind", "read_pattern"]

Proportion = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Positive = Annotated[float, msgspec.Meta(gt=0.0)]
NonNegative = Annotated[float, msgspec.Meta(ge=0.0)]
Count = Annotated[int, msgspec.Meta(ge=1, le=10_000)]


class PatternError(ValueError):
    """Raised for an invalid pattern file, or for runs that cannot be compared."""


class FaultKind(StrEnum):
    """Kind of a server fault."""

    SLOW = "slow"
    """The servers take ``factor`` times as long."""

    SILENT = "silent"
    """The servers accept requests and never reply."""

    DOWN = "down"
    """The servers refuse connections; their pending requests are lost."""


class QueryKind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One kind of query.

    Attributes
    ----------
    name : str
        Name of the kind, unique in the pattern.
    per_s : float
        Arrival rate from independent callers, per second.
    work_ms : float
        Median service time of one shard's sub-request.
    objective_ms, deadline_ms : float
        Latency up to which a reply has full worth, and after which it has none.
    minimum_coverage : float
        Smallest fraction of the shards that a reply must cover.
    spread : float
        Standard deviation of the logarithm of the service time.
    tail, tail_factor : float
        Fraction of sub-requests that take longer, and their slowdown.
    rank : int
        Priority; 0 is the highest.
    worth, late_worth : float
        Worth of a reply within the objective, and the fraction of it for a late reply.
    retries : int
        Number of times a caller retries a failed query.
    patience_ms : float
        Time after which impatient callers abandon the query; 0 for never.
    impatient : float
        Fraction of callers that are impatient.
    """

    name: str
    per_s: Positive
    work_ms: Positive
    objective_ms: Positive
    deadline_ms: Positive
    minimum_coverage: Proportion = 0.95
    spread: NonNegative = 0.35
    tail: Proportion = 0.01
    tail_factor: Positive = 5.0
    rank: Annotated[int, msgspec.Meta(ge=0)] = 1
    worth: Positive = 1.0
    late_worth: Proportion = 0.1
    retries: Annotated[int, msgspec.Meta(ge=0, le=10)] = 1
    patience_ms: NonNegative = 0.0
    impatient: Proportion = 0.0


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Temporary fault of some servers.

    Attributes
    ----------
    kind : FaultKind
        Kind of the fault.
    from_s, for_s : float
        Start, from the start of the load, and duration.
    shards : float
        Fraction of the shards that are affected.
    copies : int
        Number of affected servers in each of these shards.
    servers : float
        Fraction of all servers that are affected, regardless of shard; replaces
        ``shards`` and ``copies``.
    factor : float
        Slowdown of a ``SLOW`` fault.
    """

    kind: FaultKind
    from_s: NonNegative
    for_s: Positive
    shards: Proportion = 0.0
    copies: Count = 1
    servers: Proportion = 0.0
    factor: Positive = 4.0


class Burst(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Temporary increase of the arrival rate by ``factor``."""

    from_s: NonNegative
    for_s: Positive
    factor: Positive


class Pattern(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A load pattern.

    Attributes
    ----------
    title : str
        Short description.
    queries : list of QueryKind
        Queries that callers send.
    duration_s : float
        Period during which callers arrive.
    shards, servers_per_shard, gatherers, zones : int
        Size of the deployment; ``gatherers`` is the number of coordinators.
    slots, queue, connections : int
        Limits of a server on running requests, queued requests and connections.
    connect_ms, way_near_ms, way_far_ms : float
        Time that a server takes to accept a connection, and one-way network delay
        within a zone and between zones.
    pause_ms, pause_every_s : float
        Duration (0 for none) and period of the pauses of a server.
    noise_share, noise_factor, noise_every_ms : float
        Fraction of the time in which other processes slow a server down, the
        slowdown, and the length of each interval.
    speeds : list of float
        Speeds of the servers of a shard relative to the median, repeated as needed;
        empty if all are equal.
    tells_load : bool
        Whether replies report the load of their server.
    swing, period_s : float
        Relative amplitude and period of the sinusoidal load.
    swings_by_zone : bool
        Whether each zone has another phase, so that the zones peak in turn.
    extra_ratio, extra_allowance : float
        Extra sub-requests that a service may get per request, and in each window in
        addition.
    faults : list of Fault
        Server faults.
    bursts : list of Burst
        Temporary increases of the arrival rate.
    """

    title: str
    queries: Annotated[list[QueryKind], msgspec.Meta(min_length=1)]
    duration_s: Positive = 20.0
    shards: Count = 129
    servers_per_shard: Count = 2
    gatherers: Count = 10
    zones: Count = 5
    slots: Count = 2
    queue: Count = 12
    connections: Count = 120
    connect_ms: NonNegative = 6.0
    way_near_ms: NonNegative = 0.2
    way_far_ms: NonNegative = 1.4
    pause_ms: NonNegative = 0.0
    pause_every_s: Positive = 6.0
    noise_share: Proportion = 0.0
    noise_factor: Positive = 1.0
    noise_every_ms: Positive = 500.0
    speeds: list[Positive] = []
    tells_load: bool = False
    swing: Proportion = 0.0
    period_s: Positive = 11.0
    swings_by_zone: bool = False
    extra_ratio: NonNegative = 0.2
    extra_allowance: NonNegative = 430.0
    faults: list[Fault] = []
    bursts: list[Burst] = []


def read_pattern(path: Path | str) -> Pattern:
    """Read and validate a pattern file.

    Raises
    ------
    PatternError
        If the file cannot be read or is invalid; lists every inconsistency.
    """
    try:
        text = Path(path).read_text()
        pattern = msgspec.convert(tomllib.loads(text), Pattern)
    except OSError as error:
        raise PatternError(f"{path}: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise PatternError(f"{path}: {error}") from error
    errors = list(_validation_errors(pattern))
    if errors:
        raise PatternError(f"{path}: " + "; ".join(errors))
    return pattern


def _validation_errors(pattern: Pattern) -> list[str]:
    """Return every inconsistency of a pattern, each with its remedy."""
    errors = []
    names = [item.name for item in pattern.queries]
    errors += [
        f"two kinds of queries are named {name}: rename one"
        for name in sorted({name for name in names if names.count(name) > 1})
    ]
    errors += [
        f"{item.name}: the objective of {item.objective_ms:g} ms exceeds the deadline"
        f" of {item.deadline_ms:g}: lower it"
        for item in pattern.queries
        if item.objective_ms > item.deadline_ms
    ]
    errors += [
        f"a fault affects {item.copies} servers of a shard, which has"
        f" {pattern.servers_per_shard}: lower copies"
        for item in pattern.faults
        if item.copies > pattern.servers_per_shard
    ]
    errors += [
        f"the fault at {item.from_s:g} s sets both shards and servers: keep one"
        for item in pattern.faults
        if item.shards and item.servers
    ]
    if pattern.swings_by_zone and pattern.gatherers < pattern.zones:
        errors.append(
            f"swings_by_zone needs a gatherer in each of {pattern.zones} zones:"
            " raise gatherers"
        )
    return errors
