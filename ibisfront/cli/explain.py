"""``ibisfront explain``: traces a request through the logs of several instances."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

from cleo.helpers import argument

from ibisfront.cli.command import JSON_OPTION, ToolCommand
from ibisfront.cli.exits import ExitCode
from ibisfront.cli.log_lines import LogLine, parse_log_line, read_text_lines
from ibisfront.cli.refusal_reasons import explain_reason
from ibisfront.cli.refusals import describe_refusal

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from cleo.io.inputs.argument import Argument
    from cleo.io.inputs.option import Option

__all__ = ["Explain", "find_request_lines"]

_SEPARATELY_SHOWN = frozenset(
    ("timestamp", "instance", "level", "message", "decisions")
)


class Explain(ToolCommand):
    """Prints the log lines of a request."""

    name = "explain"
    description = "Print the log lines of a request from log files, in time order."
    arguments: ClassVar[list[Argument]] = [
        argument("request-id", "Id that the caller assigned to the request."),
        argument("files", "Log files of instances.", multiple=True),
    ]
    options: ClassVar[list[Option]] = [JSON_OPTION]

    def run_command(self) -> ExitCode:
        """Find and print the lines."""
        request_id = self.argument("request-id")
        lines = find_request_lines(request_id, read_text_lines(self.argument("files")))
        if self.wants_json:
            self.print_json(lines)
        elif not lines:
            self.print_text(f"no log line for request {request_id}")
        for line in () if self.wants_json else lines:
            for text in _format_line(line):
                self.print_text(text)
        return ExitCode.DONE if lines else ExitCode.REJECTED


def find_request_lines(request_id: str, texts: Iterable[str]) -> list[LogLine]:
    """Return the log lines of a request, in time order.

    Parameters
    ----------
    request_id : str
        Id of the request.
    texts : iterable of str
        Lines of log files; any prefix before the JSON of a line is ignored.
    """
    lines: list[LogLine] = []
    for text in texts:
        if request_id not in text:
            continue
        line = parse_log_line(text)
        if line is not None and line.fields.get("request_id") == request_id:
            lines.append(line)
    return sorted(lines, key=lambda line: line.timestamp)


def _format_line(line: LogLine) -> Iterator[str]:
    """Yield the lines of text that describe one log line."""
    yield f"{line.timestamp} {line.instance} {line.message}"
    refusal = describe_refusal(line)
    if refusal is not None:
        yield f"    {refusal}"
    meaning = explain_reason(str(line.fields.get("reason", "")))
    if meaning is not None:
        yield f"    {meaning}"
    for name, value in line.fields.items():
        if name not in _SEPARATELY_SHOWN and name != "request_id":
            yield f"    {name}: {value}"
    for item in line.fields.get("decisions", ()):
        target = " ".join(part for part in (item["service"], item["server"]) if part)
        reason = f" ({item['detail']})" if item["detail"] else ""
        yield f"    after {item['after_ms']} ms: {item['what']} {target}{reason}"
