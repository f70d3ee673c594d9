"""Simulates the tier under load in virtual time.

Several coordinators run the production decision code in one process, against
simulated servers, network paths and callers. The same seed gives the same run.
"""

from __future__ import annotations

from ibisfront.lab.comparison import Comparison, compare
from ibisfront.lab.pattern import Pattern, PatternError, read_pattern
from ibisfront.lab.results import QuerySummary, RunResult
from ibisfront.lab.runner import run_pattern

__all__ = [
    "Comparison",
    "Pattern",
    "PatternError",
    "QuerySummary",
    "RunResult",
    "compare",
    "read_pattern",
    "run_pattern",
]
