"""Messages by which one instance requests parts of a query from another."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

import msgspec

from ibisfront.gateway.messages import BackendReply, Header, InboundRequest

if TYPE_CHECKING:
    from ibisfront.gateway.state.configuration import Gathering

__all__ = [
    "DelegatedQuery",
    "format_delegated_query",
    "no_room_header",
    "parse_delegated_query",
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
_SIGNATURES = b"x-ibisfront-signatures"
_UNREACHABLE = b"x-ibisfront-out-of-reach"
_REACHED = b"x-ibisfront-reached"
_NO_ROOM = b"x-ibisfront-no-room"


class DelegatedQuery(msgspec.Struct, frozen=True):
    """Parts of a query requested by another instance.

    Attributes
    ----------
    request : InboundRequest
        The caller's request, unchanged.
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
    internal = (_GATHERING, _SERVICES, _OBJECTIVE, _WHOLE, _MINIMUM, _REPEAT)
    headers = [item for item in request.headers if item[0].lower() not in internal]
    try:
        return DelegatedQuery(
            request=msgspec.structs.replace(request, headers=headers),
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


def signatures_header(signatures: Sequence[bytes]) -> Header:
    """Return the header that lists the parts of a delegated answer."""
    return (_SIGNATURES, b",".join(signatures))


def format_delegated_query(query: DelegatedQuery) -> InboundRequest:
    """Return the request that :func:`parse_delegated_query` parses to this query."""
    headers: list[Header] = [
        *query.request.headers,
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
    return msgspec.structs.replace(query.request, headers=headers)


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
