"""``ibisfront causes``: why requests failed or came late, counted from the logs."""

from __future__ import annotations

from collections import Counter
from datetime import datetime
from typing import TYPE_CHECKING, ClassVar

import msgspec
from cleo.helpers import argument, option

from ibisfront.cli.command import JSON_OPTION, ToolCommand
from ibisfront.cli.exits import CommandError, ExitCode
from ibisfront.cli.log_lines import log_lines

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cleo.io.inputs.argument import Argument
    from cleo.io.inputs.option import Option

    from ibisfront.cli.log_lines import LogLine

__all__ = ["CauseCount", "Causes", "cause_of", "count_causes"]

_FIRST_ERROR = 400
_NOT_FOUND = 404
_DEFAULT_STEP_S = 4
"""Seconds that are counted together: about one step of an outage as callers see it."""


class CauseCount(msgspec.Struct, frozen=True, order=True):
    """How often one cause was seen.

    Attributes
    ----------
    from_s : int
        Since when, in seconds after the first line.
    route : str
        The route; empty where the request was refused before it was known.
    cause : str
        Why.
    requests : int
        How many requests.
    """

    from_s: int
    route: str
    cause: str
    requests: int


class Causes(ToolCommand):
    """Count why requests failed or came late."""

    name = "causes"
    description = "Count from log files why requests failed or came late."
    arguments: ClassVar[list[Argument]] = [
        argument("files", "Log files of instances.", multiple=True),
    ]
    options: ClassVar[list[Option]] = [
        option(
            "step",
            None,
            "Seconds that are counted together.",
            flag=False,
            default=str(_DEFAULT_STEP_S),
        ),
        JSON_OPTION,
    ]

    def run_command(self) -> ExitCode:
        """Count and print."""
        step = self.option("step")
        if not step.isdigit() or int(step) < 1:
            raise CommandError(f"--step {step}: give whole seconds, at least 1")
        counts = count_causes(log_lines(self.argument("files")), step_s=int(step))
        if self.wants_json:
            self.print_json(counts)
            return ExitCode.DONE
        for item in counts:
            where = item.route or "-"
            self.print_text(
                f"{item.from_s:6} s {item.requests:6}  {where:12} {item.cause}"
            )
        self.print_text(f"{sum(item.requests for item in counts):15}  in all")
        return ExitCode.DONE


def cause_of(line: LogLine) -> str | None:
    """Return why a request failed or came late; None if it did neither.

    Parts that another instance asked for are that one's request, and paths that
    no route has are their callers'.
    """
    status = line.fields.get("status")
    reason = str(line.fields.get("reason", ""))
    if not isinstance(status, int) or status == _NOT_FOUND:
        return None
    if reason == "delegated_parts":
        return None
    if status >= _FIRST_ERROR:
        return f"{status} {reason}{_decisive(line)}"
    took_ms = line.fields.get("took_ms", 0.0)
    if took_ms > line.fields.get("objective_ms", float("inf")):
        return f"late, {reason}{_decisive(line)}"
    return None


def count_causes(
    lines: Iterable[LogLine], *, step_s: int = _DEFAULT_STEP_S
) -> list[CauseCount]:
    """Return the causes by time and route, in order.

    Parameters
    ----------
    lines : iterable of LogLine
        Lines of all instances, in any order.
    step_s : int
        Seconds that are counted together.
    """
    found = [
        (datetime.fromisoformat(line.timestamp), line)
        for line in lines
        if line.timestamp
    ]
    if not found:
        return []
    first = min(at for at, _ in found)
    counted: Counter[tuple[int, str, str]] = Counter()
    for at, line in found:
        cause = cause_of(line)
        if cause is not None:
            from_s = int((at - first).total_seconds()) // step_s * step_s
            counted[from_s, str(line.fields.get("route", "")), cause] += 1
    return sorted(CauseCount(*key, number) for key, number in counted.items())


def _decisive(line: LogLine) -> str:
    """Return the decision or failure that stands most often in a line."""
    decisions = line.fields.get("decisions", ())
    seen = Counter(f"{item['what']} {item['detail']}".strip() for item in decisions)
    if not seen:
        return ""
    return f" ({seen.most_common(1)[0][0]})"
