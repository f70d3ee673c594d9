"""Properties of the state relay, for arbitrary histories of changes."""

from __future__ import annotations

import logging
import unittest

import trio
from hypothesis import given, settings
from hypothesis import strategies as st
from trio.testing import MockClock

from ibisfront.core.clock import Clock
from ibisfront.front.process import FrontProcess
from ibisfront.gateway.servers.server_entry import ServerEntry
from ibisfront.gateway.settings import GatewaySettings
from ibisfront.gateway.state.configuration import (
    CallerLimits,
    Configuration,
    RequestKind,
    Route,
    RoutedService,
    WeightedService,
)
from ibisfront.gateway.state.state_codec import decode_state
from ibisfront.gateway.state.state_relay import (
    LocalState,
    RelayedState,
    StateRequest,
    StateSource,
)

HISTORIES = 400
SUBSCRIBERS = st.integers(0, 1)
STEPS = st.one_of(
    st.tuples(
        st.just("version"),
        st.lists(st.sampled_from("abcdef"), unique=True, max_size=6),
        st.integers(1, 3),
    ),
    st.tuples(st.just("server"), st.sampled_from(("i-1", "i-2")), st.integers(0, 2)),
    st.tuples(st.just("ask"), SUBSCRIBERS, st.just(True)),
    st.tuples(st.just("ask"), SUBSCRIBERS, st.just(False)),
    st.tuples(st.just("take"), SUBSCRIBERS, st.none()),
    st.tuples(st.just("elsewhere"), SUBSCRIBERS, st.integers(1, 2)),
    st.tuples(st.just("race"), SUBSCRIBERS, st.none()),
    st.tuples(st.just("turn"), SUBSCRIBERS, st.none()),
    st.tuples(st.just("restart"), st.none(), st.none()),
)


def configuration_of(version, names):
    """Return a version; the timeouts of its routes encode the version's parity."""
    routes = tuple(_route(name, 1000.0 + version % 2) for name in names)
    services = {"s": RoutedService("s", 10 + version % 3)}
    return Configuration(version, routes, services, CallerLimits())


def _route(name, timeout_ms):
    services = (WeightedService("s", 1.0),)
    kind = RequestKind.IDEMPOTENT
    return Route(name, "h", f"/{name}/", kind, timeout_ms, 100.0, 2, 0, services)


class Subscriber:
    """A front process subscribed to one source; responses may be applied late."""

    def __init__(self, clock, nursery):
        local = GatewaySettings("f", "z", "", "", "")
        self.process = FrontProcess(local, clock=clock, nursery=nursery)
        self.revision = 0
        self.pending = None

    @property
    def configuration(self):
        table = self.process.gateway.table
        return None if table is None else table.configuration

    @property
    def servers(self):
        return {server.entry for server in self.process.registry.servers()}

    def request(self):
        configuration = self.configuration
        return StateRequest(
            self.revision, 0 if configuration is None else configuration.version
        )

    def apply(self, state):
        self.process.apply_state(state)
        self.revision = state.revision


class Scenario:
    """One history: the store's state, a source and its subscribers."""

    def __init__(self, nursery):
        self.clock = Clock()
        self.versions = [configuration_of(1, "ab")]
        self.servers = {}
        self.subscribers = [Subscriber(self.clock, nursery) for _ in range(2)]
        self.restart()

    @property
    def configuration(self):
        return self.versions[-1]

    def restart(self):
        """Replace the source by one that has just started."""
        self.source = StateSource(
            state=lambda: LocalState(
                self.configuration, list(self.servers.values()), []
            ),
            is_fresh=lambda: True,
            may_become_fresh=lambda: False,
            is_cut_off=lambda: False,
            clock=self.clock,
        )
        self.source.record_change()

    def put_version(self, names, more):
        version = self.configuration.version + more
        self.versions.append(configuration_of(version, names))
        self.source.record_change()

    def put_server(self, server_id, port):
        """Write a server's entry; port 0 removes it."""
        address = f"10.0.0.1:{8000 + port}"
        self.servers[server_id] = ServerEntry(server_id, "elsewhere", address, "z")
        if not port:
            del self.servers[server_id]
        self.source.record_change()

    async def request_state(self, subscriber):
        data = await self.source.answer(subscriber.request())
        return decode_state(data, RelayedState)


class StateHistoryProperties(unittest.TestCase):
    """After its last request a subscriber has the same state as the store."""

    def setUp(self):
        # Thousands of versions are activated, and each is logged.
        log = logging.getLogger("ibisfront")
        self.addCleanup(log.setLevel, log.level)
        log.setLevel(logging.CRITICAL)

    @settings(max_examples=HISTORIES, deadline=None, derandomize=True)
    @given(st.lists(STEPS, min_size=12, max_size=30))
    def test_subscriber_converges_to_the_store(self, history):
        """Guards against a mixture of two versions, or an old one for good.

        Versions and servers change while responses are pending. Meanwhile a subscriber
        gets a version from another source or starts a new subscription, and the source
        restarts without earlier versions.
        """
        trio.run(self._run_scenario, history, clock=MockClock(autojump_threshold=0.0))

    async def _run_scenario(self, history):
        async with trio.open_nursery() as nursery:
            scenario = Scenario(nursery)
            for step in history:
                await self._step(scenario, *step)
            for subscriber in scenario.subscribers:
                subscriber.revision = 0
                subscriber.apply(await scenario.request_state(subscriber))
                self._check(scenario, subscriber)
            nursery.cancel_scope.cancel()

    async def _step(self, scenario, kind, first, second):
        if kind == "version":
            scenario.put_version(first, second)
        elif kind == "server":
            scenario.put_server(first, second)
        elif kind == "restart":
            scenario.restart()
        else:
            await self._subscriber_step(
                scenario, kind, scenario.subscribers[first], second
            )

    async def _subscriber_step(self, scenario, kind, subscriber, argument):
        if kind == "ask":
            state = await scenario.request_state(subscriber)
            if argument:
                subscriber.apply(state)
                self._check(scenario, subscriber)
            else:
                subscriber.pending = state
        elif kind == "take" and subscriber.pending is not None:
            before = subscriber.configuration
            subscriber.apply(subscriber.pending)
            subscriber.pending = None
            if before is not None:
                self.assertGreaterEqual(
                    subscriber.configuration.version, before.version
                )
        elif kind == "elsewhere":
            # From another source, which may be a version behind.
            subscriber.process.apply_configuration(scenario.versions[-argument:][0])
        elif kind == "race":
            # A version from another source arrives before the change to the next one.
            scenario.put_version("abc", 1)
            scenario.put_version("abd", 1)
            state = await scenario.request_state(subscriber)
            subscriber.process.apply_configuration(scenario.versions[-2])
            subscriber.apply(state)
        elif kind == "turn":
            subscriber.revision = 0

    def _check(self, scenario, subscriber):
        self.assertEqual(subscriber.configuration, scenario.configuration)
        self.assertEqual(subscriber.servers, set(scenario.servers.values()))
