"""Letting requests in, within the table's limits."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from ibisfront.core.errors import ErrorKind, IbisfrontError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from ibisfront.core.clock import Clock
    from ibisfront.core.counters import Counters
    from ibisfront.core.table import Purpose, Row

__all__ = ["Admission"]


class Admission:
    """Admits requests to this instance.

    Parameters
    ----------
    clock : Clock
        The tier's clock.
    counters : Counters
        Where refusals are counted.
    """

    __slots__ = ("_clock", "_counters", "_in_flight")

    def __init__(self, *, clock: Clock, counters: Counters) -> None:
        self._clock = clock
        self._counters = counters
        self._in_flight: dict[Row, int] = {}

    @asynccontextmanager
    async def admitted(
        self,
        row: Row,
        purpose: Purpose,
        *,
        deadline_at_ms: float,
    ) -> AsyncIterator[None]:
        """Hold a place for one request while the context is open.

        Parameters
        ----------
        row : Row
            The row that the request counts against.
        purpose : Purpose
            Its purpose.
        deadline_at_ms : float
            When the caller stops waiting.

        Raises
        ------
        IbisfrontError
            ``over_limit``, ``overloaded`` or ``deadline_too_short``, at once.
        """
        running = self._in_flight.get(row, 0)
        if running >= row.max_in_flight:
            raise IbisfrontError(
                ErrorKind.OVER_LIMIT,
                f"{row.branch}/{row.purpose} has {running} of"
                f" {row.max_in_flight} requests running",
            )
        if deadline_at_ms <= self._clock.now_ms():
            raise IbisfrontError(ErrorKind.DEADLINE_TOO_SHORT, "no time is left")
        self._in_flight[row] = running + 1
        try:
            yield
        finally:
            self._in_flight[row] -= 1
