"""Settings of the query path: policy, budgets and timeouts."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

__all__ = ["BackendSettings", "QuerySettings"]


class BackendSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Connections to backend servers."""

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
        Meta(ge=1, le=60_000, description="Timeout for opening a connection."),
    ] = 1_000.0
    silent_timeout_ms: Annotated[
        int,
        Meta(
            ge=100,
            le=600_000,
            description="Time without acknowledgement after which the system closes"
            " a connection (`TCP_USER_TIMEOUT`).",
        ),
    ] = 5_000


class QuerySettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """The search policy."""

    policy: Annotated[
        Literal["adaptive", "baseline"],
        Meta(
            description="`adaptive`, or `baseline` for comparison: round-robin,"
            " retries without a budget and no hedging."
        ),
    ] = "adaptive"
    hedge_fraction: Annotated[
        float,
        Meta(
            ge=0,
            le=1,
            description="Hedged requests allowed per primary sub-request.",
        ),
    ] = 0.03
    hedge_after_fraction: Annotated[
        float,
        Meta(
            ge=0.5,
            le=1,
            description="A sub-request is hedged once it is slower than this fraction"
            " of the service's sub-requests.",
        ),
    ] = 0.98
    retry_fraction: Annotated[
        float,
        Meta(
            ge=0,
            le=1,
            description="Retries and hedged requests allowed per primary"
            " sub-request to a service.",
        ),
    ] = 0.1
    way_back_ms: Annotated[
        float,
        Meta(
            ge=0,
            le=1_000,
            description="Part of a deadline reserved for merging the answer and"
            " returning it.",
        ),
    ] = 5.0
    straggler_quorum_fraction: Annotated[
        float,
        Meta(
            ge=0,
            le=1,
            description="Fraction of services that must have answered before a"
            " search that prefers latency may return without the"
            " rest.",
        ),
    ] = 0.9
    straggler_floor_ms: Annotated[
        float,
        Meta(
            ge=0,
            le=600_000,
            description="Minimum wait before such a search returns without the rest.",
        ),
    ] = 150.0
    cross_zone_ms: Annotated[
        float,
        Meta(
            ge=0,
            le=1_000,
            description="Round-trip time to another zone.",
        ),
    ] = 3.0
    slots_per_server: Annotated[
        int,
        Meta(
            ge=1,
            le=1_000,
            description="Number of requests that a backend server runs concurrently.",
        ),
    ] = 2
    ejection_base_ms: Annotated[
        float,
        Meta(
            ge=1,
            le=600_000,
            description="Delay before the first probe of an ejected server.",
        ),
    ] = 500.0
    ejection_longest_ms: Annotated[
        float,
        Meta(
            ge=1,
            le=600_000,
            description="Maximum delay between probes; the delay doubles up to"
            " this value.",
        ),
    ] = 10_000.0
    slow_start_ms: Annotated[
        float,
        Meta(
            ge=0,
            le=600_000,
            description="How long a readmitted server receives a reduced load.",
        ),
    ] = 3_000.0
    silence_bound_ms: Annotated[
        float,
        Meta(
            ge=1,
            le=600_000,
            description="A server is probed when a search receives no byte for this"
            " long.",
        ),
    ] = 300.0
    probe_timeout_ms: Annotated[
        float,
        Meta(
            ge=1,
            le=600_000,
            description="Timeout of a probe.",
        ),
    ] = 500.0
    idle_ms: Annotated[
        float,
        Meta(
            ge=1,
            le=3_600_000,
            description="Time after which an idle connection is closed.",
        ),
    ] = 10_000.0
    warm_connections_per_server: Annotated[
        int,
        Meta(
            ge=0,
            le=1_000,
            description="Number of idle connections kept open to each server.",
        ),
    ] = 2
    quarantine_base_ms: Annotated[
        float,
        Meta(
            ge=0,
            le=600_000,
            description="Duration of the first quarantine of a request that crashes"
            " servers; each further one lasts four times as long.",
        ),
    ] = 5_000.0
    quarantine_longest_ms: Annotated[
        float,
        Meta(
            ge=0,
            le=86_400_000,
            description="Maximum duration of a quarantine.",
        ),
    ] = 600_000.0
