"""Properties of answers under arbitrary server faults.

No answer mixes snapshots, overstates its coverage or belongs to another caller.
"""

from __future__ import annotations

import unittest
from typing import NamedTuple

import msgspec
import trio
import trio.testing
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from ibisfront.core.errors import IbisfrontError
from ibisfront.testing.backend_types import SearchRow
from ibisfront.testing.faulty_server import FaultyNetwork, FaultyServer, ReplyFault
from ibisfront.testing.search_fixture import SearchFixture, server_address

SNAPSHOTS = ("snapshot-0", "snapshot-1", "snapshot-2")
SERVICES = 4
SERVERS = 2
LATEST_MS = 200.0

times_ms = st.floats(0.0, LATEST_MS)
held = st.lists(st.sampled_from(SNAPSHOTS), min_size=1, unique=True).map(tuple)
scripts = st.lists(st.sampled_from(ReplyFault), min_size=1, max_size=6)
partition_maps = st.sets(st.integers(0, SERVICES - 1), min_size=1).map(
    lambda numbers: tuple(f"s{number}" for number in sorted(numbers))
)


class Publication(NamedTuple):
    """The publication of an index: its snapshots with their partition maps."""

    at_ms: float
    snapshots: tuple[tuple[str, tuple[str, ...]], ...]


class SnapshotChange(NamedTuple):
    """A change of the snapshots that a server holds."""

    at_ms: float
    server: int
    held: tuple[str, ...]


class Search(NamedTuple):
    """One search of a caller."""

    at_ms: float
    deadline_ms: float
    prefers: str


publications = st.builds(
    Publication,
    times_ms,
    st.lists(
        st.tuples(st.sampled_from(SNAPSHOTS), partition_maps),
        min_size=1,
        unique_by=lambda item: item[0],
    ).map(tuple),
)
changes = st.builds(
    SnapshotChange, times_ms, st.integers(0, SERVICES * SERVERS - 1), held
)
searches = st.builds(
    Search, times_ms, st.floats(20.0, 400.0), st.sampled_from(("latency", "coverage"))
)


class Scenario(NamedTuple):
    """The events of one run."""

    scripts: list
    held: list
    publications: list
    changes: list
    searches: list


scenarios = st.builds(
    Scenario,
    st.lists(scripts, min_size=SERVICES * SERVERS, max_size=SERVICES * SERVERS),
    st.lists(held, min_size=SERVICES * SERVERS, max_size=SERVICES * SERVERS),
    st.lists(publications, max_size=4),
    st.lists(changes, max_size=6),
    st.lists(searches, min_size=1, max_size=8),
)


class ScenarioRun:
    """Runs one scenario and checks each answer."""

    def __init__(self, test, scenario):
        self.test = test
        self.scenario = scenario
        self.fixture = SearchFixture(services=SERVICES, servers=SERVERS)
        self.maps = {("snapshot-1", self.fixture.services)}
        self.servers = []

    async def run(self):
        """Run the scenario to its end."""
        async with trio.open_nursery() as nursery:
            network = FaultyNetwork(self.fixture.clock, nursery)
            self.add_servers(network)
            async with self.fixture.maintenance(), trio.open_nursery() as events:
                for publication in self.scenario.publications:
                    events.start_soon(self.publish, publication)
                for change in self.scenario.changes:
                    events.start_soon(self.change, change)
                for number, search in enumerate(self.scenario.searches):
                    events.start_soon(self.search, f"m{number}", search)
            nursery.cancel_scope.cancel()

    def add_servers(self, network):
        """Connect the fixture to the servers of the scenario."""
        for number, (faults, snapshots) in enumerate(
            zip(self.scenario.scripts, self.scenario.held, strict=True)
        ):
            service = f"s{number // SERVERS}"
            server = FaultyServer(
                service, snapshots=snapshots, faults=faults, clock=self.fixture.clock
            )
            self.servers.append(server)
            network.servers[server_address(service, number % SERVERS)] = server
        self.fixture.reconnect_with(network.open_connection)

    async def publish(self, publication):
        """Publish an index."""
        await self.fixture.clock.sleep_ms(publication.at_ms)
        self.maps.update(publication.snapshots)
        self.fixture.publish(*publication.snapshots)

    async def change(self, change):
        """Change the snapshots that a server holds."""
        await self.fixture.clock.sleep_ms(change.at_ms)
        self.servers[change.server].snapshots = change.held

    async def search(self, marker, search):
        """Run one search and check its answer."""
        await self.fixture.clock.sleep_ms(search.at_ms)
        started_ms = self.fixture.clock.now_ms()
        try:
            answer = await self.fixture.search(
                marker, deadline_ms=search.deadline_ms, prefers=search.prefers
            )
        except IbisfrontError:
            return
        finally:
            took_ms = self.fixture.clock.now_ms() - started_ms
            self.test.assertLessEqual(took_ms, search.deadline_ms + 1e-6)
        self.check(marker, answer)

    def check(self, marker, answer):
        """Check that an answer is consistent, accurate and the caller's own."""
        rows = [msgspec.json.decode(row, type=SearchRow) for row in answer.results]
        answered = sorted(row.service for row in rows)
        missing = [item.service for item in answer.coverage.missing]
        test = self.test
        test.assertEqual({row.request for row in rows}, {marker})
        test.assertEqual({row.snapshot for row in rows}, {answer.snapshot})
        test.assertEqual(len(set(answered)), len(answered))
        test.assertEqual(answer.coverage.answered, len(answered))
        test.assertEqual(answer.coverage.total, answer.coverage.answered + len(missing))
        services = tuple(sorted([*answered, *missing]))
        test.assertIn((answer.snapshot, services), self.maps)


class AnswerPropertiesTest(unittest.TestCase):
    """Random interleavings of replies, losses, duplicates and repartitions."""

    @settings(
        max_examples=100,
        deadline=None,
        derandomize=True,
        suppress_health_check=[HealthCheck.too_slow],
    )
    @given(scenarios)
    def test_answers_are_consistent_accurate_and_the_callers_own(self, scenario):
        """Guards against rows of two snapshots, or of another caller's search.

        Replies arrive late, twice, swapped or never, servers answer from other
        snapshots, and the index is repartitioned during searches. Each answer
        must hold rows of one snapshot for its own request only, and its
        coverage must count exactly the services whose rows it holds.
        """
        clock = trio.testing.MockClock(autojump_threshold=0.0)
        trio.run(ScenarioRun(self, scenario).run, clock=clock)
