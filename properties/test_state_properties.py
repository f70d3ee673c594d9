"""Properties of passing the store's state on, for any history of changes."""

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
FOLLOWERS = st.integers(0, 1)
STEPS = st.one_of(
    st.tuples(
        st.just("version"),
        st.lists(st.sampled_from("abcdef"), unique=True, max_size=6),
        st.integers(1, 3),
    ),
    st.tuples(st.just("server"), st.sampled_from(("i-1", "i-2")), st.integers(0, 2)),
    st.tuples(st.just("ask"), FOLLOWERS, st.just(True)),
    st.tuples(st.just("ask"), FOLLOWERS, st.just(False)),
    st.tuples(st.just("take"), FOLLOWERS, st.none()),
    st.tuples(st.just("elsewhere"), FOLLOWERS, st.integers(1, 2)),
    st.tuples(st.just("race"), FOLLOWERS, st.none()),
    st.tuples(st.just("turn"), FOLLOWERS, st.none()),
    st.tuples(st.just("restart"), st.none(), st.none()),
)


def configuration_of(version, names):
    """Return a version; the timeouts of its routes tell the version's parity."""
    routes = tuple(_route(name, 1000.0 + version % 2) for name in names)
    services = {"s": RoutedService("s", 10 + version % 3)}
    return Configuration(version, routes, services, CallerLimits())


def _route(name, timeout_ms):
    services = (WeightedService("s", 1.0),)
    kind = RequestKind.IDEMPOTENT
    return Route(name, "h", f"/{name}/", kind, timeout_ms, 100.0, 2, 0, services)


class Follower:
    """A front process that asks one source; answers may be taken late."""

    def __init__(self, clock, nursery):
        local = GatewaySettings("f", "z", "", "", "")
        self.process = FrontProcess(local, clock=clock, nursery=nursery)
        self.revision = 0
        self.waiting = None

    @property
    def configuration(self):
        table = self.process.gateway.table
        return None if table is None else table.configuration

    @property
    def servers(self):
        return {server.entry for server in self.process.registry.servers()}

    def asked(self):
        known = self.configuration
        return StateRequest(self.revision, 0 if known is None else known.version)

    def take(self, state):
        self.process.apply_state(state)
        self.revision = state.revision


class Play:
    """One history: the store's state, its source and those that follow it."""

    def __init__(self, nursery):
        self.clock = Clock()
        self.versions = [configuration_of(1, "ab")]
        self.servers = {}
        self.followers = [Follower(self.clock, nursery) for _ in range(2)]
        self.restart()

    @property
    def configuration(self):
        return self.versions[-1]

    def restart(self):
        """Replace the source by one that has only just started."""
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

    async def ask(self, follower):
        data = await self.source.answer(follower.asked())
        return decode_state(data, RelayedState)


class StateHistoryProperties(unittest.TestCase):
    """Whoever has asked last holds what the store holds."""

    def setUp(self):
        # Thousands of versions are put in force, and each is logged.
        log = logging.getLogger("ibisfront")
        self.addCleanup(log.setLevel, log.level)
        log.setLevel(logging.CRITICAL)

    @settings(max_examples=HISTORIES, deadline=None, derandomize=True)
    @given(st.lists(STEPS, min_size=12, max_size=30))
    def test_follower_that_asks_holds_what_the_store_holds(self, history):
        """An instance serves a mixture of two versions, or an old one for good.

        Versions and servers change while answers are on their way; a follower
        gets a version from elsewhere meanwhile, or turns to the source anew, and
        the source restarts and knows no earlier version.
        """
        trio.run(self._play, history, clock=MockClock(autojump_threshold=0.0))

    async def _play(self, history):
        async with trio.open_nursery() as nursery:
            play = Play(nursery)
            for step in history:
                await self._step(play, *step)
            for follower in play.followers:
                follower.revision = 0
                follower.take(await play.ask(follower))
                self._check(play, follower)
            nursery.cancel_scope.cancel()

    async def _step(self, play, kind, first, second):
        if kind == "version":
            play.put_version(first, second)
        elif kind == "server":
            play.put_server(first, second)
        elif kind == "restart":
            play.restart()
        else:
            await self._follow(play, kind, play.followers[first], second)

    async def _follow(self, play, kind, follower, how):
        if kind == "ask":
            state = await play.ask(follower)
            if how:
                follower.take(state)
                self._check(play, follower)
            else:
                follower.waiting = state
        elif kind == "take" and follower.waiting is not None:
            before = follower.configuration
            follower.take(follower.waiting)
            follower.waiting = None
            if before is not None:
                self.assertGreaterEqual(follower.configuration.version, before.version)
        elif kind == "elsewhere":
            # From one that may be a version behind.
            follower.process.apply_configuration(play.versions[-how:][0])
        elif kind == "race":
            # A version from elsewhere overtakes the change to the one after it.
            play.put_version("abc", 1)
            play.put_version("abd", 1)
            state = await play.ask(follower)
            follower.process.apply_configuration(play.versions[-2])
            follower.take(state)
        elif kind == "turn":
            follower.revision = 0

    def _check(self, play, follower):
        self.assertEqual(follower.configuration, play.configuration)
        self.assertEqual(follower.servers, set(play.servers.values()))
