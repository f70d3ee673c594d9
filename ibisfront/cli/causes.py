"""``ibisfront causes``: counts causes of failed and late requests in log files."""

from __future__ import annotations

from collections import Counter
from datetime import datetime
from typing import TYPE_CHECKING, ClassVar

import msgspec
from cleo.helpers import argument, option

from ibisfront.cli.command import JSON_OPTION, ToolCommand
from ibisfront.cli.exits import CommandError, ExitCode
from ibisfront.cli.log_lines import read_log_lines
from ibisfront.cli.refusal_reasons import explain_reason
from ibisfront.cli.refusals import refusal_cause

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cleo.io.inputs.argument import Argument
    from cleo.io.inputs.option import Option

    from ibisfront.cli.log_lines import LogLine

__all__ = ["CauseCount", "Causes", "cause_of", "count_causes"]

_MIN_ERROR_STATUS = 400
_NOT_FOUND = 404
_DEFAULT_STEP_S = 4
"""Default interval of the counts: about one stage of an outage as callers see it."""


class CauseCount(msgspec.Struct, frozen=True, order=True):
    """Number of requests with one cause in one interval.

    Attributes
    ----------
    from_s : int
        Start of the interval, in seconds after the first line.
    route : str
        The route; empty if the request was rejected before routing.
    cause : str
        Cause of the failure or delay.
    requests : int
        Number of requests.
    """

    from_s: int
    route: str
    cause: str
    requests: int


class Causes(ToolCommand):
    """Counts the causes of failed and late requests."""

    name = "causes"
    description = "Count the causes of failed and late requests in log files."
    arguments: ClassVar[list[Argument]] = [
        argument("files", "Log files of instances.", multiple=True),
    ]
    options: ClassVar[list[Option]] = [
        option(
            "step",
            None,
            "Length of the counting interval, in seconds.",
            flag=False,
            default=str(_DEFAULT_STEP_S),
        ),
        JSON_OPTION,
    ]

    def run_command(self) -> ExitCode:
        """Count the causes and print them."""
        step = self.option("step")
        if not step.isdigit() or int(step) < 1:
            raise CommandError(f"--step {step}: give whole seconds, at least 1")
        counts = count_causes(read_log_lines(self.argument("files")), step_s=int(step))
        if self.wants_json:
            self.print_json(counts)
            return ExitCode.DONE
        for item in counts:
            route = item.route or "-"
            self.print_text(
                f"{item.from_s:6} s {item.requests:6}  {route:12} {item.cause}"
            )
        self.print_text(f"{sum(item.requests for item in counts):15}  total")
        for cause in sorted({item.cause for item in counts}):
            # A cause begins with status and reason.
            meaning = explain_reason(" ".join(cause.split()[1:2]))
            if meaning is not None:
                self.print_text(f"{cause}: {meaning}")
        return ExitCode.DONE


def cause_of(line: LogLine) -> str | None:
    """Return the cause of a failed or late request; None if it was neither.

    Sub-requests delegated by another instance are counted there, and paths without
    a route are errors of the caller; neither has a cause here.
    """
    status = line.fields.get("status")
    reason = str(line.fields.get("reason", ""))
    if not isinstance(status, int) or status == _NOT_FOUND:
        return None
    if reason == "delegated_parts" or line.fields.get("delegated"):
        return None
    if status >= _MIN_ERROR_STATUS:
        return f"{status} {reason}{refusal_cause(line)}{_most_frequent_decision(line)}"
    took_ms = line.fields.get("took_ms", 0.0)
    if took_ms > line.fields.get("objective_ms", float("inf")):
        return f"late, {reason}{_most_frequent_decision(line)}"
    return None


def count_causes(
    lines: Iterable[LogLine], *, step_s: int = _DEFAULT_STEP_S
) -> list[CauseCount]:
    """Count the causes by interval and route, sorted.

    Parameters
    ----------
    lines : iterable of LogLine
        Lines of all instances, in any order.
    step_s : int
        Length of the counting interval, in seconds.
    """
    timed_lines = [
        (datetime.fromisoformat(line.timestamp), line)
        for line in lines
        if line.timestamp
    ]
    if not timed_lines:
        return []
    start = min(logged_at for logged_at, _ in timed_lines)
    counted: Counter[tuple[int, str, str]] = Counter()
    for logged_at, line in timed_lines:
        cause = cause_of(line)
        if cause is not None:
            from_s = int((logged_at - start).total_seconds()) // step_s * step_s
            counted[from_s, str(line.fields.get("route", "")), cause] += 1
    return sorted(CauseCount(*key, requests) for key, requests in counted.items())


def _most_frequent_decision(line: LogLine) -> str:
    """Return the most frequent decision or failure of a line, in parentheses."""
    decisions = line.fields.get("decisions", ())
    occurrences = Counter(
        f"{item['what']} {item['detail']}".strip() for item in decisions
    )
    if not occurrences:
        return ""
    return f" ({occurrences.most_common(1)[0][0]})"
