"""Reads the log files of instances."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec

from ibisfront.cli.exits import CommandError

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

__all__ = ["LogLine", "parse_log_line", "read_log_lines", "read_text_lines"]


class LogLine(msgspec.Struct, frozen=True):
    """Line of an instance's log.

    Attributes
    ----------
    timestamp : str
        Time of the line by the instance's wall clock.
    instance : str
        Instance that wrote it.
    message : str
        The message, with the prefix of its component.
    fields : dict
        All fields of the line; they differ by line.
    """

    timestamp: str
    instance: str
    message: str
    fields: dict[str, Any]


def parse_log_line(text: str) -> LogLine | None:
    """Parse a log line; returns None for other output between log lines.

    Any prefix before the JSON of a line is ignored.
    """
    try:
        fields = msgspec.json.decode(text[text.find("{") :], type=dict[str, Any])
    except msgspec.DecodeError:
        return None
    return LogLine(
        timestamp=str(fields.get("timestamp", "")),
        instance=str(fields.get("instance", "")),
        message=str(fields.get("message", "")),
        fields=fields,
    )


def read_log_lines(files: Iterable[str]) -> Iterator[LogLine]:
    """Yield the log lines of files; raises ``CommandError`` if one is unreadable."""
    for text in read_text_lines(files):
        line = parse_log_line(text)
        if line is not None:
            yield line


def read_text_lines(files: Iterable[str]) -> Iterator[str]:
    """Yield the lines of files; raises ``CommandError`` if one is unreadable."""
    for name in files:
        try:
            yield from Path(name).read_text(errors="replace").splitlines()
        except OSError as error:
            raise CommandError(f"{name} cannot be read: {error.strerror}") from error
