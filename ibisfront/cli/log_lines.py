"""Reading the log files of instances."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec

from ibisfront.cli.exits import CommandError

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

__all__ = ["LogLine", "decoded_line", "log_lines", "text_lines"]


class LogLine(msgspec.Struct, frozen=True):
    """A line of an instance's log.

    Attributes
    ----------
    timestamp : str
        When it was written, by the instance's time of day.
    instance : str
        Which instance wrote it.
    message : str
        The sentence, with the prefix of its part.
    fields : dict
        Everything else that stands in it; the fields differ by line.
    """

    timestamp: str
    instance: str
    message: str
    fields: dict[str, Any]


def decoded_line(text: str) -> LogLine | None:
    """Return a line that is one; None for other output between them.

    What stands before a line's JSON is passed over.
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


def log_lines(files: Iterable[str]) -> Iterator[LogLine]:
    """Yield the lines of some files; raises ``CommandError`` if one is unreadable."""
    for text in text_lines(files):
        line = decoded_line(text)
        if line is not None:
            yield line


def text_lines(files: Iterable[str]) -> Iterator[str]:
    """Yield the lines of some files as text."""
    for name in files:
        try:
            yield from Path(name).read_text(errors="replace").splitlines()
        except OSError as error:
            raise CommandError(f"{name} cannot be read: {error.strerror}") from error
