"""The two users' deployments, scaled to one machine."""

from __future__ import annotations

from typing import Literal, TypeAlias

from ibisfront.core.table import Purpose, Row, Table
from ibisfront.testing.deployment import DeploymentShape, IndexShape, ServiceShape

Preference: TypeAlias = Literal["latency", "coverage"]

__all__ = ["FLOODED_BRANCH", "LISTING", "MAILING", "shape_of"]

MAILING = "mailing"
"""Parish mailing houses: 20 register services, each 2 servers of 2 slots."""

LISTING = "listing"
"""Breeders' listings: 20 buyer search services, each 2 servers of 2 slots."""

FLOODED_BRANCH = "branch-a"

_SERVICES = 20
_INSTANCES = 6
_BRANCHES = (FLOODED_BRANCH, "branch-b", "branch-c")
_BALANCER_DELAY_MS = 1200
_LIMIT_PER_S = 400.0
_MAX_IN_FLIGHT = 300


def shape_of(user: str, *, settings_text: str, relayed: bool) -> DeploymentShape:
    """Return the deployment of a user.

    Parameters
    ----------
    user : {"mailing", "listing"}
        The user.
    settings_text : str
        Additional settings of every instance, as TOML.
    relayed : bool
        Whether its zones can be partitioned.
    """
    names = tuple(f"part-{number:02d}" for number in range(_SERVICES))
    queue_servers = 5 if user == MAILING else 3
    queue_slots = 2 if user == MAILING else 4
    return DeploymentShape(
        services=(
            *(ServiceShape(name) for name in names),
            ServiceShape(
                "queue",
                servers=queue_servers,
                options=("--slots", str(queue_slots), "--accept-ms", "1"),
            ),
        ),
        indexes=(IndexShape("register", names),),
        table=_table(user),
        instances=_INSTANCES,
        settings_text=settings_text,
        relayed=relayed,
        balancer_lag_ms=_BALANCER_DELAY_MS,
    )


def _table(user: str) -> Table:
    prefers: Preference = "latency" if user == MAILING else "coverage"
    purposes = (
        Purpose("urgent", "search", index="register", prefers=prefers, urgent=True),
        Purpose("bulk", "search", index="register", prefers="coverage"),
        Purpose("once", "perform", service="queue"),
    )
    rows = tuple(
        Row(
            branch,
            purpose.name,
            weight=1.0,
            limit_per_s=_LIMIT_PER_S,
            max_in_flight=_MAX_IN_FLIGHT,
        )
        for branch in _BRANCHES
        for purpose in purposes
    )
    return Table(purposes, rows)
