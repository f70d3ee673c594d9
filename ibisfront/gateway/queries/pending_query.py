"""A scatter-gather query that is about to run."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ibisfront.gateway.route_state import give_up_at_ms

if TYPE_CHECKING:
    from ibisfront.gateway.messages import InboundRequest
    from ibisfront.gateway.queries.delegated_query import DelegatedQuery
    from ibisfront.gateway.queries.service_call import CallContext
    from ibisfront.gateway.state.configuration import Gathering, Route

__all__ = ["PendingQuery", "delegated_gathering"]


class PendingQuery(msgspec.Struct, frozen=True):
    """A query to run.

    Attributes
    ----------
    request : InboundRequest
        The request.
    route : Route
        Its route.
    gathering : Gathering
        The services and the minimum coverage.
    context : CallContext
        The context of its sub-requests.
    end_at_ms : float
        When it ends with the parts received, if they suffice.
    """

    request: InboundRequest
    route: Route
    gathering: Gathering
    context: CallContext
    end_at_ms: float

    @property
    def give_up_at_ms(self) -> float:
        """Latest time of its final answer."""
        return give_up_at_ms(self.request, self.route)

    @property
    def effective_end_at_ms(self) -> float:
        """When it ends if the parts received suffice, with time left to answer."""
        return min(self.end_at_ms, self.give_up_at_ms)


def delegated_gathering(query: DelegatedQuery, route_gathering: Gathering) -> Gathering:
    """Return the gathering to run for another instance.

    Any number of delegated parts is useful there, since the others come from other
    servers; only those without which the query fails are awaited past the latency
    objective. A whole query that ended at the objective with too few parts would
    fail, although the missing ones were about to arrive and a late answer still has
    value: it runs until there are enough.
    """
    services = query.select(route_gathering.services)
    coverage = route_gathering.minimum_coverage
    if not query.is_whole:
        coverage = query.minimum_parts / max(len(services), 1)
    return msgspec.structs.replace(
        route_gathering, services=services, minimum_coverage=coverage
    )
