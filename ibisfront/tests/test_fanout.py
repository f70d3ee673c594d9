"""Tests of whole searches: snapshots, coverage, deadlines, retries, tail."""

from __future__ import annotations

import unittest

import msgspec
import trio

from ibisfront.core.counters import CounterKind
from ibisfront.core.coverage import MissingReason
from ibisfront.core.errors import ErrorKind, IbisfrontError
from ibisfront.core.service import BackendServer
from ibisfront.core.service_state import RETRY_BURST
from ibisfront.core.settings import QuerySettings
from ibisfront.testing.backend_state import FakeBackend
from ibisfront.testing.backend_types import SearchRow
from ibisfront.testing.search_fixture import SearchFixture
from ibisfront.tests import trio_test


def rows_of(answer):
    """Return the rows of an answer, decoded."""
    return [msgspec.json.decode(row, type=SearchRow) for row in answer.results]


def missing_of(answer):
    """Return the reasons of what is missing, by service."""
    return {item.service: item.reason for item in answer.coverage.missing}


class SnapshotTest(unittest.TestCase):
    """Every answer comes from one snapshot and says what it covers."""

    @trio_test
    async def test_search_starts_again_when_its_snapshot_is_dropped(self):
        """A buyer sees half of the listings after each publication.

        The servers of ``s1`` have dropped the pinned snapshot and hold the
        next one; ``s0`` holds both. Its part was reported missing although a
        whole answer from the other snapshot was to be had in time.
        """
        fixture = SearchFixture()
        names = fixture.services
        for number in range(2):
            fixture.server("s1", number).set_snapshots(("snapshot-0",))
            fixture.server("s0", number).set_snapshots(("snapshot-0", "snapshot-1"))
        fixture.publish(("snapshot-0", names), ("snapshot-1", names))
        answer = await fixture.search()
        self.assertEqual(answer.snapshot, "snapshot-0")
        self.assertEqual((answer.coverage.answered, answer.coverage.total), (2, 2))
        self.assertEqual({row.snapshot for row in rows_of(answer)}, {"snapshot-0"})
        self.assertEqual(fixture.count(CounterKind.RETRIES, "snapshot_restart"), 1)

    @trio_test
    async def test_what_servers_say_they_hold_decides_the_next_pin(self):
        fixture = SearchFixture()
        names = fixture.services
        for number in range(2):
            fixture.server("s1", number).set_snapshots(("snapshot-0",))
            fixture.server("s0", number).set_snapshots(("snapshot-0", "snapshot-1"))
        fixture.publish(("snapshot-0", names), ("snapshot-1", names))
        await fixture.search()
        sent = fixture.network.sent.total()
        answer = await fixture.search()
        self.assertEqual(answer.snapshot, "snapshot-0")
        self.assertEqual(fixture.network.sent.total() - sent, 2)

    @trio_test
    async def test_part_is_missing_when_no_other_snapshot_covers_more(self):
        fixture = SearchFixture()
        for number in range(2):
            fixture.server("s1", number).set_snapshots(("unpublished",))
        answer = await fixture.search()
        self.assertEqual(missing_of(answer), {"s1": MissingReason.SNAPSHOT_GONE})
        self.assertEqual((answer.coverage.answered, answer.coverage.total), (1, 2))

    @trio_test
    async def test_other_replica_that_holds_the_snapshot_is_asked(self):
        """A household is missing while one replica still loads the register.

        One server of ``s1`` does not hold the snapshot yet and says so; the
        other one does. The part was reported missing without asking it.
        """
        fixture = SearchFixture()
        fixture.server("s1", 0).set_snapshots(("unpublished",))
        for _ in range(4):
            answer = await fixture.search()
            self.assertEqual(answer.coverage.answered, 2)

    @trio_test
    async def test_repartition_while_a_search_runs_keeps_its_map(self):
        """A register is split from two services into three during a search.

        Coverage was to be counted from the map in force at the start: rows of
        the new partition would be doubles of rows that the old ones gave.
        """
        fixture = SearchFixture(services=3)
        fixture.publish(("snapshot-1", ("s0", "s1")))
        answers = []
        async with trio.open_nursery() as nursery:

            async def search():
                answers.append(await fixture.search())

            nursery.start_soon(search)
            await fixture.clock.sleep_ms(3.0)
            fixture.publish(("snapshot-1", ("s0", "s1", "s2")))
        self.assertEqual(answers[0].coverage.total, 2)
        self.assertEqual({row.service for row in rows_of(answers[0])}, {"s0", "s1"})

    @trio_test
    async def test_a_row_without_a_usable_score_is_a_wrong_reply(self):
        """One faulty server fails a whole search with an internal error.

        Its rows carry a text as score. The error surfaced only when all rows
        were sorted, and the caller got a 500 in place of the other parts.
        """
        fixture = SearchFixture()
        for number in range(2):
            faulty = _FaultyBackend("s1", f"s1-{number}", clock=fixture.clock)
            fixture.network.add(f"s1-{number}:1", faulty)
        answer = await fixture.search()
        self.assertEqual(missing_of(answer), {"s1": MissingReason.WRONG_REPLY})


class _BadRow(msgspec.Struct):
    score: str


class _BadResult(msgspec.Struct):
    snapshot: str
    rows: list[_BadRow]


class _FaultyBackend(FakeBackend):
    """Answers with a text where the score should be."""

    def _search(self, work):
        return _BadResult(work.snapshot, [_BadRow("x")])


class OwnRepliesTest(unittest.TestCase):
    """A caller never gets a part of another's answer."""

    @trio_test
    async def test_cancelled_search_closes_its_connections(self):
        """A reply that comes after its caller left reaches the next caller.

        The first caller disconnects while both servers work. Its connections
        will bring its replies later; they are closed and not used again.
        """
        fixture = SearchFixture(servers=1)
        with fixture.clock.timeout_ms(8.0):
            await fixture.search("left")
        used = [
            connection
            for address in fixture.network.backends
            for connection in fixture.network.open_to(address)
        ]
        self.assertEqual(used, [])
        self.assertEqual([pool.in_flight for pool in pools_of(fixture)], [0, 0])
        answer = await fixture.search("stays")
        self.assertEqual({row.request for row in rows_of(answer)}, {"stays"})

    @trio_test
    async def test_ids_are_never_used_twice(self):
        """Two copies of one request carry the same X-Request-Id.

        The caller chose it. Were the sub-requests named after it alone, a
        late reply to the first copy would pass for one to the second.
        """
        fixture = SearchFixture(servers=1)
        await fixture.search()
        await fixture.search()
        ids = [
            set(backend.runs.counts) for backend in fixture.network.backends.values()
        ]
        self.assertEqual([len(item) for item in ids], [2, 2])


class DeadlineTest(unittest.TestCase):
    """Answers come in time, and work that cannot is not sent."""

    @trio_test
    async def test_partial_answer_comes_before_the_deadline(self):
        """A lookup misses the van although most of the register answered.

        One service is frozen. The search ended at the caller's deadline, when
        the caller had already gone; it has to end before, less the way back.
        """
        fixture = SearchFixture()
        for number in range(2):
            fixture.set_faults("s1", number, frozen=True)
        started_ms = fixture.clock.now_ms()
        answer = await fixture.search(deadline_ms=500.0)
        self.assertLessEqual(fixture.clock.now_ms() - started_ms, 495.0 + 1e-6)
        self.assertEqual(missing_of(answer), {"s1": MissingReason.TIMED_OUT})

    @trio_test
    async def test_work_that_cannot_make_it_is_not_sent(self):
        """Servers work on answers that nobody will wait for.

        A service never answers in less than 5 ms. A search that has 3 ms left
        was sent all the same and took slots from searches with more time.
        """
        fixture = SearchFixture()
        for _ in range(120):
            await fixture.search()
        sent = fixture.network.sent.total()
        with self.assertRaises(IbisfrontError) as caught:
            await fixture.search(deadline_ms=8.0)
        self.assertEqual(caught.exception.kind, ErrorKind.NO_COVERAGE)
        self.assertEqual(fixture.network.sent.total(), sent)

    @trio_test
    async def test_search_that_prefers_latency_leaves_a_straggler(self):
        """The desk waits two seconds for one service of twenty.

        Nineteen have answered within milliseconds and one hangs. A purpose
        that prefers latency returns without it and says so; one that prefers
        coverage waits until its deadline.
        """
        fixture = SearchFixture(services=20)
        for number in range(2):
            fixture.set_faults("s7", number, frozen=True)
        started_ms = fixture.clock.now_ms()
        answer = await fixture.search(deadline_ms=2_000.0, prefers="latency")
        self.assertLess(fixture.clock.now_ms() - started_ms, 250.0)
        self.assertEqual(answer.coverage.answered, 19)
        started_ms = fixture.clock.now_ms()
        await fixture.search(deadline_ms=2_000.0, prefers="coverage")
        self.assertGreater(fixture.clock.now_ms() - started_ms, 1_900.0)


class RetryTest(unittest.TestCase):
    """Retries where they help, inside one budget."""

    @trio_test
    async def test_killed_server_costs_no_coverage(self):
        """Households vanish from answers whenever one replica dies.

        One of two servers is killed between searches. Connecting to it is
        refused, which cannot have run anything, so the other one is asked and
        the dead one is left alone.
        """
        fixture = SearchFixture()
        await fixture.search()
        fixture.network.kill("s1-0:1")
        for _ in range(10):
            answer = await fixture.search()
            self.assertEqual(answer.coverage.answered, 2)
        self.assertLessEqual(fixture.extra_sent(11), 2)

    @trio_test
    async def test_outage_of_a_service_adds_at_most_a_tenth(self):
        """A service that is down gets three times its usual load.

        Every server of ``s1`` fails each request, and each failure was tried
        again: just when the service could do least. The budget keeps the
        extra sub-requests to a tenth of the first ones.
        """
        searches = 400
        for policy, bound in (("adaptive", 0.1), ("baseline", None)):
            with self.subTest(policy=policy):
                fixture = SearchFixture(query=QuerySettings(policy=policy))
                for number in range(2):
                    fixture.set_faults("s1", number, fail_fraction=1.0)
                for _ in range(searches):
                    await fixture.search()
                extra = fixture.extra_sent(searches)
                if bound is None:
                    self.assertEqual(extra, 2 * searches)
                else:
                    burst = RETRY_BURST
                    self.assertLessEqual(extra, bound * searches + burst)

    @trio_test
    async def test_draining_server_gets_no_new_work(self):
        """A leaving server goes on getting lookups and refuses them.

        It refuses one request as ``draining``; that one is answered by the
        other server, and no further one is sent to the leaving one.
        """
        fixture = SearchFixture()
        fixture.set_faults("s1", 0, draining=True)
        for _ in range(20):
            answer = await fixture.search()
            self.assertEqual(answer.coverage.answered, 2)
        self.assertLessEqual(fixture.server("s1", 0).state().counts.refused_draining, 1)

    @trio_test
    async def test_draining_server_told_by_another_part_gets_no_new_work(self):
        fixture = SearchFixture()
        await fixture.search()
        fixture.pools.record_draining("s1-0")
        sent = fixture.network.sent["s1-0:1"]
        for _ in range(10):
            await fixture.search()
        self.assertEqual(fixture.network.sent["s1-0:1"], sent)

    @trio_test
    async def test_server_registered_as_draining_gets_no_new_work(self):
        fixture = SearchFixture()
        await fixture.search()
        sent = fixture.network.sent["s1-0:1"]
        fixture.publish_service(
            "s1",
            (
                BackendServer("s1-0", "s1-0:1", "z1", "draining"),
                BackendServer("s1-1", "s1-1:1", "z2"),
            ),
        )
        for _ in range(10):
            answer = await fixture.search()
            self.assertEqual(answer.coverage.answered, 2)
        self.assertEqual(fixture.network.sent["s1-0:1"], sent)

    @trio_test
    async def test_malformed_request_is_not_tried_again(self):
        fixture = SearchFixture()
        for number in range(2):
            fixture.server("s1", number).service = "other"
        answer = await fixture.search()
        self.assertEqual(missing_of(answer), {"s1": MissingReason.REFUSED})
        self.assertEqual(fixture.extra_sent(1), 0)


def pools_of(fixture):
    """Return the first pool of each service."""
    return [fixture.pool(service, 0) for service in fixture.services]
