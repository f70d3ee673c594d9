"""Tests of more sub-requests at servers than the retry budget allows, in mock time."""

from __future__ import annotations

import unittest
from collections import Counter

import trio

from ibisfront.core.clock import Clock
from ibisfront.front.process import FrontProcess
from ibisfront.gateway.instances.directory import InstanceEntry
from ibisfront.gateway.messages import InboundRequest
from ibisfront.gateway.queries.delegated_query import (
    DelegatedQuery,
    format_delegated_query,
)
from ibisfront.gateway.settings import Bounds, GatewaySettings
from ibisfront.testing.gateway_fixture import HOST, GatewayFixture, gather_route
from ibisfront.testing.soak.checks import extra_windows
from ibisfront.testing.soak.servers import Execution
from ibisfront.testing.two_zones import TwoZones
from ibisfront.tests import trio_test

SERVICE = "search"
BOUNDS = Bounds(extra_ratio=0.2, extra_window_ms=10_000.0, extra_allowance=60.0)
NO_BUDGET = Bounds(extra_ratio=0.0, extra_allowance=0.0)
ALL = range(6)
STEP_S = 0.05
REQUESTS_PER_S = 40


class RejectedQueryTest(unittest.TestCase):
    """Delegated queries while every server rejects requests."""

    async def extras(self, *, delegates):
        """Return the extra sub-requests of twenty queries without a budget."""
        zones = TwoZones(gather_route(20), delegates=delegates, bounds=NO_BUDGET)
        zones.reject_everywhere()
        async with zones.running():
            for _ in range(20):
                reply = await zones.send_request("z0")
                self.assertGreaterEqual(reply.status, 500)
                await trio.sleep(0.6)
        counts = Counter(
            (item.server.entry.service, item.request_id) for item in zones.received
        )
        self.assertTrue(counts)
        return sum(counts.values()) - len(counts)

    @trio_test
    async def test_rejected_parts_are_sent_again_without_budget(self):
        """Guards against 503 of another instance taken for parts never sent."""
        self.assertEqual(await self.extras(delegates=False), 0)

    @trio_test
    async def test_rejected_queries_are_sent_again_by_each_coordinator(self):
        """Guards against up to five free sub-requests for each part of a query."""
        self.assertEqual(await self.extras(delegates=True), 0)

    @trio_test
    async def test_rejected_queries_raise_the_ratio_of_several_instances(self):
        """Guards against one query counted as primary by each instance it visits."""
        zones = TwoZones(gather_route(20), delegates=True, bounds=NO_BUDGET)
        zones.reject_everywhere()
        async with zones.running():
            for _ in range(5):
                await zones.send_request("z0")
            budgets = [
                gateway._gateway_context._budgets.of_service("part-0")
                for gateway in zones.gateways.values()
            ]
        self.assertLessEqual(sum(budget.primaries for budget in budgets), 5)


class RepeatedQueryTest(unittest.TestCase):
    """A query that another instance may have run, with the route's attempts used."""

    @trio_test
    async def test_repeat_reaches_more_servers_than_the_route_allows(self):
        """Guards against retries of parts whose repeat was withheld."""
        route = gather_route(4)
        fixture = GatewayFixture(route, servers=3)
        async with fixture.running() as gateway:
            query = DelegatedQuery(
                request=InboundRequest(
                    b"GET", b"/search/a", HOST, "r", 900.0, [], b"", 0.0
                ),
                gathering=route.gathering.digest,
                services=0b1111,
                objective_remaining_ms=100.0,
                is_repeat=True,
            )
            await gateway.answer_instance(format_delegated_query(query))
        received = [
            exchange
            for servers in fixture.servers.values()
            for server in servers
            for exchange in server.received
        ]
        self.assertEqual(received, [])


class Cluster:
    """Front processes that use their retry budgets as fast as these allow."""

    def __init__(self, nursery):
        self.nursery = nursery
        self.clock = Clock()
        self.entries = [
            InstanceEntry(f"i{number}", "z0", f"10.0.0.{number}:1") for number in ALL
        ]
        self.processes = {}
        self.arrivals = []
        self.requested_ms = []

    def start(self, number, *, is_first_start=False, listed=ALL):
        """Start an instance, or restart it, with a list of instances."""
        entry = self.entries[number]
        settings = GatewaySettings(
            instance=entry.name,
            zone=entry.zone,
            callers_address="",
            ready_address="",
            store_address="",
            peers_address=entry.address,
            bounds=BOUNDS,
            is_first_start=is_first_start,
        )
        process = FrontProcess(settings, clock=self.clock, nursery=self.nursery)
        process.peers._make_pool = lambda server: None
        self.processes[number] = process
        self.list(number, listed)

    def list(self, number, listed):
        """Let an instance read a list of instances."""
        entries = [self.entries[item] for item in listed]
        self.processes[number].apply_instances(entries)

    async def run_for(self, duration_s):
        """Send requests evenly, and every extra sub-request that is granted."""
        for _ in range(round(duration_s / STEP_S)):
            for _ in range(round(REQUESTS_PER_S * STEP_S)):
                self._request()
            for process in self.processes.values():
                while process.budgets.try_spend(SERVICE, self.clock.now_ms()):
                    self._arrive()
            await trio.sleep(STEP_S)

    def _request(self):
        now_ms = self.clock.now_ms()
        number = sorted(self.processes)[len(self.requested_ms) % len(self.processes)]
        self.processes[number].budgets.of_service(SERVICE).record_primary(now_ms)
        self.requested_ms.append(now_ms)
        self._arrive()

    def _arrive(self):
        request_id = f"r{len(self.requested_ms)}"
        now_ms = self.clock.now_ms()
        self.arrivals.append(Execution(request_id, SERVICE, "s", now_ms))

    def fullest_window(self):
        """Return the largest share of the budget used in a window."""
        windows = extra_windows(
            self.arrivals,
            {SERVICE: self.requested_ms},
            window_ms=BOUNDS.extra_window_ms,
            ratio=BOUNDS.extra_ratio,
            allowance=BOUNDS.extra_allowance,
        )
        return max(window.extras / window.allowed for window in windows)


class SharedBudgetTest(unittest.TestCase):
    """The budget that all instances share, with more demand than it grants."""

    @trio_test
    async def test_calm_instances_use_most_of_the_budget(self):
        """Guards against a budget that is kept because nothing is sent again."""
        async with trio.open_nursery() as nursery:
            cluster = Cluster(nursery)
            for number in ALL:
                cluster.start(number)
            await cluster.run_for(40.0)
        self.assertLessEqual(cluster.fullest_window(), 1.0)
        self.assertGreater(cluster.fullest_window(), 0.5)

    @trio_test
    async def test_restarts_grant_the_budget_again(self):
        """Guards against spending that is forgotten by a restart within the window."""
        async with trio.open_nursery() as nursery:
            cluster = Cluster(nursery)
            for number in ALL:
                cluster.start(number)
            await cluster.run_for(20.0)
            for _ in range(4):
                for number in ALL:
                    cluster.start(number)
                await cluster.run_for(2.0)
            await cluster.run_for(15.0)
        self.assertLessEqual(cluster.fullest_window(), 1.0)

    @trio_test
    async def test_short_list_grants_larger_shares(self):
        """Guards against shares that grow while a list lacks live instances."""
        async with trio.open_nursery() as nursery:
            cluster = Cluster(nursery)
            for number in ALL:
                cluster.start(number)
            await cluster.run_for(15.0)
            for number in ALL:
                cluster.list(number, [number, (number + 1) % len(ALL)])
            await cluster.run_for(5.0)
            for number in ALL:
                cluster.list(number, ALL)
            await cluster.run_for(10.0)
        self.assertLessEqual(cluster.fullest_window(), 1.0)

    @trio_test
    async def test_list_that_stays_short_grants_larger_shares(self):
        """Guards against the same where a list has one instance for some windows."""
        async with trio.open_nursery() as nursery:
            cluster = Cluster(nursery)
            for number in ALL:
                cluster.start(number)
            await cluster.run_for(15.0)
            for _ in range(5):
                for number in ALL:
                    cluster.list(number, [number])
                await cluster.run_for(5.0)
        self.assertLessEqual(cluster.fullest_window(), 1.0)

    @trio_test
    async def test_list_that_fills_slowly_grants_larger_shares(self):
        """Guards against a joining instance that the others do not count yet."""
        async with trio.open_nursery() as nursery:
            cluster = Cluster(nursery)
            for number in ALL:
                cluster.start(number, is_first_start=True, listed=[number])
            await cluster.run_for(9.0)
            for number in ALL:
                cluster.list(number, ALL)
            await cluster.run_for(20.0)
        self.assertLessEqual(cluster.fullest_window(), 1.0)

    @trio_test
    async def test_instances_that_start_one_by_one_each_take_a_large_share(self):
        """Guards against shares of a list that is still being filled."""
        async with trio.open_nursery() as nursery:
            cluster = Cluster(nursery)
            for number in ALL:
                listed = range(number + 1)
                cluster.start(number, is_first_start=True, listed=listed)
                await cluster.run_for(0.5)
            for number in ALL:
                cluster.list(number, ALL)
            await cluster.run_for(20.0)
        self.assertLessEqual(cluster.fullest_window(), 1.0)


class CrashingRequestTest(unittest.TestCase):
    """A request that crashes the servers that run it, and comes again."""

    PATH = "/search/crash"

    async def check_copies(self, **options):
        """Send copies to all instances; few may reach servers after three crashes."""
        zones = TwoZones(gather_route(6), **options)
        zones.crash_on(self.PATH)
        async with zones.running():
            for number in range(60):
                zone = f"z{number % 2}"
                await zones.gateways[zone].answer(zones.request(self.PATH))
                self.assertEqual((await zones.send_request(zone)).status, 200)
                await trio.sleep(0.3)
        crashes = sorted(
            (item.sent_at_ms, item.request_id)
            for item in zones.received
            if item.reply is None
        )
        late_ms = crashes[2][0] + Bounds().contact_ms
        late = {request_id for sent_ms, request_id in crashes if sent_ms > late_ms}
        self.assertLessEqual(len(late), 3)

    @trio_test
    async def test_crashing_request_reaches_servers_again_and_again(self):
        """Guards against a crashed server for each copy of one request."""
        await self.check_copies()

    @trio_test
    async def test_restarted_instance_asks_which_requests_crash_servers(self):
        """Guards against a copy at servers for each instance that restarts."""
        zones = TwoZones(gather_route(6))
        zones.crash_on(self.PATH)
        async with zones.running():
            for _ in range(3):
                await zones.gateways["z0"].answer(zones.request(self.PATH))
            restarted = zones.restart("z1")
            restarted.request_known()
            await trio.sleep(0.1)
            received = len(zones.received)
            reply = await zones.gateways["z1"].answer(zones.request(self.PATH))
        self.assertEqual((reply.status, reply.reason), (503, "quarantined"))
        self.assertEqual(len(zones.received), received)

    @trio_test
    async def test_crashing_request_reaches_servers_through_coordinators(self):
        """Guards against the same where other instances run the queries."""
        await self.check_copies(delegates=True)
