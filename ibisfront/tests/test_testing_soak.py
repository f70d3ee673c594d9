"""Tests of the soak: its checks find broken promises, and a short run passes."""

from __future__ import annotations

import signal
import tempfile
import unittest
from pathlib import Path

import psutil
import trio

from ibisfront.testing.processes import RunningProcess
from ibisfront.testing.soak.callers import Outcome, RequestPath
from ibisfront.testing.soak.checks import (
    Shape,
    Span,
    check_answers,
    check_budget,
    check_drained,
    check_orders,
    check_stops,
    check_versions,
)
from ibisfront.testing.soak.faults import draw_faults
from ibisfront.testing.soak.proxy import FaultyProxy, ProxyFault
from ibisfront.testing.soak.servers import Ran, part_records, signature
from ibisfront.testing.soak.world import SoakWorld, require_own_ids
from ibisfront.tests import trio_test_real_clock

SHAPE = Shape((("a", "b", "c", "d"), ("e", "f", "g", "h")), top_count=3)


def search(services, request_id="r1", *, missing=0, records_of=None, **changes):
    """Return the outcome of a search that was answered with these parts."""
    stamps = [signature(name, request_id) for name in services]
    records = [
        record
        for name in (records_of or services)
        for record in part_records(name, request_id)
    ]
    fields = {
        "request_id": request_id,
        "path": RequestPath.SEARCH,
        "front": "front-0#1",
        "sent_at_ms": 0.0,
        "ended_at_ms": 1.0,
        "status": 200,
        "headers": {
            b"x-shard-stamps": ", ".join(stamps).encode(),
            b"x-shards-missing": str(missing).encode(),
        },
        "body": b"".join(sorted(records, reverse=True)[: SHAPE.top_count]),
    }
    return Outcome(**{**fields, **changes})


def order(status, request_id="r1"):
    """Return the outcome of a request that must not be repeated."""
    return Outcome(request_id, RequestPath.ORDER, "front-0#1", 0.0, 1.0, status)


def ran(service, request_id="r1", server_id="i1", at_ms=0.0):
    """Return a run of a request."""
    return Ran(request_id, service, server_id, at_ms)


class ChecksTest(unittest.TestCase):
    """Each check finds the broken promise that it is there for."""

    def broken(self, outcome):
        return [item.detail for item in check_answers([outcome], SHAPE)]

    def test_true_answers_pass(self):
        self.assertEqual(self.broken(search("abcd")), [])
        self.assertEqual(self.broken(search("efg", missing=1)), [])

    def test_wrong_searches_are_found(self):
        for outcome, detail in (
            (search("abef"), "parts of no one version"),
            (search("aab", missing=1), "a service twice"),
            (search("abc"), "3 parts and 0 missing of 4"),
            (search("a", missing=3), "only 1 of 4"),
            (search("abcd", records_of="a"), "not the greatest records"),
        ):
            with self.subTest(detail):
                self.assertIn(detail, self.broken(outcome)[0])

    def test_parts_of_another_request_are_found(self):
        outcome = search("abcd", "r2")
        outcome.request_id = "r1"
        self.assertIn("parts of no one version", self.broken(outcome)[0])

    def test_answer_of_another_request_is_found(self):
        stamp = signature("fetch", "r2").encode()
        outcome = Outcome(
            "r1", RequestPath.FETCH, "f", 0.0, 1.0, 200, {b"x-backend-stamp": stamp}
        )
        self.assertIn("signed", self.broken(outcome)[0])

    def test_bytes_that_are_no_answer_are_found(self):
        outcome = Outcome("r1", RequestPath.FETCH, "f", 0.0, 1.0, -1, error="bad")
        self.assertIn("no answer", self.broken(outcome)[0])

    def test_order_that_ran_twice_is_found(self):
        found = check_orders([order(200)], [ran("order"), ran("order")])
        self.assertEqual([item.check for item in found], ["once"])

    def test_false_not_run_is_found(self):
        found = check_orders([order(503)], [ran("order")])
        self.assertEqual([item.check for item in found], ["not run"])
        self.assertEqual(check_orders([order(502)], [ran("order")]), [])

    def test_version_that_falls_is_found(self):
        newer = search("efgh", "r1", sent_at_ms=0.0, ended_at_ms=5.0)
        older = search("abcd", "r2", sent_at_ms=6.0, ended_at_ms=9.0)
        overlapping = search("abcd", "r3", sent_at_ms=4.0, ended_at_ms=9.0)
        found = check_versions([newer, older, overlapping], SHAPE)
        self.assertEqual([item.request_id for item in found], ["r2"])
        restarted = search("abcd", "r2", sent_at_ms=6.0, front="front-0#2")
        self.assertEqual(check_versions([newer, restarted], SHAPE), [])

    def test_request_that_a_stop_cuts_off_is_found(self):
        cut = order(0)
        cut.error = "ConnectionResetError"
        runs = [ran("order")]
        stop = Span("front-0#1", 0.5, 9.0)
        found = check_stops([cut], runs, stops=[stop], spoiled=[])
        self.assertEqual([item.check for item in found], ["stop"])
        self.assertFalse(check_stops([cut], [], stops=[stop], spoiled=[]))
        self.assertFalse(check_stops([cut], runs, stops=[stop], spoiled=[stop]))
        later = Span("front-0#1", 5.0, 9.0)
        self.assertFalse(check_stops([cut], runs, stops=[later], spoiled=[]))

    def test_request_at_a_drained_server_is_found(self):
        found = check_drained([ran("a", server_id="i7")], [search("abcd")], ["i7"])
        self.assertEqual([item.check for item in found], ["drained"])

    def test_extra_work_beyond_the_budget_is_found(self):
        runs = [ran("a", at_ms=float(n)) for n in range(8)]
        options = {"window_ms": 100.0, "ratio": 0.2}
        outcomes = [search("abcd")]
        self.assertTrue(check_budget(runs, outcomes, allowance=5.0, **options))
        self.assertFalse(check_budget(runs, outcomes, allowance=7.0, **options))


class OwnIdsTest(unittest.TestCase):
    """The soak names each of its requests once."""

    def test_id_that_is_used_twice_stops_the_run(self):
        """Seed 202 found requests at a server that had been drained.

        The waits for the fronts before and after the faults named their
        requests alike. What had run before the server was drained was held
        against the requests after it.
        """
        with self.assertRaises(RuntimeError):
            require_own_ids([search("abcd"), search("abcd")])
        require_own_ids([search("abcd"), search("abcd", "r2")])


class FaultsTest(unittest.TestCase):
    """Faults follow from the seed alone."""

    def test_same_seed_draws_the_same(self):
        self.assertEqual(draw_faults(7, length_s=20.0), draw_faults(7, length_s=20.0))
        self.assertNotEqual(
            draw_faults(7, length_s=20.0), draw_faults(8, length_s=20.0)
        )


class ProxyTest(unittest.TestCase):
    """What a fault of the proxy does to a connection."""

    @trio_test_real_clock
    async def test_silenced_connection_stays_silent_and_new_ones_work(self):
        async def echo(stream):
            async for data in stream:
                await stream.send_all(data)

        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(trio.serve_tcp, echo, 0)
            port = listeners[0].socket.getsockname()[1]
            proxy = FaultyProxy(f"127.0.0.1:{port}")
            address = await nursery.start(proxy.run)
            proxy_port = int(address.rpartition(":")[2])
            old = await trio.open_tcp_stream("127.0.0.1", proxy_port)
            await old.send_all(b"a")
            self.assertEqual(await old.receive_some(1), b"a")
            proxy.set_fault(ProxyFault.SILENT)
            proxy.set_fault(ProxyFault.NONE)
            await old.send_all(b"b")
            new = await trio.open_tcp_stream("127.0.0.1", proxy_port)
            await new.send_all(b"c")
            self.assertEqual(await new.receive_some(1), b"c")
            with trio.move_on_after(0.05) as scope:
                await old.receive_some(1)
            self.assertTrue(scope.cancelled_caught)
            nursery.cancel_scope.cancel()


class InterruptedTest(unittest.TestCase):
    """A soak that is told to stop leaves nothing behind."""

    @trio_test_real_clock
    async def test_fronts_end_with_an_interrupted_soak(self):
        """Front processes go on for hours after a soak was interrupted.

        The soak starts them. Told to stop, it must end them first.
        """
        with tempfile.TemporaryDirectory() as folder:
            command = ["-m", "ibisfront.testing.soak", "--fronts", "2"]
            async with RunningProcess([*command, "--logs", folder]) as soak:
                fronts = await self.fronts_of(soak.pid)
                soak.send(signal.SIGTERM)
                self.assertEqual(await soak.wait(), 130)
        self.assertFalse(any(psutil.pid_exists(pid) for pid in fronts))

    async def fronts_of(self, pid):
        """Return the ids of a soak's front processes, once both run."""
        children = []
        while len(children) < 2:
            await trio.sleep(0.05)
            children = psutil.Process(pid).children()
        return [child.pid for child in children]


class ShortRunTest(unittest.TestCase):
    """A few seconds of real processes under drawn faults."""

    @trio_test_real_clock
    async def test_promises_hold_and_no_process_is_left(self):
        with tempfile.TemporaryDirectory() as folder:
            world = SoakWorld(5, Path(folder), fronts=2, callers=3, length_s=4.0)
            report = await world.run()
        self.assertEqual(report.failures, [])
        self.assertGreater(report.served, 0)
        self.assertFalse(any(front.is_running for front in world.fronts))
