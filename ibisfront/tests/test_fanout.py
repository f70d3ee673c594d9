"""Tests of complete searches: snapshots, coverage, deadlines, retries, tail."""

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


def missing_reasons(answer):
    """Return the reason for each missing service."""
    return {item.service: item.reason for item in answer.coverage.missing}


class SnapshotTest(unittest.TestCase):
    """Every answer comes from one snapshot and reports its coverage."""

    @trio_test
    async def test_search_starts_again_when_its_snapshot_is_dropped(self):
        """Guards against partial answers after each publication.

        The servers of ``s1`` do not hold the pinned snapshot but another one;
        those of ``s0`` hold both. The part of ``s1`` was reported missing,
        although the other snapshot gives a complete answer in time.
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
    async def test_reported_snapshots_determine_the_next_pin(self):
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
        self.assertEqual(missing_reasons(answer), {"s1": MissingReason.SNAPSHOT_GONE})
        self.assertEqual((answer.coverage.answered, answer.coverage.total), (1, 2))

    @trio_test
    async def test_other_replica_that_holds_the_snapshot_is_asked(self):
        """Guards against a missing part while one replica loads the index.

        One server of ``s1`` reports that it does not hold the snapshot yet;
        the other one does. The part was reported missing without a retry on
        the other server.
        """
        fixture = SearchFixture()
        fixture.server("s1", 0).set_snapshots(("unpublished",))
        for _ in range(4):
            answer = await fixture.search()
            self.assertEqual(answer.coverage.answered, 2)

    @trio_test
    async def test_repartition_while_a_search_runs_keeps_its_map(self):
        """Guards against duplicate rows when an index is split during a search.

        Coverage is counted from the partition map pinned at the start: rows of
        the new partition would duplicate rows of the old ones.
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
        """Guards against one faulty server failing a search with a 500.

        Its rows have a string as score. The error was raised only when all
        rows were sorted, and the caller lost the other parts as well.
        """
        fixture = SearchFixture()
        for number in range(2):
            faulty = _FaultyBackend("s1", f"s1-{number}", clock=fixture.clock)
            fixture.network.add(f"s1-{number}:1", faulty)
        answer = await fixture.search()
        self.assertEqual(missing_reasons(answer), {"s1": MissingReason.WRONG_REPLY})


class _InvalidRow(msgspec.Struct):
    score: str


class _InvalidResult(msgspec.Struct):
    snapshot: str
    rows: list[_InvalidRow]


class _FaultyBackend(FakeBackend):
    """Answers with a string instead of a numeric score."""

    def _search(self, work):
        return _InvalidResult(work.snapshot, [_InvalidRow("x")])


class OwnRepliesTest(unittest.TestCase):
    """A caller never gets a part of another caller's answer."""

    @trio_test
    async def test_cancelled_search_closes_its_connections(self):
        """Guards against delivering a late reply to the next caller.

        The first caller disconnects while both servers work. Its replies will
        still arrive on its connections, so these are closed and not reused.
        """
        fixture = SearchFixture(servers=1)
        with fixture.clock.timeout_ms(8.0):
            await fixture.search("left")
        open_connections = [
            connection
            for address in fixture.network.backends
            for connection in fixture.network.open_to(address)
        ]
        self.assertEqual(open_connections, [])
        self.assertEqual([pool.in_flight for pool in pools_of(fixture)], [0, 0])
        answer = await fixture.search("stays")
        self.assertEqual({row.request for row in rows_of(answer)}, {"stays"})

    @trio_test
    async def test_ids_are_never_used_twice(self):
        """Guards against mixing up replies to two copies of one request.

        Both copies carry the X-Request-Id that the caller chose. If it alone
        identified the sub-requests, a late reply to the first copy would be
        accepted for the second.
        """
        fixture = SearchFixture(servers=1)
        await fixture.search()
        await fixture.search()
        ids = [
            set(backend.runs.counts) for backend in fixture.network.backends.values()
        ]
        self.assertEqual([len(item) for item in ids], [2, 2])


class DeadlineTest(unittest.TestCase):
    """Answers arrive in time; work that cannot finish in time is not sent."""

    @trio_test
    async def test_partial_answer_comes_before_the_deadline(self):
        """Guards against partial answers that arrive after the deadline.

        One service is frozen. A search that waits until the caller's deadline
        answers too late; it must end earlier by the time to return the answer.
        """
        fixture = SearchFixture()
        for number in range(2):
            fixture.set_faults("s1", number, frozen=True)
        started_ms = fixture.clock.now_ms()
        answer = await fixture.search(deadline_ms=500.0)
        self.assertLessEqual(fixture.clock.now_ms() - started_ms, 495.0 + 1e-6)
        self.assertEqual(missing_reasons(answer), {"s1": MissingReason.TIMED_OUT})

    @trio_test
    async def test_work_that_cannot_finish_in_time_is_not_sent(self):
        """Guards against backend work on answers that will be too late.

        A service never answers in less than 5 ms. A search with 3 ms left was
        sent nevertheless and occupied slots that other searches needed.
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
    async def test_search_that_prefers_latency_does_not_wait_for_a_straggler(self):
        """Guards against waiting two seconds for one service of twenty.

        Nineteen services answer within milliseconds and one hangs. A purpose
        that prefers latency returns a partial answer; one that prefers
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
    """Retries are sent where they help, within one budget."""

    @trio_test
    async def test_killed_server_costs_no_coverage(self):
        """Guards against partial answers whenever one replica dies.

        One of two servers is killed between searches. A refused connection
        cannot have run the request, so the other server is tried and the dead
        one gets no further requests.
        """
        fixture = SearchFixture()
        await fixture.search()
        fixture.network.kill("s1-0:1")
        for _ in range(10):
            answer = await fixture.search()
            self.assertEqual(answer.coverage.answered, 2)
        self.assertLessEqual(fixture.extra_sub_requests(11), 2)

    @trio_test
    async def test_outage_of_a_service_adds_at_most_a_tenth(self):
        """Guards against retries that triple the load of a failing service.

        Every server of ``s1`` fails each request. Without a budget each
        failure is retried; the budget limits the extra sub-requests to a
        tenth of the primary ones.
        """
        searches = 400
        for policy, bound in (("adaptive", 0.1), ("baseline", None)):
            with self.subTest(policy=policy):
                fixture = SearchFixture(query=QuerySettings(policy=policy))
                for number in range(2):
                    fixture.set_faults("s1", number, fail_fraction=1.0)
                for _ in range(searches):
                    await fixture.search()
                extra = fixture.extra_sub_requests(searches)
                if bound is None:
                    self.assertEqual(extra, 2 * searches)
                else:
                    burst = RETRY_BURST
                    self.assertLessEqual(extra, bound * searches + burst)

    @trio_test
    async def test_draining_server_gets_no_new_work(self):
        """Guards against searches sent to a server that is draining.

        It refuses one request as ``draining``; the other server answers that
        request, and no further one is sent to the draining server.
        """
        fixture = SearchFixture()
        fixture.set_faults("s1", 0, draining=True)
        for _ in range(20):
            answer = await fixture.search()
            self.assertEqual(answer.coverage.answered, 2)
        self.assertLessEqual(fixture.server("s1", 0).state().counts.refused_draining, 1)

    @trio_test
    async def test_draining_server_reported_by_another_part_gets_no_new_work(self):
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
        self.assertEqual(missing_reasons(answer), {"s1": MissingReason.REFUSED})
        self.assertEqual(fixture.extra_sub_requests(1), 0)


def pools_of(fixture):
    """Return the first connection pool of each service."""
    return [fixture.pool(service, 0) for service in fixture.services]
