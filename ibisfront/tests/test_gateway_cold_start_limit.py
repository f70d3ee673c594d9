"""Tests of what cold servers get from all instances together, in mock time."""

from __future__ import annotations

import unittest

import trio

from ibisfront.core.clock import Clock
from ibisfront.front.connections import Connections
from ibisfront.gateway.instances.coordinators import Coordinators
from ibisfront.gateway.instances.directory import InstanceEntry
from ibisfront.gateway.load.retry_budget import RetryBudgets
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
    """An instance that sends a request to the cold server whenever it may."""

    def __init__(self, own, listed, table, nursery, clock, stand_in):
        self._clock = clock
        coordinators = Coordinators(own)
        coordinators.update(listed, table)
        connections = Connections(
            coordinators=coordinators,
            budgets=RetryBudgets(Bounds(), instances=len(listed)),
            find_table=lambda: table,
            find_bounds=lambda: _BOUNDS,
            nursery=nursery,
            clock=clock,
            event_log=ServerEventLog(clock),
        )

        async def open_connection(address):
            return connect_to(stand_in)

        connections._open_connection = open_connection
        self.registry = ServerRegistry(
            clock=clock, make_pool=connections.server_pool, zone="z0"
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
        on_end=lambda exchange: server.pool.forget(exchange),
        rank=0,
        created_at_ms=now_ms,
        expected_ms=20.0,
    )


def _most_in_a_second(moments_ms):
    return max(
        sum(start <= other < start + 1000.0 for other in moments_ms)
        for start in moments_ms
    )


class ColdServerTest(unittest.TestCase):
    """A server that has just started, and many instances that would use it."""

    async def _received_ms(self, instances, per_s, seconds):
        """Return when the server was sent requests."""
        clock = Clock()
        services = {
            "archive": RoutedService(
                "archive", 500, warm_up_ms=_WARM_UP_MS, cold_per_s=per_s
            )
        }
        table = RouteTable(
            Configuration(1, (forward_route(),), services, CallerLimits())
        )
        listed = [
            InstanceEntry(f"i{number}", "z0", f"i{number}")
            for number in range(instances)
        ]
        stand_in = FakeServer(_ENTRY, latency_ms=1.0)
        async with trio.open_nursery() as nursery:
            for own in listed:
                sender = Sender(own, listed, table, nursery, clock, stand_in)
                nursery.start_soon(sender.run)
            await trio.sleep(seconds)
            nursery.cancel_scope.cancel()
        return [exchange.sent_at_ms for exchange in stand_in.received]

    @trio_test
    async def test_cold_server_gets_no_more_than_it_bears(self):
        """Guards against all instances' first requests to a cold server at once."""
        for instances, per_s in ((3, 20.0), (9, 4.0), (60, 10.0)):
            sent_ms = await self._received_ms(instances, per_s, 2.9)
            self.assertLessEqual(_most_in_a_second(sent_ms), per_s * 1.5 + 5.0)
            self.assertGreater(len(sent_ms), per_s)

    @trio_test
    async def test_warm_server_and_one_without_a_bound_get_all(self):
        """Guards against a limit that outlasts the warm-up."""
        cold_and_warm_ms = await self._received_ms(9, 4.0, 4.0)
        self.assertGreater(_most_in_a_second(cold_and_warm_ms), 100)
        unbounded_ms = await self._received_ms(9, 0.0, 2.0)
        self.assertGreater(_most_in_a_second(unbounded_ms), 100)

    @trio_test
    async def test_server_that_was_lost_counts_as_cold_when_it_is_back(self):
        """Guards against a restarted server whose new entry is not here yet."""
        server = Server(_ENTRY, now_ms=0.0, is_near=True)
        server.cold_start_limit.share = 1
        server.cold_start_limit.warm_up_ms = _WARM_UP_MS
        now_ms = 2.0 * _WARM_UP_MS
        self.assertFalse(server.is_cold(now_ms))
        server.record_unreachable(now_ms)
        server.record_connected(now_ms)
        self.assertTrue(server.is_cold(now_ms + _WARM_UP_MS - 1.0))
