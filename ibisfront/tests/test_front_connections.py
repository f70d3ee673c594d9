"""Tests of the number of connections that an instance keeps, in mock time."""

from __future__ import annotations

import unittest

import trio

from ibisfront.core.clock import Clock
from ibisfront.front.connections import Connections
from ibisfront.gateway.instances.coordinators import Coordinators
from ibisfront.gateway.instances.directory import InstanceEntry
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
_MAX_CONNECTIONS = 120


class IdleConnectionsTest(unittest.TestCase):
    """A server that accepts fewer connections than there are instances."""

    async def pool_sizes_after_one_request_each(self):
        """Return each pool's size after every instance has sent one request."""
        clock = Clock()
        route = gather_route(1)
        services = {"part-0": RoutedService("part-0", _MAX_CONNECTIONS)}
        table = RouteTable(Configuration(1, (route,), services, CallerLimits()))
        listed = [
            InstanceEntry(f"i{number}", f"z{number % 5}", f"i{number}", 200.0 - number)
            for number in range(_INSTANCES)
        ]
        entry = ServerEntry("a", "part-0", "a", "z0", 2)
        fake_server = FakeServer(entry, latency_ms=1.0)

        async def open_connection(address):
            return connect_to(fake_server)

        pools = []
        async with trio.open_nursery() as nursery:
            for own in listed:
                coordinators = Coordinators(own)
                coordinators.update(listed, table)
                connections = Connections(
                    coordinators=coordinators,
                    count_instances=lambda: _INSTANCES,
                    find_table=lambda: table,
                    find_bounds=Bounds,
                    nursery=nursery,
                    clock=clock,
                    event_log=ServerEventLog(clock),
                )
                connections._open_connection = open_connection
                server = Server(entry, now_ms=clock.now_ms(), is_near=True)
                server.pool = connections.create_server_pool(server)
                server.pool.submit(_exchange(server, clock))
                pools.append((coordinators.is_coordinator, server.pool))
            await trio.sleep(0.5)
            sizes = [(is_coordinator, pool.size) for is_coordinator, pool in pools]
            nursery.cancel_scope.cancel()
        return sizes

    @trio_test
    async def test_only_coordinators_keep_idle_connections(self):
        """Guards against answers in all zones that lack a part.

        If each of 195 instances keeps the connection of one forwarded request to a
        server that accepts 120 connections, those of the coordinators are reset as
        soon as they are opened.
        """
        sizes = await self.pool_sizes_after_one_request_each()
        self.assertLess(sum(size for _, size in sizes), _MAX_CONNECTIONS)
        self.assertTrue(all(size for is_coordinator, size in sizes if is_coordinator))


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
