"""Load patterns: what callers ask, what servers there are and what befalls them."""

from __future__ import annotations

import tomllib
from enum import StrEnum
from pathlib import Path
from typing import Annotated

import msgspec

__all__ = ["Fault", "FaultKind", "Pattern", "PatternError", "Queries", "read_pattern"]

Share = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Positive = Annotated[float, msgspec.Meta(gt=0.0)]
NotNegative = Annotated[float, msgspec.Meta(ge=0.0)]
Count = Annotated[int, msgspec.Meta(ge=1, le=10_000)]


class PatternError(ValueError):
    """A pattern file that cannot be used; the text says where and why."""


class FaultKind(StrEnum):
    """What befalls servers."""

    SLOW = "slow"
    """They work slower by ``factor``."""

    SILENT = "silent"
    """They take requests and reply nothing."""

    DOWN = "down"
    """They refuse connections; what they had is lost."""


class Queries(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One kind of query.

    Attributes
    ----------
    name : str
        Its name.
    per_s : float
        How many come in a second, from independent callers.
    work_ms : float
        Median work of one part at a server.
    objective_ms, deadline_ms : float
        Until when an answer has its full worth, and until when it has any.
    minimum_coverage : float
        The least share of the shards in an answer.
    spread : float
        Standard deviation of the logarithm of the work.
    tail, tail_factor : float
        The share of parts that are longer, and by how much.
    rank : int
        0 goes first.
    worth, late_worth : float
        What an answer in time is worth, and the share of it that a late one is.
    retries : int
        How often a caller comes again after a failure.
    patience_ms : float
        After how long impatient callers leave; 0 for never.
    impatient : float
        The share of callers that do.
    """

    name: str
    per_s: Positive
    work_ms: Positive
    objective_ms: Positive
    deadline_ms: Positive
    minimum_coverage: Share = 0.95
    spread: NotNegative = 0.35
    tail: Share = 0.01
    tail_factor: Positive = 5.0
    rank: Annotated[int, msgspec.Meta(ge=0)] = 1
    worth: Positive = 1.0
    late_worth: Share = 0.1
    retries: Annotated[int, msgspec.Meta(ge=0, le=10)] = 1
    patience_ms: NotNegative = 0.0
    impatient: Share = 0.0


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What befalls some servers for a while.

    Attributes
    ----------
    kind : FaultKind
        What.
    from_s, for_s : float
        When, from the start of the load.
    shards : float
        The share of the shards that are hit.
    copies : int
        How many servers of each of these.
    servers : float
        The share of all servers that are hit, whatever their shard; in place of the
        two above.
    factor : float
        How much slower.
    """

    kind: FaultKind
    from_s: NotNegative
    for_s: Positive
    shards: Share = 0.0
    copies: Count = 1
    servers: Share = 0.0
    factor: Positive = 4.0


class Burst(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """More callers for a while: ``factor`` times as many."""

    from_s: NotNegative
    for_s: Positive
    factor: Positive


class Pattern(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A load pattern.

    Attributes
    ----------
    title : str
        What it is about.
    queries : list of Queries
        What callers ask.
    duration_s : float
        How long callers come.
    shards, servers_per_shard, gatherers, zones : int
        The deployment.
    slots, queue, connections : int
        What a server runs at once, keeps waiting, and accepts.
    connect_ms, way_near_ms, way_far_ms : float
        What a connection costs a server, and a way within and between zones takes.
    pause_ms, pause_every_s : float
        How long a server pauses, and how often; 0 for never.
    noise_share, noise_factor, noise_every_ms : float
        The share of the time in which others on a server's machine make its work
        longer, by how much, and for how long at a time.
    tells_load : bool
        Whether replies say how busy their server is.
    swing, period_s : float
        How much the load rises and falls, as a share, and in what time.
    extra_ratio, extra_allowance : float
        The budget of extra sub-requests of a service.
    faults : list of Fault
        What befalls servers.
    bursts : list of Burst
        When more callers come.
    """

    title: str
    queries: Annotated[list[Queries], msgspec.Meta(min_length=1)]
    duration_s: Positive = 20.0
    shards: Count = 129
    servers_per_shard: Count = 2
    gatherers: Count = 10
    zones: Count = 5
    slots: Count = 2
    queue: Count = 12
    connections: Count = 120
    connect_ms: NotNegative = 6.0
    way_near_ms: NotNegative = 0.2
    way_far_ms: NotNegative = 1.4
    pause_ms: NotNegative = 0.0
    pause_every_s: Positive = 6.0
    noise_share: Share = 0.0
    noise_factor: Positive = 1.0
    noise_every_ms: Positive = 500.0
    tells_load: bool = False
    swing: Share = 0.0
    period_s: Positive = 11.0
    extra_ratio: NotNegative = 0.2
    extra_allowance: NotNegative = 430.0
    faults: list[Fault] = []
    bursts: list[Burst] = []


def read_pattern(path: Path | str) -> Pattern:
    """Return a pattern, checked whole.

    Raises
    ------
    PatternError
        If the file cannot be read, or something in it cannot be used.
    """
    try:
        text = Path(path).read_text()
        pattern = msgspec.convert(tomllib.loads(text), Pattern)
    except OSError as error:
        raise PatternError(f"{path}: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise PatternError(f"{path}: {error}") from error
    faults = list(_faults_of(pattern))
    if faults:
        raise PatternError(f"{path}: " + "; ".join(faults))
    return pattern


def _faults_of(pattern: Pattern) -> list[str]:
    """Return all that does not go together, each with its cure."""
    found = []
    names = [item.name for item in pattern.queries]
    found += [
        f"two kinds of queries are called {name}: rename one"
        for name in sorted({name for name in names if names.count(name) > 1})
    ]
    found += [
        f"{item.name}: the objective of {item.objective_ms:g} ms is past the deadline"
        f" of {item.deadline_ms:g}: lower it"
        for item in pattern.queries
        if item.objective_ms > item.deadline_ms
    ]
    found += [
        f"a fault hits {item.copies} servers of a shard, which has"
        f" {pattern.servers_per_shard}: lower copies"
        for item in pattern.faults
        if item.copies > pattern.servers_per_shard
    ]
    found += [
        f"the fault at {item.from_s:g} s hits both shards and servers: keep one"
        for item in pattern.faults
        if item.shards and item.servers
    ]
    return found
