"""Tests of the operators' interface of a running instance."""

from __future__ import annotations

import unittest
from contextlib import asynccontextmanager

import msgspec

from ibisfront.adapters.admin import NamedService, TableView
from ibisfront.core.counters import CounterValue
from ibisfront.core.latencies import LatencyValue
from ibisfront.core.service import BackendServer
from ibisfront.core.service_edit import ServiceEdited
from ibisfront.core.status import TierStatus
from ibisfront.core.table import EditSummary
from ibisfront.core.table_edit import EditAccepted, TableConflict, TableProposal
from ibisfront.testing.deployment import ADMIN_TOKEN, Deployment, register_shape
from ibisfront.tests import trio_test_real_clock
from ibisfront.tests.raw_http import ProblemBody

ADMIN = "/v1/admin/"


class ConflictBody(ProblemBody):
    """The problem document of a conflict."""

    conflict: TableConflict | None = None


@asynccontextmanager
async def one_instance():
    """Yield a deployment of one instance, and that instance."""
    async with Deployment(register_shape(services=1, instances=1)) as deployment:
        yield deployment, deployment.instances[0]


class AdminTest(unittest.TestCase):
    """Operators need the token to read and edit."""

    @trio_test_real_clock
    async def test_operators_need_the_token(self):
        async with one_instance() as (deployment, instance):
            await self.check_token(deployment, instance)
            await self.check_invalid_edits(deployment, instance)
            await self.check_metrics(deployment, instance)

    async def check_token(self, deployment, instance):
        for path in (ADMIN + "status", "/metrics", ADMIN + "nothing"):
            for given in (None, "", "Basic x", "Bearer", f"Bearer {ADMIN_TOKEN}x"):
                with self.subTest(path=path, given=given):
                    headers = {} if given is None else {"Authorization": given}
                    reply = await deployment.client.send(
                        "GET", instance.admin_url(path), headers=headers
                    )
                    self.assertEqual(reply.decode(ProblemBody).code, "unauthorized")
                    self.assertEqual(reply.headers["www-authenticate"], "Bearer")
        on_callers = await deployment.client.send("GET", instance.url(ADMIN + "status"))
        self.assertEqual(on_callers.status, 404)

    async def check_invalid_edits(self, deployment, instance):
        for body, named in (({"tabel": {}}, "table"), ([], "object")):
            with self.subTest(body=body):
                reply = await deployment.admin(instance, "PUT", ADMIN + "table", body)
                problem = reply.decode(ProblemBody)
                self.assertEqual((problem.code, problem.ran), ("bad_request", "no"))
                self.assertIn(named, problem.detail)

    async def check_metrics(self, deployment, instance):
        for branch in ("vestry", "vestry", "nobody"):
            await deployment.search(instance, branch, "name-check", {"name": "x"})
        counters = await self.get(deployment, "counters", list[CounterValue])
        answers = {
            item.reason: item.value for item in counters if item.kind == "answers"
        }
        self.assertEqual((answers["whole"], answers["unknown_branch"]), (2, 1))
        latencies = await self.get(deployment, "latency", list[LatencyValue])
        self.assertEqual(
            [(item.branch, item.purpose, item.count) for item in latencies],
            [("vestry", "name-check", 2)],
        )
        metrics = await deployment.admin(instance, "GET", "/metrics")
        lines = metrics.body.decode().splitlines()
        self.assertIn('ibisfront_answers_total{reason="whole"} 2', lines)
        self.assertIn("ibisfront_ready 1", lines)
        status = await self.get(deployment, "status", TierStatus)
        self.assertEqual([reply.name for reply in status.instances], ["i1"])

    @trio_test_real_clock
    async def test_two_edits_of_one_version_conflict_and_both_are_shown(self):
        """Guards against one operator's edit overwriting another's.

        Two operators change the same row of one version. With last-write-wins
        the second edit would silently undo the first; it is rejected, and the
        conflict shows both.
        """
        async with one_instance() as (deployment, instance):
            base = await self.get(deployment, "table", TableView)
            first = edit_of(base, "ann", weight=2.0)
            reply = await deployment.admin(instance, "PUT", ADMIN + "table", first)
            accepted = reply.decode(EditAccepted)
            self.assertGreater(accepted.version, base.version)
            second = edit_of(base, "ben", weight=3.0)
            reply = await deployment.admin(instance, "PUT", ADMIN + "table", second)
            self.assertEqual(reply.status, 409)
            conflict = reply.decode(ConflictBody).conflict
            self.assertTrue(conflict.overlaps)
            self.assertEqual([edit.edited_by for edit in conflict.theirs], ["ann"])
            self.assertEqual(conflict.yours[0].after.weight, 3.0)
            repeated = await deployment.admin(instance, "PUT", ADMIN + "table", first)
            self.assertEqual(repeated.decode(EditAccepted), accepted)
            history = await self.get(deployment, "table/history", list[EditSummary])
            self.assertEqual([edit.edit_id for edit in history], ["edit-ann"])

    @trio_test_real_clock
    async def test_servers_are_added_drained_and_removed(self):
        """Guards against accepting a server with a malformed address.

        An operator omits the port, so no connection could be opened. The edit
        is rejected with the value in the detail.
        """
        async with one_instance() as (deployment, instance):
            path = ADMIN + "services/archive%2F1/servers"
            server = BackendServer("archive-0", "127.0.0.1:9", "z1")
            added = await deployment.admin(instance, "POST", path, server)
            self.assertEqual(
                added.decode(ServiceEdited).service.backend_servers, (server,)
            )
            drained = await deployment.admin(
                instance, "POST", path + "/archive-0/drain"
            )
            self.assertEqual(
                drained.decode(ServiceEdited).service.backend_servers[0].state,
                "draining",
            )
            for address in ("127.0.0.1", "localhost:9", "127.0.0.1:x", ""):
                malformed = msgspec.structs.replace(server, address=address)
                rejected = await deployment.admin(instance, "POST", path, malformed)
                problem = rejected.decode(ProblemBody)
                self.assertEqual(problem.code, "bad_request", address)
                self.assertIn(repr(address), problem.detail)
            unknown = await deployment.admin(instance, "POST", path + "/nobody/drain")
            self.assertEqual(unknown.decode(ProblemBody).code, "not_found")
            removed = await deployment.admin(instance, "DELETE", path + "/archive-0")
            self.assertEqual(removed.decode(ServiceEdited).service.backend_servers, ())
            listed = await self.get(deployment, "services", list[NamedService])
            self.assertIn("register-00", [item.name for item in listed])

    async def get(self, deployment, name, decoded_type):
        reply = await deployment.admin(deployment.instances[0], "GET", ADMIN + name)
        self.assertEqual(reply.status, 200, reply.body)
        return reply.decode(decoded_type)


def edit_of(base, operator, **fields):
    """Return an edit of the first row of a table."""
    first, *others = base.table.rows
    rows = (msgspec.structs.replace(first, **fields), *others)
    table = msgspec.structs.replace(base.table, rows=rows)
    return TableProposal(
        table=table,
        base_version=base.version,
        edit_id=f"edit-{operator}",
        edited_by=operator,
    )
