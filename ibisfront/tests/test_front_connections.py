"""Tests of how many connections an instance keeps, in mock time."""

from __future__ import annotations

import unittest

import trio

from ibisfront.core.clock import Clock
from ibisfront.front.connections import Connections
from ibisfront.gateway.instances.coordinators import Coordinators
from ibisfront.gateway.instances.directory import InstanceEntry
from ibisfront.gateway.load.retry_budget import RetryBudgets
from ibisfront.gateway.servers.exchange import Exchange
from ibisfront.gateway.servers.server import Server
from ibisfront.gateway.servers.server_entry import ServerEntry
from ibisfront.gateway.servers.server_event_log import ServerEventLog
from ibisfront.gateway.settings import Bounds
from ibisfront.gateway.state.configuration import (
    CallerLimits,
    Configuration,
    RoutedService,
    RouteTable,
)
from ibisfront.testing.gateway_fixture import FakeServer, connect_to, gather_route
from ibisfront.tests import trio_test

_INSTANCES = 195
_ACCEPTED = 120


class KeptConnectionsTest(unittest.TestCase):
    """A server that accepts fewer connections than there are instances."""

    async def open_after_a_request_of_each(self):
        """Return how many connections are open, after all have sent a request."""
        clock = Clock()
        route = gather_route(1)
        services = {"part-0": RoutedService("part-0", _ACCEPTED)}
        table = RouteTable(Configuration(1, (route,), services, CallerLimits()))
        listed = [
            InstanceEntry(f"i{number}", f"z{number % 5}", f"i{number}", 200.0 - number)
            for number in range(_INSTANCES)
        ]
        entry = ServerEntry("a", "part-0", "a", "z0", 2)
        stand_in = FakeServer(entry, latency_ms=1.0)

        async def open_connection(address):
            return connect_to(stand_in)

        open_now = []
        async with trio.open_nursery() as nursery:
            for own in listed:
                coordinators = Coordinators(own)
                coordinators.update(listed, table)
                connections = Connections(
                    coordinators=coordinators,
                    budgets=RetryBudgets(Bounds(), instances=_INSTANCES),
                    find_table=lambda: table,
                    find_bounds=Bounds,
                    nursery=nursery,
                    clock=clock,
                    event_log=ServerEventLog(clock),
                )
                connections._open_connection = open_connection
                server = Server(entry, now_ms=clock.now_ms(), is_near=True)
                server.pool = connections.server_pool(server)
                server.pool.submit(_exchange(server, clock))
                open_now.append((coordinators.is_coordinator, server.pool))
            await trio.sleep(0.5)
            sizes = [(gathers, pool.size) for gathers, pool in open_now]
            nursery.cancel_scope.cancel()
        return sizes

    @trio_test
    async def test_instances_that_do_not_gather_keep_none(self):
        """Answers of all zones lack a part, again and again.

        Each of 195 instances once forwarded a request to a server that accepts 120
        connections, and kept its connection. Those of the instances that gather
        are reset as soon as they are opened.
        """
        sizes = await self.open_after_a_request_of_each()
        self.assertLess(sum(size for _, size in sizes), _ACCEPTED)
        self.assertTrue(all(size for gathers, size in sizes if gathers))


def _exchange(server, clock):
    return Exchange(
        server,
        request_id=b"request",
        payload=lambda at_ms: b"X-Deadline-Ms: 100\r\n",
        on_end=lambda exchange: None,
        rank=0,
        created_at_ms=clock.now_ms(),
        expected_ms=10.0,
    )
