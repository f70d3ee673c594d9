"""``ibisfront explain``: a request's story from the logs of several instances."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

from cleo.helpers import argument

from ibisfront.cli.command import JSON_OPTION, ToolCommand
from ibisfront.cli.exits import ExitCode
from ibisfront.cli.log_lines import LogLine, decoded_line, text_lines

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from cleo.io.inputs.argument import Argument
    from cleo.io.inputs.option import Option

__all__ = ["Explain", "lines_about"]

_SHOWN_APART = frozenset(("timestamp", "instance", "level", "message", "decisions"))


class Explain(ToolCommand):
    """Print what the logs say of a request."""

    name = "explain"
    description = "Print a request's story from log files, in time order."
    arguments: ClassVar[list[Argument]] = [
        argument("request-id", "The id that the caller gave the request."),
        argument("files", "Log files of instances.", multiple=True),
    ]
    options: ClassVar[list[Option]] = [JSON_OPTION]

    def run_command(self) -> ExitCode:
        """Find and print the lines."""
        request_id = self.argument("request-id")
        found = lines_about(request_id, text_lines(self.argument("files")))
        if self.wants_json:
            self.print_json(found)
        elif not found:
            self.print_text(f"no line about {request_id}")
        for line in () if self.wants_json else found:
            for text in _story(line):
                self.print_text(text)
        return ExitCode.DONE if found else ExitCode.REFUSED


def lines_about(request_id: str, texts: Iterable[str]) -> list[LogLine]:
    """Return the log lines about a request, in time order.

    Parameters
    ----------
    request_id : str
        The request.
    texts : iterable of str
        Lines of log files; what stands before a line's JSON is passed over.
    """
    found: list[LogLine] = []
    for text in texts:
        if request_id not in text:
            continue
        line = decoded_line(text)
        if line is not None and line.fields.get("request_id") == request_id:
            found.append(line)
    return sorted(found, key=lambda line: line.timestamp)


def _story(line: LogLine) -> Iterator[str]:
    """Return the lines of text that tell of one log line."""
    yield f"{line.timestamp} {line.instance} {line.message}"
    for name, value in line.fields.items():
        if name not in _SHOWN_APART and name != "request_id":
            yield f"    {name}: {value}"
    for item in line.fields.get("decisions", ()):
        where = " ".join(part for part in (item["service"], item["server"]) if part)
        because = f" ({item['detail']})" if item["detail"] else ""
        yield f"    after {item['after_ms']} ms: {item['what']} {where}{because}"
