"""Tests of queries that other instances coordinate, in mock time."""

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

    is_open = has_answered = may_have_run = may_have_arrived = False
    is_refused = True
    room_at_ms = None
    signatures = ()

    def __init__(self, plan, *, servers_unreachable):
        self.peer = plan.peer
        self.servers_unreachable = servers_unreachable

    def end(self, *, at_once):
        pass


PLAN = SimpleNamespace(
    peer=SimpleNamespace(entry=SimpleNamespace(server_id="gatherer"))
)


class CoordinatedQueryTest(unittest.TestCase):
    """Retries of a query that coordinators refuse."""

    async def count_requests(self, *, servers_unreachable):
        """Return how many coordinators receive a query if all refuse it."""
        route = gather_route(4)
        fixture = GatewayFixture(route)
        async with fixture.running():
            request = InboundRequest(b"GET", b"/", "h", "r", 900.0, [], b"", 0.0)
            context = fixture.gateway_context.call_context(request, route)
            requests = []

            def start_remote(plan, is_repeat, on_change):
                requests.append(is_repeat)
                return RefusingRemote(plan, servers_unreachable=servers_unreachable)

            query = CoordinatedQuery(
                route.gathering,
                context,
                start_liveness_probe=lambda remote, on_change: FakeLivenessProbe(),
                plan=PLAN,
                start_remote=start_remote,
                next_plan=lambda tried: PLAN,
                give_up_at_ms=trio.current_time() * 1000.0 + 900.0,
                may_retry=True,
            )
            await query.run()
        self.assertFalse(query.may_have_run)
        self.assertFalse(any(requests))
        return len(requests)

    @trio_test
    async def test_query_is_retried_while_coordinators_are_outdated(self):
        """Guards against refusals while both coordinators of a zone are outdated."""
        self.assertEqual(await self.count_requests(servers_unreachable=False), 4)

    @trio_test
    async def test_partitioned_zone_refuses_at_once(self):
        """Guards against refusals only at the deadline in a partitioned zone.

        Both coordinators of the zone report the servers unreachable. The query must not
        wait for coordinators in other zones, which are behind the partition.
        """
        self.assertEqual(await self.count_requests(servers_unreachable=True), 2)


class FakeLivenessProbe:
    """A liveness probe that finds every instance alive."""

    next_at_ms = 0.0

    def is_lost(self, now_ms):
        return False

    def end(self):
        pass
