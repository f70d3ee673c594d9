"""Count of the traffic that an instance causes between availability zones.

Traffic between zones is charged. Counted by reason, it shows whether a zone lacks
servers, whether hedged requests leave it, or whether instances talk to each other.
"""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

from ibisfront.core.counters import CounterKind

if TYPE_CHECKING:
    from ibisfront.core.counters import Counters
    from ibisfront.gateway.servers.server import Server

__all__ = ["ZoneTraffic", "record_received", "record_sent"]


class ZoneTraffic(StrEnum):
    """Why something is sent to another zone."""

    PRIMARY = "primary"
    HEDGE = "hedge"
    RETRY = "retry"
    WHOLE_QUERY = "whole_query"
    PARTS = "parts"


def record_sent(
    counters: Counters, server: Server, reason: ZoneTraffic, data: bytes
) -> None:
    """Count a request if its destination is in another zone."""
    if not server.is_near:
        counters.add(CounterKind.OTHER_ZONE_REQUESTS, reason)
        counters.add(CounterKind.OTHER_ZONE_BYTES, reason, len(data))


def record_received(
    counters: Counters, server: Server, reason: ZoneTraffic, size_bytes: int
) -> None:
    """Count the body of a reply if it came from another zone."""
    if not server.is_near:
        counters.add(CounterKind.OTHER_ZONE_BYTES, reason, size_bytes)
