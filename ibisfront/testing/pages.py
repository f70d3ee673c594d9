"""The generated parts of the pages.

``python -m ibisfront.testing.pages`` (``make pages``) writes them anew. A test
fails while a page differs from the code.
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

__all__ = ["PAGES", "main", "with_generated_parts"]

PAGES = (Path("docs/INTERFACE.md"), Path("docs/OPERATIONS.md"))
"""The pages that have generated parts."""

_PART = re.compile(
    r"(?P<begin><!-- generated: (?P<name>[\w-]+) -->\n).*?(?P<end><!-- end -->)",
    re.DOTALL,
)


def with_generated_parts(text: str) -> str:
    """Return a page with each of its generated parts made anew."""

    def make(found: re.Match[str]) -> str:
        part = _PARTS[found["name"]]()
        return f"{found['begin']}\n{part.strip()}\n\n{found['end']}"

    return _PART.sub(make, text)


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
    return _table(("Code", "Meaning", "What to do if it goes on"), rows)


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


_PARTS: dict[str, Callable[[], str]] = {
    "counters": _counters,
    "errors-for-callers": _errors_for_callers,
    "errors-for-operators": _errors_for_operators,
    "exit-codes": _exit_codes,
    "log-prefixes": _log_prefixes,
    "settings": settings_reference,
}


def main() -> None:
    """Write every page's generated parts."""
    for path in PAGES:
        path.write_text(with_generated_parts(path.read_text()))


if __name__ == "__main__":
    main()
