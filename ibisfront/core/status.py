"""The status of all instances, collected by one of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import trio

from ibisfront.core.peers import PeerMessage
from ibisfront.core.types import Version

if TYPE_CHECKING:
    from collections.abc import Callable

    from ibisfront.core.members import Members
    from ibisfront.core.peers import Peers

__all__ = [
    "InstanceStatus",
    "StatusReply",
    "StatusRequest",
    "TierStatus",
    "collect_status",
]

_MAXIMUM_CONCURRENT_REQUESTS = 32
_REQUEST_TIMEOUT_MS = 1000.0


class InstanceStatus(msgspec.Struct, frozen=True):
    """The status of one instance, as reported by itself.

    Attributes
    ----------
    name, zone : str
        The instance and its availability zone.
    table_version : int
        The version of the table in force; 0 if there is none.
    revision : int
        The platform revision up to which its objects are complete.
    members : int
        Number of live and suspect members in its view, including itself.
    ready : bool
        Whether the load balancer may send requests to it.
    """

    name: str
    zone: str
    table_version: Version
    revision: Version
    members: int
    ready: bool


class TierStatus(msgspec.Struct, frozen=True):
    """The status of all instances that have not left.

    Attributes
    ----------
    instances : tuple of InstanceStatus
        Those that replied, sorted by name.
    unreachable : tuple of str
        The names of those that did not reply, sorted.
    """

    instances: tuple[InstanceStatus, ...]
    unreachable: tuple[str, ...]


class StatusRequest(PeerMessage, frozen=True, tag="status_request"):
    """Requests the status of an instance."""


class StatusReply(PeerMessage, frozen=True, tag="status_reply"):
    """The status of one instance."""

    status: InstanceStatus


async def collect_status(
    *,
    members: Members,
    peers: Peers,
    own: Callable[[], InstanceStatus],
    timeout_ms: float = _REQUEST_TIMEOUT_MS,
) -> TierStatus:
    """Request the status of all instances that have not left.

    Parameters
    ----------
    members : Members
        The view; dead members are included, as they may only be partitioned.
    peers : Peers
        Messages to other instances.
    own : callable
        Returns the status of this instance.
    timeout_ms : float
        Timeout of each request.
    """
    statuses = [own()]
    unreachable: list[str] = []
    limiter = trio.CapacityLimiter(_MAXIMUM_CONCURRENT_REQUESTS)

    async def request_status(name: str) -> None:
        async with limiter:
            reply = await peers.request(name, StatusRequest(), timeout_ms=timeout_ms)
        if isinstance(reply, StatusReply):
            statuses.append(reply.status)
        else:
            unreachable.append(name)

    async with trio.open_nursery() as nursery:
        for member in members.expected():
            if member.name != members.own_name:
                nursery.start_soon(request_status, member.name)
    statuses.sort(key=lambda status: status.name)
    return TierStatus(tuple(statuses), tuple(sorted(unreachable)))
