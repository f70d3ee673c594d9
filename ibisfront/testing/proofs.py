"""Checks that every test named in ``docs/PROOFS.md`` exists and ran.

``python -m ibisfront.testing.proofs`` reads the page and the lists of tests
written by the last run of ``make test``, and fails on any mismatch.
"""

from __future__ import annotations

import re
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["Proof", "find_problems", "main", "read_proofs"]

PROOFS_PATH = Path("docs/PROOFS.md")
RAN_PATHS = (
    Path("bench-results/tests-ran.txt"),
    Path("bench-results/crowds-ran.txt"),
)
STATES = ("proved", "partly", "not proved")

_COLUMNS = 6
_TEST_NAME = re.compile(r"`([\w.]+\.(?:test_\w+|runTest))`")
_FAILED_FIRST = re.compile(r"`[0-9a-f]{7,}`|\bnot seen failing\b")
_HEADINGS = ("Promise", "Failure", "Bound")
_STATE = re.compile(r"(proved|partly|not proved)\b")


class Proof(msgspec.Struct, frozen=True):
    """One row of the page.

    Attributes
    ----------
    promise : str
        The promise, failure or bound of the row.
    tests : tuple of str
        The dotted names of the tests, below ``ibisfront.tests`` or
        ``properties``.
    failed_first : str
        The commit that records the first failing run, or a statement that
        there is none.
    state : str
        ``proved``, ``partly`` or ``not proved``, and the reason.
    """

    promise: str
    tests: tuple[str, ...]
    failed_first: str
    state: str


def read_proofs(text: str) -> list[Proof]:
    """Return the rows of the page's tables."""
    rows = [_cells(line) for line in text.splitlines() if line.startswith("|")]
    return [
        Proof(cells[0], tuple(_TEST_NAME.findall(cells[2])), cells[3], cells[5])
        for cells in rows
        if len(cells) == _COLUMNS and not _is_heading(cells)
    ]


def find_problems(proofs: Sequence[Proof], ran: Sequence[str]) -> list[str]:
    """Return the problems of the page, one line each."""
    problems = []
    for proof in proofs:
        state = _STATE.match(proof.state)
        if state is None:
            problems.append(f"{proof.promise!r}: the state must be one of {STATES}")
        elif state.group() != "not proved" and not proof.tests:
            problems.append(f"{proof.promise!r} is {state.group()} but names no test")
        if _FAILED_FIRST.search(proof.failed_first) is None:
            problems.append(
                f"{proof.promise!r}: 'Failed first' must name a commit, such as "
                "`0123abc`, or say 'not seen failing'"
            )
        problems.extend(
            f"{proof.promise!r}: {test} did not run"
            for test in proof.tests
            if not any(name.endswith("." + test) or name == test for name in ran)
        )
    return problems


def main() -> int:
    """Check the page; return 1 if it has problems."""
    proofs = read_proofs(PROOFS_PATH.read_text())
    ran = [name for path in RAN_PATHS for name in path.read_text().split()]
    problems = find_problems(proofs, ran)
    if not proofs:
        problems.append(f"{PROOFS_PATH} has no rows")
    for problem in problems:
        sys.stderr.write(f"PROOFS: {problem}\n")
    return 1 if problems else 0


def _cells(line: str) -> list[str]:
    return [cell.strip() for cell in line.strip("|").split("|")]


def _is_heading(cells: list[str]) -> bool:
    return cells[0] in _HEADINGS or set(cells[0]) <= set("-: ")


if __name__ == "__main__":
    sys.exit(main())
