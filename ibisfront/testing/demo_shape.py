"""The deployment of the demo: a register and listings on a small scale."""

from __future__ import annotations

from ibisfront.core.table import Purpose, Row, Table
from ibisfront.testing.deployment import DeploymentShape, IndexShape, ServiceShape

__all__ = ["ALERTS", "LISTINGS", "PRINT_QUEUE", "REGISTER", "demo_shape"]

REGISTER = tuple(f"register-{number:02d}" for number in range(6))
"""The services of the parish register."""

LISTINGS = tuple(f"listings-{number:02d}" for number in range(4))
"""The services of the breeders' listings."""

PRINT_QUEUE = "print-queue"
ALERTS = "inquiry-alerts"

_BALANCER_LAG_MS = 500
_SEARCH_SERVER = ("--slots", "2", "--connection-limit", "25", "--accept-ms", "6")
_PRINT_SERVER = ("--slots", "2", "--connection-limit", "100", "--accept-ms", "1")
_ALERT_SERVER = ("--slots", "4", "--connection-limit", "45", "--accept-ms", "1")
_MAILING_BRANCHES = ("hallgrim", "vestry", "harbour")
_LISTING_BRANCHES = ("buyers", "sellers")


def demo_shape() -> DeploymentShape:
    """Return three entry instances in three zones, with both back ends."""
    searched = (*REGISTER, *LISTINGS)
    return DeploymentShape(
        services=(
            *(
                ServiceShape(name, servers=2, options=_SEARCH_SERVER)
                for name in searched
            ),
            ServiceShape(PRINT_QUEUE, servers=3, options=_PRINT_SERVER),
            ServiceShape(ALERTS, servers=3, options=_ALERT_SERVER),
        ),
        indexes=(IndexShape("register", REGISTER), IndexShape("listings", LISTINGS)),
        table=Table(_purposes(), _rows()),
        balancer_lag_ms=_BALANCER_LAG_MS,
    )


def _purposes() -> tuple[Purpose, ...]:
    return (
        Purpose("name-check", "search", index="register", urgent=True),
        Purpose("bulk-lookup", "search", index="register"),
        Purpose("print-envelopes", "perform", service=PRINT_QUEUE),
        Purpose("bloodline", "search", index="listings", prefers="coverage"),
        Purpose("inquiry-alert", "perform", service=ALERTS),
    )


def _rows() -> tuple[Row, ...]:
    mailing = ("name-check", "bulk-lookup", "print-envelopes")
    listing = ("bloodline", "inquiry-alert")
    return (
        *(Row(branch, purpose) for branch in _MAILING_BRANCHES for purpose in mailing),
        *(Row(branch, purpose) for branch in _LISTING_BRANCHES for purpose in listing),
    )
