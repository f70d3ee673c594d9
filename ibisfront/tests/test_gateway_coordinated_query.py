"""Tests of queries that other instances gather, in mock time."""

from __future__ import annotations

import unittest
from types import SimpleNamespace

import trio

from ibisfront.gateway.messages import InboundRequest
from ibisfront.gateway.queries.coordinated_query import CoordinatedQuery
from ibisfront.testing.gateway_fixture import GatewayFixture, gather_route
from ibisfront.tests import trio_test


class RefusingRemote:
    """A call to an instance that has refused the query."""

    is_open = has_answered = may_have_run = False
    is_refused = True
    signatures = ()

    def __init__(self, plan, *, is_unreachable):
        self.peer = plan.peer
        self.is_unreachable = is_unreachable

    def end(self, *, at_once):
        pass


PLAN = SimpleNamespace(
    peer=SimpleNamespace(entry=SimpleNamespace(server_id="gatherer"))
)


class CoordinatedQueryTest(unittest.TestCase):
    """Whom a query goes on to when instances refuse it."""

    async def count_requests(self, *, is_unreachable):
        """Return how many instances are asked if all refuse."""
        route = gather_route(4)
        fixture = GatewayFixture(route)
        async with fixture.running():
            request = InboundRequest(b"GET", b"/", "h", "r", 900.0, [], b"", 0.0)
            context = fixture.request_services.context(request, route)
            requests = []

            def start_remote(plan, is_repeat, on_change):
                requests.append(is_repeat)
                return RefusingRemote(plan, is_unreachable=is_unreachable)

            query = CoordinatedQuery(
                route.gathering,
                context,
                start_liveness_probe=lambda remote, on_change: Check(),
                plan=PLAN,
                start_remote=start_remote,
                next_plan=lambda tried: PLAN,
                give_up_at_ms=trio.current_time() * 1000.0 + 900.0,
                may_retry=True,
            )
            await query.run()
        self.assertFalse(query.was_sent)
        self.assertFalse(any(requests))
        return len(requests)

    @trio_test
    async def test_query_goes_on_while_instances_are_behind(self):
        """A zone refuses its queries while both that gather for it are behind."""
        self.assertEqual(await self.count_requests(is_unreachable=False), 4)

    @trio_test
    async def test_zone_that_is_cut_off_refuses_at_once(self):
        """Callers of a zone that is cut off are refused when their time is over.

        Both instances that gather for it say that they reach no servers. The query
        went on to those of other zones, behind the cut, and waited for each.
        """
        self.assertEqual(await self.count_requests(is_unreachable=True), 2)


class Check:
    """Finds every instance alive."""

    next_at_ms = 0.0

    def is_lost(self, now_ms):
        return False

    def end(self):
        pass
