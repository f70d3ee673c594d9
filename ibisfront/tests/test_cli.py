"""Tests of the operator command line, in part against running instances."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import unittest
from pathlib import Path
from unittest import mock

import msgspec
import trio
from cleo.testers.application_tester import ApplicationTester

from ibisfront.adapters.admin import TableView
from ibisfront.adapters.http import Problem
from ibisfront.cli.application import build_application
from ibisfront.cli.exits import (
    CommandError,
    ExitCode,
    ProblemError,
    UnreachableError,
)
from ibisfront.cli.table_edits import EditOutcome, apply_edit
from ibisfront.core.query import Answer
from ibisfront.core.status import InstanceStatus, TierStatus
from ibisfront.core.table import EditSummary, Purpose, Row, RowChange, Table
from ibisfront.core.table_edit import EditAccepted, TableConflict
from ibisfront.testing.deployment import ADMIN_TOKEN, Deployment, register_shape
from ibisfront.tests import trio_test_real_clock

ROW = Row("vestry", "name-check")
BASE = TableView(7, Table((Purpose("name-check", "search", index="r"),), (ROW,)))
HEAVIER = (RowChange(before=ROW, after=Row("vestry", "name-check", weight=2.0)),)


class CommandResult(msgspec.Struct, frozen=True):
    """Exit code and output of a command."""

    code: int
    output: str
    errors: str


def run_tool(arguments, **variables):
    """Run a command in this process."""
    tester = ApplicationTester(build_application())
    with mock.patch.dict(os.environ, variables):
        code = tester.execute(arguments, interactive=False)
    return CommandResult(code, tester.io.fetch_output(), tester.io.fetch_error())


class Tool:
    """The command line, configured for the instances of a deployment."""

    def __init__(self, deployment):
        self.variables = {
            "IBISFRONT_ADMIN": " ".join(i.admin_address for i in deployment.instances),
            "IBISFRONT_CALLERS": deployment.instances[0].caller_address,
            "IBISFRONT_TOKEN": ADMIN_TOKEN,
        }

    async def run(self, arguments):
        """Run one command in a thread."""
        return await trio.to_thread.run_sync(
            lambda: run_tool(arguments, **self.variables)
        )

    async def json(self, arguments, decoded_type):
        """Run one command and decode its JSON output."""
        result = await self.run(arguments + " --json")
        return msgspec.json.decode(result.output, type=decoded_type)


class RunningToolTest(unittest.TestCase):
    """Operator commands against two running instances."""

    @trio_test_real_clock
    async def test_commands_against_running_instances(self):
        shape = register_shape(services=2, instances=2)
        async with Deployment(shape) as deployment:
            tool = Tool(deployment)
            await self.check_status_and_query(tool)
            await self.check_edits(tool)
            await self.check_files(tool, deployment.folder)
            await self.check_services(tool)
            await self.check_edit_with_one_instance_stopped(tool, deployment)

    async def check_status_and_query(self, tool):
        status = await tool.run("status")
        self.assertEqual(status.code, ExitCode.DONE, status)
        self.assertRegex(status.output, r"(?s)INSTANCE.*i1 +z1.*i2 +z2")
        answer = await tool.json("query vestry name-check '{}'", Answer)
        self.assertEqual(answer.coverage.answered, 2)
        rejected = await tool.run("query vestry nothing '{}'")
        self.assertEqual(rejected.code, ExitCode.REJECTED)
        self.assertIn("unknown_purpose", rejected.errors)
        self.assertIn("what to do: Add it: `ibisfront purpose set", rejected.errors)
        counters = await tool.run("counters")
        self.assertRegex(counters.output, r"answers +whole +1\n")

    async def check_edits(self, tool):
        outcome = await tool.json("table set vestry name-check --weight 2", EditOutcome)
        self.assertEqual(outcome.reach.in_force, ("i1", "i2"))
        same = await tool.run("table set vestry name-check --weight 2")
        self.assertIn("nothing to change", same.output)
        outdated = (
            f"table set vestry name-check --weight 9 --base {outcome.base_version}"
        )
        conflict = await tool.run(outdated)
        self.assertEqual(conflict.code, ExitCode.CONFLICT)
        for shown in ("weight 1 -> 9", "weight 1 -> 2", outcome.edit_id):
            self.assertIn(shown, conflict.output)
        other = f"table set harbour name-check --weight 4 --base {outcome.base_version}"
        self.assertEqual((await tool.run(other)).code, ExitCode.DONE)
        history = await tool.run("table history")
        self.assertIn(f"edit {outcome.edit_id}", history.output)
        invalid = await tool.run("table set vestry name-check --weight -1")
        self.assertEqual(invalid.code, ExitCode.REJECTED)
        new = await tool.run("purpose set archive --search register --urgent yes")
        self.assertIn("+ purpose archive", new.output)
        self.assertEqual((await tool.run("table set vestry archive")).code, 0)
        removed = await tool.run("purpose remove archive")
        self.assertIn("- row vestry/archive", removed.output)

    async def check_files(self, tool, folder):
        for name in ("table.toml", "table.csv"):
            path = Path(folder, name)
            exported = await tool.run(f"table export {path}")
            self.assertEqual(exported.code, ExitCode.DONE, exported)
            base = exported.output.split("--base ")[1].strip()
            rewrite(path, "harbour", "harbor")
            apply = f"table apply {path} --base {base}"
            unconfirmed = await tool.run(apply)
            self.assertEqual(unconfirmed.code, ExitCode.REJECTED, unconfirmed)
            self.assertIn("+ row harbor/name-check", unconfirmed.output)
            applied = await tool.run(apply + " --yes")
            self.assertEqual(applied.code, ExitCode.DONE, applied)
            again = await tool.run(apply.replace("apply", "apply --yes"))
            self.assertEqual(again.code, ExitCode.CONFLICT, again)
            rewrite(path, "harbor", "harbour")
            base = (await tool.json("table show", TableView)).version
            await tool.run(f"table apply {path} --yes --base {base}")
        unversioned = await tool.run(f"table apply {path} --yes")
        self.assertEqual(unversioned.code, ExitCode.USAGE)
        self.assertIn("--base", unversioned.errors)

    async def check_services(self, tool):
        added = await tool.run("service add archive archive-0 127.0.0.1:9 z1")
        self.assertEqual(added.code, ExitCode.DONE, added)
        self.assertIn("in force at i1, i2", added.output)
        await tool.run("service drain archive archive-0")
        listed = await tool.run("service list")
        self.assertRegex(listed.output, "archive +archive-0 .* draining")
        removed = await tool.run("service remove archive archive-0")
        self.assertEqual(removed.code, ExitCode.DONE)

    async def check_edit_with_one_instance_stopped(self, tool, deployment):
        """Edit the table while one instance is stopped.

        Reporting plain success would hide that callers of that instance still get
        the old table. The output must name it and where the edit is in force.
        """
        stopped = deployment.instances[1].process
        stopped.send(signal.SIGSTOP)
        edited = await tool.run("table set vestry bulk-lookup --weight 5 --wait-s 30")
        stopped.send(signal.SIGCONT)
        self.assertEqual(edited.code, ExitCode.PARTIAL, edited)
        self.assertIn("accepted as version", edited.output)
        self.assertRegex(edited.output, r"in force at i1\n")
        self.assertIn("could not be reached: i2", edited.output)


def rewrite(path, old, new):
    """Replace a text in a file."""
    path.write_text(path.read_text().replace(old, new))


class FakeClient:
    """Test double that returns replies from a list, and raises exceptions in it."""

    def __init__(self, *replies):
        self.replies = list(replies)
        self.sent = []

    def call(self, method, path, reply_type, body=None):
        """Return the next reply."""
        self.sent.append(body)
        reply = self.replies.pop(0)
        if isinstance(reply, Exception):
            raise reply
        return reply


def problem(code, ran="no", conflict=None):
    """Return the error for a problem document."""
    return ProblemError(Problem("", "", 409, "detail", code, ran, conflict=conflict))


def status(*versions):
    """Return a status with one instance for each table version."""
    replies = tuple(
        InstanceStatus(
            name=f"i{number}",
            zone="z",
            table_version=version,
            revision=version,
            members=1,
            ready=True,
        )
        for number, version in enumerate(versions, 1)
    )
    return TierStatus(replies, ())


ACCEPTED = EditAccepted("e", 8, HEAVIER)


class EditFlowTest(unittest.TestCase):
    """Outcome of an edit, which is reported as accepted only when that is certain."""

    def edit(self, *replies, base=BASE):
        self.client = FakeClient(*replies)
        self.progress = []
        return apply_edit(
            self.client, base, HEAVIER, wait_s=0.0, report_progress=self.progress.append
        )

    def test_unresolved_edit_is_resent_with_its_id_and_base(self):
        """The platform accepted the edit, and its reply was lost.

        The instance could not resolve the outcome in time. With a new id the edit
        would conflict with itself; with the same id and base it is found accepted.
        """
        self.edit(problem("write_unknown", "maybe"), ACCEPTED, status(8))
        first, second = self.client.sent[:2]
        self.assertEqual(first, second)

    def test_lost_reply_is_reported_as_unknown_outcome(self):
        with self.assertRaises(CommandError) as caught:
            self.edit(UnreachableError("no instance answered", maybe_sent=True))
        self.assertEqual(caught.exception.exit_code, ExitCode.UNKNOWN)
        self.assertIn("may have been made", str(caught.exception))
        self.assertEqual(self.progress, [])

    def test_accepted_edit_stays_accepted_if_status_is_unavailable(self):
        """The only reachable instance stops right after it accepted the edit.

        If the command ended with an error, the operator would repeat the edit.
        """
        outcome = self.edit(ACCEPTED, UnreachableError("gone", maybe_sent=False))
        self.assertEqual(outcome.version, 8)
        self.assertFalse(outcome.reach.complete)
        self.assertIn("accepted as version 8", self.progress[0])

    def test_edit_is_retried_after_an_edit_of_other_rows(self):
        theirs = (EditSummary("x", "ben", 0.0, 7),)
        conflict = TableConflict(7, 8, HEAVIER, theirs, overlaps=False)
        other = Row("harbour", "name-check")
        current = TableView(8, Table(BASE.table.purposes, (ROW, other)))
        rejection = problem("table_conflict", conflict=conflict)
        outcome = self.edit(
            rejection, current, EditAccepted("e", 9, HEAVIER), status(9)
        )
        self.assertEqual((outcome.base_version, outcome.version), (8, 9))
        self.assertIn(other, self.client.sent[2].table.rows)

    def test_instances_with_an_older_version_are_named(self):
        outcome = self.edit(ACCEPTED, status(8, 7))
        self.assertEqual(outcome.reach.behind, ("i2",))


class LocalToolTest(unittest.TestCase):
    """Commands that need no running instance."""

    def test_help_lists_commands_and_exit_codes(self):
        shown = subprocess.run(
            [sys.executable, "-c", "import ibisfront.cli; ibisfront.cli.main()", "-h"],
            capture_output=True,
            check=True,
            text=True,
        ).stdout
        for name in ("table set", "service drain", "status", "check-settings"):
            self.assertIn(name, shown)
        for code in ExitCode:
            self.assertRegex(shown, rf"\n  {code.value}  \w")

    def test_every_command_has_json_option_and_description(self):
        application = build_application()
        commands = [
            item
            for item in application.all().values()
            if "ibisfront" in type(item).__module__
        ]
        self.assertGreaterEqual(len(commands), 16)
        for command in commands:
            with self.subTest(command.name):
                self.assertTrue(command.definition.has_option("json"))
                self.assertTrue(command.description.endswith("."))

    def test_completion(self):
        with mock.patch("sys.argv", ["ibisfront"]):
            self.assertIn("table", run_tool("completions bash").output)

    def test_check_settings_lists_errors(self):
        result = run_tool("check-settings /nowhere.toml")
        self.assertEqual(result.code, ExitCode.USAGE)
        self.assertIn("cannot be read", result.output)

    def test_instance_not_given_or_unreachable(self):
        unnamed = run_tool("status", IBISFRONT_TOKEN="t", IBISFRONT_ADMIN="")
        self.assertEqual(unnamed.code, ExitCode.USAGE)
        result = run_tool("status --admin 127.0.0.1:1", IBISFRONT_TOKEN="t")
        self.assertEqual(result.code, ExitCode.UNREACHABLE)
