"""``ibisfront query``: sends one search as a caller."""

from __future__ import annotations

import os
import sys
from contextlib import closing
from typing import TYPE_CHECKING, ClassVar
from urllib.parse import quote

import msgspec
from cleo.helpers import argument, option

from ibisfront.cli.client import InstanceClient
from ibisfront.cli.command import JSON_OPTION, SETTINGS_OPTION, ToolCommand
from ibisfront.cli.exits import CommandError, ExitCode
from ibisfront.core.query import Answer

if TYPE_CHECKING:
    from cleo.io.inputs.argument import Argument
    from cleo.io.inputs.option import Option

__all__ = ["Query"]

CALLERS_VARIABLE = "IBISFRONT_CALLERS"
_STANDARD_INPUT = "-"


class Query(ToolCommand):
    """Sends one search."""

    name = "query"
    description = "Send one search as a caller, and print its result and coverage."
    arguments: ClassVar[list[Argument]] = [
        argument("branch", "Branch that sends the search."),
        argument("purpose", "The purpose."),
        argument("body", "The search as JSON; - reads standard input."),
    ]
    options: ClassVar[list[Option]] = [
        option(
            "callers",
            None,
            f"Caller address of an instance (or ${CALLERS_VARIABLE}).",
            flag=False,
            multiple=True,
        ),
        option(
            "deadline-ms",
            None,
            "Time left for the request, in milliseconds.",
            flag=False,
        ),
        SETTINGS_OPTION,
        JSON_OPTION,
    ]

    def run_command(self) -> ExitCode:
        """Send the search and print its result."""
        deadline_ms = self.option("deadline-ms")
        headers = {} if deadline_ms is None else {"X-Deadline-Ms": deadline_ms}
        branch = quote(self.argument("branch"), safe="")
        purpose = quote(self.argument("purpose"), safe="")
        with closing(InstanceClient(self._addresses(), headers)) as client:
            answer = client.call(
                "POST",
                f"/v1/branches/{branch}/purposes/{purpose}/query",
                Answer,
                self._body(),
            )
        if self.wants_json:
            self.print_json(answer)
        else:
            self._print(answer)
        is_complete = answer.coverage.answered == answer.coverage.total
        return ExitCode.DONE if is_complete else ExitCode.PARTIAL

    def _print(self, answer: Answer) -> None:
        for row in answer.results:
            self.print_text(bytes(row).decode())
        coverage = answer.coverage
        self.print_text(
            f"{len(answer.results)} rows of {answer.snapshot}; {coverage.answered} of"
            f" {coverage.total} services answered"
        )
        for missing in coverage.missing:
            self.print_text(f"missing: {missing.service} ({missing.reason.value})")

    def _body(self) -> msgspec.Raw:
        given = self.argument("body")
        text = sys.stdin.read() if given == _STANDARD_INPUT else given
        return msgspec.Raw(text.encode())

    def _addresses(self) -> list[str]:
        given = self.option("callers") or []
        settings = self.optional_settings()
        if not given and settings is not None:
            return [settings.callers.address]
        if not given:
            given = os.environ.get(CALLERS_VARIABLE, "").replace(",", " ").split()
        if not given:
            raise CommandError(
                "no instance address: give --callers IP:PORT, --settings FILE or"
                f" ${CALLERS_VARIABLE}"
            )
        return list(given)
