"""``ibisfront status``: shows the instances and the table version at each."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisfront.cli.command import OperatorCommand
from ibisfront.cli.exits import ExitCode
from ibisfront.cli.output import format_columns
from ibisfront.core.status import TierStatus

if TYPE_CHECKING:
    from ibisfront.cli.client import AdminClient

__all__ = ["Status"]


class Status(OperatorCommand):
    """Shows the instances."""

    name = "status"
    description = "Show the instances, and the table version in force at each."

    def run_with(self, client: AdminClient) -> ExitCode:
        """Print the instances, and the names of unreachable ones."""
        report = client.call("GET", "/v1/admin/status", TierStatus)
        if self.wants_json:
            self.print_json(report)
        else:
            self._print(report)
        ready = all(reply.ready for reply in report.instances)
        complete = ready and not report.unreachable
        return ExitCode.DONE if complete else ExitCode.PARTIAL

    def _print(self, report: TierStatus) -> None:
        lines = format_columns(
            ("INSTANCE", "ZONE", "TABLE", "REVISION", "SEES", "READY"),
            [
                (
                    reply.name,
                    reply.zone,
                    reply.table_version,
                    reply.revision,
                    reply.members,
                    "yes" if reply.ready else "no",
                )
                for reply in report.instances
            ],
        )
        for line in lines:
            self.print_text(line)
        if report.unreachable:
            self.print_text(f"could not be reached: {', '.join(report.unreachable)}")
