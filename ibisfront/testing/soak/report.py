"""What a run of the soak did and found."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import msgspec

from ibisfront.testing.soak.checks import Failure

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ibisfront.testing.soak.callers import Outcome

__all__ = ["SoakReport", "timeline_of"]

_OK = 200


class SoakReport(msgspec.Struct):
    """What one run did and found.

    Attributes
    ----------
    seed : int
        What drew its faults.
    requests, served : int
        Requests sent while there were faults, and those that were answered
        with success.
    checks : int
        How many checks of single requests and processes were made.
    faults : dict of str to int
        Faults by kind.
    failures : list of Failure
        Promises that were broken.
    timeline : list of tuple
        For each second: which, how many were served, and how many were not.
    """

    seed: int
    requests: int
    served: int
    checks: int
    faults: dict[str, int]
    failures: list[Failure]
    timeline: list[tuple[int, int, int]]


def timeline_of(outcomes: Sequence[Outcome]) -> list[tuple[int, int, int]]:
    """Return, for each second, how many requests were served and how many not."""
    if not outcomes:
        return []
    first_ms = outcomes[0].sent_at_ms
    served: Counter[int] = Counter()
    others: Counter[int] = Counter()
    for outcome in outcomes:
        second = int((outcome.sent_at_ms - first_ms) / 1000.0)
        (served if outcome.status == _OK else others)[second] += 1
    return [
        (second, served[second], others[second]) for second in sorted(served | others)
    ]
