"""Tests of the total rate of requests to cold servers, in mock time."""

from __future__ import annotations

import unittest

import trio

from ibisfront.core.clock import Clock
from ibisfront.front.connections import Connections
from ibisfront.gateway.instances.coordinators import Coordinators
from ibisfront.gateway.instances.directory import InstanceEntry
from ibisfront.gateway.load.server_choice import choose_server
from ibisfront.gateway.servers.exchange import Exchange
from ibisfront.gateway.servers.server import Server
from ibisfront.gateway.servers.server_entry import ServerEntry
from ibisfront.gateway.servers.server_event_log import ServerEventLog
from ibisfront.gateway.servers.server_registry import ServerRegistry
from ibisfront.gateway.settings import Bounds
from ibisfront.gateway.state.configuration import (
    CallerLimits,
    Configuration,
    RoutedService,
    RouteTable,
)
from ibisfront.testing.gateway_fixture import (
    FakeServer,
    connect_to,
    forward_route,
)
from ibisfront.tests import trio_test

_WARM_UP_MS = 3_000.0
_BOUNDS = Bounds(cold_excess=1.5, cold_slack=5.0)
_ENTRY = ServerEntry("a", "archive", "a", "z0", 2, warm_up_left_ms=_WARM_UP_MS)


class Sender:
    """An instance that sends to the cold server whenever its limit allows it."""

    def __init__(self, own, listed, table, nursery, clock, fake_server):
        self._clock = clock
        coordinators = Coordinators(own)
        coordinators.update(listed, table)
        connections = Connections(
            coordinators=coordinators,
            count_instances=lambda: len(listed),
            find_table=lambda: table,
            find_bounds=lambda: _BOUNDS,
            nursery=nursery,
            clock=clock,
            event_log=ServerEventLog(clock),
        )

        async def open_connection(address):
            return connect_to(fake_server)

        connections._open_connection = open_connection
        self.registry = ServerRegistry(
            clock=clock, make_pool=connections.create_server_pool, zone="z0"
        )
        self.registry.put(_ENTRY)

    async def run(self):
        while True:
            now_ms = self._clock.now_ms()
            servers = self.registry.of_service("archive")
            server = choose_server(servers, [], now_ms=now_ms, baseline_ms=10.0)
            if server is not None:
                server.pool.submit(_exchange(server, now_ms))
            await trio.sleep(0.02)


def _exchange(server, now_ms):
    return Exchange(
        server,
        request_id=b"r",
        payload=lambda at_ms: b"X-Deadline-Ms: 9\r\n",
        on_end=lambda exchange: server.pool.record_ended(exchange),
        rank=0,
        created_at_ms=now_ms,
        expected_ms=20.0,
    )


def _max_per_second(times_ms):
    return max(
        sum(start <= other < start + 1000.0 for other in times_ms) for start in times_ms
    )


class ColdServerTest(unittest.TestCase):
    """A server that has just started, and many instances that send to it."""

    async def _received_ms(self, instances, cold_per_s, duration_s):
        """Return the times at which requests were sent to the server."""
        clock = Clock()
        services = {
            "archive": RoutedService(
                "archive", 500, warm_up_ms=_WARM_UP_MS, cold_per_s=cold_per_s
            )
        }
        table = RouteTable(
            Configuration(1, (forward_route(),), services, CallerLimits())
        )
        listed = [
            InstanceEntry(f"i{number}", "z0", f"i{number}")
            for number in range(instances)
        ]
        fake_server = FakeServer(_ENTRY, latency_ms=1.0)
        async with trio.open_nursery() as nursery:
            for own in listed:
                sender = Sender(own, listed, table, nursery, clock, fake_server)
                nursery.start_soon(sender.run)
            await trio.sleep(duration_s)
            nursery.cancel_scope.cancel()
        return [exchange.sent_at_ms for exchange in fake_server.received]

    @trio_test
    async def test_cold_server_gets_no_more_than_its_bound(self):
        """Guards against a burst of all instances' first requests to a cold server."""
        for instances, cold_per_s in ((3, 20.0), (9, 4.0), (60, 10.0)):
            sent_ms = await self._received_ms(instances, cold_per_s, 2.9)
            self.assertLessEqual(_max_per_second(sent_ms), cold_per_s * 1.5 + 5.0)
            self.assertGreater(len(sent_ms), cold_per_s)

    @trio_test
    async def test_warm_and_unbounded_servers_get_all_requests(self):
        """Guards against a limit that outlasts the warm-up."""
        cold_and_warm_ms = await self._received_ms(9, 4.0, 4.0)
        self.assertGreater(_max_per_second(cold_and_warm_ms), 100)
        unbounded_ms = await self._received_ms(9, 0.0, 2.0)
        self.assertGreater(_max_per_second(unbounded_ms), 100)

    @trio_test
    async def test_reconnected_server_counts_as_cold(self):
        """Guards against overload of a restarted server until its new entry arrives."""
        server = Server(_ENTRY, now_ms=0.0, is_near=True)
        server.cold_start_limit.share_per_s = 1
        server.cold_start_limit.warm_up_ms = _WARM_UP_MS
        now_ms = 2.0 * _WARM_UP_MS
        self.assertFalse(server.is_cold(now_ms))
        server.record_unreachable(now_ms)
        server.record_connected(now_ms)
        self.assertTrue(server.is_cold(now_ms + _WARM_UP_MS - 1.0))
