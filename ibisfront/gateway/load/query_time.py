"""When a query has to end, and whether it can still be in time.

Load pattern: more queries arrive than a service can serve for some seconds. Served in
the order of arrival, all of them are late. Parts of queries that can be in time go
first; those that are late anyway use what is left.
"""

from __future__ import annotations

import math

__all__ = ["QueryTime"]


class QueryTime:
    """The latency objective of one query.

    Parameters
    ----------
    end_at_ms : float, optional
        When the query has to end to be in time; infinite if it has no objective.

    Attributes
    ----------
    end_at_ms : float
        When the query has to end to be in time.
    is_late : bool
        Whether it is expected to be late in any case.
    """

    __slots__ = ("end_at_ms", "is_late")

    def __init__(self, end_at_ms: float = math.inf) -> None:
        self.end_at_ms = end_at_ms
        self.is_late = False

    def is_late_at(self, at_ms: float) -> bool:
        """Return whether a part that arrives at a time is too late."""
        return self.is_late or at_ms > self.end_at_ms
