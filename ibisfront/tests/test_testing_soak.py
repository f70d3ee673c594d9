"""Tests of the soak: its checks detect violations, and a short run passes."""

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
    check_budget,
    check_crashes,
    check_drained,
    check_errors,
    check_late_copies,
    check_orders,
    check_responses,
    check_stops,
    check_versions,
    extra_windows,
)
from ibisfront.testing.soak.contact import Troubles
from ibisfront.testing.soak.documents import configuration_document
from ibisfront.testing.soak.faults import Fault, FaultKind, draw_faults
from ibisfront.testing.soak.proxy import FaultyProxy, ProxyFault
from ibisfront.testing.soak.quota_checks import (
    binding_times,
    check_quotas,
    quota_windows,
)
from ibisfront.testing.soak.servers import (
    Execution,
    ServerRecords,
    part_records,
    signature,
)
from ibisfront.testing.soak.workspace_checks import (
    check_keys,
    check_logs,
    check_refused_keys,
    check_workspaces,
)
from ibisfront.testing.soak.workspaces import (
    FLOODED,
    Limit,
    SoakWorkspaces,
    WorkspaceChangeKind,
    WorkspaceVersion,
    draw_changes,
    key_of,
)
from ibisfront.testing.soak.world import SoakWorld, require_unique_ids
from ibisfront.tests import trio_test_real_clock

SHAPE = Shape((("a", "b", "c", "d"), ("e", "f", "g", "h")), top_count=3)


def search(services, request_id="r1", *, missing=0, records_of=None, **changes):
    """Return the outcome of a search with parts of these services."""
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
    """Return the outcome of a non-idempotent request."""
    return Outcome(request_id, RequestPath.ORDER, "front-0#1", 0.0, 1.0, status)


def execution(service, request_id="r1", server_id="i1", at_ms=0.0):
    """Return the execution of a request."""
    return Execution(request_id, service, server_id, at_ms)


class ChecksTest(unittest.TestCase):
    """Each check detects its violation."""

    def errors(self, outcome):
        return [item.detail for item in check_responses([outcome], SHAPE)]

    def test_correct_responses_pass(self):
        self.assertEqual(self.errors(search("abcd")), [])
        self.assertEqual(self.errors(search("efg", missing=1)), [])

    def test_failed_tasks_are_detected(self):
        failed = '{"message": "instance: Task run ended by an unexpected error."}'
        logs = {"front-0": f"{{}}\n{failed}\n", "front-1": "{}\n"}
        (failure,) = check_errors(logs)
        self.assertEqual((failure.check, failure.request_id), ("errors", "front-0"))

    def test_wrong_searches_are_detected(self):
        for outcome, detail in (
            (search("abef"), "parts of no single version"),
            (search("aab", missing=1), "duplicate service"),
            (search("abc"), "3 parts and 0 missing of 4"),
            (search("a", missing=3), "only 1 of 4"),
            (search("abcd", records_of="a"), "not the top records"),
        ):
            with self.subTest(detail):
                self.assertIn(detail, self.errors(outcome)[0])

    def test_parts_of_another_request_are_detected(self):
        outcome = search("abcd", "r2")
        outcome.request_id = "r1"
        self.assertIn("parts of no single version", self.errors(outcome)[0])

    def test_response_to_another_request_is_detected(self):
        stamp = signature("fetch", "r2").encode()
        outcome = Outcome(
            "r1", RequestPath.FETCH, "f", 0.0, 1.0, 200, {b"x-backend-stamp": stamp}
        )
        self.assertIn("signed", self.errors(outcome)[0])

    def test_malformed_response_is_detected(self):
        outcome = Outcome("r1", RequestPath.FETCH, "f", 0.0, 1.0, -1, error="bad")
        self.assertIn("malformed response", self.errors(outcome)[0])

    def test_order_that_ran_twice_is_detected(self):
        found = check_orders([order(200)], [execution("order"), execution("order")])
        self.assertEqual([item.check for item in found], ["once"])

    def test_false_not_run_is_detected(self):
        found = check_orders([order(503)], [execution("order")])
        self.assertEqual([item.check for item in found], ["not run"])
        self.assertEqual(check_orders([order(502)], [execution("order")]), [])

    def test_decreasing_version_is_detected(self):
        newer = search("efgh", "r1", sent_at_ms=0.0, ended_at_ms=5.0)
        older = search("abcd", "r2", sent_at_ms=6.0, ended_at_ms=9.0)
        overlapping = search("abcd", "r3", sent_at_ms=4.0, ended_at_ms=9.0)
        found = check_versions([newer, older, overlapping], SHAPE)
        self.assertEqual([item.request_id for item in found], ["r2"])
        restarted = search("abcd", "r2", sent_at_ms=6.0, front="front-0#2")
        self.assertEqual(check_versions([newer, restarted], SHAPE), [])

    def test_request_interrupted_by_a_stop_is_detected(self):
        interrupted = order(0)
        interrupted.error = "ConnectionResetError"
        runs = [execution("order")]
        stop = Span("front-0#1", 0.5, 9.0)
        found = check_stops([interrupted], runs, stops=[stop], disruptions=[])
        self.assertEqual([item.check for item in found], ["stop"])
        self.assertFalse(check_stops([interrupted], [], stops=[stop], disruptions=[]))
        self.assertFalse(
            check_stops([interrupted], runs, stops=[stop], disruptions=[stop])
        )
        later = Span("front-0#1", 5.0, 9.0)
        self.assertFalse(
            check_stops([interrupted], runs, stops=[later], disruptions=[])
        )

    def test_request_at_a_drained_server_is_detected(self):
        found = check_drained(
            [execution("a", server_id="i7")], [search("abcd")], ["i7"]
        )
        self.assertEqual([item.check for item in found], ["drained"])

    def test_attempts_beyond_the_budget_are_detected(self):
        arrivals = [execution("a", at_ms=float(n)) for n in range(8)]
        requested_ms = SHAPE.requested_ms([search("abcd")])

        def failures(allowance):
            windows = extra_windows(
                arrivals,
                requested_ms,
                window_ms=100.0,
                ratio=0.2,
                allowance=allowance,
            )
            return check_budget(windows)

        self.assertTrue(failures(5.0))
        self.assertTrue(failures(6.5))
        self.assertFalse(failures(7.0))

    def test_crashing_request_that_keeps_reaching_servers_is_detected(self):
        copies = [
            Outcome(f"c{number}", RequestPath.CRASH, "f", float(number))
            for number in range(8)
        ]
        runs = [
            execution("a", item.request_id, at_ms=item.sent_at_ms) for item in copies
        ]

        def failures(quiet_from_ms):
            return check_crashes(runs, copies, quiet_from_ms=quiet_from_ms)

        self.assertTrue(failures(4.0))
        self.assertFalse(failures(5.0))

    def test_late_copies_of_a_crashing_request_are_detected(self):
        copies = [
            Outcome(f"c{number}", RequestPath.CRASH, "f#2", float(number))
            for number in range(10)
        ]
        runs = [
            execution("a", item.request_id, at_ms=item.sent_at_ms) for item in copies
        ]

        def failures(contact_ms, in_touch=lambda front, at_ms: front == "f"):
            records = ServerRecords(arrivals=runs, executions=runs[:3])
            return check_late_copies(
                records, copies, contact_ms=contact_ms, in_touch=in_touch
            )

        self.assertTrue(failures(3.0))
        self.assertFalse(failures(4.0))
        self.assertFalse(failures(3.0, lambda front, at_ms: at_ms > 6.0))

    def test_requests_of_other_routes_add_nothing_to_a_budget(self):
        """Guards against a bound that grows with requests for other services."""
        requested_ms = SHAPE.requested_ms([order(200), search("abcd")])
        self.assertEqual([len(requested_ms[name]) for name in ("a", "order")], [1, 1])
        self.assertEqual(requested_ms["fetch"], [])


KEY = key_of("meadow")
HISTORY = [
    WorkspaceVersion(0.0, {KEY: "meadow"}),
    WorkspaceVersion(100.0, {KEY: "quarry"}),
    WorkspaceVersion(200.0, {}),
]


def keyed(sent_at_ms, *, key=KEY, path=RequestPath.FETCH, status=200):
    """Return the outcome of a request with a key."""
    return Outcome(
        "r1", path, "front-0#1", sent_at_ms, sent_at_ms + 5.0, status, key=key
    )


class WorkspaceChecksTest(unittest.TestCase):
    """Each check on workspaces detects its violation."""

    def found(self, outcome, workspace, *, troubles=None):
        arrival = Execution("r1", "fetch", "i1", outcome.sent_at_ms + 1.0, workspace)
        return [
            item.check
            for item in check_workspaces(
                [outcome],
                [arrival],
                HISTORY,
                troubles=troubles or Troubles(contact_ms=40.0),
                apply_ms=50.0,
            )
        ]

    def test_key_at_a_server_is_detected(self):
        arrival = Execution("r1", "fetch", "i1", 0.0, "meadow", has_key=True)
        self.assertEqual([item.check for item in check_keys([arrival])], ["key"])
        self.assertEqual(check_keys([execution("fetch")]), [])

    def test_key_in_a_log_is_detected(self):
        with tempfile.TemporaryDirectory() as folder:
            (Path(folder) / "front-0.log").write_text("a request arrived")
            self.assertEqual(check_logs(Path(folder)), [])
            (Path(folder) / "front-0.err").write_text(f"unknown key {KEY}")
            self.assertEqual(len(check_logs(Path(folder))), 1)

    def test_request_for_another_workspace_is_detected(self):
        self.assertEqual(self.found(keyed(10.0), "meadow"), [])
        self.assertEqual(self.found(keyed(10.0), "quarry"), ["workspace"])
        self.assertEqual(self.found(keyed(10.0), ""), ["workspace"])
        self.assertEqual(self.found(keyed(10.0), "meadow,quarry"), ["workspace"])

    def test_key_that_moved_is_detected_after_the_bound(self):
        self.assertEqual(self.found(keyed(149.0), "meadow"), [])
        self.assertEqual(self.found(keyed(149.0), "quarry"), [])
        self.assertEqual(self.found(keyed(150.0), "meadow"), ["workspace"])

    def test_request_with_a_revoked_key_is_detected_after_the_bound(self):
        self.assertEqual(self.found(keyed(249.0), "quarry"), [])
        self.assertEqual(self.found(keyed(250.0), "quarry"), ["revoked"])

    def test_front_that_was_not_in_touch_is_excused(self):
        for front, found in (
            ("", []),
            ("front-0", []),
            ("front-1", ["revoked"]),
        ):
            with self.subTest(front):
                troubles = Troubles(contact_ms=40.0)
                troubles.add(200.0, 220.0, front=front)
                self.assertEqual(
                    self.found(keyed(255.0), "quarry", troubles=troubles), found
                )
        self.assertEqual(
            self.found(keyed(260.0), "quarry", troubles=troubles), ["revoked"]
        )

    def test_request_with_an_unknown_key_or_none_is_detected(self):
        for key in ("", key_of("unknown")):
            for workspace in ("", "meadow"):
                outcome = keyed(10.0, key=key)
                self.assertEqual(self.found(outcome, workspace), ["unknown key"])
            public = keyed(10.0, key=key, path=RequestPath.OPEN)
            self.assertEqual(self.found(public, ""), [])
            self.assertEqual(self.found(public, "meadow"), ["workspace"])

    def test_refused_key_that_is_in_force_is_detected(self):
        def found(outcome, troubles=None):
            return check_refused_keys(
                [outcome],
                HISTORY,
                troubles=troubles or Troubles(contact_ms=40.0),
                apply_ms=50.0,
            )

        self.assertEqual(len(found(keyed(10.0, status=401))), 1)
        self.assertEqual(len(found(keyed(190.0, status=401))), 1)
        self.assertEqual(found(keyed(196.0, status=401)), [])
        self.assertEqual(found(keyed(10.0, key="", status=401)), [])
        self.assertEqual(found(keyed(190.0)), [])
        public = keyed(250.0, key="", path=RequestPath.OPEN, status=401)
        self.assertEqual(len(found(public)), 1)
        troubles = Troubles(contact_ms=40.0)
        troubles.add(0.0, 200.0)
        self.assertEqual(len(found(keyed(10.0, status=401), troubles)), 1)


class QuotaChecksTest(unittest.TestCase):
    """The check on limits of workspaces detects requests beyond them."""

    def failures(self, count, *, from_ms=0.0, workspace=FLOODED, sent_ms=None):
        """Return what is found of so many requests within half a second.

        The limit is 10 a second, from 20 s on 5; window 5 s, burst 5, a tenth and
        20 requests in addition: 80.5, later 53.
        """
        history = [
            WorkspaceVersion(0.0, {}, {FLOODED: Limit(10.0, 5.0)}),
            WorkspaceVersion(20_000.0, {}, {FLOODED: Limit(5.0, 5.0)}),
        ]
        troubles = Troubles(contact_ms=4_000.0)
        troubles.add(20_000.0, 22_000.0, front="front-1")
        arrivals = [
            Execution(f"r{n}", service, "i1", from_ms + 500.0 * n / count, workspace)
            for n in range(count)
            for service in "ab"
        ]
        windows = quota_windows(
            arrivals,
            sent_ms or {},
            history,
            binding_ms=binding_times(
                history,
                fronts=["front-0", "front-1"],
                troubles=troubles,
                apply_ms=3_000.0,
            ),
            window_ms=5_000.0,
            excess=0.1,
            slack=20.0,
        )
        return check_quotas(windows)

    def test_requests_beyond_a_limit_are_detected(self):
        self.assertEqual(self.failures(80), [])
        self.assertEqual([item.check for item in self.failures(81)], ["quota"])

    def test_windows_slide(self):
        sent_ms = {f"r{n}": 500.0 * n / 81 for n in range(81)}
        self.assertEqual(len(self.failures(81, sent_ms=sent_ms)), 1)
        sent_ms["r0"] = -5_000.0
        self.assertEqual(self.failures(81, sent_ms=sent_ms), [])

    def test_workspaces_without_a_limit_are_free(self):
        self.assertEqual(self.failures(500, workspace="meadow"), [])

    def test_requests_beyond_a_lower_limit_are_detected(self):
        """The lower limit binds from 26 s, when each front was in touch, on."""
        self.assertEqual(self.failures(80, from_ms=30_400.0), [])
        self.assertEqual(self.failures(53, from_ms=31_000.0), [])
        self.assertEqual(len(self.failures(54, from_ms=31_000.0)), 1)


class WorkspacesTest(unittest.TestCase):
    """Workspaces of a run and the configurations that list them."""

    def test_changes_depend_on_the_seed_only(self):
        changes = draw_changes(7, length_s=15.0, settle_s=12.0)
        self.assertEqual(changes, draw_changes(7, length_s=15.0, settle_s=12.0))
        self.assertNotEqual(changes, draw_changes(8, length_s=15.0, settle_s=12.0))
        kinds = {change.kind for change in changes}
        self.assertEqual(kinds, set(WorkspaceChangeKind))

    def test_recorded_versions_hold_what_operators_wrote(self):
        workspaces = SoakWorkspaces()
        for number, change in enumerate(draw_changes(7, length_s=60.0, settle_s=0.0)):
            workspaces.apply(change)
            workspaces.record_version(float(number))
            written = {
                key: item["name"]
                for item in workspaces.document()
                for key in item["apiKeys"]
            }
            self.assertEqual(workspaces.history[-1].holders, written)
            self.assertFalse(set(written) & set(workspaces.retired_keys))

    def test_configuration_without_workspaces_is_as_before(self):
        def document(workspaces):
            return configuration_document(
                SHAPE, version=3, generation=0, timeout_ms=9, workspaces=workspaces
            )

        self.assertEqual(len(document([])["routes"]), 3)
        self.assertNotIn("tenants", document([]))
        written = document(SoakWorkspaces().document())
        public = [item["name"] for item in written["routes"] if item.get("public")]
        self.assertEqual(public, ["open"])


class UniqueIdsTest(unittest.TestCase):
    """Request ids of a soak run are unique."""

    def test_duplicate_id_stops_the_run(self):
        """Guards against false "drained" failures.

        If the waits for the fronts before and after the faults used the same
        request ids, executions before a server was drained would be attributed
        to requests sent afterwards.
        """
        with self.assertRaises(RuntimeError):
            require_unique_ids([search("abcd"), search("abcd")])
        require_unique_ids([search("abcd"), search("abcd", "r2")])


class FaultsTest(unittest.TestCase):
    """Faults depend on the seed only."""

    def test_same_seed_draws_the_same_faults(self):
        self.assertEqual(draw_faults(7, length_s=20.0), draw_faults(7, length_s=20.0))
        self.assertNotEqual(
            draw_faults(7, length_s=20.0), draw_faults(8, length_s=20.0)
        )


class ProxyTest(unittest.TestCase):
    """Effect of proxy faults on connections."""

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
    """An interrupted soak leaves no process behind."""

    @trio_test_real_clock
    async def test_fronts_end_with_an_interrupted_soak(self):
        """Guards against front processes that outlive an interrupted soak.

        On a signal the soak must end the front processes that it started.
        """
        with tempfile.TemporaryDirectory() as folder:
            command = ["-m", "ibisfront.testing.soak", "--fronts", "2"]
            async with RunningProcess([*command, "--logs", folder]) as soak:
                fronts = await self.fronts_of(soak.pid)
                soak.send(signal.SIGTERM)
                self.assertEqual(await soak.wait(), 130)
        self.assertFalse(any(psutil.pid_exists(pid) for pid in fronts))

    async def fronts_of(self, pid):
        """Return the process ids of a soak's fronts, once both run."""
        children = []
        while len(children) < 2:
            await trio.sleep(0.05)
            children = psutil.Process(pid).children()
        return [child.pid for child in children]


class ShortRunTest(unittest.TestCase):
    """A few seconds of real processes under randomly drawn faults."""

    @trio_test_real_clock
    async def test_checks_pass_and_no_process_is_left(self):
        with tempfile.TemporaryDirectory() as folder:
            world = SoakWorld(5, Path(folder), fronts=2, callers=3, length_s=4.0)
            report = await world.run()
        self.assertEqual(report.failures, [])
        self.assertGreater(report.served, 0)
        self.assertFalse(any(front.is_running for front in world.fronts))

    @trio_test_real_clock
    async def test_checks_pass_with_workspaces(self):
        with tempfile.TemporaryDirectory() as folder:
            world = SoakWorld(
                5, Path(folder), fronts=2, callers=3, length_s=4.0, has_workspaces=True
            )
            report = await world.run()
        self.assertEqual(report.failures, [])
        self.assertGreater(report.served, 0)
        self.assertGreater(report.workspace_statuses[401], 0)
        self.assertGreater(report.fullest_quota_window, 0.0)

    @trio_test_real_clock
    async def test_budget_holds_while_all_servers_reject(self):
        """Guards against rejected parts that are sent again without a budget."""
        faults = [Fault(0.5, 11.0, FaultKind.ALL_SERVERS_REJECT, 0, 0)]
        with tempfile.TemporaryDirectory() as folder:
            world = SoakWorld(
                5,
                Path(folder),
                fronts=3,
                callers=12,
                length_s=12.0,
                faults=faults,
                settle_s=0.0,
                has_crashing_requests=False,
            )
            report = await world.run()
        self.assertEqual(report.failures, [])
        self.assertGreater(report.fullest_window, 0.0)

    @trio_test_real_clock
    async def test_crashing_request_is_stopped_at_all_fronts(self):
        """Guards against servers lost to each copy of a request, at any front."""
        with tempfile.TemporaryDirectory() as folder:
            world = SoakWorld(
                5, Path(folder), fronts=4, callers=3, length_s=1.0, faults=[]
            )
            report = await world.run()
        self.assertEqual(report.failures, [])
