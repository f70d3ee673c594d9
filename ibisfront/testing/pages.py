"""Generated sections of the documentation pages.

``python -m ibisfront.testing.pages`` (``make pages``) updates them. A test fails
if a page does not match the code.
"""

from __future__ import annotations

import re
from pathlib import Path
from typing import TYPE_CHECKING

from ibisfront.cli.exits import exit_code_help
from ibisfront.core.counters import COUNTER_HELP
from ibisfront.core.error_advice import ADVICE
from ibisfront.core.errors import ANSWERS
from ibisfront.core.logs import LOG_PART_HELP
from ibisfront.core.settings_reference import settings_reference

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

__all__ = ["PAGES", "main", "update_generated_sections"]

PAGES = (Path("docs/INTERFACE.md"), Path("docs/OPERATIONS.md"))
"""Pages with generated sections."""

_SECTION_PATTERN = re.compile(
    r"(?P<begin><!-- generated: (?P<name>[\w-]+) -->\n).*?(?P<end><!-- end -->)",
    re.DOTALL,
)


def update_generated_sections(text: str) -> str:
    """Return the text of a page with its generated sections updated."""

    def render(match: re.Match[str]) -> str:
        section = _SECTION_RENDERERS[match["name"]]()
        return f"{match['begin']}\n{section.strip()}\n\n{match['end']}"

    return _SECTION_PATTERN.sub(render, text)


def _errors_for_callers() -> str:
    rows = [
        (
            f"`{kind.value}`",
            str(answer.status),
            answer.ran.value,
            "" if answer.retry_after_ms is None else str(answer.retry_after_ms),
            ADVICE[kind].caller,
        )
        for kind, answer in ANSWERS.items()
    ]
    return _table(("Code", "Status", "Ran", "Retry after ms", "What to do"), rows)


def _errors_for_operators() -> str:
    rows = [
        (f"`{kind.value}`", answer.title, ADVICE[kind].operator)
        for kind, answer in ANSWERS.items()
    ]
    return _table(("Code", "Meaning", "What to do if it persists"), rows)


def _log_prefixes() -> str:
    rows = [(f"`{part.value}:`", text) for part, text in LOG_PART_HELP.items()]
    return _table(("Prefix", "Lines about"), rows)


def _counters() -> str:
    rows = [
        (f"`{kind.value}`", f"`ibisfront_{kind.value}_total`", text)
        for kind, text in COUNTER_HELP.items()
    ]
    return _table(("Counter", "In `/metrics`", "Counts"), rows)


def _exit_codes() -> str:
    return f"```text\n{exit_code_help()}\n```"


def _table(headings: tuple[str, ...], rows: Sequence[tuple[str, ...]]) -> str:
    lines = [headings, tuple("---" for _ in headings), *rows]
    return "\n".join(f"| {' | '.join(cells)} |" for cells in lines)


_SECTION_RENDERERS: dict[str, Callable[[], str]] = {
    "counters": _counters,
    "errors-for-callers": _errors_for_callers,
    "errors-for-operators": _errors_for_operators,
    "exit-codes": _exit_codes,
    "log-prefixes": _log_prefixes,
    "settings": settings_reference,
}


def main() -> None:
    """Update the generated sections of all pages."""
    for path in PAGES:
        path.write_text(update_generated_sections(path.read_text()))


if __name__ == "__main__":
    main()
