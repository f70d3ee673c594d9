"""Messages by which one instance requests parts of a query from another."""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import TYPE_CHECKING

import msgspec

from ibisfront.gateway.load.coordinator_load import LoadReport
from ibisfront.gateway.messages import BackendReply, Header, InboundRequest

if TYPE_CHECKING:
    from ibisfront.gateway.state.configuration import Gathering

__all__ = [
    "DelegatedQuery",
    "format_delegated_query",
    "load_header",
    "no_room_header",
    "parse_delegated_query",
    "parse_load",
    "parse_signatures",
    "reached_header",
    "reports_no_room",
    "reports_servers_reached",
    "reports_servers_unreachable",
    "service_bitmask",
    "signatures_header",
    "unreachable_header",
]

_GATHERING = b"x-ibisfront-gathering"
_SERVICES = b"x-ibisfront-services"
_OBJECTIVE = b"x-ibisfront-objective-ms"
_WHOLE = b"x-ibisfront-whole"
_MINIMUM = b"x-ibisfront-minimum"
_REPEAT = b"x-ibisfront-repeat"
_WORKSPACE = b"x-ibisfront-workspace"
_RANK = b"x-ibisfront-rank"
_SIGNATURES = b"x-ibisfront-signatures"
_UNREACHABLE = b"x-ibisfront-out-of-reach"
_REACHED = b"x-ibisfront-reached"
_NO_ROOM = b"x-ibisfront-no-room"
_LOAD = b"x-ibisfront-load"

_INTERNAL = frozenset(
    (
        _GATHERING,
        _SERVICES,
        _OBJECTIVE,
        _WHOLE,
        _MINIMUM,
        _REPEAT,
        _WORKSPACE,
        _RANK,
    )
)
"""Headers that only instances set; those of a caller are dropped."""


class DelegatedQuery(msgspec.Struct, frozen=True):
    """Parts of a query requested by another instance.

    Attributes
    ----------
    request : InboundRequest
        The caller's request, with the workspace and the rank that the sender has
        decided, and otherwise unchanged.
    gathering : str
        The digest of the sender's gathering.
    services : int
        Bit mask of the requested services: bit ``n``, counted from 0, stands for
        ``services[n]`` of the route's gathering.
    objective_remaining_ms : float
        Time after which to answer with the parts received.
    is_whole : bool
        Whether it is a whole query: it runs until there are enough parts, and
        parts in other zones may be delegated in turn.
    minimum_parts : int
        Number of these parts without which the query fails even if all others
        arrive; they are awaited past the latency objective.
    is_repeat : bool
        Whether another instance may have requested these parts from servers
        already, so that each sub-request is an extra attempt.
    """

    request: InboundRequest
    gathering: str
    services: int
    objective_remaining_ms: float
    is_whole: bool = False
    minimum_parts: int = 0
    is_repeat: bool = False

    def select(self, names: Sequence[str]) -> tuple[str, ...]:
        """Return the requested services, given the route's list."""
        return tuple(
            name for index, name in enumerate(names) if self.services >> index & 1
        )


def parse_delegated_query(request: InboundRequest) -> DelegatedQuery | None:
    """Parse a request from another instance; return None if it is malformed."""
    values = {name.lower(): value for name, value in request.headers}
    rank = values.get(_RANK)
    try:
        return DelegatedQuery(
            request=msgspec.structs.replace(
                request,
                headers=_without_internal(request.headers),
                workspace=values.get(_WORKSPACE, b"").decode(),
                rank=None if rank is None else int(rank),
            ),
            gathering=values[_GATHERING].decode("ascii"),
            services=int(values[_SERVICES], 16),
            objective_remaining_ms=float(values[_OBJECTIVE]),
            is_whole=_WHOLE in values,
            minimum_parts=int(values.get(_MINIMUM, b"0")),
            is_repeat=_REPEAT in values,
        )
    except (KeyError, ValueError):
        return None


def reports_servers_unreachable(reply: BackendReply) -> bool:
    """Return whether an instance refused because it cannot reach the servers."""
    return any(name.lower() == _UNREACHABLE for name, _ in reply.headers)


def unreachable_header() -> Header:
    """Return the header of a refusal because the servers are unreachable."""
    return (_UNREACHABLE, b"1")


def reports_servers_reached(reply: BackendReply) -> bool:
    """Return whether servers received parts of a query that an instance refused."""
    return any(name.lower() == _REACHED for name, _ in reply.headers)


def reached_header() -> Header:
    """Return the header of a refusal after servers have rejected the parts.

    Nothing has run, but each part has arrived at a server: requested again, it is
    an extra sub-request.
    """
    return (_REACHED, b"1")


def reports_no_room(reply: BackendReply) -> bool:
    """Return whether an instance refused because its servers have no room."""
    return any(name.lower() == _NO_ROOM for name, _ in reply.headers)


def no_room_header() -> Header:
    """Return the header of a refusal for lack of room; nothing was sent."""
    return (_NO_ROOM, b"1")


def load_header(report: LoadReport) -> Header:
    """Return the header of a reply that carries the coordinator's load."""
    return (_LOAD, b"%d %.2f" % (report.running, report.slowness))


def parse_load(reply: BackendReply) -> LoadReport | None:
    """Return the load that a coordinator reports; None if missing or malformed."""
    value = next((text for name, text in reply.headers if name.lower() == _LOAD), b"")
    running, _, slowness = value.partition(b" ")
    try:
        report = LoadReport(int(running), float(slowness))
    except ValueError:
        return None
    is_valid = report.running >= 0 and math.isfinite(report.slowness)
    return report if is_valid else None


def signatures_header(signatures: Sequence[bytes]) -> Header:
    """Return the header that lists the parts of a delegated answer."""
    return (_SIGNATURES, b",".join(signatures))


def format_delegated_query(query: DelegatedQuery) -> InboundRequest:
    """Return the request that :func:`parse_delegated_query` parses to this query."""
    headers: list[Header] = [
        *_without_internal(query.request.headers),
        (_GATHERING, query.gathering.encode("ascii")),
        (_SERVICES, b"%x" % query.services),
        (_OBJECTIVE, b"%.1f" % query.objective_remaining_ms),
    ]
    if query.is_whole:
        headers.append((_WHOLE, b"1"))
    if query.minimum_parts:
        headers.append((_MINIMUM, b"%d" % query.minimum_parts))
    if query.is_repeat:
        headers.append((_REPEAT, b"1"))
    if query.request.workspace:
        headers.append((_WORKSPACE, query.request.workspace.encode()))
    if query.request.rank is not None:
        headers.append((_RANK, b"%d" % query.request.rank))
    return msgspec.structs.replace(query.request, headers=headers, workspace="")


def _without_internal(headers: Sequence[Header]) -> list[Header]:
    return [item for item in headers if item[0].lower() not in _INTERNAL]


def service_bitmask(gathering: Gathering, selected: Sequence[str]) -> int:
    """Return the bit mask of some services of a gathering."""
    names = frozenset(selected)
    return sum(
        1 << index for index, name in enumerate(gathering.services) if name in names
    )


def parse_signatures(reply: BackendReply) -> list[bytes]:
    """Return the signatures of the parts of a delegated answer."""
    for name, value in reply.headers:
        if name.lower() == _SIGNATURES and value:
            return value.split(b",")
    return []
