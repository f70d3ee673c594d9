"""The settings of the query path: budgets, bounds and the policy's name."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

__all__ = ["BackendSettings", "QuerySettings"]


class BackendSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How backend servers are reached."""

    connections_per_server: Annotated[
        int,
        Meta(
            ge=1,
            le=1_000,
            description="Connections that one server accepts; the live instances"
            " share them.",
        ),
    ] = 25
    connect_timeout_ms: Annotated[
        float,
        Meta(ge=1, le=60_000, description="How long opening a connection may take."),
    ] = 1_000.0
    silent_timeout_ms: Annotated[
        int,
        Meta(
            ge=100,
            le=600_000,
            description="After how long without acknowledgement the system gives up"
            " a connection (`TCP_USER_TIMEOUT`).",
        ),
    ] = 5_000


class QuerySettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """The policy of searches."""

    policy: Annotated[
        Literal["adaptive", "baseline"],
        Meta(
            description="`adaptive`, or `baseline`: round-robin, plain retries and no"
            " hedging, to measure against."
        ),
    ] = "adaptive"
    hedge_fraction: Annotated[
        float,
        Meta(
            ge=0,
            le=1,
            description="Hedged requests for each first one to a service.",
        ),
    ] = 0.03
    hedge_after_fraction: Annotated[
        float,
        Meta(
            ge=0.5,
            le=1,
            description="A sub-request is hedged once it is slower than this share"
            " of the service's.",
        ),
    ] = 0.98
    retry_fraction: Annotated[
        float,
        Meta(
            ge=0,
            le=1,
            description="Extra sub-requests of every cause, hedged ones too,"
            " for each first one to a service.",
        ),
    ] = 0.1
    way_back_ms: Annotated[
        float,
        Meta(
            ge=0,
            le=1_000,
            description="What is kept of a deadline for merging the answer and"
            " its way back.",
        ),
    ] = 5.0
    straggler_quorum_fraction: Annotated[
        float,
        Meta(
            ge=0,
            le=1,
            description="The share of services that must have answered before a"
            " search that prefers latency may return without the"
            " rest.",
        ),
    ] = 0.9
    straggler_floor_ms: Annotated[
        float,
        Meta(
            ge=0,
            le=600_000,
            description="Such a search waits at least this long.",
        ),
    ] = 150.0
    cross_zone_ms: Annotated[
        float,
        Meta(
            ge=0,
            le=1_000,
            description="What the way to another zone and back costs.",
        ),
    ] = 3.0
    slots_per_server: Annotated[
        int,
        Meta(
            ge=1,
            le=1_000,
            description="How many requests a backend server runs at once.",
        ),
    ] = 2
    ejection_base_ms: Annotated[
        float,
        Meta(
            ge=1,
            le=600_000,
            description="After how long a server that was left out is probed first.",
        ),
    ] = 500.0
    ejection_longest_ms: Annotated[
        float,
        Meta(
            ge=1,
            le=600_000,
            description="After how long it is probed at the latest; the time"
            " doubles up to this.",
        ),
    ] = 10_000.0
    slow_start_ms: Annotated[
        float,
        Meta(
            ge=0,
            le=600_000,
            description="How long a server that comes back gets less than its part.",
        ),
    ] = 3_000.0
    silence_bound_ms: Annotated[
        float,
        Meta(
            ge=1,
            le=600_000,
            description="A search without a byte for this long has its server probed.",
        ),
    ] = 300.0
    probe_timeout_ms: Annotated[
        float,
        Meta(
            ge=1,
            le=600_000,
            description="How long a probe may take.",
        ),
    ] = 500.0
    idle_ms: Annotated[
        float,
        Meta(
            ge=1,
            le=3_600_000,
            description="After how long an idle connection is closed.",
        ),
    ] = 10_000.0
    warm_connections_per_server: Annotated[
        int,
        Meta(
            ge=0,
            le=1_000,
            description="How many idle connections to each server stay open.",
        ),
    ] = 2
    quarantine_base_ms: Annotated[
        float,
        Meta(
            ge=0,
            le=600_000,
            description="How long a request that crashes servers is refused at"
            " first; four times as long each time after.",
        ),
    ] = 5_000.0
    quarantine_longest_ms: Annotated[
        float,
        Meta(
            ge=0,
            le=86_400_000,
            description="How long it is refused at most.",
        ),
    ] = 600_000.0
