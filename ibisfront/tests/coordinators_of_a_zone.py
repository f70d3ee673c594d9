"""Entry instances of one zone that choose between two coordinators, without sockets."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from types import SimpleNamespace

from ibisfront.gateway.instances.coordinators import Coordinators
from ibisfront.gateway.instances.directory import InstanceEntry, peer_entry
from ibisfront.gateway.load.coordinator_load import QueryLoad
from ibisfront.gateway.queries.delegation import Delegation
from ibisfront.gateway.servers.server_registry import ServerRegistry
from ibisfront.gateway.state.configuration import (
    CallerLimits,
    Configuration,
    RoutedService,
    RouteTable,
)
from ibisfront.testing.gateway_fixture import gather_route
from ibisfront.tests import TEST_SEED

ROUTE = gather_route(4)
USUAL_MS = 40.0


class _Pending:
    """A query that a coordinator runs."""

    expected_ms = 100.0

    def __init__(self, now_ms):
        self.waiting_since_ms = now_ms


class _Entry:
    """One entry instance."""

    def __init__(self, clock, listed):
        make_pool = lambda server: SimpleNamespace(has_room=True)  # noqa: E731
        peers = ServerRegistry(clock=clock, make_pool=make_pool, zone="z0")
        coordinators = Coordinators(listed[0])
        services = {name: RoutedService(name, 10) for name in ROUTE.service_names}
        configuration = Configuration(1, (ROUTE,), services, CallerLimits())
        coordinators.update(listed, RouteTable(configuration))
        for item in listed[1:]:
            peers.put(peer_entry(item))
        self.delegation = Delegation(
            registry=peers,
            peers=peers,
            zone="z0",
            coordinators=coordinators,
            clock=clock,
        )


class Zone:
    """A zone in mock time; query times are set per coordinator.

    Parameters
    ----------
    entries : int
        Number of entry instances.
    per_s : float
        Queries of each per second.
    """

    def __init__(self, *, entries=20, per_s=10.0, cores=(2.0, 2.0), shared=0.0):
        random.seed(TEST_SEED)
        self.now_ms = 10_000.0
        self.per_s = per_s
        self.shared = shared
        self.cores = {f"big-{number}": size for number, size in enumerate(cores)}
        self.names = tuple(f"big-{number}" for number in range(len(cores)))
        listed = [
            InstanceEntry(f"small-{number}", "z0", "", 0.1) for number in range(10)
        ]
        listed += [
            InstanceEntry(name, "z0", name, size)
            for name, size in zip(self.names, cores, strict=True)
        ]
        clock = SimpleNamespace(now_ms=lambda: self.now_ms)
        self.entries = [_Entry(clock, listed) for _ in range(entries)]
        self.factor = dict.fromkeys(self.names, 1.0)
        self.loads = {name: QueryLoad() for name in self.names}
        self.stuck = {}
        self.down = set()
        self.running = Counter()
        self.latencies_ms = []
        self._order = itertools.count()
        self._events = []
        for entry in self.entries:
            self._schedule(random.uniform(0, 1000.0 / per_s), self._arrive, entry)

    def run_ms(self, duration_ms):
        """Run; return how many queries each coordinator got."""
        until_ms = self.now_ms + duration_ms
        self.sent = Counter()
        self.latencies_ms = []
        while self._events[0][0] <= until_ms:
            self.now_ms, _, action, *arguments = heapq.heappop(self._events)
            action(*arguments)
        self.now_ms = until_ms
        return self.sent

    def share(self, duration_ms, name="big-0"):
        """Run; return a coordinator's share of the queries."""
        sent = self.run_ms(duration_ms)
        return sent[name] / max(sent.total(), 1)

    def _schedule(self, delay_ms, action, *arguments):
        heapq.heappush(
            self._events,
            (self.now_ms + delay_ms, next(self._order), action, *arguments),
        )

    def _arrive(self, entry):
        self._schedule(random.expovariate(self.per_s) * 1000.0, self._arrive, entry)
        plan = entry.delegation.plan_whole_query(ROUTE, ROUTE.gathering)
        if plan is None:
            return
        peer = plan.peer
        name = peer.entry.server_id
        self.sent[name] += 1
        exchange = _Pending(self.now_ms)
        peer.in_flight[exchange] = None
        if name in self.down:
            self._schedule(5.0, self._lose, peer, exchange)
            return
        self.loads[name].begin()
        self.running[name] += 1
        took_ms = USUAL_MS * self.factor[name] * random.uniform(0.9, 1.2)
        took_ms *= max(self.shared * self.running[name] / self.cores[name], 1.0)
        self._schedule(took_ms, self._reply, plan, exchange)

    def _lose(self, peer, exchange):
        del peer.in_flight[exchange]
        peer.record_unreachable(self.now_ms)
        self._schedule(250.0, peer.record_connected, self.now_ms + 250.0)

    def _reply(self, plan, exchange):
        peer = plan.peer
        name = peer.entry.server_id
        del peer.in_flight[exchange]
        self.running[name] -= 1
        took_ms = self.now_ms - exchange.waiting_since_ms
        self.latencies_ms.append(took_ms)
        peer.record_reply(
            self.now_ms, took_ms=took_ms, baseline_ms=plan.baseline.median_ms
        )
        load = self.loads[name]
        load.end()
        load.record_answer(
            self.now_ms,
            route="r",
            is_whole=True,
            began_at_ms=exchange.waiting_since_ms,
        )
        if getattr(plan, "choice", None) is not None:
            plan.choice.record_reply(name, took_ms / plan.baseline.median_ms)
            report = self.stuck.get(name) or load.report(self.now_ms)
            plan.choice.record_report(name, report, self.now_ms)
        plan.baseline.record_ms(took_ms)
