"""Demo of the whole tier on one machine: ``python -m ibisfront.testing.demo``.

Starts a fake platform, fake backend servers for two back ends and three entry
instances in three zones, sends requests of callers and operators, and prints
the results. Then runs two front daemons against a fake object store. Exits 0 if
all checks hold, and leaves no process running.
"""

from __future__ import annotations

import secrets
import sys
import time

import msgspec
import psutil
import trio

from ibisfront.adapters.admin import TableView
from ibisfront.core.clock import Clock
from ibisfront.core.idempotency_key import make_key
from ibisfront.core.query import Answer, PerformAnswer
from ibisfront.core.status import TierStatus
from ibisfront.core.table_edit import EditAccepted, TableProposal
from ibisfront.testing.balanced_load import BalancedLoad, SearchKind
from ibisfront.testing.demo_shape import (
    LISTINGS,
    PRINT_QUEUE,
    REGISTER,
    demo_shape,
)
from ibisfront.testing.deployment import Deployment
from ibisfront.testing.front_demo import show_front_daemon

__all__ = ["Report", "main", "run_demo"]

_NAME_CHECK = SearchKind("vestry", "name-check", {"name": "Jón Jónsson"})
_BLOODLINE = SearchKind("buyers", "bloodline", {"bloodline": "Granite"})
_KEY_BITS = 74
_LOAD_SENDERS = 6
_LOAD_REQUESTS = 150
_IN_FORCE_TIMEOUT_S = 10.0
_POLL_MS = 20.0


class Report:
    """Prints observations and collects failed checks."""

    __slots__ = ("failures", "started")

    def __init__(self) -> None:
        self.failures: list[str] = []
        self.started: list[psutil.Process] = []
        """Processes started by the demo."""

    def print_heading(self, text: str) -> None:
        """Print a section heading."""
        print(f"\n{text}", flush=True)

    def print_line(self, text: str) -> None:
        """Print one line of a section."""
        print(f"  {text}", flush=True)

    def check(self, holds: bool, text: str) -> None:
        """Print the result of one check and record a failure."""
        if not holds:
            self.failures.append(text)
        print(f"  {'ok ' if holds else 'NOT'} {text}", flush=True)


async def run_demo(report: Report) -> None:
    """Start the deployment, run all parts of the demo and end every process."""
    started_s = time.monotonic()
    async with Deployment(demo_shape()) as deployment:
        report.print_heading("Started")
        report.print_line(f"platform stand-in at {deployment.platform_address}")
        report.print_line(
            f"{_server_count(deployment)} backend servers, two users' shapes"
        )
        for instance in deployment.instances:
            report.print_line(
                f"entry instance {instance.name} in zone {instance.zone},"
                f" callers at {instance.caller_address}"
            )
        report.print_line(f"ready after {time.monotonic() - started_s:.1f} s")
        await _searches(deployment, report)
        await _missing_service(deployment, report)
        await _perform_once(deployment, report)
        await _table_edit(deployment, report)
        report.started = psutil.Process().children(recursive=True)
        await _planned_stop(deployment, report)
    await show_front_daemon(report)


async def _searches(deployment: Deployment, report: Report) -> None:
    report.print_heading("Searches, one at the instance of each zone")
    for instance in deployment.instances:
        for kind, services in ((_NAME_CHECK, REGISTER), (_BLOODLINE, LISTINGS)):
            reply = await deployment.search(
                instance, kind.branch, kind.purpose, kind.body
            )
            answer = reply.decode(Answer)
            report.check(
                answer.coverage.answered == len(services),
                f"{instance.zone} {kind.branch}/{kind.purpose}: {_summary(answer)}",
            )


async def _missing_service(deployment: Deployment, report: Report) -> None:
    report.print_heading(f"Both backend servers of {REGISTER[-1]} refuse all work")
    servers = [server.name for server in deployment.backend_servers[REGISTER[-1]]]
    for name in servers:
        await deployment.command_backend(name, "faults", shedding=True)
    reply = await deployment.search(
        deployment.instances[0], "vestry", "name-check", {"name": "Jón Jónsson"}
    )
    answer = reply.decode(Answer)
    missing = [item.service for item in answer.coverage.missing]
    report.check(missing == [REGISTER[-1]], f"the answer says so: {_summary(answer)}")
    _print_answer(answer, report)
    for name in servers:
        await deployment.command_backend(name, "faults", shedding=False)


async def _perform_once(deployment: Deployment, report: Report) -> None:
    report.print_heading("One non-idempotent request, sent three times")
    key = make_key(wall_ms=Clock().wall_ms(), random_bits=secrets.randbits(_KEY_BITS))
    for instance in deployment.instances:
        reply = await deployment.perform(
            instance, "vestry", "print-envelopes", {"bundle": "sunday"}, key=key
        )
        answer = reply.decode(PerformAnswer)
        report.print_line(
            f"{instance.name}: {reply.status}, repeated: {answer.repeated}"
        )
    servers = [server.name for server in deployment.backend_servers[PRINT_QUEUE]]
    runs = [run for name in servers for run in await deployment.performed(name)]
    report.check(len(runs) == 1, f"the backend servers ran it {len(runs)} time(s)")


async def _table_edit(deployment: Deployment, report: Report) -> None:
    report.print_heading("One edit of the table")
    first = deployment.instances[0]
    current = await deployment.admin(first, "GET", "/v1/admin/table")
    current_table = current.decode(TableView)
    changed, *others = current_table.table.rows
    rows = (msgspec.structs.replace(changed, weight=3.0), *others)
    proposal = TableProposal(
        table=msgspec.structs.replace(current_table.table, rows=rows),
        base_version=current_table.version,
        edit_id=secrets.token_hex(8),
        edited_by="demo",
    )
    reply = await deployment.admin(first, "PUT", "/v1/admin/table", proposal)
    accepted = reply.decode(EditAccepted)
    accepted_s = time.monotonic()
    report.print_line(
        f"{changed.branch}/{changed.purpose} weight 1 to 3:"
        f" accepted as version {accepted.version}"
    )
    in_force_everywhere = await _wait_in_force(deployment, accepted)
    propagation_ms = (time.monotonic() - accepted_s) * 1000
    report.check(
        in_force_everywhere, f"in force at every instance {propagation_ms:.0f} ms later"
    )


async def _wait_in_force(deployment: Deployment, accepted: EditAccepted) -> bool:
    with trio.move_on_after(_IN_FORCE_TIMEOUT_S):
        while True:
            reply = await deployment.admin(
                deployment.instances[0], "GET", "/v1/admin/status"
            )
            replies = reply.decode(TierStatus).instances
            versions = [item.table_version for item in replies]
            if len(versions) == len(deployment.instances) and min(versions) >= (
                accepted.version
            ):
                return True
            await Clock().sleep_ms(_POLL_MS)
    return False


async def _planned_stop(deployment: Deployment, report: Report) -> None:
    report.print_heading("One instance is stopped under load")
    load = BalancedLoad(deployment, (_NAME_CHECK, _BLOODLINE), senders=_LOAD_SENDERS)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(load.run)
        await load.wait_sent(_LOAD_REQUESTS)
        stopped = deployment.instances[-1]
        exit_code = await deployment.stop_instance(stopped)
        await load.wait_sent(_LOAD_REQUESTS)
        result = await load.end()
    report.check(exit_code == 0, f"{stopped.name} ended with exit code {exit_code}")
    report.print_line(
        f"{result.sent} searches,"
        f" p50 {result.p50_ms:.0f} ms, p99 {result.p99_ms:.0f} ms"
    )
    report.check(result.lost == 0, f"requests cut off: {result.lost}")
    partial = result.other_outcomes.pop("partial", 0)
    report.check(
        not result.other_outcomes,
        f"answers: {result.whole} whole, {partial} partial;"
        f" refused: {result.other_outcomes or 'none'}",
    )


def _summary(answer: Answer) -> str:
    coverage = answer.coverage
    missing = ", ".join(
        f"{item.service} ({item.reason.value})" for item in coverage.missing
    )
    return (
        f"{len(answer.results)} rows of {answer.snapshot},"
        f" {coverage.answered} of {coverage.total} services"
        + (f", missing {missing}" if missing else "")
    )


def _print_answer(answer: Answer, report: Report) -> None:
    report.print_line("the whole answer, but for all rows after the first:")
    shortened = msgspec.structs.replace(answer, results=answer.results[:1])
    text = msgspec.json.format(msgspec.json.encode(shortened), indent=2).decode()
    for line in text.splitlines():
        report.print_line(line)


def _server_count(deployment: Deployment) -> int:
    return sum(len(servers) for servers in deployment.backend_servers.values())


def main() -> None:
    """Run the demo; exit 1 if a check failed."""
    started_s = time.monotonic()
    report = Report()
    trio.run(run_demo, report)
    still_running = [child.pid for child in report.started if child.is_running()]
    report.print_heading("Ended")
    report.check(
        not still_running,
        f"processes left behind, of {len(report.started)}: {still_running or 'none'}",
    )
    report.print_line(f"took {time.monotonic() - started_s:.1f} s")
    for failure in report.failures:
        report.print_line(f"NOT as promised: {failure}")
    sys.exit(1 if report.failures else 0)


if __name__ == "__main__":
    main()
