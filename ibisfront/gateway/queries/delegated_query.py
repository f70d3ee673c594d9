"""What instances say to each other when one asks for parts of a query."""

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
    "is_unreachable",
    "parse_delegated_query",
    "parse_signatures",
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


class DelegatedQuery(msgspec.Struct, frozen=True):
    """A part of a query that another instance asks for.

    Attributes
    ----------
    request : InboundRequest
        The caller's request, as it came.
    gathering : str
        The digest of the gathering by which it was sent.
    services : int
        The services asked for: bit ``n`` stands for the ``n``-th of the
        route's list.
    objective_left_ms : float
        After how long to answer with the parts that are in.
    is_whole : bool
        Whether it is a whole query: it is gathered until there are enough
        parts, and those of other zones may be asked of an instance there.
    minimum_parts : int
        Without how many of these parts the query fails even if all others
        come: they are gathered past the objective if need be.
    is_repeat : bool
        Whether another instance may have asked servers for these parts already,
        so that each of them is an extra sub-request.
    """

    request: InboundRequest
    gathering: str
    services: int
    objective_remaining_ms: float
    is_whole: bool = False
    minimum_parts: int = 0
    is_repeat: bool = False

    def select(self, names: Sequence[str]) -> tuple[str, ...]:
        """Return the services asked for, given the route's list."""
        return tuple(
            name for index, name in enumerate(names) if self.services >> index & 1
        )


def parse_delegated_query(request: InboundRequest) -> DelegatedQuery | None:
    """Return what another instance asks for; None if it is malformed."""
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


def is_unreachable(reply: BackendReply) -> bool:
    """Return whether an instance refused since it cannot reach the servers."""
    return any(name.lower() == _UNREACHABLE for name, _ in reply.headers)


def unreachable_header() -> Header:
    """Return the header by which an instance says so."""
    return (_UNREACHABLE, b"1")


def signatures_header(signatures: Sequence[bytes]) -> Header:
    """Return the header of a delegated answer that names its parts."""
    return (_SIGNATURES, b",".join(signatures))


def format_delegated_query(query: DelegatedQuery) -> InboundRequest:
    """Return the request by which an instance is asked; the other way round."""
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
    """Return the services asked for, as a query names them."""
    names = frozenset(selected)
    return sum(
        1 << index for index, name in enumerate(gathering.services) if name in names
    )


def parse_signatures(reply: BackendReply) -> list[bytes]:
    """Return the signatures of the parts in a delegated answer."""
    for name, value in reply.headers:
        if name.lower() == _SIGNATURES and value:
            return value.split(b",")
    return []
