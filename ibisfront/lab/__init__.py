"""A laboratory: the tier's decisions under modelled load, in virtual time.

Several instances that gather run in one process with the decision code of the product,
against modelled servers, links and callers. The same seed gives the same run.
"""

from __future__ import annotations

from ibisfront.lab.comparing import Comparison, compare
from ibisfront.lab.pattern import Pattern, PatternError, read_pattern
from ibisfront.lab.results import QueryFigures, RunResult
from ibisfront.lab.running import run_pattern

__all__ = [
    "Comparison",
    "Pattern",
    "PatternError",
    "QueryFigures",
    "RunResult",
    "compare",
    "read_pattern",
    "run_pattern",
]
